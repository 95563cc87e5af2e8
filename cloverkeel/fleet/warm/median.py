"""Combines the learned state of several neighbours into one by medians: pure.

The lower median is taken host by host and value by value, so that one wrong answer out of three moves no
value beyond those of the correct ones (the median's breakdown point, Hampel, 1971). A breaker is open only
where more than half of the neighbours that know the host, and at least two, have it open or half-open. A host
that only one of several neighbours knows is skipped. From a single answer neither outcome rings nor open
breakers are taken.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import TypeVar

from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer

from cloverkeel.fleet import invariants

MIN_WEIGHT, MAX_WEIGHT = 0.05, 1.0  # bounds of a controller's weight, see docs/coldstart.md
MAX_SERVERS, MAX_RING = 10_000, 1_000  # per answer; outcomes per ring
MAX_COOLDOWN_US = 3_600_000_000  # of a cooldown and of the time until a breaker's trial: one hour
Number = TypeVar("Number", int, float)
CLOSED_BREAKER = LearnedBreaker((), "closed", 0, 0)  # closed, without outcomes


def validate(learned: LearnedState) -> LearnedState:
    """Return `learned` if a balancer could have learned it.

    Raises ValueError otherwise: for numbers that are not finite or out of range, duplicate servers or
    classes, and lists over their limit.
    """
    if len(learned.servers) > MAX_SERVERS:
        raise ValueError(f"learned state has {len(learned.servers)} servers, over the limit of {MAX_SERVERS}")
    if len({server.server for server in learned.servers}) < len(learned.servers):
        raise ValueError("learned state has a duplicate server")
    numbers = [*learned.smoothed_us, *learned.unhindered_us]
    for server in learned.servers:
        numbers += [server.weight, server.idle, *(weight for _, weight, _ in server.by_class)]
        if len({klass for klass, _, _ in server.by_class}) < len(server.by_class):
            raise ValueError(f"learned state of server {server.server} has a duplicate class")
        for breaker in (server.breaker, *(breaker for _, _, breaker in server.by_class)):
            times = (breaker.open_left_us, breaker.cooldown_us)
            if len(breaker.ring) > MAX_RING or not all(0 <= time_us <= MAX_COOLDOWN_US for time_us in times):
                raise ValueError(f"learned state of server {server.server} has a breaker out of range")
    if not all(math.isfinite(number) and number >= 0.0 for number in numbers):
        raise ValueError("learned state has a value that is negative or not finite")
    return learned


def lower_median(values: Sequence[Number]) -> Number:
    """Return the median; of an even number of values, the lower of the middle two."""
    return sorted(values)[(len(values) - 1) // 2]


def clamp_weight(weight: float) -> float:
    """Limit a weight to MIN_WEIGHT and MAX_WEIGHT."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))


def combine(answers: Sequence[LearnedState]) -> LearnedState | None:
    """Combine the answers of several neighbours, each passed by `validate`; None where there is no answer."""
    if not answers:
        return None
    by_server: dict[tuple[int, int], list[LearnedServer]] = {}
    for learned in answers:
        for server in learned.servers:
            by_server.setdefault((server.server, server.started_us), []).append(server)
    servers = tuple(
        _combine_server(reports) for reports in by_server.values() if len(reports) > 1 or len(answers) == 1
    )
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
    """Return the median of each column, over the rows that reach it."""
    columns = zip_longest(*rows)
    return tuple(lower_median([value for value in column if value is not None]) for column in columns)


def _combine_server(reports: list[LearnedServer]) -> LearnedServer:
    """Combine several reports on one host."""
    by_klass: dict[int, list[tuple[float, LearnedBreaker]]] = {}
    for server in reports:
        for klass, weight, breaker in server.by_class:
            by_klass.setdefault(klass, []).append((weight, breaker))
    return LearnedServer(
        reports[0].server,
        reports[0].started_us,
        clamp_weight(lower_median([server.weight for server in reports])),
        min(1.0, lower_median([server.idle for server in reports])),
        _combine_breaker([server.breaker for server in reports], len(reports)),
        tuple(
            (
                klass,
                clamp_weight(lower_median([w for w, _ in class_reports])),
                _combine_breaker([b for _, b in class_reports], len(reports)),
            )
            for klass, class_reports in sorted(by_klass.items())
            if len(class_reports) > 1 or len(reports) == 1
        ),
    )


def _combine_breaker(reports: list[LearnedBreaker], known_by: int) -> LearnedBreaker:
    """Combine the reports on one breaker.

    `known_by` is the number of neighbours that know the host. One that has no breaker for a class counts as
    not having it open.
    """
    opened = [breaker for breaker in reports if breaker.state != "closed"]
    if len(opened) > 1 and 2 * len(opened) > known_by:
        left_us = lower_median([breaker.open_left_us for breaker in opened])
        return LearnedBreaker((), "open", left_us, lower_median([b.cooldown_us for b in opened]))
    rings = [breaker.ring for breaker in reports if breaker.state == "closed"]
    if len(reports) < 2 or 2 * len(rings) <= known_by:
        return CLOSED_BREAKER
    # Sorted by failure ratio, an empty ring as 0: the median is no worse than a correct neighbour's ring.
    rings.sort(key=lambda ring: sum(ring) / len(ring) if ring else 0.0)
    return LearnedBreaker(rings[(len(rings) - 1) // 2], "closed", 0, 0)
