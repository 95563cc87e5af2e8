"""A process keeps its memory limit, whatever hundreds of peers make it hold."""

from __future__ import annotations

import pytest

from faultlab.exhaustion import memory
from faultlab.exhaustion.peers import crowd
from faultlab.exhaustion.probes import Probes
from faultlab.exhaustion.scenarios import SCENARIOS
from faultlab.exhaustion.site import CLIENTS, LEAST_MEMORY_MB, SOCKETS, site

DEADLINE_S = 1.0  # giveUpUs of the lab's classes
FINAL_ANSWER_SLACK_S = 0.5  # in which a late answer only earns nothing
CROWD_S = 2.5


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_crowd_of_peers_does_not_exceed_the_least_memory(name: str) -> None:
    """Guards against memory that peers take (heads, fields, bodies, queues, output) and nothing counts."""
    with site() as running, crowd(running.port) as peers, Probes(running.port) as probes:
        SCENARIOS[name].start(peers, CLIENTS)
        peers.run(CROWD_S)
        assert running.process.poll() is None
        assert memory.descriptors(running.process.pid) <= SOCKETS
        assert running.peak_mb <= LEAST_MEMORY_MB
    assert probes.statuses <= {200, 503}
    assert probes.slowest_s < DEADLINE_S + FINAL_ANSWER_SLACK_S
