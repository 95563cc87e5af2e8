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
from faultlab.storm.cluster.faults import Fault, History, Kind
from faultlab.storm.cluster.network import NEAR_S, Clock, Cut, Links

TOLD = 30  # of the last things that cores told, kept for a replay
HELD = 256  # datagrams that wait at a paused process; the rest is lost, as at a full socket


@dataclass(slots=True)
class Process:
    """A process with one member; a core that was refused at its join gives way to another."""

    me: MemberUpdate  # as at its start
    take_over: bool
    older: tuple[str, ...]
    member: Member
    up: bool = True
    asks_again: bool = False  # refused at its join, it is to join again
    paused_until_s: float = 0.0
    due_s: float = 0.0  # its next tick
    held: list[Message] = field(default_factory=list)
    changed: bool = True  # its view, since it was last looked at

    @property
    def name(self) -> str:
        return self.me.name

    @property
    def speaks(self) -> bool:
        member = self.member
        return self.up and not member.refused and not member.left and member.joining_until_s is None


class Cluster:
    """Plays a history's members on `clock` and `links`. `events` counts the calls of cores."""

    def __init__(self, history: History, check: bool) -> None:
        self.history, self.check = history, check
        self.rng = random.Random(history.seed)
        self.clock = Clock()
        self.links = Links(random.Random(history.seed + 1))
        self.processes: dict[str, Process] = {}  # by address; one that was killed stays until it is replaced
        self.successors: dict[str, Process] = {}  # by the address of the one that they follow
        self.told: deque[tuple[float, Process, Action]] = deque(maxlen=TOLD)  # but for what was sent
        self.deaths: list[tuple[float, str, MemberUpdate]] = []  # told: when, by whom, of whom
        self.unsettled: set[str] = set()  # names whose process was killed, replaced or left
        self.upgrading: dict[str, float] = {}  # until when the older process of a name stays
        self.on_start: Callable[[Process], None] | None = None
        self.events = 0
        self.most = 0
        self.addresses = 0
        self.seeds = tuple(f"10.0.0.{n}:7" for n in range(history.seeds))
        for n in range(history.size):
            when_s = self.rng.uniform(0.0, history.start_s)
            on_held_socket = n % 2 == 1  # let take over, as the first process there may be
            self.clock.at(when_s, self.start, f"m{n}", self._address(), 1, on_held_socket)
        self.names = history.size
        for fault in history.faults:
            self.clock.at(fault.at_s, self.befall, fault)

    def _address(self) -> str:
        self.addresses += 1
        high, low = divmod(self.addresses - 1, 256)
        return f"10.0.{high}.{low}:7"

    def speakers(self) -> list[Process]:
        return [p for p in self.processes.values() if p.speaks]

    def start(
        self, name: str, address: str, incarnation: int, take_over: bool = False, older: tuple[str, ...] = ()
    ) -> None:
        """A process starts at `address`, in place of any that was there."""
        old = self.processes.get(address)
        if old is not None:
            old.up = False
        me = MemberUpdate(name, address, incarnation, Status.ALIVE, f"z{len(name) % 3}")
        process = Process(me, take_over, older, self._core(me, take_over, older))
        self.processes[address] = process
        self.most = max(self.most, sum(p.up for p in self.processes.values()))
        self.carry(process, process.member.start(self.clock.now_s))
        self._tick_in(process, self.rng.random() * self.history.tick_s)
        if self.on_start is not None:
            self.on_start(process)

    def _core(self, me: MemberUpdate, take_over: bool, older: tuple[str, ...]) -> Member:
        rng = random.Random(self.rng.getrandbits(64))
        kind = CheckedMember if self.check else Member
        return kind(me, self.history.timing, self.seeds, take_over, rng, older)

    def _join_again(self, process: Process) -> None:
        process.asks_again = False
        if process.up:
            process.member = self._core(process.me, process.take_over, process.older)
            self.carry(process, process.member.start(self.clock.now_s))

    def carry(self, process: Process, actions: list[Action]) -> None:
        clock, source = self.clock, process.me.address
        for action in actions:
            if isinstance(action, Send):
                for delay_s in self.links.delays(source, action.address):
                    clock.at(clock.now_s + delay_s, self.arrive, action.address, action.message)
                continue
            self.told.append((clock.now_s, process, action))
            process.changed = True
            if isinstance(action, ExchangeViews):
                if self.links.connected(source, action.address):
                    clock.at(clock.now_s + NEAR_S[1], self.exchange, process, action.address)
            elif isinstance(action, NameConflict) and action.joining:
                process.asks_again = True
                clock.at(clock.now_s + self.history.timing.push_pull_s, self._join_again, process)
            elif isinstance(action, MemberChanged) and action.update.status is Status.DEAD:
                self.deaths.append((clock.now_s, process.name, action.update))

    def at(self, address: str) -> Process | None:
        """Who hears at `address`: its process, or once that has ended its successor of an upgrade."""
        process = self.processes.get(address)
        while process is not None and not process.up:
            process = self.successors.get(process.me.address)
        return process

    def arrive(self, address: str, message: Message) -> None:
        process = self.at(address)
        if process is None:
            return
        if self.clock.now_s < process.paused_until_s:
            if len(process.held) < HELD:
                process.held.append(message)
            return
        self.events += 1
        self.carry(process, process.member.receive(message, self.clock.now_s))

    def exchange(self, process: Process, address: str) -> None:
        """Both take the other's whole view, as over a stream."""
        other = self.at(address)
        now_s = self.clock.now_s
        if other is None or not process.up or max(other.paused_until_s, process.paused_until_s) > now_s:
            return
        for source, target in ((process, other), (other, process)):
            view = Push(source.member.me, tuple(source.member.view.members.values()))
            self.events += 1
            self.carry(target, target.member.receive(view, now_s))

    def _tick_in(self, process: Process, wait_s: float) -> None:
        process.due_s = self.clock.now_s + wait_s
        self.clock.at(process.due_s, self.tick, process)

    def tick(self, process: Process) -> None:
        now_s, tick_s = self.clock.now_s, self.history.tick_s
        if not process.up:
            return
        if now_s < process.paused_until_s:
            self.clock.at(process.paused_until_s, self.tick, process)
            return
        held, process.held = process.held, []
        late_s = now_s - process.due_s
        if late_s > 2 * tick_s:  # as `gossip` tells its core; what waited is read before the tick or after it
            process.member.on_stall(late_s)
        before = self.rng.random() < 0.5
        for message in held if before else ():
            self.arrive(process.me.address, message)
        self.events += 1
        self.carry(process, process.member.tick(now_s))
        for message in () if before else held:
            self.arrive(process.me.address, message)
        self._tick_in(process, tick_s)

    # Faults

    def befall(self, fault: Fault) -> None:
        links, ends_s = self.links, self.clock.now_s + fault.length_s
        match fault.kind:
            case Kind.SPLIT | Kind.ONE_WAY:
                known = list(self.processes)
                inside = frozenset(self.rng.sample(known, int(len(known) * fault.share)))
                cut = Cut(inside, fault.kind is Kind.ONE_WAY)
                links.cuts.append(cut)
                self.clock.at(ends_s, self._end_cut, cut)
            case Kind.LOSS:
                links.loss = fault.share / 2
            case Kind.TWICE:
                links.twice = fault.share / 2
            case Kind.SLOW:
                links.slowest_s = NEAR_S[1] + fault.share / 2
            case Kind.JOIN:
                self.names += 1
                self.start(f"m{self.names - 1}", self._address(), 1)
            case _:
                up = self.speakers()
                if up:
                    self._befall_one(fault, up[fault.who % len(up)], ends_s)

    def _end_cut(self, cut: Cut) -> None:
        self.links.cuts = [c for c in self.links.cuts if c is not cut]

    def _befall_one(self, fault: Fault, process: Process, ends_s: float) -> None:
        name, present = process.name, process.member.me.incarnation
        if fault.kind is Kind.PAUSE:
            process.paused_until_s = max(process.paused_until_s, ends_s)
            return
        if fault.kind not in (Kind.CLAIM, Kind.UPGRADE):
            self.unsettled.add(name)
        match fault.kind:
            case Kind.KILL:
                process.up = False
            case Kind.LEAVE:
                self.leave(process)
            case Kind.RESTART | Kind.RESTART_OLD | Kind.MOVE:
                process.up = False
                address = self._address() if fault.kind is Kind.MOVE else process.me.address
                incarnation = process.me.incarnation if fault.kind is Kind.RESTART_OLD else present + 1
                self.clock.at(ends_s, self._again, name, address, incarnation)
            case Kind.CLAIM:
                step = fault.who % 3 - 1
                self.start(name, self._address(), max(1, present + step))
            case Kind.UPGRADE:
                if self.upgrading.get(name, -1.0) >= self.clock.now_s:
                    return  # a process has one successor at a time
                self.upgrading[name] = ends_s
                address = self._address()
                self.start(name, address, present + 1, True, (process.me.address,))
                self.successors[process.me.address] = self.processes[address]
                self.clock.at(ends_s, self.leave, process)

    def _again(self, name: str, address: str, incarnation: int) -> None:
        held = self.processes.get(address)
        if held is None or not held.up:
            self.start(name, address, incarnation)

    def leave(self, process: Process) -> None:
        if process.up:
            self.carry(process, process.member.leave(self.clock.now_s))
            process.up = False

    def seeds_back(self) -> bool:
        """A seed's address that is silent gets a process again, as its operators would see to, though its
        process runs and only its name was lost to another; says whether one was started."""
        started = False
        spoken = {p.name for p in self.speakers()}
        for n, seed in enumerate(self.seeds):
            old = self.processes.get(seed)
            if old is None or not old.up or old.member.refused:
                name = old.name if old is not None and old.name not in spoken else f"s{n}"
                self.unsettled.add(name)
                self.start(name, seed, old.member.me.incarnation + 1 if old is not None else 1)
                started = True
        return started
