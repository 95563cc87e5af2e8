"""Faults without end on a fleet whose teams go on committing; then all is healed, and each acknowledged edit
is looked for."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from typing import Any

from cloverkeel.fleet.routes.changes import Change
from faultlab.relay import Rule
from faultlab.routes.costs import summary
from faultlab.routes.fleet import RoutesFleet, wait_agreement, find_lost_edits

AGREEMENT_TIMEOUT_S = 60.0
KILL_SHARE = (
    0.03  # share of faults that are a SIGKILL and a new start: each takes a second of a loaded machine
)
ROUTE_COUNT = 24  # a few for each team, so that they meet
RELAY_RULES = (
    Rule(drop=0.3), Rule(duplicate=0.3), Rule(reorder=0.3), Rule(delay_s=(0.0, 0.05)),
    Rule(drop=0.1, duplicate=0.1, reorder=0.1, delay_s=(0.0, 0.02)),
)  # fmt: skip


class TeamLoad:
    """What teams commit while faults go on: at gateways as they come, under plans that may be old."""

    def __init__(self, fleet: RoutesFleet, teams: int, seed: int) -> None:
        self.fleet, self.rng = fleet, random.Random(f"load {seed}")
        self.teams = [f"team-{number}" for number in range(teams)]
        self.bases: dict[str, list[tuple[str, dict[str, dict[str, Any]]]]] = {team: [] for team in self.teams}
        self.acknowledged: dict[str, int] = {}  # change to its edits
        self.unconfirmed = self.refused = self.unanswered = self.resolved = 0
        self.stopping = False

    async def run_team(self, team: str) -> None:
        rng = self.rng
        while not self.stopping:
            at = rng.choice(self.fleet.names)
            try:
                if rng.random() < 0.1:
                    await self.resolve_or_accept(at, team)
                    continue
                if not self.bases[team] or rng.random() < 0.7:
                    self.bases[team] = [*self.bases[team][-9:], await self.fleet.export(at, team)]
                base, routes = rng.choice(self.bases[team]) if rng.random() < 0.2 else self.bases[team][-1]
                said = await self.fleet.apply(at, team, self.edit_file(team, routes), base)
            except RuntimeError as error:
                self.refused += "answered 400" in str(error)
                self.unanswered += "answered 400" not in str(error)
                await asyncio.sleep(0.05)
                continue
            if said["status"] == 200 and said["change"]:
                self.acknowledged[said["change"]] = said["edits"]
            else:
                self.unconfirmed += 1

    async def resolve_or_accept(self, at: str, team: str) -> None:
        status = await self.fleet.status(at)
        open_ones = [c for c in status.get("conflicts", ()) if c["kind"] in ("field", "delete")]
        mine = [conflict for conflict in open_ones if team in conflict["teams"]]
        if mine:
            conflict = self.rng.choice(mine)
            way = self.rng.choice(("delete", "keep")) if conflict["kind"] == "delete" else "take&take=1"
            said = await self.fleet.resolve(at, conflict["id"], team, way)
            self.resolved += 1
            if said["status"] == 200:
                self.acknowledged[said["change"]] = said["edits"]
        for waiting in status.get("waiting", ()):
            if waiting["owner"] == team:
                await self.fleet.accept(at, waiting["change"], waiting["route"], team)
                return

    def edit_file(self, team: str, routes: dict[str, dict[str, Any]]) -> dict[str, dict[str, Any]]:
        rng, file = self.rng, {name: dict(fields) for name, fields in routes.items()}
        name = f"r{rng.randrange(ROUTE_COUNT)}"
        if name in file and rng.random() < 0.2:
            del file[name]
        else:
            fields = file.setdefault(name, {"path": f"/transfer/{name}"})
            for field in rng.sample(("note", "limit", "attempts", "deadline_ms"), rng.randint(1, 2)):
                value = rng.randint(1, 10**6)
                fields[field] = f"note {value}" if field == "note" else value
        return file


async def run(fleet: RoutesFleet, teams: int, faults: int, histories: int, seed: int) -> dict[str, Any]:
    """`histories` in turn on one fleet, each of its share of the faults, a heal, and the search for each edit
    acknowledged so far. `lost`: those that are nowhere; the goal is 0."""
    rng = random.Random(f"faults {seed}")
    load = TeamLoad(fleet, teams, seed)
    done: Counter[str] = Counter()
    gone: list[tuple[str, str, str]] = []
    agreed: list[float] = []
    ever: dict[str, Change] = {}
    played = 0
    while played < histories and not gone:
        await inject_faults(fleet, load, rng, max(1, faults // histories), done)
        began = time.monotonic()
        changes = set(load.acknowledged)
        await fleet.wait_same_records(changes, ever, AGREEMENT_TIMEOUT_S)
        status = await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
        agreed.append(time.monotonic() - began)
        played += 1
        gone = find_lost_edits(await fleet.plan("m0"), fleet.stored_changes("m0"), changes, ever)
    return {
        "histories": played, "faults": sum(done.values()), "by_kind": dict(sorted(done.items())),
        "acknowledged_changes": len(load.acknowledged), "acknowledged_edits": sum(load.acknowledged.values()),
        "unconfirmed": load.unconfirmed, "refused": load.refused, "no_answer": load.unanswered,
        "resolved": load.resolved, "conflicts_at_the_end": len(status["conflicts"]),
        "heal_to_agreement_s": summary(agreed),
        "lost": len(gone), "lost_edits": [list(each) for each in gone[:10]], "goal_lost": 0,
    }  # fmt: skip


async def inject_faults(
    fleet: RoutesFleet, load: TeamLoad, rng: random.Random, faults: int, done: Counter[str]
) -> None:
    """So many faults while all teams work; then nothing is amiss, and nobody works."""
    load.stopping = False
    working = [asyncio.create_task(load.run_team(team)) for team in load.teams]
    try:
        for _ in range(faults):
            for task in working:
                if task.done():
                    task.result()  # a failure of the lab's own ends the run
            done[await inject_fault(fleet, rng)] += 1
            await asyncio.sleep(rng.choice((0.01, 0.03, 0.1)))
    finally:
        load.stopping = True
        fleet.relay.heal()
        fleet.relay.set_rule(Rule())
        await asyncio.gather(*working, return_exceptions=True)


async def inject_fault(fleet: RoutesFleet, rng: random.Random) -> str:
    names = list(fleet.names)
    draw = rng.random()
    if draw < KILL_SHARE:
        name = rng.choice(names)
        await fleet.gateways[name].signal(signal.SIGKILL)
        await fleet.start(name)
        return "kill"
    if draw < 0.3:
        fleet.relay.set_rule(rng.choice(RELAY_RULES), [rng.choice(names)], None)
        return "rule"
    if draw < 0.45:
        one, two = rng.sample(names, 2)
        fleet.relay.reset_streams([one], [two])
        return "reset"
    if draw < 0.75:
        rng.shuffle(names)
        at = rng.randint(1, len(names) - 1)
        if rng.random() < 0.5:
            fleet.relay.cut(names[:1], names[1:], one_way=rng.random() < 0.3)
        else:
            fleet.relay.cut(names[:at], names[at:])
        return "cut"
    fleet.relay.heal()
    if rng.random() < 0.3:
        fleet.relay.set_rule(Rule())
    return "heal"
