"""Frames on a stream between members: 4 bytes of length (big-endian), then msgpack [version, cluster, kind,
body]. A peer's name travels in the body's envelope ([name, body]) and is believed as membership's is: whoever
reaches the address can speak."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024  # of one frame, unless told otherwise
DROP_REASONS = ("malformed", "oversized", "version", "cluster")  # why a frame is dropped

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[tuple[int, str, str, Any]] = msgspec.msgpack.Decoder(
    tuple[int, str, str, Any]
)


class FrameError(ValueError):
    """What came is not a frame of this cluster; `reason` is one word for counting."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class FrameCodec:
    """Coding for one cluster, bounded in both directions."""

    def __init__(self, cluster: str, most: int = MAX_FRAME_BYTES) -> None:
        self.cluster, self.max_bytes = cluster, most

    def encode(self, kind: str, body: Any) -> bytes:
        """Raises FrameError for a body that is too long or that msgpack has no form for."""
        try:
            data = _encoder.encode((VERSION, self.cluster, kind, body))
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            raise FrameError("malformed", f"{error!s:.120}") from None
        if len(data) > self.max_bytes:
            raise FrameError("oversized", f"{len(data)} bytes, over {self.max_bytes}")
        return len(data).to_bytes(4, "big") + data

    def decode_next(self, held: bytearray) -> tuple[str, Any] | None:
        """The first whole frame's kind and body, taken off `held`; None: not whole yet. Raises FrameError as
        soon as what is there cannot become a frame."""
        if len(held) < 4:
            return None
        size = int.from_bytes(held[:4], "big")
        if size > self.max_bytes:
            raise FrameError("oversized", f"{size} bytes, over {self.max_bytes}")
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
        frames: FrameCodec,
        on_frame: Callable[[str, Any], None],
        on_lost: Callable[[str], None],
        on_made: Callable[[], None] | None = None,
    ) -> None:
        self.codec, self.on_frame, self.on_end, self.on_connected = frames, on_frame, on_lost, on_made
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self.ended:
            self.transport.abort()
        elif self.on_connected is not None:
            self.on_connected()

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        self.buffer += data
        try:
            while not self.ended and (frame := self.codec.decode_next(self.buffer)) is not None:
                self.on_frame(*frame)
        except FrameError as error:
            self.end(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(f"connection lost: {exc}" if exc else "closed by the peer")

    def write(self, kind: str, body: Any) -> None:
        """Raises FrameError for a body that no frame holds."""
        data = self.codec.encode(kind, body)
        if self.transport is not None and not self.ended:
            self.transport.write(data)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the peer has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None and not self.ended else 0

    def end(self, reason: str, flush_s: float = 0.0) -> None:
        """Close; with `flush_s` what is unsent may still go out for so long."""
        if self.ended:
            return
        self.ended = True
        self.buffer.clear()
        if self.transport is not None:
            if flush_s > 0:
                self.transport.close()
                asyncio.get_running_loop().call_later(flush_s, self.transport.abort)
            else:
                self.transport.abort()
        self.on_end(reason)
