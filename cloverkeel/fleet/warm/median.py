"""The median of what neighbours learned of their hosts: pure.

Of several answers the lower median is taken, host by host and figure by figure, so that one of three that is
sick or lying moves nothing beyond what an honest one says (the median's breakdown point, Hampel, 1971). A
breaker is open only where more than half of those that know the host hold it open, and two at least. A host
that only one of several knows is passed over; of one answer alone no ring and no open breaker is taken.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import TypeVar

from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer

from cloverkeel.fleet import invariants

MIN_WEIGHT, MAX_WEIGHT = 0.05, 1.0  # of a controller's weight, as docs/coldstart.md bounds it
MAX_SERVERS, MAX_RING = 10_000, 1_000  # of one answer, of one ring
MAX_COOLDOWN_US = 3_600_000_000  # of a cooldown
Number = TypeVar("Number", int, float)
CLOSED_BREAKER = LearnedBreaker((), "closed", 0, 0)


def validate(learned: LearnedState) -> LearnedState:
    """The same, if a module could have learned it. Raises ValueError where not: numbers that are none, a host
    told twice, more than a list may have."""
    if len(learned.servers) > MAX_SERVERS:
        raise ValueError(f"{len(learned.servers)} servers, over the bound of {MAX_SERVERS}")
    if len({server.server for server in learned.servers}) < len(learned.servers):
        raise ValueError("a server is told twice")
    figures = [*learned.smoothed_us, *learned.unhindered_us]
    for server in learned.servers:
        figures += [server.weight, server.idle, *(weight for _, weight, _ in server.by_class)]
        if len({klass for klass, _, _ in server.by_class}) < len(server.by_class):
            raise ValueError(f"server {server.server} tells a class twice")
        for breaker in (server.breaker, *(breaker for _, _, breaker in server.by_class)):
            times = (breaker.open_left_us, breaker.cooldown_us)
            if len(breaker.ring) > MAX_RING or not all(0 <= time_us <= MAX_COOLDOWN_US for time_us in times):
                raise ValueError(f"a breaker of server {server.server} is out of range")
    if not all(math.isfinite(figure) and figure >= 0.0 for figure in figures):
        raise ValueError("a figure is no number")
    return learned


def lower_median(values: Sequence[Number]) -> Number:
    return sorted(values)[(len(values) - 1) // 2]


def clamp_weight(weight: float) -> float:
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


def combine(answers: Sequence[LearnedState]) -> LearnedState | None:
    """One learned state of several neighbours' (`checked` before); None where nobody answered."""
    if not answers:
        return None
    told: dict[tuple[int, int], list[LearnedServer]] = {}
    for learned in answers:
        for server in learned.servers:
            told.setdefault((server.server, server.started_us), []).append(server)
    servers = tuple(_combine_server(same) for same in told.values() if len(same) > 1 or len(answers) == 1)
    combined = LearnedState(
        servers,
        _column_medians(learned.smoothed_us for learned in answers),
        _column_medians(learned.unhindered_us for learned in answers),
    )
    if invariants.ON:
        weights = [w for s in servers for w in (s.weight, *(part for _, part, _ in s.by_class))]
        invariants.check(all(MIN_WEIGHT <= w <= MAX_WEIGHT for w in weights), "restored weight out of range")
    return combined


def _column_medians(rows: Iterable[tuple[float, ...]]) -> tuple[float, ...]:
    """Column by column, of those that have it."""
    columns = zip_longest(*rows)
    return tuple(lower_median([value for value in column if value is not None]) for column in columns)


def _combine_server(same: list[LearnedServer]) -> LearnedServer:
    """What several say of one host."""
    parts: dict[int, list[tuple[float, LearnedBreaker]]] = {}
    for server in same:
        for klass, weight, breaker in server.by_class:
            parts.setdefault(klass, []).append((weight, breaker))
    return LearnedServer(
        same[0].server,
        same[0].started_us,
        clamp_weight(lower_median([server.weight for server in same])),
        min(1.0, lower_median([server.idle for server in same])),
        _combine_breaker([server.breaker for server in same], len(same)),
        tuple(
            (
                klass,
                clamp_weight(lower_median([w for w, _ in told])),
                _combine_breaker([b for _, b in told], len(same)),
            )
            for klass, told in sorted(parts.items())
            if len(told) > 1 or len(same) == 1
        ),
    )


def _combine_breaker(told: list[LearnedBreaker], knowing: int) -> LearnedBreaker:
    """`knowing`: how many know the host; one that has no breaker for a class holds none open."""
    opened = [breaker for breaker in told if breaker.state != "closed"]
    if len(opened) > 1 and 2 * len(opened) > knowing:
        left_us = lower_median([breaker.open_left_us for breaker in opened])
        return LearnedBreaker((), "open", left_us, lower_median([b.cooldown_us for b in opened]))
    rings = [breaker.ring for breaker in told if breaker.state == "closed"]
    if len(told) < 2 or 2 * len(rings) <= knowing:
        return CLOSED_BREAKER
    # By the share that failed, none seen as none failed: the median is no worse than an honest one.
    rings.sort(key=lambda ring: sum(ring) / len(ring) if ring else 0.0)
    return LearnedBreaker(rings[(len(rings) - 1) // 2], "closed", 0, 0)
