"""Long and slow bodies both ways: framing, back-pressure, ends and breaks, and the memory they take."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from caperdrift.interface import BodyEnded, BodyPassing, Outcome, SettingsChanged, StreamStarted, TimerFired
from caperdrift.policy.choice import is_silent
from cloverkeel.front import reading as front
from cloverkeel.http1 import BODY_LIMIT, ReplyError, ReplyReader
from cloverkeel.streams import LEAST_PIECE, LEAST_RATE, PIECE, Buffer
from tests.helpers import SETTINGS, Driver, finals, sends
from tests.sockets import Client, configuration, on_loop, peer, reply, request, running, silent, until
from tests.test_gateway_process import program
from tests.test_telemetry import handled, read

BODY = b"".join(
    hashlib.sha256(b"%d" % n).digest() for n in range(12_000)
)  # 384,000 bytes, no two pieces alike
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_host(serve: Serve, receive_buffer: int = 0) -> AsyncIterator[str]:
    """A host that does with each connection what it likes."""
    tasks: set[asyncio.Task[None]] = set()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    listener = socket.create_server(("127.0.0.1", 0))
    if receive_buffer:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    made = await asyncio.start_server(run, sock=listener, limit=1024)
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        made.close()
        for task in tasks:
            task.cancel()


def answering(head: str, *pieces: bytes, reset: bool = False) -> Serve:
    """A host that answers the first request of a connection with this, and ends it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head.replace("\n", "\r\n").encode() + b"\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if reset:
            await asyncio.sleep(0.05)
            abruptly = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, abruptly)
            writer.transport.abort()

    return serve


def chunked(data: bytes, size: int = 50_000, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n%s\r\n" % trailer


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return int(first.split(" ")[1]), {name.lower(): value.strip() for name, _, value in fields}


def whole(body: bytes) -> str:
    return f"HTTP/1.1 200 OK\nContent-Length: {len(body)}\n"


# Answers


@pytest.mark.parametrize(
    ("head", "data"),
    [
        (whole(BODY), BODY),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY)),
        (
            "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nTrailer: T\n",
            chunked(BODY, 7_001, b";a=b", b"T: v\r\n"),
        ),
        ("HTTP/1.1 200 OK\n", BODY),
        ("HTTP/1.0 200 OK\nConnection: close\n", BODY),
        ("HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY)),
    ],
    ids=["length", "chunked", "extensions and a trailer", "to the end", "old", "after an interim one"],
)
@pytest.mark.parametrize("old", [False, True])
@on_loop
async def test_a_long_answer_passes_unchanged_in_whatever_form(head: str, data: bytes, old: bool) -> None:
    cuts = [data[at : at + 30_011] for at in range(0, len(data), 30_011)]
    async with raw_host(answering(head, *cuts)) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        asked = request("search")
        client.send(asked.replace(b"HTTP/1.1", b"HTTP/1.0") if old else asked)
        status, headers = await read_head(client.reader)
        assert status == 200 and "trailer" not in headers
        if "content-length" in headers:
            assert await client.reader.readexactly(int(headers["content-length"])) == BODY
        elif old:
            assert "transfer-encoding" not in headers and headers["connection"] == "close"
            assert await client.reader.read(-1) == BODY
        else:
            assert await read_chunked(client.reader) == BODY
        now = read(gateway)
        assert handled(now, "search") == [1, 0, 0]
        assert (now["lb_in_progress"], now["lb_upstream_tries"]) == (0, 1)
        assert gateway.gateway.buffer.long == 0
        client.close()


