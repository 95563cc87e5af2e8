"""Faults of a membership cluster, and histories of them, drawn from a seed or given by a test."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from cloverkeel.fleet.membership.messages import Timing

MAX_MEMBERS = 500  # of the largest random cluster


class FaultKind(Enum):
    """What a fault does. The values are printed by `--replay`."""

    KILL = "kill"
    PAUSE = "pause"  # for `duration_s` its ticks stop and its datagrams wait
    RESTART = "restart"  # killed; started at the same address with a higher incarnation after `duration_s`
    RESTART_OLD = "restart_old"  # the same, with the incarnation that it started with
    MOVE = "move"  # the same as RESTART, at another address
    LEAVE = "leave"
    JOIN = "join"
    CLAIM = "claim"  # another process starts with its name and a lower, equal or higher incarnation
    UPGRADE = "upgrade"  # a successor takes its name over; the old process leaves after `duration_s`
    SPLIT = "split"  # for `duration_s` a `share` of the addresses is partitioned from the others
    ONE_WAY = "one_way"  # the same, and only what that share sends to the others is lost
    LOSS = "loss"  # up to half of all datagrams are lost
    DUPLICATE = "twice"  # up to half of all datagrams are delivered twice
    SLOW = "slow"  # delays up to 0.5 s, so that datagrams are reordered


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault. `process_index`, modulo their number, selects one of the active processes at that time."""

    at_s: float
    kind: FaultKind
    process_index: int = 0
    share: float = 0.5  # in [0, 1): of the addresses, of the datagrams or of the greatest delay
    duration_s: float = 1.0


@dataclass(slots=True, frozen=True)
class History:
    """The plan of one run: a cluster, its faults, and what is checked after the faults have ended."""

    seed: int
    size: int  # members at the start
    faults: tuple[Fault, ...] = ()
    timing: Timing = field(default_factory=Timing)
    seeds: int = 1  # seed addresses of the membership
    start_s: float = 0.5  # all members start within this time
    faults_until_s: float = 10.0  # no fault begins after this time
    tick_s: float = 0.03
    await_reap: bool = False  # check too that members that are gone are reaped
    with_lists: bool = False  # the processes share server lists, which are checked too


def draw_history(seed: int) -> History:
    """A random history: most have 5 to 40 members, one in 40 has 100 to 500."""
    rng = random.Random(seed)
    large = rng.random() < 1 / 40
    size = rng.randint(100, MAX_MEMBERS) if large else round(5 * 8 ** rng.random() ** 2)
    faults_length_s = rng.uniform(2.0, 6.0) if large else rng.uniform(3.0, 20.0)
    begin_s = rng.choice((0.0, 2.0, 2.0))  # faults begin while members start, or after it
    kinds = rng.sample(list(FaultKind), rng.randint(1, 6))
    count = rng.randint(0, 12)
    faults = sorted(
        (
            Fault(
                at_s=rng.uniform(begin_s, begin_s + faults_length_s),
                kind=rng.choice(kinds),
                process_index=rng.randrange(10_000),
                share=rng.random(),
                duration_s=rng.choice((0.2, 1.0, 3.0, 8.0)) * rng.uniform(0.5, 1.5),
            )
            for _ in range(count)
        ),
        key=lambda fault: fault.at_s,
    )
    timing = Timing(push_pull_s=rng.choice((2.0, 5.0)), reap_after_s=rng.choice((8.0, 30.0)))
    return History(
        seed=seed,
        size=size,
        faults=tuple(faults),
        timing=timing,
        seeds=rng.randint(1, 3),
        start_s=rng.choice((0.05, 1.0)),
        faults_until_s=begin_s + faults_length_s,
        tick_s=0.05 if large else rng.choice((0.01, 0.03, 0.05)),
        await_reap=not large and rng.random() < 0.3,
        with_lists=rng.random() < 0.5,
    )
