"""Requests read from a client's connection, within bounds of size and time."""

from __future__ import annotations

import asyncio
import math
import select
from collections import deque
from typing import TYPE_CHECKING

import httptools

from cloverkeel.clock import now_us
from cloverkeel.front.requests import Request, RequestError
from cloverkeel.http1 import (
    OPTIONAL_WHITESPACE,
    BODY_LIMIT,
    HEAD_LIMIT,
    WRITE_STALL_S,
    Header,
    transfer_coding,
    header,
)
from cloverkeel.streams import MIN_BYTES_PER_S, Upload

if TYPE_CHECKING:
    from cloverkeel.front.server import Server

HEAD_TIMEOUT_S = (
    2.5  # for a head, and for a short body with it, from the connection's beginning or from its own
)
BODY_GRACE_S = 1.0
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_PIPELINED = 16  # requests read ahead on one connection
DISCONNECT_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR
)  # what a client's close or reset shows as


class RequestReader(asyncio.BufferedProtocol):
    """What is read from one connection, as requests in order; who inherits from it answers them."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.incoming: Request | None = None  # begun, not yet whole
        self.head_size = 0
        self.body_size = 0
        self.in_head = True
        self.framing_bytes = 0  # bytes of a body's framing since the last of the body itself
        self.message_ended = False  # a request has ended in the piece that was read last
        self.body_due_s = 0.0  # when the body's first byte is late; the rate gives the rest more
        self.paused_since_s = math.inf  # since when nothing is read, as nothing can pass on
        self.awaiting_since_s = math.inf  # when the request that is awaited began, or the connection's first
        self.timeout_deferred = False  # it was found late once, and what had come by then has been read since
        self.queue: deque[Request] = deque()
        self.current: Request | None = None  # read and not yet answered
        self.current_id = ""
        self.ignores_input = False  # nothing more is read as a request
        self.client_gone = False  # the client has closed, cancelled, or lost its connection
        self.poll = select.poll()

    def start_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        raise NotImplementedError

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Answer the current request."""
        raise NotImplementedError

    def close(self) -> None:
        """End the connection once all that was written has gone out."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = self.server.gateway.buffer
        is_long = self.incoming is not None and self.incoming.upload is not None
        return buffer.streamed_view() if is_long else buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        if not self.ignores_input:  # else it follows a request that can't be read, until the connection ends
            self.feed(bytes(self.server.gateway.buffer.view[:nbytes]))

    def eof_received(self) -> None:
        """The client has closed. Told here, as `connection_lost` comes only once all output is taken."""
        self.on_disconnect()

    def check_gone(self) -> bool:
        """Whether the client has gone; if so, nothing is held for it any more.

        The kernel is asked: while reading is paused the loop sees no end of it, and an end may come in the
        same round of the loop as what begins an attempt.
        """
        if not self.client_gone and self.transport is not None:
            ended = any(flags & DISCONNECT_EVENTS for _, flags in self.poll.poll(0))
            if ended or self.transport.is_closing():
                self.on_disconnect()
        return self.client_gone

    def on_disconnect(self) -> None:
        """The client has gone: nothing more is begun for it, and its connection ends."""
        if self.client_gone:
            return
        self.client_gone = self.ignores_input = True
        self.queue.clear()
        if self.current is not None and self.current_id:
            self.server.gateway.client_gone(self.current_id)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            if self.transport.get_write_buffer_size():
                # It ended its sending alone, maybe, and reads on, or does not.
                asyncio.get_running_loop().call_later(WRITE_STALL_S, self.transport.abort)

    def pause_input(self) -> None:
        """Read no more for now."""
        if self.paused_since_s == math.inf and self.transport is not None and not self.transport.is_closing():
            self.paused_since_s = asyncio.get_running_loop().time()
            self.transport.pause_reading()

    def resume_input(self) -> None:
        if self.paused_since_s != math.inf:
            self.extend_deadlines(asyncio.get_running_loop().time() - self.paused_since_s)
            self.paused_since_s = math.inf
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def extend_deadlines(self, waited_s: float) -> None:
        """Time in which the client was kept waiting is not its own."""
        self.awaiting_since_s += waited_s
        self.body_due_s += waited_s

    def is_overdue(self, now_s: float) -> bool:
        """Whether the request that is awaited should be here, or more of its body."""
        if self.paused_since_s != math.inf or self.awaiting_since_s == math.inf:
            return False
        if self.incoming is not None and self.incoming.awaits_continue_since_s:
            return False  # its client waits for word, and that for what is before it
        due_s = self.awaiting_since_s + HEAD_TIMEOUT_S
        if self.incoming is not None and not self.in_head:
            due_s = max(due_s, self.body_due_s + self.body_size / MIN_BYTES_PER_S)
        return due_s < now_s

    def feed(self, data: bytes) -> None:
        fault: RequestError | None = None
        self.message_ended = False
        body_size = self.body_size
        self.in_head = self.in_head or self.incoming is None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.decline_upgrade()
        except httptools.HttpParserError as error:
            cause = error.__context__
            fault = cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # Guards against a head without end: the parser hands a header over only once it is whole.
        # Of a piece that also ends another request, the part that is head is not known, and not counted.
        self.head_size = self.head_size + len(data) if self.in_head and not self.message_ended else 0
        if fault is None and self.head_size > HEAD_LIMIT:
            fault = RequestError(431, "the head is too long")
        # Guards against a chunk's extension or a trailer without end.
        self.framing_bytes = (
            self.framing_bytes + len(data) if self.incoming and self.body_size == body_size else 0
        )
        if fault is None and self.framing_bytes > HEAD_LIMIT and not self.in_head:
            fault = RequestError(431, "nothing but framing")
        if fault is not None:
            self.reject(fault)
        elif self.incoming is not None:
            if self.awaiting_since_s == math.inf:
                self.awaiting_since_s = asyncio.get_running_loop().time()
            self.begin_upload(self.incoming)
        if len(self.queue) > MAX_PIPELINED:
            self.pause_input()
        self.start_next()

    def decline_upgrade(self) -> None:
        """Answer a request for another protocol in this one, and as the last: the parser reads no further."""
        request = self.queue[-1] if self.queue else self.incoming
        if request is not None:
            request.keep_alive = False
        self.ignores_input = True

    def begin_upload(self, request: Request) -> None:
        """A body that has outgrown what is held whole: the request is taken, and the rest passes on."""
        if request.upload is None and self.body_size > BODY_LIMIT and not self.in_head:
            request.upload = Upload(bool(transfer_coding(request.headers)), self.resume_input)
            self.queue.append(request)
            self.pause_input()  # until a host has what is here

    def reject(self, fault: RequestError) -> None:
        """Answer for what is wrong, after what came before it, and read no further."""
        if self.incoming is not None and self.incoming.answered:
            self.close()  # it has its answer
            return
        self.ignores_input = True
        self.awaiting_since_s = math.inf
        upload = self.incoming if self.incoming is not None and self.incoming.upload is not None else None
        if upload is not None and upload in self.queue:
            self.queue.remove(upload)
        elif upload is not None and upload is self.current:
            # Its host has part of it, and must not get an end that nobody has sent.
            self.server.gateway.client_gone(self.current_id)
            upload.keep_alive = False
            self.respond(fault.status, fault.headers, f"{fault}\n".encode())
            return
        request = Request()
        request.error = fault
        self.queue.append(request)

    def on_request_timeout(self) -> None:
        """The request that was awaited has not come whole in time."""
        if not self.timeout_deferred and self.poll.poll(0):
            # More of it is here, not yet read, as where this program stood still. Once: a peer that sends
            # byte by byte has always more to come.
            self.timeout_deferred = True
            return
        if self.incoming is None and not self.head_size:
            self.close()  # unanswered: a request that crosses it is sent once more
            return
        self.reject(RequestError(408, "the request did not come in time"))
        self.start_next()

    def on_message_begin(self) -> None:
        self.incoming = Request()
        self.body_size = self.framing_bytes = 0
        self.in_head = True
        self.timeout_deferred = False

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.incoming is not None
        if self.in_head:  # else a trailer: nothing here reads it
            self.incoming.headers.append((name, value.strip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        assert self.incoming is not None
        self.in_head = False
        headers = self.incoming.headers
        self.incoming.method = self.parser.get_method()
        self.incoming.is_http10 = self.parser.get_http_version() == "1.0"
        self.incoming.keep_alive = self.parser.should_keep_alive()
        self.body_due_s = asyncio.get_running_loop().time() + BODY_GRACE_S
        length = header(headers, b"content-length")
        if length is not None and length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")
        if transfer_coding(headers) not in (b"", b"chunked"):
            raise RequestError(501, "the transfer coding is unknown")
        if self.parser.should_upgrade() and (transfer_coding(headers) or (length or b"0") != b"0"):
            raise RequestError(400, "no other protocol is spoken here")  # the parser would leave the body out
        expected = header(headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self.incoming.awaits_continue_since_s = asyncio.get_running_loop().time()
        self.maybe_send_continue()

    def maybe_send_continue(self) -> None:
        """Tell a client that waits for it to send its body: once all before is answered."""
        request = self.incoming
        if (
            request is not None
            and request.awaits_continue_since_s
            and self.current is None
            and not self.queue
        ):
            self.extend_deadlines(asyncio.get_running_loop().time() - request.awaits_continue_since_s)
            request.awaits_continue_since_s = 0.0
            assert self.transport is not None
            if not request.is_http10 and not self.transport.is_closing():
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        request = self.incoming
        assert request is not None
        request.awaits_continue_since_s = 0.0
        self.body_size += len(data)
        if self.body_size > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")
        if request.answered:
            return
        if request.upload is None:
            request.body.append(data)
        elif not request.upload.feed(data):
            self.pause_input()

    def on_message_complete(self) -> None:
        request = self.incoming
        assert request is not None
        self.incoming = None
        self.awaiting_since_s = math.inf
        self.message_ended = request.complete = True
        if request.upload is None:
            if self.current is not None or self.queue:
                request.queued_since_us = now_us()
                request.arrival_config = self.server.config
            self.queue.append(request)
        elif not request.answered:
            self.server.gateway.body_ended(self.current_id)
