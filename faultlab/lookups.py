"""The CPU time that routes cost a request and a gateway, measured without network or processes.

Run as `python -m faultlab lookups`. The figures:

- a route lookup among 10, 1,000 and 10,000 routes (goal: 5 us, flat within a factor of 2). The sizes take
  turns in each round, so that noise of the machine affects all alike;
- the memory of the index;
- reading a request with routes off and on;
- one edit of the largest plan, and the longest turn of the event loop while that plan is built.

The objects that hold the routes are frozen for the garbage collector (`gc.freeze`), as a gateway does it.
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
REQUESTS_PER_ROUND = 2_000  # requests in one round, spread evenly over all routes
CLASS_COUNT, CALLER_COUNT = 4, 50
NAMES = Names({b"k%d" % n: n for n in range(CLASS_COUNT)}, (), {}, {"z": 0}, {})


def register(subcommands: Subcommands) -> None:
    """Add the subcommand `lookups` and its arguments."""
    parser = subcommands.add_parser("lookups", help="what routes cost a request and a gateway, in CPU time")
    parser.add_argument("--rounds", type=positive_int, default=30)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    parser.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the measurement and print its figures."""
    figures = measure(arguments.rounds, arguments.seed)
    report(figures, arguments.json)
    return 0


def measure(rounds: int, seed: int) -> dict[str, Any]:
    """All figures, by name."""
    figures: dict[str, Any] = {
        "lookup_us": measure_lookups(rounds, seed),
        "index_mb": index_memory_mb(max(ROUTE_COUNTS)),
    }
    medians = [times["p50"] for times in figures["lookup_us"].values()]
    figures["lookup_flat"] = round(max(medians) / min(medians), 2)
    return figures | {
        "read_us": measure_reading(rounds, seed),
        "serving_ms": measure_serving(max(ROUTE_COUNTS), rounds, seed),
    }


def make_route(number: int, **fields: Any) -> RouteView:
    """A route at a path of its own below prefixes that routes share; every third is for one caller only."""
    values: dict[str, Any] = {"classes": [f"k{number % CLASS_COUNT}"], "path": route_path(number)}
    if number % 3 == 0:
        values["callers"] = [f"c{number % CALLER_COUNT}"]
    values["targets"] = [{"groups": [str(number % 8)], "share": 5}]
    return RouteView(f"route-{number}", "team", values | fields, {})


def route_path(number: int) -> str:
    """The path of a route."""
    return f"/k{number % CLASS_COUNT}/team-{number // 500}/service-{number // 20}/call-{number}"


def build_index(size: int) -> Index:
    """An index of `size` routes."""
    routes = [make_route(number) for number in range(size)]
    index = Index("z", {each.name: number for number, each in enumerate(routes, 1)})
    for each in routes:
        index.put(each)
    return index


def random_requests(size: int, rng: random.Random) -> list[tuple[bytes, bytes, bytes]]:
    """Draw class, caller and path of requests, of which four in five match a route."""
    requests = []
    for _ in range(REQUESTS_PER_ROUND):
        number = rng.randrange(size)
        path = f"{route_path(number)}/7" if rng.random() < 0.8 else f"/k{number % CLASS_COUNT}/none/of/them"
        requests.append(
            (b"k%d" % (number % CLASS_COUNT), b"c%d" % rng.randrange(CALLER_COUNT), path.encode())
        )
    return requests


def measure_lookups(rounds: int, seed: int) -> dict[str, dict[str, float]]:
    """Microseconds of a lookup, by number of routes."""
    indices = {size: build_index(size) for size in ROUTE_COUNTS}
    gc.freeze()
    times_us: dict[int, list[float]] = {size: [] for size in ROUTE_COUNTS}
    rng = random.Random(f"lookups {seed}")
    for _ in range(rounds):
        for size, index in indices.items():
            requests = random_requests(size, rng)
            times_us[size].append(mean_us(lambda index=index, qs=requests: [index.find(*q) for q in qs]))  # type: ignore[misc]
    return {str(size): summary(times) for size, times in times_us.items()}


