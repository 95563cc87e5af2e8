"""Helpers of the experiments' commands: argument types, and printing figures as a table or as JSON."""

from __future__ import annotations

import argparse
import json
from typing import Any, TypeAlias

Subcommands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def positive_int(text: str) -> int:
    """Parse an argument that is a whole number of at least 1. Raises ArgumentTypeError."""
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number of at least 1")
    return int(text)


def report(figures: dict[str, Any], as_json: bool) -> None:
    """Print figures on standard output, as a table or as one JSON object."""
    print(json.dumps(figures) if as_json else format_table(figures))


def format_table(figures: dict[str, Any]) -> str:
    """Format figures as lines of `name  value`, nested ones as `name.key  value`."""
    rows: list[tuple[str, str]] = []
    for name, value in figures.items():
        if isinstance(value, dict):
            for key, inner in value.items():
                text = json.dumps(inner) if isinstance(inner, dict) else _format(inner)
                rows.append((f"{name}.{key}", text))
        else:
            rows.append((name, _format(value)))
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in rows)


def _format(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
