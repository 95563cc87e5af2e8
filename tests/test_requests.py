"""Regression tests of the balancer: requests, subsets, load shedding, cold servers and lists."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from itertools import pairwise

import pytest

from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver, finals, sends, timers, trip
from caperdrift.interface import (
    Cancel,
    Fail,
    ListedServer,
    ListKind,
    Log,
    Outcome,
    Prices,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestGone,
    Scope,
    ServerList,
    ServerStatus,
    Settings,
    StreamStarted,
    Tenant,
    TimerFired,
    WatchList,
)
from caperdrift.policy.admission import tenant_excess
from caperdrift.policy.breaker import State
from caperdrift.policy import choice
from caperdrift.policy.balancer import Balancer
from caperdrift.policy.choice import draw_weight, is_unresponsive
from caperdrift.policy.proxy import LOG_INTERVAL_US, OVERDUE_FACTOR, MIN_SUBSET_SIZE
from caperdrift.policy.servers import Server
from caperdrift.policy.shedding import SHED_STEP


def subset(balancer: Balancer, klass: int) -> list[Server]:
    return choice.subset(balancer, klass, balancer.ranked)


def test_an_unsafe_request_that_may_have_run_fails_without_retry() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=2)
    answer = driver.end(name, sends(actions)[0].server, Outcome.RESET)
    assert finals(answer) == [Fail(name)] and not sends(answer)


def test_an_unsafe_request_that_never_ran_is_retried_on_another_server() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=2)
    first = sends(actions)[0].server
    retries = sends(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(retries) == 1 and retries[0].server != first


def test_a_keyed_retry_stays_in_its_group_and_deduplication_window() -> None:
    driver = Driver(servers=6)
    name, actions = driver.arrive(klass=1)
    first = sends(actions)[0].server
    retries = sends(driver.end(name, first, Outcome.RESET))
    assert retries[0].server % 2 == first % 2
    name, actions = driver.arrive(klass=1)
    driver.now_us += KEYED.window_us
    assert finals(driver.end(name, sends(actions)[0].server, Outcome.RESET)) == [Fail(name)]


def test_a_keyed_request_with_scope_all_is_refused_after_an_error() -> None:
    any_scope = replace(KEYED, scope=Scope.ALL)
    driver = Driver(replace(SETTINGS, classes=(any_scope,), max_attempts=1))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].server, Outcome.ERROR)) == [Refuse(name)]


def test_attempts_are_limited_to_max_attempts() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), servers=5)
    name, actions = driver.arrive()
    retries = sends(driver.end(name, sends(actions)[0].server, Outcome.ERROR))
    assert finals(driver.end(name, retries[0].server, Outcome.ERROR, attempt=1)) == [Refuse(name)]


def test_an_overdue_attempt_is_hedged_and_the_slower_one_cancelled() -> None:
    driver = Driver()
    driver.balancer.smoothed_us[0] = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].server
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_FACTOR * 20_000)
    driver.now_us = timer.due_us
    hedge = sends(driver.handle(TimerFired(timer.token)))[0]
    assert hedge.server != first
    assert driver.end(name, hedge.server, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    assert driver.balancer.servers[first].breaker.failures == 1  # it was overdue, so it counts as a failure
    assert not driver.balancer.requests


def test_no_hedge_where_hedging_is_disabled() -> None:
    driver = Driver(replace(SETTINGS, second_copies=False))
    driver.balancer.smoothed_us[0] = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_unsafe_request_is_not_used_as_a_trial() -> None:
    driver = Driver(servers=2)
    breaker = driver.balancer.servers[0].breaker
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.arrive(klass=2)[1])[0].server == 1


def test_an_unresponsive_server_gets_no_more_requests() -> None:
    driver = Driver(servers=1)
    driver.arrive(klass=2)
    driver.now_us += int(OVERDUE_FACTOR * max(driver.balancer.smoothed_us)) + 1
    assert not sends(driver.arrive(klass=2)[1])


def test_a_request_with_little_work_does_not_hide_an_unresponsive_server() -> None:
    """Its latency divided by its small relative work was seconds, which raised all expected latencies."""
    driver = Driver()
    for work_us in [1_000] * 20 + [1] * 3:
        name, actions = driver.arrive(work_us=work_us)
        driver.end(name, sends(actions)[0].server, latency_us=20_000)
    _, actions = driver.arrive(work_us=1_000)
    driver.now_us += 350_000
    _, others = driver.arrive()
    assert is_unresponsive(driver.balancer, driver.balancer.servers[sends(actions)[0].server])
    assert sends(others)[0].server != sends(actions)[0].server


def test_a_refusal_carries_the_shortest_cooldown_when_all_breakers_are_open() -> None:
    driver = Driver(servers=2)
    for number, server in driver.balancer.servers.items():
        trip(server.breaker, driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.arrive()
    assert finals(actions) == [Refuse(name, 600_000)]


ORDERED = replace(SETTINGS, classes=(replace(UNSAFE, in_order=True),), key_rest_us=50_000)


def test_requests_of_a_key_are_sent_in_order() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(key=7, client_timeout_us=900_000)
    server = sends(actions)[0].server
    second, actions = driver.arrive(key=7, client_timeout_us=900_000)
    assert not sends(actions) and not finals(actions)
    assert sends(driver.arrive(key=8)[1])
    (send,) = sends(driver.end(first, server))
    assert send.request == second
    third = driver.arrive(key=7, client_timeout_us=900_000)[0]
    driver.now_us += 10_000
    assert finals(driver.end(second, send.server, Outcome.RESET)) == [Fail(second)]
    rest = driver.timers[-1]
    assert rest.due_us == driver.now_us + 50_000
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request == third
    driver.end(third, send.server)
    assert not driver.balancer.key_queues.get(7)


def test_a_request_id_reused_while_its_key_rests_is_answered() -> None:
    """The timer at the end of the rest removed the new request of that ID, which was then never answered."""
    driver = Driver(ORDERED)
    name, actions = driver.arrive(key=7, client_timeout_us=900_000)
    driver.end(name, sends(actions)[0].server, Outcome.RESET)
    rest = driver.timers[-1]
    assert not sends(driver.handle(RequestArrived(name, 0, 900_000, 7)))
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request == name and name in driver.balancer.requests
    driver.end(name, send.server)
    assert not driver.balancer.requests and not driver.balancer.key_queues and not driver.balancer.in_flight


def test_requests_that_a_key_queue_cannot_serve_in_time_are_refused() -> None:
    """A request that was refused a place in the key queue was sent out of order all the same."""
    driver = Driver(ORDERED)
    results = [driver.arrive(key=7, client_timeout_us=400_000)[1] for _ in range(30)]
    refused = [actions for actions in results if finals(actions)]
    assert len(refused) > 20 and sum(len(sends(actions)) for actions in results) == 1
    waiting = driver.timers[-1]
    driver.now_us = waiting.due_us
    assert finals(driver.handle(TimerFired(waiting.token)))


def test_full_counts_as_may_have_run_with_full_unproven() -> None:
    for unproven in (True, False):
        driver = Driver(replace(SETTINGS, full_unproven=unproven))
        name, actions = driver.arrive(klass=2)
        answer = driver.end(name, sends(actions)[0].server, Outcome.FULL)
        assert (finals(answer) == [Fail(name)]) == unproven
        assert bool(sends(answer)) != unproven


def test_a_server_failing_one_class_still_serves_other_classes() -> None:
    """Half the servers rejected one class; opening breakers for whole servers excluded half the fleet."""
    driver = Driver(servers=2)
    name, actions = driver.arrive(klass=2)
    bad = sends(actions)[0].server
    driver.end(name, bad)
    server = driver.balancer.servers[bad]
    while server.breaker.state is State.CLOSED and server.class_state(0).breaker.state is State.CLOSED:
        name, actions = driver.arrive(klass=0)
        first = sends(actions)[0].server
        outcome = Outcome.FULL if first == bad else Outcome.OK
        for retry in sends(driver.end(name, first, outcome)):
            driver.end(name, retry.server, attempt=1)
    assert server.breaker.state is State.CLOSED and server.breaker.failures == 0
    assert server not in subset(driver.balancer, 0) and server in subset(driver.balancer, 2)
    assert driver.balancer.shed_high_value == 0.0


def test_failures_of_all_classes_count_against_the_server() -> None:
    driver = Driver(servers=1)
    for klass in (2, 1, 0, 2, 1):
        name, actions = driver.arrive(klass=klass)
        if sends(actions):
            driver.end(name, 0, Outcome.ERROR)
    assert driver.balancer.servers[0].breaker.failures >= 3


def test_a_timeout_sheds_like_a_slow_response_but_less_if_it_was_at_the_target() -> None:
    """Lost connections led to shedding, and the connections that idled because of it were lost as well."""
    shed = []
    cut = replace(SAFE, late_worth=0.0)
    for klass, outcome, latency_us in (
        (SAFE, Outcome.TIMEOUT, 390_000),
        (SAFE, Outcome.OK, 390_000),
        (cut, Outcome.TIMEOUT, 190_000),
        (cut, Outcome.OK, 10_000),
    ):
        driver = Driver(replace(SETTINGS, classes=(klass,)))
        name, actions = driver.arrive()
        driver.balancer.smoothed_us[0] = driver.balancer.baseline_us[0] = 50_000.0
        driver.balancer.shed_updated_us = driver.now_us
        driver.end(name, sends(actions)[0].server, outcome, latency_us=latency_us)
        shed.append(driver.balancer.shed_high_value)
    assert shed[0] == shed[1] > shed[2] > shed[3] == 0.0


@pytest.mark.parametrize("client_timeout_us", [0, 1, 40])
@pytest.mark.parametrize("klass", [0, 1, 2])
def test_a_request_with_a_tiny_timeout_gets_exactly_one_answer(klass: int, client_timeout_us: int) -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=klass, client_timeout_us=client_timeout_us)
    answers = finals(actions)
    for send in sends(actions):
        assert 0 < send.timeout_us <= max(1, client_timeout_us)
        driver.now_us += send.timeout_us
        answers += finals(driver.end(name, send.server, Outcome.TIMEOUT))
    assert len(answers) == 1 and not driver.balancer.requests


@pytest.mark.parametrize("scope", list(Scope))
def test_a_keyed_retry_stays_in_scope_and_ends_with_the_deduplication_window(scope: Scope) -> None:
    """The deduplication window runs from the first attempt that may have run, to the microsecond."""
    for late in (0, 1):
        klass = replace(KEYED, scope=scope)
        driver = Driver(replace(SETTINGS, classes=(klass,)), servers=0)
        driver.list_servers(*(ListedServer(n, zone=n % 2, group=n % 3) for n in range(12)))
        name, actions = driver.arrive(client_timeout_us=700_000)
        first = sends(actions)[0].server
        driver.now_us += KEYED.window_us - 1 + late
        retries = sends(driver.end(name, first, Outcome.RESET))
        assert len(retries) == 1 - late
        if retries and scope is Scope.ZONE:
            assert retries[0].server % 2 == first % 2
        if retries and scope is Scope.GROUP:
            assert retries[0].server % 3 == first % 3


def test_a_tenant_over_its_share_is_shed_first() -> None:
    """The clients of one tenant retried without limit, and requests of all tenants were refused alike."""
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, over_share_worth=0.1), servers=9)
    refused = [0, 0]
    for n in range(600):
        driver.balancer.shed_low_value = driver.balancer.shed_high_value = 0.1 * (n > 200)
        tenant = int(n % 10 == 0)
        name, actions = driver.arrive(klass=0, tenant=tenant)
        refused[tenant] += bool(finals(actions))
        for send in sends(actions):
            driver.end(name, send.server)
    assert refused[0] > 60 and refused[1] <= 20
    assert tenant_excess(driver.balancer, 1) <= 0.0 < tenant_excess(driver.balancer, 0)
    assert tenant_excess(driver.balancer, 7) == 0.0


def test_without_servers_requests_are_refused() -> None:
    driver = Driver(servers=0)
    name, actions = driver.arrive(klass=2)
    assert finals(actions) == [Refuse(name)]


def test_a_client_disconnect_cancels_the_request() -> None:
    driver = Driver(replace(SETTINGS, attempts_per_connection=100))
    name, actions = driver.arrive()
    assert driver.handle(RequestGone(name)) == [Cancel(name, 0)]
    assert not finals(driver.end(name, sends(actions)[0].server, Outcome.CANCELLED))
    assert not driver.balancer.requests


def test_timers_have_no_effect_on_a_streamed_response() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, sends(actions)[0].server)
    assert not driver.balancer.requests


def test_a_duplicate_request_id_is_ignored_while_pending() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not sends(actions) and not finals(actions)


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.arrive(klass=7)[1], driver.arrive(klass=7)[1]
    driver.now_us += LOG_INTERVAL_US
    third = driver.arrive(klass=7)[1]
    assert [sum(isinstance(a, Log) for a in actions) for actions in (first, second, third)] == [1, 0, 1]


def test_servers_in_other_zones_are_drawn_less_by_the_cross_zone_price() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), servers=0)
    driver.list_servers(ListedServer(1, zone=0), ListedServer(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].server == 1
        driver.end(name, sends(actions)[0].server)
    assert 130 < to_home < 190


def test_requests_of_a_key_prefer_one_server_while_it_has_capacity() -> None:
    driver = Driver(replace(SETTINGS, warm_keys=True), servers=8)
    used: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        server = sends(actions)[0].server
        used[server] = used.get(server, 0) + 1
        driver.end(name, server)
    assert max(used.values()) > 50 and len(used) > 1


def test_a_request_of_an_unknown_class_fails() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=7)
    assert finals(actions) == [Fail(name)]


def test_a_draining_or_gone_server_gets_no_new_requests() -> None:
    driver = Driver(servers=3)
    driver.list_servers(
        ListedServer(0, ServerStatus.DRAINING), ListedServer(1, ServerStatus.GONE), kind=ListKind.DELTA
    )
    for _ in range(4):
        assert sends(driver.arrive()[1])[0].server == 2


def test_a_full_list_removes_missing_servers_and_a_restart_resets_the_breaker() -> None:
    driver = Driver(servers=3)
    driver.balancer.servers[1].breaker.record(0, True, 0, 0.0)
    driver.list_servers(ListedServer(1, started_us=driver.now_us))
    assert list(driver.balancer.servers) == [1]
    assert driver.balancer.servers[1].breaker.failures == 0


def test_the_list_is_watched_and_the_watch_retried_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, list_is_pushed=False), servers=0)
    (timer,) = timers(driver.list_servers(ListedServer(1), kind=ListKind.DISK))
    # Jitter spreads the calls of the proxies.
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.must_ask_within_us / 5
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [WatchList()]
    for _ in range(8):
        (timer,) = timers(driver.handle(ServerList(ListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.must_ask_within_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [WatchList()]
    assert list(driver.balancer.servers) == [1]


def test_no_state_of_finished_requests_is_kept() -> None:
    driver = Driver(servers=4)
    for n in range(3_000):
        name, actions = driver.arrive(klass=n % 3)
        for send in sends(actions):
            driver.end(name, send.server, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_servers(*(ListedServer(n + i) for i in range(4)))
        for request in list(driver.balancer.requests):
            driver.handle(RequestGone(request))
            for i in range(3):
                driver.end(request, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.requests and len(balancer.servers) == 4
    assert not balancer.timers
    assert len(balancer.ranked) == 4 and balancer.in_flight == 0


def test_the_clock_does_not_go_back() -> None:
    driver = Driver()
    driver.balancer.handle(driver.now_us, RequestGone("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, RequestGone("none"))
    assert driver.balancer.now_us == driver.now_us


NAN = float("nan")


@pytest.mark.parametrize(
    "bad", [{"aim_us": 0}, {"give_up_us": -1}, {"window_us": -1}, {"worth": NAN}, {"late_worth": 1.5}]
)
def test_invalid_classes_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        RequestClass(**{"aim_us": 1, "give_up_us": 1, **bad})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "bad",
    [
        {"classes": ()},
        {"proxies": 0},
        {"proxy": 1},
        {"warm_after_us": -1},
        {"max_attempts": 0},
        {"fall_us": 0},
        {"fall_multiple": NAN},
        {"start_capacity": 1.2},
        {"key_rest_us": -1},
    ],
)
def test_invalid_settings_are_rejected(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        replace(SETTINGS, **bad)  # type: ignore[arg-type]


def test_a_proxy_with_few_answers_sheds_as_early_as_a_busy_one() -> None:
    """Each of 850 proxies saw only three answers in the five seconds in which the fleet became overloaded."""
    shed = []
    for gap_us in (100_000, 1_500_000):
        driver = Driver()
        name, actions = driver.arrive(klass=2)
        driver.balancer.shed_updated_us = driver.now_us
        driver.now_us += gap_us
        driver.end(name, sends(actions)[0].server, latency_us=290_000)
        shed.append(driver.balancer.shed_low_value)
    assert shed[1] >= 2 * shed[0] > 0


def test_unsafe_is_the_default_effect() -> None:
    assert RequestClass(aim_us=1, give_up_us=1).effect is UNSAFE.effect


def test_a_proxy_uses_only_its_subset() -> None:
    """Hundreds of proxies that used every server filled the connection tables: 90% of attempts got none."""
    used: set[int] = set()
    driver = Driver(replace(SETTINGS, proxies=300, proxy=5), servers=60)
    for _ in range(300):
        name, actions = driver.arrive()
        used.add(sends(actions)[0].server)
        driver.end(name, sends(actions)[0].server)
    assert len(used) <= MIN_SUBSET_SIZE + 1


def test_subsets_are_even_and_change_little_with_the_list() -> None:
    """With subsets drawn at random, equal servers were used by one to twenty-one proxies."""
    used: Counter[int] = Counter()
    for proxy in range(40):
        driver = Driver(replace(SETTINGS, proxies=40, proxy=proxy), servers=60)
        before = {server.entry.server for server in subset(driver.balancer, 0)}
        used.update(before)
        driver.list_servers(ListedServer(3, ServerStatus.GONE), ListedServer(60), kind=ListKind.DELTA)
        after = {server.entry.server for server in subset(driver.balancer, 0)}
        assert len(before) == len(after) == MIN_SUBSET_SIZE and len(after - before) <= 2
    assert sorted(used) == list(range(60))
    assert max(used.values()) <= 2 * 40 * MIN_SUBSET_SIZE / 60


def test_a_proxy_with_more_in_flight_uses_a_larger_subset() -> None:
    """A proxy with a fifth of all traffic would overload the few servers of a fixed subset."""
    driver = Driver(replace(SETTINGS, proxies=300), servers=60)
    used = {sends(driver.arrive(klass=2)[1])[0].server for _ in range(40)}
    assert len(used) > 3 * MIN_SUBSET_SIZE


def test_an_open_server_is_replaced_in_the_subset_by_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, proxies=300), servers=60)
    before = subset(driver.balancer, 0)
    trip(before[0].breaker, driver.now_us)
    after = subset(driver.balancer, 0)
    assert before[0] not in after and after[: len(before) - 1] == before[1:] and len(after) == len(before)


def test_two_consecutive_failed_connects_open_the_breaker() -> None:
    """Where one connection in twelve broke, each single failure excluded a server for a second or more."""
    driver = Driver(servers=1)
    breaker = driver.balancer.servers[0].breaker
    for outcome in (Outcome.CONNECT_FAILED, Outcome.OK, Outcome.CONNECT_FAILED):
        driver.end(driver.arrive()[0], 0, outcome)
        assert breaker.allow(driver.now_us)
    driver.end(driver.arrive()[0], 0, Outcome.CONNECT_FAILED)
    assert not breaker.allow(driver.now_us)


COLD = replace(
    SETTINGS, start_capacity=0.2, warm_after_us=20_000_000, fall_multiple=3.0, fall_us=1_000_000, proxies=40
)


def test_all_proxies_together_keep_within_a_cold_servers_budget() -> None:
    """Each proxy sent its one allowed request as soon as a server was listed, forty at once."""
    work_us = [0.0] * 20  # per half second
    for proxy in range(40):
        driver = Driver(replace(COLD, proxy=proxy), servers=0, seed=proxy)
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        for step in range(1_000):
            name, actions = driver.arrive()
            if sends(actions):
                work_us[step // 50] += driver.balancer.baseline_us[0]
                driver.end(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def test_a_server_with_a_start_time_in_the_future_can_be_used() -> None:
    """With `warm_after_us` 0 the balancer divided by zero for such a server, and the request failed."""
    driver = Driver(replace(SETTINGS, warm_after_us=0), servers=0)
    driver.list_servers(ListedServer(1, started_us=driver.now_us + 1_000))
    assert [action.server for action in sends(driver.arrive()[1])] == [1]


def test_a_cold_server_is_charged_the_hinted_work_not_queueing_time() -> None:
    """Estimated from answers that include waiting, work seemed five times as much: cold servers idled."""
    sent = []
    for work_us in (10_000, 0):
        driver = Driver(COLD, servers=0)
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        sent.append(0)
        for _ in range(1_000):
            name, actions = driver.arrive(work_us=work_us)
            if sends(actions):
                sent[-1] += 1
                driver.end(name, 1, latency_us=50_000)
            driver.now_us += 10_000
    hinted, unhinted = sent
    assert hinted > 3 * unhinted > 0


def test_a_server_that_starts_during_overload_is_used_soon() -> None:
    """Waiting time counted as work already sent to a new server, which therefore idled for seconds."""
    soon = 0
    for proxy in range(40):
        driver = Driver(replace(COLD, proxy=proxy), servers=0, seed=proxy)
        driver.balancer.smoothed_us = [1_000_000.0] * 3
        driver.balancer.mean_work_us = [10_000.0] * 3
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        driver.now_us += 4 * COLD.fall_us
        soon += bool(sends(driver.arrive(work_us=10_000)[1]))
    assert soon > 20


def test_a_cold_server_outside_the_reach_is_not_used() -> None:
    """Otherwise all proxies that replace failing servers would use the same cold one."""
    driver = Driver(replace(COLD, proxies=300), servers=60)
    last = driver.balancer.ranked[-1].entry.server
    for server in driver.balancer.ranked[:-1]:
        trip(server.breaker, driver.now_us)
    driver.list_servers(ListedServer(last, started_us=driver.now_us - 1), kind=ListKind.DELTA)
    assert subset(driver.balancer, 0) == []


def test_a_class_without_late_worth_times_out_at_its_target_latency() -> None:
    """Attempts that ran until the client's timeout filled the servers' queues with work of no worth."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_worth=0.0), SAFE)))
    assert sends(driver.arrive(klass=0)[1])[0].timeout_us < SAFE.aim_us
    assert sends(driver.arrive(klass=1)[1])[0].timeout_us > SAFE.aim_us


