"""Routes: no server beyond a request's route, no more than its caps, and shares within chance."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from caperdrift.checks.model import ReferenceModel, RequestRecord
from caperdrift.interface import ListedServer, RequestArrived, Send
from caperdrift.plan import HostSelector, Route
from caperdrift.policy.balancer import Balancer
from caperdrift.policy.proxy_count import proxy_count

MAX_DEVIATIONS = 6.0  # standard deviations that the draws of a target may be off its share
FIRST_CHECK_DRAWS = 32  # draws; the next look is at twice as many: many looks would find what is chance


@dataclass(slots=True, eq=False)
class TargetDraws:
    """Targets drawn for one route, as long as it stays as it is."""

    route: Route
    drawn: Counter[HostSelector] = field(default_factory=Counter)
    next_check_at: int = FIRST_CHECK_DRAWS


class RouteChecks(ReferenceModel):
    def __init__(
        self, balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
    ) -> None:
        super().__init__(balancer, seed, on_broken, number)
        self.draws: dict[int, TargetDraws] = {}  # by the route's number

    def check_arrival(self, event: RequestArrived) -> None:
        """A request that is new: its place under the limit, and the target that it is meant for."""
        route, request = self.requests[event.request].route, self.balancer.requests.get(event.request)
        if route is None:
            return
        if request is None:
            # Answered at once, perhaps for want of servers of the target: the rest of the draws tell nothing.
            self.draws.pop(event.route, None)
            return
        if route.limit:
            held, part = (
                self.pending_by_route[event.route],
                math.ceil(route.limit / proxy_count(self.balancer)),
            )
            self.require(held <= part, f"route {event.route} has {held} at once, of {part}")
        if route.targets:
            draws = self.draws.get(event.route)
            if draws is None or draws.route != route:
                draws = self.draws[event.route] = TargetDraws(route)
            draws.drawn[request.targets[0]] += 1
            if draws.drawn.total() >= draws.next_check_at:
                draws.next_check_at *= 2
                self.check_shares(event.route, draws)

    def check_shares(self, number: int, draws: TargetDraws) -> None:
        count = draws.drawn.total()
        shares: Counter[HostSelector] = Counter()
        for target in draws.route.targets:
            shares[target.hosts] += target.share  # type: ignore[assignment]
        for hosts, share in shares.items():
            drawn, what = draws.drawn[hosts], f"of {count} requests, not {share}"
            bound = MAX_DEVIATIONS * math.sqrt(max(0.0, share * (1.0 - share)) * count) + 1.0
            within = abs(drawn - share * count) <= bound
            self.require(within, f"route {number} drew a target for {drawn} {what}")

    def check_routed(self, now_us: int, action: Send, owed: RequestRecord, entry: ListedServer) -> None:
        """A server, listed like this, for a request that is about to be sent to it."""
        route, name = owed.route, action.request
        if route is None:
            return
        if route.targets:
            named = any(matches(target.hosts, entry) for target in route.targets)
            self.require(named, f"{name} sent to server {action.server}, which its route does not name")
            greatest = max(target.share for target in route.targets)
            meant = {t.hosts for t in route.targets if t.share == greatest}
            meant.add(self.balancer.requests[name].targets[0])
            named = any(matches(hosts, entry) for hosts in meant)
            self.require(
                named, f"{name} sent to server {action.server} of a target that it was not meant for"
            )
        if route.deadline_us and owed.started_us and action.timeout_us > 1:
            late_us = now_us + action.timeout_us - owed.started_us - route.deadline_us
            self.require(late_us <= 0, f"{name} sent until {late_us} us after its route's deadline")


def matches(hosts: HostSelector, entry: ListedServer) -> bool:
    """Whether a server is one of `hosts`."""
    wanted = (hosts.kinds, entry.kind), (hosts.groups, entry.group), (hosts.zones, entry.zone)
    if any(numbers and number not in numbers for numbers, number in wanted):
        return False
    if hosts.labels and not hosts.labels & entry.labels:
        return False
    return not any(matches(others, entry) for others in hosts.none_of)
