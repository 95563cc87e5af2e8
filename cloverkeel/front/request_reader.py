"""Parses the requests of a client's connection within limits on size, time and pipelining depth."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import httptools

from cloverkeel.clock import now_us
from cloverkeel.front.request_memory import RequestMemory
from cloverkeel.front.requests import OVERLOADED, RETRY_SOON, Request, RequestError
from cloverkeel.http1 import (
    BODY_LIMIT,
    HEAD_LIMIT,
    MAX_FIELDS,
    OPTIONAL_WHITESPACE,
    WRITE_STALL_S,
    Header,
    header,
    transfer_coding,
)
from cloverkeel.memory import FIELD_BYTES
from cloverkeel.streams import MIN_BYTES_PER_S, PIECE_BYTES, Upload
from cloverkeel.telemetry import Incident

if TYPE_CHECKING:
    from cloverkeel.front.server import Server

# Time for a request's head, and for a short body with it: from the opening of the connection for the first
# request, from the request's first byte for later ones.
HEAD_TIMEOUT_S = 2.5
BODY_GRACE_S = 1.0  # after the head, before the minimum rate applies to the body
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_PIPELINED = 16  # parsed requests that may wait on one connection before reading pauses
HEAD_READ_BYTES = 1024  # read at a time outside of a body: bounds how many requests one read holds
BODY_READ_BYTES = 8 * 1024  # read at a time of a body that is held whole
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # that a client's system may hold after the client has sent them


class RequestReader(RequestMemory):
    """Turns the bytes of one connection into a queue of requests, in order; a subclass answers them."""

    __slots__ = (
        "awaiting_since_s", "body_due_s", "body_size", "framing_bytes",
        "head_size", "in_head", "incoming", "message_ended", "parser", "timeout_deferred",
    )  # fmt: skip

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self.parser = httptools.HttpRequestParser(self)
        self.incoming: Request | None = None  # being received
        self.head_size = 0  # bytes read of the current head
        self.body_size = 0  # bytes read of the current body, without its framing
        self.in_head = True
        self.framing_bytes = 0  # bytes of chunk framing and trailers since the last byte of the body itself
        self.message_ended = False  # the last read contained the end of a request
        self.body_due_s = 0.0  # loop time by which the body must begin; the minimum rate extends it
        # Loop time from which the request being received, or the connection's first one, is timed; inf: none.
        self.awaiting_since_s = math.inf
        self.timeout_deferred = False  # a time-out was put off once, to read bytes that had already arrived

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Writes the response to the current request."""
        raise NotImplementedError

    def close(self) -> None:
        """Ends the connection after all output is sent."""
        raise NotImplementedError

    def read_size(self) -> int:
        """The most that is read at a time."""
        incoming = self.incoming
        if self.ignores_input or (incoming is not None and incoming.answered):
            return PIECE_BYTES  # nothing of it is held
        if incoming is None or self.in_head:
            return HEAD_READ_BYTES
        if incoming.upload is not None:
            return self.server.gateway.buffer.piece_bytes()
        return BODY_READ_BYTES

    def on_disconnect(self) -> None:
        """Drops the client's pending requests and closes the connection."""
        if self.client_gone:
            return
        self.client_gone = self.ignores_input = True
        self.clear_queue()
        if self.current is not None and self.current_id:
            self.server.gateway.client_gone(self.current_id)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            if self.transport.get_write_buffer_size():
                # The client may have shut down only its sending side, and may or may not still read.
                asyncio.get_running_loop().call_later(WRITE_STALL_S, self.transport.abort)

    def clear_queue(self) -> None:
        """Drops the requests that wait."""
        for request in self.queue:
            self.release(request)
        self.queue.clear()

    def extend_deadlines(self, waited_s: float) -> None:
        """Extends the deadlines of the incoming request by time during which the gateway kept it waiting."""
        self.awaiting_since_s += waited_s
        self.body_due_s += waited_s

    def is_overdue(self, now_s: float) -> bool:
        """Returns whether the incoming request has exceeded its time, or its body the minimum rate."""
        if self.is_paused or self.awaiting_since_s == math.inf:
            return False
        if self.incoming is not None and self.incoming.awaits_continue_since_s:
            return False  # the client waits for "100 Continue", which waits for earlier responses
        due_s = self.awaiting_since_s + HEAD_TIMEOUT_S
        if self.incoming is not None and not self.in_head:
            due_s = max(due_s, self.body_due_s + self.body_size / MIN_BYTES_PER_S)
        return due_s < now_s

    def feed(self, data: bytes) -> None:
        """Parses received bytes and starts the next request if none is being answered."""
        fault: RequestError | None = None
        self.message_ended = False
        body_size = self.body_size
        self.in_head = self.in_head or self.incoming is None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.decline_upgrade()
        except httptools.HttpParserError as error:
            cause = error.__context__  # an exception raised in one of the callbacks below
            fault = cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # Limits the head here because the parser reports a header only once it is complete. If the same read
        # also ended another request, how much of it belongs to the head is unknown, and it is not counted.
        self.head_size = self.head_size + len(data) if self.in_head and not self.message_ended else 0
        if fault is None and self.head_size > HEAD_LIMIT:
            fault = RequestError(431, "the head is too long")
        # Limits chunk extensions and trailers, which the parser accepts at any length.
        self.framing_bytes = (
            self.framing_bytes + len(data) if self.incoming and self.body_size == body_size else 0
        )
        if fault is None and self.framing_bytes > HEAD_LIMIT and not self.in_head:
            fault = RequestError(431, "nothing but framing")
        is_trailer = self.incoming is not None and not self.in_head
        if not self.charge_framing(self.framing_bytes if is_trailer else 0) and fault is None:
            self.note(Incident.NO_MEMORY)
            fault = RequestError(503, "", RETRY_SOON)
        if fault is not None:
            self.reject(fault)
        elif self.incoming is not None:
            if self.awaiting_since_s == math.inf:
                self.awaiting_since_s = asyncio.get_running_loop().time()
            self.forward_body(self.incoming)
            self.charge_incoming(self.incoming)
            if not self.ignores_input:
                self.begin_upload(self.incoming)
        if len(self.queue) > MAX_PIPELINED:
            self.pause_input()
        self.start_next()

    def decline_upgrade(self) -> None:
        """Answers an upgrade request as plain HTTP and closes afterwards: the parser stops at an upgrade."""
        request = self.queue[-1] if self.queue else self.incoming
        if request is not None:
            request.keep_alive = False
        self.ignores_input = True

    def charge_incoming(self, request: Request) -> None:
        """Charges what is held of the request being received, or refuses it for want of memory."""
        if request.upload is not None or request.error is not None:
            return  # what is held of it is charged until a host has been sent that
        partial_head = self.head_size if self.in_head else 0
        if self.charge(request, request.held_bytes + partial_head):
            return
        if self.in_head:
            self.note(Incident.NO_MEMORY)
            # Only the end of its parser frees what is held of a field.
            self.reject(RequestError(503, "", RETRY_SOON))
        else:
            self.refuse_for_memory(request)

    def begin_upload(self, request: Request) -> None:
        """Queues a request whose body exceeds BODY_LIMIT; the rest of the body is streamed to the host."""
        if request.upload is None and request.error is None and self.body_size > BODY_LIMIT:
            is_chunked = bool(transfer_coding(request.headers))
            request.upload = Upload(is_chunked, self.resume_input, self.on_upload_started)
            self.queue.append(request)
            self.pause_input()  # until a host has been sent the part read so far

    def reject(self, fault: RequestError) -> None:
        """Queues an error response behind the earlier requests and parses no further input."""
        if self.incoming is not None and self.incoming.answered:
            self.close()  # the request already has its response
            return
        self.ignores_input = True
        self.awaiting_since_s = math.inf
        self.parser = httptools.HttpRequestParser(self)  # the old one holds what it read of a field
        self.charge_framing(0)
        if self.incoming is not None and self.incoming.upload is None:
            self.release(self.incoming)
        streamed = self.incoming if self.incoming is not None and self.incoming.upload is not None else None
        if streamed is not None and streamed in self.queue:
            self.queue.remove(streamed)
            self.release(streamed)
        elif streamed is not None and streamed is self.current:
            # The host has received part of the body and must not take it for a complete one.
            self.server.gateway.client_gone(self.current_id)
            streamed.keep_alive = False
            self.respond(fault.status, fault.headers, fault.body)
            return
        request = Request()
        request.error = fault
        self.queue.append(request)

    @property
    def is_incomplete(self) -> bool:
        """Whether nothing but an incomplete request is held."""
        return self.incoming is not None and self.current is None and not self.queue

    def refuse_incoming(self) -> None:
        """Refuses the incomplete request for want of memory; its connection closes."""
        self.note(Incident.NO_MEMORY)
        self.reject(RequestError(503, "", RETRY_SOON))
        self.has_turn = True
        self.measured(self.start_next)

    def on_request_timeout(self) -> None:
        """Rejects the request that did not arrive in time; closes if not a byte of it has arrived."""
        if not self.timeout_deferred and self.poll.poll(0):
            # More input has arrived but is unread, for example because the process was suspended. Only once
            # per request, because a peer that sends byte by byte always has more input waiting.
            self.timeout_deferred = True
            return
        if self.incoming is None and not self.head_size:
            self.close()  # without a response: a client whose request crosses the close sends it again
            return
        self.note(Incident.CLIENT_TOO_SLOW)
        self.reject(RequestError(408, "the request did not come in time"))
        self.measured(self.start_next)

    def on_message_begin(self) -> None:
        self.incoming = Request()
        self.body_size = self.framing_bytes = 0
        self.in_head = True
        self.timeout_deferred = False

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.target += url
        self.incoming.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self.incoming
        assert incoming is not None
        if self.in_head:  # otherwise a trailer field, which is dropped
            if len(incoming.headers) >= MAX_FIELDS:
                self.note(Incident.TOO_MANY_FIELDS)
                raise RequestError(431, "the head has too many fields")
            incoming.headers.append((name, value.strip(OPTIONAL_WHITESPACE)))
            incoming.head_bytes += len(name) + len(value) + FIELD_BYTES

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
        if length is not None and length.isdigit():
            self.incoming.content_length = int(length)
        if transfer_coding(headers) not in (b"", b"chunked"):
            raise RequestError(501, "the transfer coding is unknown")
        if self.parser.should_upgrade() and (transfer_coding(headers) or (length or b"0") != b"0"):
            raise RequestError(400, "no other protocol is spoken here")  # the parser would drop the body
        expect = header(headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.incoming.awaits_continue_since_s = asyncio.get_running_loop().time()
        self.maybe_send_continue()

    def maybe_send_continue(self) -> None:
        """Sends "100 Continue" if the client waits for it and all earlier requests are answered."""
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
        if request.answered or request.error is not None:
            return
        request.body += data

    def forward_body(self, request: Request) -> None:
        """Passes on what was read of a streamed body, as one piece, however small the client's chunks are."""
        if request.upload is None or not request.body:
            return
        piece = bytes(request.body)
        request.body.clear()
        if self.body_size == request.content_length and self.check_gone():
            return  # the client has left: the host must not get the last byte
        if not request.answered and not request.upload.feed(piece):
            self.pause_input()

    def on_message_complete(self) -> None:
        request = self.incoming
        assert request is not None
        self.incoming = None
        self.awaiting_since_s = math.inf
        self.message_ended = request.complete = True
        if request.upload is not None:
            self.forward_body(request)
            if not request.answered and not self.check_gone():
                self.server.gateway.body_ended(self.current_id, self.arrived_since_us())
            return
        request.arrived_us = self.arrived_since_us()
        request.arrival_config = self.server.config
        if request.error is None and not self.charge(request, request.held_bytes):
            self.refuse_for_memory(request)
        is_plain = request.keep_alive and not request.is_http10 and not self.parser.should_upgrade()
        if request.error is not None and is_plain:
            self.release(request)
            request = OVERLOADED
        self.queue.append(request)

    def arrived_since_us(self) -> int:
        """The earliest clock time at which the client may have sent the last byte that was read.

        While reading was paused, it is not known when input has arrived.
        """
        waited_s = asyncio.get_running_loop().time() - self.lagging_since_s
        return now_us() - max(0, int(max(0.0, waited_s) * 1e6))

    def check_upload(self, now_s: float) -> None:
        """Ends a streamed request whose last byte may have been waiting here for all of its client's time."""
        request = self.current
        if request is None or not self.is_uploading or self.lagging_since_s == math.inf:
            return
        unread = self.unread_bytes()
        unsent = request.content_length - self.body_size - unread
        if not unread or unsent > MAX_UNSENT_BYTES:
            self.lagging_since_s = now_s  # the client still has to send some of it
        else:
            self.server.gateway.check_upload_time(self.current_id, self.arrived_since_us())
