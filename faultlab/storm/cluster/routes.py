"""Routes merged at every member, over ledger cores on simulated time (`ledger.Cluster`).

Each process life has a `Merge` that is told of changes as the ledger shows them, settles in slices between
other events, and is judged by `routes_truth` each time it has settled. `routes_history` plays random
histories on it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import Action, Delete, KeyChanged, Level, Settings, Write
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.routes.changes import KIND, Change, decode, encode, key_of
from cloverkeel.fleet.routes.interface import View, Environment
from cloverkeel.fleet.routes.merge import Merge, merge_all

from faultlab.routes.random_edits import Commit, NamePool
from faultlab.storm.cluster.ledger import LedgerCluster, Member
from faultlab.storm.cluster.routes_reference import RoutesReference, merge_outcome

SETTLE_SLICE_S = 0.002  # between two steps of one settling
REBUILD_SHARE = 0.2  # share of the plans judged that are also merged from nothing
MAX_EXPORTS = 64  # plans that a team may still have an export of
MIN_DROPPABLE = 3  # superseded changes that are enough to drop: fewer than a real fleet waits for
TRANSFORM_HEADERS = {
    "mark": frozenset({"x-mark"}),
    "mark-two": frozenset({"x-mark"}),
    "trim": frozenset({"x-trim"}),
}


def environment_at(number: int, groups: frozenset[str] | None = None) -> Environment:
    """The fleet's settings, and its transforms at the `number`-th change: one more published each time."""
    names = NamePool()
    known = dict(list(TRANSFORM_HEADERS.items())[: max(1, number + 1)])
    return Environment(
        frozenset(names.classes), frozenset(names.callers), frozenset(names.zones), frozenset(names.types),
        known, {"m": 60, "s": 50}, groups, frozenset(names.labels),
    )  # fmt: skip


@dataclass(frozen=True)
class PlanRead:
    """A plan as someone read it, and what they had then really seen."""

    view: View
    seen: frozenset[Dot]


@dataclass
class MergeInstance:
    """One process life of a member: its merge, and the changes that it was told of."""

    member: Member
    life: int
    groups: frozenset[str]
    merge: Merge
    environment_number: int
    held: dict[Dot, Change] = field(default_factory=dict)
    received: set[Dot] = field(default_factory=set)  # those dropped since among them
    commits: int = 0
    stale: bool = True  # told of something since its settling began
    settling: Iterator[None] | None = None
    last_read: PlanRead | None = None  # the newest plan


