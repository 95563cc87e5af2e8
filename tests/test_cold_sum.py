"""Cold servers: what all processes send one together stays within what it stands, and it is used."""

from __future__ import annotations

from dataclasses import replace

import pytest

from caperdrift.policy import cold
from tests.cold_fleet import MEAN_US, SETTINGS, Fleet, World

# Few requests to a window, and many windows to the warming.
STEEP = replace(SETTINGS, start_capacity=0.2, warm_after_us=12_000_000, fall_multiple=2.0, fall_us=500_000)
ALONE = World(1, 6, 0, load=2.5, cold=1.0)
LULL = World(200, 12, 0, load=2.5, cold=1.0, quiet=(0.2, 9.0), seconds=10.5, settings=STEEP, restarted=0.2)


def worst_and_least(world: World) -> tuple[float, float]:
    """The greatest part of its bound that a window of any cold server held; the least that one was sent,
    as part of what its capacity could have served meanwhile."""
    hosts, settings = Fleet(world).run(), world.settings
    whole_s = min(world.seconds, settings.warm_after_us / 1e6)
    risen = (1.0 - settings.start_capacity) * whole_s / (settings.warm_after_us / 1e6)
    could = (settings.start_capacity + risen / 2.0) * whole_s / (MEAN_US / 1e6)
    return max(host.worst for host in hosts), min(host.got for host in hosts) / could


WORLDS = {
    "steady": {"load": 0.85},
    "most cold, overload": {"load": 1.5, "cold": 0.6},
    "one zone crowded, restarts at once": {"crowded": 0.7, "restarted": 0.7, "together": True},
    "lull, then a burst": {"load": 1.5, "quiet": (0.5, 5.0)},
    "no hints, no live weights": {"hinted": False, "live": False},
}


@pytest.mark.parametrize(
    "gateways, servers, seeds", [(1, 6, 2), (5, 10, 2), (20, 12, 1), (30, 20, 1), (200, 40, 1)]
)
@pytest.mark.parametrize("kind", WORLDS)
def test_the_sum_stays_within_the_bound_and_the_server_is_used(
    gateways: int, servers: int, seeds: int, kind: str
) -> None:
    for seed in range(seeds):
        world = replace(World(gateways, servers, seed, seconds=6.0), **WORLDS[kind])  # type: ignore[arg-type]
        worst, least = worst_and_least(world)
        assert worst <= 1.0, f"seed {seed}"
        assert least > (0.1 if world.hinted else 0.01), f"seed {seed}"


@pytest.mark.parametrize("seed", range(3))
def test_room_that_all_saved_up_in_a_lull_does_not_come_at_once(seed: int) -> None:
    """Each of two hundred was allowed a request after it had sent none: with a burst these came together."""
    worst, least = worst_and_least(replace(LULL, seed=seed))
    assert worst <= 1.0 and least > 0.01


def test_a_margin_taken_away_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    assert worst_and_least(ALONE)[0] <= 1.0
    monkeypatch.setattr(cold, "FALL_MARGIN", 4 * cold.FALL_MARGIN)
    assert worst_and_least(ALONE)[0] > 1.0


def test_a_budget_that_is_not_parted_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    burst = replace(LULL, load=4.0, quiet=(0.2, 2.0), seconds=4.0, live=False)
    assert worst_and_least(burst)[0] <= 1.0
    monkeypatch.setattr(cold, "sharers", lambda proxy: 1)
    assert worst_and_least(burst)[0] > 1.0


def test_requests_of_many_times_the_mean_stay_within_a_budget_of_a_few() -> None:
    """A window allows seven requests at the start, and each of twenty processes may send one of any size."""
    burst = World(20, 12, 1, load=4.0, cold=1.0, seconds=4.0, settings=STEEP)
    worst, least = worst_and_least(burst)
    assert least > 0.1
    assert worst <= 1.0
