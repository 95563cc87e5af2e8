"""What one member holds of the others: the view, suspicions under way, rumours to pass on, who is gone."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from cloverkeel.fleet.membership.broadcasts import BroadcastQueue, retransmit_limit
from cloverkeel.fleet.membership.health import LocalHealth, suspicion_timeout_s
from cloverkeel.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    MAX_VIEW_DATAGRAMS,
    Action,
    MemberChanged,
    ExchangeViews,
    Message,
    Push,
    Send,
    Timing,
    update_bytes,
)
from cloverkeel.fleet.membership.updates import MemberUpdate, Status, View

LIVE_STATUSES = (Status.ALIVE, Status.SUSPECT)
EXPECTED_VERIFIERS = 6
VIEW_SOURCE = "-"  # holds every suspicion that was read in a view, so that many views confirm nothing


class Roster:
    """The view with all that follows from a change in it. No clock: `now_s` is passed in, in seconds."""

    def __init__(self, me: MemberUpdate, timing: Timing, rng: random.Random) -> None:
        self.view = View(me)
        self.timing, self.rng = timing, rng
        self.health = LocalHealth()
        self.broadcasts = BroadcastQueue()
        self.suspicions: dict[str, tuple[float, set[str]]] = {}  # name: since_s, who suspected it
        self.gone_since: dict[str, float] = {}  # dead or left: since_s
        self.probe_order: list[str] = []  # whom to probe, the next one last

    @property
    def me(self) -> MemberUpdate:
        return self.view.me

    def members(self) -> dict[str, MemberUpdate]:
        return {self.me.name: self.me} | self.view.members

    def live_others(self) -> list[MemberUpdate]:
        """The others that are alive or suspect."""
        return [r for r in self.view.members.values() if r.status in LIVE_STATUSES]

    def live_count(self) -> int:
        return len(self.live_others()) + 1

    def send_with_updates(
        self,
        address: str,
        make: Callable[[tuple[MemberUpdate, ...]], Message],
        target: MemberUpdate | None = None,
    ) -> Send:
        """A message to `address` with as many rumours on it as fit one datagram beside `target`, which a
        ping names and other messages carry whole."""
        limit = retransmit_limit(self.timing.retransmit_mult, self.live_count())
        budget = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - update_bytes(self.me)
        if target is not None:
            budget -= update_bytes(target)
        return Send(address, make(tuple(self.broadcasts.select(budget, update_bytes, limit))))

    def push_view_to(self, address: str, reply: bool, first: str = "") -> list[Action]:
        """The whole view, in as many datagrams as it takes, `first`'s rumour in the first of them. A view
        of more than MOST_DATAGRAMS goes over a stream: asked for with `reply`, else the other is told."""
        parts: list[list[MemberUpdate]] = []
        left = 0
        members = self.members()
        ahead = [members.pop(first)] if first in members else []
        for rumour in [*ahead, *members.values()]:
            size = update_bytes(rumour)
            if not parts or size > left:
                parts.append([])
                left = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - update_bytes(self.me)
            parts[-1].append(rumour)
            left -= size
        if len(parts) > MAX_VIEW_DATAGRAMS:
            if reply:
                return [ExchangeViews(address)]
            return [Send(address, Push(self.me, tuple(parts[0]), truncated=True))]
        return [Send(address, Push(self.me, tuple(part), reply)) for part in parts]

    def apply_update(self, rumour: MemberUpdate, now_s: float, source: str) -> list[Action]:
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
            if (rumour.suspected_by or source) not in by:  # an independent confirmation shortens the wait
                by.add(rumour.suspected_by or source)
                self.broadcasts.add(rumour)
            return []
        if self.view.merge(rumour) is None:
            return []
        self.broadcasts.add(rumour)
        if rumour.status is Status.SUSPECT:
            self.suspicions[rumour.name] = (now_s, {rumour.suspected_by or source})
            self._schedule_verification(rumour.name)
        else:
            self.suspicions.pop(rumour.name, None)
        if rumour.status in LIVE_STATUSES:
            self.gone_since.pop(rumour.name, None)
        else:
            self.gone_since[rumour.name] = now_s
        if rumour.name not in self.probe_order and rumour.status in LIVE_STATUSES:
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), rumour.name)
        return [MemberChanged(rumour, before, f"heard from {source}")]

    def _schedule_verification(self, name: str) -> None:
        """Some VERIFIERS of all that hear of a suspicion probe the suspect next: a member that answers is
        soon cleared, and one that does not has its confirmations."""
        if self.rng.random() * self.live_count() < EXPECTED_VERIFIERS:
            if name in self.probe_order:
                self.probe_order.remove(name)
            self.probe_order.append(name)

    def is_reaped(self, rumour: MemberUpdate) -> bool:
        """Whether a rumour from another's whole view tells of one that is gone there and not known here (any
        more): those that reap a little later would else bring back for ever what this member has reaped."""
        known = rumour.name == self.me.name or rumour.name in self.view.members
        return rumour.status not in LIVE_STATUSES and not known

    def death_as_suspicion(self, rumour: MemberUpdate) -> MemberUpdate:
        """A death read in another's whole view, of one that is present here, counts as a suspicion: it may be
        old news of a partition, and the member has the time to refute it (as memberlist's push-pull does)."""
        known = self.view.members.get(rumour.name)
        if rumour.status is Status.DEAD and known is not None and known.status in LIVE_STATUSES:
            return replace(rumour, status=Status.SUSPECT, suspected_by=VIEW_SOURCE)
        return rumour

    def gone_update_of(self, sender: MemberUpdate) -> MemberUpdate | None:
        """What is held of a member that is gone here, and yet speaks; None: it is present here too."""
        held = self.view.members.get(sender.name)
        if held is not None and held.status not in LIVE_STATUSES and sender.status in LIVE_STATUSES:
            return held
        return None

    def postpone(self, for_s: float) -> None:
        """Suspicions end so much later."""
        for name, (since_s, by) in self.suspicions.items():
            self.suspicions[name] = (since_s + for_s, by)

    def next_target(self) -> MemberUpdate | None:
        """Round-robin over a list shuffled anew on each pass, as SWIM's section 4.3 says."""
        for _ in range(2):
            while self.probe_order:
                rumour = self.view.members.get(self.probe_order.pop())
                if rumour is not None and rumour.status in LIVE_STATUSES:
                    return rumour
            self.probe_order = [r.name for r in self.live_others()]
            self.rng.shuffle(self.probe_order)
        return None

    def suspect(self, name: str, now_s: float) -> list[Action]:
        """This member's own probe of `name` failed."""
        known = self.view.members.get(name)
        if known is None or known.status not in LIVE_STATUSES:
            return []
        return self.apply_update(
            replace(known, status=Status.SUSPECT, suspected_by=self.me.name), now_s, self.me.name
        )

    def expire_suspicions(self, now_s: float) -> list[Action]:
        """Suspects whose time is over are dead."""
        actions: list[Action] = []
        t = self.timing
        for name, (since_s, by) in list(self.suspicions.items()):
            wait_s = suspicion_timeout_s(
                self.live_count(), len(by) - 1, t.probe_interval_s, t.suspicion_alpha, t.suspicion_beta
            )
            known = self.view.members.get(name)
            if now_s - since_s >= wait_s and known is not None:
                actions += self.apply_update(
                    replace(known, status=Status.DEAD, suspected_by=""), now_s, self.me.name
                )
        return actions

    def reap(self, now_s: float) -> None:
        """Forget those gone for so long that no message of theirs can be on its way."""
        for name, since_s in list(self.gone_since.items()):
            if now_s - since_s >= self.timing.reap_after_s:
                del self.gone_since[name]
                self.view.members.pop(name, None)
