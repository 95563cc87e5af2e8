"""A member's state: its records with their payloads, and the causal context of all writes that it has stored.

The state changes in two steps: `plan` computes the outcome of a batch of operations without changing it, and
`commit` applies the outcome once it is on disk. A dot that is covered by the context and has no record is
superseded, deleted, or a collected tombstone; it is never stored again (the optimised observed-remove map of
Almeida, Shoker, Baquero, 2018).
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from cloverkeel.fleet.ledger.bucket_hashes import BucketHashes
from cloverkeel.fleet.ledger.dots import Context, ContextBuilder, Dot
from cloverkeel.fleet.ledger.limits import Limits, Usage, refusal
from cloverkeel.fleet.ledger.records import Record, read_context, siblings

Name = tuple[str, str]  # (kind, key)


@dataclasses.dataclass(frozen=True)
class Put:
    """Store a record. `payload` has been checked against the record's hash; it is empty for a tombstone."""

    record: Record
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Join:
    """Merge the context of a member whose records are all stored here, and drop what it supersedes.

    Both happen or neither, so that equal contexts mean equal records. `settles`: the other member is settled,
    and so is this one once the join is applied.
    """

    context: Context
    drops: tuple[Dot, ...] = ()
    settles: bool = False


Op = Put | Join


@dataclasses.dataclass(frozen=True)
class Delta:
    """The outcome of a batch: rows to write and to remove, the new context, and the puts over a limit."""

    puts: tuple[Put, ...]
    drops: tuple[Record, ...]
    context: Context
    refused: dict[Dot, str]  # with the reason


class Replica:
    """The records and the context of one member, with indexes and counts over them."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.records: dict[Dot, Record] = {}
        self.by_key: dict[Name, tuple[Record, ...]] = {}  # siblings, sorted by dot
        self.payloads: dict[bytes, bytes] = {}  # by SHA-256; records with the same hash share one
        self.payload_refs: collections.Counter[bytes] = collections.Counter()  # number of records
        self.tombstones: dict[Dot, Record] = {}
        self.context = Context()
        self.bucket_hashes = BucketHashes()
        self.cached_context_hash = Context(), Context().hash_bytes()  # a context, and its hash
        self.usage = Usage()

    def siblings(self, name: Name) -> tuple[Record, ...]:
        """The records of a key, tombstones included, sorted by dot."""
        return self.by_key.get(name, ())

    def context_hash(self) -> bytes:
        """The hash of the context, computed once for each context."""
        if self.cached_context_hash[0] is not self.context:
            self.cached_context_hash = self.context, self.context.hash_bytes()
        return self.cached_context_hash[1]

    def key_context(self, name: Name) -> Context:
        """The context of a reader of this key."""
        return read_context(self.siblings(name))

    def plan(self, ops: Sequence[Op]) -> Delta:
        """The outcome of these operations, applied in order."""
        keys: dict[Name, tuple[Record, ...]] = {}  # the siblings of changed keys, after the batch
        payloads: dict[Dot, bytes] = {}
        context, change = ContextBuilder(self.context), Usage()
        refused: dict[Dot, str] = {}
        for op in ops:
            if isinstance(op, Join):
                context.merge(op.context)
                for dropped in (self.records[dot] for dot in op.drops if dot in self.records):
                    held = keys.get(dropped.name, self.siblings(dropped.name))
                    keys[dropped.name] = tuple(r for r in held if r.dot != dropped.dot)
                    if len(keys[dropped.name]) < len(held):
                        change.count(dropped, -1)
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
            remaining = {r.dot for r in after}
            drops += [r for r in before if r.dot not in remaining]
            puts += [Put(r, payloads[r.dot]) for r in after if r.dot not in self.records]
        return Delta(tuple(puts), tuple(drops), context.build(), refused)

    def commit(self, delta: Delta) -> set[Name]:
        """Applies an outcome of `plan`, and returns the keys whose siblings have changed.

        Nothing else may have been applied since that plan.
        """
        for record in delta.drops:
            self._remove(record)
        for put in delta.puts:
            self._add(put.record, put.payload)
        self.context = delta.context
        return {record.name for record in (*delta.drops, *(put.record for put in delta.puts))}

    def limit_reason(self, record: Record) -> str | None:
        """Why this head, stored in place of what it supersedes, would exceed a limit; None: it fits."""
        return self._count_change(Usage(), record, self.siblings(record.name))

    def _count_change(self, change: Usage, record: Record, held: Iterable[Record]) -> str | None:
        """Adds to `change` what storing `record` among `held`, the records of its key, changes.

        If the record exceeds a limit, returns the reason and leaves `change` as it was.
        """
        counted = [(record, 1), *((other, -1) for other in held if record.covers(other))]
        for each, sign in counted:
            change.count(each, sign)
        why = refusal(self.limits, self.usage, change, record)
        if why is not None:
            for each, sign in counted:
                change.count(each, -sign)
        return why

    def load(self, puts: Iterable[Put], context: Context) -> None:
        """Restores the state that was on disk; the replica must be empty."""
        for put in puts:
            self._add(put.record, put.payload)
        self.context = context

    def _add(self, record: Record, payload: bytes) -> None:
        self.records[record.dot] = record
        extended = (*self.siblings(record.name), record)
        self.by_key[record.name] = tuple(sorted(extended, key=lambda r: r.dot))
        if record.deleted:
            self.tombstones[record.dot] = record
        else:
            self.payloads[record.sha256] = payload
            self.payload_refs[record.sha256] += 1
        self.bucket_hashes.add(record)
        self.usage.count(record, 1)

    def _remove(self, record: Record) -> None:
        del self.records[record.dot]
        remaining = tuple(r for r in self.by_key[record.name] if r.dot != record.dot)
        if remaining:
            self.by_key[record.name] = remaining
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
