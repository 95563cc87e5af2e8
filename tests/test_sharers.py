"""The count of proxies that share a cold server's budget, as reported by membership."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from caperdrift import Fleet
from caperdrift.policy.cold import fall_budget_us
from caperdrift.policy.proxy_count import LOWER_COUNT_DELAY_US, proxy_count
from tests.helpers import SETTINGS, Driver

EIGHT = replace(SETTINGS, proxies=8)


def count_after(driver: Driver, *gateways: int) -> int:
    driver.handle(Fleet(gateways))
    return proxy_count(driver.balancer)


def test_a_rising_proxy_count_applies_at_once_and_a_falling_one_after_a_delay() -> None:
    driver = Driver(EIGHT)
    share_us = fall_budget_us(driver.balancer)
    assert count_after(driver, 10, 6) == 16
    assert fall_budget_us(driver.balancer) == share_us / 2
    driver.now_us += 1
    assert count_after(driver, 1, 0) == 16  # this proxy may be partitioned, or the others may have ended
    driver.now_us += LOWER_COUNT_DELAY_US
    assert count_after(driver, 1, 0) == 1


def test_a_new_proxy_uses_the_configured_count_until_the_delay_has_passed() -> None:
    driver = Driver(EIGHT)
    assert count_after(driver, 1) == 8
    driver.now_us += LOWER_COUNT_DELAY_US
    assert count_after(driver, 2) == 2


def test_without_membership_the_configured_count_applies() -> None:
    driver = Driver(EIGHT)
    assert proxy_count(driver.balancer) == 8
    count_after(driver, 20)
    assert count_after(driver) == 8


@given(
    st.lists(
        st.tuples(st.integers(0, 2 * LOWER_COUNT_DELAY_US), st.integers(1, 300)), min_size=1, max_size=30
    )
)
def test_proxy_count_is_the_recent_maximum(steps: list[tuple[int, int]]) -> None:
    driver = Driver(EIGHT)
    history = [(driver.now_us + steps[0][0], EIGHT.proxies)]
    for gap_us, live in steps:
        driver.now_us += gap_us
        history.append((driver.now_us, live))
        ends = [at_us for at_us, _ in history[1:]] + [driver.now_us + 1]  # each count was seen until the next
        expected = max(n for (_, n), end_us in zip(history, ends, strict=True)
                       if driver.now_us - end_us < LOWER_COUNT_DELAY_US)  # fmt: skip
        assert count_after(driver, live) == expected
