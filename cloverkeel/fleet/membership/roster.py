"""What one member holds of the others: the view, suspicions under way, rumours to pass on, who is gone."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from cloverkeel.fleet.membership.broadcasts import Broadcasts, retransmits
from cloverkeel.fleet.membership.health import LocalHealth, suspicion_timeout_s
from cloverkeel.fleet.membership.messages import (
    DATAGRAM_BYTES,
    MESSAGE_BYTES,
    MOST_DATAGRAMS,
    Action,
    Changed,
    Exchange,
    Message,
    Push,
    Send,
    Timing,
    rumour_bytes,
)
from cloverkeel.fleet.membership.rumours import Rumour, Status, View

PRESENT = (Status.ALIVE, Status.SUSPECT)
VERIFIERS = 6
HEARSAY = "-"  # holds every suspicion that was read in a view, so that many views confirm nothing


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

    def send(
        self, address: str, make: Callable[[tuple[Rumour, ...]], Message], target: Rumour | None = None
    ) -> Send:
        """A message to `address` with as many rumours on it as fit one datagram beside `target`, which a
        ping names and other messages carry whole."""
        limit = retransmits(self.timing.retransmit_mult, self.count())
        budget = DATAGRAM_BYTES - MESSAGE_BYTES - rumour_bytes(self.me)
        if target is not None:
            budget -= rumour_bytes(target)
        return Send(address, make(tuple(self.broadcasts.take(budget, rumour_bytes, limit))))

    def push_to(self, address: str, reply: bool, first: str = "") -> list[Action]:
        """The whole view, in as many datagrams as it takes, `first`'s rumour in the first of them. A view
        of more than MOST_DATAGRAMS goes over a stream: asked for with `reply`, else the other is told."""
        parts: list[list[Rumour]] = []
        left = 0
        members = self.members()
        ahead = [members.pop(first)] if first in members else []
        for rumour in [*ahead, *members.values()]:
            size = rumour_bytes(rumour)
            if not parts or size > left:
                parts.append([])
                left = DATAGRAM_BYTES - MESSAGE_BYTES - rumour_bytes(self.me)
            parts[-1].append(rumour)
            left -= size
        if len(parts) > MOST_DATAGRAMS:
            if reply:
                return [Exchange(address)]
            return [Send(address, Push(self.me, tuple(parts[0]), more=True))]
        return [Send(address, Push(self.me, tuple(part), reply)) for part in parts]

    def learn(self, rumour: Rumour, now_s: float, source: str) -> list[Action]:
        """Take what `source` says of another member."""
        before = self.view.members.get(rumour.name)
        same = before is rumour or (
            before is not None
            and before.status is rumour.status
            and before.incarnation == rumour.incarnation
            and before.address == rumour.address
        )
        if same and rumour.status is not Status.SUSPECT:
            return []  # nearly all that whole views say
        if same and rumour.name in self.suspicions:
            by = self.suspicions[rumour.name][1]
            if (rumour.by or source) not in by:  # an independent confirmation shortens the wait
                by.add(rumour.by or source)
                self.broadcasts.add(rumour)
            return []
        if self.view.merge(rumour) is None:
            return []
        self.broadcasts.add(rumour)
        if rumour.status is Status.SUSPECT:
            self.suspicions[rumour.name] = (now_s, {rumour.by or source})
            self._verify(rumour.name)
        else:
            self.suspicions.pop(rumour.name, None)
        if rumour.status in PRESENT:
            self.gone_since.pop(rumour.name, None)
        else:
            self.gone_since[rumour.name] = now_s
        if rumour.name not in self.order and rumour.status in PRESENT:
            self.order.insert(self.rng.randrange(len(self.order) + 1), rumour.name)
        return [Changed(rumour, before, f"heard from {source}")]

    def _verify(self, name: str) -> None:
        """Some VERIFIERS of all that hear of a suspicion probe the suspect next: a member that answers is
        soon cleared, and one that does not has its confirmations."""
        if self.rng.random() * self.count() < VERIFIERS:
            if name in self.order:
                self.order.remove(name)
            self.order.append(name)

    def forgotten(self, rumour: Rumour) -> bool:
        """Whether a rumour from another's whole view tells of one that is gone there and not known here (any
        more): those that reap a little later would else bring back for ever what this member has reaped."""
        known = rumour.name == self.me.name or rumour.name in self.view.members
        return rumour.status not in PRESENT and not known

    def doubted(self, rumour: Rumour) -> Rumour:
        """A death read in another's whole view, of one that is present here, counts as a suspicion: it may be
        old news of a partition, and the member has the time to refute it (as memberlist's push-pull does)."""
        known = self.view.members.get(rumour.name)
        if rumour.status is Status.DEAD and known is not None and known.status in PRESENT:
            return replace(rumour, status=Status.SUSPECT, by=HEARSAY)
        return rumour

    def held_gone(self, sender: Rumour) -> Rumour | None:
        """What is held of a member that is gone here, and yet speaks; None: it is present here too."""
        held = self.view.members.get(sender.name)
        if held is not None and held.status not in PRESENT and sender.status in PRESENT:
            return held
        return None

    def put_off(self, for_s: float) -> None:
        """Suspicions end so much later."""
        for name, (since_s, by) in self.suspicions.items():
            self.suspicions[name] = (since_s + for_s, by)

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
        if known is None or known.status not in PRESENT:
            return []
        return self.learn(replace(known, status=Status.SUSPECT, by=self.me.name), now_s, self.me.name)

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
                actions += self.learn(replace(known, status=Status.DEAD, by=""), now_s, self.me.name)
        return actions

    def reap(self, now_s: float) -> None:
        """Forget those gone for so long that no message of theirs can be on its way."""
        for name, since_s in list(self.gone_since.items()):
            if now_s - since_s >= self.timing.reap_after_s:
                del self.gone_since[name]
                self.view.members.pop(name, None)
