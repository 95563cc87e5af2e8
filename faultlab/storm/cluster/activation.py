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

from faultlab.storm.cluster.activation_truth import ActivationTruth
from faultlab.storm.cluster.ledger import Cluster, Member

TOGETHER_S = 6.0  # side by side for so long, members are held to two versions
PUBLISH_S = 4.0  # for a publication to reach its level


class Brain:
    """One process life: activation, and an engine that forgets all at its end."""

    def __init__(self, member: Member, core: Activation) -> None:
        self.member, self.core = member, core
        self.compiled: set[str] = set()
        self.settled = False
        self.epoch = 0


class ActivationCluster(Cluster):
    def __init__(self, seed: int, members: int, tick_s: float = 0.1) -> None:
        self.brains: dict[str, Brain] = {}
        self.alone_s: dict[str, float] = {}  # when a member last started, or changed sides
        self.reach: dict[str, int] = {}
        self.activation = ActivationTruth(members)
        self.brain_settings = Settings(
            size=members, stage_timeout_s=3.0, canary_s=1.0, canary_share=0.3, voter_change_delay_s=4.0
        )
        self.bad: set[str] = set()  # versions whose breakers open
        self.unable: dict[str, set[str]] = {}  # version to the members that cannot stage it
        self.published = 0
        self.healed = False  # nothing befalls it any more
        self.lost_votes: list[tuple[VoterId, Vote]] = []  # what a lost disk held of its member's own word
        self.first_s: dict[int, float] = {}  # by epoch: when it was first run somewhere
        super().__init__(seed, members, tick_s, LedgerSettings(size=members, digest_s=1.0, reap_after_s=6.0))
        self.first_disks = {name: member.disk.number for name, member in self.members.items()}

    def broken(self) -> list[str]:
        return self.truth.violations + self.activation.violations

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
        settings = self.brain_settings
        brain = Brain(member, Activation(member.name, life, member.disk.number, settings, self.rng, loaded))
        self.brains[member.name] = brain
        self.alone_s[member.name] = self.now_s
        self.later(self.rng.random() * self.tick_s, self._brain_ticker(brain))

    def may_lose(self, member: Member) -> bool:
        """Whether fewer disks than a quorum's are other ones, with this one's, than those that vote."""
        epochs = self.activation.epochs
        named = epochs[max(epochs)].voter_store_ids() or self.first_disks
        others = {m.name for m in self.members.values() if named.get(m.name) != m.disk.number}
        return len(others | {member.name}) <= len(self.members) // 2

    def lose_disk(self, member: Member) -> None:
        self.lost_votes += self._votes_of(member)
        self.activation.highest.pop(member.name, None)
        super().lose_disk(member)

    def _brain_ticker(self, brain: Brain) -> Callable[[], None]:
        def tick() -> None:
            if not self.runs(brain):
                return
            core = brain.member.core
            assert core is not None
            if brain.settled != core.settling.settled:
                brain.settled = core.settling.settled
                self.tell(brain, Settled(brain.settled))
            self.tell(brain, Tick())
            self.later(self.tick_s, tick)

        return tick

    def runs(self, brain: Brain) -> bool:
        return brain.member.core is not None and self.brains[brain.member.name] is brain

    def give(self, member: Member, event: LedgerEvent) -> None:
        super().give(member, event)
        if isinstance(event, ViewChanged) and member.core is not None:
            me = member.name
            self.tell(self.brains[me], BrainView((me, *event.live), (me, *event.live, *event.gone)))

    def _act(self, member: Member, action: LedgerAction) -> None:
        super()._act(member, action)
        if isinstance(action, KeyChanged):
            payloads = tuple(payload for _, payload in action.records if payload is not None)
            self.tell(self.brains[member.name], RecordsChanged(action.kind, action.key, payloads))
        elif isinstance(action, Acknowledged):
            self.published += action.level is not Level.LOCAL

    # Activation's actions.

    def tell(self, brain: Brain, event: Event) -> None:
        if not self.runs(brain):
            return
        for action in brain.core.handle(self.now_s, event):
            match action:
                case WriteRecord(kind, key, body, to):
                    level = Level.LOCAL if to else Level.QUORUM
                    self.later(0.0, self._writer(brain, kind, key, body, level, to))
                case DeleteRecord(kind, key):
                    self.later(0.0, self._dropper(brain, kind, key))
                case Stage(id, _, _):
                    self.later(self.rng.uniform(0.01, 0.4), self._stager(brain, id))
                case Activate():
                    self._activated(brain, action)
        epoch = brain.core.ledger_state.epoch
        if epoch.number != brain.epoch:
            brain.epoch = epoch.number
            self.first_s.setdefault(epoch.number, self.now_s)
            self.activation.epoch_seen(brain.member.name, epoch, self._votes)

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
                if key_store_id(put.record.key) == member.disk.number:
                    found.append(((member.name, member.disk.number), vote))
        return found

    def _context(self, brain: Brain, kind: str, key: str) -> Context | None:
        """What to write under, the write's dot noted for the judge; None: the member runs no longer."""
        core = brain.member.core
        if core is None or not self.runs(brain):
            return None
        records, context = core.read(kind, key)
        dot = Dot(brain.member.name, core.incarnation, core.counter + 1)
        self.written[dot] = brain.member.name, self.truth.seen(record for record, _ in records)
        return context

    def _writer(
        self,
        brain: Brain,
        kind: str,
        key: str,
        body: ActivationRecord,
        level: Level = Level.QUORUM,
        to: str = "",
    ) -> Callable[[], None]:
        def write() -> None:
            context = self._context(brain, kind, key)
            if context is None:
                return
            number = str(next(self.numbers))
            self.give(brain.member, Write(number, kind, key, encode(body), context, level, PUBLISH_S, to))

        return write

    def _dropper(self, brain: Brain, kind: str, key: str) -> Callable[[], None]:
        def drop() -> None:
            context = self._context(brain, kind, key)
            if context is None:
                return
            self.give(brain.member, LedgerDelete(str(next(self.numbers)), kind, key, context))

        return drop

    def _stager(self, brain: Brain, id: str) -> Callable[[], None]:
        def staged() -> None:
            reason = "no memory" if brain.member.name in self.unable.get(id, ()) else ""
            if not reason:
                brain.compiled.add(id)
            self.tell(brain, Staged(id, reason))

        return staged

    def _activated(self, brain: Brain, action: Activate) -> None:
        self.activation.running(brain.member.name, brain.core, brain.compiled)
        for version in sorted(set(action.versions.values()) & self.bad):
            self.later(self.rng.uniform(0.05, 0.8), self._tripper(brain, version))

    def _tripper(self, brain: Brain, version: str) -> Callable[[], None]:
        def trip() -> None:
            if version in brain.core.active.values():
                self.tell(brain, BreakerChanged(version, True))

        return trip

    # Load.

    def order(self, member: Member, name: str, verb: str, level: Level) -> str:
        """A developer's order through this member."""
        book = self.brains[member.name].core.ledger_state
        id = f"{self.rng.getrandbits(64):016x}"
        order = Order(name, id, book.next_number(name), "publish" if verb == "publish" else "rollback")
        self._writer(self.brains[member.name], ORDER, order.key, order, level)()
        return id

    def check(self) -> None:
        super().check()
        sides: dict[int, list[Activation]] = {}
        for member in self.up():
            brain = self.brains[member.name]
            if (
                self.reach.get(member.name) != member.side or member.full
            ):  # it hears of nothing, or keeps nothing
                self.reach[member.name] = member.side
                self.alone_s[member.name] = self.now_s
            if self.now_s - self.alone_s[member.name] >= TOGETHER_S:
                sides.setdefault(member.side, []).append(brain.core)
        for brains in sides.values():
            voters = max((brain.epoch for brain in brains), key=lambda epoch: epoch.number).voters
            if 2 * len({brain.member for brain in brains} & set(voters)) > len(voters):
                self.activation.together(brains)

    def rested(self) -> bool:
        if not self.agreed():
            return False
        brains = [self.brains[m.name].core for m in self.up()]
        return all(
            b.epoch == brains[0].epoch and not b.unconfirmed and not b.staging
            and not any(
                slot.candidate or b.ledger_state.open_orders(name) for name, slot in b.epoch.slots.items()
            )
            and not any(b.ledger_state.open_orders(name) for name in b.ledger_state.names())
            and not set(b.active.values()) & self.bad
            for b in brains
        )  # fmt: skip

    def finish(self) -> None:
        self.healed = True
        self.drop = self.double = 0.0
        for member in self.members.values():
            member.side, member.full, member.false = 0, False, 0.0
            if member.core is None:
                self.start(member)
        self.run(90.0, self.rested)
        if self.broken():
            return
        self.check()
        self.activation.at_the_end([self.brains[m].core for m in self.members], self.bad)
        core = next(iter(self.members.values())).core
        assert core is not None
        if self.agreed():
            self.truth.at_the_end({m.disk.number for m in self.members.values()}, core.replica.records)
        else:
            self.truth.violated("no agreement after the heal")
