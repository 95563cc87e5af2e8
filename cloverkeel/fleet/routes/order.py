"""The order of routes by their `before` fields: its transitive closure and its cycles.

Updated incrementally: only the closures of routes that lead to a changed route are computed again.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

STEP_ROUTES = 100  # routes handled in one step


class RouteOrder:
    """`precedes`: by name, all routes that it comes before, transitively; no entry if there are none."""

    def __init__(self) -> None:
        self.precedes: dict[str, frozenset[str]] = {}
        self.cycles: dict[str, tuple[str, ...]] = {}  # by each route of a cycle: all its routes
        self.changed: dict[str, None] = {}  # routes whose `precedes` changed since the caller cleared this
        self._before: dict[str, Sequence[str]] = {}  # by existing route: its `before` field
        self._named_by: dict[str, dict[str, None]] = {}  # by name: the routes whose `before` names it
        self._dirty: dict[str, None] = {}

    def put(self, name: str, before: Sequence[str] | None) -> None:
        """Set the `before` field of a route. None: the route does not exist."""
        old = self._before.get(name)
        if old == before:
            return
        for other in old or ():
            self._named_by[other].pop(name, None)
            if not self._named_by[other]:
                del self._named_by[other]
        if before is None:
            del self._before[name]
        else:
            self._before[name] = before
        for other in before or ():
            self._named_by.setdefault(other, {})[name] = None
        if old or before or name in self._named_by:
            self._dirty[name] = None

    def settle(self) -> Iterator[None]:
        """Update in steps. If it is not run to its end, the next call starts again."""
        if not self._dirty:
            return
        reached = list(self._dirty)
        affected = dict(self._dirty)
        for index, name in enumerate(reached):
            for source in self._named_by.get(name, ()):
                if source not in affected:
                    affected[source] = None
                    reached.append(source)
            if index % STEP_ROUTES == STEP_ROUTES - 1:
                yield
        pending = dict(affected)
        for index, name in enumerate(affected):
            closure = self._closure(name, pending)
            del pending[name]
            if closure != self.precedes.get(name, frozenset()):
                self.changed[name] = None
                if closure:
                    self.precedes[name] = closure
                else:
                    del self.precedes[name]
            if index % STEP_ROUTES == STEP_ROUTES - 1:
                yield
        for index, name in enumerate(affected):
            if index % STEP_ROUTES == STEP_ROUTES - 1:
                yield
            if name in self.precedes.get(name, ()):
                self.cycles[name] = tuple(
                    sorted(other for other in self.precedes[name] if name in self.precedes.get(other, ()))
                )
            else:
                self.cycles.pop(name, None)
        self._dirty.clear()

    def are_ordered(self, a: str, b: str) -> bool:
        """Whether one of the routes comes before the other."""
        return b in self.precedes.get(a, ()) or a in self.precedes.get(b, ())

    def _closure(self, name: str, pending: dict[str, None]) -> frozenset[str]:
        """All routes that `name` comes before; the closures of routes in `pending` are not up to date."""
        found: set[str] = set()
        todo = list(self._before.get(name, ()))
        while todo:
            other = todo.pop()
            if other in found or other not in self._before:
                continue
            found.add(other)
            if other in pending:
                todo += self._before[other]
            else:
                found |= self.precedes.get(other, frozenset())
        return frozenset(found)
