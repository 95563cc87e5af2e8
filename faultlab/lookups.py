"""python -m faultlab lookups: what routes cost a request and a gateway, in CPU time, nothing else on the way.

Figures: a look-up among 10, 1,000 and 10,000 routes (goal 5 us, flat within a factor of 2), rounds of the
sizes in turn, so that the machine's noise falls on all alike; memory of the index; a request's reading with
routes off and on; one edit into the largest plan, and the longest turn that building it takes. What holds the
routes is frozen for the garbage collector, as a gateway does it.
"""

from __future__ import annotations

import argparse
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from caperdrift.interface import Effect

from cloverkeel.config import Config, Names
from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.routes.index import Index
from cloverkeel.fleet.routes.interface import RouteView, View
from cloverkeel.fleet.routes.serving import RouteTable
from cloverkeel.front.requests import ResponseWriter, Request, build_call
from cloverkeel.gateway import Gateway
from faultlab.report import Subcommands, positive_int, report

ROUTE_COUNTS = (10, 1_000, 10_000)
REQUESTS_PER_ROUND = 2_000  # requests of a round, over all routes alike
CLASS_COUNT, CALLER_COUNT = 4, 50
NAMES = Names({b"k%d" % n: n for n in range(CLASS_COUNT)}, (), {}, {"z": 0}, {})


def register(parts: Subcommands) -> None:
    """Add `lookups` and its arguments to the lab's commands."""
    lab = parts.add_parser("lookups", help="what routes cost a request and a gateway, in CPU time")
    lab.add_argument("--rounds", type=positive_int, default=30)
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    figures = measure(arguments.rounds, arguments.seed)
    report(figures, arguments.json)
    return 0


def measure(rounds: int, seed: int) -> dict[str, Any]:
    figures: dict[str, Any] = {
        "lookup_us": measure_lookups(rounds, seed),
        "index_mb": index_memory_mb(max(ROUTE_COUNTS)),
    }
    medians = [spread["p50"] for spread in figures["lookup_us"].values()]
    figures["lookup_flat"] = round(max(medians) / min(medians), 2)
    return figures | {
        "read_us": measure_reading(rounds, seed),
        "serving_ms": measure_serving(max(ROUTE_COUNTS), rounds, seed),
    }


def make_route(number: int, **more: Any) -> RouteView:
    """Each at a path of its own under a few that share their beginnings, every third for one caller."""
    values: dict[str, Any] = {"classes": [f"k{number % CLASS_COUNT}"], "path": route_path(number)}
    if number % 3 == 0:
        values["callers"] = [f"c{number % CALLER_COUNT}"]
    values["targets"] = [{"groups": [str(number % 8)], "share": 5}]
    return RouteView(f"route-{number}", "team", values | more, {})


def route_path(number: int) -> str:
    return f"/k{number % CLASS_COUNT}/team-{number // 500}/service-{number // 20}/call-{number}"


def build_index(size: int) -> Index:
    routes = [make_route(number) for number in range(size)]
    index = Index("z", {each.name: number for number, each in enumerate(routes, 1)})
    for each in routes:
        index.put(each)
    return index


def random_requests(size: int, rng: random.Random) -> list[tuple[bytes, bytes, bytes]]:
    """Four in five meet a route."""
    found = []
    for _ in range(REQUESTS_PER_ROUND):
        number = rng.randrange(size)
        where = f"{route_path(number)}/7" if rng.random() < 0.8 else f"/k{number % CLASS_COUNT}/none/of/them"
        found.append((b"k%d" % (number % CLASS_COUNT), b"c%d" % rng.randrange(CALLER_COUNT), where.encode()))
    return found


def measure_lookups(rounds: int, seed: int) -> dict[str, dict[str, float]]:
    indices = {size: build_index(size) for size in ROUTE_COUNTS}
    gc.freeze()
    took: dict[int, list[float]] = {size: [] for size in ROUTE_COUNTS}
    rng = random.Random(f"lookups {seed}")
    for _ in range(rounds):
        for size, index in indices.items():
            questions = random_requests(size, rng)
            took[size].append(mean_us(lambda index=index, qs=questions: [index.find(*q) for q in qs]))  # type: ignore[misc]
    return {str(size): summary(times) for size, times in took.items()}


