"""Shedding: which requests to refuse on arrival, and how many."""

from caperdrift.interface import LOAD_OUTCOMES, AttemptEnded, Outcome
from caperdrift.policy.proxy import OVERDUE_FACTOR, Proxy
from caperdrift.policy.servers import Request

TOLERATED_WAIT_SHARE = (
    0.25  # share of the slack under its aim that an answer may have waited, if that is over latency
)
LOW_VALUE_FACTOR = (
    0.5  # of the mean worth for work: what is worth less yields to waiting, the rest only to lateness
)
CROWDED_FACTOR = 2.75  # times the unhindered latency: answers of crowded servers, whatever the aim
NOTICEABLE_WAIT_SHARE = (
    0.02  # share of the slack under its aim: a shorter wait is no crowd, or the pause of a fast host
)
SHED_STEP = 0.1  # of the work asked for, shed more or less after one answer
SHED_RATE = 0.4  # the same for each second since the last answer, where that makes it more
MAX_SHED_INTERVAL_US = 500_000  # one answer speaks for no longer: a single long one on a quiet day is chance
MAX_SHED = 0.95  # what still comes through tells when to shed less; see is_shed where nothing does


def should_shed(proxy: Proxy, request: Request) -> bool:
    """Whether to refuse a request before it costs a server anything.
    Guards against queues that grow past every aim: what gains the goal least for its work goes first.
    """
    if request.class_settings.late_worth <= 0.0 and proxy.now_us >= request.aim_us:
        return True  # a repeat whose aim is over earns nothing
    untold = proxy.in_flight == 0 and proxy.now_us - proxy.shed_updated_us >= MAX_SHED_INTERVAL_US
    if untold or (proxy.shed_low_value <= 0.0 and proxy.shed_high_value <= 0.0):
        return False  # no answer speaks of a crowd any more and none is to come: this one's will
    if proxy.random.random() < request.tenant_excess:
        return True
    gains = gains_by_class(proxy)
    mine = gains[request.klass]
    shares = [a * u for a, u in zip(proxy.offered, proxy.baseline_us, strict=True)]
    total = sum(shares) or 1.0
    below = sum(share for share, worth in zip(shares, gains, strict=True) if worth < mine) / total
    point = below + shares[request.klass] / total * proxy.random.random()
    mean = sum(share * worth for share, worth in zip(shares, gains, strict=True)) / total
    return point < (proxy.shed_low_value if mine < LOW_VALUE_FACTOR * mean else proxy.shed_high_value)


def gains_by_class(proxy: Proxy) -> list[float]:
    """What the goal gains from each unit of server time, by class."""
    goal, classes = proxy.settings.goal, proxy.settings.classes
    total = sum(proxy.offered) or 1.0
    mean = sum(c.worth * a for c, a in zip(classes, proxy.offered, strict=True)) / total or 1.0
    fractions = [s / a if a else 1.0 for s, a in zip(proxy.served, proxy.offered, strict=True)]
    gains = []
    for index, klass in enumerate(classes):
        gain = (goal.whole + goal.worst_window) * klass.worth / mean
        if fractions[index] == min(fractions) and proxy.offered[index]:
            gain += goal.worst_class * total / proxy.offered[index]
        gains.append(gain / (1.0 if proxy.settings.worth_by_work else proxy.baseline_us[index]))
    return gains


def adjust_shed(proxy: Proxy, request: Request, event: AttemptEnded) -> None:
    """Feedback like the weights': more after an answer that waited too long, less after a prompt one."""
    klass, unhindered_us = request.class_settings, proxy.baseline_us[request.klass]
    if event.outcome not in LOAD_OUTCOMES or not proxy.settings.accepts_class(request.klass):
        return
    waited = event.latency_us - unhindered_us * request.relative_work
    bad = event.outcome is not Outcome.OK
    slack_us = klass.aim_for_work_us(request.work_us) - unhindered_us
    # Where hosts answer in a fraction of a millisecond any pause of a process is many times that.
    crowded = bad or waited > max(
        (CROWDED_FACTOR - 1.0) * unhindered_us * request.relative_work, NOTICEABLE_WAIT_SHARE * slack_us
    )
    long = (bad or waited > TOLERATED_WAIT_SHARE * slack_us) if slack_us > unhindered_us else crowded
    # By the time since the last answer: with few of them a jam must be noticed as soon as with many.
    step = max(SHED_STEP, SHED_RATE * min(proxy.now_us - proxy.shed_updated_us, MAX_SHED_INTERVAL_US) / 1e6)
    proxy.shed_updated_us = proxy.now_us
    proxy.shed_low_value = min(MAX_SHED, max(0.0, proxy.shed_low_value + (step if long else -step)))
    move = step if crowded else -step
    usual_us = OVERDUE_FACTOR * proxy.expected_latency_us(request)
    if event.outcome is Outcome.TIMEOUT and klass.late_worth <= 0.0 and event.latency_us < usual_us:
        move = step / 4  # cut short at the aim: as likely a lost connection's silence as a crowd's
    proxy.shed_high_value = min(MAX_SHED, max(0.0, proxy.shed_high_value + move))
