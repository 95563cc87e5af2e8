"""Streamed bodies, which are too long to be held whole: the read buffer, and uploads to hosts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cloverkeel.fair_share import processor_s
from cloverkeel.memory import MIN_PIECE_BYTES, MemoryBudget

PIECE_BYTES = 64 * 1024  # the most that is read at a time, and so held of one body
MIN_BYTES_PER_S = 32_000  # half the rate of the slowest client or host that has to be supported
PIECES_HELD = 4  # of one streamed body, at most: read, in two write buffers, and as a copy


class ReadBuffer:
    """The buffer that all connections read into; only one read uses it at a time."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.view = memoryview(bytearray(PIECE_BYTES))
        self.read_began_s = 0.0  # processor time at which the read in progress began
        self.streamed_bodies = 0  # bodies being streamed now

    def begin_read(self, size: int) -> memoryview:
        """The part of the buffer for a read of at most `size` bytes, which begins now."""
        self.read_began_s = processor_s()
        return self.view[:size]

    def piece_bytes(self) -> int:
        """The most that is read of a streamed body at a time: less, the more bodies are streamed."""
        share = self.memory.free // (PIECES_HELD * max(1, self.streamed_bodies))
        return max(MIN_PIECE_BYTES, min(PIECE_BYTES, share))


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

    __slots__ = ("ended", "is_chunked", "on_started", "on_writable", "sink")

    def __init__(
        self,
        is_chunked: bool,
        on_writable: Callable[[], None],
        on_started: Callable[[], None] = lambda: None,
    ) -> None:
        self.is_chunked = is_chunked
        self.on_writable = on_writable  # the client may send more
        self.on_started = on_started  # a host has been sent what was held of the body
        self.sink: UploadSink | None = None
        self.ended = False

    def frame(self, data: bytes) -> bytes:
        """`data` in the body's transfer coding."""
        return encode_chunk(data) if self.is_chunked and data else data

    def attach(self, sink: UploadSink) -> None:
        """Stream to `sink` from now on; it has been given what was held of the body."""
        self.sink = sink
        self.on_started()
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
