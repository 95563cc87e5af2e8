"""Load shedding: which requests to refuse on arrival, and how many."""

from caperdrift.interface import LOAD_OUTCOMES, AttemptEnded, Outcome
from caperdrift.policy.proxy import OVERDUE_FACTOR, Proxy
from caperdrift.policy.servers import Request

# The slack of an answer is its target latency less the baseline latency of its class. An answer may wait for
# this share of its slack, if the slack exceeds the baseline, before more low-value work is shed.
TOLERATED_WAIT_SHARE = 0.25
# A class has low value if its gain per unit of server time is below this multiple of the mean. Such a class
# is shed when answers have to wait, the others only when servers are overloaded.
LOW_VALUE_FACTOR = 0.5
OVERLOAD_FACTOR = 2.75  # latency over baseline that shows an overloaded server, whatever the target
NOTICEABLE_WAIT_SHARE = 0.02  # share of the slack: a shorter wait may just be a pause of a fast host
SHED_STEP = 0.1  # change of a shed share after one answer
SHED_RATE = 0.4  # change per second since the previous answer, where that is more
MAX_SHED_INTERVAL_US = 500_000  # longest time that one answer counts for: under low load a slow one is chance
MAX_SHED = 0.95  # requests still let through show when to shed less; see should_shed where there are none


def should_shed(proxy: Proxy, request: Request) -> bool:
    """Whether to refuse a request on arrival, before it uses any server time.

    Keeps queues from growing until every answer misses its target. Requests that gain the goal least for
    their work are shed first.
    """
    if request.class_settings.late_worth <= 0.0 and proxy.now_us >= request.aim_us:
        return True  # a client retry past its target latency has no worth
    no_feedback = proxy.in_flight == 0 and proxy.now_us - proxy.shed_updated_us >= MAX_SHED_INTERVAL_US
    if no_feedback or (proxy.shed_low_value <= 0.0 and proxy.shed_high_value <= 0.0):
        return False  # without feedback: no answer is recent or to be expected, so let this request bring one
    if proxy.random.random() < request.tenant_excess:
        return True
    gains = gains_by_class(proxy)
    own_gain = gains[request.klass]
    work = [count * baseline_us for count, baseline_us in zip(proxy.offered, proxy.baseline_us, strict=True)]
    total = sum(work) or 1.0
    # All offered work is ordered by gain; the request's place in it is random within the work of its class.
    below = sum(amount for amount, gain in zip(work, gains, strict=True) if gain < own_gain) / total
    place = below + work[request.klass] / total * proxy.random.random()
    mean = sum(amount * gain for amount, gain in zip(work, gains, strict=True)) / total
    return place < (proxy.shed_low_value if own_gain < LOW_VALUE_FACTOR * mean else proxy.shed_high_value)


def gains_by_class(proxy: Proxy) -> list[float]:
    """What a unit of server time gains for the operator's goal, by class."""
    goal, classes = proxy.settings.goal, proxy.settings.classes
    total = sum(proxy.offered) or 1.0
    mean = sum(c.worth * count for c, count in zip(classes, proxy.offered, strict=True)) / total or 1.0
    served = [good / count if count else 1.0 for good, count in zip(proxy.served, proxy.offered, strict=True)]
    gains = []
    for index, klass in enumerate(classes):
        gain = (goal.whole + goal.worst_window) * klass.worth / mean
        if served[index] == min(served) and proxy.offered[index]:
            gain += goal.worst_class * total / proxy.offered[index]
        gains.append(gain / (1.0 if proxy.settings.worth_by_work else proxy.baseline_us[index]))
    return gains


def adjust_shed(proxy: Proxy, request: Request, event: AttemptEnded) -> None:
    """Shed more after an answer that waited too long, less after a prompt one."""
    class_settings, baseline_us = request.class_settings, proxy.baseline_us[request.klass]
    if event.outcome not in LOAD_OUTCOMES or not proxy.settings.accepts_class(request.klass):
        return
    waited_us = event.latency_us - baseline_us * request.relative_work
    failed = event.outcome is not Outcome.OK
    slack_us = class_settings.aim_for_work_us(request.work_us) - baseline_us
    # Where hosts answer in a fraction of a millisecond, any pause of a process is many times the baseline.
    overloaded = failed or waited_us > max(
        (OVERLOAD_FACTOR - 1.0) * baseline_us * request.relative_work, NOTICEABLE_WAIT_SHARE * slack_us
    )
    waited_long = (
        (failed or waited_us > TOLERATED_WAIT_SHARE * slack_us) if slack_us > baseline_us else overloaded
    )
    # Scaled by the time since the previous answer: overload must show as soon with few answers as with many.
    step = max(SHED_STEP, SHED_RATE * min(proxy.now_us - proxy.shed_updated_us, MAX_SHED_INTERVAL_US) / 1e6)
    proxy.shed_updated_us = proxy.now_us
    proxy.shed_low_value = min(MAX_SHED, max(0.0, proxy.shed_low_value + (step if waited_long else -step)))
    change = step if overloaded else -step
    late_us = OVERDUE_FACTOR * proxy.expected_latency_us(request)
    if event.outcome is Outcome.TIMEOUT and class_settings.late_worth <= 0.0 and event.latency_us < late_us:
        change = step / 4  # timed out at the target already: a lost connection is as likely as overload
    proxy.shed_high_value = min(MAX_SHED, max(0.0, proxy.shed_high_value + change))
