"""Shares the processor among clients' connections: one that used more than its burst waits for its turn."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

BURST_S = 0.002  # processor time that a connection may use at once
SHARE = 0.25  # of the processor: what a connection may use all the time, and what all that wait use together
MAX_MEASURED_S = 0.02  # of one piece of work; a longer one shows a pause of the process
MIN_TURN_S = 0.001  # between two turns


class Waiting(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None: ...


class ProcessorUse:
    """The recent processor time of one connection, which is forgotten at the rate of SHARE."""

    __slots__ = ("_updated_s", "used_s")

    def __init__(self) -> None:
        self.used_s = 0.0
        self._updated_s = 0.0

    def add(self, used_s: float, now_s: float) -> bool:
        """Add processor time; returns whether the connection has used up its burst."""
        forgotten_s = SHARE * (now_s - self._updated_s)
        self.used_s = max(0.0, self.used_s - forgotten_s) + min(used_s, MAX_MEASURED_S)
        self._updated_s = now_s
        return self.used_s > BURST_S


class FairShare:
    """Gives connections that used up their bursts one turn after the other, with pauses between the turns."""

    def __init__(self) -> None:
        self._waiting: deque[Waiting] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.turns = 0  # given so far
        self._last_turn_s = 0.0  # processor time of the last piece of work of a connection that waits

    def wait(self, connection: Waiting, used_s: float) -> None:
        """Queue a connection whose last piece of work took `used_s`."""
        self._last_turn_s = min(used_s, MAX_MEASURED_S)
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None or not self._waiting:
            return
        delay_s = max(MIN_TURN_S, self._last_turn_s * (1 / SHARE - 1))
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._next)

    def _next(self) -> None:
        self._timer = None
        self.turns += 1
        self._waiting.popleft().take_turn()
        self._schedule()


def clock_s() -> float:
    """The clock by which processor use is measured."""
    return time.monotonic()
