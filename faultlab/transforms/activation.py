"""`--part activation`: how fast a fleet activates a version and quarantines a bad one."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import re
import statistics
import time
from collections import Counter
from pathlib import Path
from typing import Any

from faultlab.gateway_process import send_request
from faultlab.gateway_fleet import POLL_S
from faultlab.transforms.engine import cpu_s
from faultlab.transforms.fleet import TransformsFleet

CANARY_S = 0.5
QUIET_PERIOD_S = 10.0
CALLS_PER_S = 10.0  # to each gateway, while a bad version is a candidate
SOURCE = 'transform mark owner lab phase request reads x-bad writes x-mark set x-mark = "%d"'
BAD_SOURCE = (
    'transform mark owner lab phase request reads x-bad writes x-mark when has("x-bad") { fail "%d" }'
)
REQUEST = b"POST /transfer HTTP/1.1\r\nHost: l\r\nX-Call-Id: l%d\r\nX-Bad: 1\r\nContent-Length: 0\r\n\r\n"
# Of a bad version, from its publication: to the first gateway with it as candidate, from there to the first
# open breaker, to the first gateway that has quarantined it, to the last one.
STEPS = ("to_candidate", "to_trip", "to_quarantined", "to_all")
_request_numbers = itertools.count()
BYTES_OUT_PATTERN = re.compile(rb"^lb_ledger_bytes_out_total (\d+)$", re.MULTILINE)


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Publish good and bad versions in turn; returns seconds. `spread`: from the first gateway that has a
    version active to the last."""
    settings = {"canary_s": CANARY_S}
    staged, spread, all_active, stopped = [], [], [], []
    statuses: Counter[int] = Counter()
    steps: dict[str, list[float]] = {step: [] for step in STEPS}
    async with TransformsFleet(arguments.gateways, folder, settings) as fleet:
        quiet = await quiet_bytes_per_s(fleet)
        cpu_before = cpu_used_s(fleet)
        for number in range(arguments.rounds):
            started_s = time.monotonic()
            id = await fleet.publish(fleet.names[number % len(fleet.names)], (SOURCE % number).encode())
            at = await wait_log_line(fleet, "event=transforms.staged", f"version={id}", "outcome=staged")
            staged.append(max(at) - started_s)
            at = await wait_log_line(fleet, "event=transforms.epoch", f"active={id}")
            spread.append(max(at) - min(at))
            all_active.append(max(at) - started_s)
            await fleet.wait_all(is_quiescent)
            started_s = time.monotonic()
            async with send_calls(fleet, statuses):
                id = await fleet.publish(
                    fleet.names[-1 - number % len(fleet.names)], (BAD_SOURCE % number).encode()
                )
                candidate = await wait_log_line(fleet, "event=transforms.epoch", f"candidate={id}")
                quarantined = await wait_log_line(fleet, "event=transforms.quarantined", after_s=started_s)
                stopped.append(max(quarantined) - started_s)
                trips = [
                    at_s
                    for gateway in fleet.gateways.values()
                    if (at_s := gateway.first_line_s(0, started_s, f"version={id}", "open=True")) is not None
                ]
                # In the order of STEPS.
                marks = [started_s, min(candidate), min(trips), min(quarantined), max(quarantined)]
                for step, (since, until) in zip(STEPS, itertools.pairwise(marks), strict=True):
                    steps[step].append(until - since)
            await fleet.wait_all(is_quiescent)
        cpu = [(now - was) / arguments.rounds for now, was in zip(cpu_used_s(fleet), cpu_before, strict=True)]
    return {
        "gateways": arguments.gateways,
        "rounds": arguments.rounds,
        "canary_s": CANARY_S,
        "published_to_staged_everywhere": quantiles(staged),
        "published_to_active_everywhere": quantiles(all_active),
        "spread": quantiles(spread) | {"goal": 1.0},
        "bad_published_to_stopped_everywhere": quantiles(stopped) | {"goal": 3.0},
        "bad_steps_p50": {step: quantiles(values)["p50"] for step, values in steps.items()},
        "calls_by_status": dict(sorted(statuses.items())),  # 0: no answer in time
        # A round has a good and a bad version. The lab's process holds relay, hosts and callers.
        "cpu_s_per_round": {"a_gateway": round(cpu[0], 3), "lab": round(cpu[1], 3)},
        "quiet_ledger_bytes_per_member_per_s": quiet,
    }


def cpu_used_s(fleet: TransformsFleet) -> tuple[float, float]:
    """CPU seconds used so far: the mean of the gateways, and the lab's process."""
    pids = [gateway.process.pid for gateway in fleet.gateways.values() if gateway.process is not None]
    return sum(map(cpu_s, pids)) / len(pids), time.process_time()


def is_quiescent(status: dict[str, Any]) -> bool:
    """Whether nothing is under way and all live members have the epoch, so that each round begins alike."""
    return all(each["state"] == "active" for each in status["transforms"]) and all(
        member["epoch"] == status["epoch"] for member in status["members"] if member["live"]
    )


def quantiles(values: list[float]) -> dict[str, float]:
    """The median and the 99th percentile (of fewer than 100 values the greatest)."""
    ranked = sorted(values)
    return {
        "p50": round(statistics.median(ranked), 3),
        "p99": round(ranked[min(len(ranked) - 1, int(0.99 * len(ranked)))], 3),
    }


async def wait_log_line(
    fleet: TransformsFleet, *words: str, after_s: float = 0.0, timeout_s: float = 60.0
) -> list[float]:
    """Wait until each gateway has logged a line with these words after `after_s`; returns the times. Each
    line is examined once only, since this shares an event loop with the relay."""
    next_lines = dict.fromkeys(fleet.names, 0)
    at: list[float] = []
    async with asyncio.timeout(timeout_s):
        while next_lines:
            for name, seen in list(next_lines.items()):
                gateway = fleet.gateways[name]
                first_s = gateway.first_line_s(seen, after_s, *words)
                if first_s is None:
                    next_lines[name] = len(gateway.line_times)
                else:
                    at.append(first_s)
                    del next_lines[name]
            await asyncio.sleep(POLL_S)
    return at


@contextlib.asynccontextmanager
async def send_calls(fleet: TransformsFleet, statuses: Counter[int]) -> Any:
    """Send calls on which a bad version fails to each gateway, at CALLS_PER_S; counts their statuses."""
    stopping = asyncio.Event()

    async def call_repeatedly(port: int) -> None:
        while not stopping.is_set():
            statuses[await send_request(port, REQUEST % next(_request_numbers))] += 1
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), 1 / CALLS_PER_S)

    tasks = [asyncio.create_task(call_repeatedly(gateway.port)) for gateway in fleet.gateways.values()]
    try:
        yield
    finally:
        stopping.set()
        await asyncio.gather(*tasks)


async def quiet_bytes_per_s(fleet: TransformsFleet) -> float:
    """Bytes per second that a member's ledger sends while nothing changes, the mean of all."""
    before = await _ledger_bytes_out(fleet)
    started_s = time.monotonic()
    await asyncio.sleep(QUIET_PERIOD_S)  # the measured interval
    elapsed_s = time.monotonic() - started_s
    return round((await _ledger_bytes_out(fleet) - before) / elapsed_s / len(fleet.names), 1)


async def _ledger_bytes_out(fleet: TransformsFleet) -> int:
    total = 0
    for name in fleet.names:
        _, body = await fleet.call_operator(name, "/api/telemetry")
        match = BYTES_OUT_PATTERN.search(body)
        if match is None:
            raise RuntimeError(f"{name} does not report the bytes sent by its ledger")
        total += int(match[1])
    return total
