"""Judging servers by their outcomes: breakers, the weight controller, and smoothed latencies."""

from caperdrift.interface import AttemptEnded, Outcome
from caperdrift.policy.breaker import Breaker, State
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import CEILING, FLOOR, Attempt, Part, Request, Server
from caperdrift.policy.shedding import adjust_shed

STEP = 0.02  # added by a good answer
CUT = 0.7  # factor of a failure or a slow reply
SLOW = 2.0  # times the smoothed latency: a slow reply
SMOOTHING = 0.05  # share of the newest sample in smoothed values
UNHINDERED_UP = 0.0005  # relative rise of the unhindered latency with each answer: no jam is usual at once


def judge(proxy: Proxy, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
    server, outcome = attempt.server, event.outcome
    part = server.part(request.klass)
    if outcome not in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
        part.breaker.forgo_trial(attempt.part_trial_of)
    if outcome is Outcome.MOOT or (outcome is Outcome.CANCELLED and not attempt.overdue):
        server.breaker.forgo_trial(attempt.trial_of)
        return
    failed = outcome is not Outcome.OK
    ratio = 0.0 if failed else event.latency_us / max(1.0, proxy.expected_us(request))
    if not failed:
        learn_latency(proxy, request, event.latency_us)
    if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
        part.fine = not failed
        adjust_weight(proxy, part, failed)
        common = common_share(proxy, server, request.klass) if failed else 0.0
        changed = part.breaker.record(proxy.now_us, failed, attempt.part_trial_of, common)
        log_change(proxy, server, part.breaker, changed, f" for class {request.klass}")
        others = [p.fine for k, p in server.parts.items() if p is not part and proxy.settings.takes(k)]
        if failed and others and all(others):
            server.breaker.forgo_trial(attempt.trial_of)
            return  # it serves others: no verdict on the whole server
    adjust_shed(proxy, request, event)
    adjust_weight(proxy, server, failed or ratio > SLOW)
    common = common_share(proxy, server, None) if failed else 0.0
    changed = server.breaker.record(proxy.now_us, failed, attempt.trial_of, common)
    unreachable, server.unreachable = server.unreachable, outcome is Outcome.CONNECT_FAILED
    verdict = server.unreachable and (unreachable or attempt.trial_of)
    if verdict and server.breaker.state is not State.OPEN:
        # Guards against asking again and again at a dead process or a full connection table: two of these
        # on end, or a trial's, are enough. A lone one may be a single broken connection.
        changed = server.breaker.reopen(proxy.now_us)
    log_change(proxy, server, server.breaker, changed)


def log_change(proxy: Proxy, server: Server, breaker: Breaker, changed: State | None, of: str = "") -> None:
    if changed is State.OPEN:
        proxy.log(f"server {server.entry.server}: breaker{of} open for {breaker.cooldown_us / 1e6:g} s")
    elif changed is State.CLOSED:
        proxy.log(f"server {server.entry.server}: breaker{of} closed")


def learn_latency(proxy: Proxy, request: Request, latency_us: int) -> None:
    index, latency = request.klass, latency_us / request.size
    usual, floor = proxy.smoothed[index], proxy.unhindered[index]
    proxy.smoothed[index] += SMOOTHING * (latency - usual)
    if floor == usual < latency:  # no answer was faster yet than the first guess: it was too low for both
        proxy.unhindered[index] = proxy.smoothed[index]
    else:
        proxy.unhindered[index] += min(0.0, proxy.smoothed[index] - floor) + UNHINDERED_UP * floor


def adjust_weight(proxy: Proxy, judged: Server | Part, bad: bool) -> None:
    """The controller: a small step up for a good answer, a cut for a failure or a slow one."""
    if judged.breaker.state is not State.CLOSED:
        return  # it keeps the weight it had when it tripped
    judged.weight = max(FLOOR, judged.weight * CUT) if bad else min(CEILING, judged.weight + STEP)


def common_share(proxy: Proxy, server: Server, klass: int | None) -> float:
    """Failure share of the other servers' rings: what no single server is to blame for."""
    servers = [s for s in proxy.servers.values() if s is not server]
    others = [s.breaker if klass is None else s.part(klass).breaker for s in servers]
    closed = [b for b in others if b.state is State.CLOSED]
    entries = sum(len(b.ring) for b in closed)
    return sum(b.failures for b in closed) / entries if entries else 0.0
