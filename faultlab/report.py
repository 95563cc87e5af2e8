"""What the experiments' commands share: their place among the lab's commands, checks of arguments, and how
figures are printed, a table for people or one JSON object for machines."""

from __future__ import annotations

import argparse
import json
from typing import Any, TypeAlias

Subcommands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def positive_int(text: str) -> int:
    """An argument that is a whole number of at least 1."""
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number of at least 1")
    return int(text)


def report(figures: dict[str, Any], as_json: bool) -> None:
    """Print `figures` on standard output."""
    print(json.dumps(figures) if as_json else format_table(figures))


def format_table(figures: dict[str, Any]) -> str:
    """Figures as `name  value` lines; nested figures as `name.key  value`."""
    rows: list[tuple[str, str]] = []
    for name, value in figures.items():
        if isinstance(value, dict):
            for key, inner in value.items():
                shown = json.dumps(inner) if isinstance(inner, dict) else _format(inner)
                rows.append((f"{name}.{key}", shown))
        else:
            rows.append((name, _format(value)))
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in rows)


def _format(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
