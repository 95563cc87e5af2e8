"""Counts the memory that peers make the process hold, against the process's memory limit.

Each connection has an account. What it holds on a peer's behalf (heads, fields, bodies, queued requests,
output that the peer has not read) is charged there by what it takes in the process, not by its size on the
wire. A charge that would exceed the budget is denied: the caller refuses the request, or streams the body.
"""

from __future__ import annotations

import os

MEBIBYTE = 1024 * 1024
# Memory of the process before its first client, where it is not measured.
DEFAULT_RESIDENT_BYTES = 26 * MEBIBYTE
MARGIN_DIVISOR = 16  # of the limit: for what is not charged, and for fragments of free memory
MIN_CAPACITY_BYTES = MEBIBYTE  # with a limit below what the process takes by itself
# An account that holds more than SMALL_BYTES may use only this share of the capacity, so that a few large
# bodies, or many half-sent ones, do not keep ordinary requests out.
SMALL_BYTES = 16 * 1024
LARGE_SHARE = 0.4

FIELD_BYTES = 176  # held for a header field in addition to its name and value
GROWING_BODY_FACTOR = 1.5  # of a body that grows piece by piece, as it is moved when it outgrows its place
REQUEST_BYTES = 1024  # held for a request that has been read
PENDING_BYTES = 5 * 1024  # held in addition for one that the gateway has accepted, with its attempts
CLIENT_CONNECTION_BYTES = 5 * 1024
HOST_CONNECTION_BYTES = 4 * 1024
MIN_PIECE_BYTES = 4 * 1024  # of a streamed body: the least that is read at a time
RESPONSE_HEAD_BYTES = 1024  # held of a response's head, as long as its body is streamed
RESPONSE_BYTES = 2 * MIN_PIECE_BYTES  # held of a response whose client reads slowly: its output and one piece
# Charged once a request is accepted: what it will hold later can't be refused any more.
ATTEMPT_BYTES = HOST_CONNECTION_BYTES + RESPONSE_HEAD_BYTES
ACCEPTED_BYTES = PENDING_BYTES + ATTEMPT_BYTES + RESPONSE_BYTES


def resident_bytes() -> int:
    """The memory of this process that is resident now; DEFAULT_RESIDENT_BYTES if it cannot be read."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return DEFAULT_RESIDENT_BYTES


class MemoryBudget:
    """The memory that may be held on behalf of peers, and how much of it is in use."""

    def __init__(self, memory_mb: float, own_bytes: int = DEFAULT_RESIDENT_BYTES) -> None:
        self.own_bytes = own_bytes  # of the process itself
        self.used = 0
        self.denied = 0  # charges
        self.set_limit(memory_mb)

    def __str__(self) -> str:
        kib = 1024
        return f"memory: {self.used // kib} of {self.capacity // kib} KiB held, {self.denied} charges denied"

    def set_limit(self, memory_mb: float) -> None:
        """Set the process's memory limit."""
        self.limit = int(memory_mb * MEBIBYTE)
        margin = self.limit // MARGIN_DIVISOR
        self.capacity = max(MIN_CAPACITY_BYTES, self.limit - margin - self.own_bytes)
        # Requests are refused before connections are: beyond the first figure the oldest request that is
        # not complete is refused for each new connection, beyond the second the new connection itself is.
        self.connection_capacity = self.capacity + margin // 4
        self.max_connection_capacity = self.capacity + margin // 2

    def set_own_bytes(self, own_bytes: int) -> None:
        """Set how much the process takes by itself, as measured after its start."""
        self.own_bytes = own_bytes
        self.set_limit(self.limit / MEBIBYTE)

    @property
    def free(self) -> int:
        """Bytes that large holders may still be granted."""
        return max(0, int(self.capacity * LARGE_SHARE) - self.used)

    @property
    def is_full(self) -> bool:
        """Whether no further connection to a host may be charged."""
        return self.used + HOST_CONNECTION_BYTES > self.capacity

    @property
    def free_connections(self) -> int:
        """The number of clients' connections that leave room for a request of each."""
        return max(0, self.capacity - self.used) // (CLIENT_CONNECTION_BYTES + REQUEST_BYTES)

    def open_account(self) -> MemoryAccount:
        """A new account that holds nothing."""
        return MemoryAccount(self)


class MemoryAccount:
    """What one connection holds."""

    __slots__ = ("budget", "held", "is_closed")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held = 0
        self.is_closed = False

    def grow(self, size: int) -> bool:
        """Charge `size` more bytes; False, and no change, if the budget does not allow it."""
        return self._charge(size, self.held + size)

    def reserve(self, size: int) -> bool:
        """Charge `size` bytes that every request needs, whether it is a large one or not."""
        return self._charge(size, self.held)

    def _charge(self, size: int, held: int) -> bool:
        budget = self.budget
        limit = budget.capacity * LARGE_SHARE if held > SMALL_BYTES else budget.capacity
        if budget.used + size > limit:
            budget.denied += 1
            return False
        self.add(size)
        return True

    def change(self, old: int, new: int) -> bool:
        """Charge `new` bytes in place of `old`; False, and no change, if the budget does not allow it."""
        if new > old:
            return self.grow(new - old)
        self.add(new - old)
        return True

    def add(self, size: int) -> None:
        """Charge bytes that are held already; a negative size releases some. Ignored once it is closed."""
        if not self.is_closed:
            self.held += size
            self.budget.used += size

    def close(self) -> None:
        """Release all that is held."""
        self.add(-self.held)
        self.is_closed = True
