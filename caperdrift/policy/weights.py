"""Judging servers by their outcomes: breakers, the weight controller, and smoothed latencies."""

from caperdrift.interface import AttemptEnded, Outcome
from caperdrift.policy.breaker import Breaker, State
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import MAX_WEIGHT, MIN_WEIGHT, Attempt, ClassState, Request, Server
from caperdrift.policy.shedding import adjust_shed

WEIGHT_STEP = 0.02  # added by a good answer
WEIGHT_CUT = 0.7  # factor of a failure or a slow reply
SLOW_FACTOR = 2.0  # times the smoothed latency: a slow reply
SMOOTHING = 0.05  # share of the newest sample in smoothed values
BASELINE_RISE = 0.0005  # relative rise of the unhindered latency with each answer: no jam is usual at once


def record_outcome(proxy: Proxy, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
    server, outcome = attempt.server, event.outcome
    part = server.class_state(request.klass)
    if outcome not in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
        part.breaker.release_trial(attempt.class_trial_episode)
    if outcome is Outcome.NOT_SENT or (outcome is Outcome.CANCELLED and not attempt.overdue):
        server.breaker.release_trial(attempt.trial_episode)
        return
    failed = outcome is not Outcome.OK
    ratio = 0.0 if failed else event.latency_us / max(1.0, proxy.expected_latency_us(request))
    if not failed:
        update_latencies(proxy, request, event.latency_us)
    if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
        part.last_ok = not failed
        adjust_weight(proxy, part, failed)
        common = common_failure_share(proxy, server, request.klass) if failed else 0.0
        changed = part.breaker.record(proxy.now_us, failed, attempt.class_trial_episode, common)
        log_transition(proxy, server, part.breaker, changed, f" for class {request.klass}")
        others = [
            p.last_ok for k, p in server.by_class.items() if p is not part and proxy.settings.accepts_class(k)
        ]
        if failed and others and all(others):
            server.breaker.release_trial(attempt.trial_episode)
            return  # it serves others: no verdict on the whole server
    adjust_shed(proxy, request, event)
    adjust_weight(proxy, server, failed or ratio > SLOW_FACTOR)
    common = common_failure_share(proxy, server, None) if failed else 0.0
    changed = server.breaker.record(proxy.now_us, failed, attempt.trial_episode, common)
    unreachable, server.unreachable = server.unreachable, outcome is Outcome.CONNECT_FAILED
    verdict = server.unreachable and (unreachable or attempt.trial_episode)
    if verdict and server.breaker.state is not State.OPEN:
        # Guards against asking again and again at a dead process or a full connection table: two of these
        # on end, or a trial's, are enough. A lone one may be a single broken connection.
        changed = server.breaker.reopen(proxy.now_us)
    log_transition(proxy, server, server.breaker, changed)


def log_transition(
    proxy: Proxy, server: Server, breaker: Breaker, changed: State | None, of: str = ""
) -> None:
    if changed is State.OPEN:
        proxy.log(f"server {server.entry.server}: breaker{of} open for {breaker.cooldown_us / 1e6:g} s")
    elif changed is State.CLOSED:
        proxy.log(f"server {server.entry.server}: breaker{of} closed")


def update_latencies(proxy: Proxy, request: Request, latency_us: int) -> None:
    index, latency = request.klass, latency_us / request.relative_work
    usual, floor = proxy.smoothed_us[index], proxy.baseline_us[index]
    proxy.smoothed_us[index] += SMOOTHING * (latency - usual)
    if floor == usual < latency:  # no answer was faster yet than the first guess: it was too low for both
        proxy.baseline_us[index] = proxy.smoothed_us[index]
    else:
        proxy.baseline_us[index] += min(0.0, proxy.smoothed_us[index] - floor) + BASELINE_RISE * floor


def adjust_weight(proxy: Proxy, judged: Server | ClassState, bad: bool) -> None:
    """The controller: a small step up for a good answer, a cut for a failure or a slow one."""
    if judged.breaker.state is not State.CLOSED:
        return  # it keeps the weight it had when it tripped
    judged.weight = (
        max(MIN_WEIGHT, judged.weight * WEIGHT_CUT) if bad else min(MAX_WEIGHT, judged.weight + WEIGHT_STEP)
    )


def common_failure_share(proxy: Proxy, server: Server, klass: int | None) -> float:
    """Failure share of the other servers' rings: what no single server is to blame for."""
    servers = [s for s in proxy.servers.values() if s is not server]
    others = [s.breaker if klass is None else s.class_state(klass).breaker for s in servers]
    closed = [b for b in others if b.state is State.CLOSED]
    entries = sum(len(b.ring) for b in closed)
    return sum(b.failures for b in closed) / entries if entries else 0.0
