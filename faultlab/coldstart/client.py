"""The clients' front of a cold start: finds out which gateways are ready and sends each its steady part.

A process of the lab: `python -m faultlab.coldstart.client SETTINGS`, commands on standard input. Open loop:
requests come at random moments of a rate that each ready gateway has from its first ready moment on, whatever
becomes of the ones before, on connections that are kept. A gateway with `MOST_CONNECTIONS` busy costs the
request (status 0); one that fails `FAILS_TO_LEAVE` in a row at the connection itself is asked for its
readiness again.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, cast

from cloverkeel.tasks import BackgroundTasks
from faultlab import child
from faultlab.coldstart.hosts import call_id
from faultlab.lab import READY
from faultlab.messages import take_message

POLL_S = 0.1
PATIENCE_S = 1.0  # as the requests' budget says
GRACE_S = 0.25  # for the answer beyond it
MOST_CONNECTIONS = 32
FAILS_TO_LEAVE = 3
GET = b"GET /search/1 HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1000\r\nX-Call-Cost: %d\r\n\r\n"
POST = (
    b"POST /transfer/1 HTTP/1.1\r\nHost: lab\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1000\r\nX-Call-Cost: %d\r\n"
    b"Content-Length: 0\r\n\r\n"
)
POST_SHARE = 0.3


class Connection(asyncio.Protocol):
    """One connection to a gateway: a request out at most, its status once the answer is whole."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[int] | None = None
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        message, self.data = take_message(self.data + data)
        if message is None:
            return
        if message.closes:
            self.transport.close()
        self.settle(message.status)

    def connection_lost(self, error: Exception | None) -> None:
        self.settle(0)

    def settle(self, status: int) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(status)

    async def ask(self, head: bytes, timeout_s: float) -> int:
        """One request; 0 where no answer came in time, or the connection ended (-1: it had ended before)."""
        if self.transport.is_closing():
            return -1
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        try:
            return await asyncio.wait_for(self.answer, timeout_s)
        except TimeoutError:
            self.transport.abort()
            return 0


class Front:
    """All gateways as the clients see them."""

    def __init__(self, ports: list[int], rate_per_s: float, work_us: int, seed: int) -> None:
        self.ports, self.rate_per_s, self.work_us = ports, rate_per_s, work_us
        self.random = random.Random(seed)
        self.ready: dict[int, float] = {}  # gateway: since when
        self.idle: dict[int, list[Connection]] = {}
        self.busy: dict[int, int] = {}
        self.fails: dict[int, int] = {}
        self.results: list[tuple[float, int, int, float]] = []  # (sent, gateway, status, seconds taken)
        self.sending = False
        self.count = 0
        self.tasks = BackgroundTasks()

    async def connect(self, gateway: int, timeout_s: float) -> Connection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                return (await loop.create_connection(Connection, "127.0.0.1", self.ports[gateway]))[1]
        except (OSError, TimeoutError):
            return None

    async def poll(self, gateway: int) -> None:
        """Ask until it is ready."""
        while gateway not in self.ready:
            connection = await self.connect(gateway, 1.0)
            status = await connection.ask(READY, 1.0) if connection is not None else 0
            if connection is not None:
                connection.transport.close()
            if status == 200:
                self.ready[gateway], self.fails[gateway] = time.monotonic(), 0
                self.idle[gateway], self.busy[gateway] = [], 0
            else:
                await asyncio.sleep(POLL_S * self.random.uniform(0.8, 1.2))

    async def send(self) -> None:
        """Draw the moments of all ready gateways' requests from one clock."""
        due_s = time.monotonic()
        while self.sending:
            due_s += self.random.expovariate(self.rate_per_s)
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            gateway = self.random.randrange(len(self.ports))
            if gateway in self.ready:
                self.tasks.spawn(self.one(gateway))

    async def one(self, gateway: int) -> None:
        began_s = time.monotonic()
        status = await self.exchange(gateway)
        self.results.append((began_s, gateway, status, time.monotonic() - began_s))
        self.fails[gateway] = 0 if status else self.fails[gateway] + 1
        if self.fails[gateway] >= FAILS_TO_LEAVE and self.ready.pop(gateway, None) is not None:
            self.tasks.spawn(self.poll(gateway))

    async def exchange(self, gateway: int) -> int:
        self.count += 1
        template = POST if self.random.random() < POST_SHARE else GET
        head = template % (call_id(gateway, self.count).encode(), self.work_us)
        self.busy[gateway] += 1
        try:
            if self.busy[gateway] > MOST_CONNECTIONS:
                return 0
            idle, status = self.idle[gateway], -1
            while idle and status == -1:
                connection = idle.pop()
                status = await connection.ask(head, PATIENCE_S + GRACE_S)
            if status == -1:
                fresh = await self.connect(gateway, PATIENCE_S)
                if fresh is None:
                    return 0
                connection = fresh
                status = await connection.ask(head, PATIENCE_S + GRACE_S)
            if not connection.transport.is_closing():
                idle.append(connection)
            return max(0, status)
        finally:
            self.busy[gateway] -= 1

    async def obey(self, do: str, order: dict[str, Any]) -> Any:
        """One command of the lab; ValueError where it is none."""
        match do:
            case "poll":  # these gateways, from now on
                for gateway in order["gateways"]:
                    self.ready.pop(gateway, None)
                    self.tasks.spawn(self.poll(gateway))
                return None
            case "send":
                if order["on"] and not self.sending:
                    self.tasks.spawn(self.send())
                self.sending = order["on"]
                return None
            case "ready":
                return list(self.ready.items())
            case "log":
                return self.results
            case _:
                raise ValueError(f"no command of the clients: {do}")


async def _make(settings: dict[str, Any]) -> child.Handler:
    front = Front(settings["ports"], settings["rate_per_s"], settings["work_us"], settings["seed"])
    return front.obey


if __name__ == "__main__":
    child.serve(_make)
