"""Answers whose bodies come late or slowly, and requests that hosts read slowly."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.sockets import Client, configuration, on_loop, request, running, until
from tests.test_departed_clients import TimedClient
from tests.streaming import BODY, chunked, raw_host, read_chunked

SLACK_S = 0.55  # a final answer up to half a second late only earns nothing; 50 ms are the protocol's
FIRST_PIECE = 20_898


async def read_answer(client: Client) -> bytes:
    head = await client.reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ") and b"Transfer-Encoding: chunked" in head
    return await read_chunked(client.reader)


@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize("framing", ["chunked", "close"])
@on_loop
async def test_a_long_answer_whose_body_comes_after_the_aim_is_not_cut_off(framing: str, hosts: int) -> None:
    """Guards against an attempt's time-out that ends an answer of which the head has come."""
    body = BODY[:282_000]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        coding = b"Transfer-Encoding: chunked\r\n" if framing == "chunked" else b""
        writer.write(b"HTTP/1.1 200 OK\r\n" + coding + b"\r\n")
        await asyncio.sleep(0.9)  # past the aim, within the client's time
        for at in range(0, len(body), FIRST_PIECE):
            part = body[at : at + FIRST_PIECE]
            writer.write(chunked(part)[:-5] if framing == "chunked" else part)
            await writer.drain()
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        await reader.read()

    async with raw_host(serve) as one, raw_host(serve) as two:
        config = configuration(*(one, two)[:hosts], secondCopies=True)
        for lane in config["settings"]["lanes"]:
            lane |= {"aimUs": 600_000, "giveUpUs": 2_500_000, "lateValue": 0.0}
        async with running(config) as run:
            client = await run.connect()
            client.send(request("hold", budget_ms=2500))
            assert await read_answer(client) == body
            assert not run.gateway.pending
            client.close()


@on_loop
async def test_a_long_answer_that_is_written_slowly_is_not_cut_off_at_the_deadline() -> None:
    """Guards against a rate that a sound host has to keep while less than 64 KiB have come."""
    body, piece = BODY[:72_000], 1_000

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for at in range(0, len(body), piece):
            writer.write(chunked(body[at : at + piece])[:-5])
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await reader.read()

    async with raw_host(serve) as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(request(budget_ms=300))
        assert await read_answer(client) == body
        client.close()


@pytest.mark.parametrize("framing", ["length", "chunked"])
@on_loop
async def test_a_request_that_its_host_reads_slowly_is_answered_in_its_time(framing: str) -> None:
    """Guards against a client's time that begins only once the gateway has read the last byte."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        while await reader.read(1024):
            await asyncio.sleep(0.05)

    budget_s, loop = 0.5, asyncio.get_running_loop()
    async with raw_host(serve, receive_buffer=4096) as host, running(configuration(host)) as run:
        if framing == "length":
            data = request("transfer", 8 * BODY, budget_ms=500)
        else:
            head = request("transfer", content_length="", transfer_encoding="chunked", budget_ms=500)
            data = head + chunked(8 * BODY)
        client = TimedClient(run)
        client.send_at_once(data)
        sent_s = time.monotonic()
        async with asyncio.timeout(budget_s + SLACK_S):
            first = await loop.sock_recv(client.socket, 65536)
        assert first.split()[1] in (b"503", b"504")
        await until(lambda: not run.gateway.pending)
        assert time.monotonic() - sent_s < budget_s + SLACK_S
        client.disconnect()


async def send_head_only(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A host that answers with a head whose body never comes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    await reader.read()


@on_loop
async def test_a_head_whose_body_never_comes_is_answered_at_the_deadline() -> None:
    """Guards against a late final answer, where a response without a body is begun at the deadline."""

    async with raw_host(send_head_only) as host, running(configuration(host)) as run:
        client = await run.connect()
        sent_s = time.monotonic()
        answer = await client.ask(request(budget_ms=300))
        assert answer.status in (503, 504) and time.monotonic() - sent_s < 0.3 + SLACK_S
        client.close()


@on_loop
async def test_no_response_is_begun_by_a_timer_that_fires_just_before_the_deadline() -> None:
    """Guards against a head without a body being passed on, as timers may fire a millisecond early."""

    async with raw_host(send_head_only) as host, running(configuration(host, maxAttempts=1)) as run:
        client = await run.connect()
        client.send(request())
        await until(lambda: run.gateway.pending)
        (pending,) = run.gateway.pending.values()
        (attempt,) = pending.attempts
        assert attempt is not None
        await until(lambda: attempt.connection and attempt.connection.replies.is_length_unknown)
        attempt.remaining_us = lambda: 900
        run.gateway.pools.time_out(attempt)
        assert (await client.answer()).status in (503, 504)
        client.close()
