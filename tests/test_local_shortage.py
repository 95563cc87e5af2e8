"""Descriptors and attempts that nothing would free, and errors of connects that this machine causes."""

from __future__ import annotations

import asyncio
import errno

import pytest
from caperdrift.interface import Outcome

from cloverkeel.front.server import OWN_DESCRIPTORS
from tests.sockets import configuration, host_id, on_loop, peer, request, running, silent, until
from tests.test_client_gone import RawClient
from tests.test_gateway_outcomes import outcomes


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL])
@on_loop
async def test_a_connect_that_fails_for_want_of_local_resources_is_not_the_host_s_failure(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against breakers that open at sound hosts while this machine is short of descriptors."""
    async with peer() as host, running(configuration(host)) as run:
        attempts_ended, loop = outcomes(run), run.gateway.pools.loop

        async def failing(*_: object, **__: object) -> None:
            raise OSError(number, "no more")

        with monkeypatch.context() as patched:
            patched.setattr(run.gateway.pools, "loop", ShortLoop(loop, failing))
            for _ in range(8):
                assert (await run.ask(request())).status == 503
        assert {event.outcome for event in attempts_ended} == {Outcome.NOT_SENT}
        assert (await run.ask(request())).status == 200


class ShortLoop:
    """The event loop, but for connects."""

    def __init__(self, loop: object, create_connection: object) -> None:
        self._loop = loop
        self.create_connection = create_connection

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)


@on_loop
async def test_no_connection_to_a_host_is_opened_beyond_the_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections to hosts that are opened although the limit leaves no descriptor."""
    monkeypatch.setattr("cloverkeel.front.server.MIN_HOST_CONNECTIONS", 2)
    async with peer(silent) as host, running(configuration(host)) as run:
        clients = [await run.connect() for _ in range(6)]
        await until(lambda: len(run.server.connections) == 6)
        object.__setattr__(run.server.config, "sockets", OWN_DESCRIPTORS + 6)
        for client in clients:
            client.send(request("transfer"))  # all are busy, so that none of them is closed as idle
        answers = [asyncio.create_task(client.answer()) for client in clients]
        await until(lambda: sum(answer.done() for answer in answers) == 4)
        assert {answer.result().status for answer in answers if answer.done()} == {503}
        await until(lambda: len(host.seen) == 2)
        assert run.gateway.pools.open_connections == 2 and run.gateway.pools.counts.no_descriptor
        for answer, client in zip(answers, clients, strict=True):
            answer.cancel()
            client.close()


@on_loop
async def test_an_attempt_whose_client_has_left_ends_in_the_time_of_its_class() -> None:
    """Guards against a descriptor and a request that are held for as long as a departed client has named."""
    async with peer(silent) as host:
        config = configuration(host)
        for lane in config["settings"]["lanes"]:
            lane |= {"aimUs": 100_000, "giveUpUs": 200_000}
        async with running(config) as run:
            client = RawClient(run)
            client.send(request("transfer", budget_ms=86_400_000))
            await until(lambda: host.seen)
            client.disconnect()
            await until(lambda: not run.gateway.pending)
            await until(lambda: not run.gateway.pools.hosts[host_id(0)].open_connections)
