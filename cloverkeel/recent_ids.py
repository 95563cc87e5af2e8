"""Ids of requests that may have run, in a table of fixed size that the processes of an upgrade share.

A request whose client has left may still run, or has run, at a host. Should its id come again, at this
process or at another one that accepts from the same listening socket, it must not run twice. The table is a
memory map: of a file that is named after the listening socket, or of no file where the socket is not shared.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import socket
import struct
import time

from cloverkeel.http1 import log

RETENTION_S = 60  # for which the id of a request is kept after it was sent
BUCKETS = 1024
SLOTS_PER_BUCKET = 8
SLOT = struct.Struct("<Qd")  # hash of the id, 0: free; monotonic time at which it was recorded
BUCKET_BYTES = SLOT.size * SLOTS_PER_BUCKET
TABLE_BYTES = BUCKETS * BUCKET_BYTES


class RecentIds:
    """Remembers ids for RETENTION_S; where too many fall into one bucket, the oldest there is forgotten."""

    def __init__(self, table: mmap.mmap | None = None) -> None:
        self.is_shared = table is not None  # with another process
        self._table = table if table is not None else mmap.mmap(-1, TABLE_BYTES)
        self._is_empty = not self.is_shared

    def add(self, id_: str) -> None:
        """Record an id, or record it anew."""
        self._is_empty = False
        key, start = _locate(id_)
        slots = self._slots(start)
        place = next((n for n, (found, _) in enumerate(slots) if found == key), None)
        if place is None:
            place = min(range(SLOTS_PER_BUCKET), key=lambda n: slots[n][1] if slots[n][0] else -1)
        SLOT.pack_into(self._table, start + place * SLOT.size, key, _now_s())

    def discard(self, id_: str) -> None:
        """Forget an id."""
        key, start = _locate(id_)
        for place, (found, _) in enumerate(self._slots(start)):
            if found == key:
                SLOT.pack_into(self._table, start + place * SLOT.size, 0, 0)

    def __contains__(self, id_: str) -> bool:
        if self._is_empty:
            return False
        key, start = _locate(id_)
        oldest_s = _now_s() - RETENTION_S
        return any(found == key and since_s >= oldest_s for found, since_s in self._slots(start))

    def _slots(self, start: int) -> list[tuple[int, float]]:
        return list(SLOT.iter_unpack(self._table[start : start + BUCKET_BYTES]))


def _now_s() -> float:
    return time.monotonic()


def _locate(id_: str) -> tuple[int, int]:
    """The hash of an id, and the offset of its bucket in the table."""
    key = int.from_bytes(hashlib.blake2b(id_.encode("latin-1", "replace"), digest_size=8).digest()) or 1
    return key, key % BUCKETS * BUCKET_BYTES


def open_recent_ids(listener: socket.socket | None, directory: str) -> RecentIds:
    """The table of the processes that accept from an inherited socket, or one of this process alone.

    Its file is in `directory`, or in that for temporary files.
    """
    if listener is None:
        return RecentIds()
    number = os.fstat(listener.fileno()).st_ino
    folder = directory or os.environ.get("TMPDIR") or "/tmp"
    path = os.path.join(folder, f"cloverkeel-ids-{os.getuid()}-{number}")
    try:
        os.makedirs(folder, exist_ok=True)
        return open_shared(path)
    except OSError as error:
        log(f"ids are not shared with the other process of an upgrade: {error}")
        return RecentIds()


def open_shared(path: str) -> RecentIds:
    """The table in a file, which is made if there is none. Raises OSError if it cannot be used."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
    try:
        status = os.fstat(descriptor)
        if status.st_uid != os.getuid():
            raise PermissionError(f"{path} belongs to another user")
        if status.st_size < TABLE_BYTES:
            os.posix_fallocate(descriptor, 0, TABLE_BYTES)
        return RecentIds(mmap.mmap(descriptor, TABLE_BYTES))
    finally:
        os.close(descriptor)
