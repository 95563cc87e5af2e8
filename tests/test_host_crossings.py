"""What crosses on a connection to a host: bytes, an end or a reset between two steps of this side."""

from __future__ import annotations

import asyncio

import pytest

from cloverkeel.clock import now_us
from cloverkeel.hosts.connection import HostConnection
from tests.sockets import Exchange, configuration, on_loop, peer, reply, request, running, until

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


@on_loop
async def test_a_blank_line_ahead_of_an_answer_does_not_bring_back_the_one_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The head of a long answer went out a second time, to the next request on its connection."""
    reads = 0
    buffer_updated = HostConnection.buffer_updated

    def counted(connection: HostConnection, nbytes: int) -> None:
        nonlocal reads
        buffer_updated(connection, nbytes)
        reads += 1

    async def script(exchange: Exchange) -> None:
        if len(host.seen) == 1:
            exchange.answer(reply(200, bytes(100_000)))
            return
        before = reads
        exchange.answer(b"\r\n")
        await until(lambda: reads > before)
        exchange.answer(reply(200, b"mine"))

    monkeypatch.setattr(HostConnection, "buffer_updated", counted)
    async with peer(script) as host, running(configuration(host)) as run:
        assert len((await run.ask(request())).body) == 100_000
        pools = run.gateway.pools
        await until(lambda: any(known.idle for known in pools.hosts.values()))
        async with asyncio.timeout(5):
            assert (await run.ask(request())).body == b"mine"
        assert host.opened == 1
