"""Limits of a ledger: how much it holds, in total and of each writer.

Nothing is evicted to make room. A writer is a member's name, whatever its incarnation, so that a member that
floods the ledger uses up its own share and not that of the others.
"""

from __future__ import annotations

import collections

import msgspec

from cloverkeel.fleet.ledger.records import Record


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what a ledger stores, and on its work in progress."""

    records: int = 20_000  # live records
    writer_records: int = 5_000  # live records of one writer
    bytes: int = 64 * 2**20  # payloads of live records; a payload shared by several counts for each
    writer_bytes: int = 16 * 2**20  # of one writer
    tombstones: int = 20_000
    pending: int = 4_096  # heads that wait for their payloads; also puts that wait for the disk
    writer_pending: int = 1_024  # heads of one writer that wait for their payloads
    pieces: int = 64  # payload pieces in flight to this member
    piece_bytes: int = 256 * 1024  # bytes requested in them
    staged: int = 256  # own writes not yet on disk
    waiting: int = 1_024  # own writes on disk that have not reached their level


class Usage:
    """Counts of what is stored; for a batch, the change of these counts."""

    def __init__(self) -> None:
        self.records = 0
        self.bytes = 0
        self.tombstones = 0
        self.writer_records: collections.Counter[str] = collections.Counter()
        self.writer_bytes: collections.Counter[str] = collections.Counter()

    def count(self, record: Record, sign: int) -> None:
        """Adds a record (`sign` 1) or subtracts it (-1)."""
        if record.deleted:
            self.tombstones += sign
            return
        self.records += sign
        self.bytes += sign * record.size
        self.writer_records[record.dot.member] += sign
        self.writer_bytes[record.dot.member] += sign * record.size


def refusal(limits: Limits, held: Usage, change: Usage, record: Record) -> str | None:
    """Why `record` does not fit, or None. `held`: what is stored; `change` already counts the record."""
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
