"""Clients of the soak: they keep using open connections, leave, and send again where one closes under it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import cast

from cloverkeel.tasks import BackgroundTasks
from faultlab.messages import take_message
from faultlab.soak.records import End, Exchange, Records
from faultlab.soak.settings import CLASS_SHARES, CLASSES, Settings

LEAVE_SHARE = 0.05  # of the requests, whose client closes its connection before the answer
GIVE_UP_S = 1.5  # after a request's time: nothing more is waited for
KEYS = 50  # that requests are about
MOST_CONNECTIONS = 40  # to one gateway
COMMON = b"HTTP/1.1\r\nHost: l\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\nX-Call-Cost: %d\r\n"
HEADS = {
    "search": b"GET /search/%d " + COMMON + b"\r\n",
    "hold": b"POST /hold/%d " + COMMON + b"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
    "transfer": b"POST /transfer/%d " + COMMON + b"Content-Length: 0\r\n\r\n",
}


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway: a request out at most."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[int] | None = None
        self.data = b""
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        message, self.data = take_message(self.data + data)
        if message is None:
            return
        if message.closes:
            self.lost = True
            self.transport.close()
        self.settle(message.status)

    def eof_received(self) -> bool:
        return False  # close this side too

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self.settle(0)

    def settle(self, status: int) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(status)


class Front:
    """All clients, by the gateway that they send to."""

    def __init__(
        self,
        settings: Settings,
        records: Records,
        ports: list[int],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.settings, self.records, self.ports = settings, records, ports
        self.random = random.Random(f"clients {settings.seed}")
        self.lives = [0] * len(ports)
        self.open = [False] * len(ports)  # those that the front sends new connections to
        self.idle: list[list[ClientConnection]] = [[] for _ in ports]
        self.busy = [0] * len(ports)
        self.idlers: list[asyncio.BaseTransport] = []
        self.boost_until_s = 0.0
        self.count = 0
        self.ended = False
        self.tasks = BackgroundTasks(on_failure)

    async def run(self) -> None:
        """Send at the settings' rate, in random moments, until `ended`."""
        due_s = time.monotonic()
        while not self.ended:
            boost = 5.0 if time.monotonic() < self.boost_until_s else 1.0
            due_s += self.random.expovariate(self.settings.rate * boost)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            gateway = self.random.randrange(len(self.ports))
            klass = self.random.choices(CLASSES, CLASS_SHARES)[0]
            leaves_s = self.random.uniform(0.0, 0.1) if self.random.random() < LEAVE_SHARE else None
            self.tasks.spawn(self.one(gateway, klass, leaves_s))

    async def finish(self) -> None:
        self.ended = True
        await self.tasks.wait()
        for connection in (each for idle in self.idle for each in idle):
            connection.transport.abort()
        self.end_idlers()

    async def connect(self, gateway: int) -> ClientConnection | None:
        if not self.open[gateway]:
            return None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.settings.deadline_s):
                return (await loop.create_connection(ClientConnection, "127.0.0.1", self.ports[gateway]))[1]
        except (OSError, TimeoutError):
            return None

    async def one(self, gateway: int, klass: str, leaves_s: float | None) -> None:
        """One request, on a kept connection where there is one; once more where that closes under it."""
        if self.busy[gateway] >= MOST_CONNECTIONS:
            return
        self.busy[gateway] += 1
        try:
            idle = [each for each in self.idle[gateway] if not each.lost]
            self.idle[gateway] = idle
            connection = idle.pop() if idle else await self.connect(gateway)
            for is_repeat in (False, True):
                if connection is None or connection.lost:
                    return
                exchange = await self.ask(connection, gateway, klass, leaves_s, is_repeat)
                if exchange.end is End.ANSWERED and not connection.lost:
                    self.idle[gateway].append(connection)
                if exchange.end is not End.CLOSED or exchange.id in self.records.arrivals:
                    return
                connection = await self.connect(gateway)
        finally:
            self.busy[gateway] -= 1

    async def ask(
        self, connection: ClientConnection, gateway: int, klass: str, leaves_s: float | None, is_repeat: bool
    ) -> Exchange:
        """Send one request, and wait for its end. Its id is new, also where it is sent once more."""
        self.count += 1
        id_ = f"{gateway:02x}{self.count:014x}"
        now_s, budget_s = time.monotonic(), self.settings.deadline_s
        exchange = Exchange(id_, klass, gateway, self.lives[gateway], now_s, now_s + budget_s, is_repeat)
        self.records.exchanges.append(exchange)
        connection.answer = asyncio.get_running_loop().create_future()
        figures = self.count % KEYS, id_.encode(), int(budget_s * 1000), int(self.settings.work_s * 1e6)
        connection.transport.write(HEADS[klass] % figures)
        patience_s = budget_s + GIVE_UP_S if leaves_s is None else leaves_s
        try:
            exchange.status = await asyncio.wait_for(connection.answer, patience_s)
            exchange.end = End.ANSWERED if exchange.status else End.CLOSED
        except TimeoutError:
            exchange.end = End.SILENT if leaves_s is None else End.GONE
            connection.lost = True
            connection.transport.abort()
        exchange.ended_s = time.monotonic()
        return exchange

    async def fill(self, gateway: int, count: int) -> None:
        """Open connections that send nothing."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            try:
                async with asyncio.timeout(1.0):
                    made = await loop.create_connection(asyncio.Protocol, "127.0.0.1", self.ports[gateway])
            except (OSError, TimeoutError):
                return
            self.idlers.append(made[0])

    def end_idlers(self) -> None:
        for transport in self.idlers:
            transport.close()
        self.idlers.clear()
