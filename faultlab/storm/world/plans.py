"""Plans of routes that change while requests are under way, drawn from a generator of their own."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from caperdrift.interface import Event
from caperdrift.plan import HostSelector, Plan, Route, Target
from faultlab.storm.world.base import LABELS, SECOND_US, Base

PLAN_US = 1.5 * SECOND_US  # mean time between two plans
ROUTES_MOST = 6
UNKNOWN = 999  # a route that no plan has
SHARES = ((), (1.0,), (0.1, 0.9), (0.3, 0.7), (0.2, 0.3, 0.5))


def draw_hosts(rng: Random) -> HostSelector:
    """Some of the world's servers, which are in three zones and four groups; now and then none."""

    def some(most: int) -> frozenset[int]:
        return frozenset(rng.sample(range(most), rng.randint(1, 2))) if rng.random() < 0.5 else frozenset()

    return HostSelector(groups=some(4), zones=some(3), labels=some(LABELS))


def draw_route(rng: Random) -> Route:
    shares = rng.choice(SHARES)
    hosts = [draw_hosts(rng) for _ in shares]
    if len(hosts) > 1 and rng.random() < 0.5:
        hosts[-1] = HostSelector(none_of=tuple(hosts[:-1]))
    return Route(
        tuple(Target(named, share) for named, share in zip(hosts, shares, strict=True)),
        max_attempts=rng.choice((0, 0, 1, 2, 9)),
        deadline_us=rng.choice((0, 0, 30_000, 100_000, SECOND_US)),
        limit=rng.choice((0, 0, 1, 3, 10, 100)),
    )


class Plans(Base):
    """`plans` draws them; where it is None there are none, and no request has a route."""

    plans: Random | None = None

    def begin_plans(self, plans: Random | None) -> None:
        self.plans = plans
        self.routes: dict[int, Route] = {}
        self.last_route = 0
        if plans is not None:
            self.plan(5, self.plan_changes)

    def route(self) -> int:
        """That of the next request."""
        if self.plans is None:
            return 0
        return self.plans.choice((0, UNKNOWN, *self.routes, *self.routes, *self.routes))

    def plan_changes(self) -> Event | None:
        """Routes are edited, come and go in one plan; now and then a host's labels change instead."""
        rng = self.plans
        assert rng is not None
        self.plan(1 + rng.expovariate(1.0) * PLAN_US, self.plan_changes)
        if rng.random() < 0.2 and self.hosts:
            host = self.hosts[rng.choice(tuple(self.hosts))]
            host.entry = replace(host.entry, labels=frozenset({rng.randrange(LABELS)}))
            self.changed.add(host.entry.server)
            return None
        self.routes = dict(self.routes)
        for number in tuple(self.routes):
            if rng.random() < 0.2:
                del self.routes[number]
            elif rng.random() < 0.3:
                self.routes[number] = draw_route(rng)
        while len(self.routes) < rng.randint(1, ROUTES_MOST):
            self.last_route += 1
            self.routes[self.last_route] = draw_route(rng)
        return Plan(self.routes)
