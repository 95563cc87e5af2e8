"""Sending an attempt, and the account of what is out."""

from caperdrift.interface import Effect, Send
from caperdrift.policy.choice import pick_server
from caperdrift.policy.cold import cold_cost_us, capacity_share
from caperdrift.policy.proxy import OVERDUE_FACTOR, MIN_SUBSET_SIZE, Proxy
from caperdrift.policy.servers import Attempt, Request
from caperdrift.policy.proxy_count import proxy_count

FULL_WIDENING_PROXIES = (
    10  # proxies beyond which own attempts out tell little of a server's load, and widen the subset less
)
MIN_WIDENING = 0.25  # of the subset by an attempt out: one with much in hand must not crush a few servers
REACH_DECAY = 0.98  # of the widest subset needed of late, left after each request
AIM_WAIT_SHARE = 0.98  # of the time to the aim that is waited for an answer that is worth nothing later


def try_send(proxy: Proxy, request: Request) -> bool:
    """Send an attempt, if a server may take one now."""
    server = pick_server(proxy, request)
    if server is None:
        return False
    part_trial_of, latest_us = (
        server.class_state(request.klass).breaker.start_trial(),
        request.write_deadline_us(),
    )
    attempt = Attempt(server, proxy.now_us, server.breaker.start_trial(), part_trial_of)
    request.attempts.append(attempt)
    request.in_flight += 1
    if not request.body_started_us:
        add_in_flight(proxy, attempt)  # a server begins a request once its last byte has come
    needed = MIN_SUBSET_SIZE + proxy.in_flight * min(
        1.0, max(MIN_WIDENING, FULL_WIDENING_PROXIES / proxy_count(proxy))
    )
    proxy.reach = max(needed, MIN_SUBSET_SIZE + (proxy.reach - MIN_SUBSET_SIZE) * REACH_DECAY)
    if capacity_share(proxy, server) < 1.0:
        server.cold_spent_us = max(0.0, server.cold_spent_us) + cold_cost_us(proxy, request)
    timeout_us = max(1, attempt_deadline_us(proxy, request) - proxy.now_us)
    proxy.actions.append(Send(request.id, server.entry.server, timeout_us, latest_us))
    overdue_us = proxy.now_us + int(OVERDUE_FACTOR * proxy.expected_latency_us(request))
    if request.class_settings.effect is not Effect.UNSAFE and overdue_us < request.deadline_us:
        proxy.set_timer(overdue_us, request)
    return True


def add_in_flight(proxy: Proxy, attempt: Attempt) -> None:
    attempt.sent_us = attempt.server.in_flight[attempt] = proxy.now_us
    proxy.in_flight += 1


def remove_in_flight(proxy: Proxy, attempt: Attempt) -> None:
    if attempt.server.in_flight.pop(attempt, None) is not None:
        proxy.in_flight -= 1


def attempt_deadline_us(proxy: Proxy, request: Request) -> int:
    """When an attempt stops being worth waiting for."""
    if request.class_settings.late_worth > 0.0:
        return request.deadline_us
    return min(request.deadline_us, proxy.now_us + int(AIM_WAIT_SHARE * (request.aim_us - proxy.now_us)))
