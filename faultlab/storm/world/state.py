"""State of the simulated environment of one balancer: hosts, requests and a queue of scheduled events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappush
from random import Random

from caperdrift.interface import Event, ListedServer, RequestArrived, Settings

START_US = 50_000_000  # simulated time at the start
HOST_START_US = 5_000  # between a host's start and its first listing
SECOND_US = 1_000_000
BASE_WORK_US = 15_000  # median work of a request
UNHEALTHY_STATES = ("failing", "one class fails", "silent", "slow", "full", "resets", "dead")
LIGHT_LOAD, HEAVY_LOAD, OVERLOAD = 0.1, 0.4, 2.0  # relative latency added per attempt in flight
MEAN_UNHEALTHY_US = 2 * SECOND_US  # mean time until unhealthy hosts recover
MEAN_FLEET_CHANGE_US = 300_000  # mean time between two fleet changes
LABEL_COUNT = 5  # each host has one of them
ARRIVAL_GAPS_US = (20_000, 60_000, 200_000)  # mean time between two requests, times the number of hosts


@dataclass(slots=True, eq=False)
class Host:
    """One simulated host and how it behaves."""

    entry: ListedServer  # current state; the balancer learns of it from a later list
    health: str = "fine"  # or one of UNHEALTHY_STATES
    failing_class: int = 0  # class that gets errors while the host is unhealthy
    in_flight: int = 0  # attempts that have not ended


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt at a host."""

    host: int
    ended: bool = False
    sent_us: int = 0
    streaming: bool = False  # its answer is, or will be, streamed to the client


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request; a final answer or the client's disconnection closes it."""

    event: RequestArrived
    deadline_us: int
    body_ends_us: int = 0  # when the last byte of the body arrives; 0: complete at arrival
    attempts: list[AttemptState] = field(default_factory=list)
    closed: bool = False


class WorldState:
    """State of the simulated environment, and its clock in whole microseconds."""

    def __init__(self, rng: Random, settings: Settings) -> None:
        self.rng = rng
        self.settings = settings
        self.now_us = START_US
        self.queue: list[tuple[int, int, Callable[[], Event | None]]] = []
        self.scheduled_count = 0  # orders events of the same time
        self.hosts: dict[int, Host] = {}
        self.changed_hosts: set[int] = set()  # hosts changed since the last list
        self.watching = False
        self.requests: dict[str, ClientRequest] = {}
        self.request_count = 0
        self.next_host = 1
        self.load_factor = LIGHT_LOAD  # load on the hosts, from all proxies
        self.arrival_gap_us = rng.choice(ARRIVAL_GAPS_US)
        self.live_weights = rng.random() < 0.5
        self.usual_host_count = rng.choice((1, 4, 12, 30))  # at the start; more join while there are fewer

    def schedule(self, wait_us: float, callback: Callable[[], Event | None]) -> None:
        """Call `callback` after `wait_us`; it returns an event for the balancer, or None."""
        self.scheduled_count += 1
        heappush(self.queue, (self.now_us + max(0, int(wait_us)), self.scheduled_count, callback))

    def draw_delay_us(self, mean_us: float) -> int:
        """A random delay, exponentially distributed; at least 1 us."""
        return 1 + int(self.rng.expovariate(1.0) * mean_us)
