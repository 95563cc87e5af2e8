"""What crosses on a connection to a host: bytes, an end or a reset between two steps of this side."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from caperdrift.interface import Outcome, Settings
from cloverkeel.clock import now_us
from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.host import Host
from cloverkeel.hosts.pool import Pools
from cloverkeel.http1 import Reply
from cloverkeel.streams import Buffer
from cloverkeel.telemetry import Telemetry
from tests.helpers import SAFE
from tests.sockets import Exchange, configuration, on_loop, peer, reply, request, running, until

LATE_US = 3_000_000
PATIENCE_US = 20_000_000
SMALL = 65_536  # a socket's buffer: far less than what is written
ASKED = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def reset(taken: socket.socket) -> None:
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    taken.close()


def seen_by(connection: HostConnection) -> None:
    """Wait, without a turn of the loop, until what its host has done has arrived at this side."""
    assert connection.poll.poll(5_000)


@dataclass
class RawHost:
    """A host whose every step the test makes itself, and the pool that reaches it."""

    listener: socket.socket
    pools: Pools
    known: Host
    taken: list[socket.socket] = field(default_factory=list)
    ended: list[Outcome] = field(default_factory=list)
    replies: list[Reply | None] = field(default_factory=list)
    pieces: list[bytes] = field(default_factory=list)  # of long answers

    def send(self, data: bytes = ASKED, timeout_us: int = PATIENCE_US) -> Attempt:
        attempt = Attempt(
            self.known, lambda: data, self.on_end, on_begin=lambda attempt, head: self.pieces.append
        )
        self.pools.send(attempt, timeout_us)
        return attempt

    def on_end(self, attempt: Attempt, outcome: Outcome, answer: Reply | None) -> None:
        self.ended.append(outcome)
        self.replies.append(answer)

    async def accept(self) -> socket.socket:
        taken, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.taken.append(taken)
        return taken

    async def read(self, taken: socket.socket, size: int = len(ASKED)) -> int:
        """Bytes that came, up to a size or the end."""
        got = 0
        while got < size and (data := await asyncio.get_running_loop().sock_recv(taken, 1 << 20)):
            got += len(data)
        return got

    async def exchange(self, *answer: bytes) -> socket.socket:
        """One request on a new connection, answered: the connection is idle then, if it may be."""
        self.send()
        taken = await self.accept()
        await self.read(taken)
        taken.sendall(b"".join(answer) or reply())
        await until(lambda: self.ended)
        self.ended.clear()
        self.replies.clear()
        return taken


@asynccontextmanager
async def raw_host(receive_buffer: int = 0) -> AsyncIterator[RawHost]:
    pools = Pools(Settings(classes=(SAFE,), stop_sending_within_us=1_000_000), Telemetry(), Buffer(192))
    with socket.socket() as listener:
        if receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        pools.put(1, "h", listener.getsockname(), True)
        host = RawHost(listener, pools, pools.hosts[1])
        try:
            yield host
            await until(lambda: pools.open == len(host.known.idle) == host.known.open)
        finally:
            pools.close()
            for taken in host.taken:
                taken.close()


@on_loop
async def test_what_a_host_is_told_of_the_time_is_what_is_left_when_it_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where a connection came up late, its host was told of time that had gone meanwhile."""
    async with peer() as host, running(configuration(host)) as run:
        pools = run.gateway.pools
        on_connected = pools.on_connected

        def late(connection: HostConnection) -> None:
            monkeypatch.setattr("cloverkeel.gateway.now_us", lambda: now_us() + LATE_US)
            on_connected(connection)

        monkeypatch.setattr(pools, "on_connected", late)
        assert (await run.ask(request(budget_ms=20_000))).status == 200
        assert 0 < int(host.seen[0].message.headers["x-budget-ms"]) <= 20_000 - LATE_US // 1000


