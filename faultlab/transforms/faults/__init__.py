"""`--faults NAME,...`: hard cases played on real gateways behind the relay, each judged by the invariants of
docs/activation.md. A case is a function of a `Field`; those of one fleet follow one another on it."""

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
NON_FAULT_COUNTS = {"calls harmed", "calls refused or late"}  # counted beside them
# Cases with a fleet of their own: settings of `transforms.fleet` and of `cluster`.
OWN_FLEET_SETTINGS: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "harmful": ({"canary_s": versions.CANARY_S}, {}),
    "old": ({}, {"reap_after_s": disks.REAP_AFTER_S}),
}


def parse_cases(text: str) -> list[str]:
    """The cases of an argument, in the order given. Raises argparse.ArgumentTypeError."""
    names = list(FAULTS) if text == "all" else text.split(",")
    if unknown := [name for name in names if name not in FAULTS]:
        raise argparse.ArgumentTypeError(f"{unknown[0]!r} is none of {', '.join(FAULTS)}")
    return names


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """What was injected, answered, broken and lost, and how long each case took, in seconds. `--rounds` is
    that of `mixed`."""
    FAULTS["mixed"] = functools.partial(mixed, rounds=arguments.rounds)
    rng = random.Random(arguments.seed)
    injected, answers, refusals = Counter[str](), Counter[str](), Counter[str]()
    took: dict[str, float] = {}
    broken: list[str] = []
    lost: list[str] = []
    left = list(arguments.faults)
    while left:
        first = left[0]
        together = (
            [first]
            if first in OWN_FLEET_SETTINGS
            else [name for name in left if name not in OWN_FLEET_SETTINGS]
        )
        heads = HeadChecker()
        place = folder / f"fleet-{len(took)}"
        place.mkdir()
        settings, cluster = OWN_FLEET_SETTINGS.get(first, ({}, {}))
        made = TransformsFleet(arguments.gateways, place, SETTINGS | settings, heads.make_protocol, cluster)
        async with made as fleet:
            field = await FaultHarness(fleet, heads, rng).publish_first()
            for name in together:
                left.remove(name)
                began = time.monotonic()
                fault = await run_case(name, field)
                took[name] = round(time.monotonic() - began, 1)
                end = (
                    fault
                    or f"{len(field.violations)} broken, {len(field.lost_orders)} lost so far on this fleet"
                )
                print(f"{name}: {took[name]} s, {end}", file=sys.stderr, flush=True)
                if fault:
                    break  # the next ones get a fleet that is whole
            injected, answers = injected + field.injected, answers + field.order_outcomes
            refusals += field.refusals
            broken += field.violations
            lost += field.lost_orders
    faults = {kind: count for kind, count in sorted(injected.items()) if kind not in NON_FAULT_COUNTS}
    return {
        "gateways": arguments.gateways, "seed": arguments.seed,
        "faults": sum(faults.values()), "injected": faults,
        "orders": dict(answers), "refusals": dict(refusals),
        "calls_harmed": injected["calls harmed"],
        "calls_refused_or_late": injected["calls refused or late"],
        "acknowledged": answers["acknowledged"], "acknowledged_lost": len(lost), "lost": lost,
        "broken": len(broken), "reasons": broken, "seconds": took,
    }  # fmt: skip


async def run_case(name: str, field: FaultHarness) -> str:
    """Play a case; where it did not come to its end, why, which is kept as broken too."""
    try:
        await FAULTS[name](field)
    except (TimeoutError, RuntimeError, OSError) as error:
        why = f"{name}: {type(error).__name__}: {error}"
        field.violations.append(why)
        return why
    return ""
