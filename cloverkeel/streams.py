"""Streamed bodies, which are too long to be held whole: the read buffer, and uploads to hosts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

PIECE_BYTES = 64 * 1024  # the most that is read at a time, and so held of one body
MIN_PIECE_BYTES = 4 * 1024  # the least that is read at a time, however many bodies are streamed
MIN_BYTES_PER_S = 32_000  # half the rate of the slowest client or host that has to be supported
MEMORY_DIVISOR = 8  # the pieces of all streamed bodies may take 1/8 of the process's memory


class ReadBuffer:
    """The buffer that all connections read into; only one read uses it at a time."""

    def __init__(self, memory_mb: float) -> None:
        self.view = memoryview(bytearray(PIECE_BYTES))
        self.streamed_bodies = 0  # bodies being streamed now
        self.set_memory_limit(memory_mb)

    def set_memory_limit(self, memory_mb: float) -> None:
        """Set the share of the process's memory that streamed bodies may take."""
        self.max_streamed_bytes = int(memory_mb * 1024 * 1024 / MEMORY_DIVISOR)

    def streamed_view(self) -> memoryview:
        """The buffer for one piece of a streamed body: smaller, the more bodies are streamed."""
        return self.view[
            : max(MIN_PIECE_BYTES, min(PIECE_BYTES, self.max_streamed_bytes // max(1, self.streamed_bodies)))
        ]


def encode_chunk(data: bytes) -> bytes:
    """`data` as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class UploadSink(Protocol):
    """The host connection that an upload is written to."""

    flushed: bool  # all that was written is with the kernel

    def write_body(self, data: bytes, ended: bool) -> None: ...


class Upload:
    """The rest of a streamed request body. It goes to a single host connection and can't be sent again."""

    __slots__ = ("ended", "is_chunked", "on_writable", "sink")

    def __init__(self, is_chunked: bool, on_writable: Callable[[], None]) -> None:
        self.is_chunked = is_chunked
        self.on_writable = on_writable  # the client may send more
        self.sink: UploadSink | None = None
        self.ended = False

    def frame(self, data: bytes) -> bytes:
        """`data` in the body's transfer coding."""
        return encode_chunk(data) if self.is_chunked and data else data

    def attach(self, sink: UploadSink) -> None:
        """Stream to `sink` from now on; it has been given what was held of the body."""
        self.sink = sink
        self.on_writable()

    def feed(self, data: bytes) -> bool:
        """Forward a piece of the body; False if the client should pause sending."""
        if self.sink is None:
            return False
        self.sink.write_body(self.frame(data), False)
        return self.sink.flushed

    def end(self) -> None:
        """The client has sent all of the body."""
        self.ended = True
        if self.sink is not None:
            self.sink.write_body(LAST_CHUNK if self.is_chunked else b"", True)
