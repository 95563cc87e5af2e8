"""The route index against a linear search, and the step from views to index and balancer plan."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperdrift.interface import Event
from caperdrift.plan import HostSelector, Plan, Route, Target
from cloverkeel.config import Names, stable_id
from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.routes.fields import canonical
from cloverkeel.fleet.routes.index import Index, MatchedRoute, path_segments
from cloverkeel.fleet.routes.interface import RouteView, View
from cloverkeel.fleet.routes.serving import INLINE_MAX, RouteTable, compile_route
from cloverkeel.host_entries import name_id, parse_entry
from faultlab import lookups
from faultlab.__main__ import main
from tests.sockets import on_loop, until

NAMES = Names({b"pay": 0}, (b"pay",), {b"a": 0}, {"z1": 0, "z2": 1}, {"m1": 0, "m2": 1})


def route(name: str, **values: Any) -> RouteView:
    fields = {field: canonical(field, value) for field, value in values.items()}
    return RouteView(name, "team", {f: v for f, v in fields.items() if v is not None}, {})


def view(
    *routes: RouteView, touched: set[str] | None = None, precedes: Mapping[str, frozenset[str]] | None = None
) -> View:
    by_name = {each.name: each for each in routes}
    named = frozenset(touched) if touched is not None else None
    return View("", by_name, precedes or {}, (), (), (), Context(), named)


def index_of(*routes: RouteView, zone: str = "z1") -> Index:
    index = Index(zone, {each.name: number for number, each in enumerate(routes, 1)})
    for each in routes:
        index.put(each)
    return index


def name_of(matched: MatchedRoute | None) -> str | None:
    return matched.name if matched is not None else None


segments = st.sampled_from(("a", "b", "ab"))
paths = st.lists(segments, max_size=3).map(lambda s: "/" + "/".join(s))
name_lists = st.lists(st.sampled_from(("k1", "k2")), max_size=2)
routes_drawn = st.lists(
    st.tuples(name_lists, name_lists, paths, st.sampled_from(([], ["z1"], ["z2"], ["z1", "z2"]))), max_size=8
)


def linear_search(
    routes: list[RouteView], before: Mapping[str, frozenset[str]], klass: str, caller: str, path: str
) -> str | None:
    """The expected route, by linear search: the most specific of the matching routes that no other
    precedes."""
    segments_asked = path_segments(path.encode())

    def prefix(each: RouteView) -> list[bytes]:
        return path_segments((each.values.get("path") or "").encode())

    def matches(each: RouteView) -> bool:
        v = each.values
        named = klass in v.get("classes", [klass]) and caller in v.get("callers", [caller])
        return (
            named and "z1" in v.get("zones", ["z1"]) and segments_asked[: len(prefix(each))] == prefix(each)
        )

    found = [each for each in routes if matches(each)]
    not_preceded = [e for e in found if not any(e.name in before.get(other.name, ()) for other in found)]
    order = [
        (*(kind not in each.values for kind in ("callers", "classes")), -len(prefix(each)),
         "zones" not in each.values, each.name)
        for each in not_preceded
    ]  # fmt: skip
    return str(min(order)[-1]) if order else None


@settings(max_examples=300, deadline=None)
@given(
    routes_drawn,
    st.sets(st.tuples(st.integers(0, 7), st.integers(0, 7))),
    st.sets(st.integers(0, 7)),
    paths,
    st.sampled_from(("k1", "k2", "k3")),
    st.sampled_from(("k1", "k2", "")),
)
def test_the_index_finds_the_same_route_as_a_linear_search(
    drawn: list[Any], pairs: set[tuple[int, int]], removed: set[int], path: str, klass: str, caller: str
) -> None:
    routes = [
        route(f"r{n}", classes=c, callers=who, path=p, zones=z) for n, (c, who, p, z) in enumerate(drawn)
    ]
    precedes: dict[str, frozenset[str]] = {}
    for first in range(7, -1, -1):  # only lower numbers precede higher ones, so no cycles; transitive
        nexts = [f"r{after}" for before, after in pairs if before == first < after]
        precedes[f"r{first}"] = frozenset(nexts).union(*(precedes[name] for name in nexts))
    index = index_of(*routes, *routes)  # the second put replaces the first
    index.set_precedence(precedes)
    left = [each for n, each in enumerate(routes) if n not in removed]
    expected = linear_search(left, precedes, klass, caller, path)
    for number in removed:
        index.remove(f"r{number}")
    assert name_of(index.find(klass.encode(), caller.encode(), path.encode())) == expected
    for each in left:
        index.remove(each.name)
    assert not index._trees and not len(index)


def test_a_prefix_matches_whole_segments_and_the_longest_wins() -> None:
    index = index_of(route("short", path="/pay"), route("long", path="/pay/eu/"), route("b", callers=["b"]))
    for path, name in (("/pay", "short"), ("/pay/eu", "long"), ("/pay/eu/9", "long"), ("/pay/euro", "short")):
        assert name_of(index.find(b"pay", b"a", path.encode())) == name
        assert name_of(index.find(b"pay", b"b", path.encode())) == "b"
    assert name_of(index.find(b"pay", b"a", b"//pay//eu")) == "long" and index.find(b"x", b"", b"/x") is None


def test_a_compiled_route_selects_hosts_by_the_numbers_of_the_list() -> None:
    compiled = compile_route(
        route(
            "r",
            targets=[{"types": ["m2", "m9"], "labels": ["new"], "share": 5}, {"groups": ["3"], "share": 60}],
            attempts=2,
            deadline_ms=40,
            limit=7,
        ),
        NAMES,
    )
    raw = {"name": "h", "address": "127.0.0.1:1", "status": "SERVING", "labels": ["new"], "type": "m9"}
    listed = parse_entry({**raw, "group": 3}, NAMES).listed_server
    by_text = parse_entry({**raw, "group": "3"}, NAMES).listed_server
    canary = HostSelector(kinds=frozenset({1, name_id("m9", NAMES.kinds)}), labels=listed.labels)
    third = HostSelector(groups=frozenset({3, stable_id("3", 4)}))
    rest = HostSelector(none_of=(third, canary))
    shares = {target.hosts: target.share for target in compiled.targets}
    assert shares == {canary: 0.05, third: 0.6, rest: 0.35}
    assert listed.kind in canary.kinds and {listed.group, by_text.group} == third.groups
    assert (compiled.max_attempts, compiled.deadline_us, compiled.limit) == (2, 40_000, 7)
    zero_share = compile_route(route("r", targets=[{"groups": ["3"], "share": 0}]), NAMES)
    assert zero_share == Route((Target(HostSelector(none_of=(third,))),))


def test_labels_of_an_entry_are_strings() -> None:
    raw = {"name": "h", "address": "127.0.0.1:1", "status": "SERVING"}
    assert (
        parse_entry(raw, NAMES).listed_server.labels
        == parse_entry({**raw, "labels": []}, NAMES).listed_server.labels
    )
    for labels in ("new", [1], {"new": 1}):
        with pytest.raises(ValueError, match="labels"):
            parse_entry({**raw, "labels": labels}, NAMES)


class Gateway(SimpleNamespace):
    """The parts of a gateway that `RouteTable` uses; records each posted plan and the index size at that
    time."""

    def __init__(self) -> None:
        settings = SimpleNamespace(zone=0)
        loop = asyncio.get_running_loop()
        super().__init__(names=NAMES, settings=settings, loop=loop, closed=False, plans=[], seen=[])

    def post(self, event: Any) -> None:
        plan: Event = event()
        assert isinstance(plan, Plan)
        self.plans.append(plan.routes)
        self.seen.append(len(self.serving.index))


def serving() -> tuple[Any, RouteTable]:
    gateway: Any = Gateway()
    gateway.serving = RouteTable(gateway)
    return gateway, gateway.serving


@on_loop
async def test_a_route_keeps_its_number_from_view_to_view() -> None:
    gateway, served = serving()
    first = view(route("a", classes=["pay"]), route("b", path="/b"), route("far", zones=["z2"]))
    served.update(first)
    a, b = served.find(b"pay", b"", b"/pay"), served.find(b"x", b"", b"/b")
    assert a is not None and b is not None and set(gateway.plans[-1]) == {a.number, b.number}
    other = route("a", classes=["pay"], attempts=1, transforms=[])
    before_plan = gateway.plans[-1]
    served.update(view(other, route("c", path="/c"), touched={"a", "b", "c"}))
    again, c = served.find(b"pay", b"", b"/pay"), served.find(b"x", b"", b"/c/d")
    assert again is not None and again.number == a.number and (a.chain, again.chain) == (None, ())
    assert c is not None and c.number not in before_plan and served.find(b"x", b"", b"/b") is None
    assert gateway.plans[-1] == {a.number: Route(max_attempts=1), c.number: Route()}
    assert set(before_plan) == {a.number, b.number}  # the plan that the balancer held did not change
    gateway.settings.zone = 1
    served.reconfigure()
    assert set(served.numbers) == {"a", "c"} and gateway.plans[-1] == gateway.plans[-2]
    served.update(view(touched=None))
    assert served.find(b"pay", b"", b"/pay") is None and gateway.plans[-1] == {} and not served.numbers


@on_loop
async def test_many_changed_routes_are_built_in_slices_and_enter_service_together() -> None:
    gateway, served = serving()
    many = [route(f"r{n:04}", path=f"/p/{n}", targets=[{"groups": [str(n)]}]) for n in range(4_000)]
    served.update(view(*many))
    assert served.building is not None and served.find(b"x", b"", b"/p/7") is None and not gateway.plans
    more = [*many, route("new", path="/new")]
    served.update(view(*more, touched={"new"}))  # arrives during the first build
    served.update(view(*more[1:], touched={"r0000"}))
    await until(lambda: len(gateway.plans) == 2)
    assert gateway.seen == [4_000, 4_000] and [len(plan) for plan in gateway.plans] == gateway.seen
    assert served.find(b"x", b"", b"/new") and served.find(b"x", b"", b"/p/0") is None
    fewer = more[1 : -INLINE_MAX - 1]
    served.update(view(*fewer, touched={each.name for each in more if each not in fewer}))
    await until(lambda: len(gateway.plans) == 3)
    assert gateway.seen[-1] == len(fewer) == len(served.numbers)


def test_the_lab_prints_the_costs_of_routes(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(lookups, "ROUTE_COUNTS", (10, 100))
    monkeypatch.setattr(lookups, "REQUESTS_PER_ROUND", 50)
    assert main(["lookups", "--rounds", "2", "--json"]) == 0
    plan = json.loads(capsys.readouterr().out)
    assert set(plan["lookup_us"]) == {"10", "100"} and set(plan["read_us"]) == {"off", "empty", "full"}
    assert plan["index_mb"] > 0 and plan["serving_ms"]["build_turns"] >= 1
