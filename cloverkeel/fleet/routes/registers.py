"""Multi-value registers: which writes of a field are live, and which value stands while they conflict.

A write is superseded by a write whose context covers its dot. Contexts are transitive (a reader's context
covers what its sources had seen), so that a write has seen more dots than any write that it has seen.
Therefore one pass from the write that has seen the most finds the live ones, whatever the order of arrival
and despite gaps.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from cloverkeel.fleet.ledger.dots import Actor, Context, Dot, Runs
from cloverkeel.fleet.routes.fields import canonical_bytes, canonical_or_fault


class RouteChange(msgspec.Struct, frozen=True, eq=False):
    """What one change says of one route. `seen_count`: the number of dots that its context covers."""

    dot: Dot
    context: Context
    seen_count: int
    team: str
    fields: dict[str, Any]
    accepts: tuple[Dot, ...] = ()


class Write(msgspec.Struct, frozen=True, eq=False):
    """One value written to a field by one change."""

    dot: Dot
    context: Context
    team: str
    value: Any


def causal_key(change: RouteChange) -> tuple[int, Dot]:
    """Sort key by which a change comes after all that it has seen; ties are broken alike at all gateways."""
    return change.seen_count, change.dot


def count_dots(context: Context) -> int:
    """The number of dots that a context covers."""
    return sum(
        runs[1] - runs[0] + 1 if len(runs) == 2 else sum(runs[1::2]) - sum(runs[::2]) + len(runs) // 2
        for runs in context.runs.values()
    )


HasContext = TypeVar("HasContext", RouteChange, Write)


def newest(ordered: Sequence[HasContext]) -> list[HasContext]:
    """The items that no other has seen, of items in causal order; the one that has seen the most comes
    first."""
    if len(ordered) == 1:
        return [ordered[0]]
    live: list[HasContext] = []
    for write in reversed(ordered):
        if not any(each.context.covers(write.dot) for each in live):
            live.append(write)
    return live


def values_equal(field: str, writes: Iterable[Write]) -> bool:
    """Whether all writes have the same canonical value."""
    return len({canonical_bytes(canonical_or_fault(field, write.value)[0]) for write in writes}) < 2


def agreed_write(field: str, ordered: Sequence[Write], live: Sequence[Write]) -> Write | None:
    """The newest write that all `live` writes have seen, or None.

    Where several such writes are concurrent and differ, the newest write that all of these have seen, and so
    on.
    """
    while True:
        ordered = [write for write in ordered if all(each.context.covers(write.dot) for each in live)]
        if not ordered:
            return None
        live = newest(ordered)
        if values_equal(field, live):
            return live[0]


class SeenDots:
    """All dots merged so far. Updated in place, so that adding a change costs no more than its own
    context."""

    def __init__(self) -> None:
        self._runs: dict[Actor, Runs] = {}

    def add(self, dot: Dot, context: Context) -> None:
        """Add a change's dot and all that its context covers."""
        for actor, theirs in context.runs.items():
            self._join(actor, theirs)
        self._join(dot.actor, (dot.counter, dot.counter))

    def context(self) -> Context:
        """A copy of the dots as a context."""
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
