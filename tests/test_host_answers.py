"""The time budget that a host receives, and responses that never end or follow another one."""

from __future__ import annotations

import asyncio

import pytest
from caperdrift.interface import Outcome


from cloverkeel.clock import now_us
from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.streamed_bodies import StreamedBodies
from cloverkeel.hosts.connection import HostConnection
from tests.sockets import Exchange, configuration, on_loop, peer, reply, request, running, until
from tests.test_gateway_outcomes import outcomes

LATE_US = 3_000_000


@on_loop
async def test_the_budget_header_is_the_time_left_at_the_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If connecting took long, the budget sent to the host still included the time spent on it."""
    async with peer() as host, running(configuration(host)) as run:
        pools = run.gateway.pools
        on_connected = pools.on_connected

        def connected_late(connection: HostConnection) -> None:
            monkeypatch.setattr("cloverkeel.gateway.now_us", lambda: now_us() + LATE_US)
            on_connected(connection)

        monkeypatch.setattr(pools, "on_connected", connected_late)
        assert (await run.ask(request(budget_ms=20_000))).status == 200
        assert 0 < int(host.seen[0].message.headers["x-budget-ms"]) <= 20_000 - LATE_US // 1000


@on_loop
async def test_a_blank_line_before_a_response_does_not_repeat_the_previous_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The head of a streamed response was sent again, to the next request on its connection."""
    reads = 0
    buffer_updated = HostConnection.buffer_updated

    def counting(connection: HostConnection, nbytes: int) -> None:
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

    monkeypatch.setattr(HostConnection, "buffer_updated", counting)
    monkeypatch.setattr("cloverkeel.hosts.idle.REUSE_DELAY_US", 0)
    async with peer(script) as host, running(configuration(host)) as run:
        assert len((await run.ask(request())).body) == 100_000
        pools = run.gateway.pools
        await until(lambda: any(known.idle for known in pools.hosts.values()))
        async with asyncio.timeout(5):
            assert (await run.ask(request())).body == b"mine"
        assert host.opened == 1


ENDLESS_RESPONSES = {
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x", "broken"),
    "chunked": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", "broken"),
    "short": (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x", "504"),
    "head": (b"HTTP/1.1 200 OK\r\nX: ", b"x", "504"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n", "504"),
    "chunk's extension": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x", "504"),
}


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
@on_loop
async def test_a_response_that_never_ends_is_cut_off_at_the_deadline(kind: str) -> None:
    """A response of unknown length was streamed until its client left: streaming ends the timers."""
    head, piece, expected = ENDLESS_RESPONSES[kind]

    async def script(exchange: Exchange) -> None:
        exchange.answer(head)
        while not exchange.writer.is_closing():
            exchange.answer(piece)
            await asyncio.sleep(0.005)

    async with peer(script) as host, running(configuration(host)) as run:
        attempts_ended, client = outcomes(run), await run.connect()
        client.send(request("transfer", budget_ms=300))
        async with asyncio.timeout(5):
            status = int((await client.reader.readuntil(b"\r\n\r\n")).split()[1])
            assert status == (200 if expected == "broken" else 504)
            if expected == "broken":
                with pytest.raises(ConnectionResetError):
                    await client.reader.read()
            await until(lambda: run.gateway.pools.open_connections == 0 and not run.gateway.pending)
        # A streamed response that is cut off is a failure of the host; only a time-out indicates overload.
        assert [event.outcome for event in attempts_ended] == [
            Outcome.RESET if expected == "broken" else Outcome.TIMEOUT
        ]
        client.close()


@on_loop
async def test_a_slow_streamed_response_continues_past_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A response over 64 KiB counts by its first bytes, even if less has arrived by the deadline."""
    checks = 0
    on_rate_check = StreamedBodies.on_rate_check

    def counting(bodies: StreamedBodies, connection: HostConnection, attempt: Attempt) -> None:
        nonlocal checks
        checks += 1
        on_rate_check(bodies, connection, attempt)

    async def script(exchange: Exchange) -> None:
        exchange.answer(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n%s\r\n" % bytes(10_000)
        )
        await until(lambda: checks >= 3)
        exchange.answer(b"15f90\r\n%s\r\n0\r\n\r\n" % bytes(90_000))

    monkeypatch.setattr(StreamedBodies, "on_rate_check", counting)
    monkeypatch.setattr("cloverkeel.hosts.streamed_bodies.MIN_RESPONSE_BYTES_PER_S", 1)
    async with peer(script) as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(request("transfer", budget_ms=100))
        data = b""
        while not data.endswith(b"\r\n0\r\n\r\n"):
            data += await client.reader.readexactly(1)
        assert data.count(b"\0") == 100_000 and checks >= 3
        client.close()
