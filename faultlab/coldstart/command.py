"""The command `python -m faultlab coldstart`: its options and the tables of its figures."""

from __future__ import annotations

import argparse
import compileall
import json
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

from faultlab.coldstart import drains, experiment
from faultlab.coldstart.faults import FAULTS
from faultlab.coldstart.settings import Plan
from faultlab.gateway_process import ROOT
from faultlab.report import Subcommands, positive_int

COMPILED_PACKAGES = ("caperdrift", "cloverkeel")


def name_list(known: tuple[str, ...]) -> Callable[[str], list[str]]:
    """An argument type: a comma-separated list of names among `known`, or `all`."""

    def parse(text: str) -> list[str]:
        names = list(known) if text == "all" else text.split(",")
        for name in names:
            if name not in known:
                raise argparse.ArgumentTypeError(f"{name!r} is not among {', '.join(known)}")
        return names

    return parse


def parse_sizes(text: str) -> list[int]:
    """Parse a comma-separated list of whole numbers of at least 1. Raises ArgumentTypeError."""
    return [positive_int(size) for size in text.split(",")]


def register(subcommands: Subcommands) -> None:
    """Add the subcommand `coldstart` and its arguments."""
    parser = subcommands.add_parser(
        "coldstart", help="hundreds of gateways start at once, with `cluster` off and on"
    )
    parser.add_argument("--gateways", type=positive_int, default=200)
    parser.add_argument("--hosts", type=positive_int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--rate",
        type=positive_int,
        default=int(Plan.rate_per_s),
        help="requests per second over all gateways",
    )
    names = ", ".join(FAULTS)
    parser.add_argument("--faults", type=name_list(tuple(FAULTS)), default=["none"],
                     help=f"faults, run one after the other: {names}; or all")  # fmt: skip
    modes = tuple(experiment.MODES)
    parser.add_argument(
        "--modes", type=name_list(modes), default=list(modes), help="with `cluster` off, on or both: off,on"
    )
    parser.add_argument(
        "--scale", type=parse_sizes, help="sizes of the fleet instead of --gateways, as in 50,100,200"
    )
    parser.add_argument(
        "--drains", type=positive_int, help="number of drains to run, each with a fault at a relay"
    )
    parser.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    parser.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the experiment in a temporary folder and print its figures."""
    plan = Plan(arguments.gateways, arguments.hosts, arguments.seed, rate_per_s=arguments.rate)
    # Compile first, as the build does: else each of hundreds of gateways would compile changed files.
    for package in COMPILED_PACKAGES:
        compileall.compile_dir(ROOT / package, quiet=2)
    with tempfile.TemporaryDirectory(prefix="faultlab-") as place:
        folder = Path(place)
        if arguments.drains:
            figures = uvloop.run(drains.run(plan, folder, arguments.drains))
            text = format_columns({"drains": figures})
        elif arguments.scale:
            figures = uvloop.run(experiment.run_sizes(plan, folder, arguments.modes, arguments.scale))
            text = format_scale(figures, arguments.modes)
        else:
            figures = uvloop.run(experiment.run(plan, folder, arguments.modes, arguments.faults))
            text = format_plays(figures)
    print(json.dumps(figures) if arguments.json else text)
    return 0


def format_plays(figures: dict[str, Any]) -> str:
    """Format the figures as one table for each fault, with a column for each mode."""
    alone = f"{figures['alone_99_s']:.2f} s, {figures['alone_cpu_ready_ms']:.0f} ms of processor each"
    texts = [f"start by the processor alone (99 %): {alone}"]
    texts += [f"\n{fault}\n{format_columns(plays)}" for fault, plays in figures["plays"].items()]
    return "\n".join(texts)


def format_scale(figures: dict[str, Any], modes: list[str]) -> str:
    """Format the figures as one table, with a column for each mode and size."""
    return format_columns({
        f"{size} {mode}": seen["plays"]["none"][mode] | {"alone_99_s": seen["alone_99_s"]}
        for mode in modes for size, seen in figures.items()
    })  # fmt: skip


def format_columns(columns: dict[str, dict[str, Any]]) -> str:
    """Format a table with a column for each heading and a row for each name."""
    names = list(dict.fromkeys(name for column in columns.values() for name in column))
    rows = [["", *columns]]
    rows += [[name, *(_format(column.get(name, "")) for column in columns.values())] for name in names]
    widths = [max(len(row[column_number]) for row in rows) for column_number in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) if not i else cell.rjust(w)
            for i, (cell, w) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )


def _format(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)
