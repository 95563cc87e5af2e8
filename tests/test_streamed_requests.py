"""Streamed and slow request bodies: framing, backpressure, early ends, aborts and minimum rates."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from cloverkeel.front import request_reader as front
from cloverkeel.http1 import BODY_LIMIT
from cloverkeel.streams import MIN_BYTES_PER_S
from tests.sockets import configuration, on_loop, peer, reply, request, running, silent, until
from tests.test_telemetry import read
from tests.streaming import BODY, chunked, chunked_request, raw_host, read_chunked


class HashingHost:
    """A host that reads bodies in any framing and responds with their SHA-256."""

    def __init__(self) -> None:
        self.heads: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.broken = 0

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")[1:-2]
            headers = dict(line.split(": ", 1) for line in lines)
            self.heads.append(headers)
            try:
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                else:
                    body = await read_chunked(reader)
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                self.broken += 1
                raise
            self.bodies.append(body)
            writer.write(reply(200, hashlib.sha256(body).hexdigest().encode()))


def hex_digest(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest().encode()


@pytest.mark.parametrize("framing", ["length", "chunked", "extensions and a trailer"])
@on_loop
async def test_a_streamed_body_is_forwarded_unchanged_and_connections_are_reused(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cloverkeel.hosts.idle.REUSE_DELAY_US", 0)
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        for length in (BODY_LIMIT, BODY_LIMIT + 1, 100_000, len(BODY)):
            body = BODY[:length]
            data = request("transfer", body) if framing == "length" else chunked_request(chunked(body))
            if framing.startswith("ext"):
                data = chunked_request(chunked(body, 9_999, b';q="r"', b"X-Call-Class: hold\r\n"))
            for at in range(0, len(data), 20_000):
                client.send(data[at : at + 20_000])
                await asyncio.sleep(0)
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, hex_digest(body))
        assert [len(body) for body in hashing_host.bodies] == [BODY_LIMIT, BODY_LIMIT + 1, 100_000, len(BODY)]
        assert read(gateway)["lb_upstream_tries"] == 4
        assert gateway.gateway.buffer.streamed_bodies == 0 and gateway.gateway.pools.open_connections == 1
        client.close()


@on_loop
async def test_pipelined_streamed_and_short_requests_are_answered_in_order() -> None:
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        bodies = [b"a", BODY, b"b", BODY[:70_000], b"c"]
        requests = [
            chunked_request(chunked(b)) if n % 2 else request("transfer", b) for n, b in enumerate(bodies)
        ]
        client.send(b"".join(requests))
        for body in bodies:
            assert (await client.answer()).body == hex_digest(body)
        client.close()


@on_loop
async def test_100_continue_is_sent_once_earlier_requests_are_answered() -> None:
    async with peer(silent) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        body = BODY[:5]
        head = request("transfer", body, expect="100-continue")[: -len(body)]
        client.send(request("search") + head)
        await until(lambda: host.seen)
        host.seen[0].answer(reply(200, b"first"))
        assert (await client.answer()).body == b"first"
        assert (await client.answer()).status == 100
        client.send(body)
        await until(lambda: len(host.seen) == 2)
        assert host.seen[1].message.body == body
        host.seen[1].answer(reply())
        assert (await client.answer()).status == 200
        client.close()


@on_loop
async def test_an_invalid_streamed_body_is_never_completed_at_the_host() -> None:
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(chunked_request(chunked(BODY)[:-5]))
        await until(lambda: hashing_host.heads)
        client.send(b"zz\r\n")
        answer = await client.answer()
        assert (answer.status, answer.headers["connection"]) == (400, "close")
        await until(lambda: hashing_host.broken)
        assert not hashing_host.bodies and not gateway.gateway.pending
        assert read(gateway)["lb_upstream_tries"] == 0
        client.close()


@pytest.mark.parametrize("may_cancel", [False, True])
@on_loop
async def test_a_client_disconnect_within_the_body_ends_the_attempt(may_cancel: bool) -> None:
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host, mayCancel=may_cancel)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", BODY)[:200_000])
        await until(lambda: hashing_host.heads)
        assert read(gateway)["lb_in_progress"] == 0  # its body is incomplete
        client.close()
        await until(lambda: hashing_host.broken)
        assert (
            not hashing_host.bodies
            and not gateway.gateway.pending
            and gateway.gateway.buffer.streamed_bodies == 0
        )


@on_loop
async def test_a_body_over_the_limit_gets_413_and_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "MAX_BODY_BYTES", 200_000)
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host)) as gateway:
        assert (await gateway.ask(chunked_request(chunked(BODY)))).status == 413
        await until(lambda: not gateway.gateway.pending)
        assert not hashing_host.bodies


@on_loop
async def test_a_body_aborted_by_the_host_is_not_retried() -> None:
    heads = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal heads
        heads += 1
        await reader.readexactly(100_000)
        writer.transport.abort()

    async with raw_host(serve) as one, raw_host(serve) as two, running(configuration(one, two)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", BODY, content_length="1000000"))  # the rest is still unsent
        assert (
            await client.answer()
        ).status == 503  # the host never had the complete request, so it has not run
        assert heads == 1
        client.close()


@on_loop
async def test_a_body_answered_early_is_read_and_the_connection_kept() -> None:
    """The connection was closed while the client was still sending its body."""
    async with running(configuration("127.0.0.1:1")) as gateway:
        client = await gateway.connect()
        data = request("transfer", BODY)
        client.send(data[:100_000])
        early = await client.answer()
        assert early.status == 503 and "connection" not in early.headers
        client.send(data[100_000:])
        for _ in range(2):
            assert (await client.ask(request("transfer"))).status == 503
        connection = next(iter(gateway.server.connections))
        assert not connection.is_overdue(1e9) and connection.is_idle()
        client.close()


@on_loop
async def test_an_invalid_body_answered_early_gets_no_second_response() -> None:
    async with running(configuration("127.0.0.1:1")) as gateway:
        client = await gateway.connect()
        client.send(chunked_request(chunked(BODY)[:-5]))
        assert (await client.answer()).status == 503
        client.send(b"zz\r\n")
        assert await client.reader.read() == b""
        client.close()


@on_loop
async def test_a_streamed_body_is_retried_while_none_of_it_was_sent() -> None:
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as good, running(configuration("127.0.0.1:1", good)) as gateway:
        for _ in range(6):
            answer = await gateway.ask(request("transfer", BODY))
            assert (answer.status, answer.body) == (200, hex_digest(BODY))


@on_loop
async def test_a_slow_host_applies_backpressure_to_the_client() -> None:
    may_read = asyncio.Event()
    received = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        await reader.readuntil(b"\r\n\r\n")
        await may_read.wait()
        while received < 16_000_000:
            received += len(await reader.read(1 << 20))
        writer.write(reply(200, b"all"))
        await reader.read()

    async with raw_host(serve, receive_buffer=8_192) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", bytes(16_000_000)))
        await until(lambda: any(c.paused_since_s < 1e300 for c in gateway.server.connections))
        connection = next(iter(gateway.server.connections))
        await until(lambda: connection.body_size > 200_000 and connection.paused_since_s < 1e300)
        assert connection.body_size < 16_000_000
        assert not connection.is_overdue(1e9)  # time in which reading is paused does not count
        may_read.set()
        assert (await client.answer()).body == b"all"
        client.close()


# Rates


@on_loop
async def test_a_body_is_overdue_by_rate_and_a_head_by_timeout() -> None:
    async with peer() as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        await until(lambda: gateway.server.connections)
        connection = next(iter(gateway.server.connections))
        opened_s = connection.opened_s
        assert not connection.is_overdue(opened_s + front.HEAD_TIMEOUT_S - 0.01)
        assert connection.is_overdue(opened_s + front.HEAD_TIMEOUT_S + 0.01)
        client.send(request("transfer", BODY[:60_000])[:-1])
        await until(lambda: connection.body_size == 59_999)
        due_s = connection.body_due_s + 59_999 / MIN_BYTES_PER_S
        assert due_s > opened_s + front.HEAD_TIMEOUT_S
        assert not connection.is_overdue(due_s - 0.01) and connection.is_overdue(due_s + 0.01)
        client.send(BODY[59_999:60_000])
        assert (await client.answer()).status == 200
        assert not connection.is_overdue(1e9)
        client.close()


@on_loop
async def test_a_body_below_the_minimum_rate_gets_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "HEAD_TIMEOUT_S", 0.1)
    monkeypatch.setattr(front, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr(front, "MIN_BYTES_PER_S", 10_000_000)
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host)) as gateway:
        answer = await gateway.ask(request("transfer", BODY)[:100_000])
        assert (answer.status, answer.headers["connection"]) == (408, "close")
        await until(lambda: not gateway.gateway.pending)
        assert not hashing_host.bodies
