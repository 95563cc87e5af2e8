"""What there is round one balancer: hosts, requests, and a queue of what is to happen."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappush
from random import Random

from caperdrift.interface import Event, ListedServer, RequestArrived, Settings

START_US = 50_000_000
HOST_START_US = 5_000  # of a host, before anyone can hear of it
SECOND_US = 1_000_000
BASE_WORK_US = 15_000  # work of a usual request
UNHEALTHY_STATES = ("failing", "one class fails", "silent", "slow", "full", "resets", "dead")
LIGHT_LOAD, HEAVY_LOAD, OVERLOAD = 0.1, 0.4, 2.0  # how much longer each request in hand makes the next
MEAN_UNHEALTHY_US = 2 * SECOND_US  # mean length of a bad spell
MEAN_FLEET_CHANGE_US = 300_000  # mean time between two changes of the fleet
LABEL_COUNT = 5  # of which each host has one
ARRIVAL_GAPS_US = (20_000, 60_000, 200_000)  # mean time between two requests for each host


@dataclass(slots=True, eq=False)
class Host:
    entry: ListedServer  # as it is, which the balancer hears of later
    health: str = "fine"
    failing_class: int = 0
    in_flight: int = 0


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt as the world sees it."""

    host: int
    ended: bool = False
    sent_us: int = 0
    streaming: bool = False


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request; a final answer or the client's leaving closes it."""

    event: RequestArrived
    deadline_us: int
    body_ends_us: int = 0  # 0: it came whole
    attempts: list[AttemptState] = field(default_factory=list)
    closed: bool = False


class WorldState:
    """What there is round one balancer, and its time in whole microseconds."""

    def __init__(self, rng: Random, settings: Settings) -> None:
        self.rng = rng
        self.settings = settings
        self.now_us = START_US
        self.queue: list[tuple[int, int, Callable[[], Event | None]]] = []
        self.scheduled_count = 0  # breaks ties of time
        self.hosts: dict[int, Host] = {}
        self.changed_hosts: set[int] = set()  # since the last list
        self.watching = False
        self.requests: dict[str, ClientRequest] = {}
        self.request_count = 0
        self.next_host = 1
        self.load_factor = LIGHT_LOAD  # on the hosts, by all proxies
        self.arrival_gap_us = rng.choice(ARRIVAL_GAPS_US)
        self.live_weights = rng.random() < 0.5
        self.usual_host_count = rng.choice((1, 4, 12, 30))  # hosts in the fleet

    def schedule(self, wait_us: float, happen: Callable[[], Event | None]) -> None:
        self.scheduled_count += 1
        heappush(self.queue, (self.now_us + max(0, int(wait_us)), self.scheduled_count, happen))

    def draw_delay_us(self, mean_us: float) -> int:
        return 1 + int(self.rng.expovariate(1.0) * mean_us)
