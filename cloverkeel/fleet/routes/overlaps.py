"""Finds routes of different teams that match the same requests, without comparing all pairs.

A route is stored under its path for each pair of class and caller that it names, and also with `ALL` in place
of either. Routes at prefixes of a path are found by its prefixes, routes below it through a tree.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import product

from cloverkeel.fleet.routes.interface import RouteView
from cloverkeel.fleet.routes.order import RouteOrder

ANY, ALL, WIDE = "", "\x00all", "\x00wide"  # not valid names, which are printable and not empty
WIDE_MIN_PAIRS = 64  # a route with more pairs of class and caller is stored once and checked at each look-up
STEP_ROUTES = 200  # routes examined in one step
BucketKey = tuple[str, str, str]  # class, caller, path


@dataclass(slots=True, frozen=True)
class MatchRule:
    """Which requests a route matches, and its owner. An empty set matches any.

    `paths`: the prefixes of its path, from "", which matches any path, to the path itself.
    """

    owner: str
    classes: frozenset[str]
    callers: frozenset[str]
    zones: frozenset[str]
    paths: tuple[str, ...]

    def may_overlap(self, other: MatchRule) -> bool:
        """Whether both could match the same request, paths aside, and have different owners."""
        return (
            self.owner != other.owner
            and not (self.classes and other.classes and self.classes.isdisjoint(other.classes))
            and not (self.callers and other.callers and self.callers.isdisjoint(other.callers))
            and not (self.zones and other.zones and self.zones.isdisjoint(other.zones))
        )


def match_rule(view: RouteView) -> MatchRule:
    """The rule by which a route matches requests."""
    values = view.values
    paths = [""]
    for segment in values.get("path", "").split("/")[1:]:
        paths.append(f"{paths[-1]}/{segment}")
    classes, callers, zones = (frozenset(values.get(name, ())) for name in ("classes", "callers", "zones"))
    return MatchRule(view.owner, classes, callers, zones, tuple(paths))


@dataclass(slots=True)
class _Node:
    """A path in the tree of routes."""

    count: int = 0  # routes at this path and below
    names: dict[str, None] = field(default_factory=dict)
    children: dict[str, _Node] = field(default_factory=dict)  # by path


class Overlaps:
    """`pairs`: by route, the routes that it overlaps without an order between them."""

    def __init__(self, order: RouteOrder) -> None:
        self.pairs: dict[str, set[str]] = {}
        # Pairs that were added or removed since the caller cleared this.
        self.changed: dict[tuple[str, str], None] = {}
        self._order = order
        self._rules: dict[str, MatchRule] = {}
        self._buckets: dict[BucketKey, dict[str, None]] = {}
        self._root = _Node()
        self._dirty: dict[str, None] = {}

    def put(self, name: str, rule: MatchRule | None) -> None:
        """Set the match rule of a route. None: the route does not exist."""
        old = self._rules.get(name)
        if old == rule:
            return
        self._dirty[name] = None
        if old is not None:
            for key in _bucket_keys(old):
                del self._buckets[key][name]
                if not self._buckets[key]:
                    del self._buckets[key]
            self._update_tree(old, name, -1)
            del self._rules[name]
        if rule is not None:
            for key in _bucket_keys(rule):
                self._buckets.setdefault(key, {})[name] = None
            self._update_tree(rule, name, 1)
            self._rules[name] = rule

    def invalidate(self, names: dict[str, None]) -> None:
        """Check these routes again: their order relative to others may have changed."""
        self._dirty.update(names)

    def settle(self) -> Iterator[None]:
        """Update in steps. If it is not run to its end, the next call continues."""
        cost = 0
        for index, name in enumerate(list(self._dirty)):
            cost += self._count_below(self._rules[name]) if name in self._rules else 0
            if index % STEP_ROUTES == STEP_ROUTES - 1:
                yield
        if cost > 4 * len(self._rules) and len(self._dirty) > 1:
            yield from self._find_all()
            return
        for name in list(self._dirty):
            found: set[str] = set()
            if (rule := self._rules.get(name)) is not None:
                for index, other in enumerate(self._candidates(rule)):
                    if rule.may_overlap(self._rules[other]) and not self._order.are_ordered(name, other):
                        found.add(other)
                    if index % STEP_ROUTES == STEP_ROUTES - 1:
                        yield
            self._set_pairs(name, found)
            del self._dirty[name]
            yield

    def _find_all(self) -> Iterator[None]:
        """Find all pairs, each from its longer path: cheaper than searching below each of many short
        paths."""
        pairs: dict[str, set[str]] = {}
        examined = 0
        for name, rule in self._rules.items():
            for other in self._at_prefixes(rule):
                if rule.may_overlap(self._rules[other]) and not self._order.are_ordered(name, other):
                    pairs.setdefault(name, set()).add(other)
                    pairs.setdefault(other, set()).add(name)
                if (examined := examined + 1) % STEP_ROUTES == 0:
                    yield
            if (examined := examined + 4) % STEP_ROUTES < 4:
                yield
        for index, name in enumerate({**self.pairs, **pairs}):
            self._set_pairs(name, pairs.get(name, set()))
            if index % STEP_ROUTES == STEP_ROUTES - 1:
                yield
        self._dirty.clear()

    def _set_pairs(self, name: str, found: set[str]) -> None:
        old = self.pairs.get(name, set())
        for other in sorted(old ^ found):
            self.changed[(name, other) if name < other else (other, name)] = None
            theirs = self.pairs.setdefault(other, set())
            if other in found:
                theirs.add(name)
            else:
                theirs.discard(name)
            if not theirs:
                del self.pairs[other]
        if found:
            self.pairs[name] = found
        else:
            self.pairs.pop(name, None)

    def _candidates(self, rule: MatchRule) -> Iterator[str]:
        yield from self._at_prefixes(rule)
        node: _Node | None = self._root
        for path in rule.paths[1:]:
            node = node.children.get(path) if node is not None else None
        todo = list(node.children.values()) if node is not None else []
        while todo:
            node = todo.pop()
            yield from node.names
            todo += node.children.values()

    def _at_prefixes(self, rule: MatchRule) -> Iterator[str]:
        """Routes at this path or a prefix of it that may match the same class and caller."""
        pairs = _lookup_pairs(rule)
        for path in rule.paths:
            for klass, caller in pairs:
                if (names := self._buckets.get((klass, caller, path))) is not None:
                    yield from names

    def _count_below(self, rule: MatchRule) -> int:
        node = self._root
        for path in rule.paths[1:]:
            node = node.children[path]
        return node.count

    def _update_tree(self, rule: MatchRule, name: str, change: int) -> None:
        nodes = [self._root]
        for path in rule.paths[1:]:
            nodes.append(nodes[-1].children.setdefault(path, _Node()))
        for node in nodes:
            node.count += change
        if change > 0:
            nodes[-1].names[name] = None
            return
        del nodes[-1].names[name]
        for node, path in zip(reversed(nodes[:-1]), reversed(rule.paths), strict=False):
            if node.children[path].count:
                break
            del node.children[path]


def _is_wide(rule: MatchRule) -> bool:
    return (len(rule.classes) or 1) * (len(rule.callers) or 1) > WIDE_MIN_PAIRS


def _bucket_keys(rule: MatchRule) -> list[BucketKey]:
    path = rule.paths[-1]
    if _is_wide(rule):
        return [(WIDE, WIDE, path), (ALL, ALL, path)]
    pairs = product((*(rule.classes or (ANY,)), ALL), (*(rule.callers or (ANY,)), ALL))
    return [(klass, caller, path) for klass, caller in pairs]


def _lookup_pairs(rule: MatchRule) -> list[tuple[str, str]]:
    if _is_wide(rule):
        return [(ALL, ALL)]
    classes = (*rule.classes, ANY) if rule.classes else (ALL,)
    callers = (*rule.callers, ANY) if rule.callers else (ALL,)
    pairs = list(product(classes, callers))
    return pairs if pairs == [(ALL, ALL)] else [*pairs, (WIDE, WIDE)]