class RoutesCluster(LedgerCluster):
    """`merge` makes a member's merge: another one than the product's shows that the search can fail."""

    def __init__(
        self, seed: int, members: int, tick_s: float = 0.1, make: Callable[[Environment], Merge] = Merge
    ) -> None:
        self.make_merge = make
        self.instances: dict[str, MergeInstance] = {}
        self.routes_reference = RoutesReference()
        self.dots_by_key: dict[str, Dot] = {}  # by key in the ledger
        self.environment_number = 0
        self.exports: list[PlanRead] = []
        self.clock_rng = random.Random(f"skew {seed}")
        self.clock_offsets_s: dict[str, float] = {}  # what each member's wall clock is ahead, or behind
        self.commits = self.dropped = 0
        self.healed = False  # nothing befalls it any more
        super().__init__(seed, members, tick_s, Settings(size=members, digest_s=1.0, reap_after_s=6.0))

    def violations(self) -> list[str]:
        return self.routes_reference.violations + self.reference.violations

    # A member's merge.

    def start(self, member: Member) -> None:
        super().start(member)
        core = member.core
        assert core is not None
        groups = frozenset(self.rng.sample(("0", "1", "2"), 2))
        made = self.make_merge(environment_at(self.environment_number, groups))
        reader = self.instances[member.name] = MergeInstance(
            member, member.life, groups, made, self.environment_number
        )
        self.clock_offsets_s.setdefault(member.name, self.clock_rng.uniform(-600.0, 600.0))
        keys = core.keys(KIND)
        self.rng.shuffle(keys)
        for key in keys:
            self._receive(reader, key, core.read(KIND, key)[0])
        self._settle(reader)

    def is_current(self, reader: MergeInstance) -> bool:
        return reader.member.core is not None and self.instances.get(reader.member.name) is reader

    def _execute(self, member: Member, action: Action) -> None:
        super()._execute(member, action)
        if isinstance(action, KeyChanged) and action.kind == KIND:
            reader = self.instances[member.name]
            self._receive(reader, action.key, action.records)
            self._settle(reader)

    def _receive(
        self, reader: MergeInstance, key: str, records: tuple[tuple[Record, bytes | None], ...]
    ) -> None:
        payloads = [payload for _, payload in records if payload is not None]
        dot = self.dots_by_key[key]
        if payloads:
            change = decode(payloads[0])
            for _ in range(2 if self.rng.random() < 0.1 else 1):  # told twice at times
                reader.merge.add(change)
            reader.held[dot] = change
            reader.received.add(dot)
        elif reader.held.pop(dot, None) is not None:
            reader.merge.drop(dot)
        reader.stale = True

    def _settle(self, reader: MergeInstance) -> None:
        """At once, or in slices with other events between."""
        if reader.settling is not None or not self.is_current(reader):
            return
        if self.rng.random() < 0.7:
            while reader.stale:
                reader.stale = False
                for _ in reader.merge.settle():
                    pass
                self._settled(reader)
        else:
            reader.stale = False
            reader.settling = iter(reader.merge.settle())
            self.call_later(SETTLE_SLICE_S, lambda: self._settle_slice(reader))

    def _settle_slice(self, reader: MergeInstance) -> None:
        if not self.is_current(reader) or reader.settling is None:
            return
        before = reader.merge.view
        for _ in range(self.rng.randint(1, 5)):
            if next(reader.settling, reader) is reader:
                reader.settling = None
                break
            if reader.merge.view is not before:
                self.routes_reference.add_violation(f"{reader.member.name} shows a plan before it is whole")
        if reader.settling is not None:
            self.call_later(SETTLE_SLICE_S, lambda: self._settle_slice(reader))
        elif not reader.stale:
            self._settled(reader)
        else:
            self._settle(reader)

    def _settled(self, reader: MergeInstance) -> None:
        view = reader.merge.view
        me = reader.member.name
        first, seen = self.routes_reference.check_view(
            me, reader.held, reader.received, reader.environment_number, view
        )
        reader.last_read = PlanRead(view, seen)
        if first and self.rng.random() < REBUILD_SHARE:
            changes = list(reader.held.values())
            self.rng.shuffle(changes)
            anew = merge_all(changes, environment_at(reader.environment_number, reader.groups))
            if merge_outcome(anew) != merge_outcome(view):
                self.routes_reference.add_violation(
                    f"{me}: merged from nothing, its {len(changes)} changes come to another"
                )

    def update_environment(self, reader: MergeInstance) -> None:
        """It hears of the newest world, as a gateway does of a transform that was published."""
        if self.is_current(reader) and reader.environment_number != self.environment_number:
            reader.environment_number = self.environment_number
            reader.merge.set_environment(environment_at(self.environment_number, reader.groups))
            reader.stale = True
            self._settle(reader)

    # What teams do.

    def commit(self, member: Member, read: PlanRead, drawn: Commit, level: Level) -> None:
        core, reader = member.core, self.instances[member.name]
        assert core is not None
        reader.commits += 1
        dot = Dot(member.name, core.incarnation, reader.commits)
        team, edits, accepts = drawn
        clock = f"{self.now_s + self.clock_offsets_s[member.name]:012.3f}"  # told; nothing may go by it
        context = read.view.context
        change = Change(dot=dot, context=context, team=team, edits=edits, accepts=accepts, note=clock)
        key = key_of(dot)
        self.dots_by_key[key] = dot
        self.routes_reference.record_commit(change, read.seen)
        self.writes[Dot(member.name, core.incarnation, core.counter + 1)] = member.name, frozenset()
        self.commits += 1
        self.handle_event(
            member, Write(str(next(self.sequence)), KIND, key, encode(change), Context(), level, 4.0)
        )

    def drop_superseded(self, member: Member) -> None:
        """What the first live member does once enough is superseded; its plan must stay what it is."""
        core, reader = member.core, self.instances[member.name]
        assert core is not None
        live, gone = member.view
        if gone or reader.stale or reader.settling is not None or not core.settling.settled:
            return
        if member.name != min((member.name, *live)):
            return
        old = sorted(reader.merge.droppable())
        if len(old) < MIN_DROPPABLE:
            return
        kept = [change for dot, change in reader.held.items() if dot not in set(old)]
        after = merge_all(kept, environment_at(reader.environment_number, reader.groups))
        if merge_outcome(reader.merge.view) != merge_outcome(after):
            self.routes_reference.add_violation(f"{member.name} drops {old} and its plan is another")
        for dot in old:
            key = key_of(dot)
            records, context = core.read(KIND, key)
            if not records:
                continue
            seen = self.reference.causal_past(record for record, _ in records)
            self.writes[Dot(member.name, core.incarnation, core.counter + 1)] = member.name, seen
            self.dropped += 1
            self.routes_reference.dropped.add(dot)
            self.handle_event(member, Delete(str(next(self.sequence)), KIND, key, context))

    # The end.

    def is_quiescent(self) -> bool:
        readers = [self.instances[member.name] for member in self.running_members()]
        return self.agreed() and not any(r.stale or r.settling is not None for r in readers)

    def finish(self) -> None:
        self.healed = True
        for reader in self.instances.values():
            self.update_environment(reader)
        super().finish()
        if self.violations():
            return
        for reader in self.instances.values():  # those started anew among them
            self.update_environment(reader)
        self.run(30.0, self.is_quiescent)
        if not self.is_quiescent():
            self.routes_reference.add_violation("the merge does not come to rest after the heal")
            return
        held = {frozenset(reader.held) for reader in self.instances.values()}
        if len(held) > 1:
            self.routes_reference.add_violation("all ledgers agree, and the merges hold other changes")
        found = {merge_outcome(reader.merge.view) for reader in self.instances.values()}
        if len(found) > 1:
            self.routes_reference.add_violation("all hold the same changes and have other plans")
