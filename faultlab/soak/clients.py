"""Clients of the soak: they reuse connections, may leave early, and retry when a connection is closed."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import cast

from cloverkeel.tasks import BackgroundTasks
from faultlab.messages import parse_message
from faultlab.soak.records import Exchange, ExchangeEnd, Records
from faultlab.soak.settings import CLASS_SHARES, CLASSES, Settings

ABANDONED_SHARE = 0.05  # share of the requests whose client closes its connection before the response
RESPONSE_GRACE_S = 1.5  # time that a client waits beyond the deadline of a request
KEY_COUNT = 50  # number of different paths that requests are for
MAX_CONNECTIONS = 40  # busy ones to one gateway
COMMON_HEAD = b"HTTP/1.1\r\nHost: l\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\nX-Call-Cost: %d\r\n"
REQUEST_HEADS = {
    "search": b"GET /search/%d " + COMMON_HEAD + b"\r\n",
    "hold": b"POST /hold/%d " + COMMON_HEAD + b"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
    "transfer": b"POST /transfer/%d " + COMMON_HEAD + b"Content-Length: 0\r\n\r\n",
}


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway, with at most one request at a time."""

    def __init__(self) -> None:
        self.response: asyncio.Future[int] | None = None
        self.data = b""
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        message, self.data = parse_message(self.data + data)
        if message is None:
            return
        if message.closes_connection:
            self.closed = True
            self.transport.close()
        self.resolve(message.status)

    def eof_received(self) -> bool:
        return False  # close this side too

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.resolve(0)

    def resolve(self, status: int) -> None:
        """End the request with this status; 0 stands for a closed connection."""
        if self.response is not None and not self.response.done():
            self.response.set_result(status)


class LoadGenerator:
    """All clients of the soak, and their connections by gateway."""

    def __init__(
        self,
        settings: Settings,
        records: Records,
        ports: list[int],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.settings, self.records, self.ports = settings, records, ports
        self.random = random.Random(f"clients {settings.seed}")
        self.run_numbers = [0] * len(ports)
        self.accepting = [False] * len(ports)  # whether new connections go to the gateway
        self.idle: list[list[ClientConnection]] = [[] for _ in ports]
        self.busy = [0] * len(ports)
        self.silent_transports: list[asyncio.BaseTransport] = []
        self.burst_until_s = 0.0
        self.sent_count = 0
        self.stopping = False
        self.tasks = BackgroundTasks(on_failure)

    async def run(self) -> None:
        """Send requests at the rate of the settings, at random moments, until `stopping`."""
        due_s = time.monotonic()
        while not self.stopping:
            rate_factor = 5.0 if time.monotonic() < self.burst_until_s else 1.0
            due_s += self.random.expovariate(self.settings.rate_per_s * rate_factor)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            gateway = self.random.randrange(len(self.ports))
            klass = self.random.choices(CLASSES, CLASS_SHARES)[0]
            leaves_s = self.random.uniform(0.0, 0.1) if self.random.random() < ABANDONED_SHARE else None
            self.tasks.spawn(self.run_request(gateway, klass, leaves_s))

    async def finish(self) -> None:
        """Wait for all requests to end, then close all connections."""
        self.stopping = True
        await self.tasks.wait()
        for connection in (each for idle in self.idle for each in idle):
            connection.transport.abort()
        self.close_silent_connections()

    async def connect(self, gateway: int) -> ClientConnection | None:
        """Open a connection; None if the gateway takes none now, or connecting fails or times out."""
        if not self.accepting[gateway]:
            return None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.settings.deadline_s):
                return (await loop.create_connection(ClientConnection, "127.0.0.1", self.ports[gateway]))[1]
        except (OSError, TimeoutError):
            return None

    async def run_request(self, gateway: int, klass: str, leaves_s: float | None) -> None:
        """Send one request, on an idle connection if there is one.

        If the connection is closed without a response, retry once, unless the request has reached a host.
        """
        if self.busy[gateway] >= MAX_CONNECTIONS:
            return
        self.busy[gateway] += 1
        try:
            idle = [each for each in self.idle[gateway] if not each.closed]
            self.idle[gateway] = idle
            connection = idle.pop() if idle else await self.connect(gateway)
            for is_client_retry in (False, True):
                if connection is None or connection.closed:
                    return
                exchange = await self.send_request(connection, gateway, klass, leaves_s, is_client_retry)
                if exchange.end is ExchangeEnd.ANSWERED and not connection.closed:
                    self.idle[gateway].append(connection)
                if exchange.end is not ExchangeEnd.CLOSED or exchange.id in self.records.arrivals:
                    return
                connection = await self.connect(gateway)
        finally:
            self.busy[gateway] -= 1

    async def send_request(
        self,
        connection: ClientConnection,
        gateway: int,
        klass: str,
        leaves_s: float | None,
        is_client_retry: bool,
    ) -> Exchange:
        """Send one request and wait until it ends. Each try has an id of its own."""
        self.sent_count += 1
        id_ = f"{gateway:02x}{self.sent_count:014x}"
        now_s, budget_s = time.monotonic(), self.settings.deadline_s
        exchange = Exchange(
            id_, klass, gateway, self.run_numbers[gateway], now_s, now_s + budget_s, is_client_retry
        )
        self.records.exchanges.append(exchange)
        connection.response = asyncio.get_running_loop().create_future()
        fields = (
            self.sent_count % KEY_COUNT,
            id_.encode(),
            int(budget_s * 1000),
            int(self.settings.work_s * 1e6),
        )
        connection.transport.write(REQUEST_HEADS[klass] % fields)
        timeout_s = budget_s + RESPONSE_GRACE_S if leaves_s is None else leaves_s
        try:
            exchange.status = await asyncio.wait_for(connection.response, timeout_s)
            exchange.end = ExchangeEnd.ANSWERED if exchange.status else ExchangeEnd.CLOSED
        except TimeoutError:
            exchange.end = ExchangeEnd.NO_RESPONSE if leaves_s is None else ExchangeEnd.CLIENT_LEFT
            connection.closed = True
            connection.transport.abort()
        exchange.ended_s = time.monotonic()
        return exchange

    async def open_silent_connections(self, gateway: int, count: int) -> None:
        """Open up to `count` connections that send nothing, until one fails."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            try:
                async with asyncio.timeout(1.0):
                    connected = await loop.create_connection(
                        asyncio.Protocol, "127.0.0.1", self.ports[gateway]
                    )
            except (OSError, TimeoutError):
                return
            self.silent_transports.append(connected[0])

    def close_silent_connections(self) -> None:
        """Close the connections that send nothing."""
        for transport in self.silent_transports:
            transport.close()
        self.silent_transports.clear()