@pytest.mark.parametrize("head", [whole(BODY), "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n"])
@on_loop
async def test_an_old_client_hears_one_word_about_its_connection(head: str) -> None:
    data = BODY if "Length" in head else chunked(BODY)
    async with raw_host(answering(head, data)) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("search", connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0"))
        said = (await client.reader.readuntil(b"\r\n\r\n")).lower()
        assert said.count(b"connection:") == 1
        assert (b"connection: keep-alive" in said) is ("Length" in head)
        client.close()


@pytest.mark.parametrize("size", [10, BODY_LIMIT])
@on_loop
async def test_a_short_answer_may_end_with_its_connection_too(size: int) -> None:
    serve = answering("HTTP/1.1 200 OK\n", BODY[:size])
    async with raw_host(serve) as host, running(configuration(host)) as gateway:
        answer = await gateway.ask(request("search"))
        assert (answer.status, answer.body) == (200, BODY[:size])


@pytest.mark.parametrize(
    ("head", "data", "reset"),
    [
        (whole(BODY), BODY[:200_000], False),
        (whole(BODY), BODY[:200_000], True),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY)[:200_000], False),
        ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n", chunked(BODY[:200_000])[:-5] + b"zz\r\n", False),
        ("HTTP/1.1 200 OK\n", BODY[:200_000], True),
    ],
    ids=["short", "reset", "no last chunk", "a bad chunk", "reset before its end"],
)
@pytest.mark.parametrize("old", [False, True])
@on_loop
async def test_an_answer_that_breaks_ends_so_that_it_shows(
    head: str, data: bytes, reset: bool, old: bool
) -> None:
    async with raw_host(answering(head, data, reset=reset)) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        asked = request("transfer")
        client.send(asked.replace(b"HTTP/1.1", b"HTTP/1.0") if old else asked)
        status, headers = await read_head(client.reader)
        assert status == 200
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            if "content-length" in headers:
                await client.reader.readexactly(len(BODY))
            elif old:
                await client.reader.read(-1)
            else:
                await read_chunked(client.reader)
        assert handled(read(gateway), "transfer") == [0, 0, 1]
        assert not gateway.gateway.pending and gateway.gateway.buffer.long == 0
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
    ids=["both", "two lengths", "coding", "chunk", "length", "204", "304", "500", "framing"],
)
@on_loop
async def test_what_is_no_answer_is_a_failed_attempt(head: str, data: bytes) -> None:
    async with raw_host(answering(head, data)) as host, running(configuration(host)) as gateway:
        assert (await gateway.ask(request("transfer"))).status == 502


@on_loop
async def test_a_slow_reader_stops_the_host_and_nobody_else() -> None:
    written = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal written
        while True:
            asked = await reader.readuntil(b"\r\n\r\n")
            if b"/transfer/" in asked:
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
            await until(lambda: any(c.unread_since_s < 1e300 for c in gateway.server.connections))
            while True:  # until nothing moves any more
                before = written
                await asyncio.sleep(0.1)
                if written == before:
                    break
            assert written < 32_000_000
            assert (await gateway.ask(request("transfer"))).body == b"other"
            assert read(gateway)["lb_in_progress"] == 1
            got = 0
            while got < 32_000_000:
                got += len(await loop.sock_recv(slow, 1 << 20))
            assert written == 32_000_000
            await until(lambda: handled(read(gateway), "search") == [1, 0, 0])


@on_loop
async def test_a_reader_that_leaves_ends_the_attempt() -> None:
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
        assert gateway.gateway.buffer.long == 0


@on_loop
async def test_a_time_out_does_not_cut_an_answer_that_has_begun() -> None:
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
async def test_an_answer_of_unknown_length_that_comes_slowly_passes_before_it_is_long() -> None:
    """Held until 64 KiB were there, it ran out of time."""
    rest = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunked(BODY[:10_000])[:-5])
        await rest.wait()
        writer.write(chunked(BODY[10_000:]))

    async with raw_host(serve) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", budget_ms=1_000))
        status, headers = await read_head(client.reader)
        assert (status, headers["transfer-encoding"]) == (200, "chunked")
        assert await client.reader.readline() == b"2710\r\n"
        assert await client.reader.readexactly(10_002) == BODY[:10_000] + b"\r\n"
        rest.set()
        assert await read_chunked(client.reader) == BODY[10_000:]
        client.close()


@on_loop
async def test_a_head_alone_is_not_passed_on() -> None:
    """The host may have died behind it, and the request may still go elsewhere."""
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


# Requests


class Sink:
    """A host that takes bodies of any form and answers with what it took."""

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


