"""The state of one proxy, shared by all decision functions."""

import random
from collections import Counter, deque
from collections.abc import Mapping

from caperdrift.interface import Action, Log, SetTimer, Settings
from caperdrift.plan import HostSelector, Route
from caperdrift.policy.servers import Request, Server

# Minimum number of servers that a proxy uses: few enough that each gets the outcomes to fill its breaker's
# ring, enough that some are left when a third of them fail.
MIN_SUBSET_SIZE = 4
OVERDUE_FACTOR = 4.0  # an attempt is overdue after this multiple of the smoothed latency
RETRY_BURST = 2.0  # size of the token bucket for retries; small, because hundreds of proxies have one each
LOG_INTERVAL_US = 100_000  # minimum time between two log lines
LIST_TIMER_TOKEN = 0  # token of the timer for list calls; the timers of requests count from 1


class Proxy:
    """State of one proxy. All times are clock readings or durations in microseconds."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.ranked: list[Server] = []  # servers by rank: the subset is the first usable ones
        self.routes: Mapping[int, Route] = {}  # of the plan in force, by number
        self.pending_by_route: Counter[int] = Counter()  # pending requests by number of their route; 0: none
        # As `ranked`, for the servers of one target; filled on demand.
        self.ranked_by_selector: dict[HostSelector, list[Server]] = {}
        self.reach = float(MIN_SUBSET_SIZE)  # number of servers in the subset
        self.in_flight = 0  # attempts at all servers
        self.requests: dict[str, Request] = {}
        self.timers: dict[int, Request] = {}  # by token
        self.key_queues: dict[int, deque[Request]] = {}  # in-order classes: pending requests of each key
        self.next_token = 1
        self.retry_tokens = RETRY_BURST
        self.proxy_counts_seen: deque[tuple[int, int]] = deque()  # (since when, count), counts decreasing
        self.list_calls_failed = 0  # in a row
        classes = settings.classes
        self.smoothed_us = [c.aim_us / 4 for c in classes]  # smoothed latency of successes
        self.baseline_us = [c.aim_us / 4 for c in classes]  # latency where nothing queues
        self.mean_work_us = [0.0] * len(classes)  # of the hints
        self.client_timeouts = [(c.give_up_us, 0) for c in classes]  # of first tries: (usual, votes)
        self.offered = [0.0] * len(classes)  # first tries, older ones counting less
        self.served = [0.0] * len(classes)  # of these, answered within the target latency
        self.tenant_traffic = [t.share for t in settings.tenants]  # share of recent requests, by tenant
        self.shed_updated_us = 0  # when the two shares below were last adjusted
        # Share of the offered work to shed, lowest gain first: applies to classes of low value.
        self.shed_low_value = 0.0
        self.shed_high_value = 0.0  # the same for all other classes
        self.last_log_us = -LOG_INTERVAL_US

    def set_timer(self, due_us: int, request: Request) -> None:
        """Set a timer that belongs to a request."""
        self.timers[self.next_token] = request
        self.actions.append(SetTimer(due_us, self.next_token))
        self.next_token += 1

    def expected_latency_us(self, request: Request) -> float:
        """Smoothed latency of the request's class, scaled by the request's work."""
        return self.smoothed_us[request.klass] * request.relative_work

    def longest_latency_us(self) -> float:
        """The longest smoothed latency of all classes in use."""
        pairs = zip(self.smoothed_us, self.settings.classes, strict=True)
        return max((latency for latency, klass in pairs if not klass.dropped), default=0.0)

    def log(self, line: str) -> None:
        """Log a line, at most one per LOG_INTERVAL_US.

        Without this limit, the lines of a wide failure would hide how it began.
        """
        if self.now_us - self.last_log_us >= LOG_INTERVAL_US:
            self.last_log_us = self.now_us
            self.actions.append(Log(line))
