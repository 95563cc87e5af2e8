"""Measures the latency that merging of many routes adds to requests.

One real gateway is under steady load, in alternating short intervals without and with commits by a team.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from faultlab.routes.costs import ROUTES_PER_CHANGE, route_path, summary
from faultlab.routes.fleet import RoutesFleet

RATE_PER_S = 300.0
INTERVAL_S = 1.5  # length of an interval
COMMIT_PAUSE_S = 0.1  # between commits
REQUEST = b"POST /transfer/elsewhere HTTP/1.1\r\nHost: l\r\nX-Call-Id: %d\r\nContent-Length: 0\r\n\r\n"


class SteadyClient(asyncio.Protocol):
    """Sends calls at a steady rate on one connection; `latencies_ms` has the latencies of the last
    interval."""

    def __init__(self) -> None:
        self.sent_times: list[float] = []
        self.latencies_ms: list[float] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"HTTP/1.1 ")):
            self.latencies_ms.append(1e3 * (time.perf_counter() - self.sent_times.pop(0)))

    async def run_interval(self, length_s: float) -> list[float]:
        """Send calls for `length_s` and wait for all answers; returns their latencies in milliseconds."""
        self.latencies_ms, started_s, number = [], time.perf_counter(), 0
        while (due_s := started_s + number / RATE_PER_S) < started_s + length_s:
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            self.sent_times.append(time.perf_counter())
            self.transport.write(REQUEST % number)
            number += 1
        async with asyncio.timeout(10.0):
            while self.sent_times:
                await asyncio.sleep(0.001)
        return self.latencies_ms


async def run(folder: Path, routes: int, rounds: int) -> dict[str, Any]:
    """Measure latencies in milliseconds; `added_p99_ms`: the median difference of adjacent intervals' 99th
    percentiles (goal under 2)."""
    async with RoutesFleet(1, folder) as fleet:
        bases: list[str] = []
        files = list(range(0, routes, ROUTES_PER_CHANGE))
        for number, first in enumerate(files):
            file = {f"route-{n}": {"path": route_path(n), "classes": ["transfer"], "limit": 9}
                    for n in range(first, min(routes, first + ROUTES_PER_CHANGE))}  # fmt: skip
            answer = await fleet.apply("m0", f"team-{number}", file, wait="local")
            bases.append(answer["base"])
        await fleet.wait_all(lambda status: status["count"] == routes + 1)
        loop = asyncio.get_running_loop()
        _, steady = await loop.create_connection(SteadyClient, "127.0.0.1", fleet.gateways["m0"].port)
        await steady.run_interval(INTERVAL_S)
        quiet: list[list[float]] = []
        merging: list[list[float]] = []
        team = CommittingTeam(fleet, files, bases)
        for _ in range(rounds):
            quiet.append(await steady.run_interval(INTERVAL_S))
            team.stopping = False
            task = asyncio.create_task(team.run())
            merging.append(await steady.run_interval(INTERVAL_S))
            team.stopping = True
            await task
        process = fleet.gateways["m0"].process
        assert process is not None
        memory_mb = rss_mb(process.pid)
    pairs = zip(quiet, merging, strict=True)
    added = sorted(summary(b)["p99"] - summary(a)["p99"] for a, b in pairs)
    return {
        "routes": routes, "calls_per_s": RATE_PER_S, "teams": len(files),
        "commit_ms": summary(team.commit_times_ms) | {"commits": len(team.took)},
        "quiet_ms": summary([each for interval in quiet for each in interval]),
        "merging_ms": summary([each for interval in merging for each in interval]),
        "added_p99_ms": {"median": round(added[len(added) // 2], 3), "goal": 2.0},
        "process_rss_mb": memory_mb,
    }  # fmt: skip


@dataclass
class CommittingTeam:
    """Commits an edit of one team after another until `stopping`; `commit_times_ms` has the duration of
    each."""

    fleet: RoutesFleet
    first_routes: list[int]
    bases: list[str]
    stopping: bool = False
    commit_times_ms: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Commit until `stopping`."""
        while not self.stopping:
            at = len(self.commit_times_ms) % len(self.first_routes)
            first = self.first_routes[at]
            file = {f"route-{n}": {"path": route_path(n), "classes": ["transfer"], "limit": 9}
                    for n in range(first, first + ROUTES_PER_CHANGE)}  # fmt: skip
            file[f"route-{first}"]["note"] = f"again {len(self.commit_times_ms)}"
            started_s = time.perf_counter()
            answer = await self.fleet.apply("m0", f"team-{at}", file, self.bases[at], "local")
            self.commit_times_ms.append(1e3 * (time.perf_counter() - started_s))
            self.bases[at] = answer["base"]
            await asyncio.sleep(COMMIT_PAUSE_S)


def rss_mb(pid: int) -> float:
    """A process's resident memory in MB; 0 if the kernel does not report it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0
