"""Hosts of the soak: they work, fail, hang, close connections, drain, return cold, and record requests."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any, cast

from faultlab.coldstart.host_capacity import HostCapacity
from faultlab.messages import Message, parse_message
from faultlab.soak.records import Arrival, Fall, HostChange, Records
from faultlab.soak.settings import Settings
from faultlab.standins import make_response

OK_RESPONSE, ERROR_RESPONSE = make_response(200, b"ok", "OK"), make_response(500, b"failed")
REJECTED_RESPONSE = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
MAX_QUEUE_S = 0.5  # a request that would wait longer is rejected


@dataclass(eq=False)
class SoakHost:
    """One host with its state and its connections."""

    number: int
    capacity: HostCapacity
    settings: Settings
    records: Records
    since_ms: int = 0
    status: str = "SERVING"
    hangs_until_s: float = 0.0
    errors_until_s: float = 0.0
    cold_start: HostChange | None = None  # its last cold start; None before the first
    recent_requests: deque[tuple[float, str]] = field(default_factory=deque)  # (time, id), last window
    connections: set[HostConnection] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostConnection(self), "127.0.0.1", 0, backlog=1024)

    @property
    def address(self) -> str:
        """The address at which it listens, HOST:PORT."""
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def endpoint(self) -> dict[str, Any]:
        """Its entry in the list."""
        return {"name": f"h{self.number}", "address": self.address, "zone": "a", "type": "m", "group": 0,
                "status": self.status, "weight": 1.0, "since_ms": self.since_ms}  # fmt: skip

    def restart(self) -> None:
        """Come back cold: work and connections from before are lost."""
        self.cold_start = HostChange(self.number, time.monotonic())
        self.since_ms = int(time.time() * 1000)
        self.status = "SERVING"
        self.capacity.restart(self.cold_start.since_s)
        self.recent_requests.clear()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Abort all connections."""
        for connection in tuple(self.connections):
            connection.transport.abort()

    def close_idle_connections(self) -> None:
        """Close the connections that have no request."""
        for connection in tuple(self.connections):
            if not connection.busy and not connection.data:
                connection.transport.close()

    def add_request(self, now_s: float, work: float, id_: str) -> None:
        """Count a request; record a fall with the requests of its window."""
        self.recent_requests.append((now_s, id_))
        while self.recent_requests[0][0] <= now_s - self.settings.fall_s:
            self.recent_requests.popleft()
        if self.capacity.add_work(now_s, work):
            if self.cold_start is not None:
                self.records.falls.append(Fall(now_s, self.cold_start, list(self.recent_requests)))
            self.recent_requests.clear()


class HostConnection(asyncio.Protocol):
    """One connection to a host, with one request at a time."""

    def __init__(self, host: SoakHost) -> None:
        self.host = host
        self.data = b""
        self.first_byte_s = 0.0
        self.busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.host.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.data:
            self.first_byte_s = time.monotonic()
        message, self.data = parse_message(self.data + data)
        if message is not None:
            self.on_request(message)

    def on_request(self, request: Message) -> None:
        """Record a request, and answer it as the state of the host says."""
        now_s, host = time.monotonic(), self.host
        id_ = request.headers.get(b"x-call-id", b"").decode("latin-1")
        budget_s = int(request.headers.get(b"x-budget-ms", b"0")) / 1000
        arrival = Arrival(id_, host.number, self.first_byte_s, now_s, budget_s)
        host.records.arrivals.setdefault(id_, []).append(arrival)
        host.add_request(now_s, 1.0, id_)
        if now_s < host.hangs_until_s:
            self.busy = True
        elif now_s < host.errors_until_s:
            self.respond(ERROR_RESPONSE)
        elif host.capacity.busy_until_s - now_s > MAX_QUEUE_S:
            arrival.may_have_run = False
            self.respond(REJECTED_RESPONSE)
        else:
            self.busy = True
            done_s = host.capacity.completion_s(now_s, 1.0)
            asyncio.get_running_loop().call_later(done_s - now_s, self.respond, OK_RESPONSE)

    def respond(self, data: bytes) -> None:
        """Send a response, unless the connection is closing."""
        self.busy = False
        if not self.transport.is_closing():
            self.transport.write(data)
