"""`--faults NAME,...`: fault cases run on real gateways behind the relay, each checked against the invariants
of docs/activation.md. A case is a function of a `FaultHarness`; the cases of one fleet run in sequence."""

from __future__ import annotations

import argparse
import functools
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from faultlab.transforms.faults import disks, kills, network, upgrade, versions
from faultlab.transforms.faults.harness import SETTINGS, FaultHarness
from faultlab.transforms.faults.hosts import HeadChecker
from faultlab.transforms.faults.mixed import mixed
from faultlab.transforms.fleet import TransformsFleet

Case = Callable[[FaultHarness], Awaitable[None]]
FAULTS: dict[str, Case] = {
    "publisher": kills.publisher, "staged": kills.staged, "stopped": kills.stopped,
    "lossy": network.lossy, "partitions": network.partitions, "together": network.together,
    "flipped": network.flipped, "disk": disks.disk, "full": disks.full,
    "harmful": versions.harmful, "refused": versions.refused, "upgrade": upgrade.upgrade,
    "old": disks.old, "mixed": functools.partial(mixed, rounds=1),
}  # fmt: skip
NON_FAULT_COUNTS = {"calls harmed", "calls refused or late"}  # counted in `injected`, but not faults
# Cases that need a fleet of their own: its settings of `transforms.fleet` and of `cluster`.
OWN_FLEET_SETTINGS: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "harmful": ({"canary_s": versions.CANARY_S}, {}),
    "old": ({}, {"reap_after_s": disks.REAP_AFTER_S}),
}


def parse_cases(text: str) -> list[str]:
    """Parse the cases of an argument, in the order given. Raises argparse.ArgumentTypeError."""
    names = list(FAULTS) if text == "all" else text.split(",")
    if unknown := [name for name in names if name not in FAULTS]:
        raise argparse.ArgumentTypeError(f"{unknown[0]!r} is none of {', '.join(FAULTS)}")
    return names


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run the cases; returns what was injected, answered, violated and lost, and each case's duration in
    seconds. `--rounds` applies to `mixed`."""
    FAULTS["mixed"] = functools.partial(mixed, rounds=arguments.rounds)
    rng = random.Random(arguments.seed)
    injected, answers, refusals = Counter[str](), Counter[str](), Counter[str]()
    durations_s: dict[str, float] = {}
    violations: list[str] = []
    lost_orders: list[str] = []
    remaining = list(arguments.faults)
    while remaining:
        first = remaining[0]
        batch = (
            [first]
            if first in OWN_FLEET_SETTINGS
            else [name for name in remaining if name not in OWN_FLEET_SETTINGS]
        )
        head_checker = HeadChecker()
        fleet_folder = folder / f"fleet-{len(durations_s)}"
        fleet_folder.mkdir()
        settings, cluster = OWN_FLEET_SETTINGS.get(first, ({}, {}))
        new_fleet = TransformsFleet(
            arguments.gateways, fleet_folder, SETTINGS | settings, head_checker.make_protocol, cluster
        )
        async with new_fleet as fleet:
            harness = await FaultHarness(fleet, head_checker, rng).publish_first()
            for name in batch:
                remaining.remove(name)
                started_s = time.monotonic()
                failure = await run_case(name, harness)
                durations_s[name] = round(time.monotonic() - started_s, 1)
                outcome = (
                    failure
                    or f"{len(harness.violations)} violations, {len(harness.lost_orders)} lost orders so far"
                )
                print(f"{name}: {durations_s[name]} s, {outcome}", file=sys.stderr, flush=True)
                if failure:
                    break  # the remaining cases get a new fleet
            injected, answers = injected + harness.injected, answers + harness.order_outcomes
            refusals += harness.refusals
            violations += harness.violations
            lost_orders += harness.lost_orders
    faults = {kind: count for kind, count in sorted(injected.items()) if kind not in NON_FAULT_COUNTS}
    return {
        "gateways": arguments.gateways, "seed": arguments.seed,
        "faults": sum(faults.values()), "injected": faults,
        "orders": dict(answers), "refusals": dict(refusals),
        "calls_harmed": injected["calls harmed"],
        "calls_refused_or_late": injected["calls refused or late"],
        "acknowledged": answers["acknowledged"], "acknowledged_lost": len(lost_orders), "lost": lost_orders,
        "broken": len(violations), "reasons": violations, "seconds": durations_s,
    }  # fmt: skip


async def run_case(name: str, harness: FaultHarness) -> str:
    """Run a case; returns why it did not finish (also recorded as a violation), or ""."""
    try:
        await FAULTS[name](harness)
    except (TimeoutError, RuntimeError, OSError) as error:
        reason = f"{name}: {type(error).__name__}: {error}"
        harness.violations.append(reason)
        return reason
    return ""
