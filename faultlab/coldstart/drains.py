"""Drains with a relay killed, stopped or cut off meanwhile, many times in one fleet."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from pathlib import Path
from typing import Any

from faultlab.coldstart import figures
from faultlab.coldstart.settings import Plan
from faultlab.coldstart.site import ColdStartSite

FAULT_KINDS = ("kill", "stop", "cut")
MAX_FAULT_DELAY_S = 0.02  # a fault comes within so long after word of the drain has left the service
EXTRA_WATCH_S = 1.0  # the host is watched for so long beyond what the rule gives
RESTART_TIMEOUT_S = 10.0
SETTLE_S = 1.2  # relays are chosen anew within it


async def run(plan: Plan, folder: Path, rounds: int) -> dict[str, Any]:
    """`rounds` drains, each with one fault at a relay; what came to drained hosts against the rule."""
    site = ColdStartSite(plan, folder, shared=True)
    injected: Counter[str] = Counter()
    struck: list[int] = []
    try:
        await site.set_up(relayed=True)
        await site.start_all()
        if not await site.wait_ready(1.0):
            raise TimeoutError(f"only {len(site.first_ready)} of {plan.gateways} gateways were ready")
        await asyncio.sleep(plan.warm_s)
        for number in range(rounds):
            kind = FAULT_KINDS[number % len(FAULT_KINDS)]
            watching = await site.watchers()
            if not watching:
                injected["no relay"] += 1
                await asyncio.sleep(SETTLE_S)
                continue
            victim = site.random.choice(watching)
            await run_round(site, kind, victim)
            injected[kind] += 1
            struck.append(victim)
        return await collect_figures(site, injected, struck)
    finally:
        await site.close()


async def run_round(site: ColdStartSite, kind: str, victim: int) -> None:
    """One drain and its fault, then all as before."""
    assert site.relay is not None
    drain = await site.drain()
    wait_s = site.random.uniform(-MAX_FAULT_DELAY_S, MAX_FAULT_DELAY_S)
    if wait_s > 0:  # else at once: before the relay's loop has turned, more often than not
        await asyncio.sleep(wait_s)
    others = [f"gw-{n}" for n in range(site.plan.gateways) if n != victim]
    match kind:
        case "kill":
            site.gateways.signal(victim, signal.SIGKILL)
        case "stop":
            site.gateways.signal(victim, signal.SIGSTOP)
        case "cut":
            site.relay.cut([f"gw-{victim}"], others)
    end_s = drain.set_s + figures.STOP_SENDING_S + figures.SLACK_S + EXTRA_WATCH_S
    await asyncio.sleep(max(0.0, end_s - time.monotonic()))
    await site.undrain(drain)
    match kind:
        case "kill":
            await site.restart_gateways([victim])
            await site.wait_ready_again([victim], RESTART_TIMEOUT_S)
        case "stop":
            site.gateways.signal(victim, signal.SIGCONT)
        case "cut":
            site.relay.heal()
    await asyncio.sleep(SETTLE_S)


async def collect_figures(site: ColdStartSite, injected: Counter[str], struck: list[int]) -> dict[str, Any]:
    service, hosts = await site.service.call("log"), await site.hosts.call("log")
    late: list[tuple[float, int]] = []
    broken: Counter[str] = Counter()
    last_s = []
    for drain, victim, kind in zip(
        site.drains, struck, (FAULT_KINDS[n % 3] for n in range(len(struck))), strict=True
    ):
        sends = figures.late_sends(hosts["requests"], service["told"], drain, shared=True)
        if sends:
            broken[kind] += 1
        late += [(after_s, gateway) for after_s, gateway in sends if gateway != victim]
        last_s.append(figures.last_send_s(hosts["requests"], drain))
    return {
        "gateways": site.plan.gateways,
        "injected": dict(injected),
        "drains_broken": dict(broken),
        "drains_broken_in_all": sum(broken.values()),
        "late_sends_by_others": len(late),
        "last_send_after_drain_median_s": figures.quantile(last_s, 0.5),
        "last_send_after_drain_most_s": max(last_s, default=0.0),
        "list_calls": len(service["calls"]),
        "answers": dict(Counter(str(status) for _, _, status, _ in await site.clients.call("log"))),
    }
