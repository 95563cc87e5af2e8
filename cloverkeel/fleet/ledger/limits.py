"""Bounds of a ledger: how much it holds, of whom, and how it says that something is too much.

Nothing is evicted to make room. A writer is a member's name, whatever its incarnation, so that a member which
floods reaches its own share and leaves the others' alone.
"""

from __future__ import annotations

import collections

import msgspec

from cloverkeel.fleet.ledger.records import Record


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    records: int = 20_000  # live ones
    writer_records: int = 5_000
    bytes: int = 64 * 2**20  # payloads of live records, those that share one counted apart
    writer_bytes: int = 16 * 2**20
    tombstones: int = 20_000
    pending: int = 4_096  # heads that wait for their payloads
    writer_pending: int = 1_024
    pieces: int = 64  # pieces of payloads on their way to this member at once
    piece_bytes: int = 256 * 1024  # and the bytes asked for in them
    staged: int = 256  # own writes not yet durable
    waiting: int = 1_024  # own writes that wait for a level


class Usage:
    """What is held: or, for a batch, how much it changes that by."""

    def __init__(self) -> None:
        self.records = 0
        self.bytes = 0
        self.tombstones = 0
        self.writer_records: collections.Counter[str] = collections.Counter()
        self.writer_bytes: collections.Counter[str] = collections.Counter()

    def count(self, record: Record, sign: int) -> None:
        """Take a record in (`sign` 1) or out (-1)."""
        if record.deleted:
            self.tombstones += sign
            return
        self.records += sign
        self.bytes += sign * record.size
        self.writer_records[record.dot.member] += sign
        self.writer_bytes[record.dot.member] += sign * record.size


def refusal(limits: Limits, held: Usage, change: Usage, record: Record) -> str | None:
    """Why `record`, counted in `change` already, does not fit beside what is held; None: it does."""
    writer = record.dot.member
    if record.deleted:
        if held.tombstones + change.tombstones > limits.tombstones:
            return f"over the limit of {limits.tombstones} tombstones"
        return None
    if held.writer_records[writer] + change.writer_records[writer] > limits.writer_records:
        return f"over the limit of {limits.writer_records} records of one writer ({writer})"
    if held.writer_bytes[writer] + change.writer_bytes[writer] > limits.writer_bytes:
        return f"over the limit of {limits.writer_bytes} payload bytes of one writer ({writer})"
    if held.records + change.records > limits.records:
        return f"over the limit of {limits.records} records"
    if held.bytes + change.bytes > limits.bytes:
        return f"over the limit of {limits.bytes} payload bytes"
    return None
