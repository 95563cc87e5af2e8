"""A simulated cluster of ledger cores: time, network and disks are simulated and reproducible from one seed.

`ledger_history` runs random histories on it.
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

# A message sent to many members is decoded once; messages are immutable.
_decode_cached = functools.lru_cache(maxsize=4096)(decode)
SETTINGS = Settings(digest_s=1.0, reap_after_s=6.0)
FAILURE_DETECTION_S = 1.0  # a member that is unreachable for this long counts as gone
TICK_S = 0.1  # between ticks of a core


@dataclasses.dataclass
class Disk:
    """What a member has persisted, and what the reference model knows of its reads."""

    disk_id: int  # a new disk, or one set back to a copy, has a new id
    rows: dict[Dot, Put] = dataclasses.field(default_factory=dict)
    context: Context = dataclasses.field(default_factory=Context)
    read_state: ReadState = dataclasses.field(default_factory=ReadState)


@dataclasses.dataclass
class Member:
    """One member: its process, if it runs, its disk and its faults."""

    name: str
    disk: Disk
    core: Ledger | None = None  # None: the process does not run
    life: int = 0  # number of starts; messages and disk writes of an earlier life are lost
    side: int = 0  # members with different numbers are partitioned from each other
    disk_full: bool = False
    damage_rate: float = 0.0  # chance that a payload it sends is damaged
    last_reachable_s: dict[str, float] = dataclasses.field(default_factory=dict)  # by name
    view: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())  # others that are live, and that are gone
    # For writes under an old context: record name, context and what its reader had seen.
    old_contexts: list[tuple[RecordName, Context, frozenset[Dot]]] = dataclasses.field(default_factory=list)


class LedgerCluster:
    """Runs the cores, carries out their actions and checks them against a reference model."""

    def __init__(self, seed: int, members: int, tick_s: float, settings: Settings = SETTINGS) -> None:
        self.rng = random.Random(seed)
        self.settings, self.tick_s = settings, tick_s
        self.now_s = 0.0
        self.reference = LedgerReference()
        self.sequence = itertools.count(1)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.members = {f"m{i}": Member(f"m{i}", Disk(next(self.sequence))) for i in range(members)}
        self.drop_rate = self.duplicate_rate = 0.0
        self.writes: dict[Dot, tuple[str, frozenset[Dot]]] = {}  # the writer, and what it had seen of the key
        self.sent_bytes = 0  # of encoded messages
        self.acknowledged = 0  # acknowledged writes
        self.events = 0  # calls of the queue that were run
        for member in self.members.values():
            self.start(member)

    def violations(self) -> list[str]:
        """The violations found so far."""
        return self.reference.violations

    # Time.

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a call after `delay_s` of simulated time."""
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.sequence), callback))

    def run(self, for_s: float, until: Callable[[], bool] | None = None) -> bool:
        """Run for `for_s` of simulated time, or until `until` holds, checked once a simulated second.

        Returns whether `until` holds. A violation ends the run.
        """
        end_s, next_check_s = self.now_s + for_s, self.now_s + 1.0
        while self.queue and self.queue[0][0] <= end_s and not self.violations():
            self.now_s, _, callback = heapq.heappop(self.queue)
            self.events += 1
            callback()
            if until is not None and self.now_s >= next_check_s:
                next_check_s = self.now_s + 1.0
                if until():
                    return True
        if self.violations():
            return False
        self.now_s = end_s
        return until is not None and until()

    # Members.

    def start(self, member: Member) -> None:
        """Start a process of a member with the contents of its disk."""
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
        """Kill the process, as with SIGKILL; pending disk writes may or may not complete."""
        member.core = None

    def lose_disk(self, member: Member) -> None:
        """Kill the process and give the member an empty disk."""
        self.stop(member)
        member.disk = Disk(next(self.sequence))

    def copy_disk(self, member: Member) -> Disk:
        """A copy of the disk, for `restore_disk`."""
        disk = member.disk
        return Disk(0, dict(disk.rows), disk.context, disk.read_state.copy())

    def restore_disk(self, member: Member, copy: Disk) -> None:
        """Kill the process and replace its disk by an earlier copy."""
        self.stop(member)
        copy.disk_id = next(self.sequence)
        member.disk = copy
        for dot in self.reference.records:
            if copy.context.covers(dot):
                self.reference.holders[dot].add(copy.disk_id)

    def running_members(self) -> list[Member]:
        """Members whose process runs."""
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
        """Simplified membership: unreachable members are gone after a while, and reaped later."""
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
        """Pass an event to the core of a member, and carry out its actions."""
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

    def _persist(self, member: Member, life: int, disk: Disk, request: Persist) -> None:
        running = member.core is not None
        if member.disk is not disk or member.life != life or (not running and self.rng.random() < 0.5):
            return  # killed before the write completed
        if member.disk_full:
            self.handle_event(member, PersistFailed(request.batch, "no space left"))
            return
        for put in request.puts:
            disk.rows[put.record.dot] = put
            write = self.writes.get(put.record.dot)
            seen = write[1] if write is not None and write[0] == member.name else None
            self.reference.record_persisted(disk.disk_id, put.record, put.payload, seen)
        for dot in request.drops:
            disk.rows.pop(dot, None)
        for actor, runs in request.context.runs.items():  # holders of superseded records too
            if runs != disk.context.runs.get(actor):
                for dot in self.reference.dots_by_actor[actor]:
                    if request.context.covers(dot):
                        self.reference.holders[dot].add(disk.disk_id)
        disk.context = request.context
        if running:
            self.handle_event(member, Persisted(request.batch))

    def _send(self, member: Member, to: str, message: Message) -> None:
        if isinstance(message, Piece) and message.data and self.rng.random() < member.damage_rate:
            message = Piece(message.sha256, message.offset, message.size, b"!" + message.data[1:])
        if isinstance(message, Heads) and self.rng.random() < member.damage_rate:
            damaged = tuple(b"!" + payload[1:] for payload in message.payloads)
            message = Heads(message.records, message.fresh, message.confirm, damaged)
        encoded = encode(message)
        self.sent_bytes += len(encoded)
        other, life = self.members[to], self.members[to].life
        for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
            if self.rng.random() >= self.drop_rate:
                delay_s = self.rng.uniform(0.0005, 0.03)
                self.call_later(delay_s, lambda: self._deliver(member, other, life, encoded))

    def _deliver(self, member: Member, other: Member, life: int, encoded: bytes) -> None:
        if other.core is not None and other.life == life and other.side == member.side:
            self.handle_event(other, MessageReceived(member.name, _decode_cached(encoded)))

    # Load.

    def write(
        self, member: Member, name: RecordName, use_old_context: bool, delete: bool, level: Level
    ) -> None:
        """Write or delete a key, under the current context or under one that was read earlier."""
        core = member.core
        assert core is not None
        records, context = core.read(*name)
        seen = self.reference.causal_past(record for record, _ in records)
        if use_old_context:
            candidates = [(c, s) for n, c, s in member.old_contexts if n == name]
            context, seen_before = self.rng.choice(candidates) if candidates else (Context(), frozenset())
            seen &= seen_before  # what was removed with its tombstone since is known to all as removed
        elif self.rng.random() < 0.5:
            member.old_contexts.append((name, context, seen))
        self.writes[Dot(member.name, core.incarnation, core.counter + 1)] = member.name, seen
        write_id = str(next(self.sequence))
        if delete:
            self.handle_event(member, Delete(write_id, *name, context, level, 4.0))
            return
        size = self.rng.choice((0, 10, 500, 40_000)) if self.rng.random() < 0.9 else 100_000
        payload = (write_id.encode() * (size // len(write_id) + 1))[:size]
        self.handle_event(member, Write(write_id, *name, payload, context, level, 4.0))

    def agreed(self) -> bool:
        """Whether all running members hold the same records and have nothing pending."""
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
        """Check that equal contexts give equal live records, and that fetches stay within their limit."""
        live_by_context: dict[str, frozenset[Dot]] = {}
        for member in self.running_members():
            core = member.core
            assert core is not None
            if not core.settling.settled:
                continue
            live = frozenset(d for d, r in core.replica.records.items() if not r.deleted)
            context = repr(sorted(core.replica.context.runs.items()))
            if live_by_context.setdefault(context, live) != live:
                self.reference.add_violation(
                    f"{member.name} has the same context as another member, but other live records"
                )
            if core.intake.fetches.in_flight > self.settings.limits.pieces:
                self.reference.add_violation(f"{member.name} has too many pieces in flight")

    def finish(self) -> None:
        """Heal all faults, wait until all members agree, and check what they hold."""
        self.drop_rate = self.duplicate_rate = 0.0
        for member in self.members.values():
            member.side, member.disk_full, member.damage_rate = 0, False, 0.0
            if member.core is None:
                self.start(member)
        if not self.run(60.0 + len(self.members), self.agreed):
            self.reference.add_violation("members do not agree after all faults were healed")
            return
        self.check()
        for member in self.members.values():
            core = member.core
            assert core is not None
            if set(core.replica.records) != set(member.disk.rows):
                self.reference.add_violation(f"{member.name} holds other records than its disk")
        assert core is not None
        self.reference.check_final({m.disk.disk_id for m in self.members.values()}, core.replica.records)
