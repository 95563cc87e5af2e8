"""The operators' front: a listener of its own, with one call to a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from cloverkeel.config import Address
from cloverkeel.http1 import BODY_LIMIT, HEAD_LIMIT, Header, end_writing, write_answer

CALL_S = 3.0  # for a call to come whole
MOST = 32  # connections at once; beyond, the oldest gives way
CALL_LIMIT = HEAD_LIMIT + BODY_LIMIT  # bytes of one call


class Answer:
    """What a call is answered with."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes = b"", *headers: Header) -> None:
        self.status, self.body, self.headers = status, body, list(headers)


Calls = dict[bytes, Callable[[], Answer]]  # by path; each is answered to GET and HEAD


class Operator:
    """Answers operators' calls. It holds nothing but their connections."""

    def __init__(self, address: Address, calls: Calls) -> None:
        self.address, self.calls = address, calls
        self.connections: dict[OperatorConnection, None] = {}  # the oldest first
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: OperatorConnection(self), *self.address)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()


class OperatorConnection(asyncio.Protocol):
    """One caller, from its coming to the one answer."""

    def __init__(self, operator: Operator) -> None:
        self.operator = operator
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.size = 0
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        others = self.operator.connections
        if len(others) >= MOST:
            next(iter(others)).abort()
        others[self] = None
        late = Answer(408, b"the call did not come in time\n")
        self.timer = asyncio.get_running_loop().call_later(CALL_S, self.answer, late)

    def connection_lost(self, exc: Exception | None) -> None:
        self.operator.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def abort(self) -> None:
        self.operator.connections.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # one call to a connection
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(Answer(400, b"malformed\n"))
        if self.size > CALL_LIMIT:
            self.answer(Answer(413, b"the call is too long\n"))

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        call = self.operator.calls.get(self.target.partition(b"?")[0])
        if call is None:
            self.answer(Answer(404, b"unknown path\n"))
        elif method not in (b"GET", b"HEAD"):
            self.answer(Answer(405, b"GET it\n", (b"Allow", b"GET, HEAD")))
        else:
            self.answer(call(), method == b"HEAD")

    def answer(self, answer: Answer, head_only: bool = False) -> None:
        """The one answer, and the close; what still comes in is left unread."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        write_answer(self.transport, answer.status, answer.headers, answer.body, True, head_only)
        end_writing(self.transport)
