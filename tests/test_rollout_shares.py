"""A traffic split applied to a plan of routes, and the servers that the balancer then sends to."""

from __future__ import annotations

from collections import Counter

from caperdrift.interface import ListedServer, ListKind, RequestArrived, Send, ServerList
from caperdrift.plan import HostSelector, Plan, Route, Target
from caperdrift.policy.balancer import Balancer
from cloverkeel.fleet.routes.traffic_split import split_route, intersect
from tests.helpers import SETTINGS

NEW, OLD = HostSelector(groups=frozenset({9})), HostSelector(none_of=(HostSelector(groups=frozenset({9})),))
OVER = (Target(NEW, 0.25), Target(OLD, 0.75))
SERVERS = tuple(
    ListedServer(number, group=9 if number > 8 else 1, zone=number % 2) for number in range(1, 13)
)


def sent(plan: Plan, route: int, count: int = 2_000) -> Counter[int]:
    balancer = Balancer(SETTINGS, seed=3)
    balancer.handle(0, ServerList(ListKind.FULL, SERVERS))
    balancer.handle(1, plan)
    found: Counter[int] = Counter()
    for number in range(count):
        arrived = RequestArrived(f"r{number}", 0, 1_000_000, route=route)
        found.update(a.server for a in balancer.handle(2 + number, arrived) if isinstance(a, Send))
    return found


def share(found: Counter[int]) -> float:
    return sum(n for server, n in found.items() if server > 8) / found.total()


def test_requests_without_a_route_and_those_of_one_are_divided_alike() -> None:
    zone = HostSelector(zones=frozenset({1}))
    plan = Plan({0: Route(OVER), 4: split_route(Route((Target(zone, 1.0),), max_attempts=2), OVER)})
    assert abs(share(sent(plan, 0)) - 0.25) < 0.03
    routed = sent(plan, 4)
    assert abs(share(routed) - 0.25) < 0.03 and all(server % 2 == 1 for server in routed)


def test_a_route_keeps_its_caps_and_a_part_without_hosts_is_served_by_the_rest() -> None:
    route = Route((Target(HostSelector(groups=frozenset({1})), 1.0),), max_attempts=2, deadline_us=5, limit=7)
    over = split_route(route, OVER)
    assert (over.max_attempts, over.deadline_us, over.limit) == (2, 5, 7)
    assert (
        share(
            sent(Plan({1: split_route(Route((Target(HostSelector(groups=frozenset({1})), 1.0),)), OVER)}), 1)
        )
        == 0
    )
    assert split_route(route, ()) is route
    none = split_route(route, (Target(NEW, 0.0), Target(OLD, 1.0)))
    assert [target.share for target in none.targets] == [1.0]


def test_hosts_in_both_may_have_labels_of_both() -> None:
    both = intersect(HostSelector(labels=frozenset({1})), HostSelector(labels=frozenset({2})))
    servers = (ListedServer(1, labels=frozenset({1, 2})), ListedServer(2, labels=frozenset({1})))
    balancer = Balancer(SETTINGS, seed=3)
    balancer.handle(0, ServerList(ListKind.FULL, servers))
    balancer.handle(1, Plan({1: Route((Target(both, 1.0),))}))
    actions = balancer.handle(2, RequestArrived("r", 0, 1_000_000, route=1))
    assert [a.server for a in actions if isinstance(a, Send)] == [1]
