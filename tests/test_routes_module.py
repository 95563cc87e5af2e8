"""Routes in the decision module: what a plan restricts, and that it changes nothing else."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from caperdrift.interface import (
    Action,
    Fail,
    Fleet,
    ListedServer,
    ListKind,
    Log,
    Outcome,
    Refuse,
    ServerStatus,
    TimerFired,
)
from caperdrift.plan import HostSelector, Plan, Route, Target
from caperdrift.policy.cold import fall_budget_us
from caperdrift.policy.proxy import MIN_SUBSET_SIZE
from tests.helpers import SETTINGS, START_US, Driver, finals, sends

# The driver puts server n into group n % 2.
ODD, EVEN = HostSelector(groups=frozenset({1})), HostSelector(groups=frozenset({0}))
REST = HostSelector(none_of=(ODD,))


def driver_with(*routes: Route, servers: int = 12) -> Driver:
    driver = Driver(servers=servers)
    assert driver.handle(Plan(dict(enumerate(routes, 1)))) == []
    return driver


def sent_to(actions: list[Action]) -> int:
    return sends(actions)[0].server


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [
        (HostSelector(), {1, 2, 3, 4}),
        (HostSelector(kinds=frozenset({7})), {1, 2}),
        (HostSelector(zones=frozenset({0, 1}), labels=frozenset({5, 6})), {1}),
        (
            HostSelector(none_of=(HostSelector(kinds=frozenset({7})), HostSelector(labels=frozenset({6})))),
            {4},
        ),
    ],
)
def test_hosts_are_selected_by_their_list_entries(hosts: HostSelector, expected: set[int]) -> None:
    driver = driver_with(Route((Target(hosts),)), servers=0)
    driver.list_servers(
        ListedServer(1, kind=7, zone=1, labels=frozenset({5})),
        ListedServer(2, kind=7, zone=2, labels=frozenset({5})),
        ListedServer(3, zone=0, labels=frozenset({6, 8}), status=ServerStatus.DRAINING),
        ListedServer(4),
    )
    driver.list_servers(ListedServer(3, zone=3, labels=frozenset({6, 8})), kind=ListKind.DELTA)
    used = set()
    for _ in range(200):
        name, actions = driver.arrive(route=1)
        used.add(sent_to(actions))
        driver.end(name, sent_to(actions))
    assert used == expected


def test_targets_are_drawn_by_share() -> None:
    driver = driver_with(Route((Target(ODD, 0.2), Target(REST, 0.8))))
    counts: Counter[int] = Counter()
    for _ in range(4_000):
        name, actions = driver.arrive(route=1)
        counts[sent_to(actions) % 2] += 1
        driver.end(name, sent_to(actions))
    assert 700 < counts[1] < 900  # 800 of 4000; four standard deviations are 101


def test_a_target_without_hosts_falls_back_to_the_greatest_target() -> None:
    driver = driver_with(Route((Target(HostSelector(groups=frozenset({9})), 0.4), Target(EVEN, 0.6))))
    for _ in range(50):
        name, actions = driver.arrive(route=1)
        assert sent_to(actions) % 2 == 0
        driver.end(name, sent_to(actions))
    driver = driver_with(Route((Target(HostSelector(groups=frozenset({9}))),)))
    name, actions = driver.arrive(route=1)
    assert finals(actions) == [Refuse(name)] and not driver.balancer.pending_by_route[1]


def test_retries_and_hedges_stay_inside_the_route() -> None:
    driver = driver_with(Route((Target(ODD),)), servers=4)
    name, actions = driver.arrive(route=1)
    retry = driver.end(name, sent_to(actions), Outcome.CONNECT_FAILED)
    assert {sent_to(actions), sent_to(retry)} == {1, 3}
    assert finals(driver.end(name, sent_to(retry), Outcome.CONNECT_FAILED, attempt=1)) == [Refuse(name)]
    driver = driver_with(Route((Target(ODD),)), servers=4)
    name, actions = driver.arrive(route=1)
    timer = driver.timers[-1]
    driver.now_us = timer.due_us
    assert {sent_to(actions), sent_to(driver.handle(TimerFired(timer.token)))} == {1, 3}


def test_route_caps_only_lower_limits_and_client_timeouts_are_still_learned() -> None:
    driver = driver_with(Route(max_attempts=2, deadline_us=100_000), Route(max_attempts=9, deadline_us=10**9))
    plain = Driver(servers=12)
    name, actions = driver.arrive(route=1)
    _, unrouted = plain.arrive()
    assert sends(actions)[0].timeout_us == 100_000 and sends(unrouted)[0].timeout_us == 400_000
    assert driver.balancer.requests[name].aim_us == START_US + 100_000
    assert driver.balancer.client_timeouts == plain.balancer.client_timeouts
    retry = driver.end(name, sent_to(actions), Outcome.CONNECT_FAILED)
    assert len(sends(retry)) == 1
    assert finals(driver.end(name, sent_to(retry), Outcome.CONNECT_FAILED, attempt=1)) == [Refuse(name)]
    name, actions = driver.arrive(route=2)
    assert sends(actions)[0].timeout_us == 400_000
    assert driver.balancer.requests[name].max_attempts == SETTINGS.max_attempts


def test_a_fleet_limit_is_divided_among_proxies_rounded_up() -> None:
    driver = driver_with(Route(limit=5))
    driver.handle(Fleet((2,)))
    pending = [driver.arrive(route=1) for _ in range(3)]
    name, actions = driver.arrive(route=1)
    assert actions == [Refuse(name)] and name not in driver.balancer.requests
    assert len(sends(driver.arrive()[1])) == 1  # requests without a route do not count
    driver.handle(Plan({1: Route(limit=9)}))  # pending requests still count under another plan
    assert len(sends(driver.arrive(route=1)[1])) == 1
    driver.handle(Plan({1: Route(limit=5)}))
    driver.end(pending[0][0], sent_to(pending[0][1]))
    assert driver.balancer.pending_by_route[1] == 3 and finals(driver.arrive(route=1)[1])
    driver.end(pending[1][0], sent_to(pending[1][1]))
    assert len(sends(driver.arrive(route=1)[1])) == 1


def test_a_pending_request_keeps_its_route_through_a_new_plan() -> None:
    driver = driver_with(Route((Target(ODD),), max_attempts=2))
    name, actions = driver.arrive(route=1)
    driver.handle(Plan({1: Route((Target(EVEN),), max_attempts=1)}))
    assert sent_to(driver.end(name, sent_to(actions), Outcome.CONNECT_FAILED)) % 2 == 1
    assert sent_to(driver.arrive(route=1)[1]) % 2 == 0


def test_a_route_missing_from_the_plan_is_logged_and_restricts_nothing() -> None:
    driver, plain = driver_with(Route((Target(ODD),))), Driver(servers=12)
    (_, actions), (_, unrouted) = driver.arrive(route=7), plain.arrive()
    assert actions == [Log("route 7 is not in the plan; its requests go as if there were none"), *unrouted]


def test_target_servers_are_cached_per_ranking() -> None:
    driver = driver_with(Route((Target(ODD),)), Route((Target(replace(ODD)),)))
    driver.arrive(route=1)
    (ranked,) = driver.balancer.ranked_by_selector.values()
    driver.arrive(route=2)
    # Equal selectors share one ranking.
    assert [id(r) for r in driver.balancer.ranked_by_selector.values()] == [id(ranked)]
    driver.list_servers(ListedServer(50, group=1), kind=ListKind.DELTA)
    driver.arrive(route=1)
    assert len(driver.balancer.ranked_by_selector[ODD]) == len(ranked) + 1
    driver.handle(Plan())
    assert not driver.balancer.ranked_by_selector


def test_requests_without_a_route_are_unaffected_by_the_plan() -> None:
    planned, plain = driver_with(Route((Target(ODD, 0.5), Target(REST, 0.5)))), Driver(servers=12)
    for turn in range(500):
        (name, actions), (_, unrouted) = planned.arrive(turn % 3), plain.arrive(turn % 3)
        assert actions == unrouted
        outcome = (Outcome.OK, Outcome.OK, Outcome.ERROR)[turn // 2 % 3]
        if sends(actions):
            server = sent_to(actions)
            assert planned.end(name, server, outcome) == plain.end(name, server, outcome)


def test_a_cold_server_of_a_small_target_shares_its_budget_among_all_proxies() -> None:
    """With three servers in the target each of 60 proxies uses all; with 60 servers, few proxies use each."""
    settings = replace(SETTINGS, proxies=60, warm_after_us=8_000_000, start_capacity=0.1)
    driver = Driver(settings, servers=0)
    driver.list_servers(*(ListedServer(n, group=int(n < 3)) for n in range(60)))
    driver.handle(Plan({1: Route((Target(ODD),))}))
    of_all_us, of_few_us = fall_budget_us(driver.balancer), fall_budget_us(driver.balancer, 3)
    assert of_all_us / of_few_us == pytest.approx(60 / MIN_SUBSET_SIZE)
    (routed, _), (plain, _) = driver.arrive(route=1), driver.arrive()
    assert driver.balancer.requests[routed].pool_size == 3 and driver.balancer.requests[plain].pool_size == 60


def test_an_unknown_class_fails_regardless_of_route() -> None:
    driver = driver_with(Route(limit=1))
    name, actions = driver.arrive(klass=9, route=1)
    assert finals(actions) == [Fail(name)] and not driver.balancer.pending_by_route
