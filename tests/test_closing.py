"""Lingering close of client connections: input that arrives late causes no reset and is not forwarded."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

import pytest

from cloverkeel import http1, operator
from cloverkeel.front.connection import ClientConnection
from cloverkeel.operator import Answer, OperatorServer
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

LARGE = b"x" * 60_000  # exceeds the small socket buffers of both sides


@contextmanager
def raw_client(port: int, receive_buffer: int = 0) -> Iterator[socket.socket]:
    """A client on a plain socket, whose calls take effect without an iteration of the event loop."""
    with socket.socket() as client:
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.connect(("127.0.0.1", port))
        client.setblocking(False)
        yield client


async def read_all(client: socket.socket) -> bytes:
    """Reads up to the end of the stream; raises ConnectionResetError at a reset."""
    data, loop = b"", asyncio.get_running_loop()
    while piece := await loop.sock_recv(client, 65536):
        data += piece
    return data


async def connected(run: Running) -> ClientConnection:
    """Waits for the only client connection."""
    await until(lambda: run.server.connections)
    (connection,) = run.server.connections
    return connection


def small_send_buffers(monkeypatch: pytest.MonkeyPatch, protocol: type) -> None:
    """Gives the sockets of this protocol's connections small send buffers."""
    original = protocol.connection_made  # type: ignore[attr-defined]

    def connection_made(self: object, transport: asyncio.Transport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original(self, transport)

    monkeypatch.setattr(protocol, "connection_made", connection_made)


@pytest.mark.parametrize("method", ["close_idle", "reclaim_descriptors", "on_request_timeout"])
@on_loop
async def test_a_request_racing_an_idle_close_gets_eof_and_no_reset(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with peer() as host, running(configuration(host)) as run:
        with raw_client(run.port) as client:
            connection = await connected(run)
            connection.has_responded = True
            connection.idle_since_s -= 60

            def send_then_close(linger_s: float = http1.LINGER_S) -> None:
                client.send(request("transfer"))  # after the check for unread input, and before the close
                monkeypatch.undo()
                connection.close(linger_s)

            monkeypatch.setattr(connection, "close", send_then_close)
            if method == "reclaim_descriptors":
                monkeypatch.setattr(type(run.server), "free_descriptors", property(lambda self: 40))
            (connection if method == "on_request_timeout" else run.server).__getattribute__(method)()
            assert not run.server.connections
            assert await read_all(client) == b""
            assert not host.seen
            assert list(run.server.lingering) == [connection]  # the client has not closed yet
        # The client has closed, which ends the lingering before its time-out.
        await until(lambda: not run.server.lingering)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("client_first", [False, True])
@on_loop
async def test_both_sides_may_close_at_once(reset: bool, client_first: bool) -> None:
    faults: list[object] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
    async with peer() as host, running(configuration(host)) as run:
        with raw_client(run.port) as client:
            connection = await connected(run)
            if not client_first:
                connection.close()
            if reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                client.close()
            else:
                client.shutdown(socket.SHUT_WR)
            if client_first:
                connection.close()
            await until(lambda: not run.server.lingering and not run.server.connections)
            assert not faults


@pytest.mark.parametrize("keep", ["close", ""])
@on_loop
async def test_input_after_the_last_response_does_not_truncate_it(
    keep: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closing while part of the response was unsent caused a reset if there was unread input."""
    small_send_buffers(monkeypatch, ClientConnection)
    async with peer(answers(reply(200, LARGE))) as host, running(configuration(host)) as run:
        run.server.draining = not keep
        with raw_client(run.port, receive_buffer=4096) as client:
            connection = await connected(run)
            client.send(request("transfer", connection=keep))
            await until(lambda: connection.write_shut)
            assert connection.transport is not None and connection.transport.get_write_buffer_size()
            client.send(request("transfer"))
            data = await read_all(client)
            assert data.endswith(LARGE) and b"Connection: close" in data
            assert len(host.seen) == 1


@on_loop
async def test_a_slowly_read_operator_response_outlasts_the_linger_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small_send_buffers(monkeypatch, operator.OperatorConnection)
    linger_rounds, end_linger = [], http1._end_linger

    def counted(transport: asyncio.Transport, linger_s: float, abort_s: float) -> None:
        linger_rounds.append(linger_s)
        end_linger(transport, linger_s, abort_s)

    monkeypatch.setattr(http1, "_end_linger", counted)
    monkeypatch.setattr(operator, "lingering_close", partial(http1.lingering_close, linger_s=0.01))
    operator_server = OperatorServer(("127.0.0.1", 0), {b"/large": lambda: Answer(200, LARGE)})
    await operator_server.start()
    assert operator_server.listener is not None
    with raw_client(operator_server.listener.sockets[0].getsockname()[1], receive_buffer=4096) as client:
        client.send(b"GET /large HTTP/1.1\r\nHost: o\r\n\r\n")
        await until(lambda: len(linger_rounds) > 2)
        client.send(b"what nobody reads")
        assert (await read_all(client)).endswith(LARGE)
        # The time-out closes the connection, though the client does not.
        await until(lambda: not operator_server.connections)
    operator_server.close()


@on_loop
async def test_clients_that_do_not_read_or_do_not_close_are_closed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small_send_buffers(monkeypatch, ClientConnection)
    monkeypatch.setattr(http1, "WRITE_STALL_S", 0.05)
    async with peer(answers(reply(200, LARGE))) as host, running(configuration(host)) as run:
        for body in (LARGE, b""):
            host.script = answers(reply(200, body))
            with raw_client(run.port, receive_buffer=4096) as client:
                connection = await connected(run)
                client.send(request("transfer"))
                await until(partial(getattr, connection, "has_responded"))
                connection.close(0.01)
                await until(lambda: not run.server.lingering)


@on_loop
async def test_the_rest_of_a_timed_out_request_is_not_forwarded() -> None:
    async with peer() as host, running(configuration(host)) as run:
        data = request("transfer", b"whole")
        with raw_client(run.port) as client:
            client.send(data[:-3])
            connection = await connected(run)
            await until(lambda: connection.incoming)
            connection.on_request_timeout()
            client.send(data[-3:] + request("transfer"))
            assert (await read_all(client)).startswith(b"HTTP/1.1 408 ")
            assert not host.seen


@on_loop
async def test_input_in_the_same_read_after_the_last_response_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of a streamed body may lead to its response at once, while a read is being processed."""
    async with peer(silent) as host, running(configuration(host)) as run:
        with raw_client(run.port) as client:
            long = request("transfer", b"y" * 150_000)
            client.setblocking(True)
            client.sendall(long[:-5])
            client.setblocking(False)
            connection = await connected(run)
            await until(
                lambda: connection.current is not None and connection.current_id in run.gateway.pending
            )
            await until(lambda: not connection.poll.poll(0))
            run.server.draining = True

            def body_ended(id_: str, sent_us: int) -> None:
                assert connection.current is not None
                connection.on_failed(connection.current, False)

            accepted: list[object] = []
            monkeypatch.setattr(run.gateway, "body_ended", body_ended)
            monkeypatch.setattr(run.gateway, "accept", accepted.append)
            client.send(long[-5:] + request("transfer") + request("transfer", expect="100-continue")[:-2])
            data = await read_all(client)
            assert data.startswith(b"HTTP/1.1 502 ") and data.count(b"HTTP/1.1 ") == 1
            assert not accepted


@on_loop
async def test_lingering_connections_hold_descriptors_and_the_oldest_is_reclaimed_first() -> None:
    async with peer() as host, running(configuration(host)) as run:
        clients = [await run.connect() for _ in range(3)]
        await until(lambda: len(run.server.connections) == 3)
        free = run.server.free_descriptors
        first, second, third = run.server.connections
        second.close()
        first.close()
        assert run.server.free_descriptors == free
        assert list(run.server.lingering) == [second, first]
        object.__setattr__(run.server.config, "sockets", 3)
        run.server.reclaim_descriptors()
        await until(lambda: second not in run.server.lingering)
        assert list(run.server.lingering) == [first, third]
        for client in clients:
            client.close()


@on_loop
async def test_small_writes_are_not_delayed() -> None:
    """A reset discards output that Nagle's algorithm delays; uvloop sets TCP_NODELAY on each connection."""
    async with peer() as host, running(configuration(host)) as run:
        with raw_client(run.port):
            transport = (await connected(run)).transport
            assert transport is not None
            client_socket = transport.get_extra_info("socket")
            assert client_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1


@on_loop
async def test_a_streamed_body_with_an_upgrade_request_closes_its_connection() -> None:
    """The parser reads nothing after an upgrade request, so the connection must not be kept."""
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(
            request("transfer", b"y" * 150_000, connection="upgrade", upgrade="other") + request("transfer")
        )
        data = await client.reader.read()  # to the end
        assert data.count(b"Connection: close") == 1
        client.close()
