"""Digests of a set of records, in two levels: 256 buckets by key, and a root over them.

A bucket's hash is the XOR of the 128-bit hashes of its records, so that a change costs one hash and not the
bucket. Comparing roots, then buckets, then the dots of the buckets that differ costs what differs.
"""

from __future__ import annotations

import hashlib

import msgspec

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.records import Record

BUCKET_COUNT = 256
HASH_BYTES = 16  # bytes of a hash


def bucket_of(record: Record) -> int:
    return hashlib.blake2b(f"{record.kind}\0{record.key}".encode(), digest_size=1).digest()[0]


def record_hash(record: Record) -> int:
    """The record's own hash. The context needs no place in it: a dot names one record for ever."""
    named = msgspec.msgpack.encode((record.kind, record.key, record.sha256, record.dot))
    return int.from_bytes(hashlib.blake2b(named, digest_size=HASH_BYTES).digest(), "big")


class BucketHashes:
    """The hashes and the dots of each bucket, kept up as records come and go."""

    def __init__(self) -> None:
        self.xors = [0] * BUCKET_COUNT
        self.dots_by_bucket: list[set[Dot]] = [set() for _ in range(BUCKET_COUNT)]
        self.cached: tuple[bytes, bytes] | None = None  # (bucket hashes, root) while nothing changes

    def add(self, record: Record) -> None:
        self._toggle(record)
        self.dots_by_bucket[bucket_of(record)].add(record.dot)

    def remove(self, record: Record) -> None:
        self._toggle(record)
        self.dots_by_bucket[bucket_of(record)].remove(record.dot)

    def hashes(self) -> bytes:
        """The hashes of all buckets, one behind the other: 4 KiB."""
        return self._computed()[0]

    def root(self) -> bytes:
        return self._computed()[1]

    def differing_buckets(self, theirs: bytes) -> list[int]:
        """The buckets whose hash is another there; all where `theirs` is not 4 KiB of hashes."""
        mine = self.hashes()
        if len(theirs) != len(mine):
            return list(range(BUCKET_COUNT))
        spans = [slice(i * HASH_BYTES, (i + 1) * HASH_BYTES) for i in range(BUCKET_COUNT)]
        return [i for i, span in enumerate(spans) if mine[span] != theirs[span]]

    def _toggle(self, record: Record) -> None:
        self.xors[bucket_of(record)] ^= record_hash(record)
        self.cached = None

    def _computed(self) -> tuple[bytes, bytes]:
        if self.cached is None:
            blob = b"".join(s.to_bytes(HASH_BYTES, "big") for s in self.xors)
            self.cached = blob, hashlib.blake2b(blob, digest_size=HASH_BYTES).digest()
        return self.cached
