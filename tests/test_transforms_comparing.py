"""Comparison of calls with and without a version: its statistics, and a real gateway whose hosts fail the
calls that a version changed."""

from __future__ import annotations

import asyncio
import math
import random
from contextlib import AsyncExitStack
from typing import Any

import pytest

from caperdrift.policy.breaker import COOLDOWN_US, State
from cloverkeel.config import parse
from cloverkeel.gateway import Gateway
from cloverkeel.transforms.activation.engine import CANDIDATE_SHARE, Engine, compile_checked
from cloverkeel.transforms.active_set import ActiveSet, InstalledTransform
from cloverkeel.transforms.comparison import MIN_CALLS_EACH, WINDOW_CALLS, Comparison, fisher_p_value
from tests.sockets import configuration, on_loop, peer, reply, request, running

SOURCE = 'transform mark owner o phase %s applies class transfer writes x-mark set x-mark = "%d"'


def version(number: int = 1, share: float = CANDIDATE_SHARE, clock: Any = lambda: 0) -> InstalledTransform:
    return InstalledTransform(compile_checked((SOURCE % ("request", number)).encode()), share, clock)


@pytest.mark.parametrize(
    ("numbers", "expected"),
    [((3, 4, 1, 4), 17 / 70), ((5, 5, 0, 5), 1 / 252), ((0, 5, 3, 5), 1.0), ((4, 4, 4, 4), 1.0)],
)
def test_the_p_value_is_that_of_fishers_exact_test(
    numbers: tuple[int, int, int, int], expected: float
) -> None:
    assert math.isclose(fisher_p_value(*numbers), expected)


@pytest.mark.parametrize("base", [0.01, 0.2, 0.9])
def test_a_version_is_not_stopped_if_hosts_fail_all_calls_alike(base: float) -> None:
    verdicts = 0
    for seed in range(40):
        rng, comparison = random.Random(seed), Comparison()
        for n in range(300):
            all_fail = 100 < n < 160
            failed = rng.random() < (1.0 if all_fail else base)
            verdicts += comparison.record(str(n), rng.random() < CANDIDATE_SHARE, failed)
    assert verdicts == 0


def test_a_version_that_hosts_fail_is_detected_soon_and_the_reason_has_the_numbers() -> None:
    rng, comparison = random.Random(5), Comparison()
    found = next(
        n
        for n in range(WINDOW_CALLS)
        if comparison.record(str(n), is_with := rng.random() < CANDIDATE_SHARE, is_with)
    )
    assert 2 * MIN_CALLS_EACH <= found < 60
    assert str(comparison).startswith("hosts failed ") and str(comparison).endswith(" without")
    assert ", 0 of " in str(comparison)


def test_retries_of_one_call_count_as_one_call() -> None:
    comparison = Comparison()
    for n in range(WINDOW_CALLS):
        assert not comparison.record(str(n), n % 2 == 0, False)
    assert not any(comparison.record("0", True, True) for _ in range(100))
    assert str(comparison) == "hosts failed 1 of 100 calls with it, 0 of 100 without"


def test_the_breaker_opens_again_after_trials_that_ran_but_made_hosts_fail() -> None:
    now_us = [0]
    new = version(2, clock=lambda: now_us[0])
    states: list[State] = []
    new.on_breaker_change(lambda _name, _sha256, state: states.append(state))
    active = ActiveSet(version(1, 1.0), new)
    assert active.needs_outcomes and not ActiveSet(version(1, 1.0)).needs_outcomes

    def calls(start: int, count: int) -> int:
        failures = 0
        for n in range(start, start + count):
            headers = active.request(b"transfer", b"", b"/transfer", [], f"c{n}")
            failures += (failed := headers == [(b"x-mark", b"2")])
            active.record_outcome(b"search", b"", b"/search", f"o{n}", True)  # the version does not apply
            active.record_outcome(b"transfer", b"", b"/transfer", f"c{n}", failed)
        return failures

    assert calls(0, 300) < 60 and states == [State.OPEN]
    assert new.status()["last_failure"].startswith("hosts failed") and new.counts["worse"] == 1
    now_us[0] += COOLDOWN_US
    assert calls(300, 50) <= 3 and states[-1] is State.OPEN and len(states) > 1
    new.set_share(1.0)  # active everywhere: nothing to compare it with
    assert not ActiveSet(new).needs_outcomes


@on_loop
async def test_a_candidate_gets_its_share_and_all_calls_once_it_is_active() -> None:
    gateway = Gateway(parse(configuration()))
    engine = Engine(gateway, lambda _id, _is_open: None)
    for id, phase in (("1", "request"), ("2", "request"), ("3", "response")):
        engine.install(id, "mark", compile_checked((SOURCE % (phase, 1)).encode()))

    def shares() -> list[float]:
        assert gateway.transforms is not None
        return [each.share for each in gateway.transforms.installed]

    engine.activate({"mark": "1"}, {"mark": ""})
    assert shares() == [CANDIDATE_SHARE]
    engine.activate({"mark": "1"})
    assert shares() == [1.0]
    engine.activate({"mark": "2"}, {"mark": "1"})
    assert shares() == [CANDIDATE_SHARE, 1.0]
    engine.activate({"mark": "3"}, {"mark": "1"})
    assert shares() == [1.0]  # a response transform cannot make hosts fail
    gateway.close()


@on_loop
async def test_a_version_is_stopped_if_hosts_answer_5xx_to_its_header() -> None:
    def fail_marked(exchange: Any) -> None:
        exchange.answer(reply(500 if "x-mark" in exchange.message.headers else 200))

    async with AsyncExitStack() as stack:
        # With fewer hosts, the breakers of the hosts would open first, and calls be refused for a second.
        hosts = [await stack.enter_async_context(peer(fail_marked)) for _ in range(8)]
        run = await stack.enter_async_context(running(configuration(*hosts)))
        new = version()
        run.gateway.transforms = ActiveSet(new)
        statuses: list[int] = []
        # Call ids are random, so it varies which calls the version gets, and breakers of hosts may open
        # meanwhile: calls are sent at a limited rate until the version is stopped and skipped.
        while not new.counts["skipped"]:
            statuses.append((await run.ask(request("transfer"))).status)
            await asyncio.sleep(0.005)
        assert new.counts["worse"] == 1 and new.counts["skipped"], new.status()
        # Only calls that it changed have failed; some were refused while breakers of hosts were open.
        assert 0 < statuses.count(502) <= new.counts["ran"] and set(statuses) <= {200, 502, 503}
