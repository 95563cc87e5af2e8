"""Sending attempts, and tracking those in flight."""

from caperdrift.interface import Effect, Send
from caperdrift.policy.choice import pick_server
from caperdrift.policy.cold import capacity_share, cold_cost_us
from caperdrift.policy.proxy import MIN_SUBSET_SIZE, OVERDUE_FACTOR, Proxy
from caperdrift.policy.proxy_count import proxy_count
from caperdrift.policy.servers import Attempt, Request

# With more proxies than this, a proxy's own attempts in flight say little about a server's load, and each of
# them widens the subset by less than one server.
FULL_WIDENING_PROXIES = 10
# Minimum by which an attempt in flight widens the subset, in servers: a proxy with many requests must not
# overload a few servers.
MIN_WIDENING = 0.25
REACH_DECAY = 0.98  # share of the subset's size above the minimum that is left after each attempt
AIM_WAIT_SHARE = 0.98  # share of the time to the target that an answer with no late worth is waited for


def try_send(proxy: Proxy, request: Request) -> bool:
    """Send an attempt of a request; False if there is no server for it now."""
    server = pick_server(proxy, request)
    if server is None:
        return False
    class_trial_episode, write_deadline_us = (
        server.class_state(request.klass).breaker.start_trial(),
        request.write_deadline_us(),
    )
    attempt = Attempt(server, proxy.now_us, server.breaker.start_trial(), class_trial_episode)
    request.attempts.append(attempt)
    request.in_flight += 1
    if not request.body_started_us:
        add_in_flight(proxy, attempt)  # a server starts on a request once its last byte has arrived
    needed = MIN_SUBSET_SIZE + proxy.in_flight * min(
        1.0, max(MIN_WIDENING, FULL_WIDENING_PROXIES / proxy_count(proxy))
    )
    proxy.reach = max(needed, MIN_SUBSET_SIZE + (proxy.reach - MIN_SUBSET_SIZE) * REACH_DECAY)
    if capacity_share(proxy, server) < 1.0:
        server.cold_spent_us = max(0.0, server.cold_spent_us) + cold_cost_us(proxy, request)
    timeout_us = max(1, attempt_deadline_us(proxy, request) - proxy.now_us)
    proxy.actions.append(Send(request.id, server.entry.server, timeout_us, write_deadline_us))
    overdue_us = proxy.now_us + int(OVERDUE_FACTOR * proxy.expected_latency_us(request))
    if request.class_settings.effect is not Effect.UNSAFE and overdue_us < request.deadline_us:
        proxy.set_timer(overdue_us, request)
    return True


def add_in_flight(proxy: Proxy, attempt: Attempt) -> None:
    """Count an attempt as in flight at its server from now on."""
    attempt.sent_us = attempt.server.in_flight[attempt] = proxy.now_us
    proxy.in_flight += 1


def remove_in_flight(proxy: Proxy, attempt: Attempt) -> None:
    """Count an attempt as in flight no longer; does nothing if it was not."""
    if attempt.server.in_flight.pop(attempt, None) is not None:
        proxy.in_flight -= 1


def attempt_deadline_us(proxy: Proxy, request: Request) -> int:
    """Clock reading after which waiting for an attempt sent now is not worthwhile."""
    if request.class_settings.late_worth > 0.0:
        return request.deadline_us
    return min(request.deadline_us, proxy.now_us + int(AIM_WAIT_SHARE * (request.aim_us - proxy.now_us)))
