"""Merges changes into the plan in service. docs/routes.md.

The result depends only on the set of changes and the environment, not on the order of arrival. Pure, without
a clock. Each step of `settle` is bounded work, so that the event loop can run between steps.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import Change
from cloverkeel.fleet.routes.compaction import droppable, routes_of
from cloverkeel.fleet.routes.fields import plan_hash
from cloverkeel.fleet.routes.interface import Conflict, Environment, RouteView, View, WaitingEdits
from cloverkeel.fleet.routes.merged_routes import MergedRoutes
from cloverkeel.fleet.routes.registers import RouteChange, SeenDots, count_dots

STEP_ITEMS = 100  # small items handled in one step
STEP_CHANGES = 40  # changes added in one step
EMPTY_VIEW = View(plan_hash(0), {}, {}, (), (), (), Context())


class Merge:
    """The incremental merge. `view`: the result of the last `settle` that was run to its end."""

    def __init__(self, environment: Environment) -> None:
        self.view = EMPTY_VIEW
        self._environment = environment
        self._routes = MergedRoutes(environment)
        self._changes: dict[Dot, Change] = {}
        self._to_add: dict[Dot, Change] = {}
        self._to_remove: dict[Dot, None] = {}
        self._adding: dict[Dot, Change] = {}  # taken from the two above by the settle under way
        self._removing: dict[Dot, None] = {}
        self._seen = SeenDots()
        self._rebuild_seen = False
        self._first_settle = True

    def add(self, change: Change) -> None:
        """Add a change for the next `settle`. A change that is already merged is ignored."""
        self._to_remove.pop(change.dot, None)
        if change.dot not in self._changes or change.dot in self._removing:
            self._to_add[change.dot] = change

    def drop(self, dot: Dot) -> None:
        """Remove a change that was deleted from the ledger, at the next `settle`."""
        self._to_add.pop(dot, None)
        if dot in self._changes or dot in self._adding:
            self._to_remove[dot] = None

    def set_environment(self, environment: Environment) -> None:
        """Validate routes against this environment from the next `settle` on."""
        self._environment = environment

    def settle(self) -> Iterator[None]:
        """Merge in steps. At its end `view` has all that was added before it began.

        If it is not run to its end, the next call continues the work.
        """
        merged_routes = self._routes
        self._adding.update(self._to_add)
        self._removing.update(self._to_remove)
        self._to_add, self._to_remove = {}, {}
        merged_routes.set_environment(self._environment)
        yield from self._remove_changes()
        yield from self._add_changes()
        yield from self._set_excluded(())
        yield from merged_routes.settle()
        found = {each.id: each for each in merged_routes.conflict_set.all()}
        yield
        while merged_routes.conflict_set.blocking:
            yield from self._exclude_blocking()
            yield from merged_routes.settle()
            # Also the conflicts that the plan has without the excluded changes.
            found |= {each.id: each for each in merged_routes.conflict_set.all()}
            yield
        conflicts = tuple(found[id] for id in sorted(found))
        yield from self._publish_view(conflicts, tuple(self._all_waiting()))

    def droppable(self) -> list[Dot]:
        """Superseded changes that can be deleted from the ledger without changing the plan."""
        if self._routes.excluded or self._to_add or self._adding or self._to_remove or self._removing:
            return []
        return droppable(self._routes, self._changes)

    def _add_changes(self) -> Iterator[None]:
        for index, change in enumerate(list(self._adding.values())):
            if change.dot not in self._changes:
                for position, (name, route_change) in enumerate(_route_changes(change)):
                    self._routes.add_change(name, route_change)
                    if position % STEP_ITEMS == STEP_ITEMS - 1:
                        yield
                self._seen.add(change.dot, change.context)
                self._changes[change.dot] = change
            del self._adding[change.dot]
            if index % STEP_CHANGES == STEP_CHANGES - 1:
                yield

    def _remove_changes(self) -> Iterator[None]:
        for dot in list(self._removing):
            if (change := self._changes.get(dot) or self._adding.get(dot)) is not None:
                for position, (name, _) in enumerate(_route_changes(change)):
                    self._routes.remove_change(name, dot)
                    if position % STEP_ITEMS == STEP_ITEMS - 1:
                        yield
                self._rebuild_seen = True
                self._changes.pop(dot, None)
                self._adding.pop(dot, None)
            self._routes.excluded.discard(dot)
            del self._removing[dot]
        if self._rebuild_seen:
            seen = SeenDots()
            for index, change in enumerate(list(self._changes.values())):
                seen.add(change.dot, change.context)
                if index % STEP_ITEMS == STEP_ITEMS - 1:
                    yield
            self._seen, self._rebuild_seen = seen, False

    def _set_excluded(self, dots: Iterable[Dot]) -> Iterator[None]:
        """Exclude exactly these changes from the plan."""
        new = set(dots)
        for dot in sorted(new ^ self._routes.excluded):
            self._routes.invalidate(routes_of(self._changes[dot]))
            yield
        self._routes.excluded = new

    def _exclude_blocking(self) -> Iterator[None]:
        """Exclude the newest changes of the routes in a blocking conflict, and all later changes that have
        seen them and touch the same routes: a later change alone would leave half a route in service."""
        excluded: set[Dot] = set()
        for conflict in list(self._routes.conflict_set.blocking.values()):
            excluded.update(route_change.dot for route_change in self._routes.newest_changes(conflict.routes))
            yield
        if not excluded:
            raise AssertionError("a blocking conflict without a change")
        todo = sorted(excluded)
        while todo:
            dot = todo.pop()
            for name in routes_of(self._changes[dot]):
                for route_change in self._routes.active_changes(name):
                    if route_change.dot not in excluded and route_change.context.covers(dot):
                        excluded.add(route_change.dot)
                        todo.append(route_change.dot)
                yield
        yield from self._set_excluded(self._routes.excluded | excluded)

    def _all_waiting(self) -> Iterator[WaitingEdits]:
        for name in sorted(self._routes.waiting):
            yield from self._routes.waiting[name]

    def _publish_view(self, found: tuple[Conflict, ...], waiting: tuple[WaitingEdits, ...]) -> Iterator[None]:
        merged_routes, previous = self._routes, self.view
        changed_routes: set[str] = set()
        for index, name in enumerate(merged_routes.changed):
            if not self._first_settle and merged_routes.views.get(name) != previous.routes.get(name):
                changed_routes.add(name)
            if index % STEP_ITEMS == STEP_ITEMS - 1:
                yield
        routes: dict[str, RouteView] = dict(merged_routes.views)
        yield
        self.view = View(
            plan_hash(merged_routes.hash_sum),
            routes,
            dict(merged_routes.order.precedes),
            found,
            waiting,
            tuple(sorted(merged_routes.excluded)),
            self._seen.context(),
            None if self._first_settle else frozenset(changed_routes),
        )
        merged_routes.changed.clear()
        self._first_settle = False


def merge_all(changes: Iterable[Change], environment: Environment) -> View:
    """The view of these changes, merged from scratch."""
    merge = Merge(environment)
    for change in changes:
        merge.add(change)
    for _ in merge.settle():
        pass
    return merge.view


def _route_changes(change: Change) -> list[tuple[str, RouteChange]]:
    """The parts of a change, by the route that they concern."""
    fields: dict[str, dict[str, object]] = {name: {} for name in routes_of(change)}
    accepts: dict[str, tuple[Dot, ...]] = {}
    for edit in change.edits:
        fields[edit.route][edit.field] = edit.value
    for each in change.accepts:
        accepts[each.route] = (*accepts.get(each.route, ()), each.dot)
    seen_count = count_dots(change.context)
    return [
        (
            name,
            RouteChange(
                change.dot, change.context, seen_count, change.team, fields[name], accepts.get(name, ())
            ),
        )
        for name in fields
    ]
