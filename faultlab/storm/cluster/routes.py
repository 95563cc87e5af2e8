"""Routes merged at each member of a simulated ledger cluster (`ledger.LedgerCluster`).

Each life of a process has a `Merge`. It receives changes as the ledger shows them, settles in slices between
other events, and is checked by `routes_reference` each time it has settled. `routes_history` runs random
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

SETTLE_SLICE_S = 0.002  # between two slices of a merge
REBUILD_SHARE = 0.2  # share of the checked plans that are also merged from scratch
MAX_EXPORTS = 64  # earlier plans that a team may still commit from
MIN_DROPPABLE = 3  # superseded changes that are dropped together; a real fleet waits for more
# Headers that each transform may set.
TRANSFORM_HEADERS = {
    "mark": frozenset({"x-mark"}),
    "mark-two": frozenset({"x-mark"}),
    "trim": frozenset({"x-trim"}),
}


def environment_at(number: int, groups: frozenset[str] | None = None) -> Environment:
    """The fleet's settings, and its transforms after change `number`: each change publishes one more."""
    names = NamePool()
    known = dict(list(TRANSFORM_HEADERS.items())[: max(1, number + 1)])
    return Environment(
        frozenset(names.classes), frozenset(names.callers), frozenset(names.zones), frozenset(names.types),
        known, {"m": 60, "s": 50}, groups, frozenset(names.labels),
    )  # fmt: skip


@dataclass(frozen=True)
class PlanRead:
    """A plan that a team has read, and the changes that it had seen by then."""

    view: View
    seen: frozenset[Dot]


@dataclass
class MergeInstance:
    """One life of a process: its merge, and the changes that it has received."""

    member: Member
    life: int  # number of the process's start
    groups: frozenset[str]
    merge: Merge
    environment_number: int  # number of the change of the environment that it knows
    held: dict[Dot, Change] = field(default_factory=dict)  # changes in its merge
    received: set[Dot] = field(default_factory=set)  # all changes received, including those dropped since
    commits: int = 0  # made at this process
    stale: bool = True  # something was received since the merge last began to settle
    settling: Iterator[None] | None = None  # slices of the merge in progress
    last_read: PlanRead | None = None  # the newest plan


