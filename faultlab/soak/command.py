"""The command of the soak: python -m faultlab soak --seeds 1-3 --minutes 1"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from faultlab.soak.records import Violation
from faultlab.soak.settings import draw_settings
from faultlab.soak.site import Result, SoakSite

# A violation is printed with the events from EVENTS_BEFORE_S before it (a drain may count as known only 6 s
# after it began) to EVENTS_AFTER_S after it.
EVENTS_BEFORE_S = 10.0
EVENTS_AFTER_S = 1.5
MAX_PRINTED = 10  # violations of a seed that are printed


def parse_seeds(text: str) -> range:
    """Parse one seed, `7`, or a range that includes both ends, `3-9`. Raises ArgumentTypeError."""
    first, _, last = text.partition("-")
    try:
        found = range(int(first), int(last or first) + 1)
    except ValueError:
        found = range(0)
    if not found:
        raise argparse.ArgumentTypeError(f"not a seed or a range of seeds A-B: {text!r}")
    return found


def parse_minutes(text: str) -> float:
    """Parse a number of minutes from 0.1 to 60. Raises ArgumentTypeError."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.1 <= value <= 60.0:
        raise argparse.ArgumentTypeError(f"not a number of minutes from 0.1 to 60: {text!r}")
    return value


async def run_seed(seed: int, duration_s: float) -> Result:
    """Run one seed in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        async with SoakSite(draw_settings(seed, duration_s), Path(folder)) as site:
            return await site.run()


def print_result(result: Result, minutes: float) -> None:
    """Print one line for the seed, then its first violations, each with the events around it.

    After violations the command that replays the seed is printed too.
    """
    counts = result.counts
    print(
        f"seed {result.seed}: {counts['requests']} requests, {counts['served']} served, "
        f"{counts['refused']} refused, {counts['kills']} kills, {counts['signals']} signals, longest stop "
        f"{result.longest_stop_s:.2f} s, memory {result.memory_kb} kB, descriptors {result.descriptors}, "
        f"{len(result.violations)} broken",
        flush=True,
    )
    for violation in result.violations[:MAX_PRINTED]:
        print_violation(result, violation)
    if result.violations:
        print(f"  replay: python -m faultlab soak --seeds {result.seed} --minutes {minutes:g}")


def print_violation(result: Result, violation: Violation) -> None:
    """Print one violation and the events around it."""
    print(f"  {violation.rule} at {violation.at_s - result.began_s:.2f} s: {violation.detail}")
    for at_s, text in result.events:
        if violation.at_s - EVENTS_BEFORE_S <= at_s <= violation.at_s + EVENTS_AFTER_S:
            print(f"    {at_s - result.began_s:7.2f} s  {text}")


def total_figures(results: list[Result]) -> dict[str, Any]:
    """The figures over all seeds, which the last line of the output has."""
    counts: Counter[str] = Counter()
    rules: Counter[str] = Counter()
    for result in results:
        counts += result.counts
        rules += Counter(violation.rule for violation in result.violations)
    return {
        "seeds": len(results), "requests": counts["requests"], "kills": counts["kills"],
        "signals": counts["signals"], "broken": sum(rules.values()), "rules": dict(rules),
        "served": counts["served"], "refused": counts["refused"],
        "longest_stop_s": max(result.longest_stop_s for result in results),
        "memory_kb": [max(result.memory_kb[end] for result in results) for end in (0, 1)],
        "descriptors": [max(result.descriptors[end] for result in results) for end in (0, 1)],
    }  # fmt: skip


def run(arguments: argparse.Namespace) -> int:
    """Run the seeds one after the other; returns exit code 1 if a rule was broken."""
    results = []
    for seed in arguments.seeds:
        result = asyncio.run(run_seed(seed, arguments.minutes * 60.0))
        print_result(result, arguments.minutes)
        results.append(result)
    figures = total_figures(results)
    print(json.dumps(figures) if arguments.json else " ".join(f"{k}={v}" for k, v in figures.items()))
    return 1 if figures["broken"] else 0


def register(subcommands: Any) -> None:
    """Add the subcommand `soak` and its arguments."""
    parser = subcommands.add_parser(
        "soak", help="seeded faults on real processes, judged by the platform's rules"
    )
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1"), metavar="A-B|N")
    parser.add_argument(
        "--minutes", type=parse_minutes, default=1.0, metavar="M", help="duration of each seed (default 1)"
    )
    parser.add_argument("--json", action="store_true", help="the last line is one JSON object")
    parser.set_defaults(run=run)
