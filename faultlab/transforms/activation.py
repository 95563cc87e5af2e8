"""`--part activation`: from a publication to all gateways, and from a bad one to its end, in one fleet."""

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
CALLS_PER_S = 10.0  # calls a second to each gateway while a bad version is out
SOURCE = 'transform mark owner lab phase request reads x-bad writes x-mark set x-mark = "%d"'
BAD_SOURCE = (
    'transform mark owner lab phase request reads x-bad writes x-mark when has("x-bad") { fail "%d" }'
)
REQUEST = b"POST /transfer HTTP/1.1\r\nHost: l\r\nX-Call-Id: l%d\r\nX-Bad: 1\r\nContent-Length: 0\r\n\r\n"
# Of a bad version: published to the first that has the epoch, to the first breaker, to the first that has it
# quarantined, to the last.
STEPS = ("to_candidate", "to_trip", "to_quarantined", "to_all")
_request_numbers = itertools.count()
BYTES_OUT_PATTERN = re.compile(rb"^lb_ledger_bytes_out_total (\d+)$", re.MULTILINE)


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Seconds. `spread`: from the first gateway that runs a version as active to the last."""
    settings = {"canary_s": CANARY_S}
    staged, spread, all_active, stopped = [], [], [], []
    statuses: Counter[int] = Counter()
    steps: dict[str, list[float]] = {step: [] for step in STEPS}
    async with TransformsFleet(arguments.gateways, folder, settings) as fleet:
        quiet = await quiet_bytes_per_s(fleet)
        cpu_before = cpu_used_s(fleet)
        for number in range(arguments.rounds):
            began = time.monotonic()
            id = await fleet.publish(fleet.names[number % len(fleet.names)], (SOURCE % number).encode())
            at = await wait_log_line(fleet, "event=transforms.staged", f"version={id}", "outcome=staged")
            staged.append(max(at) - began)
            at = await wait_log_line(fleet, "event=transforms.epoch", f"active={id}")
            spread.append(max(at) - min(at))
            all_active.append(max(at) - began)
            await fleet.wait_all(is_quiescent)
            began = time.monotonic()
            async with send_calls(fleet, statuses):
                id = await fleet.publish(
                    fleet.names[-1 - number % len(fleet.names)], (BAD_SOURCE % number).encode()
                )
                tried = await wait_log_line(fleet, "event=transforms.epoch", f"candidate={id}")
                ends = await wait_log_line(fleet, "event=transforms.quarantined", after_s=began)
                stopped.append(max(ends) - began)
                trips = [
                    at_s
                    for gateway in fleet.gateways.values()
                    if (at_s := gateway.first_line_s(0, began, f"version={id}", "open=True")) is not None
                ]
                marks = [began, min(tried), min(trips), min(ends), max(ends)]  # one after the other
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
        # A round: a good version and a bad one. The lab: relay, hosts and callers, one process.
        "cpu_s_per_round": {"a_gateway": round(cpu[0], 3), "lab": round(cpu[1], 3)},
        "quiet_ledger_bytes_per_member_per_s": quiet,
    }


def cpu_used_s(fleet: TransformsFleet) -> tuple[float, float]:
    """CPU seconds so far: of a gateway, the mean of all, and of the lab."""
    pids = [gateway.process.pid for gateway in fleet.gateways.values() if gateway.process is not None]
    return sum(map(cpu_s, pids)) / len(pids), time.process_time()


def is_quiescent(status: dict[str, Any]) -> bool:
    """Nothing is on its way, and all live members run the epoch: the next round begins alike."""
    return all(each["state"] == "active" for each in status["transforms"]) and all(
        member["epoch"] == status["epoch"] for member in status["members"] if member["live"]
    )


def quantiles(values: list[float]) -> dict[str, float]:
    """The median and the 99th of a hundred (of fewer values the greatest)."""
    ranked = sorted(values)
    return {
        "p50": round(statistics.median(ranked), 3),
        "p99": round(ranked[min(len(ranked) - 1, int(0.99 * len(ranked)))], 3),
    }


async def wait_log_line(
    fleet: TransformsFleet, *words: str, after_s: float = 0.0, timeout_s: float = 60.0
) -> list[float]:
    """When each gateway first wrote a line with these words after `after_s`, once all have. Each line is
    looked at once: the relay runs beside this."""
    left = dict.fromkeys(fleet.names, 0)
    at: list[float] = []
    async with asyncio.timeout(timeout_s):
        while left:
            for name, seen in list(left.items()):
                gateway = fleet.gateways[name]
                found = gateway.first_line_s(seen, after_s, *words)
                if found is None:
                    left[name] = len(gateway.line_times)
                else:
                    at.append(found)
                    del left[name]
            await asyncio.sleep(POLL_S)
    return at


@contextlib.asynccontextmanager
async def send_calls(fleet: TransformsFleet, statuses: Counter[int]) -> Any:
    """Calls that a bad version fails on, to each gateway at `CALLS_S`; their statuses are counted."""
    ended = asyncio.Event()

    async def one(port: int) -> None:
        while not ended.is_set():
            statuses[await send_request(port, REQUEST % next(_request_numbers))] += 1
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), 1 / CALLS_PER_S)

    tasks = [asyncio.create_task(one(gateway.port)) for gateway in fleet.gateways.values()]
    try:
        yield
    finally:
        ended.set()
        await asyncio.gather(*tasks)


async def quiet_bytes_per_s(fleet: TransformsFleet) -> float:
    """What a member's ledger sends in a second while nothing changes, the mean of all."""
    before = await _ledger_bytes_out(fleet)
    began = time.monotonic()
    await asyncio.sleep(QUIET_PERIOD_S)  # the measurement itself
    passed_s = time.monotonic() - began
    return round((await _ledger_bytes_out(fleet) - before) / passed_s / len(fleet.names), 1)


async def _ledger_bytes_out(fleet: TransformsFleet) -> int:
    total = 0
    for name in fleet.names:
        _, body = await fleet.call_operator(name, "/api/telemetry")
        found = BYTES_OUT_PATTERN.search(body)
        if found is None:
            raise RuntimeError(f"{name} gives no ledger's bytes")
        total += int(found[1])
    return total