class RoutesCluster(LedgerCluster):
    """A ledger cluster whose members merge routes, checked against reference models of both.

    `merge_factory` makes a member's merge; tests pass a faulty one to show that the checks find the fault.
    """

    def __init__(
        self,
        seed: int,
        members: int,
        tick_s: float = 0.1,
        merge_factory: Callable[[Environment], Merge] = Merge,
    ) -> None:
        self.make_merge = merge_factory
        self.instances: dict[str, MergeInstance] = {}
        self.routes_reference = RoutesReference()
        self.dots_by_key: dict[str, Dot] = {}  # by ledger key
        self.environment_number = 0
        self.exports: list[PlanRead] = []
        self.clock_rng = random.Random(f"skew {seed}")
        self.clock_offsets_s: dict[str, float] = {}  # by member: how far its wall clock is ahead
        self.commits = self.dropped = 0
        self.healed = False  # no further faults are applied
        super().__init__(seed, members, tick_s, Settings(size=members, digest_s=1.0, reap_after_s=6.0))

    def violations(self) -> list[str]:
        """The violations of the routes and of the ledger found so far."""
        return self.routes_reference.violations + self.reference.violations

    # The merge of a member.

    def start(self, member: Member) -> None:
        """Start the ledger, and a merge with the changes that it holds, in random order."""
        super().start(member)
        core = member.core
        assert core is not None
        groups = frozenset(self.rng.sample(("0", "1", "2"), 2))
        merge = self.make_merge(environment_at(self.environment_number, groups))
        instance = self.instances[member.name] = MergeInstance(
            member, member.life, groups, merge, self.environment_number
        )
        self.clock_offsets_s.setdefault(member.name, self.clock_rng.uniform(-600.0, 600.0))
        keys = core.keys(KIND)
        self.rng.shuffle(keys)
        for key in keys:
            self._receive(instance, key, core.read(KIND, key)[0])
        self._settle(instance)

    def is_current(self, instance: MergeInstance) -> bool:
        """Whether the process of this instance still runs."""
        return instance.member.core is not None and self.instances.get(instance.member.name) is instance

    def _execute(self, member: Member, action: Action) -> None:
        super()._execute(member, action)
        if isinstance(action, KeyChanged) and action.kind == KIND:
            instance = self.instances[member.name]
            self._receive(instance, action.key, action.records)
            self._settle(instance)

    def _receive(
        self, instance: MergeInstance, key: str, records: tuple[tuple[Record, bytes | None], ...]
    ) -> None:
        payloads = [payload for _, payload in records if payload is not None]
        dot = self.dots_by_key[key]
        if payloads:
            change = decode(payloads[0])
            for _ in range(2 if self.rng.random() < 0.1 else 1):  # one change in 10 is received twice
                instance.merge.add(change)
            instance.held[dot] = change
            instance.received.add(dot)
        elif instance.held.pop(dot, None) is not None:
            instance.merge.drop(dot)
        instance.stale = True

    def _settle(self, instance: MergeInstance) -> None:
        """Settle the merge at once, or in slices with other events in between."""
        if instance.settling is not None or not self.is_current(instance):
            return
        if self.rng.random() < 0.7:
            while instance.stale:
                instance.stale = False
                for _ in instance.merge.settle():
                    pass
                self._settled(instance)
        else:
            instance.stale = False
            instance.settling = iter(instance.merge.settle())
            self.call_later(SETTLE_SLICE_S, lambda: self._settle_slice(instance))

    def _settle_slice(self, instance: MergeInstance) -> None:
        if not self.is_current(instance) or instance.settling is None:
            return
        before = instance.merge.view
        for _ in range(self.rng.randint(1, 5)):
            if next(instance.settling, instance) is instance:
                instance.settling = None
                break
            if instance.merge.view is not before:
                self.routes_reference.add_violation(
                    f"{instance.member.name} shows a plan before it is complete"
                )
        if instance.settling is not None:
            self.call_later(SETTLE_SLICE_S, lambda: self._settle_slice(instance))
        elif not instance.stale:
            self._settled(instance)
        else:
            self._settle(instance)

    def _settled(self, instance: MergeInstance) -> None:
        """Check the plan of a settled merge, and in some cases compare it with a merge from scratch."""
        view = instance.merge.view
        own_name = instance.member.name
        is_first, seen = self.routes_reference.check_view(
            own_name, instance.held, instance.received, instance.environment_number, view
        )
        instance.last_read = PlanRead(view, seen)
        if is_first and self.rng.random() < REBUILD_SHARE:
            changes = list(instance.held.values())
            self.rng.shuffle(changes)
            rebuilt = merge_all(changes, environment_at(instance.environment_number, instance.groups))
            if merge_outcome(rebuilt) != merge_outcome(view):
                self.routes_reference.add_violation(
                    f"{own_name}: merged from scratch, its {len(changes)} changes give another plan"
                )

    def update_environment(self, instance: MergeInstance) -> None:
        """A member learns of the newest environment, as a gateway does when a transform is published."""
        if self.is_current(instance) and instance.environment_number != self.environment_number:
            instance.environment_number = self.environment_number
            instance.merge.set_environment(environment_at(self.environment_number, instance.groups))
            instance.stale = True
            self._settle(instance)

    # Commits of teams, and deletion of superseded changes.

    def commit(self, member: Member, plan_read: PlanRead, drawn_commit: Commit, level: Level) -> None:
        """Commit a change of a team at a member, under the context of a plan that the team has read."""
        core, instance = member.core, self.instances[member.name]
        assert core is not None
        instance.commits += 1
        dot = Dot(member.name, core.incarnation, instance.commits)
        team, edits, accepts = drawn_commit
        # The wall clock is only a note; no decision may depend on it.
        timestamp = f"{self.now_s + self.clock_offsets_s[member.name]:012.3f}"
        context = plan_read.view.context
        change = Change(dot=dot, context=context, team=team, edits=edits, accepts=accepts, note=timestamp)
        key = key_of(dot)
        self.dots_by_key[key] = dot
        self.routes_reference.record_commit(change, plan_read.seen)
        self.writes[Dot(member.name, core.incarnation, core.counter + 1)] = member.name, frozenset()
        self.commits += 1
        self.handle_event(
            member, Write(str(next(self.sequence)), KIND, key, encode(change), Context(), level, 4.0)
        )

    def drop_superseded(self, member: Member) -> None:
        """Delete superseded changes if this is the first live member; its plan must not change."""
        core, instance = member.core, self.instances[member.name]
        assert core is not None
        live, gone = member.view
        if gone or instance.stale or instance.settling is not None or not core.settling.settled:
            return
        if member.name != min((member.name, *live)):
            return
        superseded = sorted(instance.merge.droppable())
        if len(superseded) < MIN_DROPPABLE:
            return
        remaining = [change for dot, change in instance.held.items() if dot not in set(superseded)]
        after = merge_all(remaining, environment_at(instance.environment_number, instance.groups))
        if merge_outcome(instance.merge.view) != merge_outcome(after):
            self.routes_reference.add_violation(f"{member.name} drops {superseded}, which changes its plan")
        for dot in superseded:
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
        """Whether the ledgers agree and all merges have settled."""
        running = [self.instances[member.name] for member in self.running_members()]
        return self.agreed() and not any(r.stale or r.settling is not None for r in running)

    def finish(self) -> None:
        """Heal all faults, wait until all merges have settled, and check that they agree."""
        self.healed = True
        for instance in self.instances.values():
            self.update_environment(instance)
        super().finish()
        if self.violations():
            return
        for instance in self.instances.values():  # including those of restarted processes
            self.update_environment(instance)
        self.run(30.0, self.is_quiescent)
        if not self.is_quiescent():
            self.routes_reference.add_violation("merges do not settle after all faults were healed")
            return
        held = {frozenset(instance.held) for instance in self.instances.values()}
        if len(held) > 1:
            self.routes_reference.add_violation("all ledgers agree, but merges hold different changes")
        outcomes = {merge_outcome(instance.merge.view) for instance in self.instances.values()}
        if len(outcomes) > 1:
            self.routes_reference.add_violation("all merges hold the same changes, but have different plans")
