"""Streamed and slow responses: framing, backpressure, early ends and aborts."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cloverkeel.http1 import BODY_LIMIT
from tests.sockets import configuration, on_loop, reply, request, running, until
from tests.test_telemetry import handled, read
from tests.streaming import (
    BODY,
    single_response,
    chunked,
    raw_host,
    read_chunked,
    read_head,
    head_with_length,
)


@pytest.mark.parametrize(
    ("head", "data"),
    [
        (head_with_length(BODY), BODY),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY)),
        (
            "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nTrailer: T\n",
            chunked(BODY, 7_001, b";a=b", b"T: v\r\n"),
        ),
        ("HTTP/1.1 200 OK\n", BODY),
        ("HTTP/1.0 200 OK\nConnection: close\n", BODY),
        ("HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY)),
    ],
    ids=[
        "length",
        "chunked",
        "extensions and a trailer",
        "close-delimited",
        "HTTP/1.0",
        "after an interim response",
    ],
)
@pytest.mark.parametrize("http10", [False, True])
@on_loop
async def test_a_streamed_response_is_forwarded_unchanged_in_any_framing(
    head: str, data: bytes, http10: bool
) -> None:
    pieces = [data[at : at + 30_011] for at in range(0, len(data), 30_011)]
    async with raw_host(single_response(head, *pieces)) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        sent = request("search")
        client.send(sent.replace(b"HTTP/1.1", b"HTTP/1.0") if http10 else sent)
        status, headers = await read_head(client.reader)
        assert status == 200 and "trailer" not in headers
        if "content-length" in headers:
            assert await client.reader.readexactly(int(headers["content-length"])) == BODY
        elif http10:
            assert "transfer-encoding" not in headers and headers["connection"] == "close"
            assert await client.reader.read(-1) == BODY
        else:
            assert await read_chunked(client.reader) == BODY
        now = read(gateway)
        assert handled(now, "search") == [1, 0, 0]
        assert (now["lb_in_progress"], now["lb_upstream_tries"]) == (0, 1)
        assert gateway.gateway.buffer.streamed_bodies == 0
        client.close()


@pytest.mark.parametrize("head", [head_with_length(BODY), "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n"])
@on_loop
async def test_an_http10_client_gets_one_connection_header(head: str) -> None:
    data = BODY if "Length" in head else chunked(BODY)
    async with raw_host(single_response(head, data)) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("search", connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0"))
        response_head = (await client.reader.readuntil(b"\r\n\r\n")).lower()
        assert response_head.count(b"connection:") == 1
        assert (b"connection: keep-alive" in response_head) is ("Length" in head)
        client.close()


@pytest.mark.parametrize("size", [10, BODY_LIMIT])
@on_loop
async def test_a_short_response_may_be_delimited_by_connection_close(size: int) -> None:
    serve = single_response("HTTP/1.1 200 OK\n", BODY[:size])
    async with raw_host(serve) as host, running(configuration(host)) as gateway:
        answer = await gateway.ask(request("search"))
        assert (answer.status, answer.body) == (200, BODY[:size])


@pytest.mark.parametrize(
    ("head", "data", "reset"),
    [
        (head_with_length(BODY), BODY[:200_000], False),
        (head_with_length(BODY), BODY[:200_000], True),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY)[:200_000], False),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY[:200_000])[:-5] + b"zz\r\n", False),
        ("HTTP/1.1 200 OK\n", BODY[:200_000], True),
    ],
    ids=["truncated", "reset", "no last chunk", "invalid chunk", "close-delimited reset"],
)
@pytest.mark.parametrize("http10", [False, True])
@on_loop
async def test_an_aborted_response_is_detectable_by_the_client(
    head: str, data: bytes, reset: bool, http10: bool
) -> None:
    async with (
        raw_host(single_response(head, data, reset=reset)) as host,
        running(configuration(host)) as gateway,
    ):
        client = await gateway.connect()
        sent = request("transfer")
        client.send(sent.replace(b"HTTP/1.1", b"HTTP/1.0") if http10 else sent)
        status, headers = await read_head(client.reader)
        assert status == 200
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            if "content-length" in headers:
                await client.reader.readexactly(len(BODY))
            elif http10:
                await client.reader.read(-1)
            else:
                await read_chunked(client.reader)
        assert handled(read(gateway), "transfer") == [0, 0, 1]
        assert not gateway.gateway.pending and gateway.gateway.buffer.streamed_bodies == 0
        client.close()


@pytest.mark.parametrize(
    ("head", "data"),
    [
        ("HTTP/1.1 200 OK\nContent-Length: 3\nTransfer-Encoding: chunked\n", b"0\r\n\r\n"),
        ("HTTP/1.1 200 OK\nContent-Length: 3\nContent-Length: 4\n", b"abcd"),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: gzip, chunked\n", b"0\r\n\r\n"),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", b"xyz\r\n"),
        ("HTTP/1.1 200 OK\nContent-Length: -3\n", b"abc"),
        ("HTTP/1.1 204 No Content\n", b""),
        ("HTTP/1.1 304 Not Modified\nContent-Length: 9\n", b""),
        ("HTTP/1.1 500 Oops\nContent-Length: 384000\n", BODY),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", b"1;" + b"x" * 200_000),
    ],
    ids=["length and chunked", "two lengths", "coding", "chunk", "length", "204", "304", "500", "framing"],
)
@on_loop
async def test_an_invalid_response_is_a_failed_attempt(head: str, data: bytes) -> None:
    async with raw_host(single_response(head, data)) as host, running(configuration(host)) as gateway:
        assert (await gateway.ask(request("transfer"))).status == 502


@on_loop
async def test_a_slow_reader_applies_backpressure_to_its_host_only() -> None:
    written = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal written
        while True:
            request_head = await reader.readuntil(b"\r\n\r\n")
            if b"/transfer/" in request_head:
                writer.write(reply(200, b"other"))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n")
            for _ in range(500):
                writer.write(BODY[:64_000])
                await writer.drain()
                written += 64_000

    async with raw_host(serve) as host, running(configuration(host)) as gateway:
        with socket.socket() as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            slow.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow, ("127.0.0.1", gateway.port))
            await loop.sock_sendall(slow, request("search"))
            await until(lambda: any(c.write_blocked_since_s < 1e300 for c in gateway.server.connections))
            while True:  # until backpressure has stopped the host
                before = written
                await asyncio.sleep(0.1)
                if written == before:
                    break
            assert written < 32_000_000
            assert (await gateway.ask(request("transfer"))).body == b"other"
            assert read(gateway)["lb_in_progress"] == 1
            received = 0
            while received < 32_000_000:
                received += len(await loop.sock_recv(slow, 1 << 20))
            assert written == 32_000_000
            await until(lambda: handled(read(gateway), "search") == [1, 0, 0])


@on_loop
async def test_a_client_disconnect_ends_a_streamed_response() -> None:
    ended = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 384000\r\n\r\n" + BODY[:100_000])
        assert await reader.read() == b""
        ended.set()

    async with raw_host(serve) as host, running(configuration(host, mayCancel=False)) as gateway:
        client = await gateway.connect()
        client.send(request("search"))
        await read_head(client.reader)
        client.close()
        await ended.wait()
        await until(lambda: not gateway.gateway.pending)
        assert gateway.gateway.buffer.streamed_bodies == 0


@on_loop
async def test_a_timeout_does_not_abort_a_streamed_response() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + BODY[:50_000])
        await asyncio.sleep(0.5)
        writer.write(BODY[50_000:100_000])
        await reader.read()

    async with raw_host(serve) as host, running(configuration(host)) as gateway:
        answer = await gateway.ask(request("transfer", budget_ms=250))
        assert (answer.status, answer.body) == (200, BODY[:100_000])


@on_loop
async def test_a_slow_response_of_unknown_length_is_streamed_at_once() -> None:
    """The response was held back until 64 KiB had arrived, and so exceeded its deadline."""
    may_send_rest = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunked(BODY[:10_000])[:-5])
        await may_send_rest.wait()
        writer.write(chunked(BODY[10_000:]))

    async with raw_host(serve) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", budget_ms=1_000))
        status, headers = await read_head(client.reader)
        assert (status, headers["transfer-encoding"]) == (200, "chunked")
        assert await client.reader.readline() == b"2710\r\n"
        assert await client.reader.readexactly(10_002) == BODY[:10_000] + b"\r\n"
        may_send_rest.set()
        assert await read_chunked(client.reader) == BODY[10_000:]
        client.close()


@on_loop
async def test_a_response_head_alone_is_not_forwarded() -> None:
    """If the host fails after the head, the request can still be retried at another host."""
    heads = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal heads
        await reader.readuntil(b"\r\n\r\n")
        heads += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await asyncio.sleep(0.2)
        writer.transport.abort()

    async with raw_host(serve) as one, raw_host(serve) as two, running(configuration(one, two)) as gateway:
        assert (await gateway.ask(request("search"))).status == 503
        assert heads == 2
