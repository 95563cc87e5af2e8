"""What is refused on arrival follows what answers tell, and ends where they tell nothing any more."""

from __future__ import annotations

import pytest
from caperdrift.interface import Refuse, Send
from caperdrift.policy.shedding import SHED_LONGEST_US, SHED_MOST

from tests.helpers import Driver


def crowded() -> Driver:
    """A balancer whose last answers all spoke of a crowd, with nothing out."""
    driver = Driver(servers=12)
    driver.balancer.shed = driver.balancer.shed_dear = SHED_MOST
    driver.balancer.shed_at_us = driver.now_us
    return driver


@pytest.mark.parametrize("klass", [0, 1, 2])
def test_when_no_answer_tells_of_a_crowd_any_more_requests_try_one_at_a_time(klass: int) -> None:
    driver = crowded()
    driver.now_us += SHED_LONGEST_US
    name, actions = driver.arrive(klass)
    sent = [action for action in actions if isinstance(action, Send)]
    assert len(sent) == 1
    # While it is out the share that is shed stands, and its answer tells when to shed less.
    beside = [driver.arrive(klass)[1] for _ in range(100)]
    refused = sum(any(isinstance(action, Refuse) for action in actions) for actions in beside)
    assert refused >= 80
    driver.now_us += 20_000
    driver.end(name, sent[0].server)
    assert driver.balancer.shed < SHED_MOST and driver.balancer.shed_dear < SHED_MOST


def test_an_answer_that_told_of_a_crowd_is_believed_until_it_is_old() -> None:
    driver = crowded()
    driver.now_us += SHED_LONGEST_US - 1
    refused = sum(isinstance(driver.arrive(0)[1][0], Refuse) for _ in range(100))
    assert refused >= 80
