"""`python -m cloverkeel transforms check FILE`: compiles a transform and runs its golden cases, offline.
The subcommands that call a gateway are in `activation.command`."""

from __future__ import annotations

import argparse
import sys
from typing import Any


def register(subparsers: Any) -> None:
    """Adds `transforms` to the command line. Each subcommand sets `run`, which takes the arguments and
    returns the exit code."""
    transforms = subparsers.add_parser("transforms", help="header transforms")
    subcommands = transforms.add_subparsers(dest="verb", required=True)
    subcommand = subcommands.add_parser(
        "check", help="compile FILE and run its cases, offline: exit 0 if valid, else 1"
    )
    subcommand.add_argument("file", metavar="FILE", help="a transform's source")
    subcommand.set_defaults(run=check)
    from cloverkeel.transforms.activation import command  # subcommands that call a gateway

    command.register(subcommands)


def check(arguments: argparse.Namespace) -> int:
    """Checks one file. Exit codes: 0, it is valid; 1, faults or failed cases were printed, one per line;
    2, the file cannot be read."""
    from cloverkeel.transforms.compiler import compile, failed_cases
    from cloverkeel.transforms.source import SourceError, parse

    path = arguments.file
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return 2
    try:
        compiled = compile(parse(data))
        faults = failed_cases(compiled)
    except SourceError as error:
        faults = error.faults
    for fault in faults:
        print(f"{path}:{fault}")
    if faults:
        return 1
    manifest = compiled.manifest
    print(f"{path}: valid: {manifest.name}, phase {manifest.phase}, {len(compiled.cases)} cases pass, "
          f"sha256 {compiled.sha256}")  # fmt: skip
    return 0
