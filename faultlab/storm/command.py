"""python -m faultlab storm --seed S --events N: random load and faults on the module and on clusters.

The decision module runs N events. Simulated clusters of membership, the ledger, activation and routes each
run one history for every EVENTS_PER_HISTORY of these. Invariants are checked throughout. History number I has
the seed S + I. The first violation of the module and of each history is printed with the command that
reproduces it: `--replay` runs the module or that one history again and prints its faults and how it ended.
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

EVENTS_PER_HISTORY = 10_000  # events of the module for each history of a cluster
PLAY_BY_PART: dict[str, Callable[[int], HistoryResult]] = {
    "ledger": ledger_history.play_seed,
    "activation": activation_history.play_seed,
    "routes": routes_history.play_seed,
}
PARTS = ("module", "cluster", *PLAY_BY_PART)


@dataclass(slots=True)
class Totals:
    """Totals over the histories of the membership clusters."""

    histories: int = 0
    events: int = 0
    members: int = 0
    largest: int = 0  # members of the largest cluster
    virtual_s: float = 0.0  # simulated seconds
    agreed_push_pulls: list[float] = field(default_factory=list)  # time to agreement, in push-pull periods
    violations: list[str] = field(default_factory=list)

    def add(self, result: ClusterResult) -> None:
        """Add the result of one history."""
        self.histories += 1
        self.events += result.events
        self.members += result.members
        self.largest = max(self.largest, result.members)
        self.virtual_s += result.virtual_s
        if result.agreed_s is not None:
            self.agreed_push_pulls.append(result.agreed_s / result.history.timing.push_pull_s)


def register(parts: Subcommands) -> None:
    """Add `storm` and its arguments to the lab's commands."""
    parser = parts.add_parser(
        "storm", help="random load and faults on protocol cores in simulated time, with invariant checks"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--events",
        type=positive_int,
        default=1_000_000,
        help="events of the decision module (default a million)",
    )
    parser.add_argument(
        "--histories",
        type=positive_int,
        help=f"histories of each kind of cluster (default one for every {EVENTS_PER_HISTORY} events)",
    )
    parser.add_argument("--part", choices=PARTS, help="run this part only")
    parser.add_argument(
        "--replay", action="store_true", help="run a failing seed of one part again, with details"
    )
    parser.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    parser.set_defaults(run=command, parser=parser)


def command(arguments: argparse.Namespace) -> int:
    """Run the storm or a replay; returns the exit status: 1 if an invariant was violated."""
    if arguments.replay:
        part: str = arguments.part or ""
        if not part:
            arguments.parser.error(f"--replay needs --part {' or '.join(PARTS)}")
        return replay(part, arguments.seed, arguments.events)
    started_s = time.monotonic()
    parts = PARTS if arguments.part is None else (arguments.part,)
    figures: dict[str, Any] = {"seed": arguments.seed}
    violations: list[str] = []
    if "module" in parts:
        module_run = run_module(arguments.seed, arguments.events, check=True)
        figures |= {"events": module_run.events, "actions_sha256": module_run.actions_sha256}
        violations += [
            _with_replay(v, "module", module_run.seed, module_run.events) for v in module_run.violations
        ]
    count = arguments.histories or max(1, arguments.events // EVENTS_PER_HISTORY)
    if "cluster" in parts:
        totals = play_clusters(arguments.seed, count)
        figures |= {"histories": totals.histories, "cluster_events": totals.events, "members": totals.members}
        figures |= {"largest_cluster": totals.largest, "virtual_s": totals.virtual_s}
        figures |= {"agreed_push_pulls": quantiles(totals.agreed_push_pulls)}
        violations += totals.violations
    for part, play_seed in PLAY_BY_PART.items():
        if part in parts:
            part_figures, part_violations = play_replicated(part, play_seed, arguments.seed, count)
            figures[part] = part_figures
            violations += part_violations
    figures |= {"violations": len(violations), "wall_s": time.monotonic() - started_s}
    for violation in violations:
        print(f"storm: {violation}", file=sys.stderr)
    report(figures, arguments.json)
    return 1 if violations else 0


def play_clusters(seed: int, count: int) -> Totals:
    """Run the membership histories of `count` seeds from `seed` on. A violation ends only its own history."""
    totals = Totals()
    for number in range(seed, seed + count):
        result = play(draw_history(number))
        totals.add(result)
        if result.violation is not None:
            totals.violations.append(_with_replay(result.violation, "cluster", number, result.events))
    return totals


def play_replicated(
    part: str, play_seed: Callable[[int], HistoryResult], seed: int, count: int
) -> tuple[dict[str, Any], list[str]]:
    """Run a replicated part's histories of `count` seeds from `seed` on; returns figures and violations."""
    results = {number: play_seed(number) for number in range(seed, seed + count)}
    all_results = list(results.values())
    figures = {
        "histories": count,
        "events": sum(result.events for result in all_results),
        "members": sum(result.members for result in all_results),
        "largest_cluster": max(result.members for result in all_results),
        "virtual_s": sum(result.virtual_s for result in all_results),
    }
    return figures, [
        _with_replay(result.violations[0], part, number, result.events)
        for number, result in results.items()
        if result.violations
    ]


def quantiles(values: list[float]) -> dict[str, float]:
    """Median, 99th percentile and maximum; empty without values."""
    ranked = sorted(values)
    if not ranked:
        return {}
    return {"p50": ranked[len(ranked) // 2], "p99": ranked[int(len(ranked) * 0.99)], "most": ranked[-1]}


def _with_replay(violation: str, part: str, seed: int, events: int) -> str:
    command_line = f"python -m faultlab storm --part {part} --seed {seed} --events {events} --replay"
    return f"seed={seed} event={events} broken: {violation}; replay: {command_line}"


def replay(part: str, seed: int, events: int) -> int:
    """Run one seed again and print its faults and how it ended; returns the exit status."""
    if part == "module":
        module_run = run_module(seed, events, check=True)
        print(f"seed {seed}, {module_run.events} events, actions {module_run.actions_sha256}")
        print("\n".join(module_run.violations) or "no violation")
        return 1 if module_run.violations else 0
    if part in PLAY_BY_PART:
        result = PLAY_BY_PART[part](seed)
        print(f"seed {seed}: {result.members} members")
        print(f"event {result.events}{_event_mismatch(result.events, events)} at {result.virtual_s:.3f} s:")
        print("\n".join(result.violations) or "no violation")
        return 1 if result.violations else 0
    history = draw_history(seed)
    print(f"seed {seed}: {history.size} members, {history.seeds} seeds, ticks of {history.tick_s} s")
    print(f"  {history.timing}")
    for fault in history.faults:
        print(
            f"  {fault.at_s:8.3f} s {fault.kind.value:<11} process {fault.process_index:>4}, "
            f"share {fault.share:.2f}, for {fault.duration_s:.2f} s"
        )
    outcome = play(history)
    print("last actions of the cores:", *outcome.last_actions, sep="\n  ")
    note = _event_mismatch(outcome.events, events)
    print(f"event {outcome.events}{note} at {outcome.virtual_s:.3f} s: {outcome.violation or 'no violation'}")
    return 1 if outcome.violation else 0


def _event_mismatch(events: int, expected: int) -> str:
    return "" if events == expected else f" (expected {expected}: the code or the options differ)"
