"""Activation over ledger cores on simulated time (`ledger.Cluster`), with an engine for each member.

The engine takes its time to stage a version, cannot stage some, and its breakers open on some.
`activation_history` plays random histories on it.
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
from cloverkeel.transforms.activation.interface import ViewChanged as BrainView
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

MIN_TOGETHER_S = 6.0  # side by side for so long, members are held to two versions
PUBLISH_TIMEOUT_S = 4.0  # for a publication to reach its level


class ActivationInstance:
    """One process life: activation, and an engine that forgets all at its end."""

    def __init__(self, member: Member, core: Activation) -> None:
        self.member, self.core = member, core
        self.compiled: set[str] = set()
        self.settled = False
        self.epoch = 0


class ActivationCluster(LedgerCluster):
    def __init__(self, seed: int, members: int, tick_s: float = 0.1) -> None:
        self.instances: dict[str, ActivationInstance] = {}
        self.separated_s: dict[str, float] = {}  # when a member last started, or changed sides
        self.last_side: dict[str, int] = {}
        self.activation_reference = ActivationReference(members)
        self.activation_settings = Settings(
            size=members, stage_timeout_s=3.0, canary_s=1.0, canary_share=0.3, voter_change_delay_s=4.0
        )
        self.bad_versions: set[str] = set()  # versions whose breakers open
        self.cannot_stage: dict[str, set[str]] = {}  # version to the members that cannot stage it
        self.published = 0
        self.healed = False  # nothing befalls it any more
        self.lost_votes: list[tuple[VoterId, Vote]] = []  # what a lost disk held of its member's own word
        self.epoch_first_run_s: dict[int, float] = {}  # by epoch: when it was first run somewhere
        super().__init__(seed, members, tick_s, LedgerSettings(size=members, digest_s=1.0, reap_after_s=6.0))
        self.initial_disks = {name: member.disk.disk_id for name, member in self.members.items()}

    def violations(self) -> list[str]:
        return self.reference.violations + self.activation_reference.violations

    # Members.

    def start(self, member: Member) -> None:
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
        brain = ActivationInstance(
            member, Activation(member.name, life, member.disk.disk_id, settings, self.rng, loaded)
        )
        self.instances[member.name] = brain
        self.separated_s[member.name] = self.now_s
        self.call_later(self.rng.random() * self.tick_s, self._activation_ticker(brain))

    def can_lose_disk(self, member: Member) -> bool:
        """Whether fewer disks than a quorum's are other ones, with this one's, than those that vote."""
        epochs = self.activation_reference.epochs
        named = epochs[max(epochs)].voter_store_ids() or self.initial_disks
        others = {m.name for m in self.members.values() if named.get(m.name) != m.disk.disk_id}
        return len(others | {member.name}) <= len(self.members) // 2

    def lose_disk(self, member: Member) -> None:
        self.lost_votes += self._votes_of(member)
        self.activation_reference.highest_epoch.pop(member.name, None)
        super().lose_disk(member)

    def _activation_ticker(self, brain: ActivationInstance) -> Callable[[], None]:
        def tick() -> None:
            if not self.is_current(brain):
                return
            core = brain.member.core
            assert core is not None
            if brain.settled != core.settling.settled:
                brain.settled = core.settling.settled
                self.handle_activation_event(brain, Settled(brain.settled))
            self.handle_activation_event(brain, Tick())
            self.call_later(self.tick_s, tick)

        return tick

    def is_current(self, brain: ActivationInstance) -> bool:
        return brain.member.core is not None and self.instances[brain.member.name] is brain

    def handle_event(self, member: Member, event: LedgerEvent) -> None:
        super().handle_event(member, event)
        if isinstance(event, ViewChanged) and member.core is not None:
            me = member.name
            self.handle_activation_event(
                self.instances[me], BrainView((me, *event.live), (me, *event.live, *event.gone))
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

    # Activation's actions.

    def handle_activation_event(self, brain: ActivationInstance, event: Event) -> None:
        if not self.is_current(brain):
            return
        for action in brain.core.handle(self.now_s, event):
            match action:
                case WriteRecord(kind, key, body, to):
                    level = Level.LOCAL if to else Level.QUORUM
                    self.call_later(0.0, self._writer(brain, kind, key, body, level, to))
                case DeleteRecord(kind, key):
                    self.call_later(0.0, self._deleter(brain, kind, key))
                case Stage(id, _, _):
                    self.call_later(self.rng.uniform(0.01, 0.4), self._stager(brain, id))
                case Activate():
                    self._activated(brain, action)
        epoch = brain.core.ledger_state.epoch
        if epoch.number != brain.epoch:
            brain.epoch = epoch.number
            self.epoch_first_run_s.setdefault(epoch.number, self.now_s)
            self.activation_reference.check_epoch(brain.member.name, epoch, self._votes)

    def _votes(self) -> list[tuple[VoterId, Vote]]:
        """Each member's own word, from its own disk and from those that it lost."""
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

    def _write_context(self, brain: ActivationInstance, kind: str, key: str) -> Context | None:
        """What to write under, the write's dot noted for the judge; None: the member runs no longer."""
        core = brain.member.core
        if core is None or not self.is_current(brain):
            return None
        records, context = core.read(kind, key)
        dot = Dot(brain.member.name, core.incarnation, core.counter + 1)
        self.writes[dot] = brain.member.name, self.reference.causal_past(record for record, _ in records)
        return context

    def _writer(
        self,
        brain: ActivationInstance,
        kind: str,
        key: str,
        body: ActivationRecord,
        level: Level = Level.QUORUM,
        to: str = "",
    ) -> Callable[[], None]:
        def write() -> None:
            context = self._write_context(brain, kind, key)
            if context is None:
                return
            number = str(next(self.sequence))
            self.handle_event(
                brain.member, Write(number, kind, key, encode(body), context, level, PUBLISH_TIMEOUT_S, to)
            )

        return write

    def _deleter(self, brain: ActivationInstance, kind: str, key: str) -> Callable[[], None]:
        def drop() -> None:
            context = self._write_context(brain, kind, key)
            if context is None:
                return
            self.handle_event(brain.member, LedgerDelete(str(next(self.sequence)), kind, key, context))

        return drop

    def _stager(self, brain: ActivationInstance, id: str) -> Callable[[], None]:
        def staged() -> None:
            reason = "no memory" if brain.member.name in self.cannot_stage.get(id, ()) else ""
            if not reason:
                brain.compiled.add(id)
            self.handle_activation_event(brain, Staged(id, reason))

        return staged

    def _activated(self, brain: ActivationInstance, action: Activate) -> None:
        self.activation_reference.check_running(brain.member.name, brain.core, brain.compiled)
        for version in sorted(set(action.versions.values()) & self.bad_versions):
            self.call_later(self.rng.uniform(0.05, 0.8), self._tripper(brain, version))

    def _tripper(self, brain: ActivationInstance, version: str) -> Callable[[], None]:
        def trip() -> None:
            if version in brain.core.active.values():
                self.handle_activation_event(brain, BreakerChanged(version, True))

        return trip

    # Load.

    def submit_order(self, member: Member, name: str, verb: str, level: Level) -> str:
        """A developer's order through this member."""
        book = self.instances[member.name].core.ledger_state
        id = f"{self.rng.getrandbits(64):016x}"
        order = Order(name, id, book.next_number(name), "publish" if verb == "publish" else "rollback")
        self._writer(self.instances[member.name], ORDER, order.key, order, level)()
        return id

    def check(self) -> None:
        super().check()
        sides: dict[int, list[Activation]] = {}
        for member in self.running_members():
            brain = self.instances[member.name]
            if (
                self.last_side.get(member.name) != member.side or member.disk_full
            ):  # it hears of nothing, or keeps nothing
                self.last_side[member.name] = member.side
                self.separated_s[member.name] = self.now_s
            if self.now_s - self.separated_s[member.name] >= MIN_TOGETHER_S:
                sides.setdefault(member.side, []).append(brain.core)
        for brains in sides.values():
            voters = max((brain.epoch for brain in brains), key=lambda epoch: epoch.number).voters
            if 2 * len({brain.member for brain in brains} & set(voters)) > len(voters):
                self.activation_reference.check_together(brains)

    def is_quiescent(self) -> bool:
        if not self.agreed():
            return False
        brains = [self.instances[m.name].core for m in self.running_members()]
        return all(
            b.epoch == brains[0].epoch and not b.unconfirmed and not b.staging
            and not any(
                slot.candidate or b.ledger_state.open_orders(name) for name, slot in b.epoch.slots.items()
            )
            and not any(b.ledger_state.open_orders(name) for name in b.ledger_state.names())
            and not set(b.active.values()) & self.bad_versions
            for b in brains
        )  # fmt: skip

    def finish(self) -> None:
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
            self.reference.add_violation("no agreement after the heal")
