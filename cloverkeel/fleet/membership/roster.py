"""What one member knows of the others: view, suspicions, updates to send, and members that are gone."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from cloverkeel.fleet.membership.broadcasts import BroadcastQueue, retransmit_limit
from cloverkeel.fleet.membership.health import LocalHealth, suspicion_timeout_s
from cloverkeel.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_VIEW_DATAGRAMS,
    MESSAGE_OVERHEAD_BYTES,
    Action,
    ExchangeViews,
    MemberChanged,
    Message,
    Push,
    Send,
    Timing,
    update_bytes,
)
from cloverkeel.fleet.membership.updates import MemberUpdate, Status, View

LIVE_STATUSES = (Status.ALIVE, Status.SUSPECT)
EXPECTED_VERIFIERS = 6  # members, on average, that probe a new suspect next
# Accuser of every suspicion taken from a received view: one for all, so that many views confirm nothing.
VIEW_SOURCE = "-"


class Roster:
    """The view and the state that follows from its changes. The time `now_s` is passed in, in seconds."""

    def __init__(self, me: MemberUpdate, timing: Timing, rng: random.Random) -> None:
        self.view = View(me)
        self.timing, self.rng = timing, rng
        self.health = LocalHealth()
        self.broadcasts = BroadcastQueue()
        self.suspicions: dict[str, tuple[float, set[str]]] = {}  # by name: start in s, accusers
        self.gone_since: dict[str, float] = {}  # by name of a dead or left member: since when, in s
        self.probe_order: list[str] = []  # names to probe; the next one is last

    @property
    def me(self) -> MemberUpdate:
        return self.view.me

    def members(self) -> dict[str, MemberUpdate]:
        """All known members by name, this one included."""
        return {self.me.name: self.me} | self.view.members

    def live_others(self) -> list[MemberUpdate]:
        """The other members that are alive or suspect."""
        return [r for r in self.view.members.values() if r.status in LIVE_STATUSES]

    def live_count(self) -> int:
        """Number of live members, this one included."""
        return len(self.live_others()) + 1

    def send_with_updates(
        self,
        address: str,
        make: Callable[[tuple[MemberUpdate, ...]], Message],
        target: MemberUpdate | None = None,
    ) -> Send:
        """Build a message to `address` with as many piggybacked updates as fit in one datagram.

        `target` is the update that the message carries besides (a Ping carries only its name).
        """
        limit = retransmit_limit(self.timing.retransmit_mult, self.live_count())
        budget = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - update_bytes(self.me)
        if target is not None:
            budget -= update_bytes(target)
        return Send(address, make(tuple(self.broadcasts.select(budget, update_bytes, limit))))

    def push_view_to(self, address: str, reply: bool, first: str = "") -> list[Action]:
        """Send the full view in as many datagrams as needed, with the update of `first` in the first one.

        A view of more than MAX_VIEW_DATAGRAMS goes over a stream: this member starts the exchange if it wants
        a `reply`, else it sends one part, marked as truncated, so that the receiver does.
        """
        parts: list[list[MemberUpdate]] = []
        bytes_left = 0
        members = self.members()
        leading = [members.pop(first)] if first in members else []
        for update in [*leading, *members.values()]:
            size = update_bytes(update)
            if not parts or size > bytes_left:
                parts.append([])
                bytes_left = MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES - update_bytes(self.me)
            parts[-1].append(update)
            bytes_left -= size
        if len(parts) > MAX_VIEW_DATAGRAMS:
            if reply:
                return [ExchangeViews(address)]
            return [Send(address, Push(self.me, tuple(parts[0]), truncated=True))]
        return [Send(address, Push(self.me, tuple(part), reply)) for part in parts]

    def apply_update(self, update: MemberUpdate, now_s: float, source: str) -> list[Action]:
        """Apply an update about another member, received from `source`."""
        previous = self.view.members.get(update.name)
        same = previous is update or (
            previous is not None
            and previous.status is update.status
            and previous.incarnation == update.incarnation
            and previous.address == update.address
        )
        if same and update.status is not Status.SUSPECT:
            return []  # the common case: most of a received view is known
        if same and update.name in self.suspicions:
            accusers = self.suspicions[update.name][1]
            # An independent confirmation shortens the suspicion timeout.
            if (update.suspected_by or source) not in accusers:
                accusers.add(update.suspected_by or source)
                self.broadcasts.add(update)
            return []
        if self.view.merge(update) is None:
            return []
        self.broadcasts.add(update)
        if update.status is Status.SUSPECT:
            self.suspicions[update.name] = (now_s, {update.suspected_by or source})
            self._schedule_verification(update.name)
        else:
            self.suspicions.pop(update.name, None)
        if update.status in LIVE_STATUSES:
            self.gone_since.pop(update.name, None)
        else:
            self.gone_since[update.name] = now_s
        if update.name not in self.probe_order and update.status in LIVE_STATUSES:
            self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), update.name)
        return [MemberChanged(update, previous, f"heard from {source}")]

    def _schedule_verification(self, name: str) -> None:
        """With a probability that makes it EXPECTED_VERIFIERS members in the cluster, probe the suspect next.

        A member that answers is cleared soon, and one that does not gets its confirmations.
        """
        if self.rng.random() * self.live_count() < EXPECTED_VERIFIERS:
            if name in self.probe_order:
                self.probe_order.remove(name)
            self.probe_order.append(name)

    def is_reaped(self, update: MemberUpdate) -> bool:
        """Whether an update from a received view is about a gone member that is not known here (any more).

        Such an update is ignored; otherwise members that reap a little later would keep bringing back what
        this one has reaped.
        """
        known = update.name == self.me.name or update.name in self.view.members
        return update.status not in LIVE_STATUSES and not known

    def death_as_suspicion(self, update: MemberUpdate) -> MemberUpdate:
        """Turn a death in a received view, of a member that is live here, into a suspicion.

        The death may be left over from a partition; as a suspicion the member has time to refute it (as in
        memberlist's push-pull). Other updates are returned unchanged.
        """
        known = self.view.members.get(update.name)
        if update.status is Status.DEAD and known is not None and known.status in LIVE_STATUSES:
            return replace(update, status=Status.SUSPECT, suspected_by=VIEW_SOURCE)
        return update

    def gone_update_of(self, sender: MemberUpdate) -> MemberUpdate | None:
        """The view's entry for a sender that is dead or left here but says it is live; else None."""
        known = self.view.members.get(sender.name)
        if known is not None and known.status not in LIVE_STATUSES and sender.status in LIVE_STATUSES:
            return known
        return None

    def postpone(self, for_s: float) -> None:
        """Extend all suspicion timeouts by the length of a stall."""
        for name, (since_s, accusers) in self.suspicions.items():
            self.suspicions[name] = (since_s + for_s, accusers)

    def next_target(self) -> MemberUpdate | None:
        """Next live member to probe: round-robin over a list reshuffled on each pass (SWIM, section 4.3)."""
        for _ in range(2):
            while self.probe_order:
                update = self.view.members.get(self.probe_order.pop())
                if update is not None and update.status in LIVE_STATUSES:
                    return update
            self.probe_order = [r.name for r in self.live_others()]
            self.rng.shuffle(self.probe_order)
        return None

    def suspect(self, name: str, now_s: float) -> list[Action]:
        """Suspect `name` after this member's own probe of it failed."""
        known = self.view.members.get(name)
        if known is None or known.status not in LIVE_STATUSES:
            return []
        return self.apply_update(
            replace(known, status=Status.SUSPECT, suspected_by=self.me.name), now_s, self.me.name
        )

    def expire_suspicions(self, now_s: float) -> list[Action]:
        """Declare suspects dead whose suspicion timeout has passed."""
        actions: list[Action] = []
        timing = self.timing
        for name, (since_s, accusers) in list(self.suspicions.items()):
            wait_s = suspicion_timeout_s(
                self.live_count(),
                len(accusers) - 1,
                timing.probe_interval_s,
                timing.suspicion_alpha,
                timing.suspicion_beta,
            )
            known = self.view.members.get(name)
            if now_s - since_s >= wait_s and known is not None:
                actions += self.apply_update(
                    replace(known, status=Status.DEAD, suspected_by=""), now_s, self.me.name
                )
        return actions

    def reap(self, now_s: float) -> None:
        """Remove members gone for `reap_after_s`: no message of theirs can still be in transit."""
        for name, since_s in list(self.gone_since.items()):
            if now_s - since_s >= self.timing.reap_after_s:
                del self.gone_since[name]
                self.view.members.pop(name, None)
