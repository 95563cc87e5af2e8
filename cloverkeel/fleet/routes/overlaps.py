"""Routes of two teams that match the same requests: found through an index, never pairwise over all.

A route is held under its path for each (class, caller) that it names, and under `ALL` in place of either.
Those whose path is a prefix of another's are looked up by its prefixes; those below a path through a tree.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import product

from cloverkeel.fleet.routes.interface import RouteView
from cloverkeel.fleet.routes.order import RouteOrder

ANY, ALL, WIDE = "", "\x00all", "\x00wide"  # names are printable and not empty, so that these are none
WIDE_MIN_PAIRS = 64  # pairs of class and caller: a route with more is held once, and judged at each look-up
STEP_ROUTES = 200  # routes looked at in one step
BucketKey = tuple[str, str, str]


@dataclass(slots=True, frozen=True)
class MatchRule:
    """Which requests a route matches, and whose it is. Empty sets: any. `paths`: its path's prefixes, with
    itself last; the first is that of any path."""

    owner: str
    classes: frozenset[str]
    callers: frozenset[str]
    zones: frozenset[str]
    paths: tuple[str, ...]

    def may_overlap(self, other: MatchRule) -> bool:
        """Whether they are of two teams and both match some request, but for what their paths say."""
        return (
            self.owner != other.owner
            and not (self.classes and other.classes and self.classes.isdisjoint(other.classes))
            and not (self.callers and other.callers and self.callers.isdisjoint(other.callers))
            and not (self.zones and other.zones and self.zones.isdisjoint(other.zones))
        )


def match_rule(view: RouteView) -> MatchRule:
    values = view.values
    paths = [""]
    for segment in values.get("path", "").split("/")[1:]:
        paths.append(f"{paths[-1]}/{segment}")
    classes, callers, zones = (frozenset(values.get(name, ())) for name in ("classes", "callers", "zones"))
    return MatchRule(view.owner, classes, callers, zones, tuple(paths))


@dataclass(slots=True)
class _Node:
    count: int = 0  # routes here and below
    names: dict[str, None] = field(default_factory=dict)
    children: dict[str, _Node] = field(default_factory=dict)  # by path


class Overlaps:
    """`pairs`: each route to those that it overlaps with no order between them."""

    def __init__(self, order: RouteOrder) -> None:
        self.pairs: dict[str, set[str]] = {}
        self.changed: dict[
            tuple[str, str], None
        ] = {}  # pairs that came or went, until the caller clears this
        self._order = order
        self._rules: dict[str, MatchRule] = {}
        self._buckets: dict[BucketKey, dict[str, None]] = {}
        self._root = _Node()
        self._dirty: dict[str, None] = {}

    def put(self, name: str, rule: MatchRule | None) -> None:
        """None: there is no such route."""
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
        """Their order to others may be another."""
        self._dirty.update(names)

    def settle(self) -> Iterator[None]:
        """Steps. Left off, it goes on with the next call."""
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
        """All pairs, each found from the longer path; cheaper than a look below each of many short ones."""
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
        """Those that may match the same class and caller, by a path that is a prefix of this, or this."""
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
