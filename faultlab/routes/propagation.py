"""From an acknowledged edit to its plan in service on all gateways, and from a heal to agreement."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Any

from faultlab.gateway_fleet import POLL_S
from faultlab.routes.costs import summary
from faultlab.routes.fleet import RoutesFleet, wait_agreement

PUSH_PULL_S = 5.0  # membership's default
AGREEMENT_TIMEOUT_S = 120.0  # a machine may be loaded beside it
CUT_DURATIONS_S = (1.0, 8.0, 4.0)  # in turn: shorter than it takes to hold the other side dead, and longer


async def wait_plan_in_service(fleet: RoutesFleet, hash: str) -> float:
    """The moment at which the last gateway wrote that this plan is in service."""
    async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
        while True:
            times = [g.last_line_s("event=routes.plan", f"hash={hash}") for g in fleet.gateways.values()]
            if all(times):
                return max(at_s for at_s in times if at_s is not None)
            await asyncio.sleep(POLL_S / 4)


async def measure_single_edits(fleet: RoutesFleet, teams: int, rounds: int) -> dict[str, Any]:
    """Each edit alone: seconds from its answer, held by a quorum, to the last gateway's line that the plan
    with it is in service (0: that came first), and from the call."""
    took: list[float] = []
    sent: list[float] = []
    for number in range(rounds):
        team, at = f"alone-{number % teams}", fleet.names[number % len(fleet.names)]
        known, _ = await fleet.export(at, team)
        began = time.monotonic()
        said = await fleet.apply(at, team, {team: {"path": f"/transfer/{team}/{number}"}}, known)
        acknowledged = time.monotonic()
        if said["status"] != 200:
            raise RuntimeError(f"not held by a quorum: {said['reason']}")
        all_s = await wait_plan_in_service(fleet, said["plan"])
        took.append(max(0.0, all_s - acknowledged))
        sent.append(all_s - began)
    return summary(took) | {"edits": len(took), "goal_p99": 2.0, "from_the_call": summary(sent)}


async def measure_concurrent_edits(fleet: RoutesFleet, teams: int, rounds: int) -> dict[str, Any]:
    """All teams together, each at a gateway of its own: seconds from the last answer to the plan with all
    their edits in service on all."""
    took: list[float] = []
    names = [f"team-{number}" for number in range(teams)]
    places = {team: fleet.names[number % len(fleet.names)] for number, team in enumerate(names)}
    for number in range(rounds):
        known = {team: (await fleet.export(at, team))[0] for team, at in places.items()}
        paths = {team: f"/transfer/{team}/{number}" for team in names}
        await asyncio.gather(
            *(fleet.apply(places[team], team, {team: {"path": paths[team]}}, known[team]) for team in names)
        )
        acknowledged = time.monotonic()
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            while True:
                plan = await fleet.plan("m0")
                shown = {team: plan["routes"].get(team, {}).get("values", {}).get("path") for team in names}
                if shown == paths:
                    break
                await asyncio.sleep(POLL_S)
        took.append(max(0.0, await wait_plan_in_service(fleet, plan["hash"]) - acknowledged))
        if plan["conflicts"]:
            raise RuntimeError(f"teams' own routes are in conflict: {plan['conflicts'][0]['why']}")
        await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
    return summary(took) | {"rounds": rounds, "teams": teams}


async def measure_heals(fleet: RoutesFleet, teams: int, rounds: int) -> dict[str, Any]:
    """Two halves, cut off from each other, edit the same fields and delete what the other edits; seconds from
    the heal until all say one plan and the same conflicts, all of them there."""
    took: list[float] = []
    kinds: set[str] = set()
    half = len(fleet.names) // 2
    few, most = fleet.names[:half], fleet.names[half:]
    for number in range(rounds):
        names = [f"half-{number}-{n}" for n in range(teams)]
        for name in names:
            await fleet.apply("m0", name, {name: {"path": f"/transfer/{name}"}})
        await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
        bases = {name: await fleet.export("m0", name) for name in names}
        fleet.relay.cut(few, most)
        for n, name in enumerate(names):
            known, routes = bases[name]
            mine = {} if n % 2 else {name: routes[name] | {"note": "few"}}
            await fleet.apply(few[n % len(few)], name, mine, known, "local")
            theirs = {name: routes[name] | {"note": "most"}}
            await fleet.apply(most[n % len(most)], name, theirs, known, "local")
        await asyncio.sleep(CUT_DURATIONS_S[number % len(CUT_DURATIONS_S)])
        began = time.monotonic()
        fleet.relay.heal()
        await fleet.wait_all(partial(all_in_conflict, names), AGREEMENT_TIMEOUT_S)
        status = await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
        took.append(time.monotonic() - began)
        found = conflicts_of(status, names)
        kinds |= {conflict["kind"] for conflict in found}
        for conflict in found:
            way, value = ("value", '"agreed"') if conflict["kind"] == "field" else ("delete", "")
            await fleet.resolve("m0", conflict["id"], conflict["teams"][0], way, value)
        await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
    return summary(took) | {"rounds": rounds, "goal": PUSH_PULL_S + 1.0, "kinds": sorted(kinds)}


def all_in_conflict(names: list[str], status: dict[str, Any]) -> bool:
    """Whether each of these routes is in one conflict."""
    return len(conflicts_of(status, names)) == len(names)


def conflicts_of(status: dict[str, Any], names: list[str]) -> list[dict[str, Any]]:
    return [conflict for conflict in status["conflicts"] if set(conflict["routes"]) & set(names)]
