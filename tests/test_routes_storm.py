"""The storm of routes finds what a broken merge does, and what the lab says beside the real gateways."""

from __future__ import annotations

import msgspec

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.routes.changes import Change
from cloverkeel.fleet.routes.merge import Merge
from faultlab.routes import baseline, costs, simulated
from faultlab.storm.cluster import routes_history


class Unseeing(Merge):
    """Every change as if its writer had seen nothing."""

    def add(self, change: Change) -> None:
        super().add(msgspec.structs.replace(change, context=Context()))


def test_histories_of_routes_keep_their_invariants_and_a_dropped_context_is_found() -> None:
    assert [routes_history.play(seed, members=5, steps=6).violations for seed in range(20, 27)] == [[]] * 7
    broken = [
        routes_history.play(seed, members=5, steps=6, make=Unseeing).violations for seed in range(20, 27)
    ]
    assert any("had seen" in found[0] or "other than what it saw" in found[0] for found in broken if found)


def test_a_history_of_routes_replays_exactly() -> None:
    assert routes_history.play(3, members=6, steps=8) == routes_history.play(3, members=6, steps=8)


def test_concurrent_edits_are_lost_by_the_last_writer_and_none_by_the_merge() -> None:
    found = baseline.run(teams=4, trials=10, seed=1)
    assert found["edits_lost"] == 0 < found["last_writer_wins"]["edits_lost"]
    assert 0.3 < found["merged_with_no_person"] < 1.0


def test_the_costs_are_of_the_plan_that_a_rebuild_gives() -> None:
    found = costs.run(routes=100, rounds=1, seed=1)
    assert (found["routes"], found["rebuild_steps"] > 10) == (100, True)
    assert set(costs.lookups((10, 100), seed=1)) == {"10", "100", "goal", "greatest_to_least"}


def test_the_simulated_fleet_takes_each_edit_everywhere() -> None:
    found = simulated.run(members=8, rounds=2, seed=1)
    assert found["acknowledged_to_all_s"]["most"] < 2.0
