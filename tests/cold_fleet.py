"""Simulates a fleet of balancers with cold servers and measures the work that each cold server is sent."""

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
NETWORK_DELAY_US, LIST_INTERVAL_US, QUEUE_LIMIT = 500, 1_000_000, 60
CLASSES = (
    RequestClass(500_000, 1_000_000, worth=1.0, effect=Effect.SAFE),
    RequestClass(900_000, 1_800_000, worth=4.0, effect=Effect.KEYED, scope=Scope.ZONE, window_us=2_000_000),
    RequestClass(900_000, 1_800_000, worth=3.0, effect=Effect.UNSAFE),
)
# By class: share of the requests, mean work of a request.
REQUEST_SHARES, CLASS_WORK_US = (0.6, 0.15, 0.25), (15_000, 55_000, 45_000)
MEAN_WORK_US = sum(share * mean for share, mean in zip(REQUEST_SHARES, CLASS_WORK_US, strict=True))
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
    queued: int = 0
    # Requests in the window: (time, work in units of the mean).
    recent: deque[tuple[int, float]] = field(default_factory=deque)
    sum: float = 0.0  # work in the window, in units of the mean
    worst: float = 0.0  # highest share of the bound that any window used
    received: float = 0.0  # total work while cold, in units of the mean

    def capacity(self, settings: Settings, now_us: int) -> float:
        if not self.started_us or not settings.warm_after_us:
            return 1.0
        age = min(1.0, (now_us - self.started_us) / settings.warm_after_us)
        return settings.start_capacity + (1.0 - settings.start_capacity) * age

    def restart(self, now_us: int) -> None:
        self.started_us, self.free_us, self.queued = now_us, now_us, 0

    def count(self, settings: Settings, now_us: int, work_us: float) -> None:
        """Counts the work of a request that was sent, even if the server rejects it."""
        capacity = self.capacity(settings, now_us)
        if capacity >= 1.0:
            return
        units = work_us / MEAN_WORK_US
        self.recent.append((now_us, units))
        self.sum += units
        self.received += units
        while self.recent[0][0] <= now_us - settings.fall_us:
            self.sum -= self.recent.popleft()[1]
        allowed_units = settings.fall_multiple * capacity * settings.fall_us / MEAN_WORK_US
        self.worst = max(self.worst, self.sum / (allowed_units + 2.0 * math.sqrt(allowed_units) + 2.0))


@dataclass(frozen=True)
class Scenario:
    """Parameters of one simulation run."""

    gateways: int
    servers: int
    seed: int
    load: float = 0.7  # share of the capacity of all servers when warm
    seconds: float = 10.0
    settings: Settings = SETTINGS
    cold_share: float = 0.33  # share of the servers that restart together; a tenth more are added
    hinted: bool = True
    live_weights: bool = True  # listed weights follow the servers' queues
    lull: tuple[float, float] = (0.0, 0.0)  # start and end in seconds after the servers' restart
    restart_share: float = 0.5  # share of the gateways that restart while servers are cold
    restart_together: bool = False  # these gateways restart at the same time
    first_zone_share: float = 0.33  # share of the gateways in the first zone


