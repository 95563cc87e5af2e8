"""Turns for the processor: no connection waits for long, and its wait counts against its client's time."""

from __future__ import annotations

import asyncio
import math
import threading

import pytest

from cloverkeel import fair_share
from cloverkeel.fair_share import FairShare, ProcessorUse, Waiting, clock_s, processor_s
from cloverkeel.front.connection import ClientConnection
from tests.sockets import Running, configuration, on_loop, peer, request, running, until

CROWD = 400
TURN_TIMEOUT_S = 0.5
WAIT_S = 0.3
SUSPENDED_S = 0.03
READ_S = 0.003
CLOCK_SLACK_S = 0.15  # by which the time passed to a host may exceed what is left


class BusyConnection:
    """Queues itself again at each turn, always within its burst."""

    def __init__(self, share: FairShare) -> None:
        self.share, self.use = share, ProcessorUse()

    def take_turn(self) -> None:
        self.use.updated_s = clock_s()
        self.share.wait(self, self.use, processor_s())


class TurnNoted:
    """Sets an event at its turn."""

    def __init__(self) -> None:
        self.turn, self.use = asyncio.Event(), ProcessorUse()

    def take_turn(self) -> None:
        self.turn.set()


@on_loop
async def test_time_in_which_the_process_does_not_run_counts_as_no_use() -> None:
    """Guards against requests that wait for seconds as their process was suspended while it read them."""
    share, use, began_s = FairShare(), ProcessorUse(), processor_s()
    threading.Event().wait(SUSPENDED_S)
    share.add(use, began_s)
    assert use.used_s < SUSPENDED_S / 3


@on_loop
async def test_no_connection_waits_long_for_its_turn_in_a_crowd() -> None:
    """Guards against a wait that grows with the number of waiting connections, past a request's deadline."""
    share, greedy = FairShare(), TurnNoted()
    for _ in range(CROWD):
        BusyConnection(share).take_turn()
    assert share.add(greedy.use, processor_s() - 0.02)
    share.wait(greedy, greedy.use, processor_s() - 0.02)
    async with asyncio.timeout(TURN_TIMEOUT_S):
        await greedy.turn.wait()


@on_loop
async def test_a_request_is_started_in_its_turn_in_a_busy_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against turns without effect, after which a request waits behind all others again."""
    async with peer() as host, running(configuration(host)) as run:
        monkeypatch.setattr(fair_share, "ITERATION_S", -1.0)
        client = await run.connect()
        async with asyncio.timeout(2):
            for _ in range(3):
                assert (await client.ask(request())).status == 200
            client.send(request() * 5)
            for _ in range(5):
                assert (await client.answer()).status == 200
        client.close()


async def only_connection(run: Running) -> ClientConnection:
    """The connection of the only client."""
    await until(lambda: run.server.connections)
    (connection,) = run.server.connections
    return connection


@on_loop
async def test_time_spent_waiting_for_a_turn_counts_against_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hosts being told a time that the client no longer has."""

    def wait(share: FairShare, connection: Waiting, use: ProcessorUse, began_s: float) -> None:
        asyncio.get_running_loop().call_later(WAIT_S, connection.take_turn)

    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        connection = await only_connection(run)
        with monkeypatch.context() as patched:
            patched.setattr(FairShare, "wait", wait)
            patched.setattr(FairShare, "is_iteration_over", True)
            client.send(request(budget_ms=1000))
            await until(lambda: connection.queue)
        assert (await client.answer()).status == 200
        told_s = int(host.seen[0].message.headers["x-budget-ms"]) / 1000
        assert told_s <= 1.0 - WAIT_S + CLOCK_SLACK_S
        client.close()


@on_loop
async def test_a_rest_after_a_wait_does_not_count_against_the_next_request() -> None:
    """Guards against a request whose time is taken to run since reading was paused long before."""
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        connection = await only_connection(run)
        connection.pause_input()
        connection.lagging_since_s -= 60
        connection.resume_input()
        assert (await client.ask(request(budget_ms=1000))).status == 200
        assert int(host.seen[0].message.headers["x-budget-ms"]) > 1000 * (1.0 - CLOCK_SLACK_S)
        client.close()


@pytest.mark.parametrize("is_discarded", [False, True], ids=["parsed", "discarded"])
@on_loop
async def test_the_read_itself_counts_as_use(is_discarded: bool) -> None:
    """Guards against connections whose data takes longer to be read than to be parsed or dropped."""
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        connection = await only_connection(run)
        connection.ignores_input = is_discarded
        connection.get_buffer(-1)[:1] = b"G"
        began_s = processor_s()
        while processor_s() < began_s + READ_S:
            pass
        connection.buffer_updated(1)
        assert connection.processor_use.used_s >= READ_S
        assert connection.turn_awaited_since_s < math.inf
        client.close()
