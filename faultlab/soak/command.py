"""python -m faultlab soak --seeds 1-3 --minutes 1"""

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

EVENTS_BEFORE_S = (
    10.0  # events that are printed with a broken rule: a drain may count as known only 6 s later
)
EVENTS_AFTER_S = 1.5
MAX_PRINTED = 10  # broken rules of a seed that are printed


def parse_seeds(text: str) -> range:
    """`7`, or `3-9` with both ends. Raises ArgumentTypeError for anything else."""
    first, _, last = text.partition("-")
    try:
        found = range(int(first), int(last or first) + 1)
    except ValueError:
        found = range(0)
    if not found:
        raise argparse.ArgumentTypeError(f"not a seed or a range of seeds A-B: {text!r}")
    return found


def parse_minutes(text: str) -> float:
    """Raises ArgumentTypeError for what is no time from 0.1 to 60 minutes."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.1 <= value <= 60.0:
        raise argparse.ArgumentTypeError(f"not a number of minutes from 0.1 to 60: {text!r}")
    return value


async def run_seed(seed: int, duration_s: float) -> Result:
    """One seed, in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        async with SoakSite(draw_settings(seed, duration_s), Path(folder)) as site:
            return await site.run()


def print_result(result: Result, length: float) -> None:
    """One line for the seed; each broken rule with the events around it and the command that replays it."""
    counts = result.counts
    print(
        f"seed {result.seed}: {counts['requests']} requests, {counts['served']} served, "
        f"{counts['refused']} refused, {counts['kills']} kills, {counts['signals']} signals, longest stop "
        f"{result.longest_stop_s:.2f} s, memory {result.memory_kb} kB, descriptors {result.descriptors}, "
        f"{len(result.violations)} broken",
        flush=True,
    )
    for broken in result.violations[:MAX_PRINTED]:
        print_violation(result, broken)
    if result.violations:
        print(f"  replay: python -m faultlab soak --seeds {result.seed} --minutes {length:g}")


def print_violation(result: Result, broken: Violation) -> None:
    print(f"  {broken.rule} at {broken.at_s - result.began_s:.2f} s: {broken.detail}")
    for at_s, text in result.events:
        if broken.at_s - EVENTS_BEFORE_S <= at_s <= broken.at_s + EVENTS_AFTER_S:
            print(f"    {at_s - result.began_s:7.2f} s  {text}")


def total_figures(results: list[Result]) -> dict[str, Any]:
    """The last line of `--json`."""
    counts: Counter[str] = Counter()
    rules: Counter[str] = Counter()
    for result in results:
        counts += result.counts
        rules += Counter(broken.rule for broken in result.violations)
    return {
        "seeds": len(results), "requests": counts["requests"], "kills": counts["kills"],
        "signals": counts["signals"], "broken": sum(rules.values()), "rules": dict(rules),
        "served": counts["served"], "refused": counts["refused"],
        "longest_stop_s": max(result.longest_stop_s for result in results),
        "memory_kb": [max(result.memory_kb[end] for result in results) for end in (0, 1)],
        "descriptors": [max(result.descriptors[end] for result in results) for end in (0, 1)],
    }  # fmt: skip


def run(arguments: argparse.Namespace) -> int:
    """Play the seeds one after the other; 1 where a rule was broken."""
    results = []
    for seed in arguments.seeds:
        result = asyncio.run(run_seed(seed, arguments.minutes * 60.0))
        print_result(result, arguments.minutes)
        results.append(result)
    figures = total_figures(results)
    print(json.dumps(figures) if arguments.json else " ".join(f"{k}={v}" for k, v in figures.items()))
    return 1 if figures["broken"] else 0


def register(parts: Any) -> None:
    """Add `soak` to the lab's commands."""
    parser = parts.add_parser("soak", help="seeded faults on real processes, judged by the platform's rules")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1"), metavar="A-B|N")
    parser.add_argument("--minutes", type=parse_minutes, default=1.0, metavar="M", help="for each seed")
    parser.add_argument("--json", action="store_true", help="the last line is one JSON object")
    parser.set_defaults(run=run)
