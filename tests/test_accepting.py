"""Connections that wait to be accepted do not wait for as many iterations of the loop."""

from __future__ import annotations

import asyncio
import socket

from cloverkeel.fair_share import ProcessorUse, clock_s, processor_s
from cloverkeel.front.server import MAX_WAITING
from tests.sockets import configuration, on_loop, peer, request, running

CLIENTS = 200
MAX_ITERATIONS = 20


@on_loop
async def test_many_connections_are_accepted_within_a_few_iterations() -> None:
    """Guards against one connection accepted in an iteration, while iterations are long."""
    async with peer() as host, running(configuration(host)) as run:
        clients = [socket.create_connection(("127.0.0.1", run.port)) for _ in range(CLIENTS)]
        iterations = 0
        while len(run.server.connections) < CLIENTS:
            iterations += 1
            await asyncio.sleep(0)
        assert iterations <= MAX_ITERATIONS
        assert (await run.ask(request())).status == 200
        for client in clients:
            client.close()


@on_loop
async def test_no_more_connections_are_accepted_than_there_are_descriptors() -> None:
    """Guards against a limit that is exceeded by connections that are accepted at once."""
    async with peer() as host:
        config = configuration(host)
        config["limits"]["sockets"] = 128
        async with running(config) as run:
            clients = [socket.create_connection(("127.0.0.1", run.port)) for _ in range(CLIENTS)]
            for _ in range(2 * CLIENTS):
                await asyncio.sleep(0)
                assert run.server.free_descriptors >= 0
            for client in clients:
                client.close()


@on_loop
async def test_nothing_is_accepted_once_the_listener_is_closed() -> None:
    """Guards against connections that are accepted and left without an answer at the end."""
    async with peer() as host, running(configuration(host)) as run:
        clients = [socket.create_connection(("127.0.0.1", run.port)) for _ in range(CLIENTS)]
        run.server.acceptor.close()
        accepted = len(run.server.connections)
        for _ in range(MAX_ITERATIONS):
            await asyncio.sleep(0)
        assert len(run.server.connections) == accepted
        for client in clients:
            client.close()


@on_loop
async def test_nobody_is_accepted_early_behind_connections_that_wait_for_the_processor() -> None:
    """Guards against descriptors and memory that are filled by connections which can't be served yet."""

    class Waiter:
        def take_turn(self) -> None:
            pass

    async with peer() as host, running(configuration(host)) as run:
        fair_share = run.gateway.fair_share
        uses = [ProcessorUse() for _ in range(MAX_WAITING)]
        for use in uses:
            use.updated_s = clock_s() + 60
            fair_share.wait(Waiter(), use, processor_s())
        assert run.server.free_connections <= 0
        for use in uses:
            fair_share.leave(use)
        assert (await run.ask(request())).status == 200
