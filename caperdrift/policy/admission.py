"""Admission: what is known of a request when it arrives."""

from caperdrift.interface import RequestArrived
from caperdrift.plan import Route
from caperdrift.policy.proxy import RETRY_BURST, Proxy
from caperdrift.policy.routes import apply_route_caps, draw_targets
from caperdrift.policy.servers import Request
from caperdrift.policy.weights import SMOOTHING

MIN_RELATIVE_WORK = (
    0.25  # of a request: latency over a smaller one is mostly wait, and blew up the smoothed values
)
RETRY_TOKENS_PER_REQUEST = 0.2  # further attempts a first try pays for
SAME_TIMEOUT_TOLERANCE = 0.02  # times given to two tries that differ by less are the same
HALVE_COUNTS_AT = 500  # first tries after which the shares of asked and served work count half
TENANT_SMOOTHING = (
    0.02  # weight of the newest in tenants' parts of the tries, if that remembers six of each tenant
)
TENANT_SHARE_TOLERANCE = 1.5  # times its share: a tenant's tries beyond are more than chance


def admit(proxy: Proxy, event: RequestArrived, route: Route) -> Request:
    klass = event.class_settings or proxy.settings.classes[event.klass]
    gone_us = (
        time_used_us(proxy, event) if event.class_settings is None else 0
    )  # its time is not what first tries have now
    first_try = not event.is_retry and gone_us == 0 and event.class_settings is None
    size = 1.0
    if event.work_us:
        mean = proxy.mean_work_us[event.klass] or float(event.work_us)
        proxy.mean_work_us[event.klass] = mean + SMOOTHING * (event.work_us - mean)
        size = max(MIN_RELATIVE_WORK, event.work_us / mean)
    if first_try:
        proxy.retry_tokens = min(proxy.retry_tokens + RETRY_TOKENS_PER_REQUEST, RETRY_BURST)
        proxy.offered[event.klass] += 1
        if sum(proxy.offered) > HALVE_COUNTS_AT:
            proxy.offered = [n / 2 for n in proxy.offered]
            proxy.served = [n / 2 for n in proxy.served]
    aim_us = max(0, klass.aim_for_work_us(event.work_us or 0) - gone_us)
    most, patience_us, aim_us = apply_route_caps(proxy, route, event.client_timeout_us, aim_us)
    return Request(
        event.request,
        event.klass,
        klass,
        most,
        event.key,
        event.work_us or 0,
        proxy.now_us + patience_us,
        proxy.now_us + aim_us,
        size,
        first_try,
        tenant_excess(proxy, event.tenant),
        event.route,
        draw_targets(proxy, route),
        body_started_us=proxy.now_us if event.body_incomplete else 0,
    )


def tenant_excess(proxy: Proxy, tenant: int) -> float:
    """Part of a tenant's tries of late beyond its share; 0 where none is stated.
    Guards against a tenant's clients that repeat without limit: while anything is shed they yield first.
    """
    if not 0 <= tenant < len(proxy.tenant_traffic):
        return 0.0
    newest = min(TENANT_SMOOTHING, 8 * TENANT_SMOOTHING / len(proxy.tenant_traffic))
    proxy.tenant_traffic = [
        part + newest * ((place == tenant) - part) for place, part in enumerate(proxy.tenant_traffic)
    ]
    fair = TENANT_SHARE_TOLERANCE * proxy.settings.tenants[tenant].share * sum(proxy.tenant_traffic)
    return (1.0 - proxy.settings.over_share_worth) * (1.0 - fair / proxy.tenant_traffic[tenant])


def time_used_us(proxy: Proxy, event: RequestArrived) -> int:
    """How much of its time a request's earlier tries have used; a first try has used none.
    First tries of a class are all given the same time, found by majority vote; another time marks a
    repeat. Guards against taking first tries, given less than the last, for late repeats.
    """
    usual, votes = proxy.client_timeouts[event.klass]
    same = abs(event.client_timeout_us - usual) <= SAME_TIMEOUT_TOLERANCE * usual
    if not event.is_retry:
        usual, votes = (usual, votes + 1) if same else (usual, votes - 1)
        proxy.client_timeouts[event.klass] = (usual, votes) if votes >= 0 else (event.client_timeout_us, 1)
        same = same or votes < 0 or proxy.settings.marks_retry
    return 0 if same else max(0, proxy.settings.classes[event.klass].give_up_us - event.client_timeout_us)
