"""Measures what a start costs, what saved state improves after it, and what checking a file costs."""

from __future__ import annotations

import asyncio
import signal
import sqlite3
import statistics
import time
from pathlib import Path

from cloverkeel.fleet import state
from faultlab.gateway_process import GatewayProcess, configuration, send_traffic
from faultlab.ports import free_port
from faultlab.recovery.files import Figures, write_good_file
from faultlab.standins import Discovery, Host, endpoint


async def compare_starts(folder: Path, processes: int, cycles: int) -> Figures:
    """Compare failed requests in the first 5 s after a start, by kind of start, under steady traffic.

    Gateways that have learned of a failing and a slow host are killed (SIGKILL) and started again: with their
    state (warm), with a new state directory (cold), and without one (none).
    """
    hosts = [Host("w-bad", status=503), Host("w-slow", delay_s=1.5), *(Host(f"w{n}") for n in range(3))]
    for host in hosts:
        await host.start()
    discovery = Discovery([endpoint(h) for h in hosts])
    await discovery.start()
    failed: dict[str, list[int]] = {"warm": [], "cold": [], "none": []}
    rate_per_s, window_s = 40.0, 5.0

    async def run_gateway(number: int) -> None:
        name = f"wc{number}"
        config = configuration(name, free_port(), discovery.address, discovery.endpoints)
        gateway = GatewayProcess(name, folder, config | {"state_snapshot_s": 0.5}, None)
        for cycle in range(cycles):
            gateway.state_dir = folder / f"{name}-state"
            await gateway.start()
            await send_traffic(gateway.port, int(rate_per_s * 3), rate_per_s)  # 3 s to learn
            for start in ("warm", "cold", "none"):
                await gateway.signal(signal.SIGKILL)
                cold = folder / f"{name}-cold-{cycle}"
                gateway.state_dir = {"warm": gateway.state_dir, "cold": cold}.get(start)
                await gateway.start()
                tally = await send_traffic(gateway.port, int(rate_per_s * window_s), rate_per_s)
                failed[start].append(tally.failed)
            await gateway.signal(signal.SIGKILL)

    try:
        await asyncio.gather(*(run_gateway(n) for n in range(processes)))
    finally:
        for host in hosts:
            host.close()
        discovery.close()
    return {
        "failed_first_5s": {k: statistics.mean(v) for k, v in failed.items()},
        "starts_each": len(failed["warm"]),
        "requests_per_start": int(rate_per_s * window_s),
    }


async def start_costs(folder: Path, rounds: int) -> Figures:
    """Seconds from exec to a positive `/health/ready`, the median of `rounds` starts, one at a time.

    The starts are without a store, with a new state directory, and with the state of a process that was
    killed (SIGKILL).
    """
    host = Host("s0")
    await host.start()
    ready: dict[str, list[float]] = {"none": [], "cold": [], "warm": []}
    try:
        for round_ in range(rounds):
            for start in ready:
                directory = {"none": None, "cold": folder / f"cost-{round_}", "warm": folder / "cost"}[start]
                config = configuration("cost", free_port(), "127.0.0.1:9", [endpoint(host)])
                gateway = GatewayProcess("cost", folder, config | {"state_snapshot_s": 0.05}, directory)
                ready[start].append(await gateway.start())
                if start == "warm" and round_ == 0:  # the next rounds start from this snapshot
                    await send_traffic(gateway.port, 10, 100.0)
                await gateway.signal(signal.SIGKILL)
    finally:
        host.close()
    medians = {start: statistics.median(times) for start, times in ready.items()}
    return {"ready_s": medians, "store_start_cost": medians["cold"] / medians["none"] - 1.0}


def check_costs(folder: Path, rounds: int) -> Figures:
    """Milliseconds that `quick_check` and `integrity_check` take on a file of two snapshots, as medians."""
    directory = folder / "checks"
    write_good_file(directory, 2)
    costs: dict[str, float] = {}
    with sqlite3.connect(directory / state.STATE_FILE) as connection:
        for pragma in ("quick_check", "integrity_check"):
            times = []
            for _ in range(rounds):
                began = time.perf_counter()
                connection.execute(f"PRAGMA {pragma}").fetchall()
                times.append((time.perf_counter() - began) * 1000)
            costs[pragma] = statistics.median(times)
    size_kib = (directory / state.STATE_FILE).stat().st_size / 1024
    return {"check_ms": costs, "file_kib": size_kib}
