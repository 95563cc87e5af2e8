"""The transport level of a connection to a host."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from cloverkeel.clock import now_us
from cloverkeel.fair_share import ProcessorUse
from cloverkeel.http1 import BODY_LIMIT, ReplyError, ReplyReader
from cloverkeel.memory import ATTEMPT_BYTES, HOST_CONNECTION_BYTES
from cloverkeel.streams import Upload
from cloverkeel.telemetry import Incident

if TYPE_CHECKING:
    from cloverkeel.hosts.attempt import Attempt
    from cloverkeel.hosts.host import Host
    from cloverkeel.hosts.pool import Pools


REPLY_READ_BYTES = 16 * 1024  # read at a time of a response that is held whole
ALWAYS_HELD_BYTES = 4 * 1024  # of a response's body: a short one is never streamed for want of memory
ALWAYS_HELD_HEAD_BYTES = 4 * 1024  # of its head: an ordinary one never fails for want of memory


class HostConnection(asyncio.BufferedProtocol):
    """A connection to a host; it carries one attempt at a time."""

    __slots__ = (
        "account",
        "address",
        "attempt",
        "awaits_turn",
        "closed",
        "flushed",
        "host",
        "idle_since_us",
        "is_held_back",
        "last_progress_us",
        "on_piece",
        "poll",
        "pools",
        "processor_use",
        "replies",
        "transport",
        "upload",
    )

    def __init__(self, pools: Pools, host: Host, attempt: Attempt | None) -> None:
        self.pools, self.host, self.attempt = pools, host, attempt
        self.address = host.address
        self.transport: asyncio.Transport | None = None
        self.account = pools.buffer.memory.open_account()
        self.replies = ReplyReader(BODY_LIMIT, True, self.may_hold, self.may_hold_head)
        self.on_piece: Callable[[bytes], None] | None = None  # consumer of the streamed response
        self.upload: Upload | None = None  # the streamed request body
        self.last_progress_us = 0  # when a piece of a streamed body was last written or read
        self.flushed = True  # the kernel has all that was written
        self.idle_since_us = 0
        self.is_held_back = False  # reading is paused for the client
        self.awaits_turn = False  # reading is paused until the connection's turn
        self.processor_use = ProcessorUse()
        self.closed = False  # it is no longer counted as open
        self.poll = select.poll()
        self.charge()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # With a limit of 0, pause_writing is called as soon as the kernel does not take all of a write.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pools.on_connected(self)

    def may_hold(self, size: int) -> bool:
        """Whether so many bytes of a response's body may be held; if not, it is streamed."""
        return size <= ALWAYS_HELD_BYTES or size <= self.pools.buffer.memory.free

    def may_hold_head(self, size: int) -> bool:
        """Whether so many bytes of a response's head and trailers may be held; if not, the attempt fails."""
        memory = self.pools.buffer.memory
        if size <= ALWAYS_HELD_HEAD_BYTES or memory.used + 2 * size <= memory.capacity:
            return True
        self.pools.telemetry.note(Incident.NO_MEMORY)
        return False

    def charge(self) -> None:
        """Charges the connection and what is held of the response and of the request that is not read yet."""
        if self.closed:
            return
        unsent = 0 if self.flushed or self.transport is None else self.transport.get_write_buffer_size()
        held = HOST_CONNECTION_BYTES + self.replies.held_bytes + unsent
        if self.on_piece is None:
            held += self.replies.head_bytes  # as it will be written to the client
        if self.attempt is not None and self.attempt.is_reserved:
            held = max(0, held - ATTEMPT_BYTES)
        self.account.add(held - self.account.held)

    def is_quiet(self) -> bool:
        """Returns whether the connection is open and has no unread input, according to the kernel.

        A request must not be written to a connection that the host has closed: it would end in a reset, which
        does not tell whether the host has processed the request.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def write(self, data: bytes) -> bool:
        """Writes a request; returns False if the connection broke before the last byte was written."""
        assert self.transport is not None
        self.transport.write(data)
        if self.transport.is_closing():
            return False
        if self.is_written:
            self.pools.on_written(self)
        return True

    @property
    def is_written(self) -> bool:
        """Whether the kernel has the last byte of the request."""
        return self.flushed and (self.upload is None or self.upload.ended)

    def write_body(self, data: bytes, ended: bool) -> None:
        """Writes a piece of a streamed request body; a broken connection is detected by reading."""
        self.last_progress_us = now_us()
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
        if ended:
            self.pools.bodies.on_request_body_end(self)

    def pause_reading(self) -> None:
        """Pauses reading while the client takes the response more slowly (backpressure)."""
        self.is_held_back = True
        self.apply_pause()

    def resume_reading(self) -> None:
        """Resumes reading once the client has caught up."""
        self.last_progress_us = now_us()
        self.is_held_back = False
        self.apply_pause()

    def take_turn(self) -> None:
        """Goes on reading a response after the connection had to wait for its turn."""
        self.awaits_turn = False
        self.last_progress_us = now_us()
        self.apply_pause()

    def apply_pause(self) -> None:
        """Reads from the host unless the client takes the response more slowly, or it is others' turn."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_held_back or self.awaits_turn:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def close(self) -> None:
        """Closes the connection at once and drops unsent output."""
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.flushed = False
        self.charge()

    def resume_writing(self) -> None:
        self.flushed = True
        self.charge()
        self.last_progress_us = now_us()
        if self.is_written:
            self.pools.on_written(self)
        elif self.upload is not None:
            self.upload.on_writable()

    def get_buffer(self, sizehint: int) -> memoryview:
        size = self.pools.buffer.piece_bytes()
        if self.on_piece is None:
            size = min(size, REPLY_READ_BYTES)
        return self.pools.buffer.begin_read(size)

    def buffer_updated(self, nbytes: int) -> None:
        began_s = self.pools.buffer.read_began_s
        self.handle_input(nbytes)
        self.charge()
        if self.attempt is None or self.awaits_turn:
            return
        if self.pools.fair_share.add(self.processor_use, began_s):
            self.awaits_turn = True
            self.apply_pause()
            self.pools.fair_share.wait(self, self.processor_use, began_s)

    def handle_input(self, nbytes: int) -> None:
        """Parses what was read into the buffer, and passes it on."""
        try:
            reply = self.replies.feed(bytes(self.pools.buffer.view[:nbytes]))
        except ReplyError:
            self.pools.on_malformed_reply(self)
            return
        if self.attempt is None:
            self.close()
        elif self.replies.streamed_head is not None and not self.pools.bodies.forward_response(
            self, self.replies.streamed_head
        ):
            return
        elif reply is not None:
            self.pools.on_reply(self, reply)
        elif self.replies.is_length_unknown and self.on_piece is None:
            self.pools.bodies.defer_streaming(self)

    def eof_received(self) -> None:
        reply = self.replies.feed_eof()
        if reply is not None:
            self.pools.on_reply(self, reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pools.on_connection_lost(self)
        self.pools.fair_share.leave(self.processor_use)
        self.replies.close()
        self.on_piece = self.upload = self.transport = None  # these refer to this connection
