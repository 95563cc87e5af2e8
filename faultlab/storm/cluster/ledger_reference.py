"""What really happened in a simulated cluster of ledgers: who wrote what, having seen what, and who has it.

Kept beside the cores and without their contexts, so that it can judge them.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from cloverkeel.fleet.ledger.dots import Actor, Dot
from cloverkeel.fleet.ledger.records import Record, payload_hash

RecordName = tuple[str, str]


class ReadState:
    """What one disk's member has seen of each key, and shown of it. It goes and comes back with the disk."""

    def __init__(self) -> None:
        self.seen: dict[RecordName, frozenset[Dot]] = collections.defaultdict(frozenset)
        self.shown: dict[RecordName, frozenset[Dot]] = collections.defaultdict(frozenset)

    def copy(self) -> ReadState:
        other = ReadState()
        other.seen.update(self.seen)
        other.shown.update(self.shown)
        return other


class LedgerReference:
    def __init__(self) -> None:
        self.seen_by: dict[Dot, frozenset[Dot]] = {}  # of its key, by the writer of this dot, when it wrote
        self.superseded: set[Dot] = set()  # all that some writer had seen
        self.records: dict[Dot, tuple[RecordName, bytes, bool]] = {}
        self.dots_by_actor: dict[Actor, set[Dot]] = collections.defaultdict(set)  # those of `head`
        self.holders: dict[Dot, set[int]] = collections.defaultdict(set)  # disks that took it in
        self.violations: list[str] = []

    def add_violation(self, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(what)

    def record_persisted(
        self, disk: int, record: Record, payload: bytes, seen: frozenset[Dot] | None
    ) -> None:
        """A disk took a record in; `seen` where it is its writer's own."""
        head = record.name, record.sha256, record.deleted
        if self.records.setdefault(record.dot, head) != head:
            self.add_violation(f"{record.dot} names two records")
        self.dots_by_actor[record.dot.actor].add(record.dot)
        if seen is not None:
            self.seen_by[record.dot] = seen
            self.superseded |= seen
        elif record.dot not in self.seen_by:
            self.add_violation(f"{record.dot} was taken in before its writer's disk had it")
        self.holders[record.dot].add(disk)

    def check_siblings(
        self, seen: ReadState, name: RecordName, records: tuple[tuple[Record, bytes | None], ...]
    ) -> None:
        """A member shows these siblings of a key."""
        now = frozenset(record.dot for record, _ in records)
        before = seen.shown[name]
        for record, payload in records:
            if payload is not None and payload_hash(payload) != record.sha256:
                self.add_violation(f"{record.dot} shown with a payload that does not match")
        for dot in now - before:
            if dot in seen.seen[name]:
                self.add_violation(f"{dot} was superseded here and came back")
        for dot in before - now:
            if not self.is_superseded(dot) and not self.records[dot][2]:
                self.add_violation(f"{dot} went without a write that had seen it")
        for dot in now:
            if any(dot in self.seen_by[other] for other in now):
                self.add_violation(f"{dot} is shown beside a write that had seen it")
        seen.shown[name] = now
        seen.seen[name] |= self.causal_past(record for record, _ in records)

    def causal_past(self, records: Iterable[Record]) -> frozenset[Dot]:
        """What a reader of these siblings has seen of their key, directly or through their writers."""
        dots = {record.dot for record in records}
        return frozenset(dots.union(*(self.seen_by[dot] for dot in dots)))

    def is_superseded(self, dot: Dot) -> bool:
        """Whether some write that a disk took in had seen this one."""
        return dot in self.superseded

    def check_acknowledged(self, dot: Dot, needed: int) -> None:
        """The ledger says that `needed` members hold it."""
        have = len(self.holders[dot])
        if have < needed:
            self.add_violation(f"{dot} acknowledged with {have} disks of {needed}")

    def check_final(self, disks: set[int], kept: dict[Dot, Record]) -> None:
        """All agree on `kept`: nothing held by a disk that is left may be missing, nothing seen be left."""
        alive = {dot for dot, holders in self.holders.items() if holders & disks}
        superseded = {seen for dot in alive for seen in self.seen_by[dot]}
        for dot in sorted(alive - superseded):
            if dot not in kept and not self.records[dot][2]:
                self.add_violation(f"{dot} is lost, and a disk that took it in is left")
        for dot in sorted(superseded & set(kept)):
            self.add_violation(f"{dot} is still there, and a write had seen it")
