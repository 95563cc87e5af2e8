"""Frames on a TCP connection between members.

A frame is its length in 4 bytes (big-endian), then msgpack [version, cluster, kind, body]. The body of a
request is [peer's name, body]. The name is not authenticated, as in membership's datagrams: whoever reaches
the address can send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024  # default limit of one frame
DROP_REASONS = ("malformed", "oversized", "version", "cluster")  # why a frame is dropped, as counted

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[tuple[int, str, str, Any]] = msgspec.msgpack.Decoder(
    tuple[int, str, str, Any]
)


class FrameError(ValueError):
    """A frame is invalid or of another cluster; `reason` is one of `DROP_REASONS`."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class FrameCodec:
    """Encodes and decodes the frames of one cluster, within a size limit in both directions."""

    def __init__(self, cluster: str, most: int = MAX_FRAME_BYTES) -> None:
        self.cluster, self.max_bytes = cluster, most

    def encode(self, kind: str, body: Any) -> bytes:
        """Encode a frame. Raises FrameError for a body that is too long or that msgpack cannot encode."""
        try:
            data = _encoder.encode((VERSION, self.cluster, kind, body))
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            raise FrameError("malformed", f"{error!s:.120}") from None
        if len(data) > self.max_bytes:
            raise FrameError("oversized", f"{len(data)} bytes, over {self.max_bytes}")
        return len(data).to_bytes(4, "big") + data

    def decode_next(self, buffer: bytearray) -> tuple[str, Any] | None:
        """Remove the first frame from `buffer` and return its kind and body; None if it is not complete yet.

        Raises FrameError as soon as the buffer cannot begin with a valid frame.
        """
        if len(buffer) < 4:
            return None
        size = int.from_bytes(buffer[:4], "big")
        if size > self.max_bytes:
            raise FrameError("oversized", f"{size} bytes, over {self.max_bytes}")
        if len(buffer) < 4 + size:
            return None
        data = bytes(buffer[4 : 4 + size])
        del buffer[: 4 + size]
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
    """One connection: passes each received frame to `on_frame`, in order, and calls `on_end(reason)` once."""

    def __init__(
        self,
        codec: FrameCodec,
        on_frame: Callable[[str, Any], None],
        on_end: Callable[[str], None],
        on_connected: Callable[[], None] | None = None,
    ) -> None:
        self.codec, self.on_frame, self.on_end, self.on_connected = codec, on_frame, on_end, on_connected
        self.buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass of it
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
        """Send a frame. Raises FrameError for a body that cannot be encoded in one."""
        data = self.codec.encode(kind, body)
        if self.transport is not None and not self.ended:
            self.transport.write(data)

    @property
    def unsent_bytes(self) -> int:
        """Bytes written but not yet passed to the kernel."""
        return self.transport.get_write_buffer_size() if self.transport is not None and not self.ended else 0

    def end(self, reason: str, flush_s: float = 0.0) -> None:
        """Close the connection; unsent bytes are still sent for up to `flush_s`, else discarded."""
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
