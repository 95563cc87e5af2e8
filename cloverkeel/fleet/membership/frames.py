"""Frames on a stream between members: 4 bytes of length (big-endian), then msgpack [version, cluster, kind,
body]. A peer's name travels in the body's envelope ([name, body]) and is believed as membership's is: whoever
reaches the address can speak."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

VERSION = 1
FRAME_BYTES = 4 * 1024 * 1024  # of one frame, unless told otherwise
REASONS = ("malformed", "oversized", "version", "cluster")  # why a frame is dropped

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[tuple[int, str, str, Any]] = msgspec.msgpack.Decoder(
    tuple[int, str, str, Any]
)


class FrameError(ValueError):
    """What came is not a frame of this cluster; `reason` is one word for counting."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class Frames:
    """Coding for one cluster, bounded in both directions."""

    def __init__(self, cluster: str, most: int = FRAME_BYTES) -> None:
        self.cluster, self.most = cluster, most

    def encode(self, kind: str, body: Any) -> bytes:
        """Raises FrameError for a body that is too long or that msgpack has no form for."""
        try:
            data = _encoder.encode((VERSION, self.cluster, kind, body))
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            raise FrameError("malformed", f"{error!s:.120}") from None
        if len(data) > self.most:
            raise FrameError("oversized", f"{len(data)} bytes, over {self.most}")
        return len(data).to_bytes(4, "big") + data

    def take(self, held: bytearray) -> tuple[str, Any] | None:
        """The first whole frame's kind and body, taken off `held`; None: not whole yet. Raises FrameError as
        soon as what is there cannot become a frame."""
        if len(held) < 4:
            return None
        size = int.from_bytes(held[:4], "big")
        if size > self.most:
            raise FrameError("oversized", f"{size} bytes, over {self.most}")
        if len(held) < 4 + size:
            return None
        data = bytes(held[4 : 4 + size])
        del held[: 4 + size]
        try:
            version, cluster, kind, body = _decoder.decode(data)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise FrameError("malformed", f"{error!s:.120}") from None
        if version != VERSION:
            raise FrameError("version", f"{version}, not {VERSION}")
        if cluster != self.cluster:
            raise FrameError("cluster", f"{cluster!r:.80}")
        return kind, body


class Stream(asyncio.Protocol):
    """One connection: bytes in become frames in order, each given to `on_frame`; `on_lost` comes once, with
    the reason."""

    def __init__(
        self,
        frames: Frames,
        on_frame: Callable[[str, Any], None],
        on_lost: Callable[[str], None],
        on_made: Callable[[], None] | None = None,
    ) -> None:
        self.frames, self.on_frame, self.on_lost, self.on_made = frames, on_frame, on_lost, on_made
        self.held = bytearray()
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self.lost:
            self.transport.abort()
        elif self.on_made is not None:
            self.on_made()

    def data_received(self, data: bytes) -> None:
        if self.lost:
            return
        self.held += data
        try:
            while not self.lost and (frame := self.frames.take(self.held)) is not None:
                self.on_frame(*frame)
        except FrameError as error:
            self.end(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"connection lost: {exc}" if exc else "closed by the peer")

    def write(self, kind: str, body: Any) -> None:
        """Raises FrameError for a body that no frame holds."""
        data = self.frames.encode(kind, body)
        if self.transport is not None and not self.lost:
            self.transport.write(data)

    @property
    def unsent(self) -> int:
        """Bytes that the peer has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None and not self.lost else 0

    def end(self, reason: str, flush_s: float = 0.0) -> None:
        """Close; with `flush_s` what is unsent may still go out for so long."""
        if self.lost:
            return
        self.lost = True
        self.held.clear()
        if self.transport is not None:
            if flush_s > 0:
                self.transport.close()
                asyncio.get_running_loop().call_later(flush_s, self.transport.abort)
            else:
                self.transport.abort()
        self.on_lost(reason)
