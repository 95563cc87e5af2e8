"""A member's state: its records with their payloads, and the causal context of all it has taken in.

It changes in two steps: `plan` computes what a batch of operations comes to without changing anything, and
`commit` applies it once it is on disk. A dot that the context covers and that has no record is superseded,
deleted, or a tombstone that has gone; it is never taken in again (the optimised observed-remove map of
Almeida, Shoker, Baquero, 2018).
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from cloverkeel.fleet.ledger.bucket_hashes import BucketHashes
from cloverkeel.fleet.ledger.dots import Context, Dot, ContextBuilder
from cloverkeel.fleet.ledger.limits import Limits, Usage, refusal
from cloverkeel.fleet.ledger.records import Record, read_context, siblings

Name = tuple[str, str]  # (kind, key)


@dataclasses.dataclass(frozen=True)
class Put:
    """Take a record in; `payload` is its own, already checked (empty for a tombstone)."""

    record: Record
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Join:
    """Take over the context of a member whose records are all here, and let go what it says is superseded:
    both or neither, so that equal contexts mean equal records. `settles`: that member is settled, and so is
    this one once it is done."""

    context: Context
    drops: tuple[Dot, ...] = ()
    settles: bool = False


Op = Put | Join


@dataclasses.dataclass(frozen=True)
class Delta:
    """What a batch comes to: rows to write, rows to remove, the context then; and which puts did not fit."""

    puts: tuple[Put, ...]
    drops: tuple[Record, ...]
    context: Context
    refused: dict[Dot, str]


class Replica:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.records: dict[Dot, Record] = {}
        self.by_key: dict[Name, tuple[Record, ...]] = {}  # siblings by dot
        self.payloads: dict[bytes, bytes] = {}  # by SHA-256, shared by the records that name it
        self.payload_refs: collections.Counter[bytes] = collections.Counter()
        self.tombstones: dict[Dot, Record] = {}
        self.context = Context()
        self.bucket_hashes = BucketHashes()
        self.cached_context_hash = Context(), Context().hash_bytes()  # a context, and its hash
        self.usage = Usage()

    def siblings(self, name: Name) -> tuple[Record, ...]:
        return self.by_key.get(name, ())

    def context_hash(self) -> bytes:
        """The context's hash."""
        if self.cached_context_hash[0] is not self.context:
            self.cached_context_hash = self.context, self.context.hash_bytes()
        return self.cached_context_hash[1]

    def key_context(self, name: Name) -> Context:
        """What a reader of this key has seen of it."""
        return read_context(self.siblings(name))

    def plan(self, ops: Sequence[Op]) -> Delta:
        keys: dict[Name, tuple[Record, ...]] = {}  # those touched, as they will be
        payloads: dict[Dot, bytes] = {}
        context, change = ContextBuilder(self.context), Usage()
        refused: dict[Dot, str] = {}
        for op in ops:
            if isinstance(op, Join):
                context.merge(op.context)
                for gone in (self.records[dot] for dot in op.drops if dot in self.records):
                    held = keys.get(gone.name, self.siblings(gone.name))
                    keys[gone.name] = tuple(r for r in held if r.dot != gone.dot)
                    if len(keys[gone.name]) < len(held):
                        change.count(gone, -1)
                continue
            record = op.record
            if context.covers(record.dot):
                continue
            held = keys.get(record.name, self.siblings(record.name))
            if not any(other.covers(record) for other in held):
                why = self._count_change(change, record, held)
                if why is not None:
                    refused[record.dot] = why
                    continue
                keys[record.name] = siblings((record, *held))
                payloads[record.dot] = op.payload
            context.merge(record.context)
            context.add(record.dot)
        puts, drops = [], []
        for name, after in keys.items():
            before = self.siblings(name)
            stay = {r.dot for r in after}
            drops += [r for r in before if r.dot not in stay]
            puts += [Put(r, payloads[r.dot]) for r in after if r.dot not in self.records]
        return Delta(tuple(puts), tuple(drops), context.build(), refused)

    def commit(self, delta: Delta) -> set[Name]:
        """Apply what `plan` gave, nothing else having been applied since; returns the keys whose siblings are
        others now."""
        for record in delta.drops:
            self._remove(record)
        for put in delta.puts:
            self._add(put.record, put.payload)
        self.context = delta.context
        return {record.name for record in (*delta.drops, *(put.record for put in delta.puts))}

    def limit_reason(self, record: Record) -> str | None:
        """Why this head would not fit now, what it supersedes counted off; None: it does."""
        return self._count_change(Usage(), record, self.siblings(record.name))

    def _count_change(self, change: Usage, record: Record, held: Iterable[Record]) -> str | None:
        """Count in what taking `record` in beside `held` changes; or why it does not fit, and `change` is as
        it was."""
        counted = [(record, 1), *((other, -1) for other in held if record.covers(other))]
        for each, sign in counted:
            change.count(each, sign)
        why = refusal(self.limits, self.usage, change, record)
        if why is not None:
            for each, sign in counted:
                change.count(each, -sign)
        return why

    def load(self, puts: Iterable[Put], context: Context) -> None:
        """The state as it was on disk, into an empty replica."""
        for put in puts:
            self._add(put.record, put.payload)
        self.context = context

    def _add(self, record: Record, payload: bytes) -> None:
        self.records[record.dot] = record
        kept = (*self.siblings(record.name), record)
        self.by_key[record.name] = tuple(sorted(kept, key=lambda r: r.dot))
        if record.deleted:
            self.tombstones[record.dot] = record
        else:
            self.payloads[record.sha256] = payload
            self.payload_refs[record.sha256] += 1
        self.bucket_hashes.add(record)
        self.usage.count(record, 1)

    def _remove(self, record: Record) -> None:
        del self.records[record.dot]
        left = tuple(r for r in self.by_key[record.name] if r.dot != record.dot)
        if left:
            self.by_key[record.name] = left
        else:
            del self.by_key[record.name]
        if record.deleted:
            del self.tombstones[record.dot]
        else:
            self.payload_refs[record.sha256] -= 1
            if not self.payload_refs[record.sha256]:
                del self.payload_refs[record.sha256], self.payloads[record.sha256]
        self.bucket_hashes.remove(record)
        self.usage.count(record, -1)
