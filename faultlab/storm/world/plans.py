"""Random route plans that change while requests are in flight, drawn from a random generator of their own."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from caperdrift.interface import Event
from caperdrift.plan import HostSelector, Plan, Route, Target
from faultlab.storm.world.state import LABEL_COUNT, SECOND_US, WorldState

MEAN_PLAN_CHANGE_US = 1.5 * SECOND_US  # mean time between two plan changes
MAX_ROUTES = 6
UNKNOWN_ROUTE = 999  # number of a route that is in no plan
SHARE_CHOICES = ((), (1.0,), (0.1, 0.9), (0.3, 0.7), (0.2, 0.3, 0.5))


def draw_selector(rng: Random) -> HostSelector:
    """A random selector of the hosts, which are in three zones and four groups; it may match none of them."""

    def draw_numbers(count: int) -> frozenset[int]:
        return frozenset(rng.sample(range(count), rng.randint(1, 2))) if rng.random() < 0.5 else frozenset()

    return HostSelector(groups=draw_numbers(4), zones=draw_numbers(3), labels=draw_numbers(LABEL_COUNT))


def draw_route(rng: Random) -> Route:
    """A random route of up to three targets."""
    shares = rng.choice(SHARE_CHOICES)
    selectors = [draw_selector(rng) for _ in shares]
    if len(selectors) > 1 and rng.random() < 0.5:
        selectors[-1] = HostSelector(none_of=tuple(selectors[:-1]))
    return Route(
        tuple(Target(selector, share) for selector, share in zip(selectors, shares, strict=True)),
        max_attempts=rng.choice((0, 0, 1, 2, 9)),
        deadline_us=rng.choice((0, 0, 30_000, 100_000, SECOND_US)),
        limit=rng.choice((0, 0, 1, 3, 10, 100)),
    )


class Plans(WorldState):
    """Route plans, drawn with `plan_rng`; without it there are none, and no request has a route."""

    plan_rng: Random | None = None

    def start_plans(self, rng: Random | None) -> None:
        """Schedule the first plan, if there is a generator to draw plans with."""
        self.plan_rng = rng
        self.routes: dict[int, Route] = {}
        self.last_route = 0
        if rng is not None:
            self.schedule(5, self.change_plan)

    def draw_route_number(self) -> int:
        """The route number of the next request; 0: no route."""
        if self.plan_rng is None:
            return 0
        return self.plan_rng.choice((0, UNKNOWN_ROUTE, *self.routes, *self.routes, *self.routes))

    def change_plan(self) -> Event | None:
        """A plan with routes edited, added and removed; one time in 5, a host's labels change instead."""
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