def digest(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest().encode()


def in_chunks(body: bytes, x_blank: str = "") -> bytes:
    head = request("transfer", content_length="", transfer_encoding="chunked", x_blank=x_blank)
    return head + body


@pytest.mark.parametrize("form", ["length", "chunked", "extensions and a trailer"])
@on_loop
async def test_a_long_body_passes_unchanged_and_the_connection_goes_on(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cloverkeel.hosts.idle.REST_US", 0)
    sink = Sink()
    async with raw_host(sink) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        for length in (BODY_LIMIT, BODY_LIMIT + 1, 100_000, len(BODY)):
            body = BODY[:length]
            data = request("transfer", body) if form == "length" else in_chunks(chunked(body))
            if form.startswith("ext"):
                data = in_chunks(chunked(body, 9_999, b';q="r"', b"X-Call-Class: hold\r\n"))
            for at in range(0, len(data), 20_000):
                client.send(data[at : at + 20_000])
                await asyncio.sleep(0)
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, digest(body))
        assert [len(body) for body in sink.bodies] == [BODY_LIMIT, BODY_LIMIT + 1, 100_000, len(BODY)]
        assert read(gateway)["lb_upstream_tries"] == 4
        assert gateway.gateway.buffer.long == 0 and gateway.gateway.pools.open == 1
        client.close()


@on_loop
async def test_long_and_short_requests_in_a_row_are_answered_in_turn() -> None:
    sink = Sink()
    async with raw_host(sink) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        bodies = [b"a", BODY, b"b", BODY[:70_000], b"c"]
        expects = [in_chunks(chunked(b)) if n % 2 else request("transfer", b) for n, b in enumerate(bodies)]
        client.send(b"".join(expects))
        for body in bodies:
            assert (await client.answer()).body == digest(body)
        client.close()


@on_loop
async def test_a_client_that_waits_for_word_is_told_to_go_on_in_its_turn() -> None:
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
async def test_a_body_that_turns_out_bad_never_ends_at_the_host() -> None:
    sink = Sink()
    async with raw_host(sink) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(in_chunks(chunked(BODY)[:-5]))
        await until(lambda: sink.heads)
        client.send(b"zz\r\n")
        answer = await client.answer()
        assert (answer.status, answer.headers["connection"]) == (400, "close")
        await until(lambda: sink.broken)
        assert not sink.bodies and not gateway.gateway.pending
        assert read(gateway)["lb_upstream_tries"] == 0
        client.close()


@pytest.mark.parametrize("may_cancel", [False, True])
@on_loop
async def test_a_client_that_leaves_in_its_body_ends_the_attempt(may_cancel: bool) -> None:
    sink = Sink()
    async with raw_host(sink) as host, running(configuration(host, mayCancel=may_cancel)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", BODY)[:200_000])
        await until(lambda: sink.heads)
        assert read(gateway)["lb_in_progress"] == 0  # not yet taken
        client.close()
        await until(lambda: sink.broken)
        assert not sink.bodies and not gateway.gateway.pending and gateway.gateway.buffer.long == 0


@on_loop
async def test_a_body_beyond_the_limit_is_cut_where_it_passes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "BODY_MOST", 200_000)
    sink = Sink()
    async with raw_host(sink) as host, running(configuration(host)) as gateway:
        assert (await gateway.ask(in_chunks(chunked(BODY)))).status == 413
        await until(lambda: not gateway.gateway.pending)
        assert not sink.bodies


@on_loop
async def test_a_host_that_breaks_off_a_body_fails_it_and_nothing_is_sent_twice() -> None:
    heads = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal heads
        heads += 1
        await reader.readexactly(100_000)
        writer.transport.abort()

    async with raw_host(serve) as one, raw_host(serve) as two, running(configuration(one, two)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", BODY, content_length="1000000"))  # the rest is still to come
        assert (await client.answer()).status == 503  # never whole: it has not run
        assert heads == 1
        client.close()


@on_loop
async def test_a_body_that_is_answered_early_is_read_to_its_end_and_the_connection_goes_on() -> None:
    """Its connection was ended under the client, which was still sending."""
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
        assert not connection.is_late(1e9) and connection.is_idle()
        client.close()


@on_loop
async def test_a_body_that_is_answered_early_and_turns_out_bad_gets_no_second_answer() -> None:
    async with running(configuration("127.0.0.1:1")) as gateway:
        client = await gateway.connect()
        client.send(in_chunks(chunked(BODY)[:-5]))
        assert (await client.answer()).status == 503
        client.send(b"zz\r\n")
        assert await client.reader.read() == b""
        client.close()


@on_loop
async def test_a_long_body_goes_elsewhere_while_none_of_it_has_gone_on() -> None:
    sink = Sink()
    async with raw_host(sink) as good, running(configuration("127.0.0.1:1", good)) as gateway:
        for _ in range(6):
            answer = await gateway.ask(request("transfer", BODY))
            assert (answer.status, answer.body) == (200, digest(BODY))


@on_loop
async def test_a_host_that_reads_slowly_slows_the_client() -> None:
    going = asyncio.Event()
    taken = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal taken
        await reader.readuntil(b"\r\n\r\n")
        await going.wait()
        while taken < 16_000_000:
            taken += len(await reader.read(1 << 20))
        writer.write(reply(200, b"all"))
        await reader.read()

    async with raw_host(serve, receive_buffer=8_192) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", bytes(16_000_000)))
        await until(lambda: any(c.held_at_s < 1e300 for c in gateway.server.connections))
        connection = next(iter(gateway.server.connections))
        await until(lambda: connection.body_size > 200_000 and connection.held_at_s < 1e300)
        assert connection.body_size < 16_000_000
        assert not connection.is_late(1e9)  # the client is not to blame
        going.set()
        assert (await client.answer()).body == b"all"
        client.close()


# Rates


@on_loop
async def test_a_body_is_late_by_its_rate_and_a_head_by_its_time() -> None:
    async with peer() as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        await until(lambda: gateway.server.connections)
        connection = next(iter(gateway.server.connections))
        began = connection.opened_s
        assert not connection.is_late(began + front.HEAD_S - 0.01)
        assert connection.is_late(began + front.HEAD_S + 0.01)
        client.send(request("transfer", BODY[:60_000])[:-1])
        await until(lambda: connection.body_size == 59_999)
        due = connection.body_due_s + 59_999 / LEAST_RATE
        assert due > began + front.HEAD_S
        assert not connection.is_late(due - 0.01) and connection.is_late(due + 0.01)
        client.send(BODY[59_999:60_000])
        assert (await client.answer()).status == 200
        assert not connection.is_late(1e9)
        client.close()


@on_loop
async def test_a_body_below_the_least_rate_is_answered_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "HEAD_S", 0.1)
    monkeypatch.setattr(front, "BODY_SLACK_S", 0.1)
    monkeypatch.setattr(front, "LEAST_RATE", 10_000_000)
    sink = Sink()
    async with raw_host(sink) as host, running(configuration(host)) as gateway:
        answer = await gateway.ask(request("transfer", BODY)[:100_000])
        assert (answer.status, answer.headers["connection"]) == (408, "close")
        await until(lambda: not gateway.gateway.pending)
        assert not sink.bodies


# Every cut


@on_loop
async def test_a_request_may_be_cut_at_every_byte() -> None:
    async with peer() as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        length = len(in_chunks(chunked(b"abcdefg", 3)))
        for at in range(1, length):
            data = in_chunks(chunked(b"abcdefg", 3), x_blank=" \t padded \t")
            before = len(host.seen)
            client.send(data[:at])
            await asyncio.sleep(0.001)
            client.send(data[at:])
            assert (await client.answer()).status == 200
            assert host.seen[before].message.body == b"abcdefg"
            assert host.seen[before].message.headers["x-blank"] == "padded"
        client.close()


@on_loop
async def test_blanks_behind_a_header_s_value_are_no_part_of_it() -> None:
    """They made the class unknown and the budget no number."""
    async with peer() as host, running(configuration(host)) as gateway:
        data = request("search", x_call_class="search \t", x_budget_ms="20000  ", x_call_cost="5 ")
        assert (await gateway.ask(data)).status == 200


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_an_answer_may_be_cut_anywhere(size: int) -> None:
    body = BODY[:100_000] if size > 100 else BODY[:3_000]
    reader = ReplyReader(1_000, wants_long=True)
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b \r\n\r\n" + chunked(
        body, 777, b";e", b"T: v\r\n"
    )
    for _ in range(2):  # on one connection
        got, ended = b"", None
        for at in range(0, len(data), size):
            assert ended is None
            ended = reader.feed(data[at : at + size])
            if reader.begun is not None:
                got += reader.take()
        assert ended is not None and ended.keep_alive and ended.body == b""
        assert got == body
        assert ended.headers == [(b"Transfer-Encoding", b"chunked"), (b"A", b"b")]


