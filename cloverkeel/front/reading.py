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
from cloverkeel.http1 import BLANK, BODY_LIMIT, HEAD_LIMIT, UNREAD_S, Header, coding_of, header
from cloverkeel.streams import LEAST_RATE, Upload

if TYPE_CHECKING:
    from cloverkeel.front.server import Server

HEAD_S = 2.5  # for a head, and for a short body with it, from the connection's beginning or from its own
BODY_SLACK_S = 1.0
BODY_MOST = 32 * 1024 * 1024
PIPELINED = 16  # requests read ahead on one connection
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what a client's close or reset shows as


class RequestReader(asyncio.BufferedProtocol):
    """What is read from one connection, as requests in order; who inherits from it answers them."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.reading: Request | None = None  # begun, not yet whole
        self.head_size = 0
        self.body_size = 0
        self.in_head = True
        self.overhead = 0  # bytes of a body's framing since the last of the body itself
        self.passed_end = False  # a request has ended in the piece that was read last
        self.body_due_s = 0.0  # when the body's first byte is late; the rate gives the rest more
        self.held_at_s = math.inf  # since when nothing is read, as nothing can pass on
        self.awaits_since_s = math.inf  # when the request that is awaited began, or the connection's first
        self.was_late = False  # it was found late once, and what had come by then has been read since
        self.waiting: deque[Request] = deque()
        self.current: Request | None = None  # read and not yet answered
        self.current_id = ""
        self.deaf = False  # nothing more is read as a request
        self.gone = False  # the client has closed, cancelled, or lost its connection
        self.poll = select.poll()

    def take_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        raise NotImplementedError

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Answer the current request."""
        raise NotImplementedError

    def close(self) -> None:
        """End the connection once all that was written has gone out."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = self.server.gateway.buffer
        is_long = self.reading is not None and self.reading.upload is not None
        return buffer.for_long() if is_long else buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        if not self.deaf:  # else it follows a request that can't be read, until the connection ends
            self.read(bytes(self.server.gateway.buffer.view[:nbytes]))

    def eof_received(self) -> None:
        """The client has closed. Told here, as `connection_lost` comes only once all output is taken."""
        self.leave()

    def check_gone(self) -> bool:
        """Whether the client has gone; if so, nothing is held for it any more.

        The kernel is asked: while reading is paused the loop sees no end of it, and an end may come in the
        same round of the loop as what begins an attempt.
        """
        if not self.gone and self.transport is not None:
            ended = any(flags & GONE for _, flags in self.poll.poll(0))
            if ended or self.transport.is_closing():
                self.leave()
        return self.gone

    def leave(self) -> None:
        """The client has gone: nothing more is begun for it, and its connection ends."""
        if self.gone:
            return
        self.gone = self.deaf = True
        self.waiting.clear()
        if self.current is not None and self.current_id:
            self.server.gateway.leave(self.current_id)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            if self.transport.get_write_buffer_size():
                # It ended its sending alone, maybe, and reads on, or does not.
                asyncio.get_running_loop().call_later(UNREAD_S, self.transport.abort)

    def hold(self) -> None:
        """Read no more for now."""
        if self.held_at_s == math.inf and self.transport is not None and not self.transport.is_closing():
            self.held_at_s = asyncio.get_running_loop().time()
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.held_at_s != math.inf:
            self.allow_more(asyncio.get_running_loop().time() - self.held_at_s)
            self.held_at_s = math.inf
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def allow_more(self, waited_s: float) -> None:
        """Time in which the client was kept waiting is not its own."""
        self.awaits_since_s += waited_s
        self.body_due_s += waited_s

    def is_late(self, now_s: float) -> bool:
        """Whether the request that is awaited should be here, or more of its body."""
        if self.held_at_s != math.inf or self.awaits_since_s == math.inf:
            return False
        if self.reading is not None and self.reading.expects_since_s:
            return False  # its client waits for word, and that for what is before it
        due_s = self.awaits_since_s + HEAD_S
        if self.reading is not None and not self.in_head:
            due_s = max(due_s, self.body_due_s + self.body_size / LEAST_RATE)
        return due_s < now_s

    def read(self, data: bytes) -> None:
        fault: RequestError | None = None
        self.passed_end = False
        body_size = self.body_size
        self.in_head = self.in_head or self.reading is None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.decline_upgrade()
        except httptools.HttpParserError as error:
            cause = error.__context__
            fault = cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # Guards against a head without end: the parser hands a header over only once it is whole.
        # Of a piece that also ends another request, the part that is head is not known, and not counted.
        self.head_size = self.head_size + len(data) if self.in_head and not self.passed_end else 0
        if fault is None and self.head_size > HEAD_LIMIT:
            fault = RequestError(431, "the head is too long")
        # Guards against a chunk's extension or a trailer without end.
        self.overhead = self.overhead + len(data) if self.reading and self.body_size == body_size else 0
        if fault is None and self.overhead > HEAD_LIMIT and not self.in_head:
            fault = RequestError(431, "nothing but framing")
        if fault is not None:
            self.refuse_rest(fault)
        elif self.reading is not None:
            if self.awaits_since_s == math.inf:
                self.awaits_since_s = asyncio.get_running_loop().time()
            self.begin_upload(self.reading)
        if len(self.waiting) > PIPELINED:
            self.hold()
        self.take_next()

    def decline_upgrade(self) -> None:
        """Answer a request for another protocol in this one, and as the last: the parser reads no further."""
        request = self.waiting[-1] if self.waiting else self.reading
        if request is not None:
            request.keep_alive = False
        self.deaf = True

    def begin_upload(self, request: Request) -> None:
        """A body that has outgrown what is held whole: the request is taken, and the rest passes on."""
        if request.upload is None and self.body_size > BODY_LIMIT and not self.in_head:
            request.upload = Upload(bool(coding_of(request.headers)), self.go_on)
            self.waiting.append(request)
            self.hold()  # until a host has what is here

    def refuse_rest(self, fault: RequestError) -> None:
        """Answer for what is wrong, after what came before it, and read no further."""
        if self.reading is not None and self.reading.answered:
            self.close()  # it has its answer
            return
        self.deaf = True
        self.awaits_since_s = math.inf
        upload = self.reading if self.reading is not None and self.reading.upload is not None else None
        if upload is not None and upload in self.waiting:
            self.waiting.remove(upload)
        elif upload is not None and upload is self.current:
            # Its host has part of it, and must not get an end that nobody has sent.
            self.server.gateway.leave(self.current_id)
            upload.keep_alive = False
            self.answer(fault.status, fault.headers, f"{fault}\n".encode())
            return
        request = Request()
        request.fault = fault
        self.waiting.append(request)

    def on_unfinished(self) -> None:
        """The request that was awaited has not come whole in time."""
        if not self.was_late and self.poll.poll(0):
            # More of it is here, not yet read, as where this program stood still. Once: a peer that sends
            # byte by byte has always more to come.
            self.was_late = True
            return
        if self.reading is None and not self.head_size:
            self.close()  # unanswered: a request that crosses it is sent once more
            return
        self.refuse_rest(RequestError(408, "the request did not come in time"))
        self.take_next()

    def on_message_begin(self) -> None:
        self.reading = Request()
        self.body_size = self.overhead = 0
        self.in_head = True
        self.was_late = False

    def on_url(self, url: bytes) -> None:
        assert self.reading is not None
        self.reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.reading is not None
        if self.in_head:  # else a trailer: nothing here reads it
            self.reading.headers.append((name, value.strip(BLANK)))

    def on_headers_complete(self) -> None:
        assert self.reading is not None
        self.in_head = False
        headers = self.reading.headers
        self.reading.method = self.parser.get_method()
        self.reading.is_old = self.parser.get_http_version() == "1.0"
        self.reading.keep_alive = self.parser.should_keep_alive()
        self.body_due_s = asyncio.get_running_loop().time() + BODY_SLACK_S
        length = header(headers, b"content-length")
        if length is not None and length.isdigit() and int(length) > BODY_MOST:
            raise RequestError(413, "the body is too long")
        if coding_of(headers) not in (b"", b"chunked"):
            raise RequestError(501, "the transfer coding is unknown")
        if self.parser.should_upgrade() and (coding_of(headers) or (length or b"0") != b"0"):
            raise RequestError(400, "no other protocol is spoken here")  # the parser would leave the body out
        expected = header(headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue":
            self.reading.expects_since_s = asyncio.get_running_loop().time()
        self.ask_for_body()

    def ask_for_body(self) -> None:
        """Tell a client that waits for it to send its body: once all before is answered."""
        request = self.reading
        if request is not None and request.expects_since_s and self.current is None and not self.waiting:
            self.allow_more(asyncio.get_running_loop().time() - request.expects_since_s)
            request.expects_since_s = 0.0
            assert self.transport is not None
            if not request.is_old and not self.transport.is_closing():
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        request = self.reading
        assert request is not None
        request.expects_since_s = 0.0
        self.body_size += len(data)
        if self.body_size > BODY_MOST:
            raise RequestError(413, "the body is too long")
        if request.answered:
            return
        if request.upload is None:
            request.body.append(data)
        elif not request.upload.feed(data):
            self.hold()

    def on_message_complete(self) -> None:
        request = self.reading
        assert request is not None
        self.reading = None
        self.awaits_since_s = math.inf
        self.passed_end = request.whole = True
        if request.upload is None:
            if self.current is not None or self.waiting:
                request.waits_since_us = now_us()
                request.came_under = self.server.config
            self.waiting.append(request)
        elif not request.answered:
            self.server.gateway.body_ended(self.current_id)
