"""What there is round one balancer: hosts, requests, and a queue of what is to happen."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappush
from random import Random

from caperdrift.interface import Event, ListedServer, RequestArrived, Settings

START_US = 50_000_000
START_TAKES_US = 5_000  # of a host, before anyone can hear of it
SECOND_US = 1_000_000
BASE_US = 15_000  # work of a usual request
MOODS = ("failing", "one class fails", "silent", "slow", "full", "resets", "dead")
CALM, BUSY, JAM = 0.1, 0.4, 2.0  # how much longer each request in hand makes the next
MOOD_US = 2 * SECOND_US  # mean length of a bad spell
MEMBERSHIP_US = 300_000  # mean time between two changes of the fleet
LABELS = 5  # of which each host has one
PACES_US = (20_000, 60_000, 200_000)  # mean time between two requests for each host


@dataclass(slots=True, eq=False)
class Host:
    entry: ListedServer  # as it is, which the balancer hears of later
    mood: str = "fine"
    bad_class: int = 0
    out: int = 0


@dataclass(slots=True, eq=False)
class Shot:
    """One attempt as the world sees it."""

    host: int
    ended: bool = False
    sent_us: int = 0
    streams: bool = False


@dataclass(slots=True, eq=False)
class Asked:
    """A client's request; a final answer or the client's leaving closes it."""

    event: RequestArrived
    deadline_us: int
    body_ends_us: int = 0  # 0: it came whole
    shots: list[Shot] = field(default_factory=list)
    closed: bool = False


class Base:
    """What there is round one balancer, and its time in whole microseconds."""

    def __init__(self, rng: Random, settings: Settings) -> None:
        self.rng = rng
        self.settings = settings
        self.now_us = START_US
        self.queue: list[tuple[int, int, Callable[[], Event | None]]] = []
        self.planned = 0  # breaks ties of time
        self.hosts: dict[int, Host] = {}
        self.changed: set[int] = set()  # since the last list
        self.watched = False
        self.asked: dict[str, Asked] = {}
        self.names = 0
        self.next_host = 1
        self.load = CALM  # on the hosts, by all proxies
        self.pace_us = rng.choice(PACES_US)
        self.live_weights = rng.random() < 0.5
        self.usual = rng.choice((1, 4, 12, 30))  # hosts in the fleet

    def plan(self, wait_us: float, happen: Callable[[], Event | None]) -> None:
        self.planned += 1
        heappush(self.queue, (self.now_us + max(0, int(wait_us)), self.planned, happen))

    def later(self, mean_us: float) -> int:
        return 1 + int(self.rng.expovariate(1.0) * mean_us)
