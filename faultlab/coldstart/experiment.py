"""The plays of `python -m faultlab coldstart`: each with `cluster` off and on, the same seed."""

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
    """The start of the same gateways with a list at hand and nobody to ask: until 99 % are ready, the seconds
    and the processor's milliseconds for each."""
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
    """One cold start: until every gateway has had its first seconds of traffic, then the late part."""
    parts = FAULTS[fault]
    site = ColdStartSite(plan, folder, shared)
    early: asyncio.Task[None] | None = None
    try:
        await site.set_up(relayed=shared and parts.through_relay)
        if parts.during_start is not None:
            early = asyncio.ensure_future(parts.during_start(site))
        await site.start_all()
        await site.wait_ready(1.0)
        last_s = max(site.first_ready.values(), default=0.0)
        await asyncio.sleep(max(0.0, last_s + FIRST_TRAFFIC_S - time.monotonic()))
        if early is not None:
            await early
        if parts.after_start is not None:
            await parts.after_start(site)
        return await site.collect_figures()
    finally:
        if early is not None:
            early.cancel()
        await site.close()


async def run(plan: Plan, folder: Path, modes: list[str], faults: list[str]) -> dict[str, Any]:
    """The figures by fault and mode, and the start that the processor alone needs."""
    alone = await measure_cpu_bound_start(plan, folder / "alone")
    seen: dict[str, Any] = {**alone, "plays": {}}
    for fault in faults:
        plays = seen["plays"][fault] = {}
        for mode in modes:
            plays[mode] = await play(plan, folder / f"{fault}-{mode}", MODES[mode], fault)
            plays[mode]["ready_99_to_alone"] = plays[mode]["ready_99_s"] / alone["alone_99_s"]
            plays[mode]["cpu_ready_to_alone"] = plays[mode]["cpu_ready_ms"] / alone["alone_cpu_ready_ms"]
            print(f"coldstart: {plan.gateways} gateways, {fault}, {mode}: played", file=sys.stderr)
    return seen


async def run_sizes(plan: Plan, folder: Path, modes: list[str], sizes: list[int]) -> dict[str, Any]:
    """The start alone, in several sizes of the fleet, with the same hosts and the same traffic over all."""
    return {
        str(size): await run(replace(plan, gateways=size), folder / str(size), modes, ["none"])
        for size in sizes
    }