class Fleet:
    """Simulates gateways and servers on one clock."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.settings = replace(scenario.settings, proxies=scenario.gateways)
        self.now_us = START_US
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.names = itertools.count()
        self.hosts = [Host(n, n % 3) for n in range(scenario.servers)]
        self.zones = [
            0 if self.random.random() < scenario.first_zone_share else 1 + n % 2
            for n in range(scenario.gateways)
        ]
        self.restarts = [0] * scenario.gateways  # number of restarts of each gateway
        self.balancers = [self.balancer(index) for index in range(scenario.gateways)]
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
            ListedServer(h.number, weight=1.0 / (1.0 + h.queued) if self.scenario.live_weights else 1.0,
                         zone=h.zone, started_us=h.started_us)
            for h in self.hosts
        )  # fmt: skip
        return ServerList(ListKind.FULL, tuple(entries))

    def schedule(self, due_us: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(int(due_us), self.now_us), next(self.order), callback))

    def run(self) -> list[Host]:
        """Runs the simulation and returns the servers that started cold."""
        scenario, end_us = self.scenario, START_US + int((2.0 + self.scenario.seconds) * 1e6)
        shares = [self.random.choice((0.5, 0.7, 1.0, 1.0, 4.0)) for _ in range(scenario.gateways)]
        for index, share in enumerate(shares):
            rate = scenario.load * scenario.servers / (MEAN_WORK_US / 1e6) * share / sum(shares)
            self.schedule(START_US + self.random.expovariate(rate) * 1e6, partial(self.arrive, index, rate))
            if self.random.random() < scenario.restart_share:
                after_s = 5.0 if scenario.restart_together else 2.0 + self.random.random() * 5.0
                self.schedule(START_US + after_s * 1e6, partial(self.restart, index))
        self.schedule(START_US + LIST_INTERVAL_US, self.publish_list)
        self.schedule(START_US + 2_000_000, self.start_servers)
        while self.events and self.events[0][0] < end_us:
            self.now_us, _, callback = heapq.heappop(self.events)
            callback()
        return [host for host in self.hosts if host.started_us]

    def start_servers(self) -> None:
        """Restarts some servers and adds some new ones."""
        order = self.random.sample(self.hosts, len(self.hosts))
        if self.scenario.first_zone_share > 0.5:
            order.sort(key=attrgetter("zone"))
        for host in order[: max(1, int(self.scenario.cold_share * len(order)))]:
            host.restart(self.now_us)
            for (name, attempt), sent_to in tuple(self.in_flight.items()):
                if sent_to is host:
                    self.end(name, attempt, Outcome.RESET)
        for _ in range(max(1, len(self.hosts) // 10)):
            self.hosts.append(Host(len(self.hosts), len(self.hosts) % 3, self.now_us, self.now_us))
        self.publish_list(repeat=False)

    def publish_list(self, repeat: bool = True) -> None:
        if repeat:
            self.schedule(self.now_us + LIST_INTERVAL_US, self.publish_list)
        event = self.listed()
        for index, balancer in enumerate(self.balancers):
            self.execute(index, balancer.handle(self.now_us, event))

    def restart(self, index: int) -> None:
        """Restarts a gateway: its requests are lost, and the new process has no learned state."""
        self.restarts[index] += 1
        self.balancers[index] = self.balancer(index)

    def arrive(self, index: int, rate: float) -> None:
        after_s = (self.now_us - START_US) / 1e6 - 2.0
        burst = 2.0 if after_s % 2.3 < 0.5 else 0.8
        in_lull = self.scenario.lull[0] <= after_s < self.scenario.lull[1]
        gap_s = self.random.expovariate(rate * (0.02 if in_lull else burst))
        if in_lull:
            gap_s = min(gap_s, self.scenario.lull[1] - after_s + self.random.expovariate(rate))
        self.schedule(self.now_us + gap_s * 1e6, partial(self.arrive, index, rate))
        klass = self.random.choices(range(3), REQUEST_SHARES)[0]
        work_us = max(1_000, int(self.random.expovariate(1.0 / CLASS_WORK_US[klass])))
        name = f"{index}/{self.restarts[index]}/{next(self.names)}"
        self.work_us[name] = work_us
        hint_us = int(work_us * self.random.uniform(0.8, 1.25)) if self.scenario.hinted else None
        self.deliver(name, RequestArrived(name, klass, CLASSES[klass].give_up_us, work_us=hint_us))

    def deliver(self, name: str, event: RequestArrived | AttemptEnded | TimerFired) -> None:
        index, restart_count, *_ = (int(field) for field in name.split("/"))
        if self.restarts[index] == restart_count:
            self.execute(index, self.balancers[index].handle(self.now_us, event))

    def execute(self, index: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, SetTimer):
                name = f"{index}/{self.restarts[index]}"
                self.schedule(action.due_us, partial(self.deliver, name, TimerFired(action.token)))
            elif isinstance(action, Cancel):
                self.schedule(
                    self.now_us, partial(self.end, action.request, action.attempt, Outcome.CANCELLED)
                )
            else:
                self.refused += isinstance(action, Fail | Refuse)

    def send(self, action: Send) -> None:
        name, host, settings = action.request, self.hosts[action.server], self.settings
        attempt, work_us = self.attempts[name], self.work_us[name]
        self.attempts[name] += 1
        self.in_flight[name, attempt], self.sent_us[name, attempt] = host, self.now_us
        host.count(settings, self.now_us, work_us)
        self.schedule(self.now_us + action.timeout_us, partial(self.end, name, attempt, Outcome.TIMEOUT))
        if host.queued >= QUEUE_LIMIT:
            self.schedule(self.now_us + 2 * NETWORK_DELAY_US, partial(self.end, name, attempt, Outcome.FULL))
            return
        host.queued += 1
        start_us = max(host.free_us, self.now_us + NETWORK_DELAY_US)
        host.free_us = start_us + work_us / host.capacity(settings, self.now_us)
        self.schedule(host.free_us, partial(self.finish, host, host.started_us))
        self.schedule(host.free_us + NETWORK_DELAY_US, partial(self.end, name, attempt, Outcome.OK))

    def finish(self, host: Host, started_us: int) -> None:
        if host.started_us == started_us:
            host.queued -= 1

    def end(self, name: str, attempt: int, outcome: Outcome) -> None:
        host = self.in_flight.pop((name, attempt), None)
        if host is not None:
            latency_us = self.now_us - self.sent_us.pop((name, attempt))
            self.served += outcome is Outcome.OK
            event = AttemptEnded(name, attempt, host.number, outcome, latency_us, outcome is Outcome.OK)
            self.deliver(name, event)
