"""Bad input: its sender gets an error or a close in time, and no other client has to wait for it."""

from __future__ import annotations

import asyncio
import json
import math
import socket
from pathlib import Path

import pytest

from cloverkeel.front import request_reader
from tests.sockets import (
    Running,
    answers,
    configuration,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)

HALVES = [
    request()[:-2],  # an incomplete head
    request("transfer", b"x" * 900, content_length="1000"),
    request("transfer", content_length="", transfer_encoding="chunked") + b"5\r\nab",
    request("transfer", content_length="", transfer_encoding="chunked") + b"1;" + b"e" * 900,
    b"\r\n\r\n",  # blank lines only
]


@pytest.mark.parametrize("data", HALVES, ids=lambda value: repr(value)[-20:])
@on_loop
async def test_a_peer_that_sends_single_bytes_still_times_out(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unread input deferring the time-out at every sweep, so that it never takes effect."""
    monkeypatch.setattr(request_reader, "HEAD_TIMEOUT_S", 0.3)
    monkeypatch.setattr(request_reader, "BODY_GRACE_S", 0.3)
    async with peer() as host, running(configuration(host)) as run:
        client = socket.create_connection(("127.0.0.1", run.port))
        client.sendall(data)
        await until(lambda: run.server.connections)
        (connection,) = run.server.connections
        on_request_timeout = connection.on_request_timeout
        sweeps = 0

        def with_a_byte_unread() -> None:
            nonlocal sweeps
            sweeps += 1
            client.sendall(b"a" if data.strip() else b"\n")
            on_request_timeout()

        monkeypatch.setattr(connection, "on_request_timeout", with_a_byte_unread)
        await until(lambda: connection.has_responded)
        assert client.recv(4096).startswith(b"HTTP/1.1 408 ") and sweeps == 2
        assert not host.seen and not run.gateway.pending
        client.close()


@on_loop
async def test_time_while_reading_is_paused_does_not_count_against_the_client() -> None:
    """Guards against the last of many pipelined requests timing out as soon as the others are answered."""
    async with peer(silent) as host, running(configuration(host)) as run:
        client = await run.connect()
        last = request("transfer")
        client.send(b"".join(request("transfer") for _ in range(20)) + last[:30])
        await until(lambda: host.seen)
        (connection,) = run.server.connections
        assert connection.incoming is not None and connection.paused_since_s < math.inf
        connection.awaiting_since_s -= 60  # as if a minute had passed
        connection.paused_since_s -= 60
        host.script = answers(reply())
        host.seen[0].answer(reply())
        for _ in range(20):
            assert (await client.answer()).status == 200
        assert connection.paused_since_s == math.inf
        assert not connection.is_overdue(asyncio.get_running_loop().time())
        client.send(last[30:])
        assert (await client.answer()).status == 200
        client.close()


@on_loop
async def test_a_client_that_waits_for_100_continue_does_not_time_out() -> None:
    async with peer(silent) as host, running(configuration(host)) as run:
        client, loop = await run.connect(), asyncio.get_running_loop()
        waits = request("transfer", b"body", expect="100-continue")[:-4]
        client.send(request("transfer") + waits)
        await until(lambda: host.seen)
        (connection,) = run.server.connections
        assert connection.incoming is not None
        connection.awaiting_since_s -= 60  # as if the request before it took a minute
        connection.body_due_s -= 60
        connection.incoming.awaits_continue_since_s -= 60
        assert not connection.is_overdue(loop.time())
        host.seen[0].answer(reply())
        assert (await client.answer()).status == 200
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert not connection.is_overdue(loop.time())
        assert connection.is_overdue(loop.time() + 60)  # from here on its own time counts
        host.script = answers(reply())
        client.send(b"body")
        assert (await client.answer()).status == 200
        client.close()


@pytest.mark.parametrize("klass", ["search", "transfer"])  # with no body
@on_loop
async def test_a_protocol_upgrade_request_gets_one_http1_response(klass: str) -> None:
    """Guards against a second response, which the client would take as that to its next request."""
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(request(klass, connection="upgrade", upgrade="h2c") + request(klass))
        answer = await client.answer()
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert await client.reader.read() == b"" and len(host.seen) == 1
        client.close()


@on_loop
async def test_an_upgrade_request_with_a_body_is_refused() -> None:
    """The parser doesn't read the body then: guards against forwarding the request without it."""
    async with peer() as host, running(configuration(host)) as run:
        for coding, length in (("", "4"), ("chunked", "")):
            data = request(
                "transfer", b"body", connection="upgrade", upgrade="h2c",
                transfer_encoding=coding, content_length=length,
            )  # fmt: skip
            assert (await run.ask(data)).status == 400
        assert not host.seen


@on_loop
async def test_no_further_requests_are_started_for_a_client_that_reads_no_responses() -> None:
    """Guards against buffering its responses without limit."""
    async with peer(answers(reply(200, bytes(60_000)))) as host, running(configuration(host)) as run:
        reader = socket.socket()
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        reader.connect(("127.0.0.1", run.port))
        reader.setblocking(False)
        await until(lambda: run.server.connections)
        (connection,) = run.server.connections
        transport = connection.transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        reader.sendall(b"".join(request() for _ in range(200)))
        await until(lambda: connection.write_blocked_since_s < math.inf and connection.current is None)
        other = await run.connect()
        for _ in range(5):  # turns in which it could have been served
            assert (await other.ask(request())).status == 200
        # The transport buffers 64 KiB before it pauses writing, and then one response more.
        begun = len(host.seen) - 5
        assert transport.get_write_buffer_size() < 65_536 + 61_000 and begun <= 4  # the kernel buffers some
        assert connection.paused_since_s < math.inf  # its input is not read either
        taken = 0
        while taken < 200 * 60_000:  # once it reads, all continues
            taken += len(await asyncio.get_running_loop().sock_recv(reader, 1 << 20))
        await until(lambda: connection.current is None and not connection.queue)
        assert len(host.seen) == 205
        reader.close()
        other.close()


@pytest.mark.parametrize(("waited_s", "status"), [(5, 200), (60, 503)])
@on_loop
async def test_time_spent_queued_on_its_connection_counts_against_a_request(
    waited_s: int, status: int
) -> None:
    """Guards against a queued request getting its full time budget only when its turn comes."""
    async with peer(silent) as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(request("transfer") + request("transfer", budget_ms=20_000))
        await until(lambda: host.seen)
        (connection,) = run.server.connections
        connection.queue[0].arrived_us -= waited_s * 1_000_000
        host.script = answers(reply())
        host.seen[0].answer(reply())
        assert (await client.answer()).status == 200
        assert (await client.answer()).status == status
        told = [int(e.message.headers["x-budget-ms"]) for e in host.seen[1:]]
        assert told == [] if status == 503 else 14_000 < told[0] <= 15_000
        client.close()


def flood(run: Running, data: bytes) -> socket.socket:
    """A peer that sends as much as the kernel accepts at once."""
    one = socket.create_connection(("127.0.0.1", run.port))
    one.setblocking(False)
    one.send(data)
    return one


@on_loop
async def test_bursts_from_peers_that_disconnect_leave_nothing_and_delay_nobody() -> None:
    """Garbage, endless heads and hundreds of requests, while the request of another client is in flight."""
    floods = [b"\x00rubbish" * 9_000, b"GET /search/1 HTTP/1.1\r\nA: " + b"x" * 200_000]
    async with peer(silent) as host, running(configuration(host)) as run:
        other = await run.connect()
        other.send(request("transfer"))
        await until(lambda: host.seen)
        peers = [flood(run, data) for data in floods]
        peers += [flood(run, b"".join(request("transfer") for _ in range(300)))]
        for one in peers:
            one.close()  # the event loop has not run since
        await until(lambda: len(run.server.connections) == 1 and len(run.gateway.pending) == 1)
        assert len(host.seen) == 1
        host.seen[0].answer(reply())
        assert (await other.answer()).status == 200
        other.close()


UNUSABLE = [
    ("limits", "memory_mb", math.inf),
    ("limits", "memory_mb", math.nan),
    ("limits", "memory_mb", -1),
    ("limits", "sockets", 0),
    ("settings", "lanes", [{"name": "a", "effect": "no\nsuch"}]),
]


@pytest.mark.parametrize(("part", "key", "value"), UNUSABLE)
@on_loop
async def test_a_reload_of_an_invalid_file_changes_nothing_and_logs_one_line(
    part: str,
    key: str,
    value: object,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a reload that fails halfway, with only some parts using the new configuration."""
    async with peer() as host, running(configuration(host)) as run:
        raw = configuration(host, discovery="127.0.0.1:10")
        if key == "lanes":
            raw[part][key] = [lane | value[0] for lane in raw[part][key][:1]]  # type: ignore[index]
        else:
            raw[part][key] = value
        file = tmp_path / "config.json"
        file.write_text(json.dumps(raw))
        monkeypatch.setenv("LB_CONFIG", str(file))
        before, settings = run.server.config, run.gateway.settings
        capsys.readouterr()
        run.server.reload()
        said = [line for line in capsys.readouterr().err.splitlines() if "discovery" not in line]
        assert len(said) == 1 and said[0].startswith("cloverkeel: not reconfigured: ")
        assert run.server.config is before and run.gateway.settings is settings
        assert run.gateway.telemetry.load_errors == 1
        assert (await run.ask(request())).status == 200


@on_loop
async def test_queued_requests_of_a_client_that_reads_nothing_take_no_processor_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start that is scheduled again in each iteration while output is blocked."""
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        await until(lambda: run.server.connections)
        (connection,) = run.server.connections
        connection.pause_writing()  # as if the kernel took no more of the output
        starts, start_queued = 0, connection.start_queued

        def counting() -> None:
            nonlocal starts
            starts += 1
            start_queued()

        monkeypatch.setattr(connection, "start_queued", counting)
        client.send(b"".join(request() for _ in range(10)))
        await until(lambda: connection.queue)
        for _ in range(100):
            await asyncio.sleep(0)
        assert starts < 20 and not host.seen
        connection.resume_writing()
        await until(lambda: len(host.seen) == 10)
        client.close()
