"""Calls with a version against calls without it, parted by lot: whether hosts fail more of the former
(docs/transforms.md, "Hosts that answer worse with one"). Pure."""

from __future__ import annotations

import math

WINDOW_CALLS = 200  # calls of both kinds together
MIN_CALLS_EACH = 5  # of each kind before a verdict
MAX_P_VALUE = (
    1e-4  # that calls parted by lot look as bad as this, at which the version is held to be the cause
)


class Comparison:
    def __init__(self) -> None:
        self._calls: dict[str, tuple[bool, bool]] = {}  # by id, the oldest first: with it, failed
        self._counts = [[0, 0], [0, 0]]  # calls and failures, without and with it

    def record(self, call_id: str, is_with: bool, failed: bool) -> bool:
        """Enter a call's outcome; whether hosts now answer worse with the version."""
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
    """Fisher's exact test: of all ways to part `a + b` calls by lot, the share that puts as many of the
    failures, or more, into the first kind."""
    failed = a_failed + b_failed
    ways = sum(
        math.comb(failed, n) * math.comb(a + b - failed, a - n) for n in range(a_failed, min(failed, a) + 1)
    )
    return ways / math.comb(a + b, a)
