"""Background tasks: nobody awaits their results, so they are kept until they end and their failures reported.

An event loop refers to its tasks weakly, and a failed task that nobody awaits is reported only when it is
collected (asyncio, "create_task"). Here both hold at once, for every part that begins work beside its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


def report_failure(error: BaseException) -> None:
    """Hand a failure to the event loop's exception handler, which logs it."""
    context = {"message": "a background task has failed", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)


class BackgroundTasks:
    """Tasks that run beside their owner, on the running event loop."""

    def __init__(self, on_failure: Callable[[BaseException], None] = report_failure) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_failure = on_failure

    def __len__(self) -> int:
        """How many have not ended."""
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin `work`; `on_failure` gets the exception that ends it, a cancellation excepted."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancel all that have not ended. Returns before they end."""
        for task in tuple(self._tasks):
            task.cancel()

    async def wait(self) -> None:
        """Until all have ended, those included that they begin meanwhile."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._on_failure(error)
