"""A connection to the list service that carries one call at a time."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from cloverkeel.http1 import Reply, ReplyError, ReplyReader

MAX_LIST_BYTES = 16 * 1024 * 1024


class CallError(Exception):
    """A call to the list service has failed."""


class DiscoveryConnection(asyncio.Protocol):
    """Sends one call at a time to the list service; the caller sets `call_context` and `index` for each."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(MAX_LIST_BYTES)
        self.answer: asyncio.Future[Reply] | None = None  # reply to the last call
        self.call_context: Any = None  # from ListOrdering.call_started
        self.index: int | None = None  # of the list held when the call was made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass

    def data_received(self, data: bytes) -> None:
        try:
            self._deliver(self.replies.feed(data))
        except ReplyError as error:
            self.fail(str(error))

    def eof_received(self) -> None:
        """Complete a reply of unknown length. A reset doesn't call this and leaves it incomplete."""
        self._deliver(self.replies.feed_eof())

    def _deliver(self, reply: Reply | None) -> None:
        if reply is not None and self.is_waiting:
            assert self.answer is not None
            self.answer.set_result(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.fail("the connection was closed before the reply")

    def fail(self, reason: str) -> None:
        """Fail the waiting call, if any, with CallError, and close the connection."""
        if self.is_waiting:
            assert self.answer is not None
            self.answer.set_exception(CallError(reason))
        self.close()

    def close(self) -> None:
        """Close the connection and cancel the waiting call, if any."""
        if self.answer is not None:
            self.answer.cancel()
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_waiting(self) -> bool:
        """Whether a call has been sent and not been answered."""
        return self.answer is not None and not self.answer.done()

    @property
    def reply(self) -> Reply | None:
        """The reply to the last call, or None if there is none yet."""
        answer = self.answer
        has_reply = answer is not None and answer.done() and not answer.cancelled() and not answer.exception()
        return answer.result() if answer is not None and has_reply else None

    @property
    def is_closing(self) -> bool:
        """Whether the connection can carry no further call."""
        return self.transport is None or self.transport.is_closing()

    def send_request(self, head: bytes) -> asyncio.Future[Reply]:
        """Send a request; the future gets its reply. Raises CallError if the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            raise CallError("the connection is closed")
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return self.answer