def test_subset_size_depends_on_the_number_of_gateways() -> None:
    """Forty gateways with nine attempts in flight each used twelve servers, each of them once a second."""
    for proxies, count, reached in ((40, 60, 7), (3, 13, 13)):
        driver = Driver(replace(SETTINGS, proxies=proxies), servers=count)
        for _ in range(9):
            driver.arrive()
        assert len(subset(driver.balancer, 0)) == reached


def test_a_server_with_a_lasting_low_listed_weight_leaves_the_subset() -> None:
    """With a fixed rank, some servers stayed idle while others were overloaded."""
    driver = Driver(replace(SETTINGS, proxies=40), servers=60)
    member = subset(driver.balancer, 0)[0]
    for weight, lists, kept in ((0.1, 1, True), (0.1, 20, False), (1.0, 40, True)):
        for _ in range(lists):
            driver.list_servers(ListedServer(member.entry.server, weight=weight), kind=ListKind.DELTA)
        assert (member in subset(driver.balancer, 0)) is kept


def test_a_cold_server_is_used_by_as_many_proxies_as_share_its_budget() -> None:
    """With a lower rank while cold, only a third of the proxies that had a share of its budget used it."""
    users = 0
    for proxy in range(200):
        driver = Driver(replace(COLD, proxies=200, proxy=proxy), servers=59)
        driver.list_servers(ListedServer(59, started_us=driver.now_us), kind=ListKind.DELTA)
        users += any(s.entry.server == 59 for s in subset(driver.balancer, 0))
    assert 0.75 < users / (200 * MIN_SUBSET_SIZE / 60) < 1.5


