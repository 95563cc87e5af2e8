"""Rollouts at real gateways: a bad set is rolled back, a good one done and undone, conductors are lost."""

from __future__ import annotations

import signal
from pathlib import Path

from faultlab.rollout.command import lose_conductor, run_bad_set, start_twice
from faultlab.rollout.fleet import RolloutFleet
from tests.sockets import on_loop

RATE, COUNT = 40, 4_000
BAKE_S = 1.0


@on_loop
async def test_a_bad_set_is_stopped_in_the_first_stage_and_a_good_one_takes_all(tmp_path: Path) -> None:
    wrong: list[str] = []
    async with RolloutFleet(3, tmp_path) as fleet:
        await fleet.wait_conductor()
        fleet.start_traffic(RATE, COUNT)
        await run_bad_set(fleet, "failing", BAKE_S, wrong)
        assert wrong == []
        assert await fleet.send_order("start", steps=[50, 100], bake_s=BAKE_S) == "taken"
        await fleet.wait_state("done")
        for name in fleet.names:
            await fleet.wait_state("done", at=name)
        old, new = fleet.request_counts()
        while fleet.request_counts()[1] < new + 50:
            await fleet.status(fleet.names[0])
        # Requests in flight when the last gateway applied the step may still reach the old hosts.
        assert fleet.request_counts()[0] - old <= 10
        assert await fleet.send_order("undo", "other") == "refused: other is not the rollout at hand (new)"
        assert await fleet.send_order("undo") == "taken"
        await fleet.wait_state("rolled-back")
        tally = await fleet.stop_traffic()
        assert 0 not in tally.statuses, tally  # every request was answered


@on_loop
async def test_another_gateway_takes_over_from_a_conductor_killed_within_a_stage(tmp_path: Path) -> None:
    wrong: list[str] = []
    async with RolloutFleet(3, tmp_path) as fleet:
        await fleet.wait_conductor()
        fleet.start_traffic(RATE, COUNT)
        await lose_conductor(fleet, signal.SIGKILL, 2 * BAKE_S, wrong)
        assert wrong == []


@on_loop
async def test_a_conductor_stopped_past_its_lease_changes_nothing_and_one_of_two_starts_is_refused(
    tmp_path: Path,
) -> None:
    wrong: list[str] = []
    async with RolloutFleet(3, tmp_path) as fleet:
        await fleet.wait_conductor()
        fleet.start_traffic(RATE, COUNT)
        await lose_conductor(fleet, signal.SIGSTOP, 2 * BAKE_S, wrong)
        assert "is under way" in await start_twice(fleet, wrong)
        assert wrong == []
