"""A connection to discovery that carries one call at a time."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from cloverkeel.http1 import Reply, ReplyError, ReplyReader

MAX_LIST_BYTES = 16 * 1024 * 1024


class CallError(Exception):
    """A call to discovery has failed."""


class DiscoveryConnection(asyncio.Protocol):
    """`answer`: of the call made last; `begun`, `index`: what its caller notes of the moment it was made."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(MAX_LIST_BYTES)
        self.answer: asyncio.Future[Reply] | None = None
        self.call_context: Any = None
        self.index: int | None = None  # of the list held then

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        try:
            self._deliver(self.replies.feed(data))
        except ReplyError as error:
            self.fail(str(error))

    def eof_received(self) -> None:
        """A list of which nobody said how long it is ends here; a reset comes without this and ends none."""
        self._deliver(self.replies.feed_eof())

    def _deliver(self, reply: Reply | None) -> None:
        if reply is not None and self.is_waiting:
            assert self.answer is not None
            self.answer.set_result(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.fail("the connection ended")

    def fail(self, reason: str) -> None:
        if self.is_waiting:
            assert self.answer is not None
            self.answer.set_exception(CallError(reason))
        self.close()

    def close(self) -> None:
        """A call that waits is called off: nobody has to take its end."""
        if self.answer is not None:
            self.answer.cancel()
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_waiting(self) -> bool:
        return self.answer is not None and not self.answer.done()

    @property
    def reply(self) -> Reply | None:
        """The answer to the call made last, once it has come."""
        answer = self.answer
        has_reply = answer is not None and answer.done() and not answer.cancelled() and not answer.exception()
        return answer.result() if answer is not None and has_reply else None

    @property
    def is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def send_request(self, head: bytes) -> asyncio.Future[Reply]:
        """The answer to come. Raises CallError."""
        if self.transport is None or self.transport.is_closing():
            raise CallError("the connection has ended")
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return self.answer
