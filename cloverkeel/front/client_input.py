"""Reads a client's connection: pauses, turns for the processor, and whether the client is still there."""

from __future__ import annotations

import asyncio
import fcntl
import math
import select
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverkeel.fair_share import MAX_TURN_S, ProcessorUse, processor_s
from cloverkeel.front.requests import Request
from cloverkeel.telemetry import Incident

if TYPE_CHECKING:
    from cloverkeel.front.server import Server

# Once so much input has waited, the receive window may be closed, so that a close does not arrive; it is open
# again once less than REOPENED_BYTES wait.
CLOSED_WINDOW_BYTES = 48 * 1024
REOPENED_BYTES = 16 * 1024
HIDDEN_CLOSE_S = 0.06  # after which a close that unread input may hide is assumed; 0.1 s are allowed
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # poll flags of a close or reset


class ClientInput(asyncio.BufferedProtocol):
    """Decides when a connection is read; a subclass parses what is read and queues requests."""

    __slots__ = (
        "client_gone", "current", "current_id", "has_turn", "ignores_input", "lagging_since_s",
        "paused_since_s", "poll", "processor_use", "queue", "read_lagging", "server", "transport",
        "turn_awaited_since_s", "work_began_s",
    )  # fmt: skip

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.queue: deque[Request] = deque()  # parsed, waiting for the current request's response
        self.current: Request | None = None  # being answered
        self.current_id = ""  # its call id at the gateway; empty: the gateway does not know it
        self.paused_since_s = math.inf  # loop time at which reading was paused; inf: it is not paused
        self.turn_awaited_since_s = math.inf  # loop time since which the connection waits for its turn
        self.processor_use = ProcessorUse()
        self.has_turn = False  # one queued request may be started, whatever the iteration has taken
        self.work_began_s = math.inf  # processor time at which the measured work in progress began
        # Loop time since which input may have been waiting unread; inf: all that had arrived was read.
        self.lagging_since_s = math.inf
        self.read_lagging = 0  # bytes read since then
        self.ignores_input = False  # further input is not parsed
        self.client_gone = False  # the client has closed, or the connection is lost
        self.poll = select.poll()

    def read_size(self) -> int:
        """The most that is read at a time."""
        raise NotImplementedError

    def feed(self, data: bytes) -> None:
        """Parses received bytes and starts the next request if none is being answered."""
        raise NotImplementedError

    def start_next(self) -> None:
        """Starts the next queued request once the current one is answered."""
        raise NotImplementedError

    def extend_deadlines(self, waited_s: float) -> None:
        """Extends the client's deadlines by time during which the gateway kept it waiting."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """Drops the client's pending requests and closes the connection."""
        raise NotImplementedError

    @property
    def is_uploading(self) -> bool:
        """Whether the current request's body is still being streamed."""
        return self.current is not None and self.current.upload is not None and not self.current.complete

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.gateway.buffer.begin_read(self.read_size())

    def buffer_updated(self, nbytes: int) -> None:
        read_began_s = self.server.gateway.buffer.read_began_s
        if self.ignores_input:  # set, for example, after a request that could not be parsed
            self.finish_work(read_began_s)
            return
        now_s = asyncio.get_running_loop().time()
        is_drained = nbytes < self.read_size()
        self.read_lagging += nbytes
        if not is_drained:
            self.lagging_since_s = min(self.lagging_since_s, now_s)
        self.work_began_s = read_began_s
        self.feed(bytes(self.server.gateway.buffer.view[:nbytes]))
        self.finish_work(read_began_s)
        if is_drained:
            self.note_all_read()

    @property
    def is_paused(self) -> bool:
        """Whether input is not read for now."""
        return self.paused_since_s != math.inf or self.turn_awaited_since_s != math.inf

    def measured(self, work: Callable[[], None]) -> None:
        """Does some work of this connection."""
        began_s = self.work_began_s = processor_s()
        work()
        self.finish_work(began_s)

    def finish_work(self, began_s: float) -> None:
        """Counts work of this connection; if that used up its burst of the processor, it has to wait."""
        self.work_began_s, self.has_turn = math.inf, False
        fair_share = self.server.gateway.fair_share
        has_to_wait = fair_share.add(self.processor_use, began_s)
        if self.turn_awaited_since_s < math.inf:
            return
        if has_to_wait:
            self.turn_awaited_since_s = asyncio.get_running_loop().time()
            self.apply_pause()
            fair_share.wait(self, self.processor_use, began_s)
        elif self.current is None:
            self.schedule_start()

    @property
    def turn_is_over(self) -> bool:
        """Whether the work in progress, or all of the loop's iteration, has taken as long as it may.

        A connection that waited for its turn may start one request in any case: in a busy loop it would
        otherwise wait again and again.
        """
        if self.has_turn:
            return False
        fair_share = self.server.gateway.fair_share
        return fair_share.is_iteration_over or processor_s() - self.work_began_s > MAX_TURN_S

    def schedule_start(self) -> None:
        """Lets the next queued request be started in the loop's next iteration, once."""
        raise NotImplementedError

    def take_turn(self) -> None:
        """Goes on after the connection had to wait for its turn."""
        if self.turn_awaited_since_s == math.inf:
            return
        self.extend_deadlines(asyncio.get_running_loop().time() - self.turn_awaited_since_s)
        self.turn_awaited_since_s = math.inf
        self.apply_pause()
        if self.queue:
            self.has_turn = True
            self.measured(self.start_next)

    def eof_received(self) -> None:
        """Handles the client's close at once: `connection_lost` is called only after all output is sent."""
        self.on_disconnect()

    def check_gone(self) -> bool:
        """Returns whether the client has disconnected; if so, its pending requests are dropped.

        Asks the kernel: while reading is paused the event loop does not notice a disconnect, and one may
        arrive in the same loop iteration as the event that starts an attempt.
        """
        if not self.client_gone and self.transport is not None:
            events = self.poll.poll(0)
            if not events:
                self.note_all_read()
            if any(flags & DISCONNECT_EVENTS for _, flags in events) or self.transport.is_closing():
                self.on_disconnect()
        return self.client_gone

    def may_be_gone(self) -> bool:
        """Returns whether the client has disconnected, or may have without this being visible.

        The end of a connection arrives behind the data that was sent before it. While the receive window is
        full of unread input, a close may be long past. It does not matter to a streamed body: its last byte
        is not passed on without another check.
        """
        if self.check_gone():
            return True
        lagging_s = asyncio.get_running_loop().time() - self.lagging_since_s
        if lagging_s <= HIDDEN_CLOSE_S or self.is_uploading:
            return False
        unread = self.unread_bytes()
        is_hidden = unread >= REOPENED_BYTES and unread + self.read_lagging >= CLOSED_WINDOW_BYTES
        if is_hidden:
            self.server.gateway.telemetry.note(Incident.CLOSE_MAY_BE_HIDDEN, self.current_id)
        return is_hidden

    def note_all_read(self) -> None:
        """Notes that no input waits to be read."""
        self.lagging_since_s = asyncio.get_running_loop().time() if self.is_paused else math.inf
        self.read_lagging = 0

    def unread_bytes(self) -> int:
        """Bytes that have arrived on this machine and are not read."""
        if self.transport is None or self.transport.is_closing():
            return 0
        descriptor = self.transport.get_extra_info("socket").fileno()
        try:
            return int(struct.unpack("i", fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)))[0])
        except OSError:
            return 0

    def pause_input(self) -> None:
        """Pauses reading from the client."""
        if self.paused_since_s == math.inf and self.transport is not None and not self.transport.is_closing():
            self.paused_since_s = asyncio.get_running_loop().time()
            self.apply_pause()

    def resume_input(self) -> None:
        """Resumes reading; the pause does not count against the client's deadlines."""
        if self.paused_since_s != math.inf:
            self.extend_deadlines(asyncio.get_running_loop().time() - self.paused_since_s)
            self.paused_since_s = math.inf
            self.apply_pause()

    def apply_pause(self) -> None:
        """Reads from the client unless reading is paused, or the connection waits for its turn."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_paused:
            self.lagging_since_s = min(self.lagging_since_s, asyncio.get_running_loop().time())
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            if not self.poll.poll(0):
                self.note_all_read()
