"""Hashes over a set of records in two levels, as in a Merkle tree: 256 buckets by key, and a root over them.

The hash of a bucket is the XOR of the 128-bit hashes of its records, so that adding or removing a record
costs one hash instead of one for each record of the bucket. Comparing roots, then buckets, then the dots of
the buckets that differ costs in proportion to the difference.
"""

from __future__ import annotations

import hashlib

import msgspec

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.records import Record

BUCKET_COUNT = 256
HASH_BYTES = 16


def bucket_of(record: Record) -> int:
    """The number of the record's bucket: a hash of its kind and key."""
    return hashlib.blake2b(f"{record.kind}\0{record.key}".encode(), digest_size=1).digest()[0]


def record_hash(record: Record) -> int:
    """The hash of one record. It leaves out the context, since a dot identifies one record for all time."""
    encoded = msgspec.msgpack.encode((record.kind, record.key, record.sha256, record.dot))
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=HASH_BYTES).digest(), "big")


class BucketHashes:
    """The hash and the dots of each bucket, updated as records are added and removed."""

    def __init__(self) -> None:
        self.xors = [0] * BUCKET_COUNT
        self.dots_by_bucket: list[set[Dot]] = [set() for _ in range(BUCKET_COUNT)]
        self.cached: tuple[bytes, bytes] | None = None  # (bucket hashes, root); None after a change

    def add(self, record: Record) -> None:
        self._toggle(record)
        self.dots_by_bucket[bucket_of(record)].add(record.dot)

    def remove(self, record: Record) -> None:
        self._toggle(record)
        self.dots_by_bucket[bucket_of(record)].remove(record.dot)

    def hashes(self) -> bytes:
        """The concatenated hashes of all buckets (4 KiB)."""
        return self._computed()[0]

    def root(self) -> bytes:
        """The hash over the bucket hashes: equal for equal sets of records."""
        return self._computed()[1]

    def differing_buckets(self, theirs: bytes) -> list[int]:
        """The buckets whose hash differs from `theirs`; all of them if `theirs` has a different length."""
        own = self.hashes()
        if len(theirs) != len(own):
            return list(range(BUCKET_COUNT))
        spans = [slice(i * HASH_BYTES, (i + 1) * HASH_BYTES) for i in range(BUCKET_COUNT)]
        return [i for i, span in enumerate(spans) if own[span] != theirs[span]]

    def _toggle(self, record: Record) -> None:
        self.xors[bucket_of(record)] ^= record_hash(record)
        self.cached = None

    def _computed(self) -> tuple[bytes, bytes]:
        if self.cached is None:
            blob = b"".join(s.to_bytes(HASH_BYTES, "big") for s in self.xors)
            self.cached = blob, hashlib.blake2b(blob, digest_size=HASH_BYTES).digest()
        return self.cached
