"""What a connection holds is freed with it: the garbage collector may come too late for a crowd."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Iterator

import pytest

from cloverkeel.front.connection import ClientConnection
from cloverkeel.hosts.connection import HostConnection
from tests.sockets import Running, configuration, on_loop, running, until
from tests.streaming import chunked, raw_host
from tests.sockets import request

HEAD = b"HTTP/1.1 200 OK\r\n"
LONG_BODY = bytes(300_000)

# What a host sends to each request, and whether its client leaves before the answer is whole.
ANSWERS: dict[str, tuple[bytes, bool]] = {
    "whole": (HEAD + b"Content-Length: 4\r\n\r\nfine", False),
    "long": (HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY, False),
    "long, left": (HEAD + b"Content-Length: 400000\r\n\r\n" + LONG_BODY, True),
    "late, left": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(bytes(100))[:-5], True),
    "none, left": (b"", True),
    "malformed": (HEAD + b"Content-Length: x\r\n\r\n", False),
    "head too long": (HEAD + b"a:\r\n" * 1000, False),
    "unknown coding": (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", False),
}
REQUESTS: dict[str, Callable[[], bytes]] = {
    "short": lambda: request(),
    "streamed": lambda: request("transfer", bytes(200_000)),
    "unfinished": lambda: request("transfer", bytes(200_000))[:100_000],
}


@pytest.fixture
def no_collector() -> Iterator[None]:
    """Without the garbage collector, what cycles hold is not freed."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def connections() -> list[object]:
    """All connections that are in memory, closed ones included."""
    return [found for found in gc.get_objects() if isinstance(found, ClientConnection | HostConnection)]


async def play(run: Running, data: bytes, leaves: bool, answered: asyncio.Event) -> None:
    """Send one request and close, at once if `leaves`, or else when an answer has begun."""
    client = await run.connect()
    client.send(data)
    await answered.wait()
    if not leaves:
        await client.reader.read(1000)
    client.close()
    await until(lambda: not run.server.connections and not run.server.lingering)


def end_attempts(run: Running) -> None:
    """End all attempts in flight, and close the idle connections."""
    run.gateway.pools.close()
    for pending in list(run.gateway.pending.values()):
        for attempt in pending.attempts:
            if attempt is not None:
                run.gateway.pools.time_out(attempt)


@pytest.mark.usefixtures("no_collector")
@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("answer", ANSWERS)
@on_loop
async def test_closed_connections_are_freed_without_the_collector(answer: str, kind: str) -> None:
    """Guards against cycles that keep heads and bodies of closed connections in memory."""
    response, leaves = ANSWERS[answer]
    answered = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        answered.set()
        while await reader.read(65_536):
            pass

    async with raw_host(serve) as host, running(configuration(host, maxAttempts=1)) as run:
        await play(run, REQUESTS[kind](), leaves, answered)
        end_attempts(run)
        await until(lambda: not run.gateway.pools.open_connections)
        await asyncio.sleep(0)
        assert not connections()
