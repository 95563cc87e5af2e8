"""Measures the CPU time and memory that the merge and the index of many routes cost in one process.

As in a gateway, garbage collection is disabled while a merge runs.
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Iterable, Iterator
from typing import Any

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import Change, Edit
from cloverkeel.fleet.routes.index import Index
from cloverkeel.fleet.routes.interface import Environment
from cloverkeel.fleet.routes.merge import Merge, merge_all

ROUTES_PER_CHANGE = 100  # routes of one change, as of one team's file
TEAMS = 10
LOOKUPS_PER_ROUND = 5_000


def make_environment() -> Environment:
    """The names that the routes of `make_changes` refer to."""
    return Environment(frozenset({"search", "transfer"}), None, frozenset({"a"}), frozenset({"m"}), {}, {})


def make_changes(routes: int) -> list[Change]:
    """`routes` routes of TEAMS teams, ROUTES_PER_CHANGE in each change; routes of different teams do not
    overlap."""
    changes: list[Change] = []
    for number, first in enumerate(range(0, routes, ROUTES_PER_CHANGE)):
        team = f"team-{number % TEAMS}"
        edits: list[Edit] = []
        for route in range(first, min(first + ROUTES_PER_CHANGE, routes)):
            name = f"route-{route}"
            edits += [
                Edit(name, "owner", team), Edit(name, "path", route_path(route)),
                Edit(name, "classes", ["transfer"]),
                Edit(name, "targets", [{"groups": [str(route % 4)], "share": 5}]), Edit(name, "attempts", 2),
                Edit(name, "note", f"route {route} of {team}"),
            ]  # fmt: skip
        context = Context().add(change.dot for change in changes if change.team == team)
        changes.append(Change(dot=Dot("base", 1, number + 1), context=context, team=team, edits=tuple(edits)))
    return changes


def route_path(route: int) -> str:
    """The path of a route by its number."""
    return f"/transfer/team-{route // ROUTES_PER_CHANGE % TEAMS}/service-{route // 50}/call-{route}"


def settle_steps_ms(merge: Merge) -> list[float]:
    """Settle a merge; returns the CPU time of each step in milliseconds."""
    steps_ms, settling = [], iter(merge.settle())
    while True:
        started_s = time.thread_time()
        ended = next(settling, settling) is settling
        steps_ms.append(1e3 * (time.thread_time() - started_s))
        if ended:
            return steps_ms


def run(routes: int, rounds: int, seed: int) -> dict[str, Any]:
    """Measure merges of single edits and of all routes, in milliseconds and MB. `one_edit`: `add` and all
    steps of settling (goal 20 ms); `rebuild`: the merge of all changes from nothing (goal 1 s);
    `longest_step`: of either kind (target 1 ms)."""
    rng = random.Random(f"costs {seed}")
    all_changes = make_changes(routes)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    merge = Merge(make_environment())
    for change in all_changes:
        merge.add(change)
    settle_steps_ms(merge)
    merge_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    rebuilds = []
    for _ in range(max(1, min(3, rounds))):
        started_s = time.thread_time()
        view = merge_all(all_changes, make_environment())
        rebuilds.append(1e3 * (time.thread_time() - started_s))
    sliced = Merge(make_environment())
    for change in all_changes:
        sliced.add(change)
    build_steps = settle_steps_ms(sliced)
    if view.hash != merge.view.hash or len(view.routes) != routes:
        raise RuntimeError(f"the rebuild gave another plan, with {len(view.routes)} routes")
    totals, longest = [], []
    for number, edits in enumerate(single_edits(rng, routes, 10 * rounds)):
        team = merge.view.routes[edits[0].route].owner
        change = Change(dot=Dot("m1", 1, number + 1), context=merge.view.context, team=team, edits=edits)
        started_s = time.thread_time()
        merge.add(change)
        added_ms = 1e3 * (time.thread_time() - started_s)
        steps = settle_steps_ms(merge)
        totals.append(added_ms + sum(steps))
        longest.append(max(added_ms, *steps))
    gc.enable()
    return {
        "routes": routes, "held_mb": round(merge_mb, 1),
        "one_edit_ms": summary(totals) | {"goal": 20}, "one_edit_longest_step_ms": summary(longest),
        "rebuild_ms": summary(rebuilds) | {"goal": 1000},
        "rebuild_steps": len(build_steps), "rebuild_longest_step_ms": round(max(build_steps), 3),
    }  # fmt: skip


def measure_lookups(sizes: Iterable[int], seed: int) -> dict[str, Any]:
    """Measure the CPU time in microseconds to find a request's route (goal 5, with at most a factor of 2
    between sizes). A third of the requests matches no route."""
    medians_us: dict[str, Any] = {}
    for size in sizes:
        rng = random.Random(f"lookups {seed}")
        view = merge_all(make_changes(size), make_environment())
        index = Index("a", {name: number + 1 for number, name in enumerate(view.routes)})
        index.set_precedence(view.precedes)
        for route in view.routes.values():
            index.put(route)
        requests = [route_path(rng.randrange(size)).encode() + b"/x" for _ in range(LOOKUPS_PER_ROUND)]
        requests[::3] = [b"/transfer/elsewhere/" + each[10:] for each in requests[::3]]
        round_times_us = []
        for _ in range(7):
            started_s = time.thread_time()
            for each in requests:
                index.find(b"transfer", b"lab", each)
            round_times_us.append(1e6 * (time.thread_time() - started_s) / LOOKUPS_PER_ROUND)
        medians_us[str(size)] = round(statistics.median(round_times_us), 2)
    least, most = min(medians_us.values()), max(medians_us.values())
    return medians_us | {"goal": 5, "greatest_to_least": round(most / least, 2)}


def single_edits(rng: random.Random, routes: int, count: int) -> Iterator[tuple[Edit, ...]]:
    """Draw `count` changes of one field of one route."""
    for number in range(count):
        route = rng.randrange(routes)
        field, value = rng.choice((
            ("note", f"again {number}"), ("attempts", 1 + number % 3),
            ("path", f"{route_path(route)}/{number}"), ("limit", 10 + number),
        ))  # fmt: skip
        yield (Edit(f"route-{route}", field, value),)


def summary(values: list[float]) -> dict[str, float]:
    """The median, the 99th percentile and the greatest value."""
    ranked = sorted(values)
    return {
        "p50": round(statistics.median(ranked), 3),
        "p99": round(ranked[min(len(ranked) - 1, int(0.99 * len(ranked)))], 3),
        "most": round(ranked[-1], 3),
    }
