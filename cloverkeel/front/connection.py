"""A client's connection: hands its requests to the gateway, in order, and writes the responses."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
from typing import TYPE_CHECKING, cast

from cloverkeel.front.request_reader import RequestReader
from cloverkeel.front.requests import (
    RETRY_SOON,
    Request,
    RequestError,
    build_call,
    response_headers,
    with_keep_alive,
)
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.http1 import (
    LINGER_S,
    Header,
    Reply,
    encode_response_head,
    header,
    lingering_close,
    write_response,
)
from cloverkeel.memory import (
    ACCEPTED_BYTES,
    CLIENT_CONNECTION_BYTES,
    MIN_PIECE_BYTES,
    REQUEST_BYTES,
    RESPONSE_BYTES,
)
from cloverkeel.streams import LAST_CHUNK, encode_chunk
from cloverkeel.telemetry import Incident

if TYPE_CHECKING:
    from cloverkeel.front.server import Server

READY_PATH = b"/health/ready"
FIRST_REQUEST_GRACE_S = 0.5  # after its opening, a connection awaits a first request and is not idle
OUTPUT_LIMIT_BYTES = MIN_PIECE_BYTES  # buffered output beyond which no further request is started
UPLOAD_LINGER_S = 10.0  # for a client to finish sending a body that has already been answered


class ClientConnection(RequestReader):
    """A client's connection; its requests are answered one at a time, in the order received."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self.body_source: HostConnection | None = None  # of the streamed response being written
        self.is_chunked = self.closes_after = False  # that response's coding; it is the last one
        self.write_blocked_since_s = math.inf  # loop time since which the client reads no output; inf: none
        self.opened_s = 0.0
        self.idle_since_s = 0.0  # loop time of the last response, or of the opening of the connection
        self.has_responded = False
        self.output_charged = 0  # to the account: bytes of output that the kernel has not taken
        self.start_scheduled = False  # `start_next` runs, or will in the loop's next iteration
        self.write_shut = False  # lingering close has begun: input is discarded

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.transport.set_write_buffer_limits(high=OUTPUT_LIMIT_BYTES)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.opened_s = self.awaiting_since_s = asyncio.get_running_loop().time()
        self.account.add(CLIENT_CONNECTION_BYTES)
        if self.server.admit_connection():
            self.restart_idle_time()
        else:
            self.abort()  # nothing was read, so the client can safely try another gateway

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.server.lingering.pop(self, None)
        self.on_disconnect()
        self.server.gateway.fair_share.leave(self.processor_use)
        self.account.close()
        self.output_charged = 0
        # These refer to this object: only the garbage collector would free them and it.
        del self.parser
        self.current = self.incoming = self.body_source = self.transport = None
        self.current_id = ""

    def restart_idle_time(self) -> None:
        """Restarts the idle time, which moves the connection to the end of the server's idle order."""
        self.idle_since_s = asyncio.get_running_loop().time()
        self.server.connections.pop(self, None)
        self.server.connections[self] = None

    def is_idle(self, grace_s: float = FIRST_REQUEST_GRACE_S) -> bool:
        """Returns whether the connection may be closed: no request is pending, begun or unread in the kernel.

        Asking the kernel avoids losing a request that has reached this machine but not this process.
        `grace_s` protects a first request that is on its way: it may be the client's retry of a
        request that crossed the close of its previous connection.
        """
        if self.current is not None or self.queue or self.incoming is not None or self.ignores_input:
            return False
        if not self.has_responded and asyncio.get_running_loop().time() - self.opened_s < grace_s:
            return False
        return not self.poll.poll(0)

    def close(self, linger_s: float = LINGER_S) -> None:
        """Starts a lingering close; input that arrives from here on is discarded.

        A client whose request crosses the close sees the end of the stream before any response, and sends the
        request again.
        """
        if self.write_shut or self.transport is None or self.transport.is_closing():
            self.ignores_input = True
            return
        self.write_shut = self.ignores_input = True
        self.server.connections.pop(self, None)
        self.server.lingering[self] = None
        self.discard_input()
        lingering_close(self.transport, linger_s)

    def discard_input(self) -> None:
        """Drops queued requests, and resumes reading so that the client's close is noticed."""
        self.clear_queue()
        self.awaiting_since_s = self.turn_awaited_since_s = math.inf
        self.resume_input()
        self.apply_pause()

    def abort(self) -> None:
        """Closes the connection at once and drops unsent output."""
        self.ignores_input = True
        if self.transport is not None:
            self.transport.abort()

    @property
    def output_complete(self) -> bool:
        """Whether writing is shut down and the kernel has all output."""
        transport = self.transport
        return (
            self.write_shut
            and transport is not None
            and not (transport.is_closing() or transport.get_write_buffer_size())
        )

    def feed(self, data: bytes) -> None:
        super().feed(data)
        if self.write_shut:  # by a response to an earlier request in `data`: what follows it is discarded
            self.discard_input()

    def maybe_send_continue(self) -> None:
        if not self.write_shut:
            super().maybe_send_continue()

    # Answering

    def start_next(self) -> None:
        """Dispatches the queued requests that can be dispatched now."""
        self.start_scheduled = True  # responses that are written meanwhile need not schedule the next one
        try:
            self.start_queued()
        finally:
            self.start_scheduled = False

    def schedule_start(self) -> None:
        """Lets the next queued request be dispatched in the loop's next iteration, once."""
        is_blocked = self.write_blocked_since_s < math.inf or self.write_shut
        if self.queue and not self.start_scheduled and not is_blocked:
            self.start_scheduled = True
            asyncio.get_running_loop().call_soon(self.measured, self.start_next)

    def start_queued(self) -> None:
        """Dispatches queued requests until one waits for its response, or the connection has to wait."""
        while self.current is None and self.queue and not self.write_shut:
            if self.turn_awaited_since_s < math.inf or self.turn_is_over:
                return  # goes on in `take_turn`, or in the loop's next iteration
            if self.write_blocked_since_s < math.inf:
                return  # the client reads no responses; more of them would fill the memory
            self.has_turn = False
            request = self.current = self.queue.popleft()
            self.current_id = ""
            if not self.queue and request.upload is None:
                self.resume_input()
            if request.error is not None:
                self.respond_error(request.error)
                continue
            try:
                self.dispatch(request)
            except RequestError as error:
                self.respond_error(error)

    def respond_error(self, error: RequestError) -> None:
        """Answers the current request with an error."""
        self.respond(error.status, error.headers, error.body)

    def dispatch(self, request: Request) -> None:
        """Answers a readiness check, or passes the request to the gateway.

        Raises RequestError if the request is to be answered with an error.
        """
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.respond(200 if self.server.is_ready else 503, [], b"")
            return
        gateway, config = self.server.gateway, request.arrival_config or self.server.config
        if not self.account.reserve(ACCEPTED_BYTES):
            self.note(Incident.NO_MEMORY)
            raise RequestError(503, "", RETRY_SOON)
        request.charged += ACCEPTED_BYTES
        call = build_call(config, request, path, self, gateway.transforms, gateway.routes)
        if config is not self.server.config:
            # The configuration was reloaded while the request was queued: its class may be gone or changed.
            call.class_settings = config.settings.classes[call.klass]
        self.current_id = call.id
        self.charge(request, REQUEST_BYTES + ACCEPTED_BYTES + len(call.head) + len(call.body))
        if not gateway.accept(call):
            self.current_id = ""
            raise RequestError(400, "this X-Call-Id is in use")

    def on_served(self, request: Request, reply: Reply) -> None:
        """Writes a host's complete response."""
        if self.current is not request:
            return
        if request.report_outcome is not None:
            request.report_outcome(False)
        headers = response_headers(request, reply)
        if headers is None:
            self.respond(502, [], b"")
        else:
            self.respond(200, headers, reply.body)

    def on_begun(self, request: Request, reply: Reply, source: HostConnection) -> None:
        """Writes the head of a streamed response; its body follows as fast as the client reads."""
        transport = self.transport
        if self.current is not request or transport is None or transport.is_closing():
            return
        if request.report_outcome is not None:
            request.report_outcome(False)
        headers = response_headers(request, reply)
        if headers is None:
            self.server.gateway.client_gone(self.current_id)  # ends the attempt: its body is not needed
            self.respond(502, [], b"")
            return
        self.body_source = source
        length = header(reply.headers, b"content-length")
        if length is not None:
            headers.append((b"Content-Length", length))
        elif not request.is_http10:
            headers.append((b"Transfer-Encoding", b"chunked"))
        self.is_chunked = length is None and not request.is_http10
        # For HTTP/1.0, a response without a length ends with the connection.
        self.closes_after = self.must_close_after(request) or (length is None and request.is_http10)
        transport.write(
            encode_response_head(200, with_keep_alive(request, headers, self.closes_after), self.closes_after)
        )

    def on_piece(self, request: Request, data: bytes) -> None:
        """Writes a piece of a streamed response's body."""
        if self.current is request and self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_chunk(data) if self.is_chunked else data)

    def on_ended(self, request: Request) -> None:
        """Completes a streamed response."""
        if self.current is not request or self.transport is None:
            return
        if self.is_chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
        self.body_source = None
        self.on_response_written(self.closes_after)

    def on_broken(self, request: Request) -> None:
        """Resets the connection, so that the client can tell that a streamed response is truncated."""
        if self.current is request and self.transport is not None and not self.transport.is_closing():
            self.body_source = None
            # An orderly close would look like the end of a response that has no length.
            reset = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            self.abort()

    def pause_writing(self) -> None:
        """Stops reading from the host while the client does not read (backpressure)."""
        self.charge_output()
        self.write_blocked_since_s = asyncio.get_running_loop().time()
        if self.body_source is not None:
            self.body_source.pause_reading()

    def charge_output(self) -> None:
        """Charges the output that the client has not read yet, beyond what its request is charged with."""
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        reserved = RESPONSE_BYTES if self.current_id else 0
        charged = max(0, unsent - reserved)
        self.account.add(charged - self.output_charged)
        self.output_charged = charged

    def resume_writing(self) -> None:
        self.write_blocked_since_s = math.inf
        self.charge_output()
        if self.body_source is not None:
            self.body_source.resume_reading()
        else:
            self.schedule_start()

    def on_refused(self, request: Request, retry_after_us: int) -> None:
        """Writes a 503 for a request that was shed."""
        if self.current is request:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.respond(503, after, b"")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Writes a 504 or 502 for a request that the hosts failed."""
        if self.current is request:
            if request.report_outcome is not None:
                request.report_outcome(True)
            self.respond(504 if timed_out else 502, [], b"")

    def fail_pending(self) -> None:
        """Answers all pending requests with 504, in order, and closes the connection."""
        while self.current is not None or self.queue:
            if self.current is None:
                self.current, self.current_id = self.queue.popleft(), ""
            if self.body_source is not None:
                self.on_broken(self.current)
                return
            self.respond(504, [], b"")
        self.close()

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Writes a complete response and goes on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        closes = self.must_close_after(request)
        if not transport.is_closing():
            headers = with_keep_alive(request, headers, closes)
            write_response(transport, status, headers, body, closes, request.method == b"HEAD")
        self.on_response_written(closes)

    def must_close_after(self, request: Request) -> bool:
        """Returns whether the connection closes after the response to this request."""
        server = self.server
        if not request.keep_alive or (self.ignores_input and not self.queue):
            return True
        if server.deadline_passed:
            return not self.queue
        # Requests that were read are answered even while draining, but not the rest of this request's body.
        if self.queue or (self.incoming is not None and self.incoming is not request):
            return False
        # Low on descriptors, connections close after a response: a burst of new connections, all too recent
        # to be closed as idle, would leave no descriptors for the hosts.
        if not server.draining and not server.low_on_descriptors:
            return False
        # A pipelined request may have reached this machine but not this process.
        return not (request.complete and self.poll.poll(0))

    def on_response_written(self, closes: bool) -> None:
        """Goes on with the next request, or closes the connection."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        self.current, self.current_id = None, ""
        self.release(request)
        self.charge_output()
        self.has_responded = True
        if not transport.is_closing():
            self.restart_idle_time()
        if not closes:
            if not request.complete and request.error is None:
                request.answered = True
                self.resume_input()
            self.schedule_start()
            self.maybe_send_continue()
            return
        request.answered = True  # the rest of its body is discarded
        self.close(UPLOAD_LINGER_S if request.upload is not None and not request.complete else LINGER_S)