@on_loop
async def test_a_blank_line_ahead_of_an_answer_does_not_bring_back_the_one_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The head of a long answer went out a second time, to the next request on its connection."""
    reads = 0
    buffer_updated = HostConnection.buffer_updated

    def counted(connection: HostConnection, nbytes: int) -> None:
        nonlocal reads
        buffer_updated(connection, nbytes)
        reads += 1

    async def script(exchange: Exchange) -> None:
        if len(host.seen) == 1:
            exchange.answer(reply(200, bytes(100_000)))
            return
        before = reads
        exchange.answer(b"\r\n")
        await until(lambda: reads > before)
        exchange.answer(reply(200, b"mine"))

    monkeypatch.setattr(HostConnection, "buffer_updated", counted)
    async with peer(script) as host, running(configuration(host)) as run:
        assert len((await run.ask(request())).body) == 100_000
        pools = run.gateway.pools
        await until(lambda: any(known.idle for known in pools.hosts.values()))
        async with asyncio.timeout(5):
            assert (await run.ask(request())).body == b"mine"
        assert host.opened == 1


TRICKLES = {
    "no length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x", "broken"),
    "chunked": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", "broken"),
    "short": (b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x", "504"),
    "head": (b"HTTP/1.1 200 OK\r\nX: ", b"x", "504"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n", "504"),
    "chunk's extension": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x", "504"),
}


@pytest.mark.parametrize("form", TRICKLES)
@on_loop
async def test_an_answer_that_never_ends_is_over_with_its_client_s_time(form: str) -> None:
    """One of unknown length passed on for as long as its client stayed: timers end where it begins."""
    head, piece, ends = TRICKLES[form]

    async def script(exchange: Exchange) -> None:
        exchange.answer(head)
        while not exchange.writer.is_closing():
            exchange.answer(piece)
            await asyncio.sleep(0.005)

    async with peer(script) as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(request("transfer", budget_ms=300))
        async with asyncio.timeout(5):
            status = int((await client.reader.readuntil(b"\r\n\r\n")).split()[1])
            assert status == (200 if ends == "broken" else 504)
            if ends == "broken":
                with pytest.raises(ConnectionResetError):
                    await client.reader.read()
            await until(lambda: run.gateway.pools.open == 0 and not run.gateway.held)
        client.close()


@on_loop
async def test_a_slow_long_answer_goes_on_when_its_client_s_time_is_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Over 64 KiB the first bytes are timed, also of an answer that is not yet long when the time is out."""
    looks = 0
    on_rate = Pools.on_rate

    def counted(pools: Pools, connection: HostConnection, attempt: Attempt) -> None:
        nonlocal looks
        looks += 1
        on_rate(pools, connection, attempt)

    async def script(exchange: Exchange) -> None:
        exchange.answer(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2710\r\n%s\r\n" % bytes(10_000)
        )
        await until(lambda: looks >= 3)
        exchange.answer(b"15f90\r\n%s\r\n0\r\n\r\n" % bytes(90_000))

    monkeypatch.setattr(Pools, "on_rate", counted)
    monkeypatch.setattr("cloverkeel.hosts.pool.LEAST_RATE", 1)
    async with peer(script) as host, running(configuration(host)) as run:
        client = await run.connect()
        client.send(request("transfer", budget_ms=100))
        data = b""
        while not data.endswith(b"\r\n0\r\n\r\n"):
            data += await client.reader.readexactly(1)
        assert data.count(b"\0") == 100_000 and looks >= 3
        client.close()


def between(monkeypatch: pytest.MonkeyPatch, does: Callable[[HostConnection], None]) -> None:
    """Have something happen between `take`, which found a connection fresh, and the write to it."""
    is_fresh = HostConnection.is_fresh

    def crossed(connection: HostConnection) -> bool:
        if not is_fresh(connection):
            return False
        does(connection)
        seen_by(connection)
        return True

    monkeypatch.setattr(HostConnection, "is_fresh", crossed)


