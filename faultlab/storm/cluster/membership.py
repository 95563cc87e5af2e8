"""One history of a cluster: its members as pure cores, its faults, and how each befalls them."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cloverkeel.fleet.membership.checked import CheckedMember
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import (
    Action,
    MemberChanged,
    ExchangeViews,
    Message,
    Push,
    NameConflict,
    Send,
)
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.storm.cluster.faults import Fault, History, FaultKind
from faultlab.storm.cluster.network import NORMAL_DELAY_S, Clock, Partition, Links

KEPT_ACTIONS = 30  # of the last things that cores told, kept for a replay
MAX_QUEUED_MESSAGES = 256  # datagrams that wait at a paused process; the rest is lost, as at a full socket


@dataclass(slots=True)
class Process:
    """A process with one member; a core that was refused at its join gives way to another."""

    me: MemberUpdate  # as at its start
    take_over: bool
    older: tuple[str, ...]
    member: Member
    up: bool = True
    will_rejoin: bool = False  # refused at its join, it is to join again
    paused_until_s: float = 0.0
    next_tick_s: float = 0.0  # its next tick
    queued_messages: list[Message] = field(default_factory=list)
    view_changed: bool = True  # its view, since it was last looked at

    @property
    def name(self) -> str:
        return self.me.name

    @property
    def is_active(self) -> bool:
        member = self.member
        return self.up and not member.refused and not member.left and member.joining_until_s is None


class MembershipCluster:
    """Plays a history's members on `clock` and `links`. `events` counts the calls of cores."""

    def __init__(self, history: History, check: bool) -> None:
        self.history, self.check = history, check
        self.rng = random.Random(history.seed)
        self.clock = Clock()
        self.links = Links(random.Random(history.seed + 1))
        self.processes: dict[str, Process] = {}  # by address; one that was killed stays until it is replaced
        self.successors: dict[str, Process] = {}  # by the address of the one that they follow
        self.last_actions: deque[tuple[float, Process, Action]] = deque(
            maxlen=KEPT_ACTIONS
        )  # but for what was sent
        self.deaths: list[tuple[float, str, MemberUpdate]] = []  # told: when, by whom, of whom
        self.faulted_names: set[str] = set()  # names whose process was killed, replaced or left
        self.upgrade_until_s: dict[str, float] = {}  # until when the older process of a name stays
        self.on_start: Callable[[Process], None] | None = None
        self.events = 0
        self.max_running = 0
        self.address_count = 0
        self.seeds = tuple(f"10.0.0.{n}:7" for n in range(history.seeds))
        for n in range(history.size):
            when_s = self.rng.uniform(0.0, history.start_s)
            on_held_socket = n % 2 == 1  # let take over, as the first process there may be
            self.clock.call_at(when_s, self.start, f"m{n}", self._new_address(), 1, on_held_socket)
        self.name_count = history.size
        for fault in history.faults:
            self.clock.call_at(fault.at_s, self.apply_fault, fault)

    def _new_address(self) -> str:
        self.address_count += 1
        high, low = divmod(self.address_count - 1, 256)
        return f"10.0.{high}.{low}:7"

    def active_processes(self) -> list[Process]:
        return [p for p in self.processes.values() if p.is_active]

    def start(
        self, name: str, address: str, incarnation: int, take_over: bool = False, older: tuple[str, ...] = ()
    ) -> None:
        """A process starts at `address`, in place of any that was there."""
        old = self.processes.get(address)
        if old is not None:
            old.up = False
        me = MemberUpdate(name, address, incarnation, Status.ALIVE, f"z{len(name) % 3}")
        process = Process(me, take_over, older, self._new_member(me, take_over, older))
        self.processes[address] = process
        self.max_running = max(self.max_running, sum(p.up for p in self.processes.values()))
        self.execute(process, process.member.start(self.clock.now_s))
        self._schedule_tick(process, self.rng.random() * self.history.tick_s)
        if self.on_start is not None:
            self.on_start(process)

    def _new_member(self, me: MemberUpdate, take_over: bool, older: tuple[str, ...]) -> Member:
        rng = random.Random(self.rng.getrandbits(64))
        kind = CheckedMember if self.check else Member
        return kind(me, self.history.timing, self.seeds, take_over, rng, older)

    def _rejoin(self, process: Process) -> None:
        process.will_rejoin = False
        if process.up:
            process.member = self._new_member(process.me, process.take_over, process.older)
            self.execute(process, process.member.start(self.clock.now_s))

    def execute(self, process: Process, actions: list[Action]) -> None:
        clock, source = self.clock, process.me.address
        for action in actions:
            if isinstance(action, Send):
                for delay_s in self.links.delays(source, action.address):
                    clock.call_at(clock.now_s + delay_s, self.deliver, action.address, action.message)
                continue
            self.last_actions.append((clock.now_s, process, action))
            process.view_changed = True
            if isinstance(action, ExchangeViews):
                if self.links.connected(source, action.address):
                    clock.call_at(
                        clock.now_s + NORMAL_DELAY_S[1], self.exchange_views, process, action.address
                    )
            elif isinstance(action, NameConflict) and action.joining:
                process.will_rejoin = True
                clock.call_at(clock.now_s + self.history.timing.push_pull_s, self._rejoin, process)
            elif isinstance(action, MemberChanged) and action.update.status is Status.DEAD:
                self.deaths.append((clock.now_s, process.name, action.update))

    def process_at(self, address: str) -> Process | None:
        """Who hears at `address`: its process, or once that has ended its successor of an upgrade."""
        process = self.processes.get(address)
        while process is not None and not process.up:
            process = self.successors.get(process.me.address)
        return process

    def deliver(self, address: str, message: Message) -> None:
        process = self.process_at(address)
        if process is None:
            return
        if self.clock.now_s < process.paused_until_s:
            if len(process.queued_messages) < MAX_QUEUED_MESSAGES:
                process.queued_messages.append(message)
            return
        self.events += 1
        self.execute(process, process.member.receive(message, self.clock.now_s))

    def exchange_views(self, process: Process, address: str) -> None:
        """Both take the other's whole view, as over a stream."""
        other = self.process_at(address)
        now_s = self.clock.now_s
        if other is None or not process.up or max(other.paused_until_s, process.paused_until_s) > now_s:
            return
        for source, target in ((process, other), (other, process)):
            view = Push(source.member.me, tuple(source.member.view.members.values()))
            self.events += 1
            self.execute(target, target.member.receive(view, now_s))

    def _schedule_tick(self, process: Process, wait_s: float) -> None:
        process.next_tick_s = self.clock.now_s + wait_s
        self.clock.call_at(process.next_tick_s, self.tick, process)

    def tick(self, process: Process) -> None:
        now_s, tick_s = self.clock.now_s, self.history.tick_s
        if not process.up:
            return
        if now_s < process.paused_until_s:
            self.clock.call_at(process.paused_until_s, self.tick, process)
            return
        held, process.queued_messages = process.queued_messages, []
        late_s = now_s - process.next_tick_s
        if late_s > 2 * tick_s:  # as `gossip` tells its core; what waited is read before the tick or after it
            process.member.on_stall(late_s)
        before = self.rng.random() < 0.5
        for message in held if before else ():
            self.deliver(process.me.address, message)
        self.events += 1
        self.execute(process, process.member.tick(now_s))
        for message in () if before else held:
            self.deliver(process.me.address, message)
        self._schedule_tick(process, tick_s)

    # Faults

    def apply_fault(self, fault: Fault) -> None:
        links, ends_s = self.links, self.clock.now_s + fault.duration_s
        match fault.kind:
            case FaultKind.SPLIT | FaultKind.ONE_WAY:
                known = list(self.processes)
                inside = frozenset(self.rng.sample(known, int(len(known) * fault.share)))
                cut = Partition(inside, fault.kind is FaultKind.ONE_WAY)
                links.partitions.append(cut)
                self.clock.call_at(ends_s, self._end_partition, cut)
            case FaultKind.LOSS:
                links.loss = fault.share / 2
            case FaultKind.DUPLICATE:
                links.duplicate = fault.share / 2
            case FaultKind.SLOW:
                links.max_delay_s = NORMAL_DELAY_S[1] + fault.share / 2
            case FaultKind.JOIN:
                self.name_count += 1
                self.start(f"m{self.name_count - 1}", self._new_address(), 1)
            case _:
                up = self.active_processes()
                if up:
                    self._apply_process_fault(fault, up[fault.process_index % len(up)], ends_s)

    def _end_partition(self, cut: Partition) -> None:
        self.links.partitions = [c for c in self.links.partitions if c is not cut]

    def _apply_process_fault(self, fault: Fault, process: Process, ends_s: float) -> None:
        name, present = process.name, process.member.me.incarnation
        if fault.kind is FaultKind.PAUSE:
            process.paused_until_s = max(process.paused_until_s, ends_s)
            return
        if fault.kind not in (FaultKind.CLAIM, FaultKind.UPGRADE):
            self.faulted_names.add(name)
        match fault.kind:
            case FaultKind.KILL:
                process.up = False
            case FaultKind.LEAVE:
                self.leave(process)
            case FaultKind.RESTART | FaultKind.RESTART_OLD | FaultKind.MOVE:
                process.up = False
                address = self._new_address() if fault.kind is FaultKind.MOVE else process.me.address
                incarnation = process.me.incarnation if fault.kind is FaultKind.RESTART_OLD else present + 1
                self.clock.call_at(ends_s, self._restart, name, address, incarnation)
            case FaultKind.CLAIM:
                step = fault.process_index % 3 - 1
                self.start(name, self._new_address(), max(1, present + step))
            case FaultKind.UPGRADE:
                if self.upgrade_until_s.get(name, -1.0) >= self.clock.now_s:
                    return  # a process has one successor at a time
                self.upgrade_until_s[name] = ends_s
                address = self._new_address()
                self.start(name, address, present + 1, True, (process.me.address,))
                self.successors[process.me.address] = self.processes[address]
                self.clock.call_at(ends_s, self.leave, process)

    def _restart(self, name: str, address: str, incarnation: int) -> None:
        held = self.processes.get(address)
        if held is None or not held.up:
            self.start(name, address, incarnation)

    def leave(self, process: Process) -> None:
        if process.up:
            self.execute(process, process.member.leave(self.clock.now_s))
            process.up = False

    def restart_seeds(self) -> bool:
        """A seed's address that is silent gets a process again, as its operators would see to, though its
        process runs and only its name was lost to another; says whether one was started."""
        started = False
        spoken = {p.name for p in self.active_processes()}
        for n, seed in enumerate(self.seeds):
            old = self.processes.get(seed)
            if old is None or not old.up or old.member.refused:
                name = old.name if old is not None and old.name not in spoken else f"s{n}"
                self.faulted_names.add(name)
                self.start(name, seed, old.member.me.incarnation + 1 if old is not None else 1)
                started = True
        return started
