"""Admission: creates the record of an arriving request, and keeps statistics of first tries and tenants."""

from caperdrift.interface import RequestArrived
from caperdrift.plan import Route
from caperdrift.policy.proxy import RETRY_BURST, Proxy
from caperdrift.policy.routes import apply_route_caps, draw_targets
from caperdrift.policy.servers import Request
from caperdrift.policy.weights import SMOOTHING

# Minimum of a request's relative work. The latency of smaller ones is mostly waiting, and dividing it by so
# little work inflated the smoothed latencies.
MIN_RELATIVE_WORK = 0.25
RETRY_TOKENS_PER_REQUEST = 0.2  # retry budget: retries that each first try adds
SAME_TIMEOUT_TOLERANCE = 0.02  # relative difference up to which two client time-outs count as equal
HALVE_COUNTS_AT = 500  # total of first tries at which the counts of offered and served requests are halved
# Weight of the newest request in the tenants' shares of traffic. It is lower with more than eight tenants, so
# that about six requests of each are still remembered.
TENANT_SMOOTHING = 0.02
TENANT_SHARE_TOLERANCE = 1.5  # a tenant's traffic beyond this multiple of its share is more than chance


def admit(proxy: Proxy, event: RequestArrived, route: Route) -> Request:
    """Create the record of an arriving request and update the statistics with it."""
    class_settings = event.class_settings or proxy.settings.classes[event.klass]
    # With older class settings, its time-out is not comparable with those of present first tries.
    used_us = time_used_us(proxy, event) if event.class_settings is None else 0
    first_try = not event.is_retry and used_us == 0 and event.class_settings is None
    relative_work = 1.0
    if event.work_us:
        mean = proxy.mean_work_us[event.klass] or float(event.work_us)
        proxy.mean_work_us[event.klass] = mean + SMOOTHING * (event.work_us - mean)
        relative_work = max(MIN_RELATIVE_WORK, event.work_us / mean)
    if first_try:
        proxy.retry_tokens = min(proxy.retry_tokens + RETRY_TOKENS_PER_REQUEST, RETRY_BURST)
        proxy.offered[event.klass] += 1
        if sum(proxy.offered) > HALVE_COUNTS_AT:
            proxy.offered = [n / 2 for n in proxy.offered]
            proxy.served = [n / 2 for n in proxy.served]
    aim_us = max(0, class_settings.aim_for_work_us(event.work_us or 0) - used_us)
    max_attempts, timeout_us, aim_us = apply_route_caps(proxy, route, event.client_timeout_us, aim_us)
    return Request(
        event.request,
        event.klass,
        class_settings,
        max_attempts,
        event.key,
        event.work_us or 0,
        proxy.now_us + timeout_us,
        proxy.now_us + aim_us,
        relative_work,
        first_try,
        tenant_excess(proxy, event.tenant),
        event.route,
        draw_targets(proxy, route),
        body_started_us=proxy.now_us if event.body_incomplete else 0,
    )


def tenant_excess(proxy: Proxy, tenant: int) -> float:
    """Count a request of a tenant; returns the part of the tenant's recent requests beyond its share.

    The result is scaled by the worth that such a request lacks; 0 or less within the share, 0 for an unknown
    tenant. While anything is shed, it is the probability to shed the request: this protects other tenants
    from clients that retry without limit.
    """
    if not 0 <= tenant < len(proxy.tenant_traffic):
        return 0.0
    smoothing = min(TENANT_SMOOTHING, 8 * TENANT_SMOOTHING / len(proxy.tenant_traffic))
    proxy.tenant_traffic = [
        share + smoothing * ((index == tenant) - share) for index, share in enumerate(proxy.tenant_traffic)
    ]
    fair = TENANT_SHARE_TOLERANCE * proxy.settings.tenants[tenant].share * sum(proxy.tenant_traffic)
    return (1.0 - proxy.settings.over_share_worth) * (1.0 - fair / proxy.tenant_traffic[tenant])


def time_used_us(proxy: Proxy, event: RequestArrived) -> int:
    """Time that the earlier tries of a request have used; 0 for a first try.

    Clients give all first tries of a class the same time-out. It is found by majority vote, so that first
    tries are not taken for late retries when clients change to a shorter one. Any other time-out marks a
    client retry.
    """
    usual, votes = proxy.client_timeouts[event.klass]
    same = abs(event.client_timeout_us - usual) <= SAME_TIMEOUT_TOLERANCE * usual
    if not event.is_retry:
        usual, votes = (usual, votes + 1) if same else (usual, votes - 1)
        proxy.client_timeouts[event.klass] = (usual, votes) if votes >= 0 else (event.client_timeout_us, 1)
        same = same or votes < 0 or proxy.settings.marks_retry
    return 0 if same else max(0, proxy.settings.classes[event.klass].give_up_us - event.client_timeout_us)
