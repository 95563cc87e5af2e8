"""One connection of a client: its requests taken, its answers written."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
from typing import TYPE_CHECKING, cast

from cloverkeel.front.request_reader import RequestReader
from cloverkeel.front.requests import Request, RequestError, with_keep_alive, response_headers, build_call
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
from cloverkeel.streams import LAST_CHUNK, encode_chunk

if TYPE_CHECKING:
    from cloverkeel.front.server import Server

READY_PATH = b"/health/ready"
FIRST_REQUEST_GRACE_S = 0.5  # for the first request on a new connection to come, on the way out
UPLOAD_LINGER_S = 10.0  # for a client to end a body whose answer it has


class ClientConnection(RequestReader):
    """One connection of a client; its requests are answered one after the other."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self.body_source: HostConnection | None = None  # of the long answer that is being written
        self.is_chunked = self.closes_after = False  # that answer
        self.write_blocked_since_s = math.inf  # since when the client takes nothing of it
        self.opened_s = 0.0
        self.idle_since_s = 0.0  # the last answer, or the connection's beginning
        self.has_responded = False  # has had an answer
        self.write_shut = False  # writing is shut down: what is read is discarded

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.opened_s = self.awaiting_since_s = asyncio.get_running_loop().time()
        if self.server.admit_connection():
            self.restart_idle_time()
        else:
            self.abort()  # unread: its client goes elsewhere

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.server.lingering.pop(self, None)
        self.on_disconnect()

    def restart_idle_time(self) -> None:
        self.idle_since_s = asyncio.get_running_loop().time()
        self.server.connections.pop(self, None)
        self.server.connections[self] = None

    def is_idle(self, first_s: float = FIRST_REQUEST_GRACE_S) -> bool:
        """Whether it may be closed: nothing is owed, nothing has begun, nothing waits to be read.

        Guards against losing a request that has reached this machine and not yet this program, and, with
        `first_s` for the first one to come, one that a client sends for the second time, on a new connection,
        since it crossed the end of its old one.
        """
        if self.current is not None or self.queue or self.incoming is not None or self.ignores_input:
            return False
        if not self.has_responded and asyncio.get_running_loop().time() - self.opened_s < first_s:
            return False
        return not self.poll.poll(0)

    def close(self, linger_s: float = LINGER_S) -> None:
        """End the connection once all that was written has gone out; nothing that is read later is a request.

        A client that had sent one into this moment sees the end before any answer, and sends it once more.
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
        """Drop what was read and not taken, and go on reading, so that the client's end is seen."""
        self.queue.clear()
        self.awaiting_since_s = math.inf
        self.resume_input()

    def abort(self) -> None:
        self.ignores_input = True
        if self.transport is not None:
            self.transport.abort()

    @property
    def output_complete(self) -> bool:
        """Whether it is shut down and all that was written is with the kernel."""
        transport = self.transport
        return (
            self.write_shut
            and transport is not None
            and not (transport.is_closing() or transport.get_write_buffer_size())
        )

    def feed(self, data: bytes) -> None:
        super().feed(data)
        if self.write_shut:  # by an answer to a part of this piece: what followed in it has been read in vain
            self.discard_input()

    def maybe_send_continue(self) -> None:
        if not self.write_shut:
            super().maybe_send_continue()

    # Answering

    def start_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        while self.current is None and self.queue and not self.write_shut:
            if self.write_blocked_since_s < math.inf:
                return  # it takes no answers: what it asks for must not fill the memory
            request = self.current = self.queue.popleft()
            self.current_id = ""
            if not self.queue and request.upload is None:
                self.resume_input()
            try:
                self.dispatch(request)
            except RequestError as error:
                self.respond(error.status, error.headers, f"{error}\n".encode())

    def dispatch(self, request: Request) -> None:
        if request.error is not None:
            raise request.error
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.respond(200 if self.server.is_ready else 503, [], b"")
            return
        gateway, config = self.server.gateway, request.arrival_config or self.server.config
        call = build_call(config, request, path, self, gateway.transforms, gateway.routes)
        if config is not self.server.config:
            # SIGHUP came while it waited: its class may be gone by now, or have other rules.
            call.class_settings = config.settings.classes[call.klass]
        self.current_id = call.id
        if not gateway.accept(call):
            self.current_id = ""
            raise RequestError(400, "this X-Call-Id is in use")

    def on_served(self, request: Request, reply: Reply) -> None:
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
        """A long answer begins: its head goes out, and its body passes as fast as the client reads."""
        transport = self.transport
        if self.current is not request or transport is None or transport.is_closing():
            return
        if request.report_outcome is not None:
            request.report_outcome(False)
        headers = response_headers(request, reply)
        if headers is None:
            self.server.gateway.client_gone(self.current_id)  # nobody reads the rest of it
            self.respond(502, [], b"")
            return
        self.body_source = source
        length = header(reply.headers, b"content-length")
        if length is not None:
            headers.append((b"Content-Length", length))
        elif not request.is_http10:
            headers.append((b"Transfer-Encoding", b"chunked"))
        self.is_chunked = length is None and not request.is_http10
        # Without a length, what an old client gets ends with the connection.
        self.closes_after = self.must_close_after(request) or (length is None and request.is_http10)
        transport.set_write_buffer_limits(high=0)
        transport.write(
            encode_response_head(200, with_keep_alive(request, headers, self.closes_after), self.closes_after)
        )

    def on_piece(self, request: Request, data: bytes) -> None:
        if self.current is request and self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_chunk(data) if self.is_chunked else data)

    def on_ended(self, request: Request) -> None:
        if self.current is not request or self.transport is None:
            return
        if self.is_chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
        self.body_source = None
        self.on_response_written(self.closes_after)

    def on_broken(self, request: Request) -> None:
        """The client must be able to tell: neither an end nor all of the length ever comes."""
        if self.current is request and self.transport is not None and not self.transport.is_closing():
            self.body_source = None
            # An orderly close would be the end of an answer that ends with its connection.
            reset = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            self.abort()

    def pause_writing(self) -> None:
        self.write_blocked_since_s = asyncio.get_running_loop().time()
        if self.body_source is not None:
            self.body_source.pause_reading()

    def resume_writing(self) -> None:
        self.write_blocked_since_s = math.inf
        if self.body_source is not None:
            self.body_source.resume_reading()
        elif self.queue:
            asyncio.get_running_loop().call_soon(self.start_next)

    def on_refused(self, request: Request, retry_after_us: int) -> None:
        if self.current is request:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.respond(503, after, b"")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        if self.current is request:
            if request.report_outcome is not None:
                request.report_outcome(True)
            self.respond(504 if timed_out else 502, [], b"")

    def fail_pending(self) -> None:
        """Answer in order, as failed, what is owed here, and end the connection."""
        while self.current is not None or self.queue:
            if self.current is None:
                self.current, self.current_id = self.queue.popleft(), ""
            if self.body_source is not None:
                self.on_broken(self.current)
                return
            self.respond(504, [], b"")
        self.close()

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the whole answer at once, and go on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        last = self.must_close_after(request)
        if not transport.is_closing():
            headers = with_keep_alive(request, headers, last)
            write_response(transport, status, headers, body, last, request.method == b"HEAD")
        self.on_response_written(last)

    def must_close_after(self, request: Request) -> bool:
        """Whether the connection ends with this request's answer."""
        server = self.server
        if not request.keep_alive or (self.ignores_input and not self.queue):
            return True
        if server.deadline_passed:
            return not self.queue
        # What was read is answered, on the way out too; the rest of this one's body is not waited for then.
        if self.queue or (self.incoming is not None and self.incoming is not request):
            return False
        # Guards against a rush of new connections: all too fresh to close, they left none for the hosts.
        if not server.draining and not server.low_on_descriptors:
            return False
        # A request sent behind this one may have reached this machine and not yet this program.
        return not (request.complete and self.poll.poll(0))

    def on_response_written(self, last: bool) -> None:
        """The answer is written: go on with the next request, or end."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        self.current, self.current_id = None, ""
        self.has_responded = True
        if not transport.is_closing():
            self.restart_idle_time()
        if not last:
            if not request.complete and request.error is None:
                request.answered = True
                self.resume_input()
            if self.queue:
                asyncio.get_running_loop().call_soon(self.start_next)
            self.maybe_send_continue()
            return
        request.answered = True  # what still comes of its body goes nowhere
        self.close(UPLOAD_LINGER_S if request.upload is not None and not request.complete else LINGER_S)
