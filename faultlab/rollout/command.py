"""python -m faultlab rollout: good and bad sets of hosts at a fleet of real gateways, and failing conductors.

One run does all of these: a good set through all stages, with the share of requests that reached it in each;
a failing set and a slow one until they are rolled back; a conductor killed and one stopped past its lease
within a stage; two starts at once; an abort and an undo.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from faultlab.report import Subcommands, positive_int, report
from faultlab.rollout.fleet import CONDUCTOR_TTL_S, RolloutFleet

STEPS = [5, 25, 50, 100]
MAX_REQUESTS = 100_000  # upper limit of the requests to each gateway
SETTLE_S = 1.0  # after a step, before requests to the hosts are counted for its stage


def register(parts: Subcommands) -> None:
    """Add `rollout` and its arguments to the lab's commands."""
    lab = parts.add_parser("rollout", help="staged rollouts of good and bad sets of hosts at real gateways")
    lab.add_argument("--gateways", type=positive_int, default=3)
    lab.add_argument("--rate", type=positive_int, default=100, help="requests per second to each gateway")
    lab.add_argument("--bake-s", type=float, default=8.0)
    lab.add_argument("--rounds", type=positive_int, default=3, help="number of bad sets of each kind")
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the experiment; returns 0 if each rollout ended as expected and each request was answered, else
    1."""
    figures = asyncio.run(experiment(arguments))
    report(figures, arguments.json)
    return 1 if figures["unanswered"] or figures["wrong_ends"] else 0


async def experiment(arguments: argparse.Namespace) -> dict[str, Any]:
    """Run all rollouts; returns the figures."""
    wrong: list[str] = []
    with tempfile.TemporaryDirectory(prefix="rollout-") as folder:
        async with RolloutFleet(arguments.gateways, Path(folder)) as fleet:
            await fleet.wait_conductor()
            fleet.start_traffic(arguments.rate, MAX_REQUESTS)
            figures: dict[str, Any] = {
                "gateways": arguments.gateways,
                "stages": await run_good_set(fleet, arguments),
            }
            stopped: dict[str, list[float]] = {"failing": [], "slow": []}
            for _ in range(arguments.rounds):
                for kind, after_s in stopped.items():
                    after_s.append(await run_bad_set(fleet, kind, arguments.bake_s, wrong))
            for kind, after_s in stopped.items():
                ranked = sorted(after_s)
                median = ranked[len(ranked) // 2]
                figures[f"{kind}_to_no_share_s"] = {"p50": round(median, 2), "most": round(ranked[-1], 2)}
            unanswered = fleet.tally.statuses.get(0, 0)
            figures["conductor_killed_next_s"] = await lose_conductor(
                fleet, signal.SIGKILL, arguments.bake_s, wrong
            )
            figures["conductor_stopped_next_s"] = await lose_conductor(
                fleet, signal.SIGSTOP, arguments.bake_s, wrong
            )
            figures["two_starts"] = await start_twice(fleet, wrong)
            tally = await fleet.stop_traffic()
    figures |= {"requests": tally.sent, "answers": {str(k): v for k, v in sorted(tally.statuses.items())}}
    # Counted before the kill: a killed gateway resets its open requests, which is no fault of the rollout.
    figures |= {"unanswered": unanswered, "wrong_ends": len(wrong)}
    return figures | {"wrong": "; ".join(wrong)}


async def run_good_set(fleet: RolloutFleet, arguments: argparse.Namespace) -> dict[str, str]:
    """Roll out a good set; returns the share of requests that reached it in each stage, and undoes the
    rollout."""
    shares = {}
    before = fleet.tally.statuses.get(0, 0)
    assert await fleet.send_order("start", steps=STEPS, bake_s=arguments.bake_s) == "taken"
    stage, counts_at_start, stage_started_s = -1, fleet.request_counts(), time.monotonic()
    while True:
        status = await fleet.status(fleet.names[0])
        at = len(STEPS) if status["state"] == "done" else status["stage"]
        if at != stage:
            stage, counts_at_start, stage_started_s = at, fleet.request_counts(), time.monotonic()
        if status["state"] in ("done", "rolled-back"):
            break
        if time.monotonic() - stage_started_s < SETTLE_S:
            counts_at_start = fleet.request_counts()
        old, new = (now - then for now, then in zip(fleet.request_counts(), counts_at_start, strict=True))
        if old + new:
            shares[f"{STEPS[stage]} %"] = f"{100 * new / (old + new):.2f} % of {old + new}"
        await asyncio.sleep(0.05)
    assert status["state"] == "done", status["why"]
    shares["unanswered"] = str(fleet.tally.statuses.get(0, 0) - before)
    assert await fleet.send_order("undo") == "taken"
    await fleet.wait_state("rolled-back")
    return shares


async def run_bad_set(fleet: RolloutFleet, kind: str, bake_s: float, wrong: list[str]) -> float:
    """Roll out a bad set; returns the seconds from its start until it is rolled back."""
    for host in fleet.new_hosts:
        host.status, host.delay_s = (500, 0.0) if kind == "failing" else (200, 0.15)
    try:
        if await fleet.send_order("start", steps=STEPS, bake_s=bake_s) != "taken":
            wrong.append(f"{kind}: start order was not taken")
            return 0.0
        started_s = time.monotonic()
        status = await fleet.wait_state("rolled-back", "done", "paused")
        if status["state"] != "rolled-back" or status["stage"] != 0:
            wrong.append(f"{kind}: {status['state']} in stage {status['stage']}: {status['why']}")
        return time.monotonic() - started_s
    finally:
        for host in fleet.new_hosts:
            host.status, host.delay_s = 200, 0.0


async def lose_conductor(
    fleet: RolloutFleet, signum: signal.Signals, bake_s: float, wrong: list[str]
) -> float:
    """Kill or stop the conductor within a stage; returns the seconds until another gateway is the conductor.
    The rollout has to reach its end."""
    conductor = await fleet.wait_conductor()
    other = next(name for name in fleet.names if name != conductor)
    if await fleet.send_order("start", at=other, steps=[50, 100], bake_s=bake_s / 2) != "taken":
        wrong.append(f"{signum.name}: start order was not taken")
    await fleet.wait_state("baking", at=other)
    started_s = time.monotonic()
    await fleet.gateways[conductor].signal(signum)
    await fleet.wait_conductor(excluded=conductor)
    elapsed_s = time.monotonic() - started_s
    if signum is signal.SIGSTOP:
        await asyncio.sleep(CONDUCTOR_TTL_S)  # past the end of its lease
        await fleet.gateways[conductor].signal(signal.SIGCONT)
    status = await fleet.wait_state("done", "rolled-back", "paused", at=other)
    if status["state"] != "done":
        wrong.append(f"{signum.name}: {status['state']}: {status['why']}")
    if signum is signal.SIGKILL:
        await fleet.start(conductor)
    if await fleet.send_order("undo", at=other) != "taken":
        wrong.append(f"{signum.name}: undo order was not taken")
    await fleet.wait_state("rolled-back", at=other)
    return round(elapsed_s, 2)


async def start_twice(fleet: RolloutFleet, wrong: list[str]) -> str:
    """Send start orders to two gateways at once, of which one has to be taken and the other refused; then
    abort. Returns the refusal."""
    outcomes = await asyncio.gather(
        *(
            fleet.send_order("start", f"set-{at}", at, steps=[5, 100], bake_s=60.0)
            for at in (fleet.names[0], fleet.names[-1])
        )
    )
    if sorted(outcome.partition(":")[0] for outcome in outcomes) != ["refused", "taken"]:
        wrong.append(f"two starts: outcomes {outcomes}")
    taken = fleet.names[0] if outcomes[0] == "taken" else fleet.names[-1]
    if await fleet.send_order("abort", f"set-{taken}") != "taken":
        wrong.append("abort order was not taken")
    await fleet.wait_state("rolled-back")
    return next((o for o in outcomes if o != "taken"), "")
