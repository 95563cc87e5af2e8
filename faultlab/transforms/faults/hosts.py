"""Stand-in hosts that check each request head that reaches them, and the calls that the lab sends."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from typing import cast

from faultlab.gateway_process import send_request

SENT_LINES = (b"X-Bad: 1", b"X-Keep: k", b"Cookie: a=b")
REQUEST = b"POST /transfer HTTP/1.1\r\nHost: l\r\nX-Call-Id: f%d\r\n" + b"\r\n".join(SENT_LINES) + (
    b"\r\nContent-Length: 0\r\n\r\n")  # fmt: skip
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ERROR_RESPONSE = b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nno"
TRANSFORM_PREFIXES = (b"x-mark:", b"x-sick:")  # headers that the lab's transforms may write
GATEWAY_PREFIXES = (b"host:", b"x-call-id:", b"x-budget-ms:", b"content-length:")
_request_numbers = itertools.count()


class HeadChecker:
    """Counts the x-mark values that the hosts of one fleet receive, and changes no transform may make."""

    def __init__(self) -> None:
        self.marks: Counter[bytes] = Counter()  # by value of x-mark; b"": no such header
        self.violations: Counter[str] = Counter()

    def make_protocol(self) -> asyncio.Protocol:
        """A host's side of a connection."""
        return _CheckingHost(self)

    def check_head(self, head: bytes) -> bytes:
        """Check one request head; returns the response."""
        lines = head.split(b"\r\n")[1:]
        marks = [line[7:].strip() for line in lines if line.lower().startswith(b"x-mark:")]
        self.marks[marks[-1] if marks else b""] += 1
        for sent in SENT_LINES:
            if sent not in lines:
                self.violations[f"{sent.decode()} is missing"] += 1
        for line in lines:
            if line not in SENT_LINES and not line.lower().startswith(TRANSFORM_PREFIXES + GATEWAY_PREFIXES):
                self.violations[f"{line[:40]!r} was added"] += 1
        return ERROR_RESPONSE if any(line.lower().startswith(b"x-sick:") for line in lines) else OK_RESPONSE


class _CheckingHost(asyncio.Protocol):
    def __init__(self, checker: HeadChecker) -> None:
        self.checker, self.buffer = checker, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *complete, self.buffer = (self.buffer + data).split(b"\r\n\r\n")
        for head in complete:
            self.transport.write(self.checker.check_head(head))


@contextlib.asynccontextmanager
async def send_calls(ports: Iterable[int], rate_per_s: float) -> AsyncIterator[Counter[int]]:
    """Send calls at this rate to each port; yields counts by status (0: no answer in time)."""
    stopping, statuses = asyncio.Event(), Counter[int]()

    async def call_repeatedly(port: int) -> None:
        while not stopping.is_set():
            statuses[await send_request(port, REQUEST % next(_request_numbers))] += 1
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), 1 / rate_per_s)

    tasks = [asyncio.create_task(call_repeatedly(port)) for port in ports]
    try:
        yield statuses
    finally:
        stopping.set()
        await asyncio.gather(*tasks)
