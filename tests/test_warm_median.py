"""Warm start: one wrong answer moves no value beyond those of the correct ones."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperdrift.interface import LearnedBreaker, LearnedServer, LearnedState, ListedServer, Restore
from caperdrift.policy.breaker import State
from cloverkeel.fleet.warm.median import combine, validate
from tests.helpers import Driver

OPEN = LearnedBreaker((True,) * 20, "open", 3_000_000, 4_000_000)
HEALTHY = LearnedBreaker((False,) * 20, "closed", 0, 1_000_000)
HOSTS = 4

breakers = st.builds(
    LearnedBreaker,
    st.lists(st.booleans(), max_size=20).map(tuple),
    st.sampled_from(["closed", "open", "half-open"]),
    st.integers(0, 10**9),
    st.integers(0, 10**9),
)
weights = st.floats(0.0, 1e9)
class_states = st.dictionaries(st.integers(0, 2), st.tuples(weights, breakers), max_size=3).map(
    lambda by_class: tuple((klass, weight, breaker) for klass, (weight, breaker) in by_class.items())
)
servers = st.builds(
    LearnedServer, st.integers(0, HOSTS), st.just(0), weights, weights, breakers, class_states
)
latencies = st.lists(st.floats(0.0, 1e9), max_size=3).map(tuple)
learned = st.builds(
    LearnedState, st.lists(servers, max_size=6, unique_by=lambda s: s.server).map(tuple), latencies, latencies
)


def correct_answer(weight: float, *open_hosts: int) -> LearnedState:
    servers_learned = (
        LearnedServer(n, 0, weight, 1.0, OPEN if n in open_hosts else HEALTHY, ((0, weight, HEALTHY),))
        for n in range(HOSTS)
    )
    return LearnedState(tuple(servers_learned), (20_000.0,), (10_000.0,))


@settings(max_examples=60, deadline=None)
@given(learned, st.floats(0.3, 0.6), st.floats(0.6, 1.0), st.integers(0, 2))
def test_one_wrong_answer_of_three_opens_no_breaker_and_moves_no_weight(
    wrong_answer: LearnedState, low: float, high: float, position: int
) -> None:
    answers = [correct_answer(low), correct_answer(high)]
    answers.insert(position, validate(wrong_answer))
    combined = combine(answers)
    assert combined is not None
    driver = Driver(servers=0)
    driver.list_servers(*(ListedServer(n) for n in range(HOSTS + 1)))
    driver.handle(Restore(combined))
    for number in range(HOSTS):
        server = driver.balancer.servers[number]
        assert low <= server.weight <= high
        for breaker in (server.breaker, *(part.breaker for part in server.by_class.values())):
            assert breaker.state is State.CLOSED and not any(breaker.ring)
    # A host that only the wrong answer knows is as if it were in no answer.
    only = driver.balancer.servers[HOSTS]
    assert only.breaker.state is State.CLOSED and not only.breaker.ring and only.weight == 1.0


@settings(max_examples=60, deadline=None)
@given(st.lists(learned, min_size=1, max_size=3))
def test_weights_stay_in_bounds_and_a_single_answer_opens_no_breaker(
    answers: list[LearnedState],
) -> None:
    combined = combine([validate(answer) for answer in answers])
    assert combined is not None
    for server in combined.servers:
        assert all(0.05 <= w <= 1.0 for w in (server.weight, *(w for _, w, _ in server.by_class)))
        reports = [s for a in answers for s in a.servers if s.server == server.server]
        if server.breaker.state == "open":
            assert sum(s.breaker.state != "closed" for s in reports) * 2 > len(reports) > 1
        if len(answers) == 1:
            assert all(
                not b.ring and b.state == "closed"
                for b in (server.breaker, *(b for *_, b in server.by_class))
            )


def test_a_breaker_open_in_most_answers_is_open_for_the_median_time_left() -> None:
    combined = combine([correct_answer(0.5, 1), correct_answer(0.6, 1), correct_answer(0.7)])
    assert combined is not None
    by_number = {server.server: server for server in combined.servers}
    assert by_number[1].breaker == LearnedBreaker((), "open", 3_000_000, 4_000_000)
    assert by_number[0].breaker == replace(HEALTHY, cooldown_us=0) and by_number[0].weight == 0.6
    assert combined.smoothed_us == (20_000.0,) and combine([]) is None


SERVER = correct_answer(0.5).servers[0]


@pytest.mark.parametrize(
    "bad",
    [
        LearnedState((replace(SERVER, weight=math.nan),), (), ()),
        LearnedState((replace(SERVER, idle=math.inf),), (), ()),
        LearnedState((replace(SERVER, weight=-1.0),), (), ()),
        LearnedState((SERVER, SERVER), (), ()),
        LearnedState((replace(SERVER, by_class=SERVER.by_class * 2),), (), ()),
        LearnedState((replace(SERVER, breaker=replace(HEALTHY, open_left_us=-1)),), (), ()),
        LearnedState((replace(SERVER, breaker=replace(HEALTHY, ring=(True,) * 2000)),), (), ()),
        LearnedState((), (math.nan,), ()),
        LearnedState(tuple(replace(SERVER, server=n) for n in range(10_001)), (), ()),
    ],
)
def test_an_impossible_learned_state_is_refused(bad: LearnedState) -> None:
    with pytest.raises(ValueError):
        validate(bad)
