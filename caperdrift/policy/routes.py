"""Routes: the servers that a request may go to, in order of rank, and a route's other limits."""

from operator import attrgetter

from caperdrift.interface import ListedServer
from caperdrift.plan import HostSelector, Plan, Route
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.proxy_count import proxy_count
from caperdrift.policy.servers import MIN_WEIGHT, Request, Server

CROSS_ZONE_PENALTY = 80.0  # factor on the price of crossing zones in the weight of servers in other zones
# Distance on the ring from one proxy's start to the next's: any number of starts are spread evenly.
GOLDEN_RATIO = 0.6180339887
NO_ROUTE = Route()


def zone_factor(proxy: Proxy, entry: ListedServer) -> float:
    """Weight factor for a server's zone: 1 in this proxy's zone, lower in others by the price of crossing."""
    return 1.0 / (
        1.0 + CROSS_ZONE_PENALTY * proxy.settings.prices.cross_zone * (entry.zone != proxy.settings.zone)
    )


def ranking(proxy: Proxy, servers: list[Server]) -> list[Server]:
    """The ready servers of `servers`, ranked by their distance on the ring from this proxy's start.

    Only servers that may be used are on the ring. Otherwise all proxies whose start lies in a run of servers
    that are drained, or do not belong to the route, would rank the same server first.
    """
    ring = sorted((s for s in servers if s.ready), key=attrgetter("hash"))
    start = proxy.settings.proxy * GOLDEN_RATIO % 1.0 * len(ring)
    for place, server in enumerate(ring):
        steps = (place - start) % len(ring) + 1.0
        factor = server.idle * zone_factor(proxy, server.entry)
        server.rank = steps / max(MIN_WEIGHT, factor)
    return sorted(ring, key=attrgetter("rank"))


def on_plan(proxy: Proxy, event: Plan) -> None:
    """Put a new plan in force."""
    # The unary plus drops routes without pending requests.
    proxy.routes, proxy.pending_by_route = event.routes, +proxy.pending_by_route
    # Cleared only once it has outgrown the plan: an edit of one route must not rank the servers of all again.
    if len(proxy.ranked_by_selector) > len(event.routes):
        proxy.ranked_by_selector = {}


def route_of(proxy: Proxy, number: int) -> Route:
    """The route with this number; NO_ROUTE if there is none in the plan."""
    if number and number not in proxy.routes:
        proxy.log(f"route {number} is not in the plan; its requests go as if there were none")
    return proxy.routes.get(number, NO_ROUTE)


def is_at_limit(proxy: Proxy, number: int, route: Route) -> bool:
    """Whether this proxy's pending requests use up its part of the route's limit, which is rounded up."""
    return route.limit > 0 and proxy.pending_by_route[number] >= -(-route.limit // proxy_count(proxy))


def apply_route_caps(proxy: Proxy, route: Route, timeout_us: int, aim_us: int) -> tuple[int, int, int]:
    """Maximum attempts, time-out and target latency of a request, as limited by its route.

    `timeout_us` and `aim_us` are what the request has without a route.
    """
    if route.deadline_us:
        timeout_us = min(timeout_us, route.deadline_us)
        aim_us = min(aim_us, timeout_us)
    attempts = proxy.settings.max_attempts
    return min(attempts, route.max_attempts or attempts), timeout_us, aim_us


def draw_targets(proxy: Proxy, route: Route) -> tuple[HostSelector, ...]:
    """Targets for a request, in order of preference; empty: all servers.

    The first is drawn at random by the targets' shares, the second is the target with the greatest share.
    """
    if len(route.targets) < 2:
        return tuple(target.hosts for target in route.targets)
    shares = [target.share for target in route.targets]
    drawn, greatest = proxy.random.choices(route.targets, shares)[0], route.targets[shares.index(max(shares))]
    return (drawn.hosts,) if drawn is greatest else (drawn.hosts, greatest.hosts)


def server_pools(proxy: Proxy, request: Request) -> list[list[Server]]:
    """The servers that a request may go to, by rank, for each of its targets in order of preference.

    A pool is used only if no server of those before it can be used.
    """
    pools = []
    for selector in request.targets:
        if (ranked := proxy.ranked_by_selector.get(selector)) is None:
            allowed = [server for server in proxy.servers.values() if matches(selector, server.entry)]
            ranked = proxy.ranked_by_selector[selector] = ranking(proxy, allowed)
        pools.append(ranked)
    return pools or [proxy.ranked]


def matches(selector: HostSelector, entry: ListedServer) -> bool:
    """Whether a listed server is selected."""
    return (
        (not selector.kinds or entry.kind in selector.kinds)
        and (not selector.groups or entry.group in selector.groups)
        and (not selector.zones or entry.zone in selector.zones)
        and (not selector.labels or not selector.labels.isdisjoint(entry.labels))
        and not any(matches(excluded, entry) for excluded in selector.none_of)
    )
