"""Shedding: which requests to refuse on arrival, and how many."""

from caperdrift.interface import TELL_OF_LOAD, AttemptEnded, Outcome
from caperdrift.policy.proxy import OVERDUE, Proxy
from caperdrift.policy.servers import Request

TOLERATED = 0.25  # share of the slack under its aim that an answer may have waited, if that is over latency
CHEAP = 0.5  # of the mean worth for work: what is worth less yields to waiting, the rest only to lateness
INFLATED = 2.75  # times the unhindered latency: answers of crowded servers, whatever the aim
NOTICED = 0.02  # share of the slack under its aim: a shorter wait is no crowd, or the pause of a fast host
SHED_STEP = 0.1  # of the work asked for, shed more or less after one answer
SHED_RATE = 0.4  # the same for each second since the last answer, where that makes it more
SHED_LONGEST_US = 500_000  # one answer speaks for no longer: a single long one on a quiet day is chance
SHED_MOST = 0.95  # what still comes through tells when to shed less; see is_shed where nothing does


def is_shed(proxy: Proxy, request: Request) -> bool:
    """Whether to refuse a request before it costs a server anything.
    Guards against queues that grow past every aim: what gains the goal least for its work goes first.
    """
    if request.rules.late_worth <= 0.0 and proxy.now_us >= request.aim_us:
        return True  # a repeat whose aim is over earns nothing
    untold = proxy.out == 0 and proxy.now_us - proxy.shed_at_us >= SHED_LONGEST_US
    if untold or (proxy.shed <= 0.0 and proxy.shed_dear <= 0.0):
        return False  # no answer speaks of a crowd any more and none is to come: this one's will
    if proxy.random.random() < request.excess:
        return True
    gains = worths(proxy)
    mine = gains[request.klass]
    shares = [a * u for a, u in zip(proxy.asked, proxy.unhindered, strict=True)]
    total = sum(shares) or 1.0
    below = sum(share for share, worth in zip(shares, gains, strict=True) if worth < mine) / total
    point = below + shares[request.klass] / total * proxy.random.random()
    mean = sum(share * worth for share, worth in zip(shares, gains, strict=True)) / total
    return point < (proxy.shed if mine < CHEAP * mean else proxy.shed_dear)


def worths(proxy: Proxy) -> list[float]:
    """What the goal gains from each unit of server time, by class."""
    goal, classes = proxy.settings.goal, proxy.settings.classes
    total = sum(proxy.asked) or 1.0
    mean = sum(c.worth * a for c, a in zip(classes, proxy.asked, strict=True)) / total or 1.0
    fractions = [s / a if a else 1.0 for s, a in zip(proxy.served, proxy.asked, strict=True)]
    gains = []
    for index, klass in enumerate(classes):
        gain = (goal.whole + goal.worst_window) * klass.worth / mean
        if fractions[index] == min(fractions) and proxy.asked[index]:
            gain += goal.worst_class * total / proxy.asked[index]
        gains.append(gain / (1.0 if proxy.settings.worth_by_work else proxy.unhindered[index]))
    return gains


def adjust_shed(proxy: Proxy, request: Request, event: AttemptEnded) -> None:
    """Feedback like the weights': more after an answer that waited too long, less after a prompt one."""
    klass, unhindered_us = request.rules, proxy.unhindered[request.klass]
    if event.outcome not in TELL_OF_LOAD or not proxy.settings.takes(request.klass):
        return
    waited = event.latency_us - unhindered_us * request.size
    bad = event.outcome is not Outcome.OK
    slack_us = klass.aim_for_us(request.work_us) - unhindered_us
    # Where hosts answer in a fraction of a millisecond any pause of a process is many times that.
    crowded = bad or waited > max((INFLATED - 1.0) * unhindered_us * request.size, NOTICED * slack_us)
    long = (bad or waited > TOLERATED * slack_us) if slack_us > unhindered_us else crowded
    # By the time since the last answer: with few of them a jam must be noticed as soon as with many.
    step = max(SHED_STEP, SHED_RATE * min(proxy.now_us - proxy.shed_at_us, SHED_LONGEST_US) / 1e6)
    proxy.shed_at_us = proxy.now_us
    proxy.shed = min(SHED_MOST, max(0.0, proxy.shed + (step if long else -step)))
    move = step if crowded else -step
    usual_us = OVERDUE * proxy.expected_us(request)
    if event.outcome is Outcome.TIMEOUT and klass.late_worth <= 0.0 and event.latency_us < usual_us:
        move = step / 4  # cut short at the aim: as likely a lost connection's silence as a crowd's
    proxy.shed_dear = min(SHED_MOST, max(0.0, proxy.shed_dear + move))
