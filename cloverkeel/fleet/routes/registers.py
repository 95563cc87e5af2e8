"""Multi-value registers over the dots of changes: which writes of a field are live, and the value agreed on.

A write is superseded by one whose context covers its dot. Contexts are transitive (a reader's covers what
its sources had seen), so that a write that had seen another weighs more than it: one pass from the heaviest
finds the live ones, and depends on neither the order of arrival nor a gap.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from cloverkeel.fleet.ledger.dots import Actor, Context, Dot, Runs
from cloverkeel.fleet.routes.fields import canonical_bytes, canonical_or_fault


class RouteChange(msgspec.Struct, frozen=True, eq=False):
    """What one change says of one route. `weight`: how many dots its context covers."""

    dot: Dot
    context: Context
    seen_count: int
    team: str
    fields: dict[str, Any]
    accepts: tuple[Dot, ...] = ()


class Write(msgspec.Struct, frozen=True, eq=False):
    """One value of a field, by one change."""

    dot: Dot
    context: Context
    team: str
    value: Any


def causal_key(change: RouteChange) -> tuple[int, Dot]:
    """Causes come before effects; ties are the same everywhere."""
    return change.seen_count, change.dot


def count_dots(context: Context) -> int:
    return sum(
        runs[1] - runs[0] + 1 if len(runs) == 2 else sum(runs[1::2]) - sum(runs[::2]) + len(runs) // 2
        for runs in context.runs.values()
    )


HasContext = TypeVar("HasContext", RouteChange, Write)


def newest(ordered: Sequence[HasContext]) -> list[HasContext]:
    """Those, of some in rising order, that no other had seen; the one that had seen the most first."""
    if len(ordered) == 1:
        return [ordered[0]]
    live: list[HasContext] = []
    for write in reversed(ordered):
        if not any(each.context.covers(write.dot) for each in live):
            live.append(write)
    return live


def values_equal(field: str, writes: Iterable[Write]) -> bool:
    """Whether all have one value."""
    return len({canonical_bytes(canonical_or_fault(field, write.value)[0]) for write in writes}) < 2


def agreed_write(field: str, ordered: Sequence[Write], live: Sequence[Write]) -> Write | None:
    """The newest write that all `live` ones had seen; where several stand side by side with different
    values, the newest that all of those had seen, and so on. None: there is none."""
    while True:
        ordered = [write for write in ordered if all(each.context.covers(write.dot) for each in live)]
        if not ordered:
            return None
        live = newest(ordered)
        if values_equal(field, live):
            return live[0]


class SeenDots:
    """Every dot taken in so far, kept in place: a change costs what its own context costs."""

    def __init__(self) -> None:
        self._runs: dict[Actor, Runs] = {}

    def add(self, dot: Dot, context: Context) -> None:
        for actor, theirs in context.runs.items():
            self._join(actor, theirs)
        self._join(dot.actor, (dot.counter, dot.counter))

    def context(self) -> Context:
        return Context(dict(self._runs))

    def _join(self, actor: Actor, theirs: Runs) -> None:
        mine = self._runs.get(actor)
        if mine is None:
            self._runs[actor] = theirs
        elif mine is not theirs and mine != theirs:
            if len(mine) == len(theirs) == 2 and theirs[0] <= mine[1] + 1 and mine[0] <= theirs[0]:
                if theirs[1] > mine[1]:
                    self._runs[actor] = mine[0], theirs[1]
            else:
                joined = Context({actor: mine}).merge(Context({actor: theirs}))
                self._runs[actor] = joined.runs[actor]
