"""The storm of routes finds a faulty merge; the labs of routes that run without real gateways."""

from __future__ import annotations

import msgspec

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.routes.changes import Change
from cloverkeel.fleet.routes.merge import Merge
from faultlab.routes import baseline, costs, simulated
from faultlab.storm.cluster import routes_history


class IgnoresContexts(Merge):
    """A faulty merge that ignores what the writer of a change had seen."""

    def add(self, change: Change) -> None:
        super().add(msgspec.structs.replace(change, context=Context()))


def test_histories_keep_the_invariants_and_a_merge_that_ignores_contexts_is_detected() -> None:
    assert [routes_history.play(seed, members=5, steps=6).violations for seed in range(20, 27)] == [[]] * 7
    broken = [
        routes_history.play(seed, members=5, steps=6, merge_factory=IgnoresContexts).violations
        for seed in range(20, 27)
    ]
    assert any("had seen" in found[0] or "other than what it saw" in found[0] for found in broken if found)


def test_a_history_of_routes_replays_exactly() -> None:
    assert routes_history.play(3, members=6, steps=8) == routes_history.play(3, members=6, steps=8)


def test_last_writer_wins_loses_concurrent_edits_and_the_merge_loses_none() -> None:
    found = baseline.run(teams=4, trials=10, seed=1)
    assert found["edits_lost"] == 0 < found["last_writer_wins"]["edits_lost"]
    assert 0.3 < found["merged_with_no_person"] < 1.0


def test_costs_are_measured_on_the_plan_of_a_full_merge() -> None:
    found = costs.run(routes=100, rounds=1, seed=1)
    assert (found["routes"], found["rebuild_steps"] > 10) == (100, True)
    assert set(costs.measure_lookups((10, 100), seed=1)) == {"10", "100", "goal", "greatest_to_least"}


def test_each_edit_reaches_all_members_of_the_simulated_fleet() -> None:
    found = simulated.run(members=8, rounds=2, seed=1)
    assert found["acknowledged_to_all_s"]["most"] < 2.0
