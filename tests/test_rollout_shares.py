"""A traffic split applied to a plan of routes, and the servers that the balancer then sends to."""

from __future__ import annotations

from collections import Counter

from caperdrift.interface import ListedServer, ListKind, RequestArrived, Send, ServerList
from caperdrift.plan import HostSelector, Plan, Route, Target
from caperdrift.policy.balancer import Balancer
from cloverkeel.fleet.routes.traffic_split import intersect, split_route
from tests.helpers import SETTINGS

NEW, OLD = HostSelector(groups=frozenset({9})), HostSelector(none_of=(HostSelector(groups=frozenset({9})),))
SPLIT = (Target(NEW, 0.25), Target(OLD, 0.75))
SERVERS = tuple(
    ListedServer(number, group=9 if number > 8 else 1, zone=number % 2) for number in range(1, 13)
)


def sent_per_server(plan: Plan, route: int, count: int = 2_000) -> Counter[int]:
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


def test_requests_with_and_without_a_route_are_split_alike() -> None:
    zone = HostSelector(zones=frozenset({1}))
    plan = Plan({0: Route(SPLIT), 4: split_route(Route((Target(zone, 1.0),), max_attempts=2), SPLIT)})
    assert abs(share(sent_per_server(plan, 0)) - 0.25) < 0.03
    routed = sent_per_server(plan, 4)
    assert abs(share(routed) - 0.25) < 0.03 and all(server % 2 == 1 for server in routed)


def test_a_split_route_keeps_its_limits_and_a_part_without_hosts_is_served_by_the_other() -> None:
    route = Route((Target(HostSelector(groups=frozenset({1})), 1.0),), max_attempts=2, deadline_us=5, limit=7)
    split = split_route(route, SPLIT)
    assert (split.max_attempts, split.deadline_us, split.limit) == (2, 5, 7)
    assert (
        share(
            sent_per_server(
                Plan({1: split_route(Route((Target(HostSelector(groups=frozenset({1})), 1.0),)), SPLIT)}), 1
            )
        )
        == 0
    )
    assert split_route(route, ()) is route
    without_new = split_route(route, (Target(NEW, 0.0), Target(OLD, 1.0)))
    assert [target.share for target in without_new.targets] == [1.0]


def test_an_intersection_of_selectors_requires_the_labels_of_both() -> None:
    both = intersect(HostSelector(labels=frozenset({1})), HostSelector(labels=frozenset({2})))
    servers = (ListedServer(1, labels=frozenset({1, 2})), ListedServer(2, labels=frozenset({1})))
    balancer = Balancer(SETTINGS, seed=3)
    balancer.handle(0, ServerList(ListKind.FULL, servers))
    balancer.handle(1, Plan({1: Route((Target(both, 1.0),))}))
    actions = balancer.handle(2, RequestArrived("r", 0, 1_000_000, route=1))
    assert [a.server for a in actions if isinstance(a, Send)] == [1]
