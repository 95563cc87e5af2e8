"""Streamed bodies: once part of a body was forwarded, the request is pinned to one attempt."""

from caperdrift.interface import AttemptEnded, BodyEnded, BodyPassing, Outcome, StreamStarted
from caperdrift.policy.answers import cancel_attempts
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.retries import count_served
from caperdrift.policy.sending import add_in_flight, remove_in_flight
from caperdrift.policy.servers import Request
from caperdrift.policy.weights import record_outcome


def on_stream_started(proxy: Proxy, event: StreamStarted) -> None:
    """Record the start of an answer as a success: the rest depends on the network and the client."""
    request = pin_to_attempt(proxy, event)
    if request is None:
        return
    request.streaming = True
    attempt = request.attempts[event.attempt]
    latency_us = proxy.now_us - attempt.sent_us
    ended = AttemptEnded(request.id, event.attempt, attempt.server.entry.server, Outcome.OK, latency_us)
    remove_in_flight(proxy, attempt)
    record_outcome(proxy, request, attempt, ended)
    attempt.streaming = True
    attempt.trial_episode = attempt.class_trial_episode = 0  # its outcome is recorded
    count_served(proxy, request)


def pin_to_attempt(proxy: Proxy, event: StreamStarted | BodyPassing) -> Request | None:
    """Pin a request to one attempt and cancel the others.

    Returns the request, or None if it is unknown or done, or that attempt has ended or streams already.
    """
    request, number = proxy.requests.get(event.request), event.attempt
    if request is None or request.done or not 0 <= number < len(request.attempts):
        return None
    request.pinned = True
    cancel_attempts(proxy, request, kept=number)
    return None if request.attempts[number].ended or request.streaming else request


def on_body_ended(proxy: Proxy, event: BodyEnded) -> None:
    """Start the time of a request, and of the attempt that carries it, now that its body is complete."""
    request = proxy.requests.get(event.request)
    if request is None or not request.body_started_us:
        return
    body_us = proxy.now_us - request.body_started_us
    request.body_started_us = 0
    request.deadline_us += body_us
    request.aim_us += body_us
    for attempt in request.attempts:
        if not attempt.ended and not attempt.streaming:  # an answer that has started counts as done
            add_in_flight(proxy, attempt)
