"""`python -m cloverkeel transforms check FILE`: compile a transform and run its golden cases, offline.
`activation.command` has the verbs that ask a gateway."""

from __future__ import annotations

import argparse
import sys
from typing import Any


def register(parts: Any) -> None:
    """Add `transforms` to the command line; each verb sets `run`, from the arguments to the exit code."""
    top = parts.add_parser("transforms", help="header transforms")
    verbs = top.add_subparsers(dest="verb", required=True)
    verb = verbs.add_parser("check", help="compile FILE and run its cases, offline: exit 0 if sound, else 1")
    verb.add_argument("file", metavar="FILE", help="a transform's source")
    verb.set_defaults(run=check)
    from cloverkeel.transforms.activation import command  # the fleet's verbs, over a gateway

    command.register(verbs)


def check(arguments: argparse.Namespace) -> int:
    """0: sound; 1: faults or failed cases, one a line; 2: the file cannot be read."""
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
    print(f"{path}: sound: {manifest.name}, phase {manifest.phase}, {len(compiled.cases)} cases hold, "
          f"sha256 {compiled.sha256}")  # fmt: skip
    return 0
