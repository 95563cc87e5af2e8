"""Reference model of a simulated ledger cluster.

It knows which member wrote what, what the writer had seen, and which disks hold the record. It is kept
beside the cores and does not use their contexts, so that it can check them.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from cloverkeel.fleet.ledger.dots import Actor, Dot
from cloverkeel.fleet.ledger.records import Record, payload_hash

RecordName = tuple[str, str]  # kind and key


class ReadState:
    """What the member of a disk has seen and shows of each key. It is lost and restored with the disk."""

    def __init__(self) -> None:
        self.seen: dict[RecordName, frozenset[Dot]] = collections.defaultdict(frozenset)
        self.shown: dict[RecordName, frozenset[Dot]] = collections.defaultdict(frozenset)

    def copy(self) -> ReadState:
        """A copy for a copied disk."""
        other = ReadState()
        other.seen.update(self.seen)
        other.shown.update(self.shown)
        return other


class LedgerReference:
    """Is told of what disks persist and members show; `violations` is empty while all invariants hold."""

    def __init__(self) -> None:
        self.seen_by: dict[Dot, frozenset[Dot]] = {}  # by dot: what its writer had seen of the key
        self.superseded: set[Dot] = set()  # all that a writer had seen
        self.records: dict[Dot, tuple[RecordName, bytes, bool]] = {}  # name, payload hash, is a tombstone
        self.dots_by_actor: dict[Actor, set[Dot]] = collections.defaultdict(set)  # the dots of `records`
        self.holders: dict[Dot, set[int]] = collections.defaultdict(set)  # ids of disks that persisted it
        self.violations: list[str] = []

    def add_violation(self, violation: str) -> None:
        """Note a violation; only the first 20 are kept."""
        if len(self.violations) < 20:
            self.violations.append(violation)

    def record_persisted(
        self, disk_id: int, record: Record, payload: bytes, seen: frozenset[Dot] | None
    ) -> None:
        """A disk persisted a record. `seen`: what the writer had seen of the key, if it is its disk."""
        identity = record.name, record.sha256, record.deleted
        if self.records.setdefault(record.dot, identity) != identity:
            self.add_violation(f"{record.dot} identifies two records")
        self.dots_by_actor[record.dot.actor].add(record.dot)
        if seen is not None:
            self.seen_by[record.dot] = seen
            self.superseded |= seen
        elif record.dot not in self.seen_by:
            self.add_violation(f"{record.dot} was persisted before its writer's disk had it")
        self.holders[record.dot].add(disk_id)

    def check_siblings(
        self, read_state: ReadState, name: RecordName, records: tuple[tuple[Record, bytes | None], ...]
    ) -> None:
        """Check the siblings of a key that a member shows now."""
        now = frozenset(record.dot for record, _ in records)
        before = read_state.shown[name]
        for record, payload in records:
            if payload is not None and payload_hash(payload) != record.sha256:
                self.add_violation(f"{record.dot} shown with a payload that does not match")
        for dot in now - before:
            if dot in read_state.seen[name]:
                self.add_violation(f"{dot} was superseded here and is shown again")
        for dot in before - now:
            if not self.is_superseded(dot) and not self.records[dot][2]:
                self.add_violation(f"{dot} disappeared without a write that had seen it")
        for dot in now:
            if any(dot in self.seen_by[other] for other in now):
                self.add_violation(f"{dot} is shown beside a write that had seen it")
        read_state.shown[name] = now
        read_state.seen[name] |= self.causal_past(record for record, _ in records)

    def causal_past(self, records: Iterable[Record]) -> frozenset[Dot]:
        """What a reader of these siblings has seen of the key, directly or through their writers."""
        dots = {record.dot for record in records}
        return frozenset(dots.union(*(self.seen_by[dot] for dot in dots)))

    def is_superseded(self, dot: Dot) -> bool:
        """Whether a write that a disk persisted had seen this one."""
        return dot in self.superseded

    def check_acknowledged(self, dot: Dot, needed: int) -> None:
        """Check that at least `needed` disks have persisted an acknowledged write."""
        held = len(self.holders[dot])
        if held < needed:
            self.add_violation(f"{dot} acknowledged with {held} of {needed} disks")

    def check_final(self, disks: set[int], kept: dict[Dot, Record]) -> None:
        """Check the records that all members agree on at the end.

        All that a remaining disk has persisted must be kept unless it was superseded, and nothing else.
        """
        alive = {dot for dot, holders in self.holders.items() if holders & disks}
        superseded = {dot_seen for dot in alive for dot_seen in self.seen_by[dot]}
        for dot in sorted(alive - superseded):
            if dot not in kept and not self.records[dot][2]:
                self.add_violation(f"{dot} is lost, but a disk that persisted it remains")
        for dot in sorted(superseded & set(kept)):
            self.add_violation(f"{dot} is still kept, but a write had seen it")
