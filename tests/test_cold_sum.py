"""Cold servers: all proxies together stay within a cold server's budget, and they do use it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from caperdrift.interface import ListedServer, ListKind, RequestArrived, Send, ServerList
from caperdrift.policy import cold
from caperdrift.policy.balancer import Balancer
from tests.cold_fleet import MEAN_US, SETTINGS, START_US, Fleet, World

# Few requests per fall window, and many windows until a server is warm.
STEEP = replace(SETTINGS, start_capacity=0.2, warm_after_us=12_000_000, fall_multiple=2.0, fall_us=500_000)
ALONE = World(1, 6, 0, load=2.5, cold=1.0)
LULL = World(200, 12, 0, load=2.5, cold=1.0, quiet=(0.2, 9.0), seconds=10.5, settings=STEEP, restarted=0.2)


def worst_and_least(world: World) -> tuple[float, float]:
    """The highest share of its bound that a window of any cold server used, and the least work that one was
    sent, as a share of what its capacity could have served in that time."""
    hosts, settings = Fleet(world).run(), world.settings
    whole_s = min(world.seconds, settings.warm_after_us / 1e6)
    risen = (1.0 - settings.start_capacity) * whole_s / (settings.warm_after_us / 1e6)
    possible = (settings.start_capacity + risen / 2.0) * whole_s / (MEAN_US / 1e6)
    return max(host.worst for host in hosts), min(host.received for host in hosts) / possible


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
def test_total_work_stays_within_the_bound_and_cold_servers_are_used(
    gateways: int, servers: int, seeds: int, kind: str
) -> None:
    for seed in range(seeds):
        world = replace(World(gateways, servers, seed, seconds=6.0), **WORLDS[kind])  # type: ignore[arg-type]
        worst, least = worst_and_least(world)
        assert worst <= 1.0, f"seed {seed}"
        assert least > (0.1 if world.hinted else 0.01), f"seed {seed}"


@pytest.mark.parametrize("seed", range(3))
def test_allowances_saved_in_a_lull_are_not_all_spent_at_once(seed: int) -> None:
    """After a lull each of two hundred proxies may send a request; a burst must not bring all at once."""
    worst, least = worst_and_least(replace(LULL, seed=seed))
    assert worst <= 1.0 and least > 0.01


def test_a_missing_margin_exceeds_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    assert worst_and_least(ALONE)[0] <= 1.0
    monkeypatch.setattr(cold, "PLANNED_SHARE", 4 * cold.PLANNED_SHARE)
    assert worst_and_least(ALONE)[0] > 1.0


def test_an_undivided_budget_exceeds_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    burst = replace(LULL, load=4.0, quiet=(0.2, 2.0), seconds=4.0, live=False)
    assert worst_and_least(burst)[0] <= 1.0
    monkeypatch.setattr(cold, "proxy_count", lambda proxy: 1)
    assert worst_and_least(burst)[0] > 1.0


def test_requests_of_many_times_the_mean_stay_within_a_small_budget() -> None:
    """A window allows seven requests at the start, and each of twenty proxies could send one of any size.

    The sum exceeded the bound (1.13) though each proxy kept to its part: one with no unpaid work could send a
    request of any size, and nothing kept several of them apart. Of 21.7 requests of mean work in the worst
    window of half a second, 19.6 were four requests of 105, 40, 287 and 170 ms by four such proxies; the rest
    were seven of 11 ms or less. A request may now take a quarter of the window at most.
    """
    burst = World(20, 12, 1, load=4.0, cold=1.0, seconds=4.0, settings=STEEP)
    worst, least = worst_and_least(burst)
    assert least > 0.1
    assert worst <= 1.0


@pytest.mark.parametrize("gateways", [1, 2, 3, 20, 30])
def test_large_requests_stay_within_the_bound_for_any_number_of_gateways(gateways: int) -> None:
    """With seed 19, thirty proxies used 1.20 of the bound of a window, for the same reason."""
    for seed in (0, 7, 19):
        worst, least = worst_and_least(
            World(gateways, 12, seed, load=4.0, cold=1.0, seconds=4.0, settings=STEEP)
        )
        assert worst <= 1.0 and least > 0.01, f"seed {seed}"


def test_the_first_request_of_a_new_process_is_not_assumed_to_be_average() -> None:
    """It is the mean of its class until a second one arrives: one of 329 ms was sent to a window of ten."""
    balancer = Balancer(replace(STEEP, proxies=20), seed=1)
    balancer.handle(START_US, ServerList(ListKind.FULL, (ListedServer(1, started_us=START_US),)))
    for number in range(5):
        window_us = STEEP.fall_multiple * STEEP.fall_us * STEEP.start_capacity
        large = RequestArrived(str(number), number % 3, 1_800_000, work_us=int(window_us * 0.6))
        now_us = START_US + 1_000_000 * number // 10
        actions = balancer.handle(now_us, large)
        assert not any(isinstance(action, Send) for action in actions)


@pytest.mark.parametrize("crowded", [0.33, 0.97])
def test_a_server_used_by_more_gateways_than_average_stays_within_the_bound(crowded: float) -> None:
    """A single cold server is the idlest: with live weights, twice the mean number of proxies use it."""
    for seed in (16, 21, 102):
        world = World(30, 20, seed, load=1.5, cold=0.08, seconds=6.0, settings=STEEP, crowded=crowded)
        worst, least = worst_and_least(world)
        assert worst <= 1.0 and least > 0.01, f"seed {seed}"
