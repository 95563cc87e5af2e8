"""The figures of a run, from what the list service, the hosts and the clients wrote down; pure.

Times are seconds of one clock (`time.monotonic` of one machine).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

STOP_SENDING_S = 2.0  # after word of a drain: nothing new to that host
SLACK_S = 0.05  # on sockets each time limit is that much longer


@dataclass(slots=True, frozen=True)
class Drain:
    """One host's time of draining, and the list's index that tells of it."""

    host: int
    index: int
    set_s: float
    until_s: float


def max_within(times: Iterable[float], window_s: float) -> int:
    """The most moments that lie in any one window."""
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def rate_per_host(events: Iterable[tuple[float, int]], from_s: float, until_s: float, hosts: int) -> float:
    """The mean for each host and second of what came in that time."""
    return sum(from_s <= at < until_s for at, _ in events) / (hosts * max(1.0, until_s - from_s))


def max_per_host_second(events: Iterable[tuple[float, int]]) -> int:
    """The most that came to one host in one second of the clock."""
    counts = Counter((host, int(at)) for at, host in events)
    return max(counts.values(), default=0)


def quantile(values: Sequence[float], share: float) -> float:
    """The least value that so large a share lies at or under; inf for none."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, max(0, -int(-share * len(ordered) // 1) - 1))]
        if ordered
        else float("inf")
    )


def notified_s(told: Iterable[tuple[float, int, int]], drain: Drain, shared: bool) -> dict[int, float]:
    """When each gateway was told of a drain; where lists are shared by peers, all with the first of them."""
    first: dict[int, float] = {}
    for at, caller, index in told:
        if index >= drain.index and drain.set_s <= at:
            first[caller] = min(at, first.get(caller, at))
    if not shared or not first:
        return first
    return dict.fromkeys(range(2**16), min(first.values()))


def late_sends(
    arrivals: Iterable[tuple[float, int, int]],
    told: Sequence[tuple[float, int, int]],
    drain: Drain,
    shared: bool,
) -> list[tuple[float, int]]:
    """The requests that came to a draining host against the rule: seconds after the word, and from whom."""
    known = notified_s(told, drain, shared)
    return [
        (at - known[gateway], gateway) for at, host, gateway in arrivals
        if host == drain.host and gateway in known
        and known[gateway] + STOP_SENDING_S + SLACK_S < at < drain.until_s
    ]  # fmt: skip


def last_send_s(arrivals: Iterable[tuple[float, int, int]], drain: Drain) -> float:
    """How long after the change the last request came to the host, whoever knew of it."""
    return max((at - drain.set_s for at, host, _ in arrivals
                if host == drain.host and drain.set_s < at < drain.until_s), default=0.0)  # fmt: skip


@dataclass(slots=True, frozen=True)
class ResponseCounts:
    """What the clients got in each gateway's first seconds after it was ready."""

    sent: int
    failed: int  # no answer, or a failure
    refused: int  # 429, 503


def count_responses(
    results: Iterable[tuple[float, int, int, float]], ready: dict[int, float], span_s: float
) -> ResponseCounts:
    sent = failed = refused = 0
    for at, gateway, status, _ in results:
        if gateway in ready and ready[gateway] <= at < ready[gateway] + span_s:
            sent += 1
            refused += status in (429, 503)
            failed += status not in (200, 429, 503)
    return ResponseCounts(sent, failed, refused)
