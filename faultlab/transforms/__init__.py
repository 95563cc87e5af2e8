"""`python -m faultlab transforms --part PART`: what header transforms cost; `--faults NAME,...`: what they
stand. Each part's module has `run`. Exit code 1: an invariant is broken, or an acknowledged order lost."""

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
    lab = parts.add_parser("transforms", help="what header transforms cost, and how fast a fleet takes them")
    lab.add_argument("--part", choices=sorted(PARTS), default="engine")
    lab.add_argument(
        "--rounds", type=positive_int, default=20, help="slices of each process, or publications (default 20)"
    )
    lab.add_argument("--gateways", type=positive_int, default=10, help="of the activation part (default 10)")
    lab.add_argument(
        "--starts", type=positive_int, default=4, help="processes of each variant in turn (default 4)"
    )
    lab.add_argument("--slice-ms", type=positive_int, default=250, help="a slice's length (default 250)")
    lab.add_argument("--connections", type=positive_int, default=2, help="requests at once (default 2)")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument(
        "--before", type=Path, metavar="DIR", help="a checkout from before the feature, as a variant"
    )
    lab.add_argument(
        "--faults",
        metavar="NAME,...",
        type=faults.parse_cases,
        help=f"hard cases in place of a part: {', '.join(faults.FAULTS)}, or all",
    )
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        if arguments.faults:
            found = asyncio.run(faults.run(arguments, Path(folder)))
            report(found, arguments.json)
            return 1 if found["broken"] or found["acknowledged_lost"] else 0
        figures = PARTS[arguments.part](arguments, Path(folder))
        report(asyncio.run(figures), arguments.json)
    return 0
