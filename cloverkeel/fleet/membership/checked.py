"""A member whose invariants are checked after every event: for labs, tests and `LB_CHECK=1`.

A subclass, so that a member without it pays nothing. What must hold, whatever comes in, in whatever order:

- a member is alive or has left in its own eyes, never in its own list of others; its incarnation never falls;
- each change of the view goes up in the rumours' order, and every change is told, from what was told before;
- a suspicion is of the very rumour held; a death that this member declares has the suspected incarnation;
- one event refutes at most once: an incarnation is raised for what is said of it, not for its echo;
- a rumour rides at most its limit, and anew for each of the confirmations expected; a queue holds one a name;
- a refused member, and one that has left, says nothing more.

Raises `invariants.BrokenError` through `invariants.check`.
"""

from __future__ import annotations

from cloverkeel.fleet import invariants
from cloverkeel.fleet.membership.broadcasts import retransmit_limit
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Action, MemberChanged, Join, Message, Push, Send
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import MemberUpdate, Status

EXPECTED_CONFIRMATIONS = 3  # confirmations that shorten a suspicion; each passes the rumour on anew
QUEUE_SLACK = 64  # rumours that may wait of names that were forgotten meanwhile, and its own
VIEW_CHECK_EVENTS = 64  # events between two looks at the whole view


class CheckedMember(Member):
    """`Member` with its invariants checked; built as it is."""

    reported: dict[str, MemberUpdate]  # the view, as `Changed` told it
    transmissions: dict[str, tuple[MemberUpdate, int]]  # a name's newest rumour as sent, how often it rode
    events_checked: int = 0
    highest_incarnation: int = 0  # of its own incarnations
    max_members: int = 1  # members known at once, at most

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
        rumour, before = change.update, change.previous
        if rumour.name == self.me.name:
            return
        if before is None:  # not known: never heard of, or gone and forgotten
            old = self.reported.get(rumour.name)
            known = old is not None and old.status in LIVE_STATUSES
            invariants.check(not known, "a present member was forgotten", member=self.me.name, of=rumour.name)
        else:
            fields = {"member": self.me.name, "new": rumour, "before": before}
            invariants.check(self.reported.get(rumour.name) == before, "a change was not told", **fields)
            invariants.check(rumour.precedence > before.precedence, "a view went back", **fields)
            invariants.check(rumour.incarnation >= before.incarnation, "an incarnation fell", **fields)
            if rumour.status is Status.DEAD and change.reason == f"heard from {self.me.name}":
                suspected = before.status is Status.SUSPECT and before.incarnation == rumour.incarnation
                invariants.check(suspected, "a death of one that was not suspected", **fields)
        self.reported[rumour.name] = rumour
        self.max_members = max(self.max_members, len(self.reported) + 1)

    def _check_retransmits(self, message: Message) -> None:
        limit = retransmit_limit(self.timing.retransmit_mult, self.max_members) * (1 + EXPECTED_CONFIRMATIONS)
        for rumour in message.updates:
            last, rode = self.transmissions.get(rumour.name, (rumour, 0))
            rode = rode + 1 if last == rumour else 1
            self.transmissions[rumour.name] = rumour, rode
            if rode > limit:
                invariants.check(False, "a rumour rides on", member=self.me.name, rumour=rumour, limit=limit)

    def _check_view(self) -> None:
        check, roster, name = invariants.check, self.roster, self.me.name
        members = roster.view.members
        check(name not in members, "a member is in its own list of others", member=name)
        for other in [other for other in self.reported if other not in members]:
            gone = self.reported.pop(other)
            self.transmissions.pop(other, None)
            check(gone.status not in LIVE_STATUSES, "a present member was forgotten", member=name, of=other)
        check(members == self.reported, "the view is not what was told", member=name)
        suspects = {r.name for r in members.values() if r.status is Status.SUSPECT}
        check(suspects == set(roster.suspicions), "suspicions are not of those held suspect", member=name)
        gone_names = {r.name for r in members.values() if r.status not in LIVE_STATUSES}
        check(gone_names == set(roster.gone_since), "a gone member would not be forgotten", member=name)
        waiting = len(roster.broadcasts.queued)
        check(waiting <= len(members) + QUEUE_SLACK, "rumours pile up", member=name, waiting=waiting)
