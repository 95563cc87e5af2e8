"""python -m faultlab storm --seed S --events N: random load and faults on the module and on whole clusters.

The module's part plays N events; clusters of membership, the ledger, activation and routes each play one
history for every EVENTS of them, invariants on. History number I has the seed S + I. Each history's and the
module's first violation is printed with the command that replays it: `--replay` plays that one run or history
again and prints what befell it.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from faultlab.report import Subcommands, positive_int, report
from faultlab.storm.cluster import activation_history, ledger_history, routes_history
from faultlab.storm.cluster.faults import draw_history
from faultlab.storm.cluster.history_result import HistoryResult
from faultlab.storm.cluster.membership_history import ClusterResult, play
from faultlab.storm.module import run_module

EVENTS_PER_HISTORY = 10_000  # of the module for each history of a cluster
PLAY_BY_PART: dict[str, Callable[[int], HistoryResult]] = {
    "ledger": ledger_history.play_seed,
    "activation": activation_history.play_seed,
    "routes": routes_history.play_seed,
}
PARTS = ("module", "cluster", *PLAY_BY_PART)


@dataclass(slots=True)
class Totals:
    """What the histories of a storm came to."""

    histories: int = 0
    events: int = 0
    members: int = 0
    largest: int = 0
    virtual_s: float = 0.0
    agreed_push_pulls: list[float] = field(default_factory=list)  # in periods of push-pull
    violations: list[str] = field(default_factory=list)

    def add(self, outcome: ClusterResult) -> None:
        self.histories += 1
        self.events += outcome.events
        self.members += outcome.members
        self.largest = max(self.largest, outcome.members)
        self.virtual_s += outcome.virtual_s
        if outcome.agreed_s is not None:
            self.agreed_push_pulls.append(outcome.agreed_s / outcome.history.timing.push_pull_s)


def register(parts: Subcommands) -> None:
    """Add `storm` and its arguments to the lab's commands."""
    lab = parts.add_parser(
        "storm", help="random load and faults on cores under simulated time, invariants on"
    )
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument(
        "--events", type=positive_int, default=1_000_000, help="events of the module (default a million)"
    )
    lab.add_argument(
        "--histories", type=positive_int, help=f"clusters (default one for every {EVENTS_PER_HISTORY} events)"
    )
    lab.add_argument("--part", choices=PARTS, help="one part alone")
    lab.add_argument("--replay", action="store_true", help="one part's failing seed up to its event, told")
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command, parser=lab)


def command(arguments: argparse.Namespace) -> int:
    """0 where nothing broke, 1 where something did."""
    if arguments.replay:
        part: str = arguments.part or ""
        if not part:
            arguments.parser.error(f"--replay needs --part {' or '.join(PARTS)}")
        return replay(part, arguments.seed, arguments.events)
    began_s = time.monotonic()
    parts = PARTS if arguments.part is None else (arguments.part,)
    figures: dict[str, Any] = {"seed": arguments.seed}
    violations: list[str] = []
    if "module" in parts:
        done = run_module(arguments.seed, arguments.events, check=True)
        figures |= {"events": done.events, "actions_sha256": done.actions_sha256}
        violations += [_with_replay(v, "module", done.seed, done.events) for v in done.violations]
    count = arguments.histories or max(1, arguments.events // EVENTS_PER_HISTORY)
    if "cluster" in parts:
        totals = play_clusters(arguments.seed, count)
        figures |= {"histories": totals.histories, "cluster_events": totals.events, "members": totals.members}
        figures |= {"largest_cluster": totals.largest, "virtual_s": totals.virtual_s}
        figures |= {"agreed_push_pulls": quantiles(totals.agreed_push_pulls)}
        violations += totals.violations
    for part, draws in PLAY_BY_PART.items():
        if part in parts:
            told, broken = play_replicated(part, draws, arguments.seed, count)
            figures[part] = told
            violations += broken
    figures |= {"violations": len(violations), "wall_s": time.monotonic() - began_s}
    for violation in violations:
        print(f"storm: {violation}", file=sys.stderr)
    report(figures, arguments.json)
    return 1 if violations else 0


def play_clusters(seed: int, count: int) -> Totals:
    """Play the histories of `count` seeds from `seed` on. A broken one ends itself, not the rest."""
    totals = Totals()
    for number in range(seed, seed + count):
        outcome = play(draw_history(number))
        totals.add(outcome)
        if outcome.violation is not None:
            totals.violations.append(_with_replay(outcome.violation, "cluster", number, outcome.events))
    return totals


def play_replicated(
    part: str, draws: Callable[[int], HistoryResult], seed: int, count: int
) -> tuple[dict[str, Any], list[str]]:
    """Figures and violations of a replicated part's histories, of `count` seeds from `seed` on."""
    played = {number: draws(number) for number in range(seed, seed + count)}
    done = list(played.values())
    figures = {
        "histories": count,
        "events": sum(each.events for each in done),
        "members": sum(each.members for each in done),
        "largest_cluster": max(each.members for each in done),
        "virtual_s": sum(each.virtual_s for each in done),
    }
    return figures, [
        _with_replay(each.violations[0], part, number, each.events)
        for number, each in played.items()
        if each.violations
    ]


def quantiles(values: list[float]) -> dict[str, float]:
    """Median, 99th percentile and most; empty without values."""
    ranked = sorted(values)
    if not ranked:
        return {}
    return {"p50": ranked[len(ranked) // 2], "p99": ranked[int(len(ranked) * 0.99)], "most": ranked[-1]}


def _with_replay(what: str, part: str, seed: int, events: int) -> str:
    again = f"python -m faultlab storm --part {part} --seed {seed} --events {events} --replay"
    return f"seed={seed} event={events} broken: {what}; replay: {again}"


def replay(part: str, seed: int, events: int) -> int:
    """Play one failing seed again and print what befell it, and how it ended."""
    if part == "module":
        done = run_module(seed, events, check=True)
        print(f"seed {seed}, {done.events} events, actions {done.actions_sha256}")
        print("\n".join(done.violations) or "nothing broke")
        return 1 if done.violations else 0
    if part in PLAY_BY_PART:
        played = PLAY_BY_PART[part](seed)
        print(f"seed {seed}: {played.members} members")
        print(f"event {played.events}{_event_mismatch(played.events, events)} at {played.virtual_s:.3f} s:")
        print("\n".join(played.violations) or "nothing broke")
        return 1 if played.violations else 0
    history = draw_history(seed)
    print(f"seed {seed}: {history.size} members, {history.seeds} seeds, ticks of {history.tick_s} s")
    print(f"  {history.timing}")
    for fault in history.faults:
        print(
            f"  {fault.at_s:8.3f} s {fault.kind.value:<11} who {fault.process_index:>4}, "
            f"share {fault.share:.2f}, for {fault.duration_s:.2f} s"
        )
    outcome = play(history)
    print("last told:", *outcome.last_actions, sep="\n  ")
    same = _event_mismatch(outcome.events, events)
    print(
        f"event {outcome.events}{same} at {outcome.virtual_s:.3f} s: {outcome.violation or 'nothing broke'}"
    )
    return 1 if outcome.violation else 0


def _event_mismatch(events: int, told: int) -> str:
    return "" if events == told else f" (not {told}: other code or options)"
