"""Which route a request takes: one prefix tree of whole path segments for each class and caller, or any.

The cost of a look-up follows the path's depth, not the number of routes. docs/routes.md, "Order".
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from cloverkeel.fleet.routes.interface import RouteView

ClassCaller = tuple[bytes | None, bytes | None]  # class and caller; None: any


@dataclass(slots=True, frozen=True)
class MatchedRoute:
    """The route that a request takes: its number in the module's plan, and the transforms in the order in
    which they run. `chain` None: as if there were no route."""

    name: str
    number: int
    chain: tuple[str, ...] | None
    names_zones: bool = False  # it names zones


# What a prefix leads to: its routes in order, or the segments that go on, with its own routes under HERE.
# Plain lists and dicts: among 10,000 routes a look-up mostly waits for memory, and these are least to touch.
_Node = dict[bytes, Any]
OWN_ROUTES = b""


class Index:
    """`zone` is this gateway's own: routes of other zones are left out. `numbers` has the number of each
    route by its name, before the route is put."""

    def __init__(self, zone: str, numbers: Mapping[str, int]) -> None:
        self.zone, self.numbers = zone, numbers
        self._trees: dict[ClassCaller, _Node] = {}
        self._entries: dict[str, tuple[tuple[ClassCaller, ...], list[bytes], MatchedRoute]] = {}
        self._precedes: Mapping[str, frozenset[str]] = {}
        self._preceded_by: dict[str, set[str]] = {}  # the same by those that come after

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def set_precedence(self, precedes: Mapping[str, frozenset[str]]) -> None:
        """Go by this `View.behind` from now on."""
        if precedes is self._precedes:
            return
        self._precedes, self._preceded_by = precedes, {}
        for name, others in precedes.items():
            for other in others:
                self._preceded_by.setdefault(other, set()).add(name)

    def put(self, route: RouteView) -> None:
        """Take up a route, in place of the one of its name."""
        self.remove(route.name)
        values = route.values
        zones, chain = values.get("zones"), values.get("transforms")
        if zones and self.zone not in zones:
            return
        number = self.numbers[route.name]
        match = MatchedRoute(route.name, number, None if chain is None else tuple(chain), bool(zones))
        classes, callers = _names(values.get("classes")), _names(values.get("callers"))
        pairs = tuple((klass, caller) for klass in classes for caller in callers)
        segments = path_segments((values.get("path") or "").encode())
        for pair in pairs:
            _put(self._trees.setdefault(pair, {}), segments, match)
        self._entries[route.name] = pairs, segments, match

    def remove(self, name: str) -> None:
        """Forget a route; nothing where it is not there."""
        pairs, segments, match = self._entries.pop(name, ((), [], None))
        for pair in pairs:
            assert match is not None
            _remove(self._trees[pair], segments, match)
            if not self._trees[pair]:
                del self._trees[pair]

    def find(self, klass: bytes, caller: bytes, path: bytes) -> MatchedRoute | None:
        """The first in order of the routes that match; `path` is without its query."""
        trees, segments = self._trees, None
        for pair in ((klass, caller), (None, caller), (klass, None), (None, None)):
            node: Any = trees.get(pair)
            if node is None:
                continue
            if segments is None:
                segments = path_segments(path)
            routes = node.get(OWN_ROUTES)
            for segment in segments:
                node = node.get(segment)
                if node is None:
                    break
                if type(node) is list:
                    routes = node
                    break
                routes = node.get(OWN_ROUTES, routes)
            if routes is not None:
                first: MatchedRoute = routes[0]
                return (
                    first
                    if first.name not in self._preceded_by
                    else self._first_in_order(klass, caller, segments)
                )
        return None

    def _first_in_order(self, klass: bytes, caller: bytes, segments: list[bytes]) -> MatchedRoute:
        """The most specific of those that match and that no other of them comes before."""
        found = list(self._all_matches(klass, caller, segments))
        names = {match.name for match in found}
        free = (match for match in found if names.isdisjoint(self._preceded_by.get(match.name, ())))
        return next(free, found[0])  # none is free in a cycle alone, and a plan with one is not in service

    def _all_matches(self, klass: bytes, caller: bytes, segments: list[bytes]) -> Iterator[MatchedRoute]:
        """All that match, the most specific first."""
        for pair in ((klass, caller), (None, caller), (klass, None), (None, None)):
            node: Any = self._trees.get(pair)
            way: list[list[MatchedRoute]] = []
            for segment in (*segments, OWN_ROUTES):
                if not isinstance(node, dict):
                    break
                way.append(node.get(OWN_ROUTES, []))
                node = node.get(segment) if segment else None
            if isinstance(node, list):
                way.append(node)
            for routes in reversed(way):
                yield from routes


def _put(node: _Node, segments: list[bytes], match: MatchedRoute) -> None:
    *above, last = segments or (OWN_ROUTES,)
    for segment in above:
        child = node.get(segment)
        if not isinstance(child, dict):
            child = node[segment] = {} if child is None else {OWN_ROUTES: child}
        node = child
    routes = node.setdefault(last, [])
    if isinstance(routes, dict):
        routes = routes.setdefault(OWN_ROUTES, [])
    insort(routes, match, key=_sort_key)


def _remove(node: _Node, segments: list[bytes], match: MatchedRoute) -> None:
    """Take it out, and what holds nothing any more with it."""
    path_nodes = [node]
    for segment in segments:
        child = path_nodes[-1][segment]
        if isinstance(child, dict):
            path_nodes.append(child)
    key = OWN_ROUTES if len(path_nodes) > len(segments) else segments[-1]
    routes = path_nodes[-1][key]
    del routes[bisect_left(routes, _sort_key(match), key=_sort_key)]
    if not routes:
        del path_nodes[-1][key]
    for depth in range(len(path_nodes) - 1, 0, -1):
        if not path_nodes[depth]:
            del path_nodes[depth - 1][segments[depth - 1]]
        elif path_nodes[depth].keys() == {OWN_ROUTES}:
            path_nodes[depth - 1][segments[depth - 1]] = path_nodes[depth][OWN_ROUTES]
        else:
            break


def _sort_key(match: MatchedRoute) -> tuple[bool, str]:
    """A route's place among those of one prefix."""
    return not match.names_zones, match.name


def path_segments(path: bytes) -> list[bytes]:
    """Without empty ones: as the class of a request is read from its path."""
    return [segment for segment in path.split(b"/") if segment]


def _names(names: list[str] | None) -> list[bytes | None]:
    return [name.encode() for name in names] if names else [None]
