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
from cloverkeel.fleet.membership.broadcasts import retransmits
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Action, Changed, Join, Message, Push, Send
from cloverkeel.fleet.membership.roster import PRESENT
from cloverkeel.fleet.membership.rumours import Rumour, Status

EXPECTED = 3  # confirmations that shorten a suspicion; each passes the rumour on anew
FORGOTTEN = 64  # rumours that may wait of names that were forgotten meanwhile, and its own
WHOLE_EVERY = 64  # events between two looks at the whole view


class CheckedMember(Member):
    """`Member` with its invariants checked; built as it is."""

    told: dict[str, Rumour]  # the view, as `Changed` told it
    rides: dict[str, tuple[Rumour, int]]  # a name's newest rumour as sent, how often it rode
    checked: int = 0
    highest: int = 0  # of its own incarnations
    most: int = 1  # members known at once, at most

    def start(self, now_s: float) -> list[Action]:
        self.told, self.rides = {}, {}
        return self._checked(False, super().start(now_s))

    def leave(self, now_s: float) -> list[Action]:
        silent = self.refused or self.left
        return self._checked(silent, super().leave(now_s))

    def receive(self, message: Message, now_s: float) -> list[Action]:
        silent = self.refused or self.left
        return self._checked(silent, super().receive(message, now_s))

    def tick(self, now_s: float) -> list[Action]:
        silent = self.refused or self.left
        return self._checked(silent, super().tick(now_s))

    def _checked(self, silent: bool, actions: list[Action]) -> list[Action]:
        check, me = invariants.check, self.me
        check(not silent or not actions, "a member that is refused or has left speaks", member=me.name)
        check(me.status in (Status.ALIVE, Status.LEFT), "a member holds itself dead", member=me.name)
        check(me.incarnation >= self.highest, "a member's own incarnation fell", member=me.name)
        self.highest = me.incarnation
        own = [a for a in actions if isinstance(a, Changed) and a.rumour.name == me.name]
        check(len(own) <= 1, "one event was refuted twice", member=me.name, said=own)
        for action in actions:
            if isinstance(action, Changed):
                self._changed(action)
            elif isinstance(action, Send) and not isinstance(action.message, Push | Join):
                self._sent(action.message)
        self.checked += 1
        if self.checked % WHOLE_EVERY == 0:
            self._whole()
        return actions

    def _changed(self, change: Changed) -> None:
        rumour, before = change.rumour, change.before
        if rumour.name == self.me.name:
            return
        if before is None:  # not known: never heard of, or gone and forgotten
            old = self.told.get(rumour.name)
            known = old is not None and old.status in PRESENT
            invariants.check(not known, "a present member was forgotten", member=self.me.name, of=rumour.name)
        else:
            fields = {"member": self.me.name, "new": rumour, "before": before}
            invariants.check(self.told.get(rumour.name) == before, "a change was not told", **fields)
            invariants.check(rumour.order > before.order, "a view went back", **fields)
            invariants.check(rumour.incarnation >= before.incarnation, "an incarnation fell", **fields)
            if rumour.status is Status.DEAD and change.reason == f"heard from {self.me.name}":
                suspected = before.status is Status.SUSPECT and before.incarnation == rumour.incarnation
                invariants.check(suspected, "a death of one that was not suspected", **fields)
        self.told[rumour.name] = rumour
        self.most = max(self.most, len(self.told) + 1)

    def _sent(self, message: Message) -> None:
        limit = retransmits(self.timing.retransmit_mult, self.most) * (1 + EXPECTED)
        for rumour in message.rumours:
            last, rode = self.rides.get(rumour.name, (rumour, 0))
            rode = rode + 1 if last == rumour else 1
            self.rides[rumour.name] = rumour, rode
            if rode > limit:
                invariants.check(False, "a rumour rides on", member=self.me.name, rumour=rumour, limit=limit)

    def _whole(self) -> None:
        check, roster, name = invariants.check, self.roster, self.me.name
        members = roster.view.members
        check(name not in members, "a member is in its own list of others", member=name)
        for other in [other for other in self.told if other not in members]:
            gone = self.told.pop(other)
            self.rides.pop(other, None)
            check(gone.status not in PRESENT, "a present member was forgotten", member=name, of=other)
        check(members == self.told, "the view is not what was told", member=name)
        suspects = {r.name for r in members.values() if r.status is Status.SUSPECT}
        check(suspects == set(roster.suspicions), "suspicions are not of those held suspect", member=name)
        gone_names = {r.name for r in members.values() if r.status not in PRESENT}
        check(gone_names == set(roster.gone_since), "a gone member would not be forgotten", member=name)
        waiting = len(roster.broadcasts.waiting)
        check(waiting <= len(members) + FORGOTTEN, "rumours pile up", member=name, waiting=waiting)
