"""The clients of a cold start: they poll the gateways for readiness and send requests to the ready ones.

A child process of the lab: `python -m faultlab.coldstart.client SETTINGS`, commands on standard input. The
load is open loop: requests are sent at random moments of a fixed rate, whatever becomes of earlier ones, on
connections that are kept. A gateway gets requests from the moment at which it is ready. A request to a
gateway that has MAX_CONNECTIONS busy fails at once (status 0). A gateway with FAILURES_BEFORE_POLL requests
in a row without a response gets no more until it reports that it is ready again.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, cast

from cloverkeel.tasks import BackgroundTasks
from faultlab import child
from faultlab.coldstart.hosts import call_id
from faultlab.gateway_process import READY_REQUEST
from faultlab.messages import parse_message

POLL_S = 0.1
REQUEST_BUDGET_S = 1.0  # time that the requests state in X-Budget-Ms
RESPONSE_GRACE_S = 0.25  # the client waits for a response so much longer
MAX_CONNECTIONS = 32
FAILURES_BEFORE_POLL = 3
GET_HEAD = (
    b"GET /search/1 HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1000\r\nX-Call-Cost: %d\r\n\r\n"
)
POST_HEAD = (
    b"POST /transfer/1 HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1000\r\nX-Call-Cost: %d\r\n"
    b"Content-Length: 0\r\n\r\n"
)
POST_SHARE = 0.3


class GatewayConnection(asyncio.Protocol):
    """One connection to a gateway, with at most one request at a time."""

    def __init__(self) -> None:
        self.response: asyncio.Future[int] | None = None
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        message, self.data = parse_message(self.data + data)
        if message is None:
            return
        if message.closes_connection:
            self.transport.close()
        self.resolve(message.status)

    def connection_lost(self, error: Exception | None) -> None:
        self.resolve(0)

    def resolve(self, status: int) -> None:
        """End the request with this status; 0 stands for a closed connection."""
        if self.response is not None and not self.response.done():
            self.response.set_result(status)

    async def send(self, head: bytes, timeout_s: float) -> int:
        """Send one request and return the status of its response.

        Returns 0 if none came in time or the connection was closed, -1 if it had been closed before.
        """
        if self.transport.is_closing():
            return -1
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self.response, timeout_s)
        except TimeoutError:
            self.transport.abort()
            return 0


class LoadGenerator:
    """All clients, with their connections and the readiness of each gateway."""

    def __init__(self, ports: list[int], rate_per_s: float, work_us: int, seed: int) -> None:
        self.ports, self.rate_per_s, self.work_us = ports, rate_per_s, work_us
        self.random = random.Random(seed)
        self.ready_since_s: dict[int, float] = {}  # by gateway
        self.idle: dict[int, list[GatewayConnection]] = {}
        self.busy: dict[int, int] = {}
        self.failures: dict[int, int] = {}
        self.results: list[tuple[float, int, int, float]] = []  # (sent at, gateway, status, seconds taken)
        self.sending = False
        self.sent_count = 0
        self.tasks = BackgroundTasks()

    async def connect(self, gateway: int, timeout_s: float) -> GatewayConnection | None:
        """Open a connection; None if that fails or times out."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                return (await loop.create_connection(GatewayConnection, "127.0.0.1", self.ports[gateway]))[1]
        except (OSError, TimeoutError):
            return None

    async def poll_readiness(self, gateway: int) -> None:
        """Poll a gateway until it is ready."""
        while gateway not in self.ready_since_s:
            connection = await self.connect(gateway, 1.0)
            status = await connection.send(READY_REQUEST, 1.0) if connection is not None else 0
            if connection is not None:
                connection.transport.close()
            if status == 200:
                self.ready_since_s[gateway], self.failures[gateway] = time.monotonic(), 0
                self.idle[gateway], self.busy[gateway] = [], 0
            else:
                await asyncio.sleep(POLL_S * self.random.uniform(0.8, 1.2))

    async def send_requests(self) -> None:
        """Send requests at random moments to random gateways, but none to a gateway that is not ready."""
        due_s = time.monotonic()
        while self.sending:
            due_s += self.random.expovariate(self.rate_per_s)
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            gateway = self.random.randrange(len(self.ports))
            if gateway in self.ready_since_s:
                self.tasks.spawn(self.run_request(gateway))

    async def run_request(self, gateway: int) -> None:
        """Send one request and record its result; poll the gateway again after repeated failures."""
        began_s = time.monotonic()
        status = await self.send_request(gateway)
        self.results.append((began_s, gateway, status, time.monotonic() - began_s))
        self.failures[gateway] = 0 if status else self.failures[gateway] + 1
        if (
            self.failures[gateway] >= FAILURES_BEFORE_POLL
            and self.ready_since_s.pop(gateway, None) is not None
        ):
            self.tasks.spawn(self.poll_readiness(gateway))

    async def send_request(self, gateway: int) -> int:
        """Send one request, on an idle connection if there is one; returns the status, 0 if there is none."""
        self.sent_count += 1
        template = POST_HEAD if self.random.random() < POST_SHARE else GET_HEAD
        head = template % (call_id(gateway, self.sent_count).encode(), self.work_us)
        self.busy[gateway] += 1
        try:
            if self.busy[gateway] > MAX_CONNECTIONS:
                return 0
            idle, status = self.idle[gateway], -1
            while idle and status == -1:
                connection = idle.pop()
                status = await connection.send(head, REQUEST_BUDGET_S + RESPONSE_GRACE_S)
            if status == -1:
                fresh = await self.connect(gateway, REQUEST_BUDGET_S)
                if fresh is None:
                    return 0
                connection = fresh
                status = await connection.send(head, REQUEST_BUDGET_S + RESPONSE_GRACE_S)
            if not connection.transport.is_closing():
                idle.append(connection)
            return max(0, status)
        finally:
            self.busy[gateway] -= 1

    async def handle_command(self, do: str, arguments: dict[str, Any]) -> Any:
        """Execute one command of the lab. Raises ValueError for an unknown one."""
        match do:
            case "poll":  # poll these gateways until they are ready
                for gateway in arguments["gateways"]:
                    self.ready_since_s.pop(gateway, None)
                    self.tasks.spawn(self.poll_readiness(gateway))
                return None
            case "send":
                if arguments["on"] and not self.sending:
                    self.tasks.spawn(self.send_requests())
                self.sending = arguments["on"]
                return None
            case "ready":
                return list(self.ready_since_s.items())
            case "log":
                return self.results
            case _:
                raise ValueError(f"unknown command of the clients: {do}")


async def _make_handler(settings: dict[str, Any]) -> child.Handler:
    load = LoadGenerator(settings["ports"], settings["rate_per_s"], settings["work_us"], settings["seed"])
    return load.handle_command


if __name__ == "__main__":
    child.serve(_make_handler)
