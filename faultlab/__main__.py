"""python -m faultlab recovery [--processes N] [--rounds N] [--seed N] [--json]"""

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


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m faultlab", description="Faults injected into gateways.")
    parts = parser.add_subparsers(dest="experiment", required=True)
    lab = parts.add_parser("recovery", help="kills, power loss, damaged files, full disk, warm/cold starts")
    lab.add_argument("--processes", type=int, default=3, help="processes side by side (default 3)")
    lab.add_argument("--rounds", type=int, default=50, help="kills in all; a tenth as many damaged starts")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    arguments = parser.parse_args(argv)
    if arguments.processes < 1 or arguments.rounds < 1:
        parser.error("--processes and --rounds must be at least 1")
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        run = recovery.run(arguments.processes, arguments.rounds, arguments.seed, Path(folder))
        figures = asyncio.run(run)
    print(json.dumps(figures) if arguments.json else table(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
