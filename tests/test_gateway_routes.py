"""Routes in a gateway: which hosts and transforms a request gets, and that it keeps them to its response."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from cloverkeel.config import parse
from cloverkeel.fleet.routes.serving import RouteTable
from cloverkeel.transforms.active_set import ActiveSet, InstalledTransform
from cloverkeel.transforms.compiler import compile
from cloverkeel.transforms.source import parse as parse_source
from tests.sockets import (
    answers,
    configuration,
    endpoint,
    hosts_list,
    on_loop,
    peer,
    reply,
    request,
    running,
    until,
)
from tests.test_routes_index import route, view


def transform(name: str, phase: str = "request") -> InstalledTransform:
    source = f'transform {name} owner o phase {phase} writes x-by add x-by = "{name}"'
    return InstalledTransform(compile(parse_source(source.encode())))


def routed_configuration(*hosts: Any) -> dict[str, Any]:
    """A configuration in which host n is in group n, and the last host has the label `new`."""
    config = configuration(*hosts)
    entries = [endpoint(f"s-{n}", host.address, group=n) for n, host in enumerate(hosts)]
    entries[-1]["labels"] = ["new"]
    return config | {"known": hosts_list(7, *entries)}


@on_loop
async def test_requests_go_to_the_hosts_of_their_route_and_others_to_all() -> None:
    async with peer() as old, peer() as new, running(routed_configuration(old, new)) as run:
        route_table = run.gateway.routes = RouteTable(run.gateway)
        canary = route("canary", classes=["search"], callers=["zeta"], targets=[{"labels": ["new"]}])
        route_table.update(view(canary, route("rest", path="/search", targets=[{"groups": [0]}])))
        for _ in range(8):
            assert (await run.ask(request(x_caller="zeta"))).status == 200
        assert (len(old.seen), len(new.seen)) == (0, 8)
        for _ in range(8):
            assert (await run.ask(request())).status == 200
        assert (len(old.seen), len(new.seen)) == (8, 8)
        for _ in range(8):
            assert (await run.ask(request("transfer"))).status == 200  # no route matches
        assert len(old.seen) > 8 and len(new.seen) > 8 and not run.gateway.balancer.pending_by_route[0]


@on_loop
async def test_a_route_limit_refuses_and_a_route_deadline_times_out() -> None:
    async with peer(lambda exchange: None) as host, running(routed_configuration(host)) as run:
        route_table = run.gateway.routes = RouteTable(run.gateway)
        route_table.update(view(route("r", limit=1, deadline_ms=200)))
        client = await run.connect()
        client.send(request())
        await until(lambda: host.seen)
        assert int(host.seen[0].message.headers["x-budget-ms"]) <= 200
        assert (await run.ask(request())).status == 503
        # Its deadline has passed; it no longer counts towards the limit.
        assert (await client.answer()).status == 503
        client.close()
        host.script = answers(reply())
        assert (await run.ask(request())).status == 200


@on_loop
async def test_a_transform_chain_runs_in_order_and_a_request_keeps_it() -> None:
    async with peer(lambda exchange: None) as host, running(routed_configuration(host)) as run:
        names = ("a", "b", "c")
        active = ActiveSet(*map(transform, names), *(transform(f"{n}-back", "response") for n in names))
        run.gateway.transforms = active
        route_table = run.gateway.routes = RouteTable(run.gateway)
        chain = ["c", "gone", "a", "c-back", "a-back"]
        first = route("r", classes=["search"], transforms=chain)
        route_table.update(view(first, route("none", classes=["transfer"], transforms=[])))
        client = await run.connect()
        client.send(request())
        other = await run.connect()
        await until(lambda: host.seen)
        # A plan without routes: the request in flight keeps its chain.
        route_table.update(view(touched=None))
        run.gateway.transforms = None
        host.seen[0].answer(reply())
        answer = await client.answer()
        assert _last_value(host.seen[0].message.headers) == "a" and _last_value(answer.headers) == "a-back"
        run.gateway.transforms = active
        route_table.update(view(first, route("none", classes=["transfer"], transforms=[])))
        host.script = answers(reply())
        assert "x-by" not in (await other.ask(request("transfer"))).headers
        assert "x-by" not in host.seen[-1].message.headers
        assert _last_value((await other.ask(request("hold"))).headers) == "c-back"  # no route: name order
        client.close()
        other.close()


def _last_value(headers: dict[str, str]) -> str:
    return headers["x-by"]  # `read_message` keeps the last of several headers


def test_a_chain_is_built_once_per_active_set() -> None:
    active = ActiveSet(transform("a"), transform("b"))
    chain = active.for_chain(("b", "a"))
    assert chain is active.for_chain(("b", "a")) and active.for_chain(()) is not chain
    assert chain.request(b"k", b"c", b"/k", [], "i") == [(b"x-by", b"b"), (b"x-by", b"a")]
    assert active.for_chain(()).request(b"k", b"c", b"/k", [], "i") == []


@on_loop
async def test_routes_use_the_new_kind_numbers_after_a_reconfiguration() -> None:
    async with peer() as old, peer() as new, running(routed_configuration(old, new)) as run:
        route_table = run.gateway.routes = RouteTable(run.gateway)
        route_table.update(view(route("r", targets=[{"types": ["m9"]}])))
        assert (await run.ask(request())).status == 503
        other = routed_configuration(old, new)
        other["settings"]["shapes"] = ["m", "m9"]
        other["known"]["endpoints"][1]["type"] = "m9"
        config = replace(parse(other), discovery=run.server.config.discovery)
        run.gateway.reconfigure(config)
        run.gateway.discovery.load_known_list(other["known"])
        assert (await run.ask(request())).status == 200 and len(new.seen) == 1


@pytest.mark.parametrize("routes", [False, True])
@on_loop
async def test_without_a_plan_no_request_has_a_route(routes: bool) -> None:
    async with peer() as host, running(routed_configuration(host)) as run:
        run.gateway.routes = RouteTable(run.gateway) if routes else None
        assert (await run.ask(request())).status == 200
        assert set(run.gateway.balancer.pending_by_route) == {0}
