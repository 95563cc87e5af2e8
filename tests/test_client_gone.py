"""Clients that disconnect: no further attempt starts for them, and their requests are dropped."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from caperdrift.interface import Outcome, Send

from cloverkeel.front import request_reader
from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.http1 import Reply
from tests.sockets import (
    Exchange,
    Running,
    answers,
    configuration,
    host_id,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)
from tests.test_gateway_outcomes import outcomes


class RawClient:
    """A client on a plain socket, which can disconnect without an iteration of the event loop."""

    def __init__(self, run: Running, receive_buffer: int = 0) -> None:
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(("127.0.0.1", run.port))
        self.send = self.socket.sendall

    def disconnect(self, how: str = "close") -> None:
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how == "end":  # shuts down its sending side; it may still read
            self.socket.shutdown(socket.SHUT_WR)
        else:
            self.socket.close()


@contextmanager
def full_listener() -> Iterator[socket.socket]:
    """A host to which no connection is established: its backlog is full."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener
        for filler in fillers:
            filler.close()


# Its body is streamed and incomplete, so it waits for a host.
PARTIAL_LONG_REQUEST = request("transfer", bytes(200_000))[:100_000]


@on_loop
async def test_an_unwanted_attempt_is_not_written_and_its_connection_is_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cloverkeel.hosts.idle.REUSE_DELAY_US", 0)
    async with peer() as host, running(configuration(host)) as run:
        pools, ended_outcomes = run.gateway.pools, []

        def on_end(attempt: Attempt, outcome: Outcome, reply: Reply | None) -> None:
            ended_outcomes.append(outcome)

        known = pools.hosts[host_id(0)]
        for _ in range(2):  # on a new connection, and on an idle one
            pools.send(Attempt(known, request, on_end, is_wanted=lambda: False), 20_000_000)
            await until(lambda: known.idle)
        assert ended_outcomes == [Outcome.NOT_SENT, Outcome.NOT_SENT]
        pools.send(Attempt(known, request, on_end), 20_000_000)
        await until(lambda: len(ended_outcomes) == 3)
        assert ended_outcomes[2] is Outcome.OK and len(host.seen) == 1 and host.opened == 1


@pytest.mark.parametrize("may_cancel", [False, True])
@pytest.mark.parametrize("data", [request("transfer"), PARTIAL_LONG_REQUEST], ids=["short", "long"])
@on_loop
async def test_a_client_disconnect_while_connecting_ends_the_attempt_at_once(
    data: bytes, may_cancel: bool
) -> None:
    with full_listener() as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with running(configuration(address, mayCancel=may_cancel)) as run:
            attempts_ended, client = outcomes(run), RawClient(run)
            client.send(data)
            await until(lambda: run.gateway.pools.open_connections)
            client.disconnect()
            await until(lambda: not run.server.connections and not run.gateway.pools.open_connections)
            assert [event.outcome for event in attempts_ended] == [Outcome.NOT_SENT] and attempts_ended[
                0
            ].finished
            assert not run.gateway.pending and not run.gateway.balancer.requests


