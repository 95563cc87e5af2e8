"""`python -m faultlab routes`: measures routes that many teams edit, in one run.

It measures real gateways behind the relay, the costs in one process, a simulated fleet and the baseline.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path
from typing import Any

from faultlab.report import Subcommands, positive_int, report
from faultlab.routes import baseline, costs, faults, latency, propagation, simulated
from faultlab.routes.fleet import RoutesFleet

PARTS = ("spread", "faults", "loaded", "costs", "simulated", "baseline")
SMALL_FLEET = 10  # gateways of the smaller fleet, measured for comparison
LOOKUP_ROUTE_COUNTS = (10, 1_000, 10_000)
BASELINE_TRIALS = 200
SIMULATED_MEMBERS = 500


def register(parts: Subcommands) -> None:
    """Add `routes` and its arguments to the lab's commands."""
    lab = parts.add_parser(
        "routes", help="merging of routes edited by many teams: propagation, faults, costs"
    )
    lab.add_argument(
        "--gateways", type=positive_int, default=30, help="gateways of the larger fleet (default 30)"
    )
    lab.add_argument("--teams", type=positive_int, default=10)
    lab.add_argument(
        "--rounds", type=positive_int, default=20, help="number of edits; heals are a fraction of it"
    )
    lab.add_argument("--faults", type=positive_int, default=1_000, help="number of faults to inject")
    lab.add_argument(
        "--histories", type=positive_int, default=200, help="number of histories that share the faults"
    )
    lab.add_argument("--fault-gateways", type=positive_int, default=5)
    lab.add_argument("--routes", type=positive_int, default=10_000)
    lab.add_argument(
        "--simulated", type=positive_int, default=SIMULATED_MEMBERS, help="members of the simulated fleet"
    )
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--part", choices=PARTS, action="append", help="run only this part; may be repeated")
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the parts and print the figures; returns 1 if an acknowledged edit was lost, else 0."""
    figures = asyncio.run(run_parts(arguments))
    report(figures, arguments.json)
    return 1 if figures.get("faults", {}).get("lost") else 0


async def run_parts(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run the chosen parts; returns their figures."""
    figures: dict[str, Any] = {"teams": arguments.teams, "rounds": arguments.rounds}
    parts = arguments.part or PARTS
    if "spread" in parts:
        for count in sorted({min(SMALL_FLEET, arguments.gateways), arguments.gateways}):
            with temporary_folder() as folder:
                async with RoutesFleet(count, Path(folder)) as fleet:
                    figures[f"gateways_{count}"] = {
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
        with temporary_folder() as folder:
            async with RoutesFleet(arguments.fault_gateways, Path(folder)) as fleet:
                figures["faults"] = await faults.run(
                    fleet, arguments.teams, arguments.faults, arguments.histories, arguments.seed
                )
    if "loaded" in parts:
        with temporary_folder() as folder:
            figures["loaded"] = await latency.run(
                Path(folder), arguments.routes, max(3, arguments.rounds // 2)
            )
    if "costs" in parts:
        figures["costs"] = costs.run(arguments.routes, arguments.rounds, arguments.seed)
        figures["lookup_us"] = costs.measure_lookups(LOOKUP_ROUTE_COUNTS, arguments.seed)
    if "simulated" in parts:
        figures["simulated"] = simulated.run(arguments.simulated, arguments.rounds, arguments.seed)
    if "baseline" in parts:
        figures["concurrent"] = baseline.run(arguments.teams, BASELINE_TRIALS, arguments.seed)
    return figures


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """A temporary directory of the lab."""
    return tempfile.TemporaryDirectory(prefix="faultlab-")
