"""Final answers, what is called off with them, and the order of requests by key."""

from collections import deque

from caperdrift.interface import Cancel, Fail, Refuse, RequestGone
from caperdrift.policy.breaker import State
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.sending import attempt_deadline_us, try_send
from caperdrift.policy.servers import Request


def refuse_or_fail(proxy: Proxy, request: Request) -> None:
    """The final answer when no attempt is out and none is to come."""
    if request.done:
        return
    ran = any(a.may_have_run for a in request.attempts)
    if not ran or request.class_settings.clients_may_retry:
        proxy.actions.append(Refuse(request.id, retry_after_us(proxy)))
    else:
        proxy.actions.append(Fail(request.id))
    finish(proxy, request)


def retry_after_us(proxy: Proxy) -> int:
    """The shortest cooldown left where every server is open, else none."""
    breakers = [s.breaker for s in proxy.servers.values()]
    if not breakers or any(b.state is not State.OPEN for b in breakers):
        return 0
    wait_us = min(b.open_until_us for b in breakers) - proxy.now_us
    return max(0, min(wait_us, proxy.settings.max_retry_after_us))


def finish(proxy: Proxy, request: Request, goes_on: bool = False) -> None:
    request.done = True
    if request.in_flight == 0:
        release_request(proxy, request)
    elif not request.streaming and not goes_on:
        cancel_attempts(proxy, request)


def cancel_attempts(proxy: Proxy, request: Request, spared: int | None = None) -> None:
    """Cancel what is still out, but for one attempt that is wanted."""
    for number, attempt in enumerate(request.attempts if proxy.settings.may_cancel else ()):
        if not attempt.ended and number != spared:
            proxy.actions.append(Cancel(request.id, number))


def on_request_gone(proxy: Proxy, event: RequestGone) -> None:
    request = proxy.requests.get(event.request)
    if request is None or request.done:
        return
    # Calling off ends the connection: the next costs the server more than the rest of the work, which goes
    # on anyhow, and what the attempt would still tell of the server is lost.
    costly = proxy.settings.attempts_per_connection == 1
    finish(proxy, request, goes_on=costly and not any(a.overdue for a in request.attempts))


def enqueue_in_order(proxy: Proxy, request: Request) -> bool:
    """Put a request of an in-order class in its key's line; True unless its turn is now.
    A line grows no longer than can be served from: who would come too late is refused when that is clear.
    """
    if request.key is None or not request.class_settings.in_order:
        return False
    line = proxy.key_queues.setdefault(request.key, deque())
    last_us = attempt_deadline_us(proxy, request) - int(proxy.expected_latency_us(request))
    if line and proxy.now_us + len(line) * proxy.expected_latency_us(request) > last_us:
        refuse_or_fail(proxy, request)
        return True
    line.append(request)
    if line[0] is not request:
        proxy.set_timer(last_us, request)
    return line[0] is not request


def release_request(proxy: Proxy, request: Request) -> None:
    """Forget a request that is over; in order, the next of its key has its turn once the key rested."""
    if proxy.requests.get(request.id) is request:  # while it rested in line its client may have come again
        del proxy.requests[request.id]
        proxy.pending_by_route[request.route] -= 1
    line = proxy.key_queues.get(request.key) if request.key is not None else None
    if line is None or request not in line:
        return
    if proxy.now_us < request.key_rest_until_us:
        proxy.set_timer(request.key_rest_until_us, request)
        return
    had_turn = line[0] is request
    line.remove(request)
    if not line:
        del proxy.key_queues[request.key]  # type: ignore[arg-type]
    elif had_turn and not line[0].done and not try_send(proxy, line[0]):
        refuse_or_fail(proxy, line[0])
