"""Races on a connection to a host: input, a close or a reset between two steps of the gateway."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from caperdrift.interface import Outcome
from cloverkeel.clock import now_us
from cloverkeel.hosts.connection import HostConnection
from tests.raw_host import REQUEST, TIMEOUT_US, descriptors_to, raw_host, reset, wait_until_readable
from tests.sockets import on_loop, peer, reply, request, until

SMALL_BUFFER = 65_536  # size of a socket buffer, far smaller than the data written


def run_before_write(monkeypatch: pytest.MonkeyPatch, action: Callable[[HostConnection], None]) -> None:
    """Runs `action` after `take_idle` has found a connection quiet, and before the write to it."""
    original = HostConnection.is_quiet

    def wrapped(connection: HostConnection) -> bool:
        if not original(connection):
            return False
        action(connection)
        wait_until_readable(connection)
        return True

    monkeypatch.setattr(HostConnection, "is_quiet", wrapped)


@on_loop
async def test_a_reset_before_the_write_moves_the_request_to_another_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The write itself fails, so no byte of the request can have arrived."""
    async with raw_host() as host:
        first = await host.exchange()
        run_before_write(monkeypatch, lambda connection: reset(first))
        host.send()
        second = await host.accept()
        assert await host.read(second) == len(REQUEST)
        second.sendall(reply())
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and host.pools.counts.stale == 1