def index_memory_mb(size: int) -> float:
    """Memory that an index of `size` routes takes beyond the routes themselves, in MB."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    routes = [make_route(number) for number in range(size)]
    numbers = {each.name: number for number, each in enumerate(routes, 1)}
    without_index = tracemalloc.get_traced_memory()[0]
    index = Index("z", numbers)
    for each in routes:
        index.put(each)
    held = tracemalloc.get_traced_memory()[0] - without_index
    tracemalloc.stop()
    assert without_index > before and len(index) == size
    return round(held / 1e6, 2)


def measure_reading(rounds: int, seed: int) -> dict[str, dict[str, float]]:
    """Microseconds from a request's headers to a call: without routes, with an empty and a large plan."""
    empty, full = build_route_table(0), build_route_table(max(ROUTE_COUNTS))
    gc.freeze()
    times_us: dict[str, list[float]] = {"off": [], "empty": [], "full": []}
    rng = random.Random(f"reading {seed}")
    for _ in range(rounds):
        requests_drawn = random_requests(max(ROUTE_COUNTS), rng)
        for name, routes in (("off", None), ("empty", empty), ("full", full)):
            requests = [make_request(caller, target) for _, caller, target in requests_drawn]
            times_us[name].append(mean_us(lambda rs=requests, routes=routes: [  # type: ignore[misc]
                build_call(CONFIG, r, r.target, RESPONSE_WRITER, None, routes) for r in rs
            ]))  # fmt: skip
    return {name: summary(times) for name, times in times_us.items()}


def make_request(caller: bytes, target: bytes) -> Request:
    """A GET request of a caller."""
    request = Request()
    request.method, request.target = b"GET", target
    request.headers = [
        (b"Host", b"a"), (b"X-Call-Id", b"0123456789abcdef"), (b"X-Caller", caller), (b"X-Budget-Ms", b"400"),
    ]  # fmt: skip
    return request


def measure_serving(size: int, rounds: int, seed: int) -> dict[str, Any]:
    """Milliseconds to build a plan of `size` routes in the background, and to apply an edit of one route."""
    turns_ms: list[float] = []
    table = build_route_table(size, turns_ms)
    assert table.view is not None
    routes, edits_ms = dict(table.view.routes), []
    rng = random.Random(f"serving {seed}")
    for number in range(10 * rounds):
        edited = make_route(rng.randrange(size), attempts=1 + number % 3)
        routes[edited.name] = edited
        next_view = make_view(dict(routes), frozenset({edited.name}))
        began = time.process_time()
        table.update(next_view)
        edits_ms.append(1e3 * (time.process_time() - began))
    return {
        "build": round(sum(turns_ms), 1), "build_turns": len(turns_ms),
        "longest_turn": round(max(turns_ms), 2), "one_edit": summary(edits_ms),
    }  # fmt: skip


def build_route_table(size: int, turns_ms: list[float] | None = None) -> RouteTable:
    """A route table of `size` routes; `turns_ms` gets the CPU time of each turn of the event loop."""
    scheduled: list[Callable[[], None]] = []
    gateway = SimpleNamespace(
        names=NAMES, settings=SimpleNamespace(zone=0), closed=False, post=lambda event: event(),
        loop=SimpleNamespace(call_soon=scheduled.append),
    )  # fmt: skip
    table = RouteTable(cast(Gateway, gateway))
    first = make_view({each.name: each for each in map(make_route, range(size))}, None)
    scheduled.append(lambda: table.update(first))
    while scheduled:
        began = time.process_time()
        scheduled.pop()()
        if turns_ms is not None:
            turns_ms.append(1e3 * (time.process_time() - began))
    return table


def make_view(routes: dict[str, RouteView], touched: frozenset[str] | None) -> View:
    """A view of these routes without any conflict; `touched` are those that changed (None: all)."""
    return View("", routes, NO_PRECEDENCE, (), (), (), Context(), touched)


def mean_us(run: Callable[[], list[Any]]) -> float:
    """CPU microseconds that `run` takes for each item of its result."""
    began = time.process_time()
    count = len(run())
    return 1e6 * (time.process_time() - began) / count


def summary(values: list[float]) -> dict[str, float]:
    """Minimum, median and maximum."""
    ranked = sorted(values)
    return {
        "least": round(ranked[0], 3), "p50": round(statistics.median(ranked), 3), "most": round(ranked[-1], 3)
    }  # fmt: skip


NO_PRECEDENCE: dict[str, frozenset[str]] = {}
RESPONSE_WRITER = cast(ResponseWriter, SimpleNamespace(**dict.fromkeys(
    ("may_be_gone", "on_served", "on_begun", "on_piece", "on_ended", "on_broken", "on_refused", "on_failed"),
    print,
)))  # fmt: skip
_CLASS = SimpleNamespace(effect=Effect.SAFE, give_up_us=400_000)
CONFIG = cast(Config, SimpleNamespace(names=NAMES, settings=SimpleNamespace(classes=[_CLASS] * CLASS_COUNT)))
