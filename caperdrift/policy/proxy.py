"""The state of one proxy, which all decisions read and change, and what each of them needs of it."""

import random
from collections import Counter, deque
from collections.abc import Mapping

from caperdrift.interface import Action, Log, SetTimer, Settings
from caperdrift.plan import HostSelector, Route
from caperdrift.policy.servers import Request, Server

MIN_SUBSET_SIZE = (
    4  # servers a proxy spreads over at the least: few fill their rings, enough outlive a bad third
)
OVERDUE_FACTOR = 4.0  # times the smoothed latency: an attempt that should have been answered
RETRY_BURST = 2.0  # most further attempts saved up: by hundreds of proxies together
LOG_INTERVAL_US = 100_000  # between two log lines
LIST_TIMER_TOKEN = 0  # the timer that belongs to no request


class Proxy:
    """What one proxy knows and holds. Times are readings of the caller's clock and durations, in us."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.ranked: list[Server] = []  # the same by rank: the subset is the first of them that may be used
        self.routes: Mapping[int, Route] = {}  # of the plan in force, by number
        self.pending_by_route: Counter[int] = Counter()  # requests held, by their route's number; 0: none
        self.ranked_by_selector: dict[
            HostSelector, list[Server]
        ] = {}  # as ranked, of those alone that a route names
        self.reach = float(MIN_SUBSET_SIZE)
        self.in_flight = 0  # attempts out everywhere
        self.requests: dict[str, Request] = {}
        self.timers: dict[int, Request] = {}
        self.key_queues: dict[int, deque[Request]] = {}  # in order: requests of a key, its turn first
        self.next_token = 1
        self.retry_tokens = RETRY_BURST
        self.proxy_counts_seen: deque[tuple[int, int]] = deque()  # since when, how many: falling numbers
        self.list_calls_failed = 0
        classes = settings.classes
        self.smoothed_us = [c.aim_us / 4 for c in classes]  # latency of good answers
        self.baseline_us = [c.aim_us / 4 for c in classes]  # the same where nothing queued
        self.mean_work_us = [0.0] * len(classes)  # of hints
        self.client_timeouts = [(c.give_up_us, 0) for c in classes]  # of first tries, and the votes for it
        self.offered = [0.0] * len(classes)
        self.served = [0.0] * len(classes)
        self.tenant_traffic = [t.share for t in settings.tenants]  # part of the tries of late, by tenant
        self.shed_updated_us = 0  # when that last followed an answer
        self.shed_low_value = (
            0.0  # share of the work asked for that is refused, least worth first: what is cheap
        )
        self.shed_high_value = 0.0  # the same for all else
        self.last_log_us = -LOG_INTERVAL_US

    def set_timer(self, due_us: int, request: Request) -> None:
        self.timers[self.next_token] = request
        self.actions.append(SetTimer(due_us, self.next_token))
        self.next_token += 1

    def expected_latency_us(self, request: Request) -> float:
        return self.smoothed_us[request.klass] * request.relative_work

    def longest_latency_us(self) -> float:
        """The longest smoothed latency of any class."""
        pairs = zip(self.smoothed_us, self.settings.classes, strict=True)
        return max((latency for latency, klass in pairs if not klass.dropped), default=0.0)

    def log(self, line: str) -> None:
        """Say what was seen, at most so often: a wide failure must not bury its own beginning."""
        if self.now_us - self.last_log_us >= LOG_INTERVAL_US:
            self.last_log_us = self.now_us
            self.actions.append(Log(line))
