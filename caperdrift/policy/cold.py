"""Cold servers: how much of one that has just started may be used.

A server that started stands so much work in each fall window (`Settings.fall_us`), growing with its capacity.
That budget is shared by all proxies without a word between them: each spends its own part. Times and work are
in microseconds; the bound is that of the operators' standing test.
"""

from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import Request, Server
from caperdrift.policy.proxy_count import proxy_count

PLANNED_SHARE = 0.5  # of the fall budget; the rest is for misjudged work and chance
LARGE_REQUESTS_PER_WINDOW = 4  # of the largest size allowed, these fill a fall window


def has_cold_capacity(proxy: Proxy, server: Server, request: Request) -> bool:
    """Whether this proxy's part of the fall budget of a cold server lets it send one more request.

    True for a warm server. Pays off what was sent before, by the time that has passed.
    """
    capacity = capacity_share(proxy, server)
    if capacity >= 1.0:
        return True
    if is_too_large(proxy, capacity, request):
        return False
    part_us = fall_budget_us(proxy, request.pool_size) * capacity
    cost_us = cold_cost_us(proxy, request)
    limit_us = max(part_us / 2, cost_us)
    server.cold_spent_us -= part_us / 2 * (proxy.now_us - server.cold_updated_us) / proxy.settings.fall_us
    server.cold_updated_us = proxy.now_us
    if server.cold_spent_us < -part_us:
        # Unused for two windows: what all proxies saved up would come at once with the next burst.
        server.cold_spent_us = proxy.random.random() * max(part_us, cost_us) - part_us
    return max(0.0, server.cold_spent_us) + cost_us <= limit_us


def is_too_large(proxy: Proxy, capacity: float, request: Request) -> bool:
    """Whether one request's hinted work takes too much of the fall window that all proxies share.

    A proxy that has paid off what it sent may send one request larger than its own part, and knows nothing
    of the others': two large ones met in one window and passed its bound. So few proxies may send one of an
    even part each, and of many no request takes over a quarter. Up to half of the window, requests of their
    class's mean pass, or that class would be shut out wherever all servers are cold; a process that has just
    started takes its first request for the mean, which may be of any size.
    """
    window_us = proxy.settings.fall_multiple * proxy.settings.fall_us * capacity
    largest_us = window_us / min(proxy_count(proxy), LARGE_REQUESTS_PER_WINDOW)
    usual_us = min(proxy.mean_work_us[request.klass], window_us / 2)
    return request.work_us > max(largest_us, usual_us)


def initial_spent_us(proxy: Proxy) -> float:
    """What counts as spent of a server that has just started.

    It is a random part of the most expensive class's work, or of half of the budget where that is more.
    Hundreds of proxies hear of a start at once, and each may send at least one request: these first requests
    come spread over time. Hinted work is used where it is known: latencies include waiting, which in a crowd
    kept a new server idle for half of its warming.
    """
    classes = [index for index, klass in enumerate(proxy.settings.classes) if not klass.dropped]
    costs = [proxy.mean_work_us[klass] or estimated_work_us(proxy, klass) for klass in classes]
    return proxy.random.random() * max([*costs, fall_budget_us(proxy) / 2])


def fall_budget_us(proxy: Proxy, pool_size: int = 0) -> float:
    """This proxy's part of the work that a warm server of one core may be sent in a fall window.

    `pool_size`: servers that the work is spread over, 0 for all; of a route's few, more proxies use each.
    The parts of all proxies add up to the planned share of the budget.
    """
    reached = min(1.0, proxy.reach / max(1, pool_size or len(proxy.ranked)))
    users = max(1.0, proxy_count(proxy) * reached)
    return PLANNED_SHARE * proxy.settings.fall_multiple * proxy.settings.fall_us / users


def cold_cost_us(proxy: Proxy, request: Request) -> float:
    """Work of a request: as hinted, else estimated from its class's latencies."""
    return request.work_us or estimated_work_us(proxy, request.klass) * request.relative_work


def estimated_work_us(proxy: Proxy, klass: int) -> float:
    """Work of a class's request where no hint tells: between its fastest and its usual latency."""
    return (proxy.baseline_us[klass] + proxy.smoothed_us[klass]) / 2


def capacity_share(proxy: Proxy, server: Server) -> float:
    """Share of its whole capacity that a server has by now, from `start_capacity` to 1."""
    age_us = max(0, proxy.now_us - server.entry.started_us)  # a start that lies ahead is just now
    if server.entry.started_us == 0 or age_us >= proxy.settings.warm_after_us:
        return 1.0
    start = proxy.settings.start_capacity
    return start + (1.0 - start) * age_us / proxy.settings.warm_after_us
