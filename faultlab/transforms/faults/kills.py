"""Fault cases that kill or stop processes: the publisher at each step, a member between staging and epoch."""

from __future__ import annotations

import asyncio
import signal

from faultlab.transforms.faults.harness import QUIESCENCE_TIMEOUT_S, FaultHarness

# After the call: before, while and after the order is stored and replicated.
KILL_DELAYS_S = (0.0, 0.002, 0.01, 0.03)
# Words of the publisher's log at which it is killed; %s is the version's id.
KILL_LOG_WORDS = ("event=transforms.ordered", "event=transforms.staged", "candidate=%s", "active=%s")


async def _wait_log_line(harness: FaultHarness, at: str, *words: str) -> None:
    """Wait until a gateway's log has a line with these words."""
    while harness.fleet.gateways[at].last_line_s(*words) is None:
        await asyncio.sleep(0.002)


async def publisher(harness: FaultHarness) -> None:
    """Kill the publisher before and after the acknowledgement of an order; every second time it is also the
    proposing member. Killed before, it is restarted at once; killed after, the others first become quiescent
    without it."""
    fleet = harness.fleet
    publishers = [fleet.names[0], fleet.names[-1]]
    for number, delay_s in enumerate(KILL_DELAYS_S):
        at = publishers[number % 2]
        call = asyncio.create_task(harness.publish(at, harness.make_source()))
        await asyncio.sleep(delay_s)  # the moment of the fault
        await harness.kill(at)
        await call
        await harness.fleet.start(at)
        await harness.wait_quiescent()
    for number, step in enumerate(KILL_LOG_WORDS):
        at = publishers[number % 2]
        call = asyncio.create_task(harness.publish(at, harness.make_source()))
        if number == 0:
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                await _wait_log_line(harness, at, step)
        else:
            id = await call
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                await _wait_log_line(harness, at, step % id if "%" in step else step)
        await _kill_and_restart(harness, at, call)


async def _kill_and_restart(harness: FaultHarness, at: str, call: asyncio.Task[str]) -> None:
    """Kill a gateway, wait until the others are quiescent, then restart it and wait for all."""
    await harness.kill(at)
    await call
    await harness.wait_quiescent([name for name in harness.fleet.names if name != at])
    await harness.fleet.start(at)
    await harness.wait_quiescent()


async def staged(harness: FaultHarness) -> None:
    """Kill a member that has staged a version before the epoch that makes the version a candidate."""
    victim = harness.fleet.names[-1]
    await harness.publish(harness.fleet.names[1], harness.make_source())
    async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
        await _wait_log_line(harness, victim, "event=transforms.staged")
    await _kill_and_restart(harness, victim, asyncio.create_task(asyncio.sleep(0.0, "")))


async def stopped(harness: FaultHarness) -> None:
    """Stop a member, then the proposing one, before an order, and continue it after the order's epochs."""
    for victim in (harness.fleet.names[-1], harness.fleet.names[0]):
        others = [name for name in harness.fleet.names if name != victim]
        harness.count_fault("stopped")
        await harness.fleet.gateways[victim].signal(signal.SIGSTOP)
        try:
            await harness.publish(others[1], harness.make_source())
            await harness.wait_quiescent(others)
        finally:
            await harness.fleet.gateways[victim].signal(signal.SIGCONT)
        await harness.wait_quiescent()
