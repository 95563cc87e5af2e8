"""Dots and causal contexts: which write is which, and which writes a member or a record has seen.

After dotted version vectors (Preguiça, Baquero, Almeida, Fonte, Gonçalves, 2010) and the causal contexts of
delta-state CRDTs (Almeida, Shoker, Baquero, 2018). A context is exact: it covers the dots it was given and no
other. It is kept as intervals, so that its size follows the number of writers and of gaps, not of writes.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections.abc import Iterable, Iterator

import msgspec

Actor = tuple[str, int]  # (member, incarnation)
Runs = tuple[int, ...]  # first, last, first, last, ...: inclusive, rising, never touching
COUNTER_MAX = 2**62


class Dot(msgspec.Struct, frozen=True, order=True, array_like=True, gc=False):
    """One write for ever: the `counter`-th (from 1) of one life (`incarnation`) of `member`."""

    member: str
    incarnation: int
    counter: int

    @property
    def actor(self) -> Actor:
        return self.member, self.incarnation


class Context(msgspec.Struct, frozen=True, array_like=True):
    """A set of dots. The first run of a writer, where it begins at 1, is the contiguous part; the others are
    the cloud of exceptions. Never changed in place."""

    runs: dict[Actor, Runs] = {}

    def covers(self, dot: Dot) -> bool:
        runs = self.runs.get((dot.member, dot.incarnation))
        if runs is None:
            return False
        at = bisect_left(runs, dot.counter)
        return at % 2 == 1 or (at < len(runs) and runs[at] == dot.counter)

    def includes(self, other: Context) -> bool:
        """Whether every dot of `other` is covered here."""
        return all(
            theirs == (mine := self.runs.get(actor, ())) or _union(mine, theirs) == mine
            for actor, theirs in other.runs.items()
        )

    def add(self, dots: Iterable[Dot]) -> Context:
        new: dict[Actor, list[int]] = {}
        for dot in dots:
            new.setdefault(dot.actor, []).extend((dot.counter, dot.counter))
        return self._merged_with((actor, tuple(pairs)) for actor, pairs in new.items())

    def merge(self, other: Context) -> Context:
        return self._merged_with(other.runs.items())

    def without(self, dot: Dot) -> Context:
        """All but `dot`: what was seen and then lost is to be seen again."""
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
        """The dots that both cover."""
        runs = {actor: _intersection(mine, other.runs.get(actor, ())) for actor, mine in self.runs.items()}
        return Context({actor: both for actor, both in runs.items() if both})

    def run_count(self) -> int:
        """How many runs it is made of."""
        return sum(map(len, self.runs.values())) // 2

    def hash_bytes(self) -> bytes:
        """A hash of 128 bits: equal for equal contexts."""
        return hashlib.blake2b(msgspec.msgpack.encode(sorted(self.runs.items())), digest_size=16).digest()

    def invalid_reason(self) -> str | None:
        """Why a context that came from outside is not one, or None."""
        for (member, _), runs in self.runs.items():
            if not member or not runs or len(runs) % 2 or runs[0] < 1 or runs[-1] > COUNTER_MAX:
                return "a writer's runs are not pairs from 1 on"
            if any(first > last for first, last in _pairs(runs)):
                return "a run ends before it begins"
            if any(runs[i] + 1 >= runs[i + 1] for i in range(1, len(runs) - 1, 2)):
                return "runs overlap or touch"
        return None

    def _merged_with(self, more: Iterable[tuple[Actor, Runs]]) -> Context:
        runs = dict(self.runs)
        for actor, theirs in more:
            runs[actor] = _union(runs.get(actor, ()), theirs)
        return Context(runs)


class ContextBuilder:
    """A context that takes in many dots and contexts, one after the other, for one copy."""

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
        """Not to be grown any more."""
        return self.initial if self.runs == self.initial.runs else Context(self.runs)


def _pairs(runs: Runs) -> Iterator[tuple[int, int]]:
    return zip(runs[::2], runs[1::2], strict=True)


def _union(a: Runs, b: Runs) -> Runs:
    """`a` is as a context keeps it; `b` may be any pairs."""
    if a == b or not b:
        return a
    if len(b) == 2:  # as nearly always: the next write of a member, or what is covered already
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
    met: list[int] = []
    i = j = 0
    while i < len(a) and j < len(b):
        first, last = max(a[i], b[j]), min(a[i + 1], b[j + 1])
        if first <= last:
            met += (first, last)
        if a[i + 1] < b[j + 1]:
            i += 2
        else:
            j += 2
    return tuple(met)
