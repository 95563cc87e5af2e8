"""`python -m faultlab routes`: the figures of routes that many teams edit, in one run.

Real gateways behind the relay first, then what one process costs, the simulated fleet and the baseline.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path
from typing import Any

from faultlab.report import Subcommands, positive_int, report
from faultlab.routes import baseline, costs, faults, latency, simulated, propagation
from faultlab.routes.fleet import RoutesFleet

PARTS = ("spread", "faults", "loaded", "costs", "simulated", "baseline")
SMALL_FLEET = 10  # gateways of the smaller fleet that is measured beside
LOOKUP_ROUTE_COUNTS = (10, 1_000, 10_000)
BASELINE_TRIALS = 200
SIMULATED_MEMBERS = 500


def register(parts: Subcommands) -> None:
    """Add `routes` and its arguments to the lab's commands."""
    lab = parts.add_parser("routes", help="what teams edit at many gateways, merged: figures, faults, costs")
    lab.add_argument("--gateways", type=positive_int, default=30, help="of the larger fleet (default 30)")
    lab.add_argument("--teams", type=positive_int, default=10)
    lab.add_argument("--rounds", type=positive_int, default=20, help="edits, and a fraction of it of heals")
    lab.add_argument("--faults", type=positive_int, default=1_000, help="injected into the fleet of faults")
    lab.add_argument("--histories", type=positive_int, default=200, help="that the faults are dealt out to")
    lab.add_argument("--fault-gateways", type=positive_int, default=5)
    lab.add_argument("--routes", type=positive_int, default=10_000)
    lab.add_argument(
        "--simulated", type=positive_int, default=SIMULATED_MEMBERS, help="members of the simulated fleet"
    )
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--part", choices=PARTS, action="append", help="this part (or these) alone")
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """0, or 1 where an acknowledged edit was lost."""
    figures = asyncio.run(run_parts(arguments))
    report(figures, arguments.json)
    return 1 if figures.get("faults", {}).get("lost") else 0


async def run_parts(arguments: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {"teams": arguments.teams, "rounds": arguments.rounds}
    parts = arguments.part or PARTS
    if "spread" in parts:
        for count in sorted({min(SMALL_FLEET, arguments.gateways), arguments.gateways}):
            with temporary_folder() as place:
                async with RoutesFleet(count, Path(place)) as fleet:
                    found[f"gateways_{count}"] = {
                        "acknowledged_to_all_s": await propagation.measure_single_edits(
                            fleet, arguments.teams, arguments.rounds
                        ),
                        "teams_at_once_s": await propagation.measure_concurrent_edits(
                            fleet, arguments.teams, max(1, arguments.rounds // 4)
                        ),
                        "heal_to_agreement_s": await propagation.measure_heals(
                            fleet, arguments.teams, max(1, arguments.rounds // 5)
                        ),
                    }
    if "faults" in parts:
        with temporary_folder() as place:
            async with RoutesFleet(arguments.fault_gateways, Path(place)) as fleet:
                found["faults"] = await faults.run(
                    fleet, arguments.teams, arguments.faults, arguments.histories, arguments.seed
                )
    if "loaded" in parts:
        with temporary_folder() as place:
            found["loaded"] = await latency.run(Path(place), arguments.routes, max(3, arguments.rounds // 2))
    if "costs" in parts:
        found["costs"] = costs.run(arguments.routes, arguments.rounds, arguments.seed)
        found["lookup_us"] = costs.measure_lookups(LOOKUP_ROUTE_COUNTS, arguments.seed)
    if "simulated" in parts:
        found["simulated"] = simulated.run(arguments.simulated, arguments.rounds, arguments.seed)
    if "baseline" in parts:
        found["concurrent"] = baseline.run(arguments.teams, BASELINE_TRIALS, arguments.seed)
    return found


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="faultlab-")