@pytest.mark.parametrize("may_cancel", [False, True])
@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("data", [request("transfer"), PARTIAL_LONG_REQUEST], ids=["short", "long"])
@on_loop
async def test_a_client_disconnect_as_the_host_connection_opens_starts_no_attempt(
    data: bytes, how: str, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = HostConnection.connection_made
    async with peer() as host, running(configuration(host, mayCancel=may_cancel)) as run:
        attempts_ended, client = outcomes(run), RawClient(run)

        def disconnect_first(connection: HostConnection, transport: asyncio.BaseTransport) -> None:
            client.disconnect(how)  # the event loop has not run since
            original(connection, transport)

        monkeypatch.setattr(HostConnection, "connection_made", disconnect_first)
        client.send(data)
        await until(lambda: attempts_ended)
        await until(lambda: not run.server.connections)
        assert [event.outcome for event in attempts_ended] == [Outcome.NOT_SENT] and attempts_ended[
            0
        ].finished
        assert not host.seen and not run.gateway.pending and not run.gateway.balancer.requests
        assert not any(server.in_flight for server in run.gateway.balancer.servers.values())


@pytest.mark.parametrize("first_reply", [b"", reply(503, b"", "X-Rejected: 1"), reply(500)])
@on_loop
async def test_no_retry_starts_if_the_client_disconnects_as_the_attempt_fails(first_reply: bytes) -> None:
    def script(exchange: Exchange) -> None:
        client.disconnect()  # both events are ready in the loop's next poll
        if first_reply:
            exchange.answer(first_reply)
        else:
            exchange.reset()

    make_config = configuration
    async with (
        peer(script) as one,
        peer(script) as two,
        running(make_config(one, two, mayCancel=False)) as run,
    ):
        attempts_ended, client = outcomes(run), RawClient(run)
        client.send(request())
        await until(lambda: attempts_ended and not run.server.connections)
        assert len(one.seen) + len(two.seen) == 1
        assert not run.gateway.pending and not run.gateway.balancer.requests


@on_loop
async def test_a_hedged_request_that_connects_after_the_response_is_not_sent() -> None:
    """Without `mayCancel` in the settings, the hedged request was not cancelled."""
    with full_listener() as listener:
        async with peer() as host, running(configuration(host, mayCancel=False)) as run:
            attempts_ended, gateway = outcomes(run), run.gateway
            gateway.pools.update_host(1, "late", ("127.0.0.1", listener.getsockname()[1]), True)
            host.script = silent
            client = await run.connect()
            client.send(request())
            await until(lambda: host.seen)
            (pending,) = gateway.pending.values()
            gateway.send(Send(pending.call.id, 1, 20_000_000))
            host.seen[0].answer(reply())
            assert (await client.answer()).status == 200
            attempt = pending.attempts[1]
            assert attempt is not None and attempt.connection is not None and not attempt.ended
            connection = attempt.connection
            attempt.payload = lambda: pytest.fail("the hedged request is written")
            gateway.pools.write_attempt(connection, attempt)  # as if it had been established
            assert attempt.ended
            await until(lambda: len(attempts_ended) == 2)
            assert attempts_ended[1].outcome is Outcome.NOT_SENT and not gateway.pending
            client.close()


@pytest.mark.parametrize("sweep_runs", [False, True])
@pytest.mark.parametrize("how", ["close", "reset"])
@on_loop
async def test_no_pipelined_request_starts_after_a_disconnect_while_reading_is_paused(
    how: str, sweep_runs: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with peer(silent) as host, running(configuration(host)) as run:
        if not sweep_runs:
            monkeypatch.setattr(run.server, "sweep", lambda: None)
            await asyncio.sleep(0.25)  # for the sweep that is already scheduled
        client = RawClient(run)
        client.send(b"".join(request("transfer") for _ in range(40)))
        await until(lambda: host.seen)
        (connection,) = run.server.connections
        await until(lambda: connection.paused_since_s < math.inf)
        client.disconnect(how)
        if not sweep_runs:
            host.seen[0].answer(reply())
        await until(lambda: not run.server.connections)
        if sweep_runs:
            host.seen[0].answer(reply())  # to an attempt that was in flight before
        await until(lambda: not run.gateway.pending)
        assert len(host.seen) == 1 and not connection.queue


@on_loop
async def test_eof_is_detected_despite_unsent_output_and_frees_the_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_reader, "WRITE_STALL_S", 0.05)
    async with peer(answers(reply(200, bytes(300_000)))) as host, running(configuration(host)) as run:
        client = RawClient(run, receive_buffer=2048)
        await until(lambda: run.server.connections)
        (connection,) = run.server.connections
        transport = connection.transport
        assert transport is not None
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.send(request("transfer"))
        await until(lambda: transport.get_write_buffer_size())
        client.send(b"".join(request("transfer") for _ in range(3)))
        await until(lambda: len(connection.queue) == 3)
        client.disconnect("end")
        await until(lambda: not run.gateway.pending)  # its output is still unsent, or was dropped
        await until(lambda: not run.server.connections)
        assert len(host.seen) == 1 and not connection.queue
        client.disconnect()


@on_loop
async def test_a_disconnect_in_a_key_queue_does_not_block_the_next_request() -> None:
    async with peer(silent) as host:
        config = configuration(host, mayCancel=False)
        config["settings"]["lanes"][2]["sequential"] = True
        async with running(config) as run:
            first, second, third = RawClient(run), RawClient(run), RawClient(run)
            for count, client in enumerate((first, second, third), 1):
                client.send(request("transfer", x_call_id=f"in-line-{count}"))
                await until(lambda n=count: len(run.gateway.pending) == n)  # type: ignore[misc]
            await until(lambda: host.seen)
            second.disconnect()
            host.seen[0].answer(reply())  # both events are ready in the loop's next poll
            await until(lambda: len(host.seen) == 2)
            host.seen[1].answer(reply())
            await until(lambda: not run.gateway.pending)
            assert [e.message.headers["x-call-id"] for e in host.seen] == ["in-line-1", "in-line-3"]
            first.disconnect()
            third.disconnect()
