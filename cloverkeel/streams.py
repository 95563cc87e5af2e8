"""Bodies too long to be held whole: how much is read at a time, and a request's body on its way to a host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

PIECE_BYTES = 64 * 1024  # the most that is read at a time, and so held of one body
MIN_PIECE_BYTES = 4 * 1024
MIN_BYTES_PER_S = 32_000  # bytes a second: half of what the slowest proper side gives or takes
MEMORY_DIVISOR = 8  # part of the memory that the pieces of all long bodies together may take


class ReadBuffer:
    """Where every connection's bytes arrive, one read at a time."""

    def __init__(self, memory_mb: float) -> None:
        self.view = memoryview(bytearray(PIECE_BYTES))
        self.streamed_bodies = 0  # long bodies that pass now
        self.set_memory_limit(memory_mb)

    def set_memory_limit(self, memory_mb: float) -> None:
        self.max_streamed_bytes = int(memory_mb * 1024 * 1024 / MEMORY_DIVISOR)

    def streamed_view(self) -> memoryview:
        """Room for a piece of one of the long bodies: smaller, the more of them there are."""
        return self.view[
            : max(MIN_PIECE_BYTES, min(PIECE_BYTES, self.max_streamed_bytes // max(1, self.streamed_bodies)))
        ]


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class UploadSink(Protocol):
    """The connection that an upload goes on with."""

    flushed: bool

    def write_body(self, data: bytes, ended: bool) -> None: ...


class Upload:
    """A request's body that goes on to a host while it comes, by one connection and no second time."""

    __slots__ = ("ended", "is_chunked", "on_writable", "sink")

    def __init__(self, is_chunked: bool, on_writable: Callable[[], None]) -> None:
        self.is_chunked = is_chunked
        self.on_writable = on_writable  # more may come
        self.sink: UploadSink | None = None
        self.ended = False

    def frame(self, data: bytes) -> bytes:
        return encode_chunk(data) if self.is_chunked and data else data

    def attach(self, sink: UploadSink) -> None:
        """The host has what was held; from here on the body passes."""
        self.sink = sink
        self.on_writable()

    def feed(self, data: bytes) -> bool:
        """Pass a piece on; False if no more should come for now."""
        if self.sink is None:
            return False
        self.sink.write_body(self.frame(data), False)
        return self.sink.flushed

    def end(self) -> None:
        self.ended = True
        if self.sink is not None:
            self.sink.write_body(LAST_CHUNK if self.is_chunked else b"", True)
