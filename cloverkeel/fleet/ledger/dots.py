"""Dots, which identify writes, and causal contexts, the sets of writes that a member or a record has seen.

After dotted version vectors (Preguiça, Baquero, Almeida, Fonte, Gonçalves, 2010) and the causal contexts of
delta-state CRDTs (Almeida, Shoker, Baquero, 2018). A context is exact: it covers the dots that were added and
no others. It is stored as intervals, so that its size depends on the number of writers and of gaps.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Iterable, Iterator

import msgspec

Actor = tuple[str, int]  # (member, incarnation)
Runs = tuple[int, ...]  # first, last, first, last, ...: inclusive and ascending, with a gap between runs
COUNTER_MAX = 2**62


class Dot(msgspec.Struct, frozen=True, order=True, array_like=True, gc=False):
    """Identifies one write for all time: the `counter`-th (from 1) of one process run of `member`."""

    member: str
    incarnation: int  # random number of the process run
    counter: int

    @property
    def actor(self) -> Actor:
        return self.member, self.incarnation


class Context(msgspec.Struct, frozen=True, array_like=True):
    """An immutable set of dots, kept as runs of counters for each writer.

    In the literature's terms, a first run that begins at 1 is a writer's entry in the version vector, and all
    other runs are the dot cloud.
    """

    runs: dict[Actor, Runs] = {}

    def covers(self, dot: Dot) -> bool:
        """Whether `dot` is in the set."""
        runs = self.runs.get((dot.member, dot.incarnation))
        if runs is None:
            return False
        at = bisect_left(runs, dot.counter)
        return at % 2 == 1 or (at < len(runs) and runs[at] == dot.counter)

    def includes(self, other: Context) -> bool:
        """Whether this context covers every dot of `other`."""
        return all(
            theirs == (own := self.runs.get(actor, ())) or _union(own, theirs) == own
            for actor, theirs in other.runs.items()
        )

    def add(self, dots: Iterable[Dot]) -> Context:
        """This context with `dots` added."""
        new: dict[Actor, list[int]] = {}
        for dot in dots:
            new.setdefault(dot.actor, []).extend((dot.counter, dot.counter))
        return self._merged_with((actor, tuple(pairs)) for actor, pairs in new.items())

    def merge(self, other: Context) -> Context:
        """The union of both contexts."""
        return self._merged_with(other.runs.items())

    def without(self, dot: Dot) -> Context:
        """This context without `dot`, so that a record that was lost from disk is fetched again."""
        if not self.covers(dot):
            return self
        pairs: list[int] = []
        for first, last in _pairs(self.runs[dot.actor]):
            if not first <= dot.counter <= last:
                pairs += (first, last)
                continue
            if first < dot.counter:
                pairs += (first, dot.counter - 1)
            if dot.counter < last:
                pairs += (dot.counter + 1, last)
        runs = dict(self.runs)
        del runs[dot.actor]
        return Context({**runs, dot.actor: tuple(pairs)} if pairs else runs)

    def intersection(self, other: Context) -> Context:
        """The dots that both contexts cover."""
        runs = {actor: _intersection(own, other.runs.get(actor, ())) for actor, own in self.runs.items()}
        return Context({actor: both for actor, both in runs.items() if both})

    def run_count(self) -> int:
        """The number of runs over all writers."""
        return sum(map(len, self.runs.values())) // 2

    def hash_bytes(self) -> bytes:
        """A 128-bit hash, equal for equal contexts."""
        return hashlib.blake2b(msgspec.msgpack.encode(sorted(self.runs.items())), digest_size=16).digest()

    def invalid_reason(self) -> str | None:
        """Why a context received from a peer or read from disk is invalid, or None."""
        for (member, _), runs in self.runs.items():
            if not member or not runs or len(runs) % 2 or runs[0] < 1 or runs[-1] > COUNTER_MAX:
                return "the runs of a writer are not pairs of counters from 1 on"
            if any(first > last for first, last in _pairs(runs)):
                return "a run ends before it begins"
            if any(runs[i] + 1 >= runs[i + 1] for i in range(1, len(runs) - 1, 2)):
                return "runs overlap or are adjacent"
        return None

    def _merged_with(self, more: Iterable[tuple[Actor, Runs]]) -> Context:
        runs = dict(self.runs)
        for actor, theirs in more:
            runs[actor] = _union(runs.get(actor, ()), theirs)
        return Context(runs)


class ContextBuilder:
    """Accumulates many dots and contexts into a context, copying the initial one only once."""

    def __init__(self, context: Context) -> None:
        self.initial, self.runs = context, dict(context.runs)

    def covers(self, dot: Dot) -> bool:
        return Context(self.runs).covers(dot)

    def merge(self, other: Context) -> None:
        for actor, theirs in other.runs.items():
            self.runs[actor] = _union(self.runs.get(actor, ()), theirs)

    def add(self, dot: Dot) -> None:
        actor = dot.actor
        self.runs[actor] = _union(self.runs.get(actor, ()), (dot.counter, dot.counter))

    def build(self) -> Context:
        """The resulting context. The builder must not be changed afterwards: both share their runs."""
        return self.initial if self.runs == self.initial.runs else Context(self.runs)


def _pairs(runs: Runs) -> Iterator[tuple[int, int]]:
    return zip(runs[::2], runs[1::2], strict=True)


def _union(a: Runs, b: Runs) -> Runs:
    """The union of `a`, which is normalised as in a context, and `b`, which may be any pairs."""
    if a == b or not b:
        return a
    if len(b) == 2:  # the usual case: the next write of a member, or one that is covered already
        if not a:
            return b
        if a[0] <= b[0] and b[1] <= a[1]:
            return a
        if a[-2] <= b[0]:
            return (*a, *b) if b[0] > a[-1] + 1 else (*a[:-1], max(a[-1], b[1]))
    joined: list[int] = []
    for first, last in sorted((*_pairs(a), *_pairs(b))):
        if joined and first <= joined[-1] + 1:
            joined[-1] = max(joined[-1], last)
        else:
            joined += (first, last)
    return tuple(joined)


def _intersection(a: Runs, b: Runs) -> Runs:
    """The counters in both `a` and `b`; both are normalised."""
    common: list[int] = []
    i = j = 0
    while i < len(a) and j < len(b):
        first, last = max(a[i], b[j]), min(a[i + 1], b[j + 1])
        if first <= last:
            common += (first, last)
        if a[i + 1] < b[j + 1]:
            i += 2
        else:
            j += 2
    return tuple(common)
