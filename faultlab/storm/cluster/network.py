"""Simulated time and a simulated network.

The clock is a queue of calls in order of time. The links lose, delay, duplicate and reorder datagrams with a
seeded random generator: the same seed and calls give the same run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

NORMAL_DELAY_S = (0.0005, 0.004)  # least and greatest delay of a datagram without faults


@dataclass(slots=True)
class Clock:
    """Runs calls in order of simulated time, in seconds; those of the same time in order of scheduling."""

    now_s: float = 0.0
    queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)
    call_count: int = 0  # orders calls of the same time

    def call_at(self, when_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call at `when_s`."""
        self.call_count += 1
        heapq.heappush(self.queue, (when_s, self.call_count, callback, args))

    def run(self, until_s: float) -> None:
        """Run all calls that are due up to `until_s`, and advance to it."""
        queue = self.queue
        while queue and queue[0][0] <= until_s:
            self.now_s, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now_s = until_s


@dataclass(slots=True, frozen=True, eq=False)
class Partition:
    """Blocks datagrams between `inside` and all other addresses; `one_way`: only those from `inside`."""

    inside: frozenset[str]
    one_way: bool = False

    def blocks(self, source: str, target: str) -> bool:
        """Whether datagrams from `source` to `target` are lost."""
        from_inside = source in self.inside
        return from_inside != (target in self.inside) and (from_inside or not self.one_way)


@dataclass(slots=True)
class Links:
    """Links of all pairs of addresses. Faults other than partitions are the same for each."""

    rng: random.Random
    loss: float = 0.0  # share of datagrams lost, in [0, 1]
    duplicate: float = 0.0  # share of datagrams delivered twice, in [0, 1]
    max_delay_s: float = NORMAL_DELAY_S[1]
    partitions: list[Partition] = field(default_factory=list)

    def delays(self, source: str, target: str) -> list[float]:
        """Delays in seconds of the copies of one datagram; empty: it is lost."""
        rng = self.rng
        if any(partition.blocks(source, target) for partition in self.partitions) or (
            self.loss and rng.random() < self.loss
        ):
            return []
        copies = 2 if self.duplicate and rng.random() < self.duplicate else 1
        min_delay_s, span_s = NORMAL_DELAY_S[0], self.max_delay_s - NORMAL_DELAY_S[0]
        return [min_delay_s + rng.random() * span_s for _ in range(copies)]

    def connected(self, one: str, other: str) -> bool:
        """Whether a stream can be opened: no partition blocks either direction."""
        return not any(
            partition.blocks(one, other) or partition.blocks(other, one) for partition in self.partitions
        )

    def heal(self) -> None:
        """End all faults of the links."""
        self.loss = self.duplicate = 0.0
        self.max_delay_s = NORMAL_DELAY_S[1]
        self.partitions.clear()
