"""Clients' connections: requests read, answers written, health, and the way out at a restart."""

from __future__ import annotations

import asyncio
import itertools
import math
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools

from caperdrift.interface import Effect

from cloverkeel.config import Config, ConfigError, follow, load, stable_id
from cloverkeel.gateway import Call, Gateway
from cloverkeel.hosts import HostConnection
from cloverkeel.http1 import (
    BLANK,
    BODY_LIMIT,
    HEAD_LIMIT,
    LINGER_S,
    Header,
    Reply,
    answer_head,
    coding_of,
    end_to_end,
    end_writing,
    header,
    log,
    write_answer,
)
from cloverkeel.streams import LAST_CHUNK, Upload, chunk

if TYPE_CHECKING:
    from cloverkeel.transforms.active import ActiveSet, Refused

READY_PATH = b"/health/ready"
ACCEPT_ON_S = 1.0  # after SIGTERM: new connections go on coming for 0.4 s
KILL_AFTER_S = 0.7  # after SIGTERM and the longest deadline, which counts as LONGEST_S where it is longer
LONGEST_S = 3.0
LAST_MOMENT_S = 0.1  # before that, this process ends by itself
END_S = 3.4  # after SIGTERM: the longest a client waits, and the time that new ones come
FIRST_REQUEST_S = 0.5  # for the first request on a new connection to come, on the way out
HEAD_S = 2.5  # for a head, and for a short body with it, from the connection's beginning or from its own
BODY_RATE = 32_000  # bytes a second that a body comes at, but for what follows
BODY_SLACK_S = 1.0
BODY_MOST = 32 * 1024 * 1024
UNREAD_S = 30.0  # a client that takes nothing of a long answer for so long has gone
UPLOAD_LINGER_S = 10.0  # for a client to end a body whose answer it has
SWEEP_S = 0.2
REPORT_S = 10.0
POLL_S = 0.02
PIPELINED = 16  # requests read ahead on one connection
BACKLOG = 1024
CLIENT_IDLE_S = 2.0  # a client's connection is left alone for so long after an answer
RESERVE = 64  # descriptors kept free of pools and idle clients
NOT_PASSED_ON = frozenset({b"x-budget-ms"})
NOT_PASSED_BACK = frozenset({b"x-load-report", b"x-rejected"})


class RequestError(ValueError):
    """A request that is answered here, with this status."""

    def __init__(self, status: int, why: str, *headers: Header) -> None:
        super().__init__(why)
        self.status = status
        self.headers = list(headers)


class Request:
    """One request as it was read; `fault` tells what is wrong with it."""

    __slots__ = (
        "answered", "body", "expects", "fault", "headers", "is_old", "keep_alive", "method", "target",
        "transform", "upload", "whole",
    )  # fmt: skip

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.keep_alive = False
        self.is_old = False  # HTTP/1.0
        self.expects = False  # waits for word before it sends its body
        self.whole = False
        self.answered = False  # before its body had come: the rest is read and dropped
        self.upload: Upload | None = None  # the rest of a body too long to be held
        self.fault: RequestError | None = None
        self.transform: Callable[[list[Header]], list[Header] | Refused] | None = None  # of its answer


