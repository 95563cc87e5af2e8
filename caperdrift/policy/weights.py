"""Effects of an attempt's outcome: breakers, the weight controller, and smoothed latencies."""

from caperdrift.interface import AttemptEnded, Outcome
from caperdrift.policy.breaker import Breaker, State
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import MAX_WEIGHT, MIN_WEIGHT, Attempt, ClassState, Request, Server
from caperdrift.policy.shedding import adjust_shed

WEIGHT_STEP = 0.02  # added to a weight by a success
WEIGHT_CUT = 0.7  # factor on a weight after a failure or a slow answer
SLOW_FACTOR = 2.0  # an answer is slow beyond this multiple of the expected latency
SMOOTHING = 0.05  # share of the newest sample in smoothed values
BASELINE_RISE = 0.0005  # relative rise of the baseline latency per answer: overload must not raise it quickly


def record_outcome(proxy: Proxy, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
    """Update breakers, weights, latencies and shedding with the outcome of an attempt."""
    server, outcome = attempt.server, event.outcome
    class_state = server.class_state(request.klass)
    if outcome not in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
        class_state.breaker.release_trial(attempt.class_trial_episode)
    if outcome is Outcome.NOT_SENT or (outcome is Outcome.CANCELLED and not attempt.overdue):
        server.breaker.release_trial(attempt.trial_episode)
        return
    failed = outcome is not Outcome.OK
    ratio = 0.0 if failed else event.latency_us / max(1.0, proxy.expected_latency_us(request))
    if not failed:
        update_latencies(proxy, request, event.latency_us)
    if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
        class_state.last_ok = not failed
        adjust_weight(proxy, class_state, failed)
        common = common_failure_share(proxy, server, request.klass) if failed else 0.0
        changed = class_state.breaker.record(proxy.now_us, failed, attempt.class_trial_episode, common)
        log_transition(proxy, server, class_state.breaker, changed, f" for class {request.klass}")
        others = [
            other.last_ok
            for klass, other in server.by_class.items()
            if other is not class_state and proxy.settings.accepts_class(klass)
        ]
        if failed and others and all(others):
            server.breaker.release_trial(attempt.trial_episode)
            return  # the server answers all other classes: this failure does not count against all of it
    adjust_shed(proxy, request, event)
    adjust_weight(proxy, server, failed or ratio > SLOW_FACTOR)
    common = common_failure_share(proxy, server, None) if failed else 0.0
    changed = server.breaker.record(proxy.now_us, failed, attempt.trial_episode, common)
    was_unreachable, server.unreachable = server.unreachable, outcome is Outcome.CONNECT_FAILED
    must_open = server.unreachable and (was_unreachable or attempt.trial_episode)
    if must_open and server.breaker.state is not State.OPEN:
        # Two failed connects in a row, or one of a trial, open the breaker: the process is gone or its
        # connection table is full, and further attempts would fail too. A single one may be chance.
        changed = server.breaker.reopen(proxy.now_us)
    log_transition(proxy, server, server.breaker, changed)


def log_transition(
    proxy: Proxy, server: Server, breaker: Breaker, changed: State | None, scope: str = ""
) -> None:
    """Log that a breaker has opened or closed; `scope` says which of a server's breakers."""
    if changed is State.OPEN:
        proxy.log(f"server {server.entry.server}: breaker{scope} open for {breaker.cooldown_us / 1e6:g} s")
    elif changed is State.CLOSED:
        proxy.log(f"server {server.entry.server}: breaker{scope} closed")


def update_latencies(proxy: Proxy, request: Request, latency_us: int) -> None:
    """Update the smoothed and the baseline latency of a class with a success."""
    index, latency = request.klass, latency_us / request.relative_work
    smoothed, baseline = proxy.smoothed_us[index], proxy.baseline_us[index]
    proxy.smoothed_us[index] += SMOOTHING * (latency - smoothed)
    if baseline == smoothed < latency:  # no answer was faster than the initial estimate: too low for both
        proxy.baseline_us[index] = proxy.smoothed_us[index]
    else:
        proxy.baseline_us[index] += min(0.0, proxy.smoothed_us[index] - baseline) + BASELINE_RISE * baseline


def adjust_weight(proxy: Proxy, target: Server | ClassState, bad: bool) -> None:
    """The feedback controller: raise a weight by a small step after a good answer, cut it after a bad one."""
    if target.breaker.state is not State.CLOSED:
        return  # it keeps the weight that it had when its breaker opened
    target.weight = (
        max(MIN_WEIGHT, target.weight * WEIGHT_CUT) if bad else min(MAX_WEIGHT, target.weight + WEIGHT_STEP)
    )


def common_failure_share(proxy: Proxy, server: Server, klass: int | None) -> float:
    """Share of failures in the closed breakers of all other servers: failures with a common cause.

    `klass` is the class whose breakers count; None for the breakers of whole servers.
    """
    servers = [s for s in proxy.servers.values() if s is not server]
    others = [s.breaker if klass is None else s.class_state(klass).breaker for s in servers]
    closed = [b for b in others if b.state is State.CLOSED]
    entries = sum(len(b.ring) for b in closed)
    return sum(b.failures for b in closed) / entries if entries else 0.0
