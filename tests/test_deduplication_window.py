"""No retry of a keyed request is written after the deduplication window, however late its connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from caperdrift.interface import Effect, ListKind, Outcome, RequestClass
from cloverkeel.clock import now_us
from cloverkeel.host_entries import parse_list
from cloverkeel.hosts import pool
from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.connection import HostConnection
from tests.helpers import KEYED, SAFE, SETTINGS, Driver, sends
from tests.sockets import (
    Exchange,
    answers,
    configuration,
    endpoint,
    hosts_list,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)

WINDOW_US = 8_000_000  # longer than a test takes: the clock is advanced
ConnectHook = Callable[[asyncio.BaseTransport, Callable[[], None]], None]


class PoolClock:
    """The pools' clock, which a test can advance."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ahead_us = 0
        monkeypatch.setattr(pool, "now_us", lambda: now_us() + self.ahead_us)


def keyed(*hosts: Any, second_copies: bool = False, **lane: object) -> dict[str, Any]:
    config = configuration(*hosts, secondCopies=second_copies)
    config["settings"]["lanes"][1] |= {"windowUs": WINDOW_US} | lane
    return config


def when_connected(monkeypatch: pytest.MonkeyPatch, hook: ConnectHook) -> None:
    """Calls `hook` when a connection to a host is established, with a function that tells the pool."""

    class Hooked(HostConnection):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            hook(transport, lambda: HostConnection.connection_made(self, transport))

    monkeypatch.setattr(pool, "HostConnection", Hooked)


@on_loop
@pytest.mark.parametrize("late_us", [-1_000_000, 1_000])
async def test_a_retry_is_written_within_the_window_and_not_after_it(
    late_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection of the retry is established `late_us` after the end of the window."""
    clock, established = PoolClock(monkeypatch), 0

    def hook(_: asyncio.BaseTransport, establish: Callable[[], None]) -> None:
        nonlocal established
        established += 1
        clock.ahead_us = WINDOW_US + late_us if established == 2 else 0
        establish()

    when_connected(monkeypatch, hook)
    failing = answers(reply(500))
    async with peer(failing) as one, peer(failing) as two, running(keyed(one, two)) as run:
        answer = await run.ask(request("hold"))
        assert established == 2
        assert len(one.seen) + len(two.seen) == (1 if late_us > 0 else 2)
        assert answer.status == 503  # duplicates are dropped across all hosts: a client retry is safe
        rings = sorted(len(s.breaker.ring) for s in run.gateway.balancer.servers.values())
        assert rings == ([0, 1] if late_us > 0 else [1, 1])  # an unsent retry is no failure of the host


@pytest.mark.parametrize("early_us", [0, 50_000])
@on_loop
async def test_a_retry_whose_last_byte_is_not_written_in_the_window_is_cancelled(
    early_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second host accepts a few kilobytes and no more; the window ends a second later.

    The pool's one timer for the window could fire 47 to 278 us before its end by the clock, and no further
    one was set: in 1 of 100 runs, and more often under load, the retry ended as CONNECT_FAILED at its
    request's deadline, not as NOT_SENT at the end of the window. `early_us` makes the timer fire that early.
    """
    clock, partly_written, ended = PoolClock(monkeypatch), [], []
    body = b"x" * 60_000
    full = socket.create_server(("127.0.0.1", 0), backlog=5)
    full.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    second = endpoint("s-1", f"127.0.0.1:{full.getsockname()[1]}")

    def fail(exchange: Exchange) -> None:
        clock.ahead_us = WINDOW_US - 1_000_000
        run.gateway.on_list(ListKind.DELTA, parse_list(hosts_list(8, second), run.gateway.names)[2])
        exchange.answer(reply(500))

    def hook(transport: asyncio.BaseTransport, establish: Callable[[], None]) -> None:
        connection = transport.get_extra_info("socket")
        if connection.getpeername() == full.getsockname():
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        establish()
        if connection.getpeername() == full.getsockname():
            clock.ahead_us -= early_us
        partly_written.append(any(not c.is_written for c in connections()))

    def connections() -> list[HostConnection]:
        attempts = [a for held in run.gateway.pending.values() for a in held.attempts if a is not None]
        return [a.connection for a in attempts if a.connection is not None]

    end = pool.Pools.end

    def on_end(self: pool.Pools, attempt: Attempt, outcome: Outcome, *rest: Any) -> None:
        ended.append(outcome)
        end(self, attempt, outcome, *rest)

    when_connected(monkeypatch, hook)
    monkeypatch.setattr(pool.Pools, "end", on_end)
    with full:
        async with peer(fail) as one, running(keyed(one)) as run:
            assert (await run.ask(request("hold", body))).status == 503
            assert partly_written == [False, True] and ended == [Outcome.ERROR, Outcome.NOT_SENT]
            accepted, _ = full.accept()
            with accepted:
                accepted.settimeout(10)
                received = 0
                try:
                    while data := accepted.recv(65_536):
                        received += len(data)
                except ConnectionResetError:
                    pass
                assert received < len(body)


@on_loop
async def test_a_first_attempt_that_connects_late_is_not_written_after_the_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A hedged request was sent while the first attempt was connecting: the first one is the retry now."""
    clock, deferred = PoolClock(monkeypatch), []

    def hook(_: asyncio.BaseTransport, establish: Callable[[], None]) -> None:
        deferred.append(establish)
        if len(deferred) == 2:
            establish()

    when_connected(monkeypatch, hook)
    async with peer(silent) as one, peer(silent) as two:
        config = keyed(one, two, second_copies=True, aimUs=40_000)  # so that a hedged request is soon sent
        async with running(config) as run:
            client = await run.connect()
            client.send(request("hold"))
            await until(lambda: one.seen or two.seen)
            clock.ahead_us = WINDOW_US + 1_000
            deferred[0]()
            await until(lambda: one.ended + two.ended == 1)  # the late connection, closed unused
            (exchange,) = one.seen + two.seen
            exchange.answer(reply(200, b"once"))
            assert (await client.answer()).body == b"once"
            assert len(one.seen + two.seen) == 1
            client.close()


@pytest.mark.parametrize(
    ("klass", "outcome", "bound"),
    [(KEYED, Outcome.ERROR, True), (KEYED, Outcome.CONNECT_FAILED, False), (SAFE, Outcome.ERROR, False)],
)
def test_a_retry_has_a_write_deadline_after_an_attempt_that_may_have_run(
    klass: RequestClass, outcome: Outcome, bound: bool
) -> None:
    """The window starts at the first attempt and is that of the class when the request arrived."""
    driver = Driver(replace(SETTINGS, classes=(klass,)), servers=4)
    sent_us = driver.now_us
    name, actions = driver.arrive(client_timeout_us=klass.give_up_us)
    assert sends(actions)[0].write_deadline_us == 0
    driver.now_us += 10_000
    again = sends(driver.end(name, sends(actions)[0].server, outcome))[0]
    assert again.write_deadline_us == (sent_us + klass.window_us - 1 if bound else 0)
    assert klass.effect is not Effect.KEYED or again.server % 2 == sends(actions)[0].server % 2 or not bound