def test_subsets_stay_even_while_servers_drain() -> None:
    """When a third drained in a release, some servers had three times the proxies of others and timed out."""
    users: Counter[int] = Counter()
    for proxy in range(200):
        driver = Driver(replace(SETTINGS, proxies=200, proxy=proxy), servers=60)
        by_hash = sorted(driver.balancer.servers.values(), key=lambda s: s.hash)
        drained = [ListedServer(s.entry.server, status=ServerStatus.DRAINING) for s in by_hash[10:30]]
        driver.list_servers(*drained, kind=ListKind.DELTA)
        users.update(s.entry.server for s in subset(driver.balancer, 0))
    mean = 200 * MIN_SUBSET_SIZE / 40
    assert len(users) == 40 and max(users.values()) < 1.5 * mean and min(users.values()) > mean / 1.5


def test_servers_with_zero_weight_or_capacity_are_ranked() -> None:
    """Either raised an exception: the rank is divided by a server's zone factor, capacity and idleness."""
    driver = Driver(replace(COLD, start_capacity=0.0), servers=0)
    cold = ListedServer(2, started_us=driver.now_us)
    driver.list_servers(ListedServer(1, weight=0.0), cold, ListedServer(3))
    assert {server.entry.server for server in driver.balancer.ranked} == {1, 2, 3}
    assert sends(driver.arrive()[1])[0].server == 3


