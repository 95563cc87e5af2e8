"""One member's advertised stream port at the relay, and the streams through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from faultlab.relay import Relay

READ_SIZE = 65_536
CONNECT_TIMEOUT_S = 5.0


class Stream:
    """One relayed connection from member `source` to member `target`, made of two sockets."""

    def __init__(
        self,
        relay: Relay,
        source: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.relay = relay
        self.source = source
        self.target = target
        self.reader = reader
        self.writers = [writer]

    async def run(self) -> None:
        """Connect to the target, then forward both ways until both ends have closed or one has failed."""
        relay, member = self.relay, self.relay.members[self.target]
        try:
            await relay.wait_uncut(self.source, self.target)
            await relay.wait_uncut(self.target, self.source)  # the handshake needs the way back too
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(member.host, member.port)
            self.writers.append(writer)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._forward(self.reader, writer, self.source, self.target))
                directions.create_task(self._forward(reader, self.writers[0], self.target, self.source))
            for writer in self.writers:
                writer.close()
        except (OSError, ExceptionGroup):  # TimeoutError is an OSError; _forward fails within a group
            self.reset()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        relay = self.relay
        while True:
            # During a cut nothing is read: data stays in the socket buffers and the sender blocks.
            await relay.wait_uncut(source, target)
            data = await reader.read(READ_SIZE)
            delay_s = relay.rules.stream_delay_s(source, target)
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            await relay.wait_uncut(source, target)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            if relay.mangle is not None:
                data = relay.mangle(source, target, data)
            writer.write(data)
            await writer.drain()
            relay.counts["bytes"] += len(data)

    def reset(self) -> None:
        """Abort both connections at once, with a TCP reset instead of an orderly close."""
        for writer in self.writers:
            with contextlib.suppress(OSError):
                if (sock := writer.get_extra_info("socket")) is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


class StreamPort:
    """Accepts the connections that others open to member `name`."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay = relay
        self.name = name
        self.open_streams: set[Stream] = set()
        self.server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int) -> None:
        """Listen on the member's advertised port."""
        self.server = await asyncio.start_server(self._on_connection, "127.0.0.1", port)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self.relay.by_host.get(writer.get_extra_info("peername")[0])
        if source is None:
            self.relay.counts["strangers"] += 1
            writer.transport.abort()
            return
        self.relay.counts["streams"] += 1
        stream = Stream(self.relay, source.name, self.name, reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.open_streams.add(stream)
        try:
            await stream.run()
        except asyncio.CancelledError:
            pass  # cancelled by `close`: asyncio's callback would report a cancelled handler as an error
        finally:
            self.open_streams.discard(stream)
            self._tasks.discard(task)

    async def close(self) -> None:
        """Close the port and reset its streams."""
        if self.server is not None:
            self.server.close()
        for stream in list(self.open_streams):
            stream.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
