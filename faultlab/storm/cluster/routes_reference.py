"""Reference model of the merge of routes (docs/routes.md, "Invariants"), without its contexts or its code.

`seen_by` holds what the writer of each change had seen. A plan is checked in full once for each set of
changes. Members that hold the same set later, received in any order, must have the same outcome.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.changes import DELETED, Change
from cloverkeel.fleet.routes.interface import RouteView, View

Field = tuple[str, str]  # (route, field)
MergeOutcome = tuple[object, ...]


def merge_outcome(view: View) -> MergeOutcome:
    """The parts of a view that must be the same for the same set of changes."""
    return (
        view.hash,
        tuple(c.id for c in view.conflicts if not c.local),
        tuple(sorted((w.dot, w.route, w.owner, repr(sorted(w.fields.items()))) for w in view.waiting)),
        tuple(sorted(view.held_back)),
        repr([(name, view.routes[name]) for name in sorted(view.routes)]),
        repr([(name, sorted(view.precedes[name])) for name in sorted(view.precedes) if view.precedes[name]]),
    )


class RoutesReference:
    """Is told of each commit and each view; `violations` is empty while all invariants hold."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.changes: dict[Dot, Change] = {}  # all commits
        self.seen_by: dict[Dot, frozenset[Dot]] = {}  # what the writer of each change had seen
        # By the changes held and the number of the environment.
        self.outcomes: dict[tuple[frozenset[Dot], int], MergeOutcome] = {}
        self.conflict_kinds: set[str] = set()  # kinds of conflicts that occurred
        self.checked_count = 0  # plans checked in full
        self.dropped: set[Dot] = set()  # superseded changes that were deleted

    def add_violation(self, violation: str) -> None:
        """Note a violation; only the first 20 are kept."""
        if len(self.violations) < 20:
            self.violations.append(violation)

    def record_commit(self, change: Change, seen: frozenset[Dot]) -> None:
        """A team committed a change, having seen the changes `seen`."""
        self.changes[change.dot] = change
        self.seen_by[change.dot] = seen

    def causal_past(self, held: Iterable[Dot]) -> frozenset[Dot]:
        """What a reader of these changes has seen, directly or through their writers."""
        dots = frozenset(held)
        return dots.union(*(self.seen_by[dot] for dot in dots))

    def check_view(
        self,
        member: str,
        held: Mapping[Dot, Change],
        received: Iterable[Dot],
        environment_number: int,
        view: View,
    ) -> tuple[bool, frozenset[Dot]]:
        """Check the view of a member. `received`: the changes that it holds or has dropped.

        Returns whether it is the first with these changes, and what a reader of the plan has seen.
        """
        covered = frozenset(dot for dot in self.changes if view.context.covers(dot))
        min_seen, max_seen = self.causal_past(held), self.causal_past(received)
        if not min_seen <= covered <= max_seen:
            self.add_violation(f"{member} has a context other than what it saw: {covered ^ min_seen}")
        key = frozenset(held), environment_number
        outcome = merge_outcome(view)
        before = self.outcomes.setdefault(key, outcome)
        if before != outcome:
            names = ("hash", "conflicts", "waiting", "held back", "routes", "order")
            differences = [n for n, a, b in zip(names, before, outcome, strict=True) if a != b]
            self.add_violation(
                f"{member} has the same {len(held)} changes as another, but other {', '.join(differences)}"
            )
        if before is outcome:
            self.checked_count += 1
            self._check_edits(member, held, view)
            self._check_plan(member, view)
        return before is outcome, min_seen | (covered & max_seen)

    # Edits: none is lost, none is applied in part, and none that was superseded is in effect.

    def _check_edits(self, member: str, held: Mapping[Dot, Change], view: View) -> None:
        """Check that each edit is in effect, in a conflict, waiting, held back or superseded."""
        withheld = set(view.held_back)
        if not withheld <= set(held):
            self.add_violation(f"{member} holds back what it does not hold: {withheld - set(held)}")
        waiting = {(w.dot, w.route) for w in view.waiting}
        # Changes that write a field and do not wait, by field. Field "": any field of the route.
        writers: dict[Field, list[Dot]] = defaultdict(list)
        for dot, change in held.items():
            for edit in change.edits:
                if (dot, edit.route) not in waiting:
                    writers[edit.route, edit.field].append(dot)
                    writers[edit.route, ""].append(dot)
        choices_shown = {(r, c.field, o.dot) for c in view.conflicts for r in c.routes for o in c.choices}
        choices_shown |= {(r, "", o.dot) for c in view.conflicts for r in c.routes for o in c.choices
                 if c.kind == "delete"}  # fmt: skip
        disputed = {(r, c.field) for c in view.conflicts if c.kind == "field" for r in c.routes}
        delete_disputed = {r for c in view.conflicts if c.kind == "delete" for r in c.routes}
        # A route is not checked while a change that its writers had seen is in flight or lost with its disks.
        missing = self.causal_past(held) - set(held) - self.dropped
        incomplete = {edit.route for dot in missing for edit in self.changes[dot].edits}
        incomplete |= {accept.route for dot in missing for accept in self.changes[dot].accepts}
        for dot, change in sorted(held.items()):
            if dot in withheld:
                continue
            for edit in change.edits:
                name, field = edit.route, edit.field
                if name in incomplete or (dot, name) in waiting:
                    continue
                if (name, field, dot) in choices_shown or (name, "", dot) in choices_shown:
                    continue
                successors = (*writers[name, field], *self._deletes(writers, name, held))
                if field == DELETED:  # any later edit creates the route again
                    successors = tuple(writers[name, ""])
                if any(dot in self.seen_by[d] for d in successors):
                    continue
                if name not in view.routes and (name, "owner") in disputed:  # not in service until resolved
                    continue
                if not self._is_shown(view.routes.get(name), field, edit.value, held):
                    self.add_violation(f"{member}: {dot} is lost: {name}.{field} = {edit.value!r}")
        for name, route in view.routes.items():
            for field, decided in route.decided.items():
                if decided.dot in withheld:
                    self.add_violation(f"{member}: {name}.{field} by {decided.dot}, which is held back")
                if decided.dot not in held:
                    self.add_violation(f"{member}: {name}.{field} by {decided.dot}, which is not held")
                elif (name, field) not in disputed and name not in delete_disputed:
                    superseding = [d for d in writers[name, field] if decided.dot in self.seen_by[d]]
                    superseding = [dot for dot in superseding if dot not in withheld]
                    if superseding:
                        self.add_violation(
                            f"{member}: {name}.{field} by {decided.dot}, and {superseding} had seen it"
                        )
        for conflict in view.conflicts:
            self.conflict_kinds.add(conflict.kind)
            if conflict.kind == "field":
                choice_dots = [choice.dot for choice in conflict.choices]
                for a, b in itertools.permutations(choice_dots, 2):
                    if a in self.seen_by[b]:
                        self.add_violation(f"{member}: {conflict.routes}.{conflict.field}: {b} had seen {a}")

    def _deletes(
        self, writers: Mapping[Field, list[Dot]], name: str, held: Mapping[Dot, Change]
    ) -> list[Dot]:
        """Changes that delete a route."""
        return [
            dot for dot in writers.get((name, DELETED), ())
            if any(e.route == name and e.field == DELETED and e.value is True for e in held[dot].edits)
        ]  # fmt: skip

    def _is_shown(self, route: RouteView | None, field: str, value: Any, held: Mapping[Dot, Change]) -> bool:
        """Whether the route has this value, from any change."""
        if field == DELETED:
            return route is None or value is not True
        if route is None:
            return False
        if field == "owner":  # without an owner in the first change, it is that change's team
            return bool(route.owner == value)
        decided = route.decided.get(field)
        if decided is None:
            found = route.values.get(field, route.unknown_fields.get(field))
            return bool(found == value or value in (None, []))
        return any(
            e.value == value for e in held[decided.dot].edits if (e.route, e.field) == (route.name, field)
        )

    # The plan in effect.

    def _check_plan(self, member: str, view: View) -> None:
        """Check, pair by pair, that no blocking conflict is in the plan."""
        for name, successors in view.precedes.items():
            if name in successors:
                self.add_violation(f"{member}: {name} comes before itself")
        for name, route in view.routes.items():
            if sum(target.get("share", 0) for target in route.values.get("targets", ())) > 100:
                self.add_violation(f"{member}: {name} has shares over 100 %")
            if "nobody-knows" in str(route.values):
                self.add_violation(f"{member}: {name} refers to an unknown name: {route.values}")
        for a, b in itertools.combinations(sorted(view.routes), 2):
            one, two = view.routes[a], view.routes[b]
            ordered = b in view.precedes.get(a, ()) or a in view.precedes.get(b, ())
            if one.owner != two.owner and not ordered and routes_overlap(one.values, two.values):
                self.add_violation(
                    f"{member}: {a} and {b} match the same requests, have two owners and no order"
                )


def routes_overlap(one: Mapping[str, Any], two: Mapping[str, Any]) -> bool:
    """Whether a request may match both routes."""
    for field in ("classes", "callers", "zones"):
        a, b = one.get(field), two.get(field)
        if a and b and not set(a) & set(b):
            return False
    a, b = [
        [segment for segment in (values.get("path") or "").split("/") if segment] for values in (one, two)
    ]
    return all(x == y for x, y in zip(a, b, strict=False))
