"""Cold servers: how much of one that has just started may be used."""

from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import Request, Server
from caperdrift.policy.sharers import sharers

FALL_MARGIN = 0.5  # part of the fall budget that is planned with; the rest is for misjudged work and chance
LARGE_REQUESTS_PER_WINDOW = 4  # of the largest size allowed, these fill a fall window

def cold_room(proxy: Proxy, server: Server, request: Request) -> bool:
    """Whether this proxy's part of a cold server's fall budget has room for one more request."""
    share = cold_share(proxy, server)
    if share >= 1.0:
        return True
    if is_too_large(proxy, share, request):
        return False
    part_us, cost_us = fall_budget_us(proxy, request.among) * share, cold_cost_us(proxy, request)
    most_us = max(part_us / 2, cost_us)
    server.spent_us -= part_us / 2 * (proxy.now_us - server.spent_at_us) / proxy.settings.fall_us
    server.spent_at_us = proxy.now_us
    if server.spent_us < -part_us:  # unused for two windows: saved up by all proxies, it would come at once
        server.spent_us = proxy.random.random() * max(part_us, cost_us) - part_us
    return max(0.0, server.spent_us) + cost_us <= most_us

def is_too_large(proxy: Proxy, capacity: float, request: Request) -> bool:
    """Whether one request's hinted work takes too much of the fall window that all proxies share.

    A proxy that has paid off what it sent may send one request larger than its own part, and knows nothing
    of the others': two large ones met in one window and passed its bound. So few proxies may send one of an
    even part each, and of many no request takes over a quarter. Up to half of the window, requests of their
    class's mean pass, or that class would be shut out wherever all servers are cold; a process that has just
    started takes its first request for the mean, which may be of any size.
    """
    window_us = proxy.settings.fall_multiple * proxy.settings.fall_us * capacity
    largest_us = window_us / min(sharers(proxy), LARGE_REQUESTS_PER_WINDOW)
    usual_us = min(proxy.mean_work[request.klass], window_us / 2)
    return request.work_us > max(largest_us, usual_us)

def first_spent_us(proxy: Proxy) -> float:
    """What counts as spent of a server that has just started: a random part of a request's work, or of half
    of the budget where that is more.

    Hundreds of proxies hear of a cold server at once and each may send one request at the least: these firsts
    come at the planned rate then, and not together. Guards against counting the time that answers wait as
    work: in a crowd, which a new server could relieve, it stood idle for the first half of its warming.
    """
    classes = [index for index, klass in enumerate(proxy.settings.classes) if not klass.dropped]
    costs = [proxy.mean_work[klass] or between_us(proxy, klass) for klass in classes]
    return proxy.random.random() * max([*costs, fall_budget_us(proxy) / 2])

def fall_budget_us(proxy: Proxy, among: int = 0) -> float:
    """This proxy's part of the work that a server of one core may be sent in a fall window when warm.
    `among`: servers that the work is spread over, 0 for all. Of a route's few, more proxies use each.
    The parts of all add up to the whole; half of it, drained by half in each window, never passes it.
    """
    users = max(1.0, sharers(proxy) * min(1.0, proxy.reach / max(1, among or len(proxy.ranked))))
    return FALL_MARGIN * proxy.settings.fall_multiple * proxy.settings.fall_us / users

def cold_cost_us(proxy: Proxy, request: Request) -> float:
    """Work of a request: hinted, else between the fastest and the usual replies, which waited too."""
    return request.work_us or between_us(proxy, request.klass) * request.size

def between_us(proxy: Proxy, klass: int) -> float:
    """Latency halfway between the fastest and the usual replies."""
    return (proxy.unhindered[klass] + proxy.smoothed[klass]) / 2

def cold_share(proxy: Proxy, server: Server) -> float:
    """Share of its capacity that a server surely has by now."""
    age_us = max(0, proxy.now_us - server.entry.started_us)  # a start that lies ahead is just now
    if server.entry.started_us == 0 or age_us >= proxy.settings.warm_after_us:
        return 1.0
    start = proxy.settings.start_capacity
    return start + (1.0 - start) * age_us / proxy.settings.warm_after_us
