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
from faultlab.report import Parts, positive, report

SIZES = (10, 1_000, 10_000)
ASKED = 2_000  # requests of a round, over all routes alike
CLASSES, CALLERS = 4, 50
NAMES = Names({b"k%d" % n: n for n in range(CLASSES)}, (), {}, {"z": 0}, {})


def register(parts: Parts) -> None:
    """Add `lookups` and its arguments to the lab's commands."""
    lab = parts.add_parser("lookups", help="what routes cost a request and a gateway, in CPU time")
    lab.add_argument("--rounds", type=positive, default=30)
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    figures = measured(arguments.rounds, arguments.seed)
    report(figures, arguments.json)
    return 0


def measured(rounds: int, seed: int) -> dict[str, Any]:
    figures: dict[str, Any] = {"lookup_us": lookups(rounds, seed), "index_mb": memory_mb(max(SIZES))}
    medians = [spread["p50"] for spread in figures["lookup_us"].values()]
    figures["lookup_flat"] = round(max(medians) / min(medians), 2)
    return figures | {"read_us": reading(rounds, seed), "serving_ms": serving(max(SIZES), rounds, seed)}


def route(number: int, **more: Any) -> RouteView:
    """Each at a path of its own under a few that share their beginnings, every third for one caller."""
    values: dict[str, Any] = {"classes": [f"k{number % CLASSES}"], "path": path(number)}
    if number % 3 == 0:
        values["callers"] = [f"c{number % CALLERS}"]
    values["targets"] = [{"groups": [str(number % 8)], "share": 5}]
    return RouteView(f"route-{number}", "team", values | more, {})


def path(number: int) -> str:
    return f"/k{number % CLASSES}/team-{number // 500}/service-{number // 20}/call-{number}"


def filled(size: int) -> Index:
    routes = [route(number) for number in range(size)]
    index = Index("z", {each.name: number for number, each in enumerate(routes, 1)})
    for each in routes:
        index.put(each)
    return index


def asked(size: int, rng: random.Random) -> list[tuple[bytes, bytes, bytes]]:
    """Four in five meet a route."""
    found = []
    for _ in range(ASKED):
        number = rng.randrange(size)
        where = f"{path(number)}/7" if rng.random() < 0.8 else f"/k{number % CLASSES}/none/of/them"
        found.append((b"k%d" % (number % CLASSES), b"c%d" % rng.randrange(CALLERS), where.encode()))
    return found


def lookups(rounds: int, seed: int) -> dict[str, dict[str, float]]:
    indices = {size: filled(size) for size in SIZES}
    gc.freeze()
    took: dict[int, list[float]] = {size: [] for size in SIZES}
    rng = random.Random(f"lookups {seed}")
    for _ in range(rounds):
        for size, index in indices.items():
            questions = asked(size, rng)
            took[size].append(each_us(lambda index=index, qs=questions: [index.find(*q) for q in qs]))  # type: ignore[misc]
    return {str(size): spread(times) for size, times in took.items()}


def memory_mb(size: int) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    routes = [route(number) for number in range(size)]
    numbers = {each.name: number for number, each in enumerate(routes, 1)}
    outside = tracemalloc.get_traced_memory()[0]
    index = Index("z", numbers)
    for each in routes:
        index.put(each)
    held = tracemalloc.get_traced_memory()[0] - outside
    tracemalloc.stop()
    assert outside > before and len(index) == size
    return round(held / 1e6, 2)


def reading(rounds: int, seed: int) -> dict[str, dict[str, float]]:
    """A request's way from its headers to a call: no routes, no plan yet, and the largest plan."""
    empty, full = served(0), served(max(SIZES))
    gc.freeze()
    took: dict[str, list[float]] = {"off": [], "empty": [], "full": []}
    rng = random.Random(f"reading {seed}")
    for _ in range(rounds):
        questions = asked(max(SIZES), rng)
        for name, routes in (("off", None), ("empty", empty), ("full", full)):
            requests = [request(caller, where) for _, caller, where in questions]
            took[name].append(each_us(lambda rs=requests, routes=routes: [  # type: ignore[misc]
                build_call(CONFIG, r, r.target, ANSWERS, None, routes) for r in rs
            ]))  # fmt: skip
    return {name: spread(times) for name, times in took.items()}


def request(caller: bytes, where: bytes) -> Request:
    made = Request()
    made.method, made.target = b"GET", where
    made.headers = [
        (b"Host", b"a"), (b"X-Call-Id", b"0123456789abcdef"), (b"X-Caller", caller), (b"X-Budget-Ms", b"400"),
    ]  # fmt: skip
    return made


def serving(size: int, rounds: int, seed: int) -> dict[str, Any]:
    """A plan of `size` routes built aside, and edits of one route of it, in milliseconds."""
    turns: list[float] = []
    made = served(size, turns)
    assert made.view is not None
    routes, edits = dict(made.view.routes), []
    rng = random.Random(f"serving {seed}")
    for number in range(10 * rounds):
        edited = route(rng.randrange(size), attempts=1 + number % 3)
        routes[edited.name] = edited
        next_view = view(dict(routes), frozenset({edited.name}))
        began = time.process_time()
        made.update(next_view)
        edits.append(1e3 * (time.process_time() - began))
    return {
        "build": round(sum(turns), 1), "build_turns": len(turns), "longest_turn": round(max(turns), 2),
        "one_edit": spread(edits),
    }  # fmt: skip


def served(size: int, turns: list[float] | None = None) -> RouteTable:
    """`turns` hears what each turn of the loop cost, in milliseconds."""
    waiting: list[Callable[[], None]] = []
    gateway = SimpleNamespace(
        names=NAMES, settings=SimpleNamespace(zone=0), closed=False, post=lambda event: event(),
        loop=SimpleNamespace(call_soon=waiting.append),
    )  # fmt: skip
    made = RouteTable(cast(Gateway, gateway))
    first = view({each.name: each for each in map(route, range(size))}, None)
    waiting.append(lambda: made.update(first))
    while waiting:
        began = time.process_time()
        waiting.pop()()
        if turns is not None:
            turns.append(1e3 * (time.process_time() - began))
    return made


def view(routes: dict[str, RouteView], touched: frozenset[str] | None) -> View:
    return View("", routes, NONE_BEHIND, (), (), (), Context(), touched)


def each_us(run: Callable[[], list[Any]]) -> float:
    began = time.process_time()
    count = len(run())
    return 1e6 * (time.process_time() - began) / count


def spread(values: list[float]) -> dict[str, float]:
    ranked = sorted(values)
    return {
        "least": round(ranked[0], 3), "p50": round(statistics.median(ranked), 3), "most": round(ranked[-1], 3)
    }  # fmt: skip


NONE_BEHIND: dict[str, frozenset[str]] = {}
ANSWERS = cast(ResponseWriter, SimpleNamespace(**dict.fromkeys(
    ("check_gone", "on_served", "on_begun", "on_piece", "on_ended", "on_broken", "on_refused", "on_failed"),
    print,
)))  # fmt: skip
_CLASS = SimpleNamespace(effect=Effect.SAFE, give_up_us=400_000)
CONFIG = cast(Config, SimpleNamespace(names=NAMES, settings=SimpleNamespace(classes=[_CLASS] * CLASSES)))
