"""Calls (RPC) and feeds between members, over TCP at the same host and port as the datagrams.

One connection carries one call or one feed. Peers are not trusted: frames, connections, waiting times and
unsent bytes are bounded, and a frame that is malformed or of another cluster closes its connection and is
counted.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from cloverkeel.fleet.membership.codec import parse_address
from cloverkeel.fleet.membership.feeds import HEARTBEAT_S, OK, Feed, Subscription
from cloverkeel.fleet.membership.frames import MAX_FRAME_BYTES, FrameCodec, FrameError, Stream
from cloverkeel.fleet.membership.serving import IncomingConnection

CONNECT_TIMEOUT_S = 1.0  # to connect for a feed

Handler = Callable[[str, Any], Any | Awaitable[Any]]
OnOpen = Callable[[Feed, Any], None]


class CallFailed(Exception):  # noqa: N818 - name of the interface in docs/coldstart.md
    """A call or a subscription failed; the message says why."""


class Calls:
    """Client and server of calls and feeds between members.

    `name` is this member's and is sent with each request. Without `listen`, calls can be made but none are
    served.
    """

    def __init__(self, cluster: str, name: str, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.frame_codec, self.name = FrameCodec(cluster, max_frame_bytes), name
        self.handlers: dict[str, Handler] = {}
        self.feed_handlers: dict[str, OnOpen] = {}
        self.feeds: set[Feed] = set()
        self.connections: set[IncomingConnection] = set()
        self.subscriptions: set[Subscription] = set()
        self.counts: Counter[str] = Counter()
        self.listener: asyncio.Server | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        # Source address of outgoing connections: the host that this member binds.
        self.local_addr: tuple[str, int] | None = None
        self.closed = False

    async def listen(self, sock: socket.socket) -> None:
        """Serve calls and feeds on a bound TCP socket. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.local_addr = sock.getsockname()[0], 0
        self.listener = await loop.create_server(
            lambda: IncomingConnection(self).stream, sock=sock, backlog=1024
        )
        self.heartbeat_timer = loop.call_later(HEARTBEAT_S, self._send_heartbeats)

    def serve(self, kind: str, handler: Handler) -> None:
        """Register `handler(peer's name, body)` for calls of a kind.

        It returns the body of the answer, or an awaitable of it. An exception fails the call at the caller.
        """
        self.handlers[kind] = handler

    def serve_feed(self, kind: str, on_open: OnOpen) -> None:
        """Register `on_open(feed, body)`, called for each member that subscribes to a kind."""
        self.feed_handlers[kind] = on_open

    def _send_heartbeats(self) -> None:
        """Send a heartbeat on each open feed, and schedule the next round."""
        for feed in list(self.feeds):
            feed.send_heartbeat()
        self.heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._send_heartbeats)

    @asynccontextmanager
    async def _translate_errors(self, what: str, timeout_s: float) -> AsyncIterator[None]:
        """Run the block within `timeout_s`; turn any failure into CallFailed, and count it."""
        try:
            if self.closed:
                raise CallFailed("closed")
            async with asyncio.timeout(timeout_s):
                yield
            return
        except TimeoutError:
            reason = f"no answer in {timeout_s:g} s"
        except (FrameError, CallFailed, OSError, ValueError) as error:
            reason = str(error)
        self.counts["calls_failed"] += 1
        raise CallFailed(f"{what}: {reason}")

    async def _connect(self, address: str, stream: Stream) -> None:
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: stream, host, port, local_addr=self.local_addr)

    async def call(self, address: str, kind: str, body: Any, timeout_s: float) -> Any:
        """Call the member at `address` and return the body of its answer.

        Raises CallFailed if no answer arrives within `timeout_s`, if it is an error or malformed, and after
        `close`.
        """
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        def on_frame(kind_received: str, value: Any) -> None:
            if kind_received != OK:
                on_end(f"{kind_received}: {value!s:.120}")
            elif not answer.done():
                answer.set_result(value)

        def on_end(reason: str) -> None:
            if not answer.done():
                answer.set_exception(CallFailed(reason))

        stream = Stream(self.frame_codec, on_frame, on_end)
        self.counts["calls_out"] += 1
        try:
            async with self._translate_errors(f"{address} {kind}", timeout_s):
                await self._connect(address, stream)
                stream.write(kind, (self.name, body))
                return await answer
        finally:
            stream.end("over")
            if answer.done() and not answer.cancelled():
                answer.exception()  # marks the exception as retrieved, even if nobody awaited it
        raise AssertionError("not reached")

    async def subscribe(
        self,
        address: str,
        kind: str,
        body: Any,
        on_body: Callable[[Any], None],
        on_end: Callable[[str], None],
    ) -> Subscription:
        """Subscribe to the member at `address`.

        `on_body` is called for each body it sends, `on_end(reason)` once the feed has ended. Raises
        CallFailed if the connection fails; `on_end` is not called then.
        """
        self.counts["subscriptions"] += 1
        subscription = Subscription(on_body, on_end)
        subscription.on_finished = lambda: self.subscriptions.discard(subscription)
        self.subscriptions.add(subscription)
        stream = Stream(self.frame_codec, subscription.on_frame, subscription.on_stream_ended)
        try:
            async with self._translate_errors(f"{address} {kind}", CONNECT_TIMEOUT_S):
                await self._connect(address, stream)
                if subscription.ended:
                    raise CallFailed("connection closed at once, before the request was sent")
                stream.write(kind, (self.name, body))
                subscription.start(stream)
        finally:
            if subscription.stream is None:
                subscription.close()
                stream.end("subscription given up")
        return subscription

    def close(self) -> None:
        """Close all connections and stop serving."""
        self.closed = True
        if self.listener is not None:
            self.listener.close()
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        for connection in list(self.connections):
            connection.stream.end("closed")
        for subscription in list(self.subscriptions):
            subscription.close()
