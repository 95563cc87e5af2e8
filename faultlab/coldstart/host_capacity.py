"""Model of the capacity of a cold host, and of when it falls from overload; pure, times in seconds.

A starting host has the share `start` of its capacity, which rises linearly to all of it within `warm_s`.
While it is cold, the work that arrives within any `window_s` has to stay below `multiple` times its present
capacity times the window, or the host falls. Random variation is allowed for: where N requests may arrive,
the limit is N + 3 * sqrt(N) + 3.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class HostCapacity:
    """One host: its queue, which is served one request at a time, and the work of the last window.

    `work_s` is the time that a warm host takes for a request. Work is counted in requests: a handshake or a
    probe is a fraction of one.
    """

    work_s: float
    start: float
    warm_s: float
    multiple: float
    window_s: float
    started_s: float = 0.0
    busy_until_s: float = 0.0  # when the queue will be empty
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)
    recent_total: float = 0.0
    falls: int = 0

    def restart(self, now_s: float) -> None:
        """Start cold with an empty queue."""
        self.started_s = self.busy_until_s = now_s
        self.recent_work.clear()
        self.recent_total = 0.0

    def capacity_share(self, now_s: float) -> float:
        """The present capacity as a share of that of a warm host."""
        age = min(1.0, max(0.0, now_s - self.started_s) / self.warm_s) if self.warm_s else 1.0
        return self.start + (1.0 - self.start) * age

    def work_limit(self, now_s: float) -> float:
        """The work, in requests, that may arrive within one window now."""
        expected = self.multiple * self.capacity_share(now_s) * self.window_s / self.work_s
        return expected + 3.0 * math.sqrt(expected) + 3.0

    def add_work(self, now_s: float, requests: float) -> bool:
        """Count work that has arrived; True if it makes the host fall. A warm host does not fall."""
        self.recent_work.append((now_s, requests))
        self.recent_total += requests
        while self.recent_work[0][0] <= now_s - self.window_s:
            self.recent_total -= self.recent_work.popleft()[1]
        if self.capacity_share(now_s) >= 1.0 or self.recent_total <= self.work_limit(now_s):
            return False
        self.falls += 1
        self.recent_work.clear()
        self.recent_total = 0.0
        return True

    def completion_s(self, now_s: float, requests: float) -> float:
        """Append work to the queue; returns when it is done."""
        self.busy_until_s = max(self.busy_until_s, now_s) + requests * self.work_s / self.capacity_share(
            now_s
        )
        return self.busy_until_s
