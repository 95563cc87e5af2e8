"""A member that checks its invariants after every event, for labs, tests and `LB_CHECK=1`.

It is a subclass, so that an unchecked member has no overhead. Whatever messages arrive, in whatever order:

- a member's own status is ALIVE or LEFT, it is not among its view's other members, and its incarnation never
  decreases;
- each change of the view increases the precedence, and each is reported, starting from the last one reported;
- there is a suspicion for exactly the members that the view holds suspect; a death that this member declares
  has the incarnation that was suspected;
- one event is refuted at most once: the incarnation is raised for an update, not for its repetition;
- an update is sent at most its retransmit limit, and as often again for each expected confirmation; the queue
  has one update per name;
- a member that is refused or has left sends nothing.

Raises `invariants.InvariantError` through `invariants.check`.
"""

from __future__ import annotations

from cloverkeel.fleet import invariants
from cloverkeel.fleet.membership.broadcasts import retransmit_limit
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Action, Join, MemberChanged, Message, Push, Send
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import MemberUpdate, Status

EXPECTED_CONFIRMATIONS = 3  # that shorten a suspicion; each queues the update again
QUEUE_SLACK = 64  # queued updates about reaped members and this one, beyond one per known member
VIEW_CHECK_EVENTS = 64  # events between two checks of the full view


class CheckedMember(Member):
    """`Member` with its invariants checked; it has the same constructor."""

    reported: dict[str, MemberUpdate]  # the view as reported by `MemberChanged`
    transmissions: dict[str, tuple[MemberUpdate, int]]  # by name: last update sent, number of times
    events_checked: int = 0
    highest_incarnation: int = 0  # that this member had
    max_members: int = 1  # highest number of members known at once

    def start(self, now_s: float) -> list[Action]:
        self.reported, self.transmissions = {}, {}
        return self._check_actions(False, super().start(now_s))

    def leave(self, now_s: float) -> list[Action]:
        silent = self.refused or self.left
        return self._check_actions(silent, super().leave(now_s))

    def receive(self, message: Message, now_s: float) -> list[Action]:
        silent = self.refused or self.left
        return self._check_actions(silent, super().receive(message, now_s))

    def tick(self, now_s: float) -> list[Action]:
        silent = self.refused or self.left
        return self._check_actions(silent, super().tick(now_s))

    def _check_actions(self, silent: bool, actions: list[Action]) -> list[Action]:
        """Check the actions of one event, and the full view every VIEW_CHECK_EVENTS; returns the actions."""
        check, me = invariants.check, self.me
        check(not silent or not actions, "a member that is refused or has left speaks", member=me.name)
        check(me.status in (Status.ALIVE, Status.LEFT), "a member holds itself dead", member=me.name)
        check(me.incarnation >= self.highest_incarnation, "a member's own incarnation fell", member=me.name)
        self.highest_incarnation = me.incarnation
        own = [a for a in actions if isinstance(a, MemberChanged) and a.update.name == me.name]
        check(len(own) <= 1, "one event was refuted twice", member=me.name, said=own)
        for action in actions:
            if isinstance(action, MemberChanged):
                self._check_change(action)
            elif isinstance(action, Send) and not isinstance(action.message, Push | Join):
                self._check_retransmits(action.message)
        self.events_checked += 1
        if self.events_checked % VIEW_CHECK_EVENTS == 0:
            self._check_view()
        return actions

    def _check_change(self, change: MemberChanged) -> None:
        """Check one reported change of another member."""
        update, previous = change.update, change.previous
        if update.name == self.me.name:
            return
        if previous is None:  # not known: never heard of, or reaped
            old = self.reported.get(update.name)
            known = old is not None and old.status in LIVE_STATUSES
            invariants.check(not known, "a live member was removed", member=self.me.name, of=update.name)
        else:
            fields = {"member": self.me.name, "new": update, "before": previous}
            invariants.check(self.reported.get(update.name) == previous, "a change was not told", **fields)
            invariants.check(
                update.precedence > previous.precedence, "a change of no higher precedence", **fields
            )
            invariants.check(update.incarnation >= previous.incarnation, "an incarnation fell", **fields)
            if update.status is Status.DEAD and change.reason == f"heard from {self.me.name}":
                suspected = previous.status is Status.SUSPECT and previous.incarnation == update.incarnation
                invariants.check(suspected, "a death of one member that was not suspected", **fields)
        self.reported[update.name] = update
        self.max_members = max(self.max_members, len(self.reported) + 1)

    def _check_retransmits(self, message: Message) -> None:
        """Check that no piggybacked update exceeds its retransmit limit."""
        limit = retransmit_limit(self.timing.retransmit_mult, self.max_members) * (1 + EXPECTED_CONFIRMATIONS)
        for update in message.updates:
            last, times = self.transmissions.get(update.name, (update, 0))
            times = times + 1 if last == update else 1
            self.transmissions[update.name] = update, times
            if times > limit:
                invariants.check(
                    False,
                    "an update goes on being sent beyond its limit",
                    member=self.me.name,
                    rumour=update,
                    limit=limit,
                )

    def _check_view(self) -> None:
        """Check the full view against the changes reported, the suspicions and the queue."""
        check, roster, name = invariants.check, self.roster, self.me.name
        members = roster.view.members
        check(name not in members, "a member is in its own list of others", member=name)
        for other in [other for other in self.reported if other not in members]:
            gone = self.reported.pop(other)
            self.transmissions.pop(other, None)
            check(gone.status not in LIVE_STATUSES, "a live member was removed", member=name, of=other)
        check(members == self.reported, "the view is not what was told", member=name)
        suspects = {r.name for r in members.values() if r.status is Status.SUSPECT}
        check(
            suspects == set(roster.suspicions),
            "suspicions are not those of the members held suspect",
            member=name,
        )
        gone_names = {r.name for r in members.values() if r.status not in LIVE_STATUSES}
        check(gone_names == set(roster.gone_since), "a gone member would not be reaped", member=name)
        waiting = len(roster.broadcasts.queued)
        check(waiting <= len(members) + QUEUE_SLACK, "too many rumours queued", member=name, waiting=waiting)
