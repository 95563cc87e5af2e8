"""Computes the figures of a run from the logs of the list service, the hosts and the clients; pure.

Times are seconds of one clock (`time.monotonic` of one machine).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

STOP_SENDING_S = 2.0  # time in which a gateway has to stop sending to a host after notification of its drain
SLACK_S = 0.05  # tolerance on each time limit, for sockets


@dataclass(slots=True, frozen=True)
class Drain:
    """The drain of one host, from `set_s` to `until_s`; `index` is the list's first index that has it."""

    host: int
    index: int
    set_s: float
    until_s: float


def max_within(times: Iterable[float], window_s: float) -> int:
    """The largest number of times that lie within any one window."""
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def rate_per_host(events: Iterable[tuple[float, int]], from_s: float, until_s: float, hosts: int) -> float:
    """The mean number of events per host and second in the interval."""
    return sum(from_s <= at < until_s for at, _ in events) / (hosts * max(1.0, until_s - from_s))


def max_per_host_second(events: Iterable[tuple[float, int]]) -> int:
    """The largest number of events at one host in one second of the clock."""
    counts = Counter((host, int(at)) for at, host in events)
    return max(counts.values(), default=0)


def quantile(values: Sequence[float], share: float) -> float:
    """The smallest value such that `share` of the values are at or below it; inf if there are no values."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, max(0, -int(-share * len(ordered) // 1) - 1))]
        if ordered
        else float("inf")
    )


def notified_s(responses: Iterable[tuple[float, int, int]], drain: Drain, shared: bool) -> dict[int, float]:
    """When each gateway was notified of a drain; with `shared`, all count as notified with the first."""
    first: dict[int, float] = {}
    for at, caller, index in responses:
        if index >= drain.index and drain.set_s <= at:
            first[caller] = min(at, first.get(caller, at))
    if not shared or not first:
        return first
    return dict.fromkeys(range(2**16), min(first.values()))


def late_sends(
    arrivals: Iterable[tuple[float, int, int]],
    responses: Sequence[tuple[float, int, int]],
    drain: Drain,
    shared: bool,
) -> list[tuple[float, int]]:
    """The requests that broke the drain rule: seconds since the notification, and the sending gateway."""
    notified = notified_s(responses, drain, shared)
    return [
        (at - notified[gateway], gateway) for at, host, gateway in arrivals
        if host == drain.host and gateway in notified
        and notified[gateway] + STOP_SENDING_S + SLACK_S < at < drain.until_s
    ]  # fmt: skip


def last_send_s(arrivals: Iterable[tuple[float, int, int]], drain: Drain) -> float:
    """Seconds from the drain to the last request that reached the host during it, whether or not notified."""
    return max((at - drain.set_s for at, host, _ in arrivals
                if host == drain.host and drain.set_s < at < drain.until_s), default=0.0)  # fmt: skip


@dataclass(slots=True, frozen=True)
class ResponseCounts:
    """Counts of the clients' requests in the first seconds after each gateway was ready."""

    sent: int
    failed: int  # no response, or a status other than 200, 429 and 503
    refused: int  # status 429 or 503


def count_responses(
    results: Iterable[tuple[float, int, int, float]], ready: dict[int, float], span_s: float
) -> ResponseCounts:
    """Count the requests that were sent to each gateway within `span_s` after it was ready."""
    sent = failed = refused = 0
    for at, gateway, status, _ in results:
        if gateway in ready and ready[gateway] <= at < ready[gateway] + span_s:
            sent += 1
            refused += status in (429, 503)
            failed += status not in (200, 429, 503)
    return ResponseCounts(sent, failed, refused)
