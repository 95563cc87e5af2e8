"""Slow start: limits the work that is sent to servers which have just started (cold servers).

A cold server falls over if it is sent more work in a fall window (`Settings.fall_us`) than a budget that
grows with its capacity. All proxies share this budget without communication: each spends only its own part.
Times and work are in microseconds; the bound is that of the operators' standing test.
"""

from caperdrift.policy.proxy import Proxy
from caperdrift.policy.proxy_count import proxy_count
from caperdrift.policy.servers import Request, Server

PLANNED_SHARE = 0.5  # of the fall budget that is used; the rest covers misjudged work and chance
LARGE_REQUESTS_PER_WINDOW = 4  # this many requests of the largest size allowed fill a fall window


def has_cold_capacity(proxy: Proxy, server: Server, request: Request) -> bool:
    """Whether this proxy's part of a cold server's fall budget allows one more request.

    Always true for a warm server. Works as a leaky bucket: the work counted as spent is first reduced by what
    the time since the last call pays off.
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
        # Unused for two windows: without a random level, the unused budget of all proxies would be spent at
        # once in the next burst.
        server.cold_spent_us = proxy.random.random() * max(part_us, cost_us) - part_us
    return max(0.0, server.cold_spent_us) + cost_us <= limit_us


def is_too_large(proxy: Proxy, capacity: float, request: Request) -> bool:
    """Whether the hinted work of one request takes too much of the fall window that all proxies share.

    A proxy whose spent work is paid off may send one request that is larger than its own part, without
    knowing of the others' requests: two large ones in the same window exceeded its bound. A request may
    therefore take an even part of the window where there are few proxies, and a quarter of it where there are
    many. Requests up to the mean of their class are allowed up to half of the window, otherwise such a class
    would never be served where all servers are cold. A process that has just started takes its first request
    for the mean, whatever its size.
    """
    window_us = proxy.settings.fall_multiple * proxy.settings.fall_us * capacity
    largest_us = window_us / min(proxy_count(proxy), LARGE_REQUESTS_PER_WINDOW)
    usual_us = min(proxy.mean_work_us[request.klass], window_us / 2)
    return request.work_us > max(largest_us, usual_us)


def initial_spent_us(proxy: Proxy) -> float:
    """Work that counts as already spent on a server that has just started.

    It is a random part of the work of the most expensive class, or of half of the budget if that is more.
    Hundreds of proxies learn of a start at once, and each may send at least one request: the random part
    spreads these first requests over time. Hinted work is used where it is known, because latencies include
    waiting: under overload, an estimate from them kept a new server idle for half of its slow start.
    """
    classes = [index for index, klass in enumerate(proxy.settings.classes) if not klass.dropped]
    costs = [proxy.mean_work_us[klass] or estimated_work_us(proxy, klass) for klass in classes]
    return proxy.random.random() * max([*costs, fall_budget_us(proxy) / 2])


def fall_budget_us(proxy: Proxy, pool_size: int = 0) -> float:
    """This proxy's part of the work that a warm server of one core may be sent in a fall window.

    `pool_size` is the number of servers that the work is spread over, 0 for all: if a route allows only a
    few, more proxies use each of them. The parts of all proxies add up to PLANNED_SHARE of the budget.
    """
    reached = min(1.0, proxy.reach / max(1, pool_size or len(proxy.ranked)))
    users = max(1.0, proxy_count(proxy) * reached)
    return PLANNED_SHARE * proxy.settings.fall_multiple * proxy.settings.fall_us / users


def cold_cost_us(proxy: Proxy, request: Request) -> float:
    """Work of a request: the hint, or else an estimate from the latencies of its class."""
    return request.work_us or estimated_work_us(proxy, request.klass) * request.relative_work


def estimated_work_us(proxy: Proxy, klass: int) -> float:
    """Estimated work of a request of a class: midway between its baseline and its smoothed latency."""
    return (proxy.baseline_us[klass] + proxy.smoothed_us[klass]) / 2


def capacity_share(proxy: Proxy, server: Server) -> float:
    """Share of its full capacity that a server has now, from `start_capacity` to 1 (warm)."""
    age_us = max(0, proxy.now_us - server.entry.started_us)  # a start in the future counts as now
    if server.entry.started_us == 0 or age_us >= proxy.settings.warm_after_us:
        return 1.0
    start = proxy.settings.start_capacity
    return start + (1.0 - start) * age_us / proxy.settings.warm_after_us
