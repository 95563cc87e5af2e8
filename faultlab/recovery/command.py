"""python -m faultlab recovery --processes 3 --rounds 50"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

from faultlab.recovery.damage import damaged_starts
from faultlab.recovery.files import Figures
from faultlab.recovery.gateways import stopped, two_on_one, unmakeable
from faultlab.recovery.starts import check_costs, start_costs, warm_and_cold
from faultlab.recovery.writers import full_disk, kills
from faultlab.report import Parts, positive, report


async def run(processes: int, rounds: int, seed: int, folder: Path) -> Figures:
    figures: Figures = {"processes": processes, "rounds": rounds, "seed": seed}
    figures |= await kills(folder, rounds, processes, seed)
    figures |= await damaged_starts(folder, max(1, rounds // 10), seed)
    figures |= await full_disk(folder)
    figures |= await unmakeable(folder)
    figures |= check_costs(folder, max(5, rounds))
    figures |= await two_on_one(folder)
    figures |= await start_costs(folder, max(3, rounds // 10))
    figures |= await stopped(folder, max(3, rounds // 5), seed)
    figures |= await warm_and_cold(folder, processes, max(1, rounds // 25))
    return figures


def register(parts: Parts) -> None:
    """Add `recovery` and its arguments to the lab's commands."""
    lab = parts.add_parser("recovery", help="kills, power loss, damaged files, full disk, warm/cold starts")
    lab.add_argument("--processes", type=positive, default=3, help="processes side by side (default 3)")
    lab.add_argument("--rounds", type=positive, default=50, help="kills; a tenth as many damaged starts")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        figures = run(arguments.processes, arguments.rounds, arguments.seed, Path(folder))
        report(asyncio.run(figures), arguments.json)
    return 0
