"""`python -m faultlab transforms --part PART`: what header transforms cost; `--faults NAME,...`: how they
behave under faults. Each part's module has a function `run`. Exit code 1: an invariant was broken or an
acknowledged order was lost."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

from faultlab.report import Subcommands, positive_int, report
from faultlab.transforms import activation, engine, faults

PARTS = {"activation": activation.run, "engine": engine.run}


def register(parts: Subcommands) -> None:
    """Add `transforms` and its arguments to the lab's commands."""
    lab = parts.add_parser(
        "transforms", help="what header transforms cost, and how fast a fleet activates them"
    )
    lab.add_argument("--part", choices=sorted(PARTS), default="engine")
    lab.add_argument(
        "--rounds", type=positive_int, default=20, help="slices of each process, or publications (default 20)"
    )
    lab.add_argument(
        "--gateways", type=positive_int, default=10, help="gateways of the activation part (default 10)"
    )
    lab.add_argument(
        "--starts",
        type=positive_int,
        default=4,
        help="processes started of each variant, in sequence (default 4)",
    )
    lab.add_argument("--slice-ms", type=positive_int, default=250, help="length of a slice (default 250)")
    lab.add_argument("--connections", type=positive_int, default=2, help="concurrent connections (default 2)")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument(
        "--before",
        type=Path,
        metavar="DIR",
        help="a checkout of the program without transforms, as a further variant",
    )
    lab.add_argument(
        "--faults",
        metavar="NAME,...",
        type=faults.parse_cases,
        help=f"run fault cases instead of a part: {', '.join(faults.FAULTS)}, or all",
    )
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the chosen part or fault cases and print the figures; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        if arguments.faults:
            figures = asyncio.run(faults.run(arguments, Path(folder)))
            report(figures, arguments.json)
            return 1 if figures["broken"] or figures["acknowledged_lost"] else 0
        part = PARTS[arguments.part](arguments, Path(folder))
        report(asyncio.run(part), arguments.json)
    return 0
