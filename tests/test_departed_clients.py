"""Clients that leave with much of what they sent unread, and ids that come again."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from faultlab.ports import free_port
from tests.sockets import Exchange, configuration, on_loop, peer, reply, request, running, silent, until
from tests.test_client_gone import RawClient
from tests.test_gateway_process import ask, program

LATEST_START_S = 0.1  # an attempt that begins later after the client's close is a lost request
SEND_BUFFER = 4 << 20


class TimedClient(RawClient):
    """A client that hands all it sends to the system at once."""

    def send_at_once(self, data: bytes) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.socket.setblocking(False)
        assert self.socket.send(data) == len(data)


@pytest.mark.parametrize("klass", ["search", "transfer"])
@on_loop
async def test_no_pipelined_request_is_sent_on_after_its_client_has_closed_unread(klass: str) -> None:
    """Guards against an end that the system can't deliver, as the receive window is full of requests."""
    began: list[float] = []

    async def script(exchange: Exchange) -> None:
        began.append(time.monotonic())
        await asyncio.sleep(0.02)
        exchange.answer(reply())

    async with peer(script) as host, running(configuration(host)) as run:
        client = TimedClient(run)
        client.send_at_once(b"".join(request(klass) for _ in range(6000)))
        client.disconnect()
        closed_s = time.monotonic()
        await until(lambda: host.seen)
        await until(lambda: not run.server.connections and not run.gateway.pending)
        assert max(began) - closed_s <= LATEST_START_S


@pytest.mark.parametrize("klass", ["search", "hold"])
@on_loop
async def test_no_retry_is_sent_after_its_client_has_closed_with_much_unread(klass: str) -> None:
    """Guards against an end that the system can't deliver, as the receive window is full of requests."""
    began: list[float] = []

    async def script(exchange: Exchange) -> None:
        began.append(time.monotonic())
        await asyncio.sleep(2 * LATEST_START_S)
        exchange.answer(reply(503, b"", "X-Rejected: 1"))

    async with peer(script) as one, peer(script) as two, running(configuration(one, two)) as run:
        client = TimedClient(run)
        client.send_at_once(b"".join(request(klass) for _ in range(6000)))
        client.disconnect()
        closed_s = time.monotonic()
        await until(lambda: began)
        await until(lambda: not run.server.connections and not run.gateway.pending)
        assert max(began) - closed_s <= LATEST_START_S


@pytest.mark.parametrize("size", [200_000, 1_000_000])
@on_loop
async def test_a_large_request_whose_client_has_left_is_not_completed_at_a_host(size: int) -> None:
    """Guards against a body that is passed on from the system's buffers long after its client's close."""
    completed: list[float] = []

    async def script(exchange: Exchange) -> None:
        completed.append(time.monotonic())
        exchange.answer(reply())

    async with peer(silent) as host, running(configuration(host)) as run:
        first = TimedClient(run)
        first.send_at_once(request("transfer") + request("transfer", bytes(size)))
        await until(lambda: host.seen)
        first.disconnect()
        await asyncio.sleep(2 * LATEST_START_S)
        host.script = script
        host.seen[0].answer(reply())
        await until(lambda: not run.server.connections and not run.gateway.pending)
        assert not completed


@pytest.mark.parametrize("klass", ["transfer", "hold"])
@on_loop
async def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(klass: str) -> None:
    """Guards against an id that is forgotten as soon as the host has answered."""
    async with peer(silent) as host, running(configuration(host)) as run:
        client = RawClient(run)
        data = request(klass, x_call_id="again")
        client.send(data)
        await until(lambda: host.seen)
        client.disconnect()
        await until(lambda: not run.server.connections)
        host.seen[0].answer(reply())
        await until(lambda: not run.gateway.pending)
        answer = await run.ask(data)
        assert answer.status == 400 and len(host.seen) == 1


@on_loop
async def test_an_id_does_not_run_again_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    """Guards against ids that each process of an upgrade remembers for itself alone."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    data = request("transfer", x_call_id="again")
    folders = tmp_path / "old", tmp_path / "new"
    for folder in folders:
        folder.mkdir()
    async with peer(silent) as host, program(folders[0], configuration(host), free_port(), listener):
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(data)
            await until(lambda: host.seen)
        async with program(folders[1], configuration(host), free_port(), listener):
            for _ in range(20):  # either process may accept a connection
                assert await ask(port, data) == 400
        assert len(host.seen) == 1
    listener.close()
