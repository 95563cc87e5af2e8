"""The runs of `python -m faultlab coldstart`: each fault with `cluster` off and on, with the same seed."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from faultlab.coldstart.faults import FAULTS
from faultlab.coldstart.settings import Plan
from faultlab.coldstart.site import FIRST_TRAFFIC_S, ColdStartSite

MODES = {"off": False, "on": True}


async def measure_cpu_bound_start(plan: Plan, folder: Path) -> dict[str, Any]:
    """Measure how long the same gateways need to start when they have a list and need not ask for one.

    Returns the seconds until 99 % are ready and the CPU milliseconds that each has used by then.
    """
    site = ColdStartSite(plan, folder, shared=False)
    try:
        await site.set_up(known=True)
        await site.start_gateways_only()
        await site.wait_ready(0.99)
        cpu_ms = site.cpu_ready_s * 1000 / plan.gateways
        return {"alone_99_s": site.ready_s(0.99), "alone_cpu_ready_ms": cpu_ms}
    finally:
        await site.close()


async def play(plan: Plan, folder: Path, shared: bool, fault: str) -> dict[str, Any]:
    """Run one cold start with a fault.

    Its `during_start` step begins with the start; its `after_start` step follows once each gateway has had
    its first seconds of traffic.
    """
    steps = FAULTS[fault]
    site = ColdStartSite(plan, folder, shared)
    during_start: asyncio.Task[None] | None = None
    try:
        await site.set_up(relayed=shared and steps.through_relay)
        if steps.during_start is not None:
            during_start = asyncio.ensure_future(steps.during_start(site))
        await site.start_all()
        await site.wait_ready(1.0)
        last_s = max(site.first_ready.values(), default=0.0)
        await asyncio.sleep(max(0.0, last_s + FIRST_TRAFFIC_S - time.monotonic()))
        if during_start is not None:
            await during_start
        if steps.after_start is not None:
            await steps.after_start(site)
        return await site.collect_figures()
    finally:
        if during_start is not None:
            during_start.cancel()
        await site.close()


async def run(plan: Plan, folder: Path, modes: list[str], faults: list[str]) -> dict[str, Any]:
    """The figures by fault and mode, and those of the start that is limited by the CPU only."""
    alone = await measure_cpu_bound_start(plan, folder / "alone")
    seen: dict[str, Any] = {**alone, "plays": {}}
    for fault in faults:
        plays = seen["plays"][fault] = {}
        for mode in modes:
            plays[mode] = await play(plan, folder / f"{fault}-{mode}", MODES[mode], fault)
            plays[mode]["ready_99_to_alone"] = plays[mode]["ready_99_s"] / alone["alone_99_s"]
            plays[mode]["cpu_ready_to_alone"] = plays[mode]["cpu_ready_ms"] / alone["alone_cpu_ready_ms"]
            print(
                f"coldstart: completed {plan.gateways} gateways, fault {fault}, cluster {mode}",
                file=sys.stderr,
            )
    return seen


async def run_sizes(plan: Plan, folder: Path, modes: list[str], sizes: list[int]) -> dict[str, Any]:
    """Run the start without faults at several fleet sizes, with the same hosts and the same total traffic."""
    return {
        str(size): await run(replace(plan, gateways=size), folder / str(size), modes, ["none"])
        for size in sizes
    }
