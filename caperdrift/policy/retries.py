"""What follows an attempt that ended or is overdue: the final answer, a retry or a hedge."""

from caperdrift.interface import MAY_STILL_RUN, NEVER_RAN, AttemptEnded, Effect, Outcome
from caperdrift.policy.answers import finish, refuse_or_fail, release_request
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.sending import attempt_deadline_us, remove_in_flight, try_send
from caperdrift.policy.servers import Request
from caperdrift.policy.weights import record_outcome


def on_attempt_ended(proxy: Proxy, event: AttemptEnded) -> None:
    """Record the outcome of an attempt; finish or retry its request."""
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
        request.key_rest_until_us = proxy.now_us + proxy.settings.key_rest_us
    request.in_flight -= 1
    remove_in_flight(proxy, attempt)
    if not attempt.streaming or event.outcome not in (Outcome.OK, Outcome.CANCELLED):
        record_outcome(proxy, request, attempt, event)
    if request.done:
        if request.in_flight == 0:
            release_request(proxy, request)
    elif event.finished or event.outcome is Outcome.OK:
        if event.outcome is Outcome.OK and not attempt.streaming:
            count_served(proxy, request)
        finish(proxy, request)
    elif request.in_flight == 0:
        retry_or_answer(proxy, request)


def retry_or_answer(proxy: Proxy, request: Request) -> None:
    """After the last attempt in flight has failed: send a retry if possible, else give the final answer."""
    ran = any(a.may_have_run for a in request.attempts)
    time_left = (
        attempt_deadline_us(proxy, request) - proxy.now_us
        > proxy.baseline_us[request.klass] * request.relative_work
    )
    allowed = not ran or (request.class_settings.effect is not Effect.UNSAFE and can_afford_retry(proxy))
    possible = len(request.attempts) < request.max_attempts and not request.pinned
    if allowed and time_left and possible and try_send(proxy, request):
        proxy.retry_tokens -= ran
    else:
        refuse_or_fail(proxy, request)


def on_overdue(proxy: Proxy, request: Request) -> None:
    """A request's attempts are overdue: send a hedge to another server where that is allowed."""
    overdue = [a for a in request.attempts if not a.ended]
    for attempt in overdue:
        attempt.overdue = True
    if not overdue or request.pinned or not proxy.settings.second_copies or not can_afford_retry(proxy):
        return
    if len(request.attempts) < request.max_attempts and try_send(proxy, request):
        proxy.retry_tokens -= 1


def can_afford_retry(proxy: Proxy) -> bool:
    """Whether the retry budget allows a retry or a hedge of a request that may have run.

    None while anything is shed, so that retries do not prolong an overload.
    """
    return proxy.retry_tokens >= 1 and proxy.shed_low_value <= 0.0


def count_served(proxy: Proxy, request: Request) -> None:
    """Count a first try that was answered within its target latency."""
    if request.first_try and proxy.now_us <= request.aim_us and proxy.settings.accepts_class(request.klass):
        proxy.served[request.klass] += 1