def test_an_attempt_in_flight_outweighs_a_fivefold_listed_weight() -> None:
    """Listed weights are delayed and equal for all proxies: all sent more to idle or hung servers."""
    driver = Driver(servers=0)
    driver.list_servers(ListedServer(0, weight=1.0))
    name, _ = driver.arrive(klass=2)
    driver.list_servers(ListedServer(1, weight=0.2), kind=ListKind.DELTA)
    balancer = driver.balancer
    busy, free = (draw_weight(balancer, s, balancer.requests[name]) for s in balancer.servers.values())
    assert free > busy > 0.0


def test_high_latency_sheds_the_lowest_worth_first_until_latency_falls() -> None:
    low_worth = replace(SAFE, worth=1.0)
    high_worth = replace(SAFE, worth=10.0)
    driver = Driver(Settings(classes=(low_worth, high_worth)))
    for number in range(100):
        driver.balancer.offered[number % 2] += 1
        driver.balancer.served[number % 2] += 1
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(round(0.3 / SHED_STEP)):
            name, actions = driver.arrive(klass=1)
            driver.balancer.shed_updated_us = driver.now_us
            driver.end(name, sends(actions)[0].server, latency_us=latency_us)
            driver.now_us += 4_000_000
        refused = []
        # Shedding expires without recent answers: see test_shedding.
        driver.balancer.shed_updated_us = driver.now_us
        for klass in (0, 1):
            name, actions = driver.arrive(klass=klass)
            refused.append(bool(finals(actions)))
            if sends(actions):
                driver.handle(RequestGone(name))
                driver.end(name, sends(actions)[0].server, Outcome.CANCELLED)
        assert refused == shed


