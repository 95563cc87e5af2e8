"""Which servers a request may go to, by its route if it has one, and in which order; a route's other caps."""

from operator import attrgetter

from caperdrift.interface import ListedServer
from caperdrift.plan import HostSelector, Plan, Route
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import MIN_WEIGHT, Request, Server
from caperdrift.policy.proxy_count import proxy_count

CROSS_ZONE_PENALTY = 80.0  # how hard the price of crossing zones lowers the weight of servers in other zones
GOLDEN_RATIO = (
    0.6180339887  # of the ring from one proxy's start to the next: any few of them lie evenly spread
)
NO_ROUTE = Route()


def zone_factor(proxy: Proxy, entry: ListedServer) -> float:
    """1 in this proxy's zone, less in others the more a crossing costs."""
    return 1.0 / (
        1.0 + CROSS_ZONE_PENALTY * proxy.settings.prices.cross_zone * (entry.zone != proxy.settings.zone)
    )


def ranking(proxy: Proxy, servers: list[Server]) -> list[Server]:
    """Those of the servers that may be sent to, by steps on the ring from this proxy's start.
    Guards against a run of servers that are drained, or not a route's: they take no steps, else all whose
    start lies among them would meet on the first server after them.
    """
    ring = sorted((s for s in servers if s.ready), key=attrgetter("hash"))
    start = proxy.settings.proxy * GOLDEN_RATIO % 1.0 * len(ring)
    for place, server in enumerate(ring):
        steps = (place - start) % len(ring) + 1.0
        fit = server.idle * zone_factor(proxy, server.entry)
        server.rank = steps / max(MIN_WEIGHT, fit)
    return sorted(ring, key=attrgetter("rank"))


def on_plan(proxy: Proxy, event: Plan) -> None:
    proxy.routes, proxy.pending_by_route = (
        event.routes,
        +proxy.pending_by_route,
    )  # without those of which none is held
    if len(proxy.ranked_by_selector) > len(
        event.routes
    ):  # else kept: an edit of one route must not rank for all anew
        proxy.ranked_by_selector = {}


def route_of(proxy: Proxy, number: int) -> Route:
    if number and number not in proxy.routes:
        proxy.log(f"route {number} is not in the plan; its requests go as if there were none")
    return proxy.routes.get(number, NO_ROUTE)


def is_at_limit(proxy: Proxy, number: int, route: Route) -> bool:
    """Whether this proxy holds its part of the route's limit already."""
    return route.limit > 0 and proxy.pending_by_route[number] >= -(
        -route.limit // proxy_count(proxy)
    )  # rounded up


def apply_route_caps(proxy: Proxy, route: Route, patience_us: int, aim_us: int) -> tuple[int, int, int]:
    """Most attempts, deadline and aim, from now, of a request that has this much of each by the settings."""
    if route.deadline_us:
        patience_us = min(patience_us, route.deadline_us)
        aim_us = min(aim_us, patience_us)
    attempts = proxy.settings.max_attempts
    return min(attempts, route.max_attempts or attempts), patience_us, aim_us


def draw_targets(proxy: Proxy, route: Route) -> tuple[HostSelector, ...]:
    """The target that a request is meant for, drawn by share, then the greatest; empty: all servers."""
    if len(route.targets) < 2:
        return tuple(target.hosts for target in route.targets)
    shares = [target.share for target in route.targets]
    drawn, greatest = proxy.random.choices(route.targets, shares)[0], route.targets[shares.index(max(shares))]
    return (drawn.hosts,) if drawn is greatest else (drawn.hosts, greatest.hosts)


def server_pools(proxy: Proxy, request: Request) -> list[list[Server]]:
    """The servers that a request may go to, by rank; the first pool is used where any of it may be."""
    found = []
    for hosts in request.targets:
        if (ranked := proxy.ranked_by_selector.get(hosts)) is None:
            allowed = [server for server in proxy.servers.values() if matches(hosts, server.entry)]
            ranked = proxy.ranked_by_selector[hosts] = ranking(proxy, allowed)
        found.append(ranked)
    return found or [proxy.ranked]


def matches(hosts: HostSelector, entry: ListedServer) -> bool:
    return (
        (not hosts.kinds or entry.kind in hosts.kinds)
        and (not hosts.groups or entry.group in hosts.groups)
        and (not hosts.zones or entry.zone in hosts.zones)
        and (not hosts.labels or not hosts.labels.isdisjoint(entry.labels))
        and not any(matches(others, entry) for others in hosts.none_of)
    )
