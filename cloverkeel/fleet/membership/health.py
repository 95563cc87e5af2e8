"""Lifeguard's two measures (Dadgar, Phillips, Currey, 2018): suspicion timeouts that shrink with independent
confirmations, and the local health multiplier."""

from __future__ import annotations

import math
from dataclasses import dataclass


def suspicion_timeout_s(
    members: int, confirmations: int, probe_interval_s: float, alpha: float, beta: float, expected: int = 3
) -> float:
    """Seconds a suspect has before it is declared dead (Lifeguard, section IV.B).

    From `beta` times the minimum down to the minimum `alpha * log10(members) * probe_interval_s`, by
    `log(confirmations + 1) / log(expected + 1)` of the way: each member that suspects it independently
    shortens the wait, and `expected` of them, or as many as there are, bring it to the minimum. `members`
    counts at least 2.
    """
    expected = min(expected, members - 2)  # all but the first that suspects it and the suspect itself
    least = alpha * math.log10(max(members, 2)) * probe_interval_s
    most = beta * least
    if expected < 1:
        return least
    share = math.log(max(confirmations, 0) + 1) / math.log(expected + 1)
    return max(least, most - (most - least) * share)


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health multiplier (section IV.A): 0 is healthy, `most` the slowest it goes.

    Probe interval and timeout are multiplied by `scale`, so that a member that is itself slow asks less
    and waits longer before it suspects others.
    """

    max_score: int = 8
    score: int = 0

    def degrade(self) -> None:
        """A probe of ours failed and nothing tells that the fault is not ours, we stood still for a probe
        period, or we had to refute a suspicion of ourselves."""
        self.score = min(self.max_score, self.score + 1)

    def improve(self) -> None:
        """A probe of ours was answered."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        return self.score + 1
