"""Records: the head of one write, and how the heads of one key merge.

A head whose dot lies in the context of another of its key is superseded by it. What is left are siblings: no
write among them has seen another. A record's context covers dots of its own key alone, and is transitive: it
includes those of the records that it covers (`writes.py` sees to both). So `siblings` of a union does not
depend on order, grouping or repetition, and who takes a record in may take over its context.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from cloverkeel.fleet.ledger.dots import COUNTER_MAX, Context, Dot, ContextBuilder

PAYLOAD_MAX = 256 * 1024
KIND_MAX, KEY_MAX, MEMBER_MAX = 64, 256, 128  # characters
CONTEXT_RUNS_MAX = 4_096  # of one record's context


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A head. `sha256` and `size` (bytes) name the payload; both are empty where `deleted`."""

    kind: str
    key: str
    sha256: bytes
    size: int
    dot: Dot
    context: Context
    deleted: bool = False

    @property
    def name(self) -> tuple[str, str]:
        return self.kind, self.key

    def covers(self, other: Record) -> bool:
        """Whether this write had seen the other."""
        return self.context.covers(other.dot)


def payload_hash(payload: bytes) -> bytes:
    return hashlib.sha256(payload).digest()


def siblings(records: Iterable[Record]) -> tuple[Record, ...]:
    """The records of one key that none of the others has seen, by dot."""
    every = {record.dot: record for record in records}
    if len(every) == 1:
        return tuple(every.values())
    return tuple(
        every[dot] for dot in sorted(every) if not any(other.context.covers(dot) for other in every.values())
    )


def read_context(records: Iterable[Record]) -> Context:
    """What a reader of these siblings has seen of their key."""
    context = ContextBuilder(Context())
    for record in records:
        context.merge(record.context)
        context.add(record.dot)
    return context.build()


def invalid_name_reason(kind: str, key: str) -> str | None:
    """Why these are no kind and key, or None."""
    if not 0 < len(kind) <= KIND_MAX or not kind.isprintable():
        return f"a kind is 1 to {KIND_MAX} printable characters"
    if not 0 < len(key) <= KEY_MAX or not key.isprintable():
        return f"a key is 1 to {KEY_MAX} printable characters"
    return None


def invalid_reason(record: Record) -> str | None:
    """Why a record that came from outside is not one, or None."""
    if (why := invalid_name_reason(record.kind, record.key)) is not None:
        return why
    if not 0 < len(record.dot.member) <= MEMBER_MAX or not 1 <= record.dot.counter <= COUNTER_MAX:
        return "the dot names no write"
    if record.deleted and (record.size or record.sha256):
        return "a tombstone has no payload"
    if not record.deleted and (len(record.sha256) != 32 or not 0 <= record.size <= PAYLOAD_MAX):
        return f"a payload is named by its SHA-256 and has up to {PAYLOAD_MAX} bytes"
    if record.context.run_count() > CONTEXT_RUNS_MAX:
        return f"a context of over {CONTEXT_RUNS_MAX} runs"
    if record.context.covers(record.dot):
        return "the context covers the record's own dot"
    return record.context.invalid_reason()
