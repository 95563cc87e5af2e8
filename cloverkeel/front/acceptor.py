"""Accepts clients' connections: several in one iteration of the event loop where many wait.

The loop accepts one connection of a listening socket in an iteration. Where iterations are long, as many
connections have sent something, and many wait to be accepted, the last of them would wait for seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from cloverkeel.config import Address
from cloverkeel.tasks import BackgroundTasks

BACKLOG = 1024
ACCEPTS_PER_ITERATION = 64  # in addition to the loop's own

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class Acceptor:
    """Listens on one socket, and makes a protocol for each connection."""

    def __init__(
        self,
        factory: ProtocolFactory,
        free_connections: Callable[[], int],
        inherited: socket.socket | None = None,
    ) -> None:
        self._factory, self._free_connections = factory, free_connections
        self._socket = inherited  # None: not open yet
        self._is_accepting_more = False
        self._tasks = BackgroundTasks()
        self.listener: asyncio.Server | None = None

    @property
    def connecting(self) -> int:
        """The number of accepted connections that have no protocol yet."""
        return len(self._tasks)

    async def open(self, address: Address) -> None:
        """Bind to the address, unless the socket is inherited; does not accept yet. Raises OSError."""
        if self._socket is None:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self._socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.listener = await asyncio.get_running_loop().create_server(
            self._on_accepted, sock=self._socket, backlog=BACKLOG, start_serving=False
        )

    async def start(self) -> None:
        """Start to accept."""
        assert self.listener is not None
        await self.listener.start_serving()

    def close(self) -> None:
        """Stop accepting; connections that were accepted stay open."""
        if self.listener is not None:
            self.listener.close()

    def _on_accepted(self) -> asyncio.BaseProtocol:
        """Make the protocol of a connection that the loop has accepted, and accept those behind it."""
        if not self._is_accepting_more:
            self._is_accepting_more = True
            asyncio.get_running_loop().call_soon(self._accept_more)
        return self._factory()

    def _accept_more(self) -> None:
        self._is_accepting_more = False
        if self.listener is None or not self.listener.is_serving() or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        for _ in range(min(ACCEPTS_PER_ITERATION, self._free_connections())):
            try:
                connection, _address = self._socket.accept()
            except ConnectionAbortedError:
                continue  # the client has closed it meanwhile
            except OSError:
                return  # none waits, or there is a shortage, which the loop handles at its own accept
            self._tasks.spawn(self._connect(loop, connection))

    async def _connect(self, loop: asyncio.AbstractEventLoop, connection: socket.socket) -> None:
        connection.setblocking(False)
        with contextlib.suppress(OSError):  # the client has gone
            await loop.connect_accepted_socket(self._factory, connection)
