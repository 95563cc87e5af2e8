"""What merging at many routes adds to the latency of requests: one real gateway under steady load, in short
spells without and with a team that commits, in turn."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any, cast

from faultlab.routes.costs import PER_CHANGE, TEAMS, path, spread
from faultlab.routes.fleet import Routed

RATE_PER_S = 300.0
SPELL_S = 1.5
COMMIT_S = 0.1
CALL = b"POST /transfer/elsewhere HTTP/1.1\r\nHost: l\r\nX-Call-Id: %d\r\nContent-Length: 0\r\n\r\n"


class Steady(asyncio.Protocol):
    """Calls at a steady rate on one connection; `took` has the milliseconds from when each was due."""

    def __init__(self) -> None:
        self.due: list[float] = []
        self.took: list[float] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"HTTP/1.1 ")):
            self.took.append(1e3 * (time.perf_counter() - self.due.pop(0)))

    async def spell(self, length_s: float) -> list[float]:
        """The latencies of a spell's calls, each answered before the next is sent."""
        self.took, began, number = [], time.perf_counter(), 0
        while (due := began + number / RATE_PER_S) < began + length_s:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            self.due.append(time.perf_counter())
            self.transport.write(CALL % number)
            number += 1
        async with asyncio.timeout(10.0):
            while self.due:
                await asyncio.sleep(0.001)
        return self.took


async def run(folder: Path, routes: int, spells: int) -> dict[str, Any]:
    """Milliseconds; `added_p99`: the median over pairs of spells side by side (goal under 2)."""
    async with Routed(1, folder) as fleet:
        bases: list[str] = []
        files = list(range(0, routes, PER_CHANGE))
        for number, first in enumerate(files):
            file = {f"route-{n}": {"path": path(n), "classes": ["transfer"], "limit": 9}
                    for n in range(first, min(routes, first + PER_CHANGE))}  # fmt: skip
            said = await fleet.apply("m0", f"team-{number}", file, wait="local")
            bases.append(said["base"])
        await fleet.all(lambda status: status["count"] == routes + 1)
        loop = asyncio.get_running_loop()
        _, steady = await loop.create_connection(Steady, "127.0.0.1", fleet.gateways["m0"].port)
        await steady.spell(SPELL_S)
        quiet: list[list[float]] = []
        merging: list[list[float]] = []
        commits = 0
        for _ in range(spells):
            quiet.append(await steady.spell(SPELL_S))
            task = asyncio.create_task(committing(fleet, files, bases))
            merging.append(await steady.spell(SPELL_S))
            commits += await stop(task)
        pid = fleet.gateways["m0"].process
        assert pid is not None
        memory = rss_mb(pid.pid)
    pairs = zip(quiet, merging, strict=True)
    added = sorted(spread(b)["p99"] - spread(a)["p99"] for a, b in pairs)
    return {
        "routes": routes, "calls_per_s": RATE_PER_S, "commits": commits, "teams": max(TEAMS, len(files)),
        "quiet_ms": spread([each for spell in quiet for each in spell]),
        "merging_ms": spread([each for spell in merging for each in spell]),
        "added_p99_ms": {"median": round(added[len(added) // 2], 3), "goal": 2.0}, "process_rss_mb": memory,
    }  # fmt: skip


class Committing:
    """How far a task that commits until it is cancelled has come."""

    count = 0


async def committing(fleet: Routed, files: list[int], bases: list[str]) -> None:
    while True:
        at = Committing.count % len(files)
        first = files[at]
        file = {f"route-{n}": {"path": path(n), "classes": ["transfer"], "limit": 9}
                for n in range(first, first + PER_CHANGE)}  # fmt: skip
        file[f"route-{first}"]["note"] = f"again {Committing.count}"
        said = await fleet.apply("m0", f"team-{at}", file, bases[at], "local")
        bases[at] = said["base"]
        Committing.count += 1
        await asyncio.sleep(COMMIT_S)


async def stop(task: asyncio.Task[None]) -> int:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    count, Committing.count = Committing.count, 0
    return count


def rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0