@on_loop
async def test_a_reset_that_crosses_the_write_leaves_the_request_to_another_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The write itself fails: not a byte of it can have arrived."""
    async with raw_host() as host:
        first = await host.exchange()
        between(monkeypatch, lambda connection: reset(first))
        host.send()
        second = await host.accept()
        assert await host.read(second) == len(ASKED)
        second.sendall(reply())
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and host.pools.counts.stale == 1


@pytest.mark.parametrize("end", ["orderly", "reset after the write"])
@on_loop
async def test_an_end_that_the_write_did_not_meet_is_a_reset(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_host() as host:
        first = await host.exchange()
        if end == "orderly":
            between(monkeypatch, lambda connection: first.close())
        else:
            write = HostConnection.write

            def crossed(connection: HostConnection, data: bytes) -> bool:
                written = write(connection, data)
                reset(first)
                seen_by(connection)
                return written

            monkeypatch.setattr(HostConnection, "write", crossed)
        host.send()
        await until(lambda: host.ended)
        assert host.ended == [Outcome.RESET] and host.pools.counts.opened == 1


@pytest.mark.parametrize("bytes_", [b"H", b"HTTP/1.", b"HTTP/1.1 200 OK\r\nContent-Le", b"\0", b"0\r\n\r\n"])
@on_loop
async def test_half_a_line_that_crosses_the_write_spoils_the_answer(
    bytes_: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_host() as host:
        first = await host.exchange()
        between(monkeypatch, lambda connection: first.sendall(bytes_))
        host.send()
        assert await host.read(first) == len(ASKED)
        if not host.ended:
            first.sendall(reply(200, b"mine"))
        await until(lambda: host.ended)
        assert host.ended == [Outcome.ERROR]
        await until(lambda: host.pools.open == 0)


@pytest.mark.parametrize("bytes_", [b"H", b"HTTP/1.1 200", reply(200, b"whose?"), b"\r\n"])
@pytest.mark.parametrize("in_the_loop", [False, True])
@on_loop
async def test_an_idle_connection_that_says_something_is_not_used_again(
    bytes_: bytes, in_the_loop: bool
) -> None:
    async with raw_host() as host:
        first = await host.exchange()
        connection = host.known.idle[0]
        first.sendall(bytes_)
        seen_by(connection)
        if in_the_loop:
            await until(lambda: host.pools.open == 0)
        host.send()
        second = await host.accept()
        assert await host.read(second) == len(ASKED)
        second.sendall(reply(200, b"mine"))
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and host.replies[0] is not None and host.replies[0].body == b"mine"


@pytest.mark.parametrize("then", ["reset", "time-out", "read and reset", "read and end"])
@on_loop
async def test_a_request_is_written_once_its_last_byte_is_with_the_kernel(then: str) -> None:
    data = ASKED + bytes(16_000_000)
    async with raw_host(SMALL) as host:
        attempt = host.send(data, PATIENCE_US if then != "time-out" else 200_000)
        taken = await host.accept()
        got = await host.read(taken, 10_000)
        assert attempt.connection is not None and not attempt.connection.is_written
        if then.startswith("read"):
            assert got + await host.read(taken, len(data) - got) == len(data)
        if then == "read and end":
            taken.close()
        elif then != "time-out":
            reset(taken)
        await until(lambda: host.ended)
        assert host.ended == [Outcome.RESET if then.startswith("read") else Outcome.CONNECT_FAILED]
        if then == "time-out":
            assert got + await host.read(taken, len(data)) < len(data)


@on_loop
async def test_a_host_that_moves_while_a_connection_comes_up_gets_the_request_at_its_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another host may stand at the old one by now."""
    async with raw_host() as host, peer() as moved:
        on_connected = host.pools.on_connected

        def crossed(connection: HostConnection) -> None:
            name, _, port = moved.address.partition(":")
            host.pools.put(1, "h", (name, int(port)), True)
            on_connected(connection)

        monkeypatch.setattr(host.pools, "on_connected", crossed)
        host.send(request())
        taken = await host.accept()
        assert await host.read(taken) == 0
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK] and len(moved.seen) == 1


@pytest.mark.parametrize("size", [3, 50_000, 100_000])
@pytest.mark.parametrize("passing", [False, True])
@pytest.mark.parametrize("end", ["orderly", "reset"])
@on_loop
async def test_a_reset_is_no_end_of_an_answer_without_a_length(end: str, passing: bool, size: int) -> None:
    """Its last bytes and what ends it are there in one poll."""
    async with raw_host() as host:
        host.send()
        taken = await host.accept()
        await host.read(taken)
        taken.sendall(b"HTTP/1.1 200 OK\r\n\r\nfirst")
        if passing:
            await until(lambda: host.pieces)
        taken.sendall(bytes(size))
        taken.close() if end == "orderly" else reset(taken)
        await until(lambda: host.ended)
        assert host.ended == [Outcome.OK if end == "orderly" else Outcome.RESET]
        whole = b"".join(host.pieces) or (host.replies[0].body if host.replies[0] is not None else b"")
        assert end == "reset" or len(whole) == size + len(b"first")


@on_loop
async def test_a_host_that_is_gone_and_listed_again_keeps_nothing_of_its_earlier_life() -> None:
    async with raw_host() as host:
        address = host.known.address
        host.send()
        taken = await host.accept()
        await host.read(taken)
        coming_up = host.send()
        host.pools.remove(1)
        host.pools.put(1, "h", address, True)
        again = host.pools.hosts[1]
        late = await host.accept()
        assert await host.read(late) == len(ASKED)  # within the grace
        taken.sendall(reply())
        late.sendall(reply())
        await until(lambda: len(host.ended) == 2)
        assert host.ended == [Outcome.OK] * 2 and coming_up.ended
        assert not again.idle and not host.known.idle and again.open == 0
