"""What hundreds of peers do at once to fill a gateway's memory, one scenario by name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from faultlab.exhaustion.peers import Crowd, chunked_request, many_fields, request_head

LARGE_BODY = bytes(200_000)  # streamed, as it is over 64 KiB
SHORT_BODY = bytes(60_000)  # held whole
ENDLESS_BODY = bytes(2 << 20)  # more than is read of one peer in the time of a test
SMALL_RECEIVE_BUFFER = 4096  # of a peer that does not read, so that little is held by the system


@dataclass(frozen=True)
class Scenario:
    """The bytes that each peer writes, and how it writes and reads."""

    name: str
    data: Callable[[], bytes]
    writes_bytes: int = 1 << 18  # at a step of 10 ms
    reads_bytes: int = 1 << 16  # likewise; 0: the peer reads nothing
    receive_buffer: int = 0  # 0: the system's
    leaves: bool = False  # each peer closes once it has written all, and comes back

    def start(self, crowd: Crowd, count: int) -> None:
        """Open the connections."""
        crowd.reads_bytes, crowd.writes_bytes = self.reads_bytes, self.writes_bytes
        crowd.leaves = self.leaves
        crowd.connect(count, [self.data() for _ in range(count)], self.receive_buffer)


def _post(body: bytes, length: int | None = None) -> bytes:
    return request_head("POST", "/transfer/x", length=len(body) if length is None else length) + body


def _get(target: str) -> Callable[[], bytes]:
    return lambda: request_head("GET", f"/search/{target}")


def _rejected() -> bytes:
    """A request that is rejected by its head, and all of its body."""
    return b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(ENDLESS_BODY) + ENDLESS_BODY


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("idle", bytes),
        Scenario("large-half-sent", lambda: _post(LARGE_BODY[:100_000], len(LARGE_BODY))),
        Scenario("short-half-sent", lambda: _post(SHORT_BODY[:-1000], len(SHORT_BODY))),
        Scenario("large-written-slowly", lambda: _post(LARGE_BODY), writes_bytes=700),
        Scenario("short-written-slowly", lambda: _post(SHORT_BODY), writes_bytes=700),
        Scenario("large-read-slowly-by-the-host", lambda: _large_to("reads-0-20000")),
        Scenario("many-fields-unfinished", lambda: many_fields(60_000, True)),
        Scenario("many-fields", lambda: many_fields(60_000, False)),
        Scenario("one-long-field", lambda: b"GET /search/x HTTP/1.1\r\nA: " + b"x" * 60_000),
        Scenario("small-chunks", lambda: chunked_request(SHORT_BODY, 2)[:-20]),
        Scenario("large-in-small-chunks", lambda: chunked_request(LARGE_BODY, 2, "reads-0-20000")),
        Scenario(
            "answers-not-read", _get("whole-60000-0"), reads_bytes=0, receive_buffer=SMALL_RECEIVE_BUFFER
        ),
        Scenario(
            "long-answers-not-read", _get("whole-300000-0"), reads_bytes=0,
            receive_buffer=SMALL_RECEIVE_BUFFER,
        ),
        Scenario(
            "long-answers-read-slowly", _get("whole-600000-0"), reads_bytes=500,
            receive_buffer=SMALL_RECEIVE_BUFFER,
        ),
        Scenario("long-trailer", lambda: chunked_request(b"x", 1)[:-2] + b"A: " + b"x" * 60_000),
        Scenario("rubbish-without-end", lambda: b"\0\r\n\r\n" + ENDLESS_BODY),
        Scenario("errors-and-their-bodies", _rejected),
        Scenario("large-at-full-speed", lambda: _post(ENDLESS_BODY)),
        Scenario("clients-that-leave", _get("silent-0-900"), leaves=True),
        Scenario("clients-that-leave-half-way", lambda: _post(LARGE_BODY)[:-1], leaves=True),
        Scenario(
            "answers-with-long-heads", _get("heads-300000-100"), reads_bytes=500,
            receive_buffer=SMALL_RECEIVE_BUFFER,
        ),
        Scenario("answers-with-an-unfinished-head", _get("field-60000-0")),
        Scenario("answers-that-stall", _get("stalls-60000-0")),
        Scenario("answers-with-a-long-trailer", _get("trailer-60000-0")),
        Scenario("answers-of-many-fields", _get("fields-0-15000")),
        Scenario("answers-in-small-chunks", _get("chunks-60000-2")),
        Scenario("pipelined-bodies", lambda: b"".join(_post(SHORT_BODY) for _ in range(20))),
        Scenario("pipelined-requests", lambda: b"".join(_get("x")() for _ in range(1000))),
        Scenario("pipelined-checks", lambda: b"GET /health/ready HTTP/1.1\r\n\r\n" * 5000),
        Scenario(
            "pipelined-errors-not-read", lambda: b"GET / HTTP/1.1\r\n\r\n" * 20_000, reads_bytes=0,
            receive_buffer=SMALL_RECEIVE_BUFFER,
        ),
    )
}  # fmt: skip


def _large_to(pace: str) -> bytes:
    return request_head("POST", f"/transfer/{pace}", length=len(LARGE_BODY)) + LARGE_BODY
