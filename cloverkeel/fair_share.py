"""Shares the processor among connections: one that used more than its burst waits for its turn."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from typing import Protocol

BURST_S = 0.002  # processor time that a connection may use at once while no other one waits
MIN_BURST_S = 0.0002  # the same while many wait
# Of all connections in one iteration of the loop. Beyond it, each does one piece of work and then waits.
ITERATION_S = 0.02
SHARE = 0.25  # of the processor: what a connection may use all the time, and what all that wait use together
MAX_USE_S = 0.1  # remembered of one connection
# Until a connection's turn is due, however much it used and however many wait: its requests have deadlines.
MAX_WAIT_S = 0.3
MIN_TURN_S = 0.001  # between two turns
TURNS_PER_ITERATION = 8  # of connections that are within their bursts
MAX_TURN_S = 0.001  # of starting queued requests at once


class Waiting(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None: ...


class ProcessorUse:
    """The recent processor time of one connection."""

    __slots__ = ("updated_s", "used_s", "waiting")

    def __init__(self) -> None:
        self.used_s = 0.0
        self.updated_s = 0.0
        self.waiting: Waiting | None = None  # the connection, while it waits for its turn


class FairShare:
    """Gives connections that have to wait one turn after the other, a few in an iteration of the loop.

    Those within their bursts wait because of what others do, and go first. Between the turns of those that
    used more there are pauses, so that together they use SHARE.
    """

    def __init__(self) -> None:
        self.turns = 0  # given so far
        # A heap, by when each is due. Connections that are closed leave their entries.
        self._waiting: list[tuple[float, int, ProcessorUse]] = []
        self._numbers = itertools.count()  # of those that are due at once, the first goes first
        self._timer: asyncio.Handle | None = None
        self._is_paused = False  # the next turn comes after a pause
        self._iteration_s = 0.0  # processor time of all connections in the loop's present iteration
        self._last_turn_s = 0.0  # processor time of the last piece of work of a connection that waits

    @property
    def waiting(self) -> int:
        """The number of connections that wait for their turns."""
        return len(self._waiting)

    def add(self, use: ProcessorUse, began_s: float) -> bool:
        """Add a piece of work that ends now to a connection's use; returns whether it has to wait.

        `began_s` is the processor time at which the work began. Use is forgotten at the rate of SHARE, which
        all that wait have in common.
        """
        now_s, worked_s = clock_s(), processor_s() - began_s
        sharing = 1 + len(self._waiting)
        forgotten_s = SHARE * (now_s - use.updated_s) / sharing
        use.used_s = min(MAX_USE_S, max(0.0, use.used_s - forgotten_s) + worked_s)
        use.updated_s = now_s
        self._count_in_iteration(worked_s)
        if self.is_iteration_over:
            return True
        return use.used_s > max(MIN_BURST_S, BURST_S / sharing)

    @property
    def is_iteration_over(self) -> bool:
        """Whether the loop's present iteration has had its share of work."""
        return self._iteration_s > ITERATION_S

    def _count_in_iteration(self, used_s: float) -> None:
        if not self._iteration_s:
            asyncio.get_running_loop().call_soon(self._end_iteration)
        self._iteration_s += used_s

    def _end_iteration(self) -> None:
        self._iteration_s = 0.0

    def wait(self, connection: Waiting, use: ProcessorUse, began_s: float) -> None:
        """Queue a connection whose last piece of work ends now, and began at the processor time `began_s`."""
        self._last_turn_s = processor_s() - began_s
        # The time at which its use beyond the burst would be forgotten: none waits behind ever new ones.
        forgotten_in_s = max(0.0, use.used_s - BURST_S) * (1 + len(self._waiting)) / SHARE
        due_s = use.updated_s + min(MAX_WAIT_S, forgotten_in_s)
        use.waiting = connection
        heapq.heappush(self._waiting, (due_s, next(self._numbers), use))
        if self._timer is not None and self._is_paused and due_s <= clock_s():
            self._timer.cancel()  # this one need not wait for the end of the pause
            self._timer = None
        self._schedule()

    def leave(self, use: ProcessorUse) -> None:
        """Give no turn to the connection, which is closed."""
        use.waiting = None

    def _schedule(self) -> None:
        while self._waiting and self._waiting[0][2].waiting is None:
            heapq.heappop(self._waiting)
        if self._timer is not None or not self._waiting:
            return
        loop = asyncio.get_running_loop()
        self._is_paused = not self._is_one_due
        if not self._is_paused:
            self._timer = loop.call_soon(self._next)  # all events of one iteration come before it
            return
        delay_s = max(MIN_TURN_S, min(MAX_WAIT_S, self._last_turn_s * (1 / SHARE - 1)))
        self._timer = loop.call_later(delay_s, self._next)

    def _next(self) -> None:
        self._timer = None
        most = 1 if self._is_paused else TURNS_PER_ITERATION
        try:
            for _ in range(most):
                self._give_turn()
                if not self._is_one_due or self.is_iteration_over:
                    break
        finally:
            self._schedule()

    def _give_turn(self) -> None:
        use = heapq.heappop(self._waiting)[2]
        connection, use.waiting = use.waiting, None
        if connection is not None:
            self.turns += 1
            connection.take_turn()

    @property
    def _is_one_due(self) -> bool:
        return bool(self._waiting) and self._waiting[0][0] <= clock_s()


def clock_s() -> float:
    """The clock by which turns are due."""
    return time.monotonic()


def processor_s() -> float:
    """Processor time of this thread, which does not go on while the process is suspended or preempted."""
    return time.thread_time()