def test_no_hedge_or_retry_of_what_may_have_run_while_shedding() -> None:
    """Retries and hedges of 300 proxies doubled the work during overload, which then never ended."""
    driver = Driver()
    driver.balancer.shed_low_value = SHED_STEP
    driver.balancer.random.seed(1)
    name, actions = driver.arrive(klass=0)
    while not sends(actions):
        name, actions = driver.arrive(klass=0)
    driver.balancer.shed_low_value = SHED_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].server, Outcome.TIMEOUT))


def test_a_longer_timeout_of_last_tries_does_not_make_first_tries_late() -> None:
    """Clients give their last try all the time left: first tries, with less, were refused as late."""
    late = replace(SAFE, late_worth=0.0)
    for marks in (True, False):
        driver = Driver(replace(SETTINGS, classes=(late,), marks_retry=marks))
        for n in range(30):
            client_timeout_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.arrive(client_timeout_us=client_timeout_us, is_retry=marks and n % 5 == 4)
            (send,) = sends(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end(name, send.server)


def test_a_server_keeps_the_weight_it_had_when_its_breaker_opened() -> None:
    """Late outcomes and failed trials cut the weight that a server has when its breaker closes again."""
    driver = Driver(servers=1)
    server = driver.balancer.servers[0]
    names = [driver.arrive(klass=2)[0] for _ in range(2)]
    trip(server.breaker, driver.now_us)
    weight = server.weight
    driver.end(names[0], 0, Outcome.ERROR)  # sent before the breaker opened
    assert server.weight == weight
    driver.now_us = server.breaker.open_until_us
    driver.end(names[1], 0, Outcome.ERROR)
    assert server.weight == weight


def test_a_client_disconnect_does_not_cancel_an_attempt_on_an_unshared_connection() -> None:
    """Cancelling closed the connection, and the next request needed a new one."""
    driver = Driver(replace(SETTINGS, attempts_per_connection=1), servers=1)
    name, _ = driver.arrive()
    assert not driver.handle(RequestGone(name))
    driver.now_us += 20_000
    driver.end(name, 0)
    balancer = driver.balancer
    assert not balancer.requests and balancer.in_flight == 0
    assert list(balancer.servers[0].breaker.ring) == [False]  # and its outcome still counts


def test_an_overdue_attempt_is_cancelled_when_its_client_disconnects() -> None:
    driver = Driver(replace(SETTINGS, attempts_per_connection=1, second_copies=False), servers=1)
    name, actions = driver.arrive()
    timer = timers(actions)[0]
    driver.now_us = timer.due_us
    driver.handle(TimerFired(timer.token))
    assert driver.handle(RequestGone(name)) == [Cancel(name, 0)]
