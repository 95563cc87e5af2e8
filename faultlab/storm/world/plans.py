"""Plans of routes that change while requests are under way, drawn from a generator of their own."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from caperdrift.interface import Event
from caperdrift.plan import HostSelector, Plan, Route, Target
from faultlab.storm.world.state import LABEL_COUNT, SECOND_US, WorldState

MEAN_PLAN_CHANGE_US = 1.5 * SECOND_US  # mean time between two plans
MAX_ROUTES = 6
UNKNOWN_ROUTE = 999  # a route that no plan has
SHARE_CHOICES = ((), (1.0,), (0.1, 0.9), (0.3, 0.7), (0.2, 0.3, 0.5))


def draw_selector(rng: Random) -> HostSelector:
    """Some of the world's servers, which are in three zones and four groups; now and then none."""

    def some(most: int) -> frozenset[int]:
        return frozenset(rng.sample(range(most), rng.randint(1, 2))) if rng.random() < 0.5 else frozenset()

    return HostSelector(groups=some(4), zones=some(3), labels=some(LABEL_COUNT))


def draw_route(rng: Random) -> Route:
    shares = rng.choice(SHARE_CHOICES)
    hosts = [draw_selector(rng) for _ in shares]
    if len(hosts) > 1 and rng.random() < 0.5:
        hosts[-1] = HostSelector(none_of=tuple(hosts[:-1]))
    return Route(
        tuple(Target(named, share) for named, share in zip(hosts, shares, strict=True)),
        max_attempts=rng.choice((0, 0, 1, 2, 9)),
        deadline_us=rng.choice((0, 0, 30_000, 100_000, SECOND_US)),
        limit=rng.choice((0, 0, 1, 3, 10, 100)),
    )


class Plans(WorldState):
    """`plans` draws them; where it is None there are none, and no request has a route."""

    plan_rng: Random | None = None

    def start_plans(self, plans: Random | None) -> None:
        self.plan_rng = plans
        self.routes: dict[int, Route] = {}
        self.last_route = 0
        if plans is not None:
            self.schedule(5, self.change_plan)

    def draw_route_number(self) -> int:
        """That of the next request."""
        if self.plan_rng is None:
            return 0
        return self.plan_rng.choice((0, UNKNOWN_ROUTE, *self.routes, *self.routes, *self.routes))

    def change_plan(self) -> Event | None:
        """Routes are edited, come and go in one plan; now and then a host's labels change instead."""
        rng = self.plan_rng
        assert rng is not None
        self.schedule(1 + rng.expovariate(1.0) * MEAN_PLAN_CHANGE_US, self.change_plan)
        if rng.random() < 0.2 and self.hosts:
            host = self.hosts[rng.choice(tuple(self.hosts))]
            host.entry = replace(host.entry, labels=frozenset({rng.randrange(LABEL_COUNT)}))
            self.changed_hosts.add(host.entry.server)
            return None
        self.routes = dict(self.routes)
        for number in tuple(self.routes):
            if rng.random() < 0.2:
                del self.routes[number]
            elif rng.random() < 0.3:
                self.routes[number] = draw_route(rng)
        while len(self.routes) < rng.randint(1, MAX_ROUTES):
            self.last_route += 1
            self.routes[self.last_route] = draw_route(rng)
        return Plan(self.routes)
