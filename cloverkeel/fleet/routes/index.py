"""Which route a request takes: one prefix tree of whole path segments for each class and caller, or any.

The cost of a look-up follows the path's depth, not the number of routes. docs/routes.md, "Order".
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from cloverkeel.fleet.routes.interface import RouteView

Pair = tuple[bytes | None, bytes | None]  # class and caller; None: any


@dataclass(slots=True, frozen=True)
class Matched:
    """The route that a request takes: its number in the module's plan, and the transforms in the order in
    which they run. `chain` None: as if there were no route."""

    name: str
    number: int
    chain: tuple[str, ...] | None


Entry = tuple[bool, str, Matched]  # those that name a zone first, then by name


class _Node:
    """The routes of one prefix, in order, and the segments that go on from it; None where there are none."""

    __slots__ = ("children", "routes")

    def __init__(self) -> None:
        self.children: dict[bytes, _Node] | None = None
        self.routes: list[Entry] | None = None


class Index:
    """`zone` is this gateway's own: routes of other zones are left out. `numbers` has the number of each
    route by its name, before the route is put. `behind` is the view's: the routes that each comes before."""

    def __init__(self, zone: str, numbers: Mapping[str, int]) -> None:
        self.zone, self.numbers = zone, numbers
        self._trees: dict[Pair, _Node] = {}
        self._placed: dict[str, tuple[tuple[Pair, ...], tuple[bytes, ...], Entry]] = {}
        self._behind: Mapping[str, frozenset[str]] = {}
        self._ahead: dict[str, set[str]] = {}  # the same by those that come after

    def __len__(self) -> int:
        return len(self._placed)

    def __contains__(self, name: str) -> bool:
        return name in self._placed

    def order(self, behind: Mapping[str, frozenset[str]]) -> None:
        """Go by this order from now on."""
        if behind is self._behind:
            return
        self._behind, self._ahead = behind, {}
        for name, others in behind.items():
            for other in others:
                self._ahead.setdefault(other, set()).add(name)

    def put(self, route: RouteView) -> None:
        """Take up a route, in place of the one of its name."""
        self.remove(route.name)
        values = route.values
        zones, chain = values.get("zones"), values.get("transforms")
        if zones and self.zone not in zones:
            return
        matched = Matched(route.name, self.numbers[route.name], None if chain is None else tuple(chain))
        entry = (not zones, route.name, matched)
        pairs = tuple(
            (klass, caller)
            for klass in _names(values.get("classes"))
            for caller in _names(values.get("callers"))
        )
        segments = tuple(segments_of((values.get("path") or "").encode()))
        for pair in pairs:
            node = self._trees.setdefault(pair, _Node())
            for segment in segments:
                if node.children is None:
                    node.children = {}
                node = node.children.setdefault(segment, _Node())
            if node.routes is None:
                node.routes = []
            insort(node.routes, entry)
        self._placed[route.name] = pairs, segments, entry

    def remove(self, name: str) -> None:
        """Forget a route; nothing where it is not there."""
        pairs, segments, entry = self._placed.pop(name, ((), (), None))
        for pair in pairs:
            way = [self._trees[pair]]
            for segment in segments:
                way.append((way[-1].children or {})[segment])
            routes = way[-1].routes
            assert routes is not None and entry is not None
            del routes[bisect_left(routes, entry)]
            self._prune(pair, segments, way)

    def _prune(self, pair: Pair, segments: tuple[bytes, ...], way: list[_Node]) -> None:
        """Take out what holds nothing any more, from the leaf up."""
        for depth in range(len(way) - 1, -1, -1):
            node = way[depth]
            node.routes, node.children = node.routes or None, node.children or None
            if node.routes is not None or node.children is not None:
                return
            if depth == 0:
                del self._trees[pair]
            else:
                above = way[depth - 1].children
                assert above is not None
                del above[segments[depth - 1]]

    def find(self, klass: bytes, caller: bytes, path: bytes) -> Matched | None:
        """The first in order of the routes that match; `path` is without its query."""
        trees, segments = self._trees, None
        for pair in ((klass, caller), (None, caller), (klass, None), (None, None)):
            node = trees.get(pair)
            if node is None:
                continue
            if segments is None:
                segments = segments_of(path)
            routes = node.routes
            for segment in segments:
                if node.children is None:
                    break
                node = node.children.get(segment)
                if node is None:
                    break
                routes = node.routes or routes
            if routes is not None:
                first = routes[0][2]
                return first if first.name not in self._ahead else self._first(klass, caller, segments)
        return None

    def _first(self, klass: bytes, caller: bytes, segments: list[bytes]) -> Matched:
        """The most specific of those that match and that no other of them comes before."""
        found = list(self._all(klass, caller, segments))
        names = {matched.name for matched in found}
        free = (matched for matched in found if names.isdisjoint(self._ahead.get(matched.name, ())))
        return next(free, found[0])  # none is free in a cycle alone, and a plan with one is not in service

    def _all(self, klass: bytes, caller: bytes, segments: list[bytes]) -> Iterator[Matched]:
        """All that match, the most specific first."""
        for pair in ((klass, caller), (None, caller), (klass, None), (None, None)):
            node = self._trees.get(pair)
            way = []
            for segment in (*segments, None):
                if node is None:
                    break
                way.append(node.routes or [])
                node = (node.children or {}).get(segment) if segment is not None else None
            for routes in reversed(way):
                yield from (entry[2] for entry in routes)


def segments_of(path: bytes) -> list[bytes]:
    """Without empty ones: as the class of a request is read from its path."""
    return [segment for segment in path.split(b"/") if segment]


def _names(names: list[str] | None) -> list[bytes | None]:
    return [name.encode() for name in names] if names else [None]
