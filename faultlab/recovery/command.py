"""The command of the recovery experiments: python -m faultlab recovery --processes 3 --rounds 50"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

from faultlab.recovery.damage import damaged_starts
from faultlab.recovery.files import Figures
from faultlab.recovery.gateways import stop_while_writing, two_gateways_one_directory, uncreatable_directory
from faultlab.recovery.starts import check_costs, compare_starts, start_costs
from faultlab.recovery.writers import full_disk, kill_writers
from faultlab.report import Subcommands, positive_int, report


async def run(processes: int, rounds: int, seed: int, folder: Path) -> Figures:
    """Run all experiments one after another; `folder` holds their files."""
    figures: Figures = {"processes": processes, "rounds": rounds, "seed": seed}
    figures |= await kill_writers(folder, rounds, processes, seed)
    figures |= await damaged_starts(folder, max(1, rounds // 10), seed)
    figures |= await full_disk(folder)
    figures |= await uncreatable_directory(folder)
    figures |= check_costs(folder, max(5, rounds))
    figures |= await two_gateways_one_directory(folder)
    figures |= await start_costs(folder, max(3, rounds // 10))
    figures |= await stop_while_writing(folder, max(3, rounds // 5), seed)
    figures |= await compare_starts(folder, processes, max(1, rounds // 25))
    return figures


def register(subcommands: Subcommands) -> None:
    """Add the subcommand `recovery` and its arguments."""
    parser = subcommands.add_parser(
        "recovery", help="kills, power loss, damaged files, full disk, warm/cold starts"
    )
    parser.add_argument(
        "--processes", type=positive_int, default=3, help="processes at the same time (default 3)"
    )
    parser.add_argument(
        "--rounds",
        type=positive_int,
        default=50,
        help="number of kills; a tenth as many starts on damaged files (default 50)",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    parser.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the experiments in a temporary folder and print their figures."""
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        figures = run(arguments.processes, arguments.rounds, arguments.seed, Path(folder))
        report(asyncio.run(figures), arguments.json)
    return 0
