"""The order that `before` gives: which routes each comes before, through others too, and its cycles.

Kept under edits: only the closures of what leads to a route that changed are worked out anew.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

STEP_ROUTES = 100  # routes of one step


class RouteOrder:
    """`behind`: name to all routes that it comes before; where there are none, it has no entry."""

    def __init__(self) -> None:
        self.precedes: dict[str, frozenset[str]] = {}
        self.cycles: dict[str, tuple[str, ...]] = {}  # each route of a cycle to all of its routes
        self.changed: dict[str, None] = {}  # routes whose `behind` is another since the caller cleared this
        self._before: dict[str, Sequence[str]] = {}  # of the routes that there are
        self._named_by: dict[str, dict[str, None]] = {}  # name to the routes that name it
        self._dirty: dict[str, None] = {}

    def put(self, name: str, before: Sequence[str] | None) -> None:
        """None: there is no such route."""
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
        """Steps. Left off, it begins again with the next call."""
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
        """Whether one of them is before the other."""
        return b in self.precedes.get(a, ()) or a in self.precedes.get(b, ())

    def _closure(self, name: str, pending: dict[str, None]) -> frozenset[str]:
        """What `name` comes before; the closures of routes in `left` are not known yet."""
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
