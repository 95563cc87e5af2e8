"""What crosses on a connection to a host: bytes, an end or a reset between two steps of this side."""

from __future__ import annotations

import pytest

from cloverkeel.clock import now_us
from cloverkeel.hosts.connection import HostConnection
from tests.sockets import configuration, on_loop, peer, request, running

LATE_US = 3_000_000


@on_loop
async def test_what_a_host_is_told_of_the_time_is_what_is_left_when_it_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where a connection came up late, its host was told of time that had gone meanwhile."""
    async with peer() as host, running(configuration(host)) as run:
        pools = run.gateway.pools
        on_connected = pools.on_connected

        def late(connection: HostConnection) -> None:
            monkeypatch.setattr("cloverkeel.gateway.now_us", lambda: now_us() + LATE_US)
            on_connected(connection)

        monkeypatch.setattr(pools, "on_connected", late)
        assert (await run.ask(request(budget_ms=20_000))).status == 200
        assert 0 < int(host.seen[0].message.headers["x-budget-ms"]) <= 20_000 - LATE_US // 1000
