"""The HTTP server for operators: a listener of its own, with one request per connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

import httptools

from cloverkeel.config import Address
from cloverkeel.http1 import BODY_LIMIT, HEAD_LIMIT, Header, lingering_close, write_response
from cloverkeel.memory import GROWING_BODY_FACTOR, MemoryBudget
from cloverkeel.tasks import BackgroundTasks, report_failure

REQUEST_TIMEOUT_S = 3.0  # to receive a complete request
MAX_CONNECTIONS = 32  # at once; a further one closes the oldest
CALL_LIMIT = HEAD_LIMIT + BODY_LIMIT  # bytes of one request
POST_LIMIT = 256 * 1024  # bytes of the body of a request to a PostHandler
UNLIMITED_MB = 1_000_000  # where no budget is given
ALWAYS_HELD_BYTES = 4 * 1024  # of a request: telemetry can be asked for however little memory is left
HANDLER_TIMEOUT_S = 20.0  # for a PostHandler or an AsyncGetHandler
POST_TYPE = b"application/octet-stream"  # a web page can't send it to another site without a CORS preflight


class Answer:
    """The response to a request."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes = b"", *headers: Header) -> None:
        self.status, self.body, self.headers = status, body, list(headers)


GetHandlers = dict[bytes, Callable[[], Answer]]  # by path; for GET and HEAD
AsyncGetHandler = Callable[[bytes], Awaitable[Answer]]  # gets the query; for GET and HEAD
PostHandler = Callable[[bytes, bytes], Awaitable[Answer]]  # gets the query and the body


class OperatorServer:
    """Serves operators' requests by handlers of other parts. Holds no state but the connections."""

    def __init__(
        self,
        address: Address,
        get_handlers: GetHandlers,
        post_handlers: Mapping[bytes, PostHandler] | None = None,
        async_get_handlers: Mapping[bytes, AsyncGetHandler] | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory or MemoryBudget(UNLIMITED_MB)
        self.address, self.get_handlers, self.post_handlers, self.async_get_handlers = (
            address,
            get_handlers,
            post_handlers or {},
            async_get_handlers or {},
        )
        self.tasks = BackgroundTasks()
        self.connections: dict[OperatorConnection, None] = {}  # oldest first
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: OperatorConnection(self), *self.address)

    def close(self) -> None:
        """Stop listening, abort all connections and cancel the running handlers."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()
        self.tasks.cancel()


class OperatorConnection(asyncio.Protocol):
    """One connection of an operator: reads a single request and writes its response."""

    def __init__(self, operator: OperatorServer) -> None:
        self.operator = operator
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.content_type = b""
        self.body = bytearray()
        self.size = 0  # bytes received
        self.account = operator.memory.open_account()
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        connections = self.operator.connections
        if len(connections) >= MAX_CONNECTIONS:
            next(iter(connections)).abort()
        connections[self] = None
        timeout = Answer(408, b"the call did not come in time\n")
        self.timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.answer, timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        self.operator.connections.pop(self, None)
        self.account.close()
        if self.timer is not None:
            self.timer.cancel()

    def abort(self) -> None:
        """Close the connection without a response."""
        self.operator.connections.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # one request per connection
        self.size += len(data)
        if not self._charge():
            self.answer(Answer(503, b"no memory is left for the call\n"))
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(Answer(400, b"malformed\n"))
        is_post = self.target.partition(b"?")[0] in self.operator.post_handlers
        if self.size > (HEAD_LIMIT + POST_LIMIT if is_post else CALL_LIMIT):
            self.answer(Answer(413, b"the call is too long\n"))

    def _charge(self) -> bool:
        """Charge what is held of the request; returns whether the memory allows it."""
        growth = int(self.size * GROWING_BODY_FACTOR) - self.account.held
        if self.size <= ALWAYS_HELD_BYTES:
            self.account.add(growth)
            return True
        return self.account.grow(growth)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"content-type":
            self.content_type = value

    def on_body(self, body: bytes) -> None:
        self.body += body  # `data_received` limits the size

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        path, _, query = self.target.partition(b"?")
        get_handler, post_handler = (
            self.operator.get_handlers.get(path),
            self.operator.post_handlers.get(path),
        )
        async_get_handler = self.operator.async_get_handlers.get(path)
        if post_handler is not None:
            self._handle_post(post_handler, method, query)
        elif get_handler is None and async_get_handler is None:
            self.answer(Answer(404, b"unknown path\n"))
        elif method not in (b"GET", b"HEAD"):
            self.answer(Answer(405, b"GET it\n", (b"Allow", b"GET, HEAD")))
        elif get_handler is not None:
            self.answer(get_handler(), method == b"HEAD")
        elif async_get_handler is not None and not self.answered:
            self._spawn(async_get_handler(query), method == b"HEAD")

    def _handle_post(self, handler: PostHandler, method: bytes, query: bytes) -> None:
        if self.answered:
            return
        if method != b"POST":
            self.answer(Answer(405, b"POST it\n", (b"Allow", b"POST")))
        elif self.content_type != POST_TYPE:
            self.answer(Answer(415, b"the Content-Type has to be " + POST_TYPE + b"\n"))
        elif self.size > HEAD_LIMIT + POST_LIMIT or len(body := bytes(self.body)) > POST_LIMIT:
            self.answer(Answer(413, b"the call is too long\n"))
        else:
            self._spawn(handler(query, body))

    def _spawn(self, work: Awaitable[Answer], head_only: bool = False) -> None:
        """Run a handler, to its end even if the operator disconnects: no work is left half done."""
        if self.timer is not None:
            self.timer.cancel()
        self.operator.tasks.spawn(self._run_handler(work, head_only))

    async def _run_handler(self, work: Awaitable[Answer], head_only: bool) -> None:
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                answer = await work
        except TimeoutError:
            answer = Answer(504, b"no answer in time: not known how far it came\n")
        except Exception as error:  # a bug; the operator still has to get a response
            report_failure(error)
            answer = Answer(500, b"failed: not known how far it came\n")
        self.answer(answer, head_only)

    def answer(self, answer: Answer, head_only: bool = False) -> None:
        """Write the response, unless there has been one, and close; further input is discarded."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        write_response(self.transport, answer.status, answer.headers, answer.body, True, head_only)
        lingering_close(self.transport)
