"""Runs the lease core in a process: connects it to a backend, the event loop's clock and the log."""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol, TypeVar

from cloverkeel.fleet.duties.core import LeaseManager
from cloverkeel.fleet.duties.interface import (
    Action,
    BackendAnswer,
    BackendCall,
    CallAnswered,
    DutiesConfigured,
    Duty,
    DutyEnded,
    DutyFreed,
    DutyStarted,
    Event,
    Granted,
    LogEvent,
    Shutdown,
    Tick,
    Unreachable,
)
from cloverkeel.fleet.events import event

POLL_FRACTION = 0.01  # of the shortest TTL waited for: interval of polling for freed duties
MIN_POLL_S = 0.02  # shortest interval between two polls
Result = TypeVar("Result")


class NotHeldError(Exception):
    """This process does not hold the duty at this moment; nothing was done."""


class Backend(Protocol):
    """Keeps the leases. Called on one thread of its own, one call at a time."""

    transactions: int  # made since the process started

    def call(self, ask: BackendCall) -> BackendAnswer:
        """Executes a call; returns `Unreachable` instead of raising."""
        ...

    def freed(self, names: set[str]) -> list[str]:
        """Which of these duties have become free since the last poll."""
        ...

    def close(self) -> None:
        """Releases the backend's resources."""
        ...


class DutyService:
    """Holds duties for this process. `holder`: its name, unique among running processes.

    `set_duties` says which duties it contends for, `add_listener` subscribes to the start and end of a duty.
    """

    def __init__(self, holder: str, backend: Backend) -> None:
        self.core = LeaseManager(holder, random.Random())
        self.backend = backend
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1, "duties")
        self.timer: asyncio.TimerHandle | None = None
        self.poll_timer: asyncio.TimerHandle | None = None
        self.listeners: dict[str, list[Callable[[int | None], None]]] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.pending_calls: set[asyncio.Future[None]] = set()
        self.closed = False

    def set_duties(self, duties: tuple[Duty, ...]) -> None:
        """Contends for these duties from now on, and releases others that it holds."""
        self._handle(DutiesConfigured(duties))
        if self.poll_timer is None and duties:
            self._schedule_poll()

    def add_listener(self, duty: str, listener: Callable[[int | None], None]) -> None:
        """Calls `listener(token)` when this process starts to hold the duty, `listener(None)` when it stops.

        The listener must not raise.
        """
        self.listeners.setdefault(duty, []).append(listener)

    def token(self, duty: str) -> int | None:
        """The token to act under at this moment, or None."""
        return self.core.current_token(self.loop.time(), duty)

    def run_if_held(self, duty: str, action: Callable[[int], Result]) -> Result:
        """Runs `action(token)` if this process holds the duty; raises NotHeldError if not.

        The action should pass the token on, so that the resource can reject an outdated holder.
        """
        token = self.token(duty)
        if token is None:
            self.counts["not_held"] += 1
            raise NotHeldError(f"{duty} is not held here")
        return action(token)

    async def run_on_thread(self, call: Callable[[], Result]) -> Result:
        """Runs a function on the backend's thread and returns its result. Raises what it raises."""
        return await self.loop.run_in_executor(self.thread, call)

    def held_count(self) -> int:
        """How many duties this process holds at this moment."""
        return sum(self.token(duty) is not None for duty in self.core.leases)

    async def close(self, wait_s: float = 1.0) -> None:
        """Releases all leases, so that other processes need not wait for them to expire.

        Waits at most `wait_s` for the backend's answers.
        """
        self._handle(Shutdown())
        if self.pending_calls:
            await asyncio.wait(set(self.pending_calls), timeout=wait_s)
        self.closed = True
        for handle in (self.timer, self.poll_timer):
            if handle is not None:
                handle.cancel()
        self.thread.submit(self.backend.close)
        self.thread.shutdown(wait=False)

    # Events in, actions out

    def _handle(self, core_event: Event) -> None:
        if self.closed:
            return
        for action in self.core.handle(self.loop.time(), core_event):
            self._execute(action)
        if self.timer is not None:
            self.timer.cancel()
        due_s = self.core.next_due_s()
        if due_s < float("inf"):
            self.timer = self.loop.call_at(due_s, self._handle, Tick())

    def _execute(self, action: Action) -> None:
        match action:
            case BackendCall():
                call = self.loop.create_task(self._call_backend(action))
                self.pending_calls.add(call)
                call.add_done_callback(self.pending_calls.discard)
            case DutyStarted(duty, token):
                self.counts["begun"] += 1
                event("duties.begun", duty=duty, token=token, holder=self.core.holder)
                self._notify(duty, token)
            case DutyEnded(duty, token, reason):
                self.counts["ended"] += 1
                event("duties.ended", duty=duty, token=token, holder=self.core.holder, reason=reason)
                self._notify(duty, None)
            case LogEvent(name, fields):
                self.counts[name.removeprefix("duties.")] += 1
                event(name, **dict(fields))

    def _notify(self, duty: str, token: int | None) -> None:
        for listener in self.listeners.get(duty, ()):
            listener(token)

    async def _call_backend(self, call: BackendCall) -> None:
        self.counts["calls"] += 1
        try:
            answer = await self.loop.run_in_executor(self.thread, self.backend.call, call)
        except Exception as error:  # an error of the backend must not leave the call pending
            answer = Unreachable(repr(error))
        if isinstance(answer, Granted) and call.verb == "renew":
            self.counts["renewed"] += 1
        self._handle(CallAnswered(call.duty.name, call.call_id, answer))

    # Polling for freed duties

    def _schedule_poll(self) -> None:
        """Schedules the next poll, sooner if a duty with a short TTL is waited for."""
        ttls_s = [lease.duty.ttl_s for lease in self.core.leases.values() if not lease.token and lease.wanted]
        wait_s = max(MIN_POLL_S, POLL_FRACTION * min(ttls_s)) if ttls_s else 10 * MIN_POLL_S
        self.poll_timer = self.loop.call_later(wait_s, lambda: self.loop.create_task(self._poll_freed()))

    async def _poll_freed(self) -> None:
        """Asks the backend which awaited duties have become free, so that they are acquired at once."""
        names = {
            duty for duty, lease in self.core.leases.items() if not lease.token and lease.pending_call is None
        }
        if names and not self.closed:
            try:
                freed = await self.loop.run_in_executor(self.thread, self.backend.freed, names)
            except RuntimeError:  # the executor has been shut down
                return
            for name in freed:
                self._handle(DutyFreed(name))
        if not self.closed:
            self._schedule_poll()
