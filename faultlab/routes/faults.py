"""Injects faults into a fleet while its teams keep committing; then heals all and looks for each acknowledged
edit."""

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
from faultlab.routes.fleet import RoutesFleet, find_lost_edits, wait_agreement

AGREEMENT_TIMEOUT_S = 60.0  # after a heal
# Share of faults that are a SIGKILL and a restart, which takes a second on a loaded machine.
KILL_SHARE = 0.03
ROUTE_COUNT = 24  # few for each team, so that edits conflict
RELAY_RULES = (
    Rule(drop=0.3), Rule(duplicate=0.3), Rule(reorder=0.3), Rule(delay_s=(0.0, 0.05)),
    Rule(drop=0.1, duplicate=0.1, reorder=0.1, delay_s=(0.0, 0.02)),
)  # fmt: skip


class TeamLoad:
    """Commits of several teams during the faults, at random gateways, on plans that may be outdated."""

    def __init__(self, fleet: RoutesFleet, teams: int, seed: int) -> None:
        self.fleet, self.rng = fleet, random.Random(f"load {seed}")
        self.teams = [f"team-{number}" for number in range(teams)]
        self.bases: dict[str, list[tuple[str, dict[str, dict[str, Any]]]]] = {team: [] for team in self.teams}
        self.acknowledged: dict[str, int] = {}  # change to its number of edits
        self.unconfirmed = self.refused = self.unanswered = self.resolved = 0
        self.stopping = False

    async def run_team(self, team: str) -> None:
        """Commit edits and resolutions of one team until `stopping`."""
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
                outcome = await self.fleet.apply(at, team, self.edit_file(team, routes), base)
            except RuntimeError as error:
                self.refused += "answered 400" in str(error)
                self.unanswered += "answered 400" not in str(error)
                await asyncio.sleep(0.05)
                continue
            if outcome["status"] == 200 and outcome["change"]:
                self.acknowledged[outcome["change"]] = outcome["edits"]
            else:
                self.unconfirmed += 1

    async def resolve_or_accept(self, at: str, team: str) -> None:
        """Resolve one conflict of a team and accept one edit that waits for it, if there are any."""
        status = await self.fleet.status(at)
        open_conflicts = [c for c in status.get("conflicts", ()) if c["kind"] in ("field", "delete")]
        own_conflicts = [conflict for conflict in open_conflicts if team in conflict["teams"]]
        if own_conflicts:
            conflict = self.rng.choice(own_conflicts)
            way = self.rng.choice(("delete", "keep")) if conflict["kind"] == "delete" else "take&take=1"
            outcome = await self.fleet.resolve(at, conflict["id"], team, way)
            self.resolved += 1
            if outcome["status"] == 200:
                self.acknowledged[outcome["change"]] = outcome["edits"]
        for waiting in status.get("waiting", ()):
            if waiting["owner"] == team:
                await self.fleet.accept(at, waiting["change"], waiting["route"], team)
                return

    def edit_file(self, team: str, routes: dict[str, dict[str, Any]]) -> dict[str, dict[str, Any]]:
        """A copy of a team's file with one route deleted, added or changed at random."""
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
    """Run `histories` in sequence on one fleet: each injects its share of the faults, heals, and looks for
    each edit acknowledged so far. `lost`: edits that are found nowhere; the goal is 0."""
    rng = random.Random(f"faults {seed}")
    load = TeamLoad(fleet, teams, seed)
    injected: Counter[str] = Counter()
    lost_edits: list[tuple[str, str, str]] = []
    agreement_s: list[float] = []
    seen_changes: dict[str, Change] = {}
    history_count = 0
    while history_count < histories and not lost_edits:
        await inject_faults(fleet, load, rng, max(1, faults // histories), injected)
        started_s = time.monotonic()
        changes = set(load.acknowledged)
        await fleet.wait_same_records(changes, seen_changes, AGREEMENT_TIMEOUT_S)
        status = await wait_agreement(fleet, AGREEMENT_TIMEOUT_S)
        agreement_s.append(time.monotonic() - started_s)
        history_count += 1
        lost_edits = find_lost_edits(
            await fleet.plan("m0"), fleet.stored_changes("m0"), changes, seen_changes
        )
    return {
        "histories": history_count, "faults": sum(injected.values()),
        "by_kind": dict(sorted(injected.items())),
        "acknowledged_changes": len(load.acknowledged), "acknowledged_edits": sum(load.acknowledged.values()),
        "unconfirmed": load.unconfirmed, "refused": load.refused, "no_answer": load.unanswered,
        "resolved": load.resolved, "conflicts_at_the_end": len(status["conflicts"]),
        "heal_to_agreement_s": summary(agreement_s),
        "lost": len(lost_edits), "lost_edits": [list(each) for each in lost_edits[:10]], "goal_lost": 0,
    }  # fmt: skip


async def inject_faults(
    fleet: RoutesFleet, load: TeamLoad, rng: random.Random, faults: int, injected: Counter[str]
) -> None:
    """Inject so many faults while all teams commit; then stop the teams and remove all faults."""
    load.stopping = False
    team_tasks = [asyncio.create_task(load.run_team(team)) for team in load.teams]
    try:
        for _ in range(faults):
            for task in team_tasks:
                if task.done():
                    task.result()  # an error of the lab itself ends the run
            injected[await inject_fault(fleet, rng)] += 1
            await asyncio.sleep(rng.choice((0.01, 0.03, 0.1)))
    finally:
        load.stopping = True
        fleet.relay.heal()
        fleet.relay.set_rule(Rule())
        await asyncio.gather(*team_tasks, return_exceptions=True)


async def inject_fault(fleet: RoutesFleet, rng: random.Random) -> str:
    """Inject or heal one random fault; returns its kind."""
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
