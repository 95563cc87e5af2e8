"""What one member holds of the others: the view, suspicions under way, rumours to pass on, who is gone."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from cloverkeel.fleet.membership.broadcasts import Broadcasts, retransmits
from cloverkeel.fleet.membership.health import LocalHealth, suspicion_timeout_s
from cloverkeel.fleet.membership.messages import (
    Action,
    Changed,
    Message,
    Push,
    Send,
    Timing,
    rumour_bytes,
)
from cloverkeel.fleet.membership.rumours import Rumour, Status, View

PRESENT = (Status.ALIVE, Status.SUSPECT)


class Roster:
    """The view with all that follows from a change in it. No clock: `now_s` is passed in, in seconds."""

    def __init__(self, me: Rumour, timing: Timing, rng: random.Random) -> None:
        self.view = View(me)
        self.timing, self.rng = timing, rng
        self.health = LocalHealth()
        self.broadcasts = Broadcasts()
        self.suspicions: dict[str, tuple[float, set[str]]] = {}  # name: since_s, who suspected it
        self.gone_since: dict[str, float] = {}  # dead or left: since_s
        self.order: list[str] = []  # whom to probe, the next one last

    @property
    def me(self) -> Rumour:
        return self.view.me

    def members(self) -> dict[str, Rumour]:
        return {self.me.name: self.me} | self.view.members

    def live(self) -> list[Rumour]:
        """The others that are alive or suspect."""
        return [r for r in self.view.members.values() if r.status in PRESENT]

    def count(self) -> int:
        return len(self.live()) + 1

    def send(self, address: str, make: Callable[[tuple[Rumour, ...]], Message]) -> Send:
        """A message to `address` with as many rumours on it as fit one datagram."""
        limit = retransmits(self.timing.retransmit_mult, self.count())
        budget = self.timing.datagram_bytes - (64 + 2 * rumour_bytes(self.me))
        return Send(address, make(tuple(self.broadcasts.take(budget, rumour_bytes, limit))))

    def push_to(self, address: str, reply: bool) -> list[Action]:
        """The whole view, in as many datagrams as it takes."""
        sends: list[Action] = []
        part: list[Rumour] = []
        used = 64 + rumour_bytes(self.me)
        for rumour in self.members().values():
            if part and used + rumour_bytes(rumour) > self.timing.datagram_bytes:
                sends.append(Send(address, Push(self.me, tuple(part), reply)))
                part, used = [], 64 + rumour_bytes(self.me)
            part.append(rumour)
            used += rumour_bytes(rumour)
        sends.append(Send(address, Push(self.me, tuple(part), reply)))
        return sends

    def learn(self, rumour: Rumour, now_s: float, source: str) -> list[Action]:
        """Take what `source` says of another member."""
        before = self.view.members.get(rumour.name)
        if (
            before is not None
            and rumour.status is Status.SUSPECT
            and before.order == rumour.order
            and rumour.name in self.suspicions
        ):
            by = self.suspicions[rumour.name][1]
            if source not in by:  # an independent confirmation shortens the wait (Lifeguard IV.B)
                by.add(source)
                self.broadcasts.add(rumour)
            return []
        if self.view.merge(rumour) is None:
            return []
        self.broadcasts.add(rumour)
        if rumour.status is Status.SUSPECT:
            self.suspicions[rumour.name] = (now_s, {source})
        else:
            self.suspicions.pop(rumour.name, None)
        if rumour.status in PRESENT:
            self.gone_since.pop(rumour.name, None)
        else:
            self.gone_since[rumour.name] = now_s
        if rumour.name not in self.order and rumour.status in PRESENT:
            self.order.insert(self.rng.randrange(len(self.order) + 1), rumour.name)
        return [Changed(rumour, before, f"heard from {source}")]

    def next_target(self) -> Rumour | None:
        """Round-robin over a list shuffled anew on each pass, as SWIM's section 4.3 says."""
        for _ in range(2):
            while self.order:
                rumour = self.view.members.get(self.order.pop())
                if rumour is not None and rumour.status in PRESENT:
                    return rumour
            self.order = [r.name for r in self.live()]
            self.rng.shuffle(self.order)
        return None

    def suspect(self, name: str, now_s: float) -> list[Action]:
        """This member's own probe of `name` failed."""
        known = self.view.members.get(name)
        if known is None or known.status is not Status.ALIVE:
            return []
        return self.learn(replace(known, status=Status.SUSPECT), now_s, self.me.name)

    def end_suspicions(self, now_s: float) -> list[Action]:
        """Suspects whose time is over are dead."""
        actions: list[Action] = []
        t = self.timing
        for name, (since_s, by) in list(self.suspicions.items()):
            wait_s = suspicion_timeout_s(
                self.count(), len(by) - 1, t.probe_interval_s, t.suspicion_alpha, t.suspicion_beta
            )
            known = self.view.members.get(name)
            if now_s - since_s >= wait_s and known is not None:
                actions += self.learn(replace(known, status=Status.DEAD), now_s, self.me.name)
        return actions

    def reap(self, now_s: float) -> None:
        """Forget those gone for so long that no message of theirs can be on its way."""
        for name, since_s in list(self.gone_since.items()):
            if now_s - since_s >= self.timing.reap_after_s:
                del self.gone_since[name]
                self.view.members.pop(name, None)
