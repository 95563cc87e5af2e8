"""Server side of a connection between members: reads one request, then sends the answer or the feed."""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import socket
from typing import TYPE_CHECKING, Any

from cloverkeel.fleet.events import event
from cloverkeel.fleet.membership.codec import MAX_NAME_BYTES
from cloverkeel.fleet.membership.feeds import ERROR, FLUSH_TIMEOUT_S, OK, Feed
from cloverkeel.fleet.membership.frames import DROP_REASONS, FrameError, Stream

if TYPE_CHECKING:
    from cloverkeel.fleet.membership.calls import Calls

MAX_CONNECTIONS = 512  # open at once; a further one is closed
REQUEST_TIMEOUT_S = 2.0  # for the complete request to arrive
HANDLER_TIMEOUT_S = 10.0  # for a handler to return its answer
TCP_USER_TIMEOUT_MS = 10_000  # a peer whose machine acknowledges no data for this long is taken for gone


class IncomingConnection:
    """A connection opened by another member."""

    def __init__(self, calls: Calls) -> None:
        self.calls = calls
        self.stream = Stream(calls.frame_codec, self.on_frame, self.on_stream_ended, self.on_connected)
        self.feed: Feed | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.request_received = False

    def on_connected(self) -> None:
        """Register the connection, or close it at the limit, and start the timeout for its request."""
        self.calls.connections.add(self)
        if len(self.calls.connections) > MAX_CONNECTIONS:
            self.calls.counts["connections_refused"] += 1
            self.stream.end("too many connections")
            return
        assert self.stream.transport is not None
        sock = self.stream.transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(REQUEST_TIMEOUT_S, self.stream.end, "no request in time")

    def on_stream_ended(self, reason: str) -> None:
        """Release the connection, count a dropped frame, and end the feed."""
        self.calls.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        drop_reason = reason.partition(":")[0]
        if drop_reason in DROP_REASONS:
            self.calls.counts[f"frames_dropped_{drop_reason}"] += 1
        if self.feed is not None:
            self.calls.feeds.discard(self.feed)
            self.feed.on_stream_ended()

    def on_frame(self, kind: str, body: Any) -> None:
        """Handle the request. Raises FrameError if it is invalid."""
        if self.request_received:
            raise FrameError("malformed", "a second request on one connection")
        self.request_received = True
        if self.timer is not None:
            self.timer.cancel()
        if not isinstance(body, list) or len(body) != 2 or not isinstance(body[0], str):
            raise FrameError("malformed", "no envelope [name, body]")
        peer, body = body
        if not 0 < len(peer.encode()) <= MAX_NAME_BYTES:
            raise FrameError("malformed", "the peer's name is empty or too long")
        self.calls.counts["calls_in"] += 1
        if kind in self.calls.feed_handlers:
            self._open_feed(kind, peer, body)
        elif kind in self.calls.handlers:
            self.task = asyncio.get_running_loop().create_task(self._answer_call(kind, peer, body))
        else:
            self._send_error(f"no such call: {kind!r:.40}")

    def _open_feed(self, kind: str, peer: str, body: Any) -> None:
        self.feed = Feed(self.stream, peer)
        self.calls.feeds.add(self.feed)
        try:
            self.calls.feed_handlers[kind](self.feed, body)
        except Exception as error:  # a peer's request must not end this process
            self._handler_failed(kind, peer, error)

    async def _answer_call(self, kind: str, peer: str, body: Any) -> None:
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                value = self.calls.handlers[kind](peer, body)
                if inspect.isawaitable(value):
                    value = await value
            self.stream.write(OK, value)
        except Exception as error:
            self._handler_failed(kind, peer, error)
            return
        finally:
            self.task = None
        self.stream.end("answered", FLUSH_TIMEOUT_S)

    def _handler_failed(self, kind: str, peer: str, error: Exception) -> None:
        self.calls.counts["handlers_failed"] += 1
        event("members.call_failed", kind=kind, peer=peer, reason=repr(error)[:120])
        self._send_error(f"failed: {type(error).__name__}")

    def _send_error(self, reason: str) -> None:
        self.stream.write(ERROR, reason)
        self.stream.end(reason, FLUSH_TIMEOUT_S)
