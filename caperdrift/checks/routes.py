"""Checks of routes: servers, limits and deadlines are respected, and targets are drawn by their shares."""

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

MAX_DEVIATIONS = 6.0  # standard deviations by which the draws of a target may differ from its share
# Number of draws at the first check of the shares. Each further check is at twice as many, because frequent
# checks would report a deviation by chance.
FIRST_CHECK_DRAWS = 32


@dataclass(slots=True, eq=False)
class TargetDraws:
    """Targets drawn for one route, as long as the route does not change."""

    route: Route
    drawn: Counter[HostSelector] = field(default_factory=Counter)
    next_check_at: int = FIRST_CHECK_DRAWS  # number of draws


class RouteChecks(ReferenceModel):
    """Checks of requests with a route."""

    def __init__(
        self,
        balancer: Balancer,
        seed: int,
        on_broken: Callable[[str], None] | None = None,
        event_number: int = 0,
    ) -> None:
        super().__init__(balancer, seed, on_broken, event_number)
        self.draws: dict[int, TargetDraws] = {}  # by number of the route

    def check_arrival(self, event: RequestArrived) -> None:
        """Check a new request: the limit of its route and the target drawn for it."""
        route, request = self.requests[event.request].route, self.balancer.requests.get(event.request)
        if route is None:
            return
        if request is None:
            # Answered at once, perhaps because the target has no usable servers: without its draw, the others
            # are not representative.
            self.draws.pop(event.route, None)
            return
        if route.limit:
            pending, part = (
                self.pending_by_route[event.route],
                math.ceil(route.limit / proxy_count(self.balancer)),
            )
            self.require(
                pending <= part, f"route {event.route} has {pending} pending requests, over its part, {part}"
            )
        if route.targets:
            draws = self.draws.get(event.route)
            if draws is None or draws.route != route:
                draws = self.draws[event.route] = TargetDraws(route)
            draws.drawn[request.targets[0]] += 1
            if draws.drawn.total() >= draws.next_check_at:
                draws.next_check_at *= 2
                self.check_shares(event.route, draws)

    def check_shares(self, number: int, draws: TargetDraws) -> None:
        """Check that the targets of a route were drawn about as often as their shares say."""
        count = draws.drawn.total()
        shares: Counter[HostSelector] = Counter()
        for target in draws.route.targets:
            shares[target.hosts] += target.share  # type: ignore[assignment]
        for hosts, share in shares.items():
            drawn, expected = draws.drawn[hosts], f"of {count} requests, not {share}"
            bound = MAX_DEVIATIONS * math.sqrt(max(0.0, share * (1.0 - share)) * count) + 1.0
            within = abs(drawn - share * count) <= bound
            self.require(within, f"route {number} drew a target for {drawn} {expected}")

    def check_routed(self, now_us: int, action: Send, request: RequestRecord, entry: ListedServer) -> None:
        """Check the server and the time-out of a request that is about to be sent, against its route."""
        route, name = request.route, action.request
        if route is None:
            return
        if route.targets:
            selected = any(matches(target.hosts, entry) for target in route.targets)
            self.require(selected, f"{name} sent to server {action.server}, which its route does not select")
            greatest = max(target.share for target in route.targets)
            intended = {t.hosts for t in route.targets if t.share == greatest}
            intended.add(self.balancer.requests[name].targets[0])
            selected = any(matches(hosts, entry) for hosts in intended)
            self.require(
                selected,
                f"{name} sent to server {action.server} of neither its drawn nor greatest target",
            )
        if route.deadline_us and request.started_us and action.timeout_us > 1:
            late_us = now_us + action.timeout_us - request.started_us - route.deadline_us
            self.require(late_us <= 0, f"{name} sent until {late_us} us after its route's deadline")


def matches(selector: HostSelector, entry: ListedServer) -> bool:
    """Whether a listed server is selected; independent of policy/routes.py, which it checks."""
    pairs = (selector.kinds, entry.kind), (selector.groups, entry.group), (selector.zones, entry.zone)
    if any(numbers and number not in numbers for numbers, number in pairs):
        return False
    if selector.labels and not selector.labels & entry.labels:
        return False
    return not any(matches(excluded, entry) for excluded in selector.none_of)
