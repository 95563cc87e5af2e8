"""Compares calls that a candidate version changed with calls that it did not, assigned at random: do hosts
fail more of the former? (docs/transforms.md, "Hosts that answer worse with one"). No I/O."""

from __future__ import annotations

import math

WINDOW_CALLS = 200  # last calls compared, with and without the version together
MIN_CALLS_EACH = 5  # calls with it, and calls without it, before a verdict
# The version is blamed if random assignment alone would give so large a difference with at most this
# probability.
MAX_P_VALUE = 1e-4


class Comparison:
    """Outcomes of the last calls with and without one version."""

    def __init__(self) -> None:
        self._calls: dict[str, tuple[bool, bool]] = {}  # by call id, oldest first: (with it, failed)
        self._counts = [[0, 0], [0, 0]]  # calls and failures, without and with it

    def record(self, call_id: str, is_with: bool, failed: bool) -> bool:
        """Records a call's outcome, replacing an earlier one of the same id (a client's retry is the same
        call). Returns whether hosts now fail more of the calls with the version."""
        if (before := self._calls.pop(call_id, None)) is not None:
            self._add_to_counts(before, -1)
        elif len(self._calls) == WINDOW_CALLS:
            self._add_to_counts(self._calls.pop(next(iter(self._calls))), -1)
        self._calls[call_id] = is_with, failed
        self._add_to_counts((is_with, failed), 1)
        return is_with and failed and self._is_worse()

    def _add_to_counts(self, call: tuple[bool, bool], by: int) -> None:
        counts = self._counts[call[0]]
        counts[0] += by
        counts[1] += by * call[1]

    def _is_worse(self) -> bool:
        (without, without_failed), (with_, with_failed) = self._counts
        if min(without, with_) < MIN_CALLS_EACH or with_failed * without <= without_failed * with_:
            return False
        return fisher_p_value(with_failed, with_, without_failed, without) <= MAX_P_VALUE

    def __str__(self) -> str:
        (without, without_failed), (with_, with_failed) = self._counts
        return f"hosts failed {with_failed} of {with_} calls with it, {without_failed} of {without} without"


def fisher_p_value(a_failed: int, a: int, b_failed: int, b: int) -> float:
    """Fisher's exact test, one-sided: the probability that a random split of all calls into groups of `a`
    and `b` puts at least `a_failed` of the failures into the first group."""
    failed = a_failed + b_failed
    ways = sum(
        math.comb(failed, n) * math.comb(a + b - failed, a - n) for n in range(a_failed, min(failed, a) + 1)
    )
    return ways / math.comb(a + b, a)
