"""Whether a new set of hosts is worse than the base: pure, over counts of one window."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from cloverkeel.fleet.rollout.records import Rules

LATENCY_BUCKETS = 96  # of good answers' latency: four to each doubling, from 1 ms
SIGNIFICANCE = 0.01  # of a difference as great where the sets are alike: one-sided
# Where breakers open on a set that fails, the attempts that would make up a sample never come: fewer will do
# where the difference is certain.
MIN_EARLY_SAMPLE, EARLY_SIGNIFICANCE = 10, 1e-5
PERCENTILE = 0.95


def latency_bucket(latency_us: int) -> int:
    return min(LATENCY_BUCKETS - 1, max(0, int(4 * math.log2(max(1, latency_us) / 1000) + 1)))


def bucket_limit_ms(bucket: int) -> float:
    """The longest latency in a bucket."""
    return float(2 ** (bucket / 4))


@dataclass(slots=True)
class Counts:
    """Attempts at one set of hosts: all that ended, failed, turned away; and good answers by latency."""

    ended: int = 0
    failed: int = 0
    refused: int = 0
    latency: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)

    def plus(self, other: Counts, sign: int = 1) -> Counts:
        latency = [mine + sign * theirs for mine, theirs in zip(self.latency, other.latency, strict=True)]
        return Counts(
            self.ended + sign * other.ended,
            self.failed + sign * other.failed,
            self.refused + sign * other.refused,
            latency,
        )

    def to_list(self) -> list[int]:
        """For a message; see `counts_of`."""
        return [self.ended, self.failed, self.refused, *self.latency]

    def p95_ms(self) -> float:
        """Of good answers, by bucket; 0 without any."""
        wanted, seen = PERCENTILE * sum(self.latency), 0
        for bucket, number in enumerate(self.latency):
            seen += number
            if number and seen >= wanted:
                return bucket_limit_ms(bucket)
        return 0.0


def counts_from_list(flat: Sequence[int]) -> Counts:
    """Raises ValueError for what `flat` did not make."""
    if len(flat) != LATENCY_BUCKETS + 3 or not all(isinstance(n, int) and n >= 0 for n in flat):
        raise ValueError("no counts")
    return Counts(flat[0], flat[1], flat[2], list(flat[3:]))


def sum_counts(counts: Iterable[Counts]) -> Counts:
    found = Counts()
    for each in counts:
        found = found.plus(each)
    return found


@dataclass(slots=True, frozen=True)
class Verdict:
    """`why`: the figures that decided it, in one line."""

    outcome: Literal["pass", "fail", "thin"]
    why: str


def judge(new: Counts, base: Counts, rules: Rules, alone: bool = False) -> Verdict:
    """`alone`: the new set gets all, so that there may be no base; it is then judged by itself."""
    shown = (
        f"new {new.failed} failed and {new.refused} refused of {new.ended}, p95 {new.p95_ms():.0f} ms; "
        f"base {base.failed} and {base.refused} of {base.ended}, p95 {base.p95_ms():.0f} ms"
    )
    if new.ended < min(MIN_EARLY_SAMPLE, rules.least):
        return Verdict("thin", shown)
    chance = SIGNIFICANCE if new.ended >= rules.least else EARLY_SIGNIFICANCE
    for what, bad, its in (("failed", new.failed, base.failed), ("refused", new.refused, base.refused)):
        if base.ended and _is_worse(bad, new.ended, its, base.ended, rules.failed_points, chance):
            return Verdict("fail", f"more {what}: {shown}")
    if new.ended < rules.least:
        return Verdict("thin", shown)
    if base.ended < rules.least:
        if not alone:
            return Verdict("thin", shown)
        bad = (new.failed + new.refused) / new.ended > rules.failed_points
        return Verdict("fail" if bad else "pass", f"no base: {shown}")
    enough = min(sum(new.latency), sum(base.latency)) >= rules.least
    limit_ms = max(rules.latency_ratio * base.p95_ms(), base.p95_ms() + rules.latency_ms)
    if enough and new.p95_ms() > limit_ms:
        return Verdict("fail", f"slower: {shown}")
    return Verdict("pass", shown)


def _is_worse(bad: int, of: int, its: int, its_of: int, points: float, chance: float) -> bool:
    """Whether a share is above another by more than `points`, and more than chance would have it."""
    return bad / of - its / its_of > points and fisher_p_value(bad, of, its, its_of) < chance


def fisher_p_value(bad: int, of: int, its: int, its_of: int) -> float:
    """Fisher's exact test, one-sided: how probable it is that of all that failed so many or more fell to the
    one, were both alike."""

    def chosen(among: int, number: int) -> float:
        return math.lgamma(among + 1) - math.lgamma(number + 1) - math.lgamma(among - number + 1)

    all_bad, whole = bad + its, chosen(of + its_of, bad + its)
    found = 0.0
    for number in range(bad, min(of, all_bad) + 1):
        if all_bad - number > its_of:
            continue
        term = math.exp(chosen(of, number) + chosen(its_of, all_bad - number) - whole)
        found += term
        if term < found * 1e-9:
            break
    return found
