"""Judges from the counts of one window whether a new set of hosts is worse than the base; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from cloverkeel.fleet.rollout.records import Rules

LATENCY_BUCKETS = 96  # of the latency histogram of successful attempts: from 1 ms, four per doubling
SIGNIFICANCE = 0.01  # one-sided p-value below which a difference is not taken for chance
# If breakers open on a failing set, it never gets the attempts that a full sample needs. So from
# MIN_EARLY_SAMPLE attempts on, a difference with this much stricter significance fails the stage.
MIN_EARLY_SAMPLE, EARLY_SIGNIFICANCE = 10, 1e-5
PERCENTILE = 0.95


def latency_bucket(latency_us: int) -> int:
    """The index of a latency's bucket in the histogram."""
    return min(LATENCY_BUCKETS - 1, max(0, int(4 * math.log2(max(1, latency_us) / 1000) + 1)))


def bucket_limit_ms(bucket: int) -> float:
    """The upper limit of a bucket's latencies."""
    return float(2 ** (bucket / 4))


@dataclass(slots=True)
class Counts:
    """Attempts at one set of hosts: ended, failed and refused ones, and successes by latency bucket."""

    ended: int = 0
    failed: int = 0
    refused: int = 0
    latency: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)

    def plus(self, other: Counts, sign: int = 1) -> Counts:
        """The sum of two counts; with `sign` -1 their difference."""
        latency = [mine + sign * theirs for mine, theirs in zip(self.latency, other.latency, strict=True)]
        return Counts(
            self.ended + sign * other.ended,
            self.failed + sign * other.failed,
            self.refused + sign * other.refused,
            latency,
        )

    def to_list(self) -> list[int]:
        """The counts as a list for a message; `counts_from_list` is the inverse."""
        return [self.ended, self.failed, self.refused, *self.latency]

    def p95_ms(self) -> float:
        """The 95th percentile of successes, as the upper limit of its bucket; 0 without any."""
        rank, cumulative = PERCENTILE * sum(self.latency), 0
        for bucket, count in enumerate(self.latency):
            cumulative += count
            if count and cumulative >= rank:
                return bucket_limit_ms(bucket)
        return 0.0


def counts_from_list(flat: Sequence[int]) -> Counts:
    """The inverse of `Counts.to_list`; raises ValueError for other input."""
    if len(flat) != LATENCY_BUCKETS + 3 or not all(isinstance(n, int) and n >= 0 for n in flat):
        raise ValueError("no counts")
    return Counts(flat[0], flat[1], flat[2], list(flat[3:]))


def sum_counts(counts: Iterable[Counts]) -> Counts:
    """The sum of all counts."""
    sum_ = Counts()
    for item in counts:
        sum_ = sum_.plus(item)
    return sum_


@dataclass(slots=True, frozen=True)
class Verdict:
    """The result of a window. `thin`: too few attempts to judge; `why`: the figures, in one line."""

    outcome: Literal["pass", "fail", "thin"]
    why: str


def judge(new: Counts, base: Counts, rules: Rules, alone: bool = False) -> Verdict:
    """Compares the new set with the base.

    `alone`: the new set gets all requests, so the base may have no attempts; the new set's failed and refused
    share is then compared with the limit alone.
    """
    figures = (
        f"new {new.failed} failed and {new.refused} refused of {new.ended}, p95 {new.p95_ms():.0f} ms; "
        f"base {base.failed} and {base.refused} of {base.ended}, p95 {base.p95_ms():.0f} ms"
    )
    if new.ended < min(MIN_EARLY_SAMPLE, rules.least):
        return Verdict("thin", figures)
    p_limit = SIGNIFICANCE if new.ended >= rules.least else EARLY_SIGNIFICANCE
    for kind, bad, base_bad in (("failed", new.failed, base.failed), ("refused", new.refused, base.refused)):
        if base.ended and _is_worse(bad, new.ended, base_bad, base.ended, rules.failed_points, p_limit):
            return Verdict("fail", f"more {kind}: {figures}")
    if new.ended < rules.least:
        return Verdict("thin", figures)
    if base.ended < rules.least:
        if not alone:
            return Verdict("thin", figures)
        bad = (new.failed + new.refused) / new.ended > rules.failed_points
        return Verdict("fail" if bad else "pass", f"no base: {figures}")
    has_latencies = min(sum(new.latency), sum(base.latency)) >= rules.least
    limit_ms = max(rules.latency_ratio * base.p95_ms(), base.p95_ms() + rules.latency_ms)
    if has_latencies and new.p95_ms() > limit_ms:
        return Verdict("fail", f"slower: {figures}")
    return Verdict("pass", figures)


def _is_worse(bad: int, ended: int, base_bad: int, base_ended: int, points: float, p_limit: float) -> bool:
    """Whether one share exceeds another by more than `points`, and significantly at level `chance`."""
    return (
        bad / ended - base_bad / base_ended > points
        and fisher_p_value(bad, ended, base_bad, base_ended) < p_limit
    )


def fisher_p_value(bad: int, ended: int, other_bad: int, other_ended: int) -> float:
    """The p-value of Fisher's exact test, one-sided.

    It is the probability that at least `bad` of all failures fall on the first sample, if both samples have
    the same failure rate.
    """

    def log_combinations(total: int, count: int) -> float:
        return math.lgamma(total + 1) - math.lgamma(count + 1) - math.lgamma(total - count + 1)

    all_bad, log_all = bad + other_bad, log_combinations(ended + other_ended, bad + other_bad)
    p_value = 0.0
    for count in range(bad, min(ended, all_bad) + 1):
        if all_bad - count > other_ended:
            continue
        term = math.exp(
            log_combinations(ended, count) + log_combinations(other_ended, all_bad - count) - log_all
        )
        p_value += term
        if term < p_value * 1e-9:
            break
    return p_value
