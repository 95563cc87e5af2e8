"""Final answers, cancelling of attempts, and the queues of in-order requests."""

from collections import deque

from caperdrift.interface import Cancel, Fail, Refuse, RequestGone
from caperdrift.policy.breaker import State
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.sending import attempt_deadline_us, try_send
from caperdrift.policy.servers import Request


def refuse_or_fail(proxy: Proxy, request: Request) -> None:
    """Give the final answer when no attempt is in flight and no further one is possible.

    Refuses if the client may safely retry, else fails.
    """
    if request.done:
        return
    ran = any(a.may_have_run for a in request.attempts)
    if not ran or request.class_settings.clients_may_retry:
        proxy.actions.append(Refuse(request.id, retry_after_us(proxy)))
    else:
        proxy.actions.append(Fail(request.id))
    finish(proxy, request)


def retry_after_us(proxy: Proxy) -> int:
    """Time until the first cooldown ends if the breakers of all servers are open, else 0."""
    breakers = [s.breaker for s in proxy.servers.values()]
    if not breakers or any(b.state is not State.OPEN for b in breakers):
        return 0
    wait_us = min(b.open_until_us for b in breakers) - proxy.now_us
    return max(0, min(wait_us, proxy.settings.max_retry_after_us))


def finish(proxy: Proxy, request: Request, keep_attempts: bool = False) -> None:
    """Mark a request as done, and cancel its attempts in flight unless they are to be kept."""
    request.done = True
    if request.in_flight == 0:
        release_request(proxy, request)
    elif not request.streaming and not keep_attempts:
        cancel_attempts(proxy, request)


def cancel_attempts(proxy: Proxy, request: Request, kept: int | None = None) -> None:
    """Cancel a request's attempts in flight, except the one with the number `kept`."""
    for number, attempt in enumerate(request.attempts if proxy.settings.may_cancel else ()):
        if not attempt.ended and number != kept:
            proxy.actions.append(Cancel(request.id, number))


def on_request_gone(proxy: Proxy, event: RequestGone) -> None:
    """Finish a request whose client has left."""
    request = proxy.requests.get(event.request)
    if request is None or request.done:
        return
    # Cancelling closes a connection that carries one attempt only. A new connection costs the server more
    # than the rest of the work, which it does anyway, and the outcome of the attempt would be lost.
    closes_connection = proxy.settings.attempts_per_connection == 1
    finish(proxy, request, keep_attempts=closes_connection and not any(a.overdue for a in request.attempts))


def enqueue_in_order(proxy: Proxy, request: Request) -> bool:
    """Append a request of an in-order class to its key's queue; True unless it can be sent now.

    A request that would have to wait too long is refused at once: a queue grows no longer than can be served.
    """
    if request.key is None or not request.class_settings.in_order:
        return False
    queue = proxy.key_queues.setdefault(request.key, deque())
    latest_start_us = attempt_deadline_us(proxy, request) - int(proxy.expected_latency_us(request))
    if queue and proxy.now_us + len(queue) * proxy.expected_latency_us(request) > latest_start_us:
        refuse_or_fail(proxy, request)
        return True
    queue.append(request)
    if queue[0] is not request:
        proxy.set_timer(latest_start_us, request)
    return queue[0] is not request


def release_request(proxy: Proxy, request: Request) -> None:
    """Remove a finished request; send the next in its key's queue once the key's rest is over."""
    if proxy.requests.get(request.id) is request:  # while its key rested, its client may have sent it again
        del proxy.requests[request.id]
        proxy.pending_by_route[request.route] -= 1
    queue = proxy.key_queues.get(request.key) if request.key is not None else None
    if queue is None or request not in queue:
        return
    if proxy.now_us < request.key_rest_until_us:
        proxy.set_timer(request.key_rest_until_us, request)
        return
    was_first = queue[0] is request
    queue.remove(request)
    if not queue:
        del proxy.key_queues[request.key]  # type: ignore[arg-type]
    elif was_first and not queue[0].done and not try_send(proxy, queue[0]):
        refuse_or_fail(proxy, queue[0])
