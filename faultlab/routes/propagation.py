"""Measures the time from an acknowledged edit to its plan in service on all gateways, and from a heal to
agreement."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Any

from faultlab.gateway_fleet import POLL_S
from faultlab.routes.costs import summary
from faultlab.routes.fleet import RoutesFleet, wait_agreement

PUSH_PULL_S = 5.0  # membership's default
AGREEMENT_TIMEOUT_S = 120.0  # long, since the machine may be loaded
CUT_DURATIONS_S = (1.0, 8.0, 4.0)  # in turn: shorter and longer than a side takes to declare the other dead


async def wait_plan_in_service(fleet: RoutesFleet, hash: str) -> float:
    """Wait until all gateways have logged that a plan is in service; returns the time of the last one."""
    async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
        while True:
            times = [g.last_line_s("event=routes.plan", f"hash={hash}") for g in fleet.gateways.values()]
            if all(times):
                return max(at_s for at_s in times if at_s is not None)
            await asyncio.sleep(POLL_S / 4)


async def measure_single_edits(fleet: RoutesFleet, teams: int, rounds: int) -> dict[str, Any]:
    """Commit single edits; returns seconds from the answer, stored at a quorum, until the plan with the edit
    is in service on the last gateway (0: before the answer), and from the call."""
    delays_s: list[float] = []
    call_delays_s: list[float] = []
    for number in range(rounds):
        team, at = f"alone-{number % teams}", fleet.names[number % len(fleet.names)]
        base, _ = await fleet.export(at, team)
        started_s = time.monotonic()
        answer = await fleet.apply(at, team, {team: {"path": f"/transfer/{team}/{number}"}}, base)
        acknowledged = time.monotonic()
        if answer["status"] != 200:
            raise RuntimeError(f"edit not stored at a quorum: {answer['reason']}")
        all_s = await wait_plan_in_service(fleet, answer["plan"])
        delays_s.append(max(0.0, all_s - acknowledged))
        call_delays_s.append(all_s - started_s)
    return summary(delays_s) | {
        "edits": len(delays_s),
        "goal_p99": 2.0,
        "from_the_call": summary(call_delays_s),
    }


async def measure_concurrent_edits(fleet: RoutesFleet, teams: int, rounds: int) -> dict[str, Any]:
    """Commit edits of all teams at once, at different gateways; returns seconds from the last answer until
    the plan with all edits is in service on all gateways."""
    delays_s: list[float] = []
    names = [f"team-{number}" for number in range(teams)]
    gateway_by_team = {team: fleet.names[number % len(fleet.names)] for number, team in enumerate(names)}
    for number in range(rounds):
        base = {team: (await fleet.export(at, team))[0] for team, at in gateway_by_team.items()}
        paths = {team: f"/transfer/{team}/{number}" for team in names}
        await asyncio.gather(
            *(
                fleet.apply(gateway_by_team[team], team, {team: {"path": paths[team]}}, base[team])
                for team in names
            )
        )
        acknowledged = time.monotonic()
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            while True:
                plan = await fleet.plan("m0")
                plan_paths = {
                    team: plan["routes"].get(team, {}).get("values", {}).get("path") for team in names
                }
                if plan_paths == paths:
                    break
                await asyncio.sleep(POLL_S)
        delays_s.append(max(0.0, await wait_plan_in_service(fleet, plan["hash"]) - acknowledged))
        if plan["conflicts"]:
            raise RuntimeError(f"teams' own routes are in conflict: {plan['conflicts'][0]['why']}")
        await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
    return summary(delays_s) | {"rounds": rounds, "teams": teams}


async def measure_heals(fleet: RoutesFleet, teams: int, rounds: int) -> dict[str, Any]:
    """Cut the fleet in halves that edit the same fields and delete what the other edits; returns seconds from
    the heal until all gateways have the same plan and the same conflicts, with all of them found."""
    delays_s: list[float] = []
    kinds: set[str] = set()
    half = len(fleet.names) // 2
    first_half, second_half = fleet.names[:half], fleet.names[half:]
    for number in range(rounds):
        names = [f"half-{number}-{n}" for n in range(teams)]
        for name in names:
            await fleet.apply("m0", name, {name: {"path": f"/transfer/{name}"}})
        await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
        bases = {name: await fleet.export("m0", name) for name in names}
        fleet.relay.cut(first_half, second_half)
        for n, name in enumerate(names):
            base, routes = bases[name]
            first_file = {} if n % 2 else {name: routes[name] | {"note": "few"}}
            await fleet.apply(first_half[n % len(first_half)], name, first_file, base, "local")
            second_file = {name: routes[name] | {"note": "most"}}
            await fleet.apply(second_half[n % len(second_half)], name, second_file, base, "local")
        await asyncio.sleep(CUT_DURATIONS_S[number % len(CUT_DURATIONS_S)])
        started_s = time.monotonic()
        fleet.relay.heal()
        await fleet.wait_all(partial(all_in_conflict, names), AGREEMENT_TIMEOUT_S)
        status = await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
        delays_s.append(time.monotonic() - started_s)
        conflicts = conflicts_of(status, names)
        kinds |= {conflict["kind"] for conflict in conflicts}
        for conflict in conflicts:
            way, value = ("value", '"agreed"') if conflict["kind"] == "field" else ("delete", "")
            await fleet.resolve("m0", conflict["id"], conflict["teams"][0], way, value)
        await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
    return summary(delays_s) | {"rounds": rounds, "goal": PUSH_PULL_S + 1.0, "kinds": sorted(kinds)}


def all_in_conflict(names: list[str], status: dict[str, Any]) -> bool:
    """Whether there are as many conflicts of these routes as routes."""
    return len(conflicts_of(status, names)) == len(names)


def conflicts_of(status: dict[str, Any], names: list[str]) -> list[dict[str, Any]]:
    """The conflicts of these routes in a status."""
    return [conflict for conflict in status["conflicts"] if set(conflict["routes"]) & set(names)]
