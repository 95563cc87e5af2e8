"""Routes on real gateways behind the lab's relay, two of them with clocks ten minutes off.

The tests share one fleet and run in order.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import Change, Edit
from faultlab.routes.fleet import RoutesFleet, base_context, find_lost_edits, store_change, wait_agreement

Case = Callable[[Callable[[RoutesFleet], Awaitable[None]]], None]
AGREED_S = 20.0
CLOCKS_S = {"m1": 600.0, "m2": -600.0}


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as made:
        yield made


@pytest.fixture(scope="module")
def fleet(runner: asyncio.Runner, tmp_path_factory: pytest.TempPathFactory) -> Iterator[RoutesFleet]:
    made = runner.run(RoutesFleet(4, tmp_path_factory.mktemp("routes"), CLOCKS_S).__aenter__())
    yield made
    runner.run(made.close())


@pytest.fixture
def case(runner: asyncio.Runner, fleet: RoutesFleet) -> Case:
    def run(steps: Callable[[RoutesFleet], Awaitable[None]]) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(50.0):
                await steps(fleet)

        runner.run(bounded())

    return run


def kinds(status: dict[str, Any], route: str) -> set[str]:
    return {each["kind"] for each in status["conflicts"] if route in each["routes"]}


def conflict(status: dict[str, Any], kind: str, route: str) -> str:
    (id,) = (c["id"] for c in status["conflicts"] if c["kind"] == kind and route in c["routes"])
    return str(id)


async def apply_during_partition(
    fleet: RoutesFleet, *edits: tuple[str, str, dict[str, Any], str]
) -> dict[str, Any]:
    """Apply edits (gateway, team, routes, base) during a partition; returns the status all agree on
    afterwards."""
    few, most = fleet.names[:1], fleet.names[1:]
    fleet.relay.cut(few, most)
    answers = [await fleet.apply(at, team, routes, base, "local") for at, team, routes, base in edits]
    fleet.relay.heal()
    changes = {each["change"] for each in answers}
    await fleet.wait_all(
        lambda _: changes <= set(fleet.stored_changes("m0")) and changes <= set(fleet.stored_changes("m3"))
    )
    return await wait_agreement(fleet, AGREED_S)


def test_concurrent_commits_of_teams_merge_to_the_same_plan_everywhere(case: Case) -> None:
    async def steps(fleet: RoutesFleet) -> None:
        files = {f"team-{n}": {f"own-{n}": {"path": f"/transfer/{n}"}} for n in range(4)}
        answers = await asyncio.gather(
            *(fleet.apply(f"m{n}", team, file) for n, (team, file) in enumerate(files.items()))
        )
        await fleet.wait_all(lambda status: status["count"] == 5)
        assert not (await wait_agreement(fleet, AGREED_S))["conflicts"]
        plan = await fleet.plan("m2")
        assert not find_lost_edits(plan, fleet.stored_changes("m2"), [each["change"] for each in answers])

    case(steps)


def test_a_plan_that_leaves_a_class_without_hosts_is_refused_and_the_last_one_stays(case: Case) -> None:
    async def steps(fleet: RoutesFleet) -> None:
        before = await fleet.status("m0")
        with pytest.raises(RuntimeError, match="400"):
            nowhere = {"classes": ["transfer"], "targets": [{"groups": ["nowhere"], "share": 100}]}
            await fleet.apply("m0", "team-0", {"none": nowhere})
        assert (await fleet.status("m0"))["hash"] == before["hash"]

    case(steps)


def test_conflicts_from_both_sides_of_a_partition_are_resolved_after_it(case: Case) -> None:
    async def steps(fleet: RoutesFleet) -> None:
        base, routes = await fleet.export("m0", "team-1")
        other, theirs = await fleet.export("m3", "team-2")
        agreed = (await fleet.status("m0"))["count"]
        one = {"own-1": routes["own-1"] | {"note": "few", "limit": 7}, "wide": {"path": "/search"}}
        two = {"own-1": routes["own-1"] | {"note": "most"}}
        changed = {"own-2": theirs["own-2"] | {"note": "kept"}}
        status = await apply_during_partition(
            fleet, ("m0", "team-1", one, base), ("m3", "team-1", two, base),
            ("m0", "team-2", {}, other), ("m3", "team-2", changed, other),
            ("m2", "team-3", {"narrow": {"path": "/search/a"}}, ""),
        )  # fmt: skip
        assert kinds(status, "own-1") == {"field"} and kinds(status, "own-2") == {"delete"}
        assert kinds(status, "wide") == {"overlap"} and status["held_back"]
        plan = await fleet.plan("m2")
        assert "note" in plan["routes"]["own-1"]["values"] and "own-2" in plan["routes"]
        assert not {"wide", "narrow"} & set(plan["routes"]) and status["count"] == agreed
        await fleet.resolve("m1", conflict(status, "field", "own-1"), "team-1", "value", '"settled"')
        await fleet.resolve("m2", conflict(status, "delete", "own-2"), "team-2", "delete")
        await fleet.wait_all(lambda s: not kinds(s, "own-1") and not kinds(s, "own-2"))
        await wait_agreement(fleet, AGREED_S)
        plan = await fleet.plan("m3")
        assert "own-2" not in plan["routes"]

    case(steps)


def test_no_edit_is_lost_by_concurrent_resolutions(case: Case) -> None:
    async def steps(fleet: RoutesFleet) -> None:
        base, routes = await fleet.export("m0", "team-0")
        mine, other = routes["own-0"] | {"note": "a"}, routes["own-0"] | {"note": "b"}
        status = await apply_during_partition(
            fleet, ("m0", "team-0", {"own-0": mine}, base), ("m3", "team-0", {"own-0": other}, base)
        )
        id = conflict(status, "field", "own-0")
        answers = await asyncio.gather(
            fleet.resolve("m1", id, "team-0", "value", '"one"'),
            fleet.resolve("m2", id, "team-0", "value", '"two"'),
            fleet.apply("m3", "team-0", {"own-0": routes["own-0"] | {"note": "c"}}, base),
        )
        changes = {each["change"] for each in answers}
        await fleet.wait_all(
            lambda _: all(changes <= set(fleet.stored_changes(name)) for name in fleet.names)
        )
        await wait_agreement(fleet, AGREED_S)
        assert not find_lost_edits(await fleet.plan("m0"), fleet.stored_changes("m0"), changes)

    case(steps)


def later(context: Context) -> Change:
    """A change written by a later version, with a field that this version does not know."""
    edits = (Edit("own-3", "colour", {"shade": 3}), Edit("own-3", "attempts", 1))
    return Change(dot=Dot("m3", 77, 1), context=context, team="team-3", edits=edits, version=9)


def test_a_gateway_killed_after_its_acknowledgement_loses_nothing_and_comes_back_with_old_edits(
    case: Case,
) -> None:
    async def steps(fleet: RoutesFleet) -> None:
        base, routes = await fleet.export("m3", "team-3")
        answer = await fleet.apply("m3", "team-3", {"own-3": routes["own-3"] | {"limit": 9}}, base)
        await fleet.gateways["m3"].signal(signal.SIGKILL)
        rest = fleet.names[:3]
        await fleet.wait_all(
            lambda _: all(answer["change"] in fleet.stored_changes(name) for name in rest), names=rest
        )
        newer = await fleet.apply("m0", "team-3", {"own-3": routes["own-3"] | {"limit": 11}}, answer["base"])
        directory = fleet.gateways["m3"].state_dir
        store_change(str(directory), later(base_context(answer["base"])))
        await fleet.start("m3")
        old = await fleet.apply("m3", "team-3", {"own-3": routes["own-3"] | {"note": "old"}}, base, "local")
        changes = {answer["change"], newer["change"], old["change"], "m3/4d/1"}
        await fleet.wait_all(
            lambda _: all(changes <= set(fleet.stored_changes(name)) for name in fleet.names)
        )
        await wait_agreement(fleet, AGREED_S)
        plan = await fleet.plan("m1")
        assert not find_lost_edits(plan, fleet.stored_changes("m1"), changes)
        route = plan["routes"]["own-3"]
        values = route["values"]
        assert (values["limit"], values["note"], values["attempts"]) == (11, "old", 1)
        assert route["others"] == {"colour": {"shade": 3}}

    case(steps)
