"""Records, also called heads: what identifies one write, and how the records of one key merge.

A record whose dot is covered by the context of another record of its key is superseded. The records that are
left are siblings, which were written concurrently. A record's context covers only dots of its own key, and is
transitive: it includes the contexts of the records that it covers (`writes.py` ensures both). Therefore the
`siblings` of a union do not depend on order, grouping or repetition, and a member that stores a record may
merge the record's context into its own.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from cloverkeel.fleet.ledger.dots import COUNTER_MAX, Context, ContextBuilder, Dot

PAYLOAD_MAX = 256 * 1024  # bytes
KIND_MAX, KEY_MAX, MEMBER_MAX = 64, 256, 128  # characters
CONTEXT_RUNS_MAX = 4_096  # runs in one record's context


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The head of a write: all but its payload.

    `sha256` and `size` (bytes) identify the payload; both are empty for a tombstone (`deleted`).
    """

    kind: str
    key: str
    sha256: bytes
    size: int
    dot: Dot
    context: Context
    deleted: bool = False

    @property
    def name(self) -> tuple[str, str]:
        """Kind and key."""
        return self.kind, self.key

    def covers(self, other: Record) -> bool:
        """Whether the writer of this record had seen the other, which is then superseded."""
        return self.context.covers(other.dot)


def payload_hash(payload: bytes) -> bytes:
    """The SHA-256 of a payload."""
    return hashlib.sha256(payload).digest()


def siblings(records: Iterable[Record]) -> tuple[Record, ...]:
    """The records of one key that no other of them supersedes, sorted by dot."""
    by_dot = {record.dot: record for record in records}
    if len(by_dot) == 1:
        return tuple(by_dot.values())
    return tuple(
        by_dot[dot]
        for dot in sorted(by_dot)
        if not any(other.context.covers(dot) for other in by_dot.values())
    )


def read_context(records: Iterable[Record]) -> Context:
    """The context of a reader of these siblings: all writes of their key that it has seen."""
    context = ContextBuilder(Context())
    for record in records:
        context.merge(record.context)
        context.add(record.dot)
    return context.build()


def invalid_name_reason(kind: str, key: str) -> str | None:
    """Why `kind` and `key` are not valid names, or None."""
    if not 0 < len(kind) <= KIND_MAX or not kind.isprintable():
        return f"a kind must have 1 to {KIND_MAX} printable characters"
    if not 0 < len(key) <= KEY_MAX or not key.isprintable():
        return f"a key must have 1 to {KEY_MAX} printable characters"
    return None


def invalid_reason(record: Record) -> str | None:
    """Why a record received from a peer or read from disk is invalid, or None."""
    if (why := invalid_name_reason(record.kind, record.key)) is not None:
        return why
    if not 0 < len(record.dot.member) <= MEMBER_MAX or not 1 <= record.dot.counter <= COUNTER_MAX:
        return "the dot names no write: invalid member name or counter"
    if record.deleted and (record.size or record.sha256):
        return "a tombstone must have no payload"
    if not record.deleted and (len(record.sha256) != 32 or not 0 <= record.size <= PAYLOAD_MAX):
        return f"a payload is named by its SHA-256 (32 bytes) and has up to {PAYLOAD_MAX} bytes"
    if record.context.run_count() > CONTEXT_RUNS_MAX:
        return f"the context has over {CONTEXT_RUNS_MAX} runs"
    if record.context.covers(record.dot):
        return "the context covers the record's own dot"
    return record.context.invalid_reason()
