"""Simulated time and a simulated network: a queue of events in order, and links that lose, delay, double and
reorder datagrams by a seeded generator. The same seed and calls give the same run."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

NORMAL_DELAY_S = (0.0005, 0.004)  # a datagram's way in calm, least and most


@dataclass(slots=True)
class Clock:
    """Calls due at moments of simulated time, in seconds; those of one moment as they were added."""

    now_s: float = 0.0
    queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)
    call_count: int = 0

    def call_at(self, when_s: float, call: Callable[..., None], *given: Any) -> None:
        self.call_count += 1
        heapq.heappush(self.queue, (when_s, self.call_count, call, given))

    def run(self, until_s: float) -> None:
        queue = self.queue
        while queue and queue[0][0] <= until_s:
            self.now_s, _, call, given = heapq.heappop(queue)
            call(*given)
        self.now_s = until_s


@dataclass(slots=True, frozen=True, eq=False)
class Partition:
    """What crosses the border of `inside` is lost; `one_way`: only what comes from the inside."""

    inside: frozenset[str]
    one_way: bool = False

    def blocks(self, source: str, target: str) -> bool:
        from_inside = source in self.inside
        return from_inside != (target in self.inside) and (from_inside or not self.one_way)


@dataclass(slots=True)
class Links:
    """Every path's faults alike, but for cuts. Rates are shares in [0, 1], the slowest way is in seconds."""

    rng: random.Random
    loss: float = 0.0
    duplicate: float = 0.0
    max_delay_s: float = NORMAL_DELAY_S[1]
    partitions: list[Partition] = field(default_factory=list)

    def delays(self, source: str, target: str) -> list[float]:
        """When the copies of one datagram arrive, in seconds from now; none: it is lost."""
        rng = self.rng
        if any(cut.blocks(source, target) for cut in self.partitions) or (
            self.loss and rng.random() < self.loss
        ):
            return []
        copies = 2 if self.duplicate and rng.random() < self.duplicate else 1
        least_s, span_s = NORMAL_DELAY_S[0], self.max_delay_s - NORMAL_DELAY_S[0]
        return [least_s + rng.random() * span_s for _ in range(copies)]

    def connected(self, one: str, other: str) -> bool:
        """Whether a stream between them can be opened: nothing is cut either way."""
        return not any(cut.blocks(one, other) or cut.blocks(other, one) for cut in self.partitions)

    def heal(self) -> None:
        self.loss = self.duplicate = 0.0
        self.max_delay_s = NORMAL_DELAY_S[1]
        self.partitions.clear()
