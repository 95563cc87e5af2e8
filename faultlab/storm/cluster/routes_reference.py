"""What the merge of routes must keep (docs/routes.md, "Invariants"), judged without its contexts or its code.

`seen_by` says what each change's writer had really seen. A plan is judged in full once for each set of
changes held; whoever holds the same set later, in whatever order it came, must come to the same.
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
    """What equal changes must come to alike."""
    return (
        view.hash,
        tuple(c.id for c in view.conflicts if not c.local),
        tuple(sorted((w.dot, w.route, w.owner, repr(sorted(w.fields.items()))) for w in view.waiting)),
        tuple(sorted(view.held_back)),
        repr([(name, view.routes[name]) for name in sorted(view.routes)]),
        repr([(name, sorted(view.precedes[name])) for name in sorted(view.precedes) if view.precedes[name]]),
    )


class RoutesReference:
    """Told of every commit and of every view; `violations` is empty where all held."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.changes: dict[Dot, Change] = {}
        self.seen_by: dict[Dot, frozenset[Dot]] = {}
        self.outcomes: dict[
            tuple[frozenset[Dot], int], MergeOutcome
        ] = {}  # by changes held and number of world
        self.conflict_kinds: set[str] = set()  # of conflicts that came about
        self.checked_count = 0
        self.dropped: set[Dot] = set()

    def add_violation(self, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(what)

    def record_commit(self, change: Change, seen: frozenset[Dot]) -> None:
        self.changes[change.dot] = change
        self.seen_by[change.dot] = seen

    def causal_past(self, held: Iterable[Dot]) -> frozenset[Dot]:
        """What a reader of these changes has seen, directly or through their writers."""
        dots = frozenset(held)
        return dots.union(*(self.seen_by[dot] for dot in dots))

    def check_view(
        self, who: str, held: Mapping[Dot, Change], taken: Iterable[Dot], world: int, view: View
    ) -> tuple[bool, frozenset[Dot]]:
        """`who` has come to this; `taken`: what it holds and what it has dropped. Returns whether it was the
        first with these changes, and what a reader of the plan has seen."""
        covered = frozenset(dot for dot in self.changes if view.context.covers(dot))
        least, most = self.causal_past(held), self.causal_past(taken)
        if not least <= covered <= most:
            self.add_violation(f"{who} has a context other than what it saw: {covered ^ least}")
        key = frozenset(held), world
        found = merge_outcome(view)
        before = self.outcomes.setdefault(key, found)
        if before != found:
            names = ("hash", "conflicts", "waiting", "held back", "routes", "order")
            parts = [n for n, a, b in zip(names, before, found, strict=True) if a != b]
            self.add_violation(f"{who} has another's {len(held)} changes and other {', '.join(parts)}")
        if before is found:
            self.checked_count += 1
            self._check_edits(who, held, view)
            self._check_plan(who, view)
        return before is found, least | (covered & most)

    # Edits: nothing is gone, nothing comes in parts, nothing that was superseded comes back.

    def _check_edits(self, who: str, held: Mapping[Dot, Change], view: View) -> None:
        back = set(view.held_back)
        if not back <= set(held):
            self.add_violation(f"{who} holds back what it does not hold: {back - set(held)}")
        waiting = {(w.dot, w.route) for w in view.waiting}
        writers: dict[Field, list[Dot]] = defaultdict(list)  # whose writes count, or will once the
        # plan is mended; field "": any of the route
        for dot, change in held.items():
            for edit in change.edits:
                if (dot, edit.route) not in waiting:
                    writers[edit.route, edit.field].append(dot)
                    writers[edit.route, ""].append(dot)
        told = {(r, c.field, o.dot) for c in view.conflicts for r in c.routes for o in c.choices}
        told |= {(r, "", o.dot) for c in view.conflicts for r in c.routes for o in c.choices
                 if c.kind == "delete"}  # fmt: skip
        disputed = {(r, c.field) for c in view.conflicts if c.kind == "field" for r in c.routes}
        unsure = {r for c in view.conflicts if c.kind == "delete" for r in c.routes}
        # A route with a cause still on its way, or lost with the disks that had it, is judged later.
        missing = self.causal_past(held) - set(held) - self.dropped
        gaps = {edit.route for dot in missing for edit in self.changes[dot].edits}
        gaps |= {accept.route for dot in missing for accept in self.changes[dot].accepts}
        for dot, change in sorted(held.items()):
            if dot in back:
                continue
            for edit in change.edits:
                name, field = edit.route, edit.field
                if name in gaps or (dot, name) in waiting:
                    continue
                if (name, field, dot) in told or (name, "", dot) in told:
                    continue
                later = (*writers[name, field], *self._deletes(writers, name, held))
                if field == DELETED:  # what comes after it makes the route anew
                    later = tuple(writers[name, ""])
                if any(dot in self.seen_by[d] for d in later):
                    continue
                if name not in view.routes and (name, "owner") in disputed:  # not in service until resolved
                    continue
                if not self._is_shown(view.routes.get(name), field, edit.value, held):
                    self.add_violation(f"{who}: {dot} is gone: {name}.{field} = {edit.value!r}")
        for name, route in view.routes.items():
            for field, decided in route.decided.items():
                if decided.dot in back:
                    self.add_violation(f"{who}: {name}.{field} by {decided.dot}, which is held back")
                if decided.dot not in held:
                    self.add_violation(f"{who}: {name}.{field} by {decided.dot}, which is not held")
                elif (name, field) not in disputed and name not in unsure:
                    over = [d for d in writers[name, field] if decided.dot in self.seen_by[d]]
                    over = [dot for dot in over if dot not in back]
                    if over:
                        self.add_violation(f"{who}: {name}.{field} by {decided.dot}, and {over} had seen it")
        for conflict in view.conflicts:
            self.conflict_kinds.add(conflict.kind)
            if conflict.kind == "field":
                sides = [choice.dot for choice in conflict.choices]
                for a, b in itertools.permutations(sides, 2):
                    if a in self.seen_by[b]:
                        self.add_violation(f"{who}: {conflict.routes}.{conflict.field}: {b} had seen {a}")

    def _deletes(
        self, writers: Mapping[Field, list[Dot]], name: str, held: Mapping[Dot, Change]
    ) -> list[Dot]:
        return [
            dot for dot in writers.get((name, DELETED), ())
            if any(e.route == name and e.field == DELETED and e.value is True for e in held[dot].edits)
        ]  # fmt: skip

    def _is_shown(self, route: RouteView | None, field: str, value: Any, held: Mapping[Dot, Change]) -> bool:
        """Whether the plan has this value, of whichever change."""
        if field == DELETED:
            return route is None or value is not True
        if route is None:
            return False
        if field == "owner":  # it may be that of a first change that named none
            return bool(route.owner == value)
        decided = route.decided.get(field)
        if decided is None:
            found = route.values.get(field, route.unknown_fields.get(field))
            return bool(found == value or value in (None, []))
        return any(
            e.value == value for e in held[decided.dot].edits if (e.route, e.field) == (route.name, field)
        )

    # The plan in service.

    def _check_plan(self, who: str, view: View) -> None:
        """No blocking conflict is in it, looked for here pair by pair."""
        for name, behind in view.precedes.items():
            if name in behind:
                self.add_violation(f"{who}: {name} comes before itself")
        for name, route in view.routes.items():
            if sum(target.get("share", 0) for target in route.values.get("targets", ())) > 100:
                self.add_violation(f"{who}: {name} has shares over 100 %")
            if "nobody-knows" in str(route.values):
                self.add_violation(f"{who}: {name} names what nobody knows: {route.values}")
        for a, b in itertools.combinations(sorted(view.routes), 2):
            one, two = view.routes[a], view.routes[b]
            ordered = b in view.precedes.get(a, ()) or a in view.precedes.get(b, ())
            if one.owner != two.owner and not ordered and routes_overlap(one.values, two.values):
                self.add_violation(f"{who}: {a} and {b} match the same requests, of two teams, without order")


def routes_overlap(one: Mapping[str, Any], two: Mapping[str, Any]) -> bool:
    """Whether some request is matched by both."""
    for field in ("classes", "callers", "zones"):
        a, b = one.get(field), two.get(field)
        if a and b and not set(a) & set(b):
            return False
    a, b = [[part for part in (each.get("path") or "").split("/") if part] for each in (one, two)]
    return all(x == y for x, y in zip(a, b, strict=False))
