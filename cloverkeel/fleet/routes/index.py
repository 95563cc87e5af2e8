"""Finds the route of a request: a prefix tree of path segments for each pair of class and caller.

The cost of a look-up depends on the depth of the path, not on the number of routes. docs/routes.md, "Order".
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
    """The route of a request.

    `number`: the route in the balancer's plan. `chain`: its transforms in the order in which they run; None:
    the route names none, and the request gets those that it would get without a route.
    """

    name: str
    number: int
    chain: tuple[str, ...] | None
    names_zones: bool = False


# A prefix maps to the sorted list of its routes or, if longer prefixes exist, to a dict of the next segments
# with its own routes under OWN_ROUTES. Plain lists and dicts, as they touch the least memory: among 10,000
# routes a look-up mostly waits for memory.
_Node = dict[bytes, Any]
OWN_ROUTES = b""  # no segment is empty


class Index:
    """The routes of a plan, for look-up by class, caller and path.

    `zone`: this gateway's; routes that name only other zones are left out. `numbers`: route numbers by name;
    a route must have one before it is put.
    """

    def __init__(self, zone: str, numbers: Mapping[str, int]) -> None:
        self.zone, self.numbers = zone, numbers
        self._trees: dict[ClassCaller, _Node] = {}
        self._entries: dict[str, tuple[tuple[ClassCaller, ...], list[bytes], MatchedRoute]] = {}
        self._precedes: Mapping[str, frozenset[str]] = {}
        self._preceded_by: dict[str, set[str]] = {}  # the inverse of _precedes

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def set_precedence(self, precedes: Mapping[str, frozenset[str]]) -> None:
        """Use this order (`View.precedes`) between overlapping routes."""
        if precedes is self._precedes:
            return
        self._precedes, self._preceded_by = precedes, {}
        for name, others in precedes.items():
            for other in others:
                self._preceded_by.setdefault(other, set()).add(name)

    def put(self, route: RouteView) -> None:
        """Add a route, or replace the one of the same name."""
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
        """Remove a route, if it is in the index."""
        pairs, segments, match = self._entries.pop(name, ((), [], None))
        for pair in pairs:
            assert match is not None
            _remove(self._trees[pair], segments, match)
            if not self._trees[pair]:
                del self._trees[pair]

    def find(self, klass: bytes, caller: bytes, path: bytes) -> MatchedRoute | None:
        """The first of the matching routes in order, or None. `path` has no query."""
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
        """The most specific of the matching routes that no other matching route precedes."""
        found = list(self._all_matches(klass, caller, segments))
        names = {match.name for match in found}
        free = (match for match in found if names.isdisjoint(self._preceded_by.get(match.name, ())))
        return next(free, found[0])  # found[0]: only in a cycle, and no plan in service has one

    def _all_matches(self, klass: bytes, caller: bytes, segments: list[bytes]) -> Iterator[MatchedRoute]:
        """All matching routes, the most specific first."""
        for pair in ((klass, caller), (None, caller), (klass, None), (None, None)):
            node: Any = self._trees.get(pair)
            levels: list[list[MatchedRoute]] = []
            for segment in (*segments, OWN_ROUTES):
                if not isinstance(node, dict):
                    break
                levels.append(node.get(OWN_ROUTES, []))
                node = node.get(segment) if segment else None
            if isinstance(node, list):
                levels.append(node)
            for routes in reversed(levels):
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
    """Remove a route from the tree, with the nodes that are then empty."""
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
    """Order among routes of the same prefix: those that name zones first, then by name."""
    return not match.names_zones, match.name


def path_segments(path: bytes) -> list[bytes]:
    """The segments of a path, without empty ones, as for the class of a request."""
    return [segment for segment in path.split(b"/") if segment]


def _names(names: list[str] | None) -> list[bytes | None]:
    return [name.encode() for name in names] if names else [None]