def test_what_follows_a_long_answer_spoils_neither_it_nor_the_next() -> None:
    reader = ReplyReader(10, wants_long=True)
    ended = reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + b"x" * 20 + b"HTTP/1.1 200 OK\r\n")
    assert ended is not None and not ended.keep_alive
    assert reader.take() == b"x" * 20


def test_an_answer_of_nothing_but_framing_is_none() -> None:
    reader = ReplyReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;")
    with pytest.raises(ReplyError):
        for _ in range(100):
            reader.feed(b"x" * 1_000)


# Memory


def test_pieces_are_smaller_the_more_bodies_pass() -> None:
    buffer = Buffer(memory_mb=64)
    assert len(buffer.for_long()) == PIECE
    buffer.long = 512
    assert len(buffer.for_long()) == 64 * 1024 * 1024 // 8 // 512
    buffer.long = 1_000_000
    assert len(buffer.for_long()) == LEAST_PIECE


def memory_kb(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


@on_loop
async def test_memory_stays_small_while_long_bodies_stand_still(tmp_path: Path) -> None:
    """Forty of 32 MB: together forty times what the process may take."""
    begun = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal begun
        asked = await reader.readuntil(b"\r\n\r\n")
        begun += 1
        if b"POST" in asked:
            await asyncio.Event().wait()  # reads no further
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n")
        while True:
            writer.write(BODY[:64_000])
            await writer.drain()

    async def push(client: Client) -> None:
        client.send(request("transfer", b"", content_length="32000000"))
        while True:
            client.send(BODY[:64_000])
            await client.writer.drain()

    async with raw_host(serve, receive_buffer=8_192) as host:
        config = configuration(host)
        config["limits"]["memory_mb"] = 32
        async with program(tmp_path, config) as (process, port):
            before = memory_kb(process.pid)
            pushing = []
            clients = [
                Client(*await asyncio.open_connection("127.0.0.1", port, limit=1024)) for _ in range(40)
            ]
            for number, client in enumerate(clients):
                if number % 2:
                    client.send(request("search"))
                else:
                    pushing.append(asyncio.create_task(push(client)))
            await until(lambda: begun == 40)
            await asyncio.sleep(0.5)
            assert memory_kb(process.pid) - before < 16_000
            for task in pushing:
                task.cancel()
            for client in clients:
                client.close()


# The module


def test_no_copy_goes_out_of_a_body_that_has_gone_on() -> None:
    driver = Driver()
    name, actions = driver.arrive(open=True)
    driver.handle(BodyPassing(name, 0))
    driver.now_us += 100_000
    for timer in list(driver.timers):
        assert not sends(driver.handle(TimerFired(timer.token)))
    ended = driver.end(name, sends(actions)[0].server, Outcome.CONNECT_FAILED)
    assert not sends(ended) and len(finals(ended)) == 1


def test_the_time_of_a_request_begins_with_its_last_byte() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive(open=True)
    server = driver.balancer.servers[0]
    request_ = driver.balancer.requests[name]
    deadline_us, aim_us = request_.deadline_us, request_.aim_us
    driver.now_us += 10_000_000  # a slow body
    assert not is_silent(driver.balancer, server) and not server.out
    driver.handle(BodyEnded(name))
    assert (request_.deadline_us, request_.aim_us) == (deadline_us + 10_000_000, aim_us + 10_000_000)
    assert list(server.out.values()) == [driver.now_us]
    driver.end(name, 0)
    assert driver.balancer.out == 0 and not server.out


def test_an_answer_that_begins_before_the_body_ends_is_no_work_in_hand_again() -> None:
    """With the body's end its server counted as silent until the answer had ended."""
    driver = Driver(servers=1)
    name, _ = driver.arrive(open=True)
    driver.handle(StreamStarted(name, 0))
    driver.handle(BodyEnded(name))
    assert driver.balancer.out == 0 and not driver.balancer.servers[0].out
    driver.end(name, 0)
    assert driver.balancer.out == 0 and not driver.balancer.requests


def test_a_begun_answer_is_judged_by_its_first_bytes_and_not_by_its_reader() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive()
    server = driver.balancer.servers[0]
    driver.now_us += 20_000
    driver.handle(StreamStarted(name, 0))
    assert list(server.breaker.ring) == [False] and driver.balancer.served[0] == 1
    driver.now_us += 60_000_000
    assert not is_silent(driver.balancer, server)
    driver.end(name, 0, latency_us=60_020_000)
    assert list(server.breaker.ring) == [False] and driver.balancer.served[0] == 1
    assert driver.balancer.out == 0 and not driver.balancer.requests


def test_a_begun_answer_that_breaks_counts_against_its_server() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    driver.end(name, 0, Outcome.RESET)
    assert list(driver.balancer.servers[0].breaker.ring) == [False, True]


def test_settings_may_change_while_a_body_passes() -> None:
    driver = Driver(servers=1)
    name, _ = driver.arrive(open=True)
    driver.handle(SettingsChanged(SETTINGS))
    driver.handle(BodyEnded(name))
    driver.end(name, 0)
    assert driver.balancer.out == 0 and not driver.balancer.requests


@on_loop
async def test_what_has_gone_on_is_no_longer_held() -> None:
    """Each long body was held three times over until its request ended."""
    async with peer(silent) as host, running(configuration(host)) as gateway:
        client = await gateway.connect()
        client.send(request("transfer", BODY, content_length="1000000"))
        await until(lambda: gateway.gateway.buffer.long == 1)
        held = next(iter(gateway.gateway.pending.values()))
        attempt = held.attempts[0]
        assert attempt is not None and held.call.body == b"" and BODY[:100] not in attempt.payload()
        client.close()
