"""A host that a test controls step by step, and the connection pool that connects to it."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from caperdrift.interface import Outcome, Settings
from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.host import Host
from cloverkeel.hosts.idle import REUSE_DELAY_US
from cloverkeel.hosts.pool import Pools
from cloverkeel.http1 import Reply
from cloverkeel.memory import MemoryBudget
from cloverkeel.streams import ReadBuffer
from cloverkeel.telemetry import Telemetry
from tests.helpers import SAFE
from tests.sockets import reply, until

TIMEOUT_US = 20_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def descriptors_to(ports: set[int]) -> int:
    """Counts this process's sockets that are connected to one of these ports."""
    count = 0
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError, IndexError, TypeError):  # not a socket, or not connected
            copy = os.dup(int(name))
            try:
                connected = socket.socket(fileno=copy)
            except OSError:
                os.close(copy)
                continue
            with connected:
                count += connected.getpeername()[1] in ports
    return count


def reset(accepted_socket: socket.socket) -> None:
    """Closes the connection with a reset."""
    accepted_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted_socket.close()


def wait_until_readable(connection: HostConnection) -> None:
    """Blocks, without running the loop, until the host's last action has arrived at this side."""
    assert connection.poll.poll(5_000)


@dataclass
class RawHost:
    """A listening socket whose connections the test handles itself, and the pool that connects to it."""

    listener: socket.socket
    pools: Pools
    known: Host
    accepted: list[socket.socket] = field(default_factory=list)
    ended: list[Outcome] = field(default_factory=list)
    replies: list[Reply | None] = field(default_factory=list)
    pieces: list[bytes] = field(default_factory=list)  # of streamed responses

    def send(self, data: bytes = REQUEST, timeout_us: int = TIMEOUT_US) -> Attempt:
        attempt = Attempt(
            self.known, lambda: data, self.on_end, on_response_begin=lambda attempt, head: self.pieces.append
        )
        attempt.remaining_us = lambda: TIMEOUT_US
        self.pools.send(attempt, timeout_us)
        return attempt

    def on_end(self, attempt: Attempt, outcome: Outcome, answer: Reply | None) -> None:
        self.ended.append(outcome)
        self.replies.append(answer)

    async def accept(self) -> socket.socket:
        accepted_socket, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.accepted.append(accepted_socket)
        return accepted_socket

    async def read(self, accepted_socket: socket.socket, size: int = len(REQUEST)) -> int:
        """Reads up to `size` bytes or the end of the stream; returns the number of bytes read."""
        got = 0
        while got < size and (data := await asyncio.get_running_loop().sock_recv(accepted_socket, 1 << 20)):
            got += len(data)
        return got

    async def exchange(self, *answer: bytes) -> socket.socket:
        """Answers one request on a new connection, which is idle afterwards if it can be kept."""
        self.send()
        accepted_socket = await self.accept()
        await self.read(accepted_socket)
        accepted_socket.sendall(b"".join(answer) or reply())
        await until(lambda: self.ended)
        for connection in self.known.idle:
            connection.idle_since_us -= REUSE_DELAY_US  # as if the reuse delay were over
        self.ended.clear()
        self.replies.clear()
        return accepted_socket


@asynccontextmanager
async def raw_host(receive_buffer: int = 0) -> AsyncIterator[RawHost]:
    """Runs a host on a loopback port, and a pool that has only this host."""
    pools = Pools(
        Settings(classes=(SAFE,), stop_sending_within_us=1_000_000),
        Telemetry(),
        ReadBuffer(MemoryBudget(192)),
    )
    with socket.socket() as listener:
        if receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        pools.update_host(1, "h", listener.getsockname(), True)
        host = RawHost(listener, pools, pools.hosts[1])
        try:
            yield host
            await until(lambda: pools.open_connections == len(host.known.idle) == host.known.open_connections)
        finally:
            pools.close()
            for accepted_socket in host.accepted:
                accepted_socket.close()
