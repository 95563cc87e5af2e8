"""A simulated membership cluster: its members as protocol cores, and the faults applied to them."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cloverkeel.fleet.membership.checked import CheckedMember
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import (
    Action,
    ExchangeViews,
    MemberChanged,
    Message,
    NameConflict,
    Push,
    Send,
)
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.storm.cluster.faults import Fault, FaultKind, History
from faultlab.storm.cluster.network import NORMAL_DELAY_S, Clock, Links, Partition

KEPT_ACTIONS = 30  # last actions of the cores that a replay prints
MAX_QUEUED_MESSAGES = 256  # datagrams that wait at a paused process; more are lost, as at a full socket


@dataclass(slots=True)
class Process:
    """A process with one member. If its join is refused, it joins again with a new core."""

    me: MemberUpdate  # its name, address and incarnation at the start
    take_over: bool  # it may take over the name of a running predecessor
    older_addresses: tuple[str, ...]  # of its predecessors
    member: Member
    up: bool = True
    will_rejoin: bool = False  # its join was refused; it joins again later
    paused_until_s: float = 0.0
    next_tick_s: float = 0.0
    queued_messages: list[Message] = field(default_factory=list)
    view_changed: bool = True  # since the lists last read its view

    @property
    def name(self) -> str:
        """The name of its member."""
        return self.me.name

    @property
    def is_active(self) -> bool:
        """Whether it runs as a member: joined, not refused, not left."""
        member = self.member
        return self.up and not member.refused and not member.left and member.joining_until_s is None


class MembershipCluster:
    """Runs the members and the faults of a history on a simulated clock and network.

    `check`: the members check their invariants after each call.
    """

    def __init__(self, history: History, check: bool) -> None:
        self.history, self.check = history, check
        self.rng = random.Random(history.seed)
        self.clock = Clock()
        self.links = Links(random.Random(history.seed + 1))
        self.processes: dict[str, Process] = {}  # by address; a killed one stays until it is replaced
        self.successors: dict[str, Process] = {}  # by the address of the predecessor
        # The last actions of the cores, without messages sent.
        self.last_actions: deque[tuple[float, Process, Action]] = deque(maxlen=KEPT_ACTIONS)
        self.deaths: list[tuple[float, str, MemberUpdate]] = []  # time, reporting member, dead member
        self.faulted_names: set[str] = set()  # names of processes that were killed, restarted or left
        self.upgrade_until_s: dict[str, float] = {}  # by name: when the predecessor leaves
        self.on_start: Callable[[Process], None] | None = None
        self.events = 0  # calls of cores
        self.max_running = 0  # most processes that ran at once
        self.address_count = 0
        self.seeds = tuple(f"10.0.0.{n}:7" for n in range(history.seeds))
        for n in range(history.size):
            when_s = self.rng.uniform(0.0, history.start_s)
            on_held_socket = n % 2 == 1  # the first process on a held socket may be started to take over
            self.clock.call_at(when_s, self.start, f"m{n}", self._new_address(), 1, on_held_socket)
        self.name_count = history.size
        for fault in history.faults:
            self.clock.call_at(fault.at_s, self.apply_fault, fault)

    def _new_address(self) -> str:
        """The next address that no process has had."""
        self.address_count += 1
        high, low = divmod(self.address_count - 1, 256)
        return f"10.0.{high}.{low}:7"

    def active_processes(self) -> list[Process]:
        """Processes that run as members."""
        return [p for p in self.processes.values() if p.is_active]

    def start(
        self,
        name: str,
        address: str,
        incarnation: int,
        take_over: bool = False,
        older_addresses: tuple[str, ...] = (),
    ) -> None:
        """Start a process at `address`; a process that was there ends."""
        old = self.processes.get(address)
        if old is not None:
            old.up = False
        me = MemberUpdate(name, address, incarnation, Status.ALIVE, f"z{len(name) % 3}")
        process = Process(me, take_over, older_addresses, self._new_member(me, take_over, older_addresses))
        self.processes[address] = process
        self.max_running = max(self.max_running, sum(p.up for p in self.processes.values()))
        self.execute(process, process.member.start(self.clock.now_s))
        self._schedule_tick(process, self.rng.random() * self.history.tick_s)
        if self.on_start is not None:
            self.on_start(process)

    def _new_member(self, me: MemberUpdate, take_over: bool, older_addresses: tuple[str, ...]) -> Member:
        rng = random.Random(self.rng.getrandbits(64))
        member_class = CheckedMember if self.check else Member
        return member_class(me, self.history.timing, self.seeds, take_over, rng, older_addresses)

    def _rejoin(self, process: Process) -> None:
        process.will_rejoin = False
        if process.up:
            process.member = self._new_member(process.me, process.take_over, process.older_addresses)
            self.execute(process, process.member.start(self.clock.now_s))

    def execute(self, process: Process, actions: list[Action]) -> None:
        """Carry out the actions of a process's core."""
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
        """The process that receives at `address`: the one started there, or after its end its successor."""
        process = self.processes.get(address)
        while process is not None and not process.up:
            process = self.successors.get(process.me.address)
        return process

    def deliver(self, address: str, message: Message) -> None:
        """Deliver a datagram; at a paused process it waits."""
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
        """Both processes receive the other's full view, as over a stream."""
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
        """Tick a process's core, after a pause together with the datagrams that waited."""
        now_s, tick_s = self.clock.now_s, self.history.tick_s
        if not process.up:
            return
        if now_s < process.paused_until_s:
            self.clock.call_at(process.paused_until_s, self.tick, process)
            return
        waiting, process.queued_messages = process.queued_messages, []
        late_s = now_s - process.next_tick_s
        if late_s > 2 * tick_s:  # reported as by `gossip`
            process.member.on_stall(late_s)
        before = self.rng.random() < 0.5  # datagrams that waited are read before the tick or after it
        for message in waiting if before else ():
            self.deliver(process.me.address, message)
        self.events += 1
        self.execute(process, process.member.tick(now_s))
        for message in () if before else waiting:
            self.deliver(process.me.address, message)
        self._schedule_tick(process, tick_s)

    # Faults

    def apply_fault(self, fault: Fault) -> None:
        """Apply a fault of the history to the links, or to one of the active processes."""
        links, ends_s = self.links, self.clock.now_s + fault.duration_s
        match fault.kind:
            case FaultKind.SPLIT | FaultKind.ONE_WAY:
                addresses = list(self.processes)
                inside = frozenset(self.rng.sample(addresses, int(len(addresses) * fault.share)))
                partition = Partition(inside, fault.kind is FaultKind.ONE_WAY)
                links.partitions.append(partition)
                self.clock.call_at(ends_s, self._end_partition, partition)
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
                active = self.active_processes()
                if active:
                    self._apply_process_fault(fault, active[fault.process_index % len(active)], ends_s)

    def _end_partition(self, partition: Partition) -> None:
        self.links.partitions = [p for p in self.links.partitions if p is not partition]

    def _apply_process_fault(self, fault: Fault, process: Process, ends_s: float) -> None:
        name, current = process.name, process.member.me.incarnation
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
                incarnation = process.me.incarnation if fault.kind is FaultKind.RESTART_OLD else current + 1
                self.clock.call_at(ends_s, self._restart, name, address, incarnation)
            case FaultKind.CLAIM:
                difference = fault.process_index % 3 - 1
                self.start(name, self._new_address(), max(1, current + difference))
            case FaultKind.UPGRADE:
                if self.upgrade_until_s.get(name, -1.0) >= self.clock.now_s:
                    return  # a process has at most one successor at a time
                self.upgrade_until_s[name] = ends_s
                address = self._new_address()
                self.start(name, address, current + 1, True, (process.me.address,))
                self.successors[process.me.address] = self.processes[address]
                self.clock.call_at(ends_s, self.leave, process)

    def _restart(self, name: str, address: str, incarnation: int) -> None:
        existing = self.processes.get(address)
        if existing is None or not existing.up:
            self.start(name, address, incarnation)

    def leave(self, process: Process) -> None:
        """A process leaves the cluster and ends."""
        if process.up:
            self.execute(process, process.member.leave(self.clock.now_s))
            process.up = False

    def restart_seeds(self) -> bool:
        """Start a process at each seed address without an active one, as its operators would.

        This includes a seed whose process runs but lost its name to another. Returns whether one was started.
        """
        started = False
        active_names = {p.name for p in self.active_processes()}
        for n, seed in enumerate(self.seeds):
            old = self.processes.get(seed)
            if old is None or not old.up or old.member.refused:
                name = old.name if old is not None and old.name not in active_names else f"s{n}"
                self.faulted_names.add(name)
                self.start(name, seed, old.member.me.incarnation + 1 if old is not None else 1)
                started = True
        return started
