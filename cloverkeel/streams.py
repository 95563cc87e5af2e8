"""Bodies too long to be held whole: how much is read at a time, and a request's body on its way to a host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

PIECE = 64 * 1024  # the most that is read at a time, and so held of one body
LEAST_PIECE = 4 * 1024
LEAST_RATE = 32_000  # bytes a second: half of what the slowest proper side gives or takes
SHARE = 8  # part of the memory that the pieces of all long bodies together may take


class Buffer:
    """Where every connection's bytes arrive, one read at a time."""

    def __init__(self, memory_mb: float) -> None:
        self.view = memoryview(bytearray(PIECE))
        self.long = 0  # long bodies that pass now
        self.limit(memory_mb)

    def limit(self, memory_mb: float) -> None:
        self.most = int(memory_mb * 1024 * 1024 / SHARE)

    def for_long(self) -> memoryview:
        """Room for a piece of one of the long bodies: smaller, the more of them there are."""
        return self.view[: max(LEAST_PIECE, min(PIECE, self.most // max(1, self.long)))]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Carrier(Protocol):
    """The connection that an upload goes on with."""

    flushed: bool

    def write_on(self, data: bytes, ended: bool) -> None: ...


class Upload:
    """A request's body that goes on to a host while it comes, by one connection and no second time."""

    __slots__ = ("carrier", "ended", "is_chunked", "on_room")

    def __init__(self, is_chunked: bool, on_room: Callable[[], None]) -> None:
        self.is_chunked = is_chunked
        self.on_room = on_room  # more may come
        self.carrier: Carrier | None = None
        self.ended = False

    def framed(self, data: bytes) -> bytes:
        return chunk(data) if self.is_chunked and data else data

    def attach(self, carrier: Carrier) -> None:
        """The host has what was held; from here on the body passes."""
        self.carrier = carrier
        self.on_room()

    def feed(self, data: bytes) -> bool:
        """Pass a piece on; False if no more should come for now."""
        if self.carrier is None:
            return False
        self.carrier.write_on(self.framed(data), False)
        return self.carrier.flushed

    def end(self) -> None:
        self.ended = True
        if self.carrier is not None:
            self.carrier.write_on(LAST_CHUNK if self.is_chunked else b"", True)
