"""What one cold host can carry and when it falls; pure, times in seconds.

A starting host has `start` of its capacity, which rises evenly to the whole within `warm_s`. While it is
cold, the work that came within any `window_s` must stay under `multiple` times its present capacity times the
window, with room for chance: N requests' worth may be N + 3 * sqrt(N) + 3.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class HostCapacity:
    """One host: its queue as work to be done one after the other, and the work of the last window.

    `work_s` is what a request takes of a warm host. Work is counted in requests: a handshake or a probe is
    part of one.
    """

    work_s: float
    start: float
    warm_s: float
    multiple: float
    window_s: float
    started_s: float = 0.0
    busy_until_s: float = 0.0  # when all that it has is done
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)
    recent_total: float = 0.0
    falls: int = 0

    def restart(self, now_s: float) -> None:
        self.started_s = self.busy_until_s = now_s
        self.recent_work.clear()
        self.recent_total = 0.0

    def capacity_share(self, now_s: float) -> float:
        """Its present share of a warm host's capacity."""
        age = min(1.0, max(0.0, now_s - self.started_s) / self.warm_s) if self.warm_s else 1.0
        return self.start + (1.0 - self.start) * age

    def work_limit(self, now_s: float) -> float:
        """The requests' worth of work that a window may hold now."""
        whole = self.multiple * self.capacity_share(now_s) * self.window_s / self.work_s
        return whole + 3.0 * math.sqrt(whole) + 3.0

    def add_work(self, now_s: float, requests: float) -> bool:
        """Count work that has come; True where it pushes the host over. A warm one does not fall."""
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
        """When work that begins now in its turn is done."""
        self.busy_until_s = max(self.busy_until_s, now_s) + requests * self.work_s / self.capacity_share(
            now_s
        )
        return self.busy_until_s
