"""Feeds: one member follows another over one connection, and either notices within a second that the other
has gone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet.membership.frames import FrameError, Stream

HEARTBEAT_S = 0.25  # a heartbeat from the serving side so often
SILENCE_TIMEOUT_S = 1.0  # a feed without a frame for so long has ended
MAX_UNSENT_BYTES = 1024 * 1024  # a follower that leaves more than this unread is let go
FLUSH_TIMEOUT_S = 2.0  # for a last answer to go out

HEARTBEAT, FEED, END, OK, ERROR = "beat", "feed", "end", "ok", "error"


class Feed:
    """The serving side: `send` to the follower named `peer`. `on_close` is called once when it has ended,
    whichever side ended it."""

    def __init__(self, stream: Stream, peer: str) -> None:
        self.stream, self.peer = stream, peer
        self.on_close: Callable[[], None] | None = None
        self.closed = False

    def send(self, body: Any) -> None:
        """Pass `body` on, in order; on a feed that has ended nothing happens. A body that no frame holds and
        a follower that does not read end the feed."""
        self._write(FEED, body)

    def send_heartbeat(self) -> None:
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
            self.stream.end("the follower does not read")

    def close(self, reason: str = "closed") -> None:
        if not self.closed:
            self.stream.write(END, reason)
            self.stream.end(reason, FLUSH_TIMEOUT_S)

    def on_stream_ended(self) -> None:
        """The stream has gone."""
        if not self.closed:
            self.closed = True
            if self.on_close is not None:
                self.on_close()


class Subscription:
    """The following side. `on_end(reason)` comes exactly once, after silence, an end or an error, and not at
    all after this side's own `close`."""

    def __init__(self, on_body: Callable[[Any], None], on_end: Callable[[str], None]) -> None:
        self.on_body, self.on_end = on_body, on_end
        self.stream: Stream | None = None
        self.ended = False
        self.on_finished: Callable[[], None] | None = None  # ended, whichever side did it
        self.timer: asyncio.TimerHandle | None = None
        self.last_frame_s = self.last_check_s = 0.0

    def start(self, stream: Stream) -> None:
        """The request has gone out on a connection that stands."""
        self.stream = stream
        self.loop = asyncio.get_running_loop()
        self.last_frame_s = self.last_check_s = self.loop.time()
        self.timer = self.loop.call_later(HEARTBEAT_S / 2, self._check_silence)

    def on_frame(self, kind: str, body: Any) -> None:
        if self.ended:
            return
        self.last_frame_s = self.loop.time()
        if kind == FEED:
            try:
                self.on_body(body)
            except Exception as error:  # a body that its reader cannot take ends the feed, not the process
                self._end(f"not understood: {error!r:.120}")
        elif kind != HEARTBEAT:
            self._end(f"{kind}: {body!s:.120}")

    def _check_silence(self) -> None:
        now_s = self.loop.time()
        stalled = (
            now_s - self.last_check_s > 2 * HEARTBEAT_S
        )  # this process stood still: what came is not read yet
        self.last_check_s = now_s
        if not stalled and now_s - self.last_frame_s > SILENCE_TIMEOUT_S:
            self._end(f"silent for {SILENCE_TIMEOUT_S:g} s")
            return
        self.timer = self.loop.call_later(HEARTBEAT_S / 2, self._check_silence)

    def _end(self, reason: str) -> None:
        if self.ended:
            return
        begun = self.stream is not None
        self.close()
        if begun:
            self.on_end(reason)

    def on_stream_ended(self, reason: str) -> None:
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
