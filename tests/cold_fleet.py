"""Simulation of many balancers and of cold servers: measures the work that all proxies send to each."""

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
PARTS, MEANS_US = (0.6, 0.15, 0.25), (15_000, 55_000, 45_000)  # by class: share of requests, mean work
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
    """A server with one core that runs one request at a time; counts the work that it is sent while cold."""

    number: int
    zone: int
    started_us: int = 0
    free_us: float = 0.0
    held: int = 0
    recent: deque[tuple[int, float]] = field(default_factory=deque)  # in the window: when, units of mean work
    sum: float = 0.0  # units in the window
    worst: float = 0.0  # greatest share of the bound that a window used
    received: float = 0.0  # units in total while cold

    def capacity(self, settings: Settings, now_us: int) -> float:
        if not self.started_us or not settings.warm_after_us:
            return 1.0
        age = min(1.0, (now_us - self.started_us) / settings.warm_after_us)
        return settings.start_capacity + (1.0 - settings.start_capacity) * age

    def restart(self, now_us: int) -> None:
        self.started_us, self.free_us, self.held = now_us, now_us, 0

    def count(self, settings: Settings, now_us: int, work_us: float) -> None:
        """Count a request that was sent, even if it is rejected."""
        capacity = self.capacity(settings, now_us)
        if capacity >= 1.0:
            return
        units = work_us / MEAN_US
        self.recent.append((now_us, units))
        self.sum += units
        self.received += units
        while self.recent[0][0] <= now_us - settings.fall_us:
            self.sum -= self.recent.popleft()[1]
        whole = settings.fall_multiple * capacity * settings.fall_us / MEAN_US
        self.worst = max(self.worst, self.sum / (whole + 2.0 * math.sqrt(whole) + 2.0))


@dataclass(frozen=True)
class World:
    """Parameters of one run."""

    gateways: int
    servers: int
    seed: int
    load: float = 0.7  # share of the capacity of all servers when warm
    seconds: float = 10.0
    settings: Settings = SETTINGS
    cold: float = 0.33  # share of the servers that restart at once; a tenth more join
    hinted: bool = True
    live: bool = True  # listed weights follow the load
    quiet: tuple[float, float] = (0.0, 0.0)  # from and to, in seconds after the start: hardly any requests
    restarted: float = 0.5  # share of the gateways that restart while servers are cold
    together: bool = False  # these restart all at once
    crowded: float = 0.33  # share of the gateways in the first zone


class Fleet:
    """Gateways and servers on one simulated clock."""

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
        self.attempts: Counter[str] = Counter()
        self.in_flight: dict[tuple[str, int], Host] = {}
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

    def at(self, due_us: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(int(due_us), self.now_us), next(self.order), callback))

    def run(self) -> list[Host]:
        """Run the simulation; returns the servers that started cold."""
        world, end_us = self.world, START_US + int((2.0 + self.world.seconds) * 1e6)
        shares = [self.random.choice((0.5, 0.7, 1.0, 1.0, 4.0)) for _ in range(world.gateways)]
        for index, share in enumerate(shares):
            rate = world.load * world.servers / (MEAN_US / 1e6) * share / sum(shares)
            self.at(START_US + self.random.expovariate(rate) * 1e6, partial(self.arrive, index, rate))
            if self.random.random() < world.restarted:
                after_s = 5.0 if world.together else 2.0 + self.random.random() * 5.0
                self.at(START_US + after_s * 1e6, partial(self.restart, index))
        self.at(START_US + LIST_GAP_US, self.publish_list)
        self.at(START_US + 2_000_000, self.start_some)
        while self.events and self.events[0][0] < end_us:
            self.now_us, _, callback = heapq.heappop(self.events)
            callback()
        return [host for host in self.hosts if host.started_us]

    def start_some(self) -> None:
        """Restart some servers and add some new ones."""
        order = self.random.sample(self.hosts, len(self.hosts))
        if self.world.crowded > 0.5:
            order.sort(key=attrgetter("zone"))
        for host in order[: max(1, int(self.world.cold * len(order)))]:
            host.restart(self.now_us)
            for (name, attempt), at in tuple(self.in_flight.items()):
                if at is host:
                    self.end(name, attempt, Outcome.RESET)
        for _ in range(max(1, len(self.hosts) // 10)):
            self.hosts.append(Host(len(self.hosts), len(self.hosts) % 3, self.now_us, self.now_us))
        self.publish_list(again=False)

    def publish_list(self, again: bool = True) -> None:
        if again:
            self.at(self.now_us + LIST_GAP_US, self.publish_list)
        event = self.listed()
        for index, balancer in enumerate(self.balancers):
            self.carry_out(index, balancer.handle(self.now_us, event))

    def restart(self, index: int) -> None:
        """Kill a gateway's process: its requests are lost, and the next process has learned nothing."""
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
        self.deliver(name, RequestArrived(name, klass, CLASSES[klass].give_up_us, work_us=hint_us))

    def deliver(self, name: str, event: RequestArrived | AttemptEnded | TimerFired) -> None:
        index, life, *_ = (int(part) for part in name.split("/"))
        if self.lives[index] == life:
            self.carry_out(index, self.balancers[index].handle(self.now_us, event))

    def carry_out(self, index: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, SetTimer):
                name = f"{index}/{self.lives[index]}"
                self.at(action.due_us, partial(self.deliver, name, TimerFired(action.token)))
            elif isinstance(action, Cancel):
                self.at(self.now_us, partial(self.end, action.request, action.attempt, Outcome.CANCELLED))
            else:
                self.refused += isinstance(action, Fail | Refuse)

    def send(self, action: Send) -> None:
        name, host, settings = action.request, self.hosts[action.server], self.settings
        attempt, work_us = self.attempts[name], self.work_us[name]
        self.attempts[name] += 1
        self.in_flight[name, attempt], self.sent_us[name, attempt] = host, self.now_us
        host.count(settings, self.now_us, work_us)
        self.at(self.now_us + action.timeout_us, partial(self.end, name, attempt, Outcome.TIMEOUT))
        if host.held >= QUEUE:
            self.at(self.now_us + 2 * HOP_US, partial(self.end, name, attempt, Outcome.FULL))
            return
        host.held += 1
        start_us = max(host.free_us, self.now_us + HOP_US)
        host.free_us = start_us + work_us / host.capacity(settings, self.now_us)
        self.at(host.free_us, partial(self.finish, host, host.started_us))
        self.at(host.free_us + HOP_US, partial(self.end, name, attempt, Outcome.OK))

    def finish(self, host: Host, started_us: int) -> None:
        if host.started_us == started_us:
            host.held -= 1

    def end(self, name: str, attempt: int, outcome: Outcome) -> None:
        host = self.in_flight.pop((name, attempt), None)
        if host is not None:
            latency_us = self.now_us - self.sent_us.pop((name, attempt))
            self.served += outcome is Outcome.OK
            event = AttemptEnded(name, attempt, host.number, outcome, latency_us, outcome is Outcome.OK)
            self.deliver(name, event)
