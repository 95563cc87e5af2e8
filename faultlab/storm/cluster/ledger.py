"""A cluster of ledger cores on simulated time, a simulated network and simulated disks, driven by one seed.

`ledger_history` plays random histories on it.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import (
    Acknowledged,
    Action,
    Delete,
    Event,
    KeyChanged,
    MessageReceived,
    Level,
    Persist,
    Persisted,
    PersistFailed,
    Send,
    Settings,
    Tick,
    ViewChanged,
    Write,
)
from cloverkeel.fleet.ledger.ledger import Ledger
from cloverkeel.fleet.ledger.messages import Heads, Message, Piece, decode, encode
from cloverkeel.fleet.ledger.replica import Put

from faultlab.storm.cluster.ledger_reference import RecordName, ReadState, LedgerReference

_decode_cached = functools.lru_cache(maxsize=4096)(
    decode
)  # one message to many is read once: it never changes
SETTINGS = Settings(digest_s=1.0, reap_after_s=6.0)
FAILURE_DETECTION_S = 1.0  # until a member that is silent counts as gone
TICK_S = 0.1


@dataclasses.dataclass
class Disk:
    disk_id: int
    rows: dict[Dot, Put] = dataclasses.field(default_factory=dict)
    context: Context = dataclasses.field(default_factory=Context)
    read_state: ReadState = dataclasses.field(default_factory=ReadState)


@dataclasses.dataclass
class Member:
    name: str
    disk: Disk
    core: Ledger | None = None
    life: int = 0  # of how many; messages and disk answers of an earlier one are lost
    side: int = 0  # of the partition
    disk_full: bool = False
    damage_rate: float = 0.0  # chance that a piece it serves is damaged
    last_reachable_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )  # when each other was last reachable
    view: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
    old_contexts: list[tuple[RecordName, Context, frozenset[Dot]]] = dataclasses.field(default_factory=list)


class LedgerCluster:
    def __init__(self, seed: int, members: int, tick_s: float, settings: Settings = SETTINGS) -> None:
        self.rng = random.Random(seed)
        self.settings, self.tick_s = settings, tick_s
        self.now_s = 0.0
        self.reference = LedgerReference()
        self.sequence = itertools.count(1)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.members = {f"m{i}": Member(f"m{i}", Disk(next(self.sequence))) for i in range(members)}
        self.drop_rate = self.duplicate_rate = 0.0
        self.writes: dict[Dot, tuple[str, frozenset[Dot]]] = {}
        self.sent_bytes = 0
        self.acknowledged = 0
        self.events = 0  # of the queue, that came about
        for member in self.members.values():
            self.start(member)

    def violations(self) -> list[str]:
        """The violations found so far."""
        return self.reference.violations

    # Time.

    def call_later(self, delay_s: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.sequence), what))

    def run(self, for_s: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; ends early, and says True, once `until` (asked each simulated second) holds."""
        end_s, ask_s = self.now_s + for_s, self.now_s + 1.0
        while self.queue and self.queue[0][0] <= end_s and not self.violations():
            self.now_s, _, what = heapq.heappop(self.queue)
            self.events += 1
            what()
            if until is not None and self.now_s >= ask_s:
                ask_s = self.now_s + 1.0
                if until():
                    return True
        if self.violations():
            return False
        self.now_s = end_s
        return until is not None and until()

    # Members.

    def start(self, member: Member) -> None:
        member.life += 1
        disk = member.disk
        rows = [disk.rows[dot] for dot in sorted(disk.rows)]
        member.core = Ledger(
            member.name, self.rng.getrandbits(40), self.settings, self.rng, rows, disk.context
        )
        member.view, member.last_reachable_s = ((), ()), {}
        member.old_contexts.clear()
        self.call_later(self.rng.random() * self.tick_s, self._ticker(member, member.life))

    def stop(self, member: Member) -> None:
        """SIGKILL: what was on its way to the disk is there or not."""
        member.core = None

    def lose_disk(self, member: Member) -> None:
        self.stop(member)
        member.disk = Disk(next(self.sequence))

    def copy_disk(self, member: Member) -> Disk:
        disk = member.disk
        return Disk(0, dict(disk.rows), disk.context, disk.read_state.copy())

    def restore_disk(self, member: Member, copy: Disk) -> None:
        """Its disk is an old copy now."""
        self.stop(member)
        copy.disk_id = next(self.sequence)
        member.disk = copy
        for dot in self.reference.records:
            if copy.context.covers(dot):
                self.reference.holders[dot].add(copy.disk_id)

    def running_members(self) -> list[Member]:
        return [m for m in self.members.values() if m.core is not None]

    def _ticker(self, member: Member, life: int) -> Callable[[], None]:
        def tick() -> None:
            if member.core is None or member.life != life:
                return
            self._update_view(member)
            self.handle_event(member, Tick())
            self.call_later(self.tick_s, tick)

        return tick

    def _update_view(self, member: Member) -> None:
        """Membership's view, after a fashion: the silent are gone after a while, and reaped after longer."""
        live, gone = [], []
        for other in self.members.values():
            if other is member:
                continue
            if other.core is not None and other.side == member.side:
                member.last_reachable_s[other.name] = self.now_s
            silent_s = self.now_s - member.last_reachable_s.get(other.name, -1e9)
            if silent_s < FAILURE_DETECTION_S:
                live.append(other.name)
            elif silent_s < FAILURE_DETECTION_S + self.settings.reap_after_s:
                gone.append(other.name)
        view = tuple(live), tuple(gone)
        if view != member.view:
            member.view = view
            self.handle_event(member, ViewChanged(*view))

    def handle_event(self, member: Member, event: Event) -> None:
        if member.core is not None:
            for action in member.core.handle(self.now_s, event):
                self._execute(member, action)

    def _execute(self, member: Member, action: Action) -> None:
        match action:
            case Send(to, message):
                self._send(member, to, message)
            case Persist():
                life, disk = member.life, member.disk
                self.call_later(
                    self.rng.uniform(0.001, 0.02), lambda: self._persist(member, life, disk, action)
                )
            case Acknowledged(_, dot, level, _):
                self.acknowledged += 1
                needed = 1
                if level is not Level.LOCAL:
                    view = 1 + sum(map(len, member.view))
                    needed = view if level is Level.ALL else max(view, self.settings.size) // 2 + 1
                self.reference.check_acknowledged(dot, needed)
            case KeyChanged(kind, key, records, _):
                self.reference.check_siblings(member.disk.read_state, (kind, key), records)

    def _persist(self, member: Member, life: int, disk: Disk, rows: Persist) -> None:
        running = member.core is not None
        if member.disk is not disk or member.life != life or (not running and self.rng.random() < 0.5):
            return  # killed before it was there
        if member.disk_full:
            self.handle_event(member, PersistFailed(rows.batch, "no space left"))
            return
        for put in rows.puts:
            disk.rows[put.record.dot] = put
            own = self.writes.get(put.record.dot)
            seen = own[1] if own is not None and own[0] == member.name else None
            self.reference.record_persisted(disk.disk_id, put.record, put.payload, seen)
        for dot in rows.drops:
            disk.rows.pop(dot, None)
        for actor, runs in rows.context.runs.items():  # superseded ones too
            if runs != disk.context.runs.get(actor):
                for dot in self.reference.dots_by_actor[actor]:
                    if rows.context.covers(dot):
                        self.reference.holders[dot].add(disk.disk_id)
        disk.context = rows.context
        if running:
            self.handle_event(member, Persisted(rows.batch))

    def _send(self, member: Member, to: str, message: Message) -> None:
        if isinstance(message, Piece) and message.data and self.rng.random() < member.damage_rate:
            message = Piece(message.sha256, message.offset, message.size, b"!" + message.data[1:])
        if isinstance(message, Heads) and self.rng.random() < member.damage_rate:
            false = tuple(b"!" + payload[1:] for payload in message.payloads)
            message = Heads(message.records, message.fresh, message.confirm, false)
        body = encode(message)
        self.sent_bytes += len(body)
        other, life = self.members[to], self.members[to].life
        for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
            if self.rng.random() >= self.drop_rate:
                delay_s = self.rng.uniform(0.0005, 0.03)
                self.call_later(delay_s, lambda: self._deliver(member, other, life, body))

    def _deliver(self, member: Member, other: Member, life: int, body: bytes) -> None:
        if other.core is not None and other.life == life and other.side == member.side:
            self.handle_event(other, MessageReceived(member.name, _decode_cached(body)))

    # Load.

    def write(self, member: Member, name: RecordName, old: bool, delete: bool, level: Level) -> None:
        core = member.core
        assert core is not None
        records, context = core.read(*name)
        seen = self.reference.causal_past(record for record, _ in records)
        if old:
            fitting = [(c, s) for n, c, s in member.old_contexts if n == name]
            context, read = self.rng.choice(fitting) if fitting else (Context(), frozenset())
            seen &= read  # what has gone with its tombstone since, all members know to be gone
        elif self.rng.random() < 0.5:
            member.old_contexts.append((name, context, seen))
        self.writes[Dot(member.name, core.incarnation, core.counter + 1)] = member.name, seen
        number = str(next(self.sequence))
        if delete:
            self.handle_event(member, Delete(number, *name, context, level, 4.0))
            return
        size = self.rng.choice((0, 10, 500, 40_000)) if self.rng.random() < 0.9 else 100_000
        payload = (number.encode() * (size // len(number) + 1))[:size]
        self.handle_event(member, Write(number, *name, payload, context, level, 4.0))

    def agreed(self) -> bool:
        cores = [m.core for m in self.running_members()]
        first = cores[0]
        assert first is not None
        return all(
            c is not None
            and c.replica.bucket_hashes.root() == first.replica.bucket_hashes.root()
            and c.settling.settled
            and c.persisting is None
            and not c.staged
            for c in cores
        )

    def check(self) -> None:
        """Equal contexts give equal live records; bounds hold."""
        held: dict[str, frozenset[Dot]] = {}
        for member in self.running_members():
            core = member.core
            assert core is not None
            if not core.settling.settled:
                continue
            live = frozenset(d for d, r in core.replica.records.items() if not r.deleted)
            named = repr(sorted(core.replica.context.runs.items()))
            if held.setdefault(named, live) != live:
                self.reference.add_violation(f"{member.name} has another's context and other records")
            if core.intake.fetches.in_flight > self.settings.limits.pieces:
                self.reference.add_violation(f"{member.name} has too many pieces on their way")

    def finish(self) -> None:
        """Heal all, wait until all agree, and judge what is left."""
        self.drop_rate = self.duplicate_rate = 0.0
        for member in self.members.values():
            member.side, member.disk_full, member.damage_rate = 0, False, 0.0
            if member.core is None:
                self.start(member)
        if not self.run(60.0 + len(self.members), self.agreed):
            self.reference.add_violation("no agreement after the heal")
            return
        self.check()
        for member in self.members.values():
            core = member.core
            assert core is not None
            if set(core.replica.records) != set(member.disk.rows):
                self.reference.add_violation(f"{member.name} holds what its disk does not")
        assert core is not None
        self.reference.check_final({m.disk.disk_id for m in self.members.values()}, core.replica.records)
