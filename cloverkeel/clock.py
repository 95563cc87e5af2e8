"""The process clock: Unix time at the start, advanced by the monotonic clock, in whole microseconds."""

from __future__ import annotations

import time

TIMER_EARLY_US = 1_000  # by which a timer of the loop, which counts in milliseconds, may fire early

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """The current Unix time. It never goes backwards and is comparable with the start times in host lists."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000
