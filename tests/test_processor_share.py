"""One client that sends at full speed leaves the others their share of the processor and of the memory."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from faultlab.exhaustion.peers import crowd, request_head
from faultlab.exhaustion.probes import Probes
from faultlab.exhaustion.site import LEAST_MEMORY_MB, site

TARGET_S = 0.5  # aimUs of the lab's classes
FLOOD_S = 2.5
FLOOD_BYTES = 16 << 20


def repeated(make: Callable[[int], bytes]) -> bytes:
    """Requests up to FLOOD_BYTES in all, each made from its number."""
    found: list[bytes] = []
    size = 0
    for number in itertools.count():
        found.append(make(number))
        size += len(found[-1])
        if size > FLOOD_BYTES:
            return b"".join(found)
    raise AssertionError


FLOODS: dict[str, Callable[[int], bytes]] = {
    "checks": lambda number: b"GET /health/ready HTTP/1.1\r\n\r\n",
    "unknown paths": lambda number: b"GET /%x HTTP/1.1\r\n\r\n" % number,
    "no ids": lambda number: b"GET /search HTTP/1.1\r\n\r\n",
    "requests": lambda number: request_head("GET", f"/search/{number}"),
    "callers": lambda number: request_head("GET", f"/search/{number}", f"X-Caller: c{number}"),
    "classes": lambda number: request_head("GET", f"/search/{number}", f"X-Call-Class: k{number}"),
    "fields": lambda number: request_head("GET", f"/search/{number}", f"X-F{number}: 1"),
    "empty chunks": lambda number: (
        request_head("POST", "/transfer/x", "Transfer-Encoding: chunked") if not number else b""
    )
    + b"1\r\nx\r\n",
}


@pytest.mark.parametrize("reads", [True, False], ids=["answers read", "answers not read"])
@pytest.mark.parametrize("kind", FLOODS)
def test_one_client_at_full_speed_delays_no_other_client(kind: str, reads: bool) -> None:
    """Guards against one connection's input being worked off in one go, and against unbounded queues."""
    with site() as running, crowd(running.port) as flooding:
        flooding.reads_bytes = 1 << 20 if reads else 0
        flooding.writes_bytes = 1 << 20
        flooding.connect(1, repeated(FLOODS[kind]))
        with Probes(running.port) as probes:
            flooding.run(FLOOD_S, interval_s=0.001)
        assert running.process.poll() is None
        assert running.peak_mb <= LEAST_MEMORY_MB
    assert probes.statuses == {200}
    assert probes.slowest_s < TARGET_S
