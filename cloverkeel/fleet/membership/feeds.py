"""Feeds: one member subscribes to another over one connection.

The subscriber notices within a second that the other side has gone, through missing heartbeats.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet.membership.frames import FrameError, Stream

HEARTBEAT_S = 0.25  # interval of the heartbeats that the serving side sends
SILENCE_TIMEOUT_S = 1.0  # a feed on which no frame arrives for this long has ended
MAX_UNSENT_BYTES = 1024 * 1024  # the feed of a subscriber with more than this unread is closed
FLUSH_TIMEOUT_S = 2.0  # time for a last frame to be sent before the connection is closed

# Kinds of the frames that the serving side sends.
HEARTBEAT, FEED, END, OK, ERROR = "beat", "feed", "end", "ok", "error"


class Feed:
    """Serving side of a feed: `send` passes bodies to the subscriber named `peer`.

    `on_close` is called once when the feed has ended, whichever side ended it.
    """

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.on_close: Callable[[], None] | None = None
        self.closed = False

    def send(self, body: Any) -> None:
        """Send `body`, in order; does nothing on a feed that has ended.

        A body that cannot be encoded and a subscriber that does not read end the feed.
        """
        self._write(FEED, body)

    def send_heartbeat(self) -> None:
        """Send an empty frame, which shows the subscriber that this side is alive."""
        self._write(HEARTBEAT, None)

    def _write(self, kind: str, body: Any) -> None:
        if self.closed:
            return
        try:
            self.stream.write(kind, body)
        except FrameError as error:
            self.close(str(error))
            return
        if self.stream.unsent_bytes > MAX_UNSENT_BYTES:
            self.stream.end("subscriber does not read: too many bytes unsent")

    def close(self, reason: str = "closed") -> None:
        """End the feed and send the reason to the subscriber."""
        if not self.closed:
            self.stream.write(END, reason)
            self.stream.end(reason, FLUSH_TIMEOUT_S)

    def on_stream_ended(self) -> None:
        """Called when the connection has ended."""
        if not self.closed:
            self.closed = True
            if self.on_close is not None:
                self.on_close()


class Subscription:
    """Subscribing side of a feed.

    `on_end(reason)` is called once, after silence, an end or an error, but not after this side's own `close`.
    """

    def __init__(self, on_body: Callable[[Any], None], on_end: Callable[[str], None]) -> None:
        self.on_body, self.on_end = on_body, on_end
        self.stream: Stream | None = None
        self.ended = False
        self.on_finished: Callable[[], None] | None = None  # called at the end, whichever side ended it
        self.timer: asyncio.TimerHandle | None = None
        self.last_frame_s = self.last_check_s = 0.0

    def start(self, stream: Stream) -> None:
        """Watch the feed from now on; called once the request has been written."""
        self.stream = stream
        self.loop = asyncio.get_running_loop()
        self.last_frame_s = self.last_check_s = self.loop.time()
        self.timer = self.loop.call_later(HEARTBEAT_S / 2, self._check_silence)

    def on_frame(self, kind: str, body: Any) -> None:
        """Handle a frame of the serving side."""
        if self.ended:
            return
        self.last_frame_s = self.loop.time()
        if kind == FEED:
            try:
                self.on_body(body)
            except Exception as error:  # a body that `on_body` fails on ends the feed, not the process
                self._end(f"not understood: {error!r:.120}")
        elif kind != HEARTBEAT:
            self._end(f"{kind}: {body!s:.120}")

    def _check_silence(self) -> None:
        now_s = self.loop.time()
        # If this process stalled, frames that have arrived are not read yet.
        stalled = now_s - self.last_check_s > 2 * HEARTBEAT_S
        self.last_check_s = now_s
        if not stalled and now_s - self.last_frame_s > SILENCE_TIMEOUT_S:
            self._end(f"silent for {SILENCE_TIMEOUT_S:g} s")
            return
        self.timer = self.loop.call_later(HEARTBEAT_S / 2, self._check_silence)

    def _end(self, reason: str) -> None:
        if self.ended:
            return
        started = self.stream is not None
        self.close()
        if started:
            self.on_end(reason)

    def on_stream_ended(self, reason: str) -> None:
        """Called when the connection has ended."""
        self._end(reason)

    def close(self) -> None:
        """End the feed from this side; `on_end` is not called."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.stream is not None:
            self.stream.end("closed")
        if self.on_finished is not None:
            self.on_finished()
