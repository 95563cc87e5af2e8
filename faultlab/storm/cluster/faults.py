"""What befalls a cluster: one history's faults, drawn from a seed or given by a test."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from cloverkeel.fleet.membership.messages import Timing

MAX_MEMBERS = 500


class FaultKind(Enum):
    KILL = "kill"
    PAUSE = "pause"  # its ticks stop and its datagrams wait, for `length_s`
    RESTART = "restart"  # killed, and started again at its address with a higher incarnation
    RESTART_OLD = "restart_old"  # with the incarnation that it had at its first start
    MOVE = "move"  # restarted at another address, with a higher incarnation
    LEAVE = "leave"
    JOIN = "join"
    CLAIM = "claim"  # another process starts with the same name, its incarnation lower, equal or higher
    UPGRADE = "upgrade"  # the same, let take over; the old one leaves after `length_s`
    SPLIT = "split"  # a `share` of the addresses is cut off from the rest for `length_s`
    ONE_WAY = "one_way"  # what that share sends to the rest is lost
    LOSS = "loss"  # up to half of all datagrams
    DUPLICATE = "twice"  # up to half of all datagrams come twice
    SLOW = "slow"  # delays up to half a second, so that datagrams overtake each other


@dataclass(slots=True, frozen=True)
class Fault:
    """`who` counts through the processes that run at the time; `share` is in [0, 1)."""

    at_s: float
    kind: FaultKind
    process_index: int = 0
    share: float = 0.5
    duration_s: float = 1.0


@dataclass(slots=True, frozen=True)
class History:
    """A cluster of `size` that starts within `start_s`, its faults until `faults_s`, and then calm; with
    `reaped` it is watched in calm until all that are gone must be forgotten, with `lists` its processes share
    lists of hosts."""

    seed: int
    size: int
    faults: tuple[Fault, ...] = ()
    timing: Timing = field(default_factory=Timing)
    seeds: int = 1
    start_s: float = 0.5
    faults_until_s: float = 10.0
    tick_s: float = 0.03
    await_reap: bool = False
    with_lists: bool = False


def draw_history(seed: int) -> History:
    """One history from its seed: most are small, one in 40 is of 100 to 500 members."""
    rng = random.Random(seed)
    large = rng.random() < 1 / 40
    size = rng.randint(100, MAX_MEMBERS) if large else round(5 * 8 ** rng.random() ** 2)
    faults_s = rng.uniform(2.0, 6.0) if large else rng.uniform(3.0, 20.0)
    begin_s = rng.choice((0.0, 2.0, 2.0))  # in the middle of the start, or after it
    kinds = rng.sample(list(FaultKind), rng.randint(1, 6))
    count = rng.randint(0, 12)
    faults = sorted(
        (
            Fault(
                at_s=rng.uniform(begin_s, begin_s + faults_s),
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
        faults_until_s=begin_s + faults_s,
        tick_s=0.05 if large else rng.choice((0.01, 0.03, 0.05)),
        await_reap=not large and rng.random() < 0.3,
        with_lists=rng.random() < 0.5,
    )
