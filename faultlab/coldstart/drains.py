"""Repeated drains in one fleet, each while a relay is killed, stopped or cut off."""

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
MAX_FAULT_DELAY_S = 0.02  # longest delay between the drain at the list service and the fault
EXTRA_WATCH_S = 1.0  # time that the host is watched after the gateways have to stop sending
RESTART_TIMEOUT_S = 10.0
SETTLE_S = 1.2  # new relays are chosen within this time


async def run(plan: Plan, folder: Path, rounds: int) -> dict[str, Any]:
    """Run `rounds` drains, each with one fault at a relay, and count the requests that broke the rule."""
    site = ColdStartSite(plan, folder, shared=True)
    injected: Counter[str] = Counter()
    victims: list[int] = []
    try:
        await site.set_up(relayed=True)
        await site.start_all()
        if not await site.wait_ready(1.0):
            raise TimeoutError(f"only {len(site.first_ready)} of {plan.gateways} gateways were ready")
        await asyncio.sleep(plan.warm_s)
        for number in range(rounds):
            kind = FAULT_KINDS[number % len(FAULT_KINDS)]
            relays = await site.watchers()
            if not relays:
                injected["no relay"] += 1
                await asyncio.sleep(SETTLE_S)
                continue
            victim = site.random.choice(relays)
            await run_round(site, kind, victim)
            injected[kind] += 1
            victims.append(victim)
        return await collect_figures(site, injected, victims)
    finally:
        await site.close()


async def run_round(site: ColdStartSite, kind: str, victim: int) -> None:
    """Drain a host, apply the fault, then undo both."""
    assert site.relay is not None
    drain = await site.drain()
    wait_s = site.random.uniform(-MAX_FAULT_DELAY_S, MAX_FAULT_DELAY_S)
    if wait_s > 0:  # otherwise at once, mostly before the relay has handled the change
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


async def collect_figures(site: ColdStartSite, injected: Counter[str], victims: list[int]) -> dict[str, Any]:
    """The figures of the run, with the requests that broke the drain rule by kind of fault."""
    service, hosts = await site.service.call("log"), await site.hosts.call("log")
    late: list[tuple[float, int]] = []
    broken: Counter[str] = Counter()
    last_s = []
    for drain, victim, kind in zip(
        site.drains, victims, (FAULT_KINDS[n % 3] for n in range(len(victims))), strict=True
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
