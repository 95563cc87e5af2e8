"""Bodies that come or go in pieces: they tie a request to one attempt."""

from caperdrift.interface import AttemptEnded, BodyEnded, BodyPassing, Outcome, StreamStarted
from caperdrift.policy.answers import call_off
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.retries import count_served
from caperdrift.policy.sending import start_work, stop_work
from caperdrift.policy.servers import Request
from caperdrift.policy.weights import judge


def on_stream(proxy: Proxy, event: StreamStarted) -> None:
    """The answer's first bytes are here: they tell of the server, the rest of the line and the client."""
    request = tie(proxy, event)
    if request is None:
        return
    request.streaming = True
    attempt = request.attempts[event.attempt]
    latency_us = proxy.now_us - attempt.sent_us
    ended = AttemptEnded(request.id, event.attempt, attempt.server.entry.server, Outcome.OK, latency_us)
    stop_work(proxy, attempt)
    judge(proxy, request, attempt, ended)
    attempt.streaming = True
    attempt.trial_of = attempt.part_trial_of = 0  # it has had its say
    count_served(proxy, request)


def tie(proxy: Proxy, event: StreamStarted | BodyPassing) -> Request | None:
    """Leave a request to one attempt of it: what is out besides is called off."""
    request, number = proxy.requests.get(event.request), event.attempt
    if request is None or request.done or not 0 <= number < len(request.attempts):
        return None
    request.tied = True
    call_off(proxy, request, spared=number)
    return None if request.attempts[number].ended or request.streaming else request


def on_body_ended(proxy: Proxy, event: BodyEnded) -> None:
    """The last byte has come: the request's time, and that of the attempt that carries it, begin."""
    request = proxy.requests.get(event.request)
    if request is None or not request.opened_us:
        return
    taken_us = proxy.now_us - request.opened_us
    request.opened_us = 0
    request.deadline_us += taken_us
    request.aim_us += taken_us
    for attempt in request.attempts:
        if not attempt.ended and not attempt.streaming:  # a begun answer is no work in hand any more
            start_work(proxy, attempt)
