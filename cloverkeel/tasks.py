"""Background tasks: holds references to tasks that nobody awaits, and reports their failures at once.

An event loop holds only weak references to its tasks, and reports the failure of a task that nobody awaits
only when the task is garbage-collected (see asyncio, "create_task").
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
    """The tasks of one owner on the running event loop."""

    def __init__(self, on_failure: Callable[[BaseException], None] = report_failure) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_failure = on_failure

    def __len__(self) -> int:
        """Number of tasks that have not ended."""
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start `work` as a task. `on_failure` gets the exception that ends it, unless it was cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Request the cancellation of all tasks, without waiting for them to end."""
        for task in tuple(self._tasks):
            task.cancel()

    async def wait(self) -> None:
        """Wait until all tasks have ended, including those spawned meanwhile."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._on_failure(error)
