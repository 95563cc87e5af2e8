"""Activation on a simulated ledger cluster (`ledger.LedgerCluster`), with a simulated engine at each member.

The engine stages versions after a delay, fails to stage some, and opens its breaker on some.
`activation_history` runs random histories on it.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import Acknowledged, KeyChanged, Level, ViewChanged, Write
from cloverkeel.fleet.ledger.interface import Action as LedgerAction
from cloverkeel.fleet.ledger.interface import Delete as LedgerDelete
from cloverkeel.fleet.ledger.interface import Event as LedgerEvent
from cloverkeel.fleet.ledger.interface import Settings as LedgerSettings
from cloverkeel.transforms.activation.ledger_state import VoterId
from cloverkeel.transforms.activation.core import Activation
from cloverkeel.transforms.activation.interface import (
    Activate,
    DeleteRecord,
    Event,
    WriteRecord,
    RecordsChanged,
    Settings,
    Settled,
    Stage,
    Staged,
    Tick,
    BreakerChanged,
)
from cloverkeel.transforms.activation.interface import ViewChanged as ActivationViewChanged
from cloverkeel.transforms.activation.records import (
    KINDS,
    ORDER,
    VOTE,
    ActivationRecord,
    Order,
    Vote,
    decode,
    key_store_id,
    encode,
    key_owner,
)

from faultlab.storm.cluster.activation_reference import ActivationReference
from faultlab.storm.cluster.ledger import LedgerCluster, Member

MIN_TOGETHER_S = 6.0  # members connected for this long may run two versions at most
PUBLISH_TIMEOUT_S = 4.0  # for a write to reach its level


class ActivationInstance:
    """One life of a process: its activation core and its engine, which keeps nothing for the next life."""

    def __init__(self, member: Member, core: Activation) -> None:
        self.member, self.core = member, core
        self.compiled: set[str] = set()  # staged versions
        self.settled = False  # as last reported to the core
        self.epoch = 0  # number of the epoch last seen


class ActivationCluster(LedgerCluster):
    """A ledger cluster whose members run activation, checked against reference models of both."""

    def __init__(self, seed: int, members: int, tick_s: float = 0.1) -> None:
        self.instances: dict[str, ActivationInstance] = {}
        # By member: when it last started, changed sides or had a full disk.
        self.separated_s: dict[str, float] = {}
        self.last_side: dict[str, int] = {}
        self.activation_reference = ActivationReference(members)
        self.activation_settings = Settings(
            size=members, stage_timeout_s=3.0, canary_s=1.0, canary_share=0.3, voter_change_delay_s=4.0
        )
        self.bad_versions: set[str] = set()  # versions whose breakers open
        self.cannot_stage: dict[str, set[str]] = {}  # by version: members that cannot stage it
        self.published = 0  # acknowledged writes, other than local ones
        self.healed = False  # no further faults are applied
        self.lost_votes: list[tuple[VoterId, Vote]] = []  # votes that a lost disk held of its own member
        self.epoch_first_run_s: dict[int, float] = {}  # by epoch number: when a member first reached it
        super().__init__(seed, members, tick_s, LedgerSettings(size=members, digest_s=1.0, reap_after_s=6.0))
        self.initial_disks = {name: member.disk.disk_id for name, member in self.members.items()}

    def violations(self) -> list[str]:
        """The violations of the ledger and of activation found so far."""
        return self.reference.violations + self.activation_reference.violations

    # Members.

    def start(self, member: Member) -> None:
        """Start the ledger, and activation with the records that it holds."""
        super().start(member)
        life = self.rng.getrandbits(40)
        core, loaded = member.core, []
        assert core is not None
        for kind in KINDS:
            for key in core.keys(kind):
                records, _ = core.read(kind, key)
                payloads = tuple(payload for _, payload in records if payload is not None)
                loaded.append(RecordsChanged(kind, key, payloads))
        settings = self.activation_settings
        instance = ActivationInstance(
            member, Activation(member.name, life, member.disk.disk_id, settings, self.rng, loaded)
        )
        self.instances[member.name] = instance
        self.separated_s[member.name] = self.now_s
        self.call_later(self.rng.random() * self.tick_s, self._activation_ticker(instance))

    def can_lose_disk(self, member: Member) -> bool:
        """Whether at most half of the members would then have another disk than the one they vote with."""
        epochs = self.activation_reference.epochs
        named = epochs[max(epochs)].voter_store_ids() or self.initial_disks
        others = {m.name for m in self.members.values() if named.get(m.name) != m.disk.disk_id}
        return len(others | {member.name}) <= len(self.members) // 2

    def lose_disk(self, member: Member) -> None:
        """Lose a disk, keeping its member's votes for the reference model."""
        self.lost_votes += self._votes_of(member)
        self.activation_reference.highest_epoch.pop(member.name, None)
        super().lose_disk(member)

    def _activation_ticker(self, instance: ActivationInstance) -> Callable[[], None]:
        def tick() -> None:
            if not self.is_current(instance):
                return
            core = instance.member.core
            assert core is not None
            if instance.settled != core.settling.settled:
                instance.settled = core.settling.settled
                self.handle_activation_event(instance, Settled(instance.settled))
            self.handle_activation_event(instance, Tick())
            self.call_later(self.tick_s, tick)

        return tick

    def is_current(self, instance: ActivationInstance) -> bool:
        """Whether the process of this instance still runs."""
        return instance.member.core is not None and self.instances[instance.member.name] is instance

    def handle_event(self, member: Member, event: LedgerEvent) -> None:
        """Pass an event to the ledger, and a change of the view to activation too."""
        super().handle_event(member, event)
        if isinstance(event, ViewChanged) and member.core is not None:
            own_name = member.name
            self.handle_activation_event(
                self.instances[own_name],
                ActivationViewChanged((own_name, *event.live), (own_name, *event.live, *event.gone)),
            )

    def _execute(self, member: Member, action: LedgerAction) -> None:
        super()._execute(member, action)
        if isinstance(action, KeyChanged):
            payloads = tuple(payload for _, payload in action.records if payload is not None)
            self.handle_activation_event(
                self.instances[member.name], RecordsChanged(action.kind, action.key, payloads)
            )
        elif isinstance(action, Acknowledged):
            self.published += action.level is not Level.LOCAL

    # Actions of activation.

    def handle_activation_event(self, instance: ActivationInstance, event: Event) -> None:
        """Pass an event to an activation core, carry out its actions and check its epoch."""
        if not self.is_current(instance):
            return
        for action in instance.core.handle(self.now_s, event):
            match action:
                case WriteRecord(kind, key, record, to):
                    level = Level.LOCAL if to else Level.QUORUM
                    self.call_later(0.0, self._writer(instance, kind, key, record, level, to))
                case DeleteRecord(kind, key):
                    self.call_later(0.0, self._deleter(instance, kind, key))
                case Stage(id, _, _):
                    self.call_later(self.rng.uniform(0.01, 0.4), self._stager(instance, id))
                case Activate():
                    self._activated(instance, action)
        epoch = instance.core.ledger_state.epoch
        if epoch.number != instance.epoch:
            instance.epoch = epoch.number
            self.epoch_first_run_s.setdefault(epoch.number, self.now_s)
            self.activation_reference.check_epoch(instance.member.name, epoch, self._votes)

    def _votes(self) -> list[tuple[VoterId, Vote]]:
        """The votes of each member, from its own disk and from those that it lost."""
        found = [vote for member in self.members.values() for vote in self._votes_of(member)]
        return found + self.lost_votes

    def _votes_of(self, member: Member) -> list[tuple[VoterId, Vote]]:
        found = []
        for put in member.disk.rows.values():
            if put.record.kind == VOTE and key_owner(put.record.key) == member.name and put.payload:
                vote = decode(VOTE, put.record.key, put.payload)
                assert isinstance(vote, Vote)
                if key_store_id(put.record.key) == member.disk.disk_id:
                    found.append(((member.name, member.disk.disk_id), vote))
        return found

    def _write_context(self, instance: ActivationInstance, kind: str, key: str) -> Context | None:
        """Note a write for the reference model; returns its context, or None if the process has ended."""
        core = instance.member.core
        if core is None or not self.is_current(instance):
            return None
        records, context = core.read(kind, key)
        dot = Dot(instance.member.name, core.incarnation, core.counter + 1)
        self.writes[dot] = instance.member.name, self.reference.causal_past(record for record, _ in records)
        return context

    def _writer(
        self,
        instance: ActivationInstance,
        kind: str,
        key: str,
        record: ActivationRecord,
        level: Level = Level.QUORUM,
        to: str = "",
    ) -> Callable[[], None]:
        def write() -> None:
            context = self._write_context(instance, kind, key)
            if context is None:
                return
            number = str(next(self.sequence))
            self.handle_event(
                instance.member,
                Write(number, kind, key, encode(record), context, level, PUBLISH_TIMEOUT_S, to),
            )

        return write

    def _deleter(self, instance: ActivationInstance, kind: str, key: str) -> Callable[[], None]:
        def delete() -> None:
            context = self._write_context(instance, kind, key)
            if context is None:
                return
            self.handle_event(instance.member, LedgerDelete(str(next(self.sequence)), kind, key, context))

        return delete

    def _stager(self, instance: ActivationInstance, id: str) -> Callable[[], None]:
        def staged() -> None:
            reason = "no memory" if instance.member.name in self.cannot_stage.get(id, ()) else ""
            if not reason:
                instance.compiled.add(id)
            self.handle_activation_event(instance, Staged(id, reason))

        return staged

    def _activated(self, instance: ActivationInstance, action: Activate) -> None:
        self.activation_reference.check_running(instance.member.name, instance.core, instance.compiled)
        for version in sorted(set(action.versions.values()) & self.bad_versions):
            self.call_later(self.rng.uniform(0.05, 0.8), self._tripper(instance, version))

    def _tripper(self, instance: ActivationInstance, version: str) -> Callable[[], None]:
        def trip() -> None:
            if version in instance.core.active.values():
                self.handle_activation_event(instance, BreakerChanged(version, True))

        return trip

    # Load.

    def submit_order(self, member: Member, name: str, order_kind: str, level: Level) -> str:
        """Submit a developer's order, to publish or to roll back, at this member; returns its id."""
        state = self.instances[member.name].core.ledger_state
        id = f"{self.rng.getrandbits(64):016x}"
        order = Order(name, id, state.next_number(name), "publish" if order_kind == "publish" else "rollback")
        self._writer(self.instances[member.name], ORDER, order.key, order, level)()
        return id

    def check(self) -> None:
        """Check the ledger, and the versions that run at members connected for MIN_TOGETHER_S."""
        super().check()
        sides: dict[int, list[Activation]] = {}
        for member in self.running_members():
            instance = self.instances[member.name]
            # It changed sides, or can persist nothing.
            if self.last_side.get(member.name) != member.side or member.disk_full:
                self.last_side[member.name] = member.side
                self.separated_s[member.name] = self.now_s
            if self.now_s - self.separated_s[member.name] >= MIN_TOGETHER_S:
                sides.setdefault(member.side, []).append(instance.core)
        for cores in sides.values():
            voters = max((core.epoch for core in cores), key=lambda epoch: epoch.number).voters
            if 2 * len({core.member for core in cores} & set(voters)) > len(voters):
                self.activation_reference.check_together(cores)

    def is_quiescent(self) -> bool:
        """Whether all running members agree and no order, stage or bad version is left."""
        if not self.agreed():
            return False
        cores = [self.instances[m.name].core for m in self.running_members()]
        return all(
            c.epoch == cores[0].epoch and not c.unconfirmed and not c.staging
            and not any(
                slot.candidate or c.ledger_state.open_orders(name) for name, slot in c.epoch.slots.items()
            )
            and not any(c.ledger_state.open_orders(name) for name in c.ledger_state.names())
            and not set(c.active.values()) & self.bad_versions
            for c in cores
        )  # fmt: skip

    def finish(self) -> None:
        """Heal all faults, wait until all is quiescent, and check the end state."""
        self.healed = True
        self.drop_rate = self.duplicate_rate = 0.0
        for member in self.members.values():
            member.side, member.disk_full, member.damage_rate = 0, False, 0.0
            if member.core is None:
                self.start(member)
        self.run(90.0, self.is_quiescent)
        if self.violations():
            return
        self.check()
        self.activation_reference.check_final(
            [self.instances[m].core for m in self.members], self.bad_versions
        )
        core = next(iter(self.members.values())).core
        assert core is not None
        if self.agreed():
            self.reference.check_final({m.disk.disk_id for m in self.members.values()}, core.replica.records)
        else:
            self.reference.add_violation("members do not agree after all faults were healed")
