"""Processes killed and stopped: the publisher at each step, a member between staging and the epoch."""

from __future__ import annotations

import asyncio
import signal

from faultlab.transforms.faults.harness import QUIESCENCE_TIMEOUT_S, FaultHarness

KILL_DELAYS_S = (
    0.0,
    0.002,
    0.01,
    0.03,
)  # from the call on, into the order's way to the disk and to the others
KILL_LOG_WORDS = ("event=transforms.ordered", "event=transforms.staged", "candidate=%s", "active=%s")


async def _wait_log_line(field: FaultHarness, at: str, *words: str) -> None:
    """Once a gateway's log has a line with these words."""
    while field.fleet.gateways[at].last_line_s(*words) is None:
        await asyncio.sleep(0.002)


async def publisher(field: FaultHarness) -> None:
    """The publisher, in turn the member that proposes, killed before and after each acknowledgement: back at
    once after the former; the others go on without it after the latter."""
    fleet = field.fleet
    publishers = [fleet.names[0], fleet.names[-1]]
    for number, delay_s in enumerate(KILL_DELAYS_S):
        at = publishers[number % 2]
        call = asyncio.create_task(field.publish(at, field.make_source()))
        await asyncio.sleep(delay_s)  # the moment of the fault
        await field.kill(at)
        await call
        await field.fleet.start(at)
        await field.wait_quiescent()
    for number, step in enumerate(KILL_LOG_WORDS):
        at = publishers[number % 2]
        call = asyncio.create_task(field.publish(at, field.make_source()))
        if number == 0:
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                await _wait_log_line(field, at, step)
        else:
            id = await call
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                await _wait_log_line(field, at, step % id if "%" in step else step)
        await _kill_and_restart(field, at, call)


async def _kill_and_restart(field: FaultHarness, at: str, call: asyncio.Task[str]) -> None:
    await field.kill(at)
    await call
    await field.wait_quiescent([name for name in field.fleet.names if name != at])
    await field.fleet.start(at)
    await field.wait_quiescent()


async def staged(field: FaultHarness) -> None:
    """A member that has staged a version is killed before the epoch that makes it a candidate."""
    victim = field.fleet.names[-1]
    await field.publish(field.fleet.names[1], field.make_source())
    async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
        await _wait_log_line(field, victim, "event=transforms.staged")
    await _kill_and_restart(field, victim, asyncio.create_task(asyncio.sleep(0.0, "")))


async def stopped(field: FaultHarness) -> None:
    """A member, then the one that proposes, stopped before an order and going on after its epochs."""
    for victim in (field.fleet.names[-1], field.fleet.names[0]):
        others = [name for name in field.fleet.names if name != victim]
        field.count_fault("stopped")
        await field.fleet.gateways[victim].signal(signal.SIGSTOP)
        try:
            await field.publish(others[1], field.make_source())
            await field.wait_quiescent(others)
        finally:
            await field.fleet.gateways[victim].signal(signal.SIGCONT)
        await field.wait_quiescent()