class Server:
    """All connections of clients."""

    def __init__(self, config: Config, gateway: Gateway, inherited: socket.socket | None = None) -> None:
        self.config, self.gateway = config, gateway
        self.connections: dict[ClientConnection, None] = {}  # the longest without an answer first
        self.draining = False
        self.listener: asyncio.Server | None = None
        self.inherited = inherited  # others accept from it too
        self.accepting = False
        self.others: Callable[[], int] = int  # descriptors of the process's other parts
        asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)
        asyncio.get_running_loop().call_later(REPORT_S, self.report)
        gateway.pools.room = self.make_room

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        made = partial(ClientConnection, self)
        if self.inherited is not None:
            self.listener = await loop.create_server(
                made, sock=self.inherited, backlog=BACKLOG, start_serving=False
            )
        else:
            self.listener = await loop.create_server(
                made, *self.config.listen, backlog=BACKLOG, start_serving=False
            )
        self.gateway.start()  # nobody is let in before there is a list of hosts to serve from
        await self.listener.start_serving()
        self.accepting = True

    @property
    def is_ready(self) -> bool:
        return self.accepting and not self.draining and self.gateway.can_serve

    @property
    def end_s(self) -> float:
        """How long after the signal this process may take to end, whatever is left."""
        if self.inherited is None:
            return END_S
        longest_s = max(c.give_up_us for c in self.config.settings.classes) / 1e6
        return min(LONGEST_S, longest_s) + KILL_AFTER_S - LAST_MOMENT_S

    async def drain(self) -> None:
        """The way out: every request that was taken, or waits to be accepted, is answered first."""
        self.draining = True
        loop = asyncio.get_running_loop()
        if self.inherited is not None:
            # Another process has taken over: it accepts what waits and what comes. Closing an idle connection
            # may cross a request on it, so each is left to its next answer while there is time for that.
            if self.listener is not None:
                self.listener.close()
            longest_aim_s = max(c.aim_us for c in self.config.settings.classes) / 1e6
            last_s = loop.time() + self.end_s - longest_aim_s
            while self.connections and loop.time() < last_s:
                # Hosts' connection tables and the descriptors are the new process's too: it needs them now.
                self.gateway.pools.give_up_idle()
                await asyncio.sleep(POLL_S)
        else:
            stop_accepting = loop.time() + ACCEPT_ON_S
            while loop.time() < stop_accepting:
                self.close_idle()
                await asyncio.sleep(POLL_S)
            if self.listener is not None:
                self.listener.close()
        while self.connections:
            self.close_idle()
            await asyncio.sleep(POLL_S)

    def close_idle(self) -> None:
        for connection in [c for c in self.connections if c.is_idle()]:
            connection.close()

    def sweep(self) -> None:
        """Guards against peers that connect and send nothing, or never end what they began."""
        loop = asyncio.get_running_loop()
        loop.call_later(SWEEP_S, self.sweep)
        now_s = loop.time()
        for connection in [c for c in self.connections if c.is_late(now_s)]:
            connection.on_unfinished()
        for connection in [c for c in self.connections if c.unread_since_s < now_s - UNREAD_S]:
            connection.abort()

    def reload(self) -> None:
        """Take up what the configuration's file says now: all of it, or nothing where it cannot be used."""
        telemetry = self.gateway.telemetry
        try:
            config = load(complete=True)
        except ConfigError as error:
            telemetry.load_errors += 1
            log(f"not reconfigured: {error}")
            return
        if config.cluster != self.config.cluster:
            log("cluster stays as it was at the start: for another, upgrade or start again")
        self.config = follow(self.config, config)
        self.gateway.reconfigure(self.config)
        telemetry.loads += 1
        host, port = self.config.discovery
        log(f"reconfigured: {len(self.config.names.classes)} classes; discovery is at {host}:{port}")

    def report(self) -> None:
        """Tell now and then what holds descriptors, and why connections were opened and closed."""
        asyncio.get_running_loop().call_later(REPORT_S, self.report)
        pools = self.gateway.pools
        log(f"connections: {len(self.connections)} of clients, {pools.open} to hosts; {pools.counts}")

    @property
    def spare(self) -> int:
        """Descriptors left, but for the few of the program itself."""
        return self.config.sockets - len(self.connections) - self.gateway.pools.open - self.others()

    def make_room(self) -> None:
        """Give up idle connections when descriptors run short: first a client's, which costs no host work."""
        if self.spare > RESERVE:
            return
        since_s = asyncio.get_running_loop().time() - CLIENT_IDLE_S
        rested = itertools.takewhile(lambda c: c.rests_since_s < since_s, self.connections)
        idle = next((c for c in rested if c.is_idle()), None)
        if idle is not None:
            idle.close()
        else:
            self.gateway.pools.give_up_idle()


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client; its requests are answered one after the other."""

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
        self.source: HostConnection | None = None  # of the long answer that is being written
        self.is_chunked = self.is_last = False  # that answer
        self.unread_since_s = math.inf  # since when the client takes nothing of it
        self.opened_s = 0.0
        self.awaits_since_s = math.inf  # when the request that is awaited began, or the connection's first
        self.rests_since_s = 0.0  # the last answer, or the connection's beginning
        self.served = False  # has had an answer
        self.waiting: deque[Request] = deque()
        self.current: Request | None = None  # read and not yet answered
        self.current_id = ""
        self.deaf = False  # nothing more is read as a request
        self.poll = select.poll()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.opened_s = self.awaits_since_s = asyncio.get_running_loop().time()
        self.rest()
        self.server.make_room()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.deaf = True
        self.waiting.clear()
        if self.current is not None and self.current_id:
            self.server.gateway.leave(self.current_id)

    def rest(self) -> None:
        self.rests_since_s = asyncio.get_running_loop().time()
        self.server.connections.pop(self, None)
        self.server.connections[self] = None

    def is_idle(self) -> bool:
        """Whether it may be closed: nothing is owed, nothing has begun, nothing waits to be read.

        Guards against losing a request that has reached this machine and not yet this program, and one that a
        client sends for the second time, on a new connection, since the first crossed the end of its old one.
        """
        if self.current is not None or self.waiting or self.reading is not None or self.deaf:
            return False
        if not self.served and asyncio.get_running_loop().time() - self.opened_s < FIRST_REQUEST_S:
            return False
        return not self.poll.poll(0)

    def close(self) -> None:
        self.deaf = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        self.deaf = True
        if self.transport is not None:
            self.transport.abort()

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = self.server.gateway.buffer
        is_long = self.reading is not None and self.reading.upload is not None
        return buffer.for_long() if is_long else buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        if not self.deaf:  # else it follows a request that can't be read, until the connection ends
            self.read(bytes(self.server.gateway.buffer.view[:nbytes]))

    def hold(self) -> None:
        """Read no more for now."""
        if self.held_at_s == math.inf and self.transport is not None and not self.transport.is_closing():
            self.held_at_s = asyncio.get_running_loop().time()
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.held_at_s != math.inf:
            self.body_due_s += asyncio.get_running_loop().time() - self.held_at_s
            self.held_at_s = math.inf
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def is_late(self, now_s: float) -> bool:
        """Whether the request that is awaited should be here, or more of its body."""
        if self.held_at_s != math.inf or self.awaits_since_s == math.inf:
            return False
        due_s = self.awaits_since_s + HEAD_S
        if self.reading is not None and not self.in_head:
            due_s = max(due_s, self.body_due_s + self.body_size / BODY_RATE)
        return due_s < now_s

    def read(self, data: bytes) -> None:
        fault: RequestError | None = None
        self.passed_end = False
        body_size = self.body_size
        self.in_head = self.in_head or self.reading is None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            fault = RequestError(400, "no other protocol is spoken here")
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
        if self.poll.poll(0):
            return  # more of it is here, not yet read
        if self.reading is None and not self.head_size:
            self.close()  # unanswered: a request that crosses it is sent once more
            return
        self.refuse_rest(RequestError(408, "the request did not come in time"))
        self.take_next()

    def on_message_begin(self) -> None:
        self.reading = Request()
        self.body_size = self.overhead = 0
        self.in_head = True

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
        expected = header(headers, b"expect")
        self.reading.expects = expected is not None and expected.lower() == b"100-continue"
        self.ask_for_body()

    def ask_for_body(self) -> None:
        """Tell a client that waits for it to send its body: once all before is answered."""
        request = self.reading
        if request is not None and request.expects and self.current is None and not self.waiting:
            request.expects = False
            assert self.transport is not None
            if not request.is_old and not self.transport.is_closing():
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        request = self.reading
        assert request is not None
        request.expects = False
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
            self.waiting.append(request)
        elif not request.answered:
            self.server.gateway.body_ended(self.current_id)

    # Answering

    def take_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        while self.current is None and self.waiting:
            request = self.current = self.waiting.popleft()
            self.current_id = ""
            if not self.waiting and request.upload is None:
                self.go_on()
            try:
                self.take(request)
            except RequestError as error:
                self.answer(error.status, error.headers, f"{error}\n".encode())

    def take(self, request: Request) -> None:
        if request.fault is not None:
            raise request.fault
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.answer(200 if self.server.is_ready else 503, [], b"")
            return
        call = self.read_call(request, path)
        self.current_id = call.id
        if not self.server.gateway.arrive(call):
            self.current_id = ""
            raise RequestError(400, "this X-Call-Id is in use")

    def read_call(self, request: Request, path: bytes) -> Call:
        """The request in the module's terms."""
        config, headers = self.server.config, {n.lower(): v for n, v in request.headers}
        names = config.names
        parts = [part for part in path.split(b"/") if part]
        named = headers.get(b"x-call-class")
        if named is not None and named not in names.classes:
            raise RequestError(400, "unknown class")
        if not parts or parts[0] not in names.classes:
            raise RequestError(404, "unknown path")
        if named is not None and named != parts[0]:
            raise RequestError(400, "the class is not that of the path")
        klass = names.classes[parts[0]]
        settings = config.settings.classes[klass]
        method = b"GET" if settings.effect is Effect.SAFE else b"POST"
        if request.method != method:
            raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
        if settings.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise RequestError(400, "no Idempotency-Key")
        id_ = headers.get(b"x-call-id")
        if not id_:
            raise RequestError(400, "no X-Call-Id")
        budget_ms = _whole(headers.get(b"x-budget-ms"), "X-Budget-Ms")
        passing = end_to_end(request.headers, NOT_PASSED_ON)
        active = self.server.gateway.transforms
        if active is not None:
            passing = self.transformed(request, active, passing, headers, parts[0], path)
        body = b"".join(request.body)
        request.body.clear()
        return Call(
            id=id_.decode("latin-1"),
            klass=klass,
            patience_us=settings.give_up_us if budget_ms is None else budget_ms * 1000,
            key=stable_id(parts[-1], 8) if len(parts) > 1 else None,
            work_us=_whole(headers.get(b"x-call-cost"), "X-Call-Cost"),
            is_retry=headers.get(b"x-again") == b"1",
            tenant=names.tenants.get(headers.get(b"x-caller", b""), 0),
            head=_head(request, passing, body),
            body=body if request.upload is None else request.upload.framed(body),
            upload=request.upload,
            on_served=partial(self.on_served, request),
            on_begun=partial(self.on_begun, request),
            on_piece=partial(self.on_piece, request),
            on_ended=partial(self.on_ended, request),
            on_broken=partial(self.on_broken, request),
            on_refused=partial(self.on_refused, request),
            on_failed=partial(self.on_failed, request),
        )

    def transformed(
        self,
        request: Request,
        active: ActiveSet,
        passing: list[Header],
        headers: dict[bytes, bytes],
        klass: bytes,
        path: bytes,
    ) -> list[Header]:
        """The headers to pass on; the answer's are changed by the same set, whichever is active then."""
        caller, id_ = headers.get(b"x-caller", b""), headers[b"x-call-id"].decode("latin-1")
        changed = active.request(klass, caller, path, passing, id_)
        if not isinstance(changed, list):
            raise RequestError(502, f"transform {changed.name} failed")
        if active.has_response:
            request.transform = partial(active.response, klass, caller, path, call_id=id_)
        return changed

    def passed_back(self, request: Request, reply: Reply) -> list[Header] | None:
        """An answer's headers as the client gets them; None: a transform that must not be left out failed."""
        headers = end_to_end(reply.headers, NOT_PASSED_BACK)
        if request.transform is None:
            return headers
        changed = request.transform(headers)
        return changed if isinstance(changed, list) else None

    def on_served(self, request: Request, reply: Reply) -> None:
        if self.current is not request:
            return
        headers = self.passed_back(request, reply)
        if headers is None:
            self.answer(502, [], b"")
        else:
            self.answer(200, headers, reply.body)

    def on_begun(self, request: Request, reply: Reply, source: HostConnection) -> None:
        """A long answer begins: its head goes out, and its body passes as fast as the client reads."""
        transport = self.transport
        if self.current is not request or transport is None or transport.is_closing():
            return
        headers = self.passed_back(request, reply)
        if headers is None:
            self.server.gateway.leave(self.current_id)  # nobody reads the rest of it
            self.answer(502, [], b"")
            return
        self.source = source
        length = header(reply.headers, b"content-length")
        if length is not None:
            headers.append((b"Content-Length", length))
        elif not request.is_old:
            headers.append((b"Transfer-Encoding", b"chunked"))
        self.is_chunked = length is None and not request.is_old
        # Without a length, what an old client gets ends with the connection.
        self.is_last = self.must_end(request) or (length is None and request.is_old)
        transport.set_write_buffer_limits(high=0)
        transport.write(answer_head(200, kept_for(request, headers, self.is_last), self.is_last))

    def on_piece(self, request: Request, data: bytes) -> None:
        if self.current is request and self.transport is not None and not self.transport.is_closing():
            self.transport.write(chunk(data) if self.is_chunked else data)

    def on_ended(self, request: Request) -> None:
        if self.current is not request or self.transport is None:
            return
        if self.is_chunked and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)
        self.source = None
        self.answered(self.is_last)

    def on_broken(self, request: Request) -> None:
        """The client must be able to tell: neither an end nor all of the length ever comes."""
        if self.current is request and self.transport is not None and not self.transport.is_closing():
            self.source = None
            # An orderly close would be the end of an answer that ends with its connection.
            reset = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            self.abort()

    def pause_writing(self) -> None:
        self.unread_since_s = asyncio.get_running_loop().time()
        if self.source is not None:
            self.source.hold()

    def resume_writing(self) -> None:
        self.unread_since_s = math.inf
        if self.source is not None:
            self.source.go_on()

    def on_refused(self, request: Request, retry_after_us: int) -> None:
        if self.current is request:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.answer(503, after, b"")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        if self.current is request:
            self.answer(504 if timed_out else 502, [], b"")

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the whole answer at once, and go on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        last = self.must_end(request)
        if not transport.is_closing():
            headers = kept_for(request, headers, last)
            write_answer(transport, status, headers, body, last, request.method == b"HEAD")
        self.answered(last)

    def must_end(self, request: Request) -> bool:
        """Whether the connection ends with this request's answer."""
        if not request.keep_alive:
            return True
        # What was read is answered, on the way out too; the rest of this one's body is not waited for then.
        more = bool(self.waiting) or (self.reading is not None and self.reading is not request)
        # Guards against a rush of new connections: all too fresh to close, they left none for the hosts.
        crowded = self.server.spare < RESERVE // 2
        return (self.server.draining or crowded) and not more

    def answered(self, last: bool) -> None:
        """The answer is written: go on with the next request, or end."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        self.current, self.current_id = None, ""
        self.served = True
        if not transport.is_closing():
            self.rest()
        if not last:
            if not request.whole and request.fault is None:
                request.answered = True
                self.go_on()
            if self.waiting:
                asyncio.get_running_loop().call_soon(self.take_next)
            self.ask_for_body()
            return
        self.waiting.clear()
        self.deaf = True
        self.awaits_since_s = math.inf
        self.go_on()
        if not request.whole:
            end_writing(transport, UPLOAD_LINGER_S if request.upload is not None else LINGER_S)
        else:
            transport.close()


def kept_for(request: Request, headers: list[Header], last: bool) -> list[Header]:
    """An old client is told that its connection stays open."""
    return headers if last or not request.is_old else [*headers, (b"Connection", b"keep-alive")]


def _whole(text: bytes | None, name: str) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > 15:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _head(request: Request, headers: list[Header], body: bytes) -> bytes:
    """What goes on to a host, all but the budget and the empty line."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % pair for pair in headers]
    if request.upload is not None and request.upload.is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif request.upload is not None:
        lines.append(b"Content-Length: " + (header(request.headers, b"content-length") or b"0"))
    elif body or request.method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"
