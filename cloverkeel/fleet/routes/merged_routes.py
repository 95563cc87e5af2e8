"""All routes as merged from the changes, without the excluded ones, and the conflicts of the plan.

Updated incrementally: a change costs only the work on the routes that it touches. The result is a function of
the changes, the excluded changes and the environment.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import replace

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes import conflicts
from cloverkeel.fleet.routes.fields import UNITS_PER_PERCENT
from cloverkeel.fleet.routes.interface import Conflict, Environment, RouteView, WaitingEdits
from cloverkeel.fleet.routes.order import RouteOrder
from cloverkeel.fleet.routes.overlaps import Overlaps, match_rule
from cloverkeel.fleet.routes.owners import classify
from cloverkeel.fleet.routes.registers import RouteChange, causal_key, newest
from cloverkeel.fleet.routes.route_merge import EMPTY_ROUTE, MergedRoute, merge_route

HASH_MODULUS = 2**128
STEP_ROUTES = 8  # routes merged in one step
STEP_CONFLICTS = 100  # possible conflicts checked in one step
Cause = tuple[str, ...]  # key of conflicts with one cause: a route, a pair or a cycle


class ConflictSet:
    """The current conflicts, by cause and sorted by id."""

    def __init__(self) -> None:
        self.blocking: dict[str, Conflict] = {}
        self._by_cause: dict[Cause, tuple[Conflict, ...]] = {}
        self._by_id: dict[str, Conflict] = {}
        self._ids: list[str] = []

    def put(self, cause: Cause, found: Iterable[Conflict] = ()) -> None:
        """Replace the conflicts of this cause."""
        for each in self._by_cause.pop(cause, ()):
            del self._by_id[each.id], self._ids[bisect_left(self._ids, each.id)]
            self.blocking.pop(each.id, None)
        if new := tuple(found):
            self._by_cause[cause] = new
        for each in new:
            self._by_id[each.id] = each
            insort(self._ids, each.id)
            if each.severity == "blocking":
                self.blocking[each.id] = each

    def all(self) -> tuple[Conflict, ...]:
        """All conflicts, sorted by id."""
        return tuple(map(self._by_id.__getitem__, self._ids))


class MergedRoutes:
    """The routes of the plan. `views`: by name; `hash_sum`: the sum of their hashes; `changed`: names of
    routes whose view changed since the caller cleared it; `excluded`: changes that are left out."""

    def __init__(self, environment: Environment) -> None:
        self.conflict_set = ConflictSet()
        self.views: dict[str, RouteView] = {}
        self.hash_sum = 0
        self.changed: dict[str, None] = {}
        self.waiting: dict[str, tuple[WaitingEdits, ...]] = {}
        self.excluded: set[Dot] = set()
        self.environment = environment
        self.order = RouteOrder()
        self.many_changes: dict[str, None] = {}  # routes that more than two changes touch
        self._route_changes: dict[str, list[RouteChange]] = {}
        self._merged: dict[str, MergedRoute] = {}
        self._overlaps = Overlaps(self.order)
        self._dirty: dict[str, None] = {}
        self._cycles: dict[str, tuple[str, ...]] = {}
        self._cycles_dirty = False
        # By owner and host type: for each route, its part of the limit in share units.
        self._limits: dict[tuple[str, str], dict[str, int]] = {}
        self._list_dependent: dict[str, None] = {}  # routes that name groups or labels
        self._list_dirty: dict[str, None] = {}  # routes to check against the list
        self._capacity_dirty: dict[tuple[str, str], None] = {}  # to check for excess

    def add_change(self, name: str, change: RouteChange) -> None:
        """Add what a change says of a route; ignored if it is already there."""
        changes = self._route_changes.setdefault(name, [])
        index = bisect_left(changes, causal_key(change), key=causal_key)
        if index == len(changes) or changes[index].dot != change.dot:
            changes.insert(index, change)
            self._dirty[name] = None
            if len(changes) > 2:
                self.many_changes[name] = None

    def remove_change(self, name: str, dot: Dot) -> None:
        """Remove what a change says of a route."""
        changes = [each for each in self._route_changes.get(name, ()) if each.dot != dot]
        self._dirty[name] = None
        if len(changes) <= 2:
            self.many_changes.pop(name, None)
        if changes:
            self._route_changes[name] = changes
        else:
            self._route_changes.pop(name, None)

    def invalidate(self, names: Iterable[str]) -> None:
        """Merge these routes again at the next `settle`."""
        self._dirty.update(dict.fromkeys(names))

    def set_environment(self, environment: Environment) -> None:
        """Use another environment: checks all routes again, or only those with groups and labels if no more
        changed."""
        old, self.environment = self.environment, environment
        if replace(old, groups=None, labels=None) != replace(environment, groups=None, labels=None):
            self.invalidate(self._route_changes)
            self._capacity_dirty.update(dict.fromkeys(self._limits))
        if (old.groups, old.labels) != (environment.groups, environment.labels):
            self._list_dirty.update(self._list_dependent)

    def active_changes(self, name: str) -> list[RouteChange]:
        """The changes of a route that are not excluded, sorted by `registers.causal_key`."""
        changes = self._route_changes.get(name, [])
        return [change for change in changes if change.dot not in self.excluded] if self.excluded else changes

    def merged(self, name: str) -> MergedRoute:
        """The route as last merged."""
        return self._merged.get(name, EMPTY_ROUTE)

    def settle(self) -> Iterator[None]:
        """Update in steps. If it is not run to its end, the next call continues."""
        for index, name in enumerate(list(self._dirty)):
            ordered = self.active_changes(name)
            self._store(name, merge_route(name, ordered, self.environment) if ordered else EMPTY_ROUTE)
            del self._dirty[name]
            if index % STEP_ROUTES == STEP_ROUTES - 1 or len(ordered) > STEP_ROUTES:
                yield
        yield from self.order.settle()
        self._overlaps.invalidate(self.order.changed)
        self.order.changed.clear()
        yield from self._overlaps.settle()
        for index, pair in enumerate(list(self._overlaps.changed)):
            self._update_overlap(*pair)
            del self._overlaps.changed[pair]
            if index % STEP_CONFLICTS == STEP_CONFLICTS - 1:
                yield
        for index, name in enumerate(list(self._list_dirty)):
            view = self.views.get(name)
            absent = None if view is None else conflicts.absent_conflict(view, self.environment)
            self.conflict_set.put(("absent", "", name), () if absent is None else (absent,))
            del self._list_dirty[name]
            if index % STEP_CONFLICTS == STEP_CONFLICTS - 1:
                yield
        self._settle_cycles()
        # Clear all of them first: a conflict keeps its id when a route goes to another owner.
        for owner_and_type in self._capacity_dirty:
            self.conflict_set.put(("room", "", *owner_and_type))
        for owner_and_type in self._capacity_dirty:
            self._update_capacity(*owner_and_type)
        self._capacity_dirty.clear()

    def newest_changes(self, names: Iterable[str]) -> list[RouteChange]:
        """Of the changes that take effect on these routes or accept others there, those that no other has
        seen."""
        moving_changes: dict[Dot, RouteChange] = {}
        for name in names:
            classified = classify(ordered := self.active_changes(name))
            moving = {change.dot for change in (*classified.counted, *classified.accepts)}
            moving_changes.update((change.dot, change) for change in ordered if change.dot in moving)
        return newest(sorted(moving_changes.values(), key=causal_key))

    def _store(self, name: str, new: MergedRoute) -> None:
        old = self.merged(name)
        if old == new:
            return
        if new is EMPTY_ROUTE:
            self._merged.pop(name, None)
        else:
            self._merged[name] = new
        if new.waiting:
            self.waiting[name] = new.waiting
        else:
            self.waiting.pop(name, None)
        if new.conflicts or old.conflicts:
            self.conflict_set.put((name,), new.conflicts)
        if old.view == new.view:
            return
        self.changed[name] = None
        self.hash_sum = (self.hash_sum - old.hash + new.hash) % HASH_MODULUS
        if old.view is not None:
            self._remove_limits(old.view)
        self._list_dirty[name] = None
        if new.view is None:
            del self.views[name]
            self._list_dependent.pop(name, None)
            self._overlaps.put(name, None)
            self.order.put(name, None)
            return
        self.views[name] = new.view
        self._add_limits(new.view)
        self._overlaps.put(name, match_rule(new.view))
        self.order.put(name, new.view.values.get("before", ()))
        for other in self._overlaps.pairs.get(name, ()):
            self._overlaps.changed[(name, other) if name < other else (other, name)] = None
        self._cycles_dirty |= name in self._cycles
        if any("groups" in target or "labels" in target for target in new.view.values.get("targets", ())):
            self._list_dependent[name] = None
        else:
            self._list_dependent.pop(name, None)

    def _update_overlap(self, a: str, b: str) -> None:
        if b in self._overlaps.pairs.get(a, ()):
            self.conflict_set.put((a, b), (conflicts.overlap_conflict(self.views[a], self.views[b]),))
        else:
            self.conflict_set.put((a, b))

    def _settle_cycles(self) -> None:
        if self.order.cycles == self._cycles and not self._cycles_dirty:
            return
        for old in set(self._cycles.values()):
            self.conflict_set.put(("cycle", "", *old))
        for cycle in set(self.order.cycles.values()):
            found = conflicts.cycle_conflict([self.views[name] for name in cycle])
            self.conflict_set.put(("cycle", "", *cycle), (found,))
        self._cycles, self._cycles_dirty = dict(self.order.cycles), False

    def _remove_limits(self, view: RouteView) -> None:
        for kind, _ in conflicts.limits_by_type(view):
            self._limits[view.owner, kind].pop(view.name, None)
            self._capacity_dirty[view.owner, kind] = None

    def _add_limits(self, view: RouteView) -> None:
        for kind, part in conflicts.limits_by_type(view):
            parts = self._limits.setdefault((view.owner, kind), {})
            parts[view.name] = parts.get(view.name, 0) + part
            self._capacity_dirty[view.owner, kind] = None

    def _update_capacity(self, owner: str, kind: str) -> None:
        parts = self._limits[owner, kind]
        capacity = self.environment.capacity.get(kind)
        over = capacity is not None and sum(parts.values()) > capacity * 100 * UNITS_PER_PERCENT
        found = (
            (conflicts.capacity_conflict(owner, kind, parts, capacity, self.views),)
            if over and capacity is not None
            else ()
        )
        self.conflict_set.put(("room", "", owner, kind), found)
