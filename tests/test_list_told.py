"""By when a change of the list is told, for each way in which a call to the list service can go wrong."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

import pytest

from tests.sockets import (
    Exchange,
    configuration,
    endpoint,
    host_id,
    hosts_list,
    on_loop,
    peer,
    running,
    silent,
    until,
)

FRESH = endpoint("s-3", "127.0.0.1:1")
BODY = json.dumps(hosts_list(9, FRESH), indent=4).encode()
CHUNKS = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in (BODY[:7], BODY[7:])) + b"0\r\n\r\n"
FORMS = {
    "lower case": b"HTTP/1.1 200 OK\r\ncontent-length:%d\r\n\r\n" % len(BODY) + BODY,
    "chunked": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS,
    "ended by close": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
    "old, ended by close": b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n" + BODY,
}


def reset(exchange: Exchange) -> None:
    """At once, and never a plain end."""
    sock = exchange.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    exchange.reset()


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_a_list_is_taken_in_every_form(form: str, mode: str) -> None:
    """One that ended with the connection was taken for a failed call."""

    async def in_pieces(exchange: Exchange) -> None:
        if registry.seen[1:]:
            return  # a watch that waits
        for byte in FORMS[form]:
            exchange.writer.write(bytes([byte]))
            await asyncio.sleep(0)
        if form.endswith("close"):
            exchange.writer.write_eof()

    async with peer(in_pieces) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = mode
        async with running(config) as run:
            await until(lambda: host_id(3) in run.gateway.pools.hosts)
            assert set(run.gateway.pools.hosts) == {host_id(3)}
            assert run.gateway.discovery.failures == run.gateway.balancer.list_calls_failed == 0
            assert sum("from=7" in exchange.message.first for exchange in registry.seen) == 1


@pytest.mark.parametrize("form", ["ended by close", "old, ended by close"])
@on_loop
async def test_a_reset_ends_no_list(form: str) -> None:
    """It may have come whole by its look, and lack its end for all that."""

    def script(exchange: Exchange) -> None:
        if len(registry.seen) == 1:
            exchange.answer(FORMS[form])
            reset(exchange)

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await until(lambda: len(registry.seen) == 2)
        assert set(run.gateway.pools.hosts) == {host_id(0)}
        registry.script = silent
