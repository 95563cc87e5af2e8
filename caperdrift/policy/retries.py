"""What follows an attempt that ended or is overdue: the answer, another try, or a second copy."""

from caperdrift.interface import MAY_STILL_RUN, NEVER_RAN, AttemptEnded, Effect, Outcome
from caperdrift.policy.answers import answer_unserved, finish, free
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.sending import end_us, stop_work, try_send
from caperdrift.policy.servers import Request
from caperdrift.policy.weights import judge


def on_attempt_ended(proxy: Proxy, event: AttemptEnded) -> None:
    request = proxy.requests.get(event.request)
    if request is None or not 0 <= event.attempt < len(request.attempts):
        return
    attempt = request.attempts[event.attempt]
    if attempt.ended:
        return
    attempt.ended = True
    full_unproven = event.outcome is Outcome.FULL and proxy.settings.full_unproven
    attempt.may_have_run = event.outcome not in NEVER_RAN or full_unproven
    if event.outcome in MAY_STILL_RUN:
        request.rests_until_us = proxy.now_us + proxy.settings.key_rest_us
    request.out -= 1
    stop_work(proxy, attempt)
    if not attempt.streaming or event.outcome not in (Outcome.OK, Outcome.CANCELLED):
        judge(proxy, request, attempt, event)
    if request.done:
        if request.out == 0:
            free(proxy, request)
    elif event.finished or event.outcome is Outcome.OK:
        if event.outcome is Outcome.OK and not attempt.streaming:
            count_served(proxy, request)
        finish(proxy, request)
    elif request.out == 0:
        try_again(proxy, request)


def try_again(proxy: Proxy, request: Request) -> None:
    """After the last attempt out has failed: another one, a place in the queue, or the final answer."""
    ran = any(a.may_have_run for a in request.attempts)
    time_left = end_us(proxy, request) - proxy.now_us > proxy.unhindered[request.klass] * request.size
    allowed = not ran or (request.rules.effect is not Effect.UNSAFE and may_repeat(proxy))
    room = len(request.attempts) < request.max_attempts and not request.tied
    if allowed and time_left and room and try_send(proxy, request):
        proxy.retry_tokens -= ran
    else:
        answer_unserved(proxy, request)


def on_overdue(proxy: Proxy, request: Request) -> None:
    """An attempt should have been answered by now: where the class allows, try another server too."""
    late = [a for a in request.attempts if not a.ended]
    for attempt in late:
        attempt.overdue = True
    if not late or request.tied or not proxy.settings.second_copies or not may_repeat(proxy):
        return
    if len(request.attempts) < request.max_attempts and try_send(proxy, request):
        proxy.retry_tokens -= 1


def may_repeat(proxy: Proxy) -> bool:
    """Whether a retry or a second copy of what may have run can be afforded.
    Guards against an overload that feeds itself: none while anything is shed.
    """
    return proxy.retry_tokens >= 1 and proxy.shed <= 0.0


def count_served(proxy: Proxy, request: Request) -> None:
    if request.first_try and proxy.now_us <= request.aim_us and proxy.settings.takes(request.klass):
        proxy.served[request.klass] += 1
