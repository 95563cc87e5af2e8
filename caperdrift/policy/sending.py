"""Sending an attempt, and the account of what is out."""

from caperdrift.interface import Effect, Send
from caperdrift.policy.choice import pick
from caperdrift.policy.cold import cold_cost_us, cold_share
from caperdrift.policy.proxy import OVERDUE, SUBSET, Proxy
from caperdrift.policy.servers import Attempt, Request
from caperdrift.policy.sharers import sharers

CROWD = 10  # proxies beyond which own attempts out tell little of a server's load, and widen the subset less
LEAST_WIDENING = 0.25  # of the subset by an attempt out: one with much in hand must not crush a few servers
REACH_MEMORY = 0.98  # of the widest subset needed of late, left after each request
AIM_SHARE = 0.98  # of the time to the aim that is waited for an answer that is worth nothing later


def try_send(proxy: Proxy, request: Request) -> bool:
    """Send an attempt, if a server may take one now."""
    server = pick(proxy, request)
    if server is None:
        return False
    part_trial_of, latest_us = server.part(request.klass).breaker.take_trial(), request.latest_us()
    attempt = Attempt(server, proxy.now_us, server.breaker.take_trial(), part_trial_of)
    request.attempts.append(attempt)
    request.out += 1
    if not request.opened_us:
        start_work(proxy, attempt)  # a server begins a request once its last byte has come
    needed = SUBSET + proxy.out * min(1.0, max(LEAST_WIDENING, CROWD / sharers(proxy)))
    proxy.reach = max(needed, SUBSET + (proxy.reach - SUBSET) * REACH_MEMORY)
    if cold_share(proxy, server) < 1.0:
        server.spent_us = max(0.0, server.spent_us) + cold_cost_us(proxy, request)
    timeout_us = max(1, end_us(proxy, request) - proxy.now_us)
    proxy.actions.append(Send(request.id, server.entry.server, timeout_us, latest_us))
    overdue_us = proxy.now_us + int(OVERDUE * proxy.expected_us(request))
    if request.rules.effect is not Effect.UNSAFE and overdue_us < request.deadline_us:
        proxy.set_timer(overdue_us, request)
    return True


def start_work(proxy: Proxy, attempt: Attempt) -> None:
    attempt.sent_us = attempt.server.out[attempt] = proxy.now_us
    proxy.out += 1


def stop_work(proxy: Proxy, attempt: Attempt) -> None:
    if attempt.server.out.pop(attempt, None) is not None:
        proxy.out -= 1


def end_us(proxy: Proxy, request: Request) -> int:
    """When an attempt stops being worth waiting for."""
    if request.rules.late_worth > 0.0:
        return request.deadline_us
    return min(request.deadline_us, proxy.now_us + int(AIM_SHARE * (request.aim_us - proxy.now_us)))
