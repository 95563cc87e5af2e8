"""Many balancers on one simulated clock, and servers that start: what these get from all together."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from operator import attrgetter

from caperdrift.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Fail,
    ListedServer,
    ListKind,
    Outcome,
    Prices,
    Refuse,
    RequestArrived,
    RequestClass,
    Scope,
    Send,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
)
from caperdrift.policy.balancer import Balancer

START_US = 50_000_000
HOP_US, LIST_GAP_US, QUEUE = 500, 1_000_000, 60
CLASSES = (
    RequestClass(500_000, 1_000_000, worth=1.0, effect=Effect.SAFE),
    RequestClass(900_000, 1_800_000, worth=4.0, effect=Effect.KEYED, scope=Scope.ZONE, window_us=2_000_000),
    RequestClass(900_000, 1_800_000, worth=3.0, effect=Effect.UNSAFE),
)
PARTS, MEANS_US = (0.6, 0.15, 0.25), (15_000, 55_000, 45_000)  # of the requests, and their mean work
MEAN_US = sum(part * mean for part, mean in zip(PARTS, MEANS_US, strict=True))
SETTINGS = Settings(
    CLASSES,
    second_copies=True,
    prices=Prices(cross_zone=0.01),
    start_capacity=0.33,
    warm_after_us=9_000_000,
    fall_multiple=2.5,
    fall_us=1_500_000,
)


@dataclass(slots=True)
class Host:
    """One server: a core that does one request after the other, and an account of what it was sent cold."""

    number: int
    zone: int
    started_us: int = 0
    free_us: float = 0.0
    held: int = 0
    came: deque[tuple[int, float]] = field(
        default_factory=deque
    )  # in a window: when, and requests of mean work
    sum: float = 0.0  # of these
    worst: float = 0.0  # greatest part of the bound that a window held
    got: float = 0.0  # requests of mean work while cold

    def capacity(self, settings: Settings, now_us: int) -> float:
        if not self.started_us or not settings.warm_after_us:
            return 1.0
        age = min(1.0, (now_us - self.started_us) / settings.warm_after_us)
        return settings.start_capacity + (1.0 - settings.start_capacity) * age

    def restart(self, now_us: int) -> None:
        self.started_us, self.free_us, self.held = now_us, now_us, 0

    def count(self, settings: Settings, now_us: int, work_us: float) -> None:
        """All that is sent counts, also what is turned away."""
        capacity = self.capacity(settings, now_us)
        if capacity >= 1.0:
            return
        units = work_us / MEAN_US
        self.came.append((now_us, units))
        self.sum += units
        self.got += units
        while self.came[0][0] <= now_us - settings.fall_us:
            self.sum -= self.came.popleft()[1]
        whole = settings.fall_multiple * capacity * settings.fall_us / MEAN_US
        self.worst = max(self.worst, self.sum / (whole + 2.0 * math.sqrt(whole) + 2.0))


@dataclass(frozen=True)
class World:
    """What is drawn for one run; loads are shares of what all warm servers can do."""

    gateways: int
    servers: int
    seed: int
    load: float = 0.7
    seconds: float = 10.0
    settings: Settings = SETTINGS
    cold: float = 0.33  # of the servers restart at once, and a tenth more join
    hinted: bool = True
    live: bool = True  # listed weights tell of load
    quiet: tuple[float, float] = (0.0, 0.0)  # seconds after the start in which next to nothing comes
    restarted: float = 0.5  # of the gateways, at some moment of the ramp
    together: bool = False  # these all at once
    crowded: float = 0.33  # of the gateways are in the first zone


class Fleet:
    def __init__(self, world: World) -> None:
        self.world = world
        self.random = random.Random(world.seed)
        self.settings = replace(world.settings, proxies=world.gateways)
        self.now_us = START_US
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.names = itertools.count()
        self.hosts = [Host(n, n % 3) for n in range(world.servers)]
        self.zones = [0 if self.random.random() < world.crowded else 1 + n % 2 for n in range(world.gateways)]
        self.lives = [0] * world.gateways  # how often each gateway was restarted
        self.balancers = [self.balancer(index) for index in range(world.gateways)]
        self.work_us: dict[str, int] = {}
        self.shots: Counter[str] = Counter()
        self.out: dict[tuple[str, int], Host] = {}
        self.sent_us: dict[tuple[str, int], int] = {}
        self.served = self.refused = 0

    def balancer(self, index: int) -> Balancer:
        made = Balancer(
            replace(self.settings, proxy=index, zone=self.zones[index]), self.random.randrange(2**32)
        )
        made.handle(self.now_us, self.listed())
        return made

    def listed(self) -> ServerList:
        entries = (
            ListedServer(h.number, weight=1.0 / (1.0 + h.held) if self.world.live else 1.0, zone=h.zone,
                         started_us=h.started_us)
            for h in self.hosts
        )  # fmt: skip
        return ServerList(ListKind.FULL, tuple(entries))

    def at(self, due_us: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(int(due_us), self.now_us), next(self.order), what))

    def run(self) -> list[Host]:
        """Play it; returns the servers that started."""
        world, end_us = self.world, START_US + int((2.0 + self.world.seconds) * 1e6)
        shares = [self.random.choice((0.5, 0.7, 1.0, 1.0, 4.0)) for _ in range(world.gateways)]
        for index, share in enumerate(shares):
            rate = world.load * world.servers / (MEAN_US / 1e6) * share / sum(shares)
            self.at(START_US + self.random.expovariate(rate) * 1e6, partial(self.arrive, index, rate))
            if self.random.random() < world.restarted:
                after_s = 5.0 if world.together else 2.0 + self.random.random() * 5.0
                self.at(START_US + after_s * 1e6, partial(self.restart, index))
        self.at(START_US + LIST_GAP_US, self.tell)
        self.at(START_US + 2_000_000, self.start_some)
        while self.events and self.events[0][0] < end_us:
            self.now_us, _, what = heapq.heappop(self.events)
            what()
        return [host for host in self.hosts if host.started_us]

    def start_some(self) -> None:
        """Some servers come back cold, and some new ones join."""
        order = self.random.sample(self.hosts, len(self.hosts))
        if self.world.crowded > 0.5:
            order.sort(key=attrgetter("zone"))
        for host in order[: max(1, int(self.world.cold * len(order)))]:
            host.restart(self.now_us)
            for (name, shot), at in tuple(self.out.items()):
                if at is host:
                    self.end(name, shot, Outcome.RESET)
        for _ in range(max(1, len(self.hosts) // 10)):
            self.hosts.append(Host(len(self.hosts), len(self.hosts) % 3, self.now_us, self.now_us))
        self.tell(again=False)

    def tell(self, again: bool = True) -> None:
        if again:
            self.at(self.now_us + LIST_GAP_US, self.tell)
        event = self.listed()
        for index, balancer in enumerate(self.balancers):
            self.do(index, balancer.handle(self.now_us, event))

    def restart(self, index: int) -> None:
        """A process is killed: what it held is gone, and the next knows nothing."""
        self.lives[index] += 1
        self.balancers[index] = self.balancer(index)

    def arrive(self, index: int, rate: float) -> None:
        after_s = (self.now_us - START_US) / 1e6 - 2.0
        burst = 2.0 if after_s % 2.3 < 0.5 else 0.8
        quiet = self.world.quiet[0] <= after_s < self.world.quiet[1]
        gap_s = self.random.expovariate(rate * (0.02 if quiet else burst))
        if quiet:
            gap_s = min(gap_s, self.world.quiet[1] - after_s + self.random.expovariate(rate))
        self.at(self.now_us + gap_s * 1e6, partial(self.arrive, index, rate))
        klass = self.random.choices(range(3), PARTS)[0]
        work_us = max(1_000, int(self.random.expovariate(1.0 / MEANS_US[klass])))
        name = f"{index}/{self.lives[index]}/{next(self.names)}"
        self.work_us[name] = work_us
        hint_us = int(work_us * self.random.uniform(0.8, 1.25)) if self.world.hinted else None
        self.tell_one(name, RequestArrived(name, klass, CLASSES[klass].give_up_us, work_us=hint_us))

    def tell_one(self, name: str, event: RequestArrived | AttemptEnded | TimerFired) -> None:
        index, life, *_ = (int(part) for part in name.split("/"))
        if self.lives[index] == life:
            self.do(index, self.balancers[index].handle(self.now_us, event))

    def do(self, index: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, SetTimer):
                name = f"{index}/{self.lives[index]}"
                self.at(action.due_us, partial(self.tell_one, name, TimerFired(action.token)))
            elif isinstance(action, Cancel):
                self.at(self.now_us, partial(self.end, action.request, action.attempt, Outcome.CANCELLED))
            else:
                self.refused += isinstance(action, Fail | Refuse)

    def send(self, action: Send) -> None:
        name, host, settings = action.request, self.hosts[action.server], self.settings
        shot, work_us = self.shots[name], self.work_us[name]
        self.shots[name] += 1
        self.out[name, shot], self.sent_us[name, shot] = host, self.now_us
        host.count(settings, self.now_us, work_us)
        self.at(self.now_us + action.timeout_us, partial(self.end, name, shot, Outcome.TIMEOUT))
        if host.held >= QUEUE:
            self.at(self.now_us + 2 * HOP_US, partial(self.end, name, shot, Outcome.FULL))
            return
        host.held += 1
        begins_us = max(host.free_us, self.now_us + HOP_US)
        host.free_us = begins_us + work_us / host.capacity(settings, self.now_us)
        self.at(host.free_us, partial(self.finish, host, host.started_us))
        self.at(host.free_us + HOP_US, partial(self.end, name, shot, Outcome.OK))

    def finish(self, host: Host, started_us: int) -> None:
        if host.started_us == started_us:
            host.held -= 1

    def end(self, name: str, shot: int, outcome: Outcome) -> None:
        host = self.out.pop((name, shot), None)
        if host is not None:
            latency_us = self.now_us - self.sent_us.pop((name, shot))
            self.served += outcome is Outcome.OK
            event = AttemptEnded(name, shot, host.number, outcome, latency_us, outcome is Outcome.OK)
            self.tell_one(name, event)
