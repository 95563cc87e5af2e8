"""Processes killed and stopped: the publisher at each step, a member between staging and the epoch."""

from __future__ import annotations

import asyncio
import signal

from faultlab.transforms.faults.field import REST_S, Field

BEFORE_S = (0.0, 0.002, 0.01, 0.03)  # from the call on, into the order's way to the disk and to the others
STEPS = ("event=transforms.ordered", "event=transforms.staged", "candidate=%s", "active=%s")


async def _said(field: Field, at: str, *words: str) -> None:
    """Once a gateway's log has a line with these words."""
    while field.fleet.gateways[at].said_s(*words) is None:
        await asyncio.sleep(0.002)


async def publisher(field: Field) -> None:
    """The publisher, in turn the member that proposes, killed before and after each acknowledgement: back at
    once after the former; the others go on without it after the latter."""
    fleet = field.fleet
    publishers = [fleet.names[0], fleet.names[-1]]
    for number, delay_s in enumerate(BEFORE_S):
        at = publishers[number % 2]
        call = asyncio.create_task(field.publish(at, field.source()))
        await asyncio.sleep(delay_s)  # the moment of the fault
        await field.kill(at)
        await call
        await field.fleet.start(at)
        await field.rest()
    for number, step in enumerate(STEPS):
        at = publishers[number % 2]
        call = asyncio.create_task(field.publish(at, field.source()))
        if number == 0:
            async with asyncio.timeout(REST_S):
                await _said(field, at, step)
        else:
            id = await call
            async with asyncio.timeout(REST_S):
                await _said(field, at, step % id if "%" in step else step)
        await _killed(field, at, call)


async def _killed(field: Field, at: str, call: asyncio.Task[str]) -> None:
    await field.kill(at)
    await call
    await field.rest([name for name in field.fleet.names if name != at])
    await field.fleet.start(at)
    await field.rest()


async def staged(field: Field) -> None:
    """A member that has staged a version is killed before the epoch that makes it a candidate."""
    victim = field.fleet.names[-1]
    await field.publish(field.fleet.names[1], field.source())
    async with asyncio.timeout(REST_S):
        await _said(field, victim, "event=transforms.staged")
    await _killed(field, victim, asyncio.create_task(asyncio.sleep(0.0, "")))


async def stopped(field: Field) -> None:
    """A member, then the one that proposes, stopped before an order and going on after its epochs."""
    for victim in (field.fleet.names[-1], field.fleet.names[0]):
        others = [name for name in field.fleet.names if name != victim]
        field.count("stopped")
        await field.fleet.gateways[victim].signal(signal.SIGSTOP)
        try:
            await field.publish(others[1], field.source())
            await field.rest(others)
        finally:
            await field.fleet.gateways[victim].signal(signal.SIGCONT)
        await field.rest()
