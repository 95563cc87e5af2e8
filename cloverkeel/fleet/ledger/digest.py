"""Digests of a set of records, in two levels: 256 buckets by key, and a root over them.

A bucket's hash is the XOR of the 128-bit hashes of its records, so that a change costs one hash and not the
bucket. Comparing roots, then buckets, then the dots of the buckets that differ costs what differs.
"""

from __future__ import annotations

import hashlib

import msgspec

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.records import Record

BUCKETS = 256
WIDTH = 16  # bytes of a hash


def bucket_of(record: Record) -> int:
    return hashlib.blake2b(f"{record.kind}\0{record.key}".encode(), digest_size=1).digest()[0]


def leaf(record: Record) -> int:
    """The record's own hash. The context needs no place in it: a dot names one record for ever."""
    named = msgspec.msgpack.encode((record.kind, record.key, record.sha256, record.dot))
    return int.from_bytes(hashlib.blake2b(named, digest_size=WIDTH).digest(), "big")


class Digests:
    """The hashes and the dots of each bucket, kept up as records come and go."""

    def __init__(self) -> None:
        self.sums = [0] * BUCKETS
        self.dots: list[set[Dot]] = [set() for _ in range(BUCKETS)]
        self.made: tuple[bytes, bytes] | None = None  # (bucket hashes, root) while nothing changes

    def add(self, record: Record) -> None:
        self._turn(record)
        self.dots[bucket_of(record)].add(record.dot)

    def remove(self, record: Record) -> None:
        self._turn(record)
        self.dots[bucket_of(record)].remove(record.dot)

    def buckets(self) -> bytes:
        """The hashes of all buckets, one behind the other: 4 KiB."""
        return self._make()[0]

    def root(self) -> bytes:
        return self._make()[1]

    def differing(self, theirs: bytes) -> list[int]:
        """The buckets whose hash is another there; all where `theirs` is not 4 KiB of hashes."""
        mine = self.buckets()
        if len(theirs) != len(mine):
            return list(range(BUCKETS))
        spans = [slice(i * WIDTH, (i + 1) * WIDTH) for i in range(BUCKETS)]
        return [i for i, span in enumerate(spans) if mine[span] != theirs[span]]

    def _turn(self, record: Record) -> None:
        self.sums[bucket_of(record)] ^= leaf(record)
        self.made = None

    def _make(self) -> tuple[bytes, bytes]:
        if self.made is None:
            blob = b"".join(s.to_bytes(WIDTH, "big") for s in self.sums)
            self.made = blob, hashlib.blake2b(blob, digest_size=WIDTH).digest()
        return self.made
