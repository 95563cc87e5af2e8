"""Background tasks: referenced until they end, and every failure is reported."""

from __future__ import annotations

import asyncio

from cloverkeel.tasks import BackgroundTasks
from tests.sockets import on_loop


@on_loop
async def test_a_failure_is_reported_at_once_and_a_cancellation_is_not_a_failure() -> None:
    failures: list[BaseException] = []
    tasks = BackgroundTasks(failures.append)
    fault = LookupError("a fault")

    async def fail() -> None:
        raise fault

    async def begin_another() -> None:
        tasks.spawn(fail())

    tasks.spawn(begin_another())
    await tasks.wait()
    assert failures == [fault] and not tasks

    tasks.spawn(asyncio.Event().wait())  # type: ignore[arg-type]
    assert len(tasks) == 1
    tasks.cancel()
    await tasks.wait()
    assert failures == [fault] and not tasks


@on_loop
async def test_by_default_the_event_loop_gets_a_failure() -> None:
    reported: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: reported.append(context))
    tasks = BackgroundTasks()

    async def fail() -> None:
        raise LookupError("a fault")

    tasks.spawn(fail())
    await tasks.wait()
    assert [type(context["exception"]) for context in reported] == [LookupError]
