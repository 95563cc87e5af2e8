"""python -m faultlab recovery [--processes N] [--rounds N] [--seed N] [--json]

python -m faultlab membership [--members N] [--rounds N] [--sizes N,N,...] [--kills N] [--soak-hours H]
                              [--seed N] [--json]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

from faultlab import recovery


def table(figures: dict[str, Any]) -> str:
    """Figures as `name  value` lines; nested figures as `name.key  value`."""
    rows: list[tuple[str, str]] = []
    for name, value in figures.items():
        if isinstance(value, dict):
            for key, inner in value.items():
                shown = json.dumps(inner) if isinstance(inner, dict) else _shown(inner)
                rows.append((f"{name}.{key}", shown))
        else:
            rows.append((name, _shown(value)))
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in rows)


def _shown(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _recovery(arguments: argparse.Namespace) -> dict[str, Any]:
    if arguments.processes < 1 or arguments.rounds < 1:
        raise ValueError("--processes and --rounds must be at least 1")
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        run = recovery.run(arguments.processes, arguments.rounds, arguments.seed, Path(folder))
        return asyncio.run(run)


def _membership(arguments: argparse.Namespace) -> dict[str, Any]:
    from faultlab import membership

    sizes = [int(size) for size in arguments.sizes.split(",")]
    if min(arguments.members, *sizes) < 2 or min(arguments.rounds, arguments.kills, arguments.soak_hours) < 0:
        raise ValueError("--members and --sizes must be at least 2, counts and hours at least 0")
    return asyncio.run(
        membership.run(
            sizes, arguments.kills, arguments.members, arguments.rounds, arguments.soak_hours, arguments.seed
        )
    )


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m faultlab", description="Faults injected into gateways.")
    parts = parser.add_subparsers(dest="experiment", required=True)
    lab = parts.add_parser("recovery", help="kills, power loss, damaged files, full disk, warm/cold starts")
    lab.add_argument("--processes", type=int, default=3, help="processes side by side (default 3)")
    lab.add_argument("--rounds", type=int, default=50, help="kills in all; a tenth as many damaged starts")
    lab.set_defaults(run=_recovery)
    lab = parts.add_parser("membership", help="kills, load at rest, partitions, a soak under loss and stops")
    lab.add_argument("--members", type=int, default=20, help="in partitions and in the soak (default 20)")
    lab.add_argument("--rounds", type=int, default=10, help="partitions (default 10; 0: none)")
    lab.add_argument("--sizes", default="5,20,50", help="of the fleets that lose members (default 5,20,50)")
    lab.add_argument("--kills", type=int, default=20, help="at each size (default 20; 0: none)")
    lab.add_argument("--soak-hours", type=float, default=0.2, help="member-hours (default 0.2; 0: none)")
    lab.set_defaults(run=_membership)
    for lab in parts.choices.values():
        lab.add_argument("--seed", type=int, default=1)
        lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    arguments = parser.parse_args(argv)
    try:
        figures = arguments.run(arguments)
    except ValueError as error:
        parser.error(str(error))
    print(json.dumps(figures) if arguments.json else table(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