def index_memory_mb(size: int) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    routes = [make_route(number) for number in range(size)]
    numbers = {each.name: number for number, each in enumerate(routes, 1)}
    outside = tracemalloc.get_traced_memory()[0]
    index = Index("z", numbers)
    for each in routes:
        index.put(each)
    held = tracemalloc.get_traced_memory()[0] - outside
    tracemalloc.stop()
    assert outside > before and len(index) == size
    return round(held / 1e6, 2)


def measure_reading(rounds: int, seed: int) -> dict[str, dict[str, float]]:
    """A request's way from its headers to a call: no routes, no plan yet, and the largest plan."""
    empty, full = build_route_table(0), build_route_table(max(ROUTE_COUNTS))
    gc.freeze()
    took: dict[str, list[float]] = {"off": [], "empty": [], "full": []}
    rng = random.Random(f"reading {seed}")
    for _ in range(rounds):
        questions = random_requests(max(ROUTE_COUNTS), rng)
        for name, routes in (("off", None), ("empty", empty), ("full", full)):
            requests = [make_request(caller, where) for _, caller, where in questions]
            took[name].append(mean_us(lambda rs=requests, routes=routes: [  # type: ignore[misc]
                build_call(CONFIG, r, r.target, RESPONSE_WRITER, None, routes) for r in rs
            ]))  # fmt: skip
    return {name: summary(times) for name, times in took.items()}


def make_request(caller: bytes, where: bytes) -> Request:
    made = Request()
    made.method, made.target = b"GET", where
    made.headers = [
        (b"Host", b"a"), (b"X-Call-Id", b"0123456789abcdef"), (b"X-Caller", caller), (b"X-Budget-Ms", b"400"),
    ]  # fmt: skip
    return made


def measure_serving(size: int, rounds: int, seed: int) -> dict[str, Any]:
    """A plan of `size` routes built aside, and edits of one route of it, in milliseconds."""
    turns: list[float] = []
    made = build_route_table(size, turns)
    assert made.view is not None
    routes, edits = dict(made.view.routes), []
    rng = random.Random(f"serving {seed}")
    for number in range(10 * rounds):
        edited = make_route(rng.randrange(size), attempts=1 + number % 3)
        routes[edited.name] = edited
        next_view = make_view(dict(routes), frozenset({edited.name}))
        began = time.process_time()
        made.update(next_view)
        edits.append(1e3 * (time.process_time() - began))
    return {
        "build": round(sum(turns), 1), "build_turns": len(turns), "longest_turn": round(max(turns), 2),
        "one_edit": summary(edits),
    }  # fmt: skip


def build_route_table(size: int, turns: list[float] | None = None) -> RouteTable:
    """`turns` hears what each turn of the loop cost, in milliseconds."""
    waiting: list[Callable[[], None]] = []
    gateway = SimpleNamespace(
        names=NAMES, settings=SimpleNamespace(zone=0), closed=False, post=lambda event: event(),
        loop=SimpleNamespace(call_soon=waiting.append),
    )  # fmt: skip
    made = RouteTable(cast(Gateway, gateway))
    first = make_view({each.name: each for each in map(make_route, range(size))}, None)
    waiting.append(lambda: made.update(first))
    while waiting:
        began = time.process_time()
        waiting.pop()()
        if turns is not None:
            turns.append(1e3 * (time.process_time() - began))
    return made


def make_view(routes: dict[str, RouteView], touched: frozenset[str] | None) -> View:
    return View("", routes, NO_PRECEDENCE, (), (), (), Context(), touched)


def mean_us(run: Callable[[], list[Any]]) -> float:
    began = time.process_time()
    count = len(run())
    return 1e6 * (time.process_time() - began) / count


def summary(values: list[float]) -> dict[str, float]:
    ranked = sorted(values)
    return {
        "least": round(ranked[0], 3), "p50": round(statistics.median(ranked), 3), "most": round(ranked[-1], 3)
    }  # fmt: skip


NO_PRECEDENCE: dict[str, frozenset[str]] = {}
RESPONSE_WRITER = cast(ResponseWriter, SimpleNamespace(**dict.fromkeys(
    ("check_gone", "on_served", "on_begun", "on_piece", "on_ended", "on_broken", "on_refused", "on_failed"),
    print,
)))  # fmt: skip
_CLASS = SimpleNamespace(effect=Effect.SAFE, give_up_us=400_000)
CONFIG = cast(Config, SimpleNamespace(names=NAMES, settings=SimpleNamespace(classes=[_CLASS] * CLASS_COUNT)))