@pytest.mark.parametrize("ending", ["orderly", "reset after the write"])
@on_loop
async def test_a_close_that_the_write_does_not_detect_is_a_reset(
    ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_host() as host:
        first = await host.exchange()
        if ending == "orderly":
            run_before_write(monkeypatch, lambda connection: first.close())
        else:
            write = HostConnection.write

            def write_then_reset(connection: HostConnection, data: bytes) -> bool:
                written = write(connection, data)
                reset(first)
                wait_until_readable(connection)
                return written

            monkeypatch.setattr(HostConnection, "write", write_then_reset)
        host.send()
        await until(lambda: host.ended)
        assert host.ended == [Outcome.RESET] and host.pools.counts.opened == 1


@pytest.mark.parametrize("bytes_", [b"H", b"HTTP/1.", b"HTTP/1.1 200 OK\r\nContent-Le", b"\0", b"0\r\n\r\n"])
@on_loop
async def test_partial_input_that_crosses_the_write_fails_the_attempt(
    bytes_: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_host() as host:
        first = await host.exchange()
        run_before_write(monkeypatch, lambda connection: first.sendall(bytes_))
        host.send()
        assert await host.read(first) == len(REQUEST)
        if not host.ended:
            first.sendall(reply(200, b"mine"))
        await until(lambda: host.ended)
        assert host.ended == [Outcome.ERROR]
        await until(lambda: host.pools.open_connections == 0)


@pytest.mark.parametrize("bytes_", [b"H", b"HTTP/1.1 200", reply(200, b"whose?"), b"\r\n"])
@pytest.mark.parametrize("loop_runs", [False, True])
@on_loop
async def test_an_idle_connection_with_unexpected_input_is_not_reused(bytes_: bytes, loop_runs: bool) -> None:
    async with raw_host() as host:
        first = await host.exchange()
        connection = host.known.idle[0]
        first.sendall(bytes_)
        wait_until_readable(connection)
        if loop_runs:
            await until(lambda: host.pools.open_connections == 0)
        host.send()
        second = await host.accept()
        assert await host.read(second) == len(REQUEST)
        second.sendall(reply(200, b"mine"))
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and host.replies[0] is not None and host.replies[0].body == b"mine"


@pytest.mark.parametrize("what_follows", ["reset", "time-out", "read and reset", "read and end"])
@on_loop
async def test_a_request_counts_as_written_once_the_kernel_has_its_last_byte(what_follows: str) -> None:
    data = REQUEST + bytes(16_000_000)
    async with raw_host(SMALL_BUFFER) as host:
        attempt = host.send(data, TIMEOUT_US if what_follows != "time-out" else 200_000)
        accepted = await host.accept()
        received = await host.read(accepted, 10_000)
        assert attempt.connection is not None and not attempt.connection.is_written
        if what_follows.startswith("read"):
            assert received + await host.read(accepted, len(data) - received) == len(data)
        if what_follows == "read and end":
            accepted.close()
        elif what_follows != "time-out":
            reset(accepted)
        await until(lambda: host.ended)
        assert host.ended == [Outcome.RESET if what_follows.startswith("read") else Outcome.CONNECT_FAILED]
        if what_follows == "time-out":
            assert received + await host.read(accepted, len(data)) < len(data)


@on_loop
async def test_an_address_change_while_connecting_sends_to_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its old address may belong to another host by now."""
    async with raw_host() as host, peer() as moved:
        on_connected = host.pools.on_connected

        def move_first(connection: HostConnection) -> None:
            name, _, port = moved.address.partition(":")
            host.pools.update_host(1, "h", (name, int(port)), True)
            on_connected(connection)

        monkeypatch.setattr(host.pools, "on_connected", move_first)
        host.send(request())
        accepted = await host.accept()
        assert await host.read(accepted) == 0
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and len(moved.seen) == 1


@pytest.mark.parametrize("size", [3, 50_000, 100_000])
@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("ending", ["orderly", "reset"])
@on_loop
async def test_a_reset_does_not_end_a_response_without_a_length(
    ending: str, streaming: bool, size: int
) -> None:
    """The last bytes and the close or reset are seen in one poll."""
    async with raw_host() as host:
        host.send()
        accepted = await host.accept()
        await host.read(accepted)
        accepted.sendall(b"HTTP/1.1 200 OK\r\n\r\nfirst")
        if streaming:
            await until(lambda: host.pieces)
        accepted.sendall(bytes(size))
        accepted.close() if ending == "orderly" else reset(accepted)
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK if ending == "orderly" else Outcome.RESET]
        body = b"".join(host.pieces) or (host.replies[0].body if host.replies[0] is not None else b"")
        assert ending == "reset" or len(body) == size + len(b"first")


@on_loop
async def test_a_host_removed_and_listed_again_keeps_no_old_connections() -> None:
    async with raw_host() as host:
        address = host.known.address
        host.send()
        accepted = await host.accept()
        await host.read(accepted)
        connecting = host.send()
        host.pools.remove_host(1)
        host.pools.update_host(1, "h", address, True)
        listed_again = host.pools.hosts[1]
        late = await host.accept()
        assert await host.read(late) == len(REQUEST)  # within stop_sending_within_us
        accepted.sendall(reply())
        late.sendall(reply())
        await until(lambda: len(host.ended) == 2)
        assert host.ended == [Outcome.OK] * 2 and connecting.ended
        assert not listed_again.idle and not host.known.idle and listed_again.open_connections == 0


@pytest.mark.parametrize("reuse_delay_over", [False, True])
@on_loop
async def test_a_late_second_response_is_not_given_to_the_next_request(reuse_delay_over: bool) -> None:
    """It would be taken for the response to the next request, so connections are not reused at once."""
    async with raw_host() as host:
        first = await host.exchange()
        if not reuse_delay_over:
            host.known.idle[0].idle_since_us = now_us()
        host.send()
        if reuse_delay_over:
            assert await host.read(first) == len(REQUEST)
            first.sendall(reply(200, b"mine"))
        else:
            second = await host.accept()
            assert await host.read(second) == len(REQUEST)
            first.sendall(reply(200, b"whose?"))
            await until(lambda: host.pools.counts.ended_idle == 1)
            second.sendall(reply(200, b"mine"))
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and host.replies[0] is not None and host.replies[0].body == b"mine"
        assert host.pools.counts.opened == (1 if reuse_delay_over else 2)


@on_loop
async def test_a_response_in_time_is_accepted_though_its_timeout_is_due_too() -> None:
    """After the loop was blocked both are due at once, and the loop runs timers before it reads."""
    async with raw_host() as host:
        host.send(timeout_us=100_000)
        accepted = await host.accept()
        await host.read(accepted)
        loop = asyncio.get_running_loop()
        read_end, write_end = socket.socketpair()

        def busy() -> None:
            """Blocks the loop in a read callback; what arrives meanwhile is read in the next iteration."""
            loop.remove_reader(read_end)
            accepted.sendall(reply(200, b"mine"))
            time.sleep(0.15)

        loop.add_reader(read_end, busy)
        write_end.send(b"x")
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK]
        read_end.close()
        write_end.close()


@on_loop
async def test_a_connect_in_time_is_accepted_though_its_timeout_is_due_too() -> None:
    async with raw_host() as host:
        host.pools.settings = replace(host.pools.settings, connect_timeout_us=100_000)
        attempt = host.send()
        while not descriptors_to({host.known.address[1]}):
            await asyncio.sleep(0)
        assert attempt.connection is not None and attempt.connection.transport is None
        time.sleep(0.15)
        accepted = await host.accept()
        assert await host.read(accepted) == len(REQUEST)
        accepted.sendall(reply())
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK]
