"""Lifeguard's suspicion timeout and local health multiplier (Dadgar, Phillips, Currey, 2018)."""

from __future__ import annotations

import math
from dataclasses import dataclass


def suspicion_timeout_s(
    members: int, confirmations: int, probe_interval_s: float, alpha: float, beta: float, expected: int = 3
) -> float:
    """Seconds until a suspect is declared dead (Lifeguard, section IV.B).

    The minimum is `alpha * log10(members) * probe_interval_s`, with `members` taken as at least 2. The
    timeout starts at `beta` times the minimum and falls by `log(confirmations + 1) / log(expected + 1)` of
    the difference: each member that suspects independently shortens it, and `expected` confirmations, or as
    many as the cluster can give, bring it to the minimum.
    """
    expected = min(expected, members - 2)  # neither the first accuser nor the suspect can confirm
    shortest_s = alpha * math.log10(max(members, 2)) * probe_interval_s
    longest_s = beta * shortest_s
    if expected < 1:
        return shortest_s
    share = math.log(max(confirmations, 0) + 1) / math.log(expected + 1)
    return max(shortest_s, longest_s - (longest_s - shortest_s) * share)


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health multiplier (section IV.A): score 0 is healthy, `max_score` the worst.

    The probe interval and timeout are multiplied by `multiplier`, so that a member that is itself slow probes
    less often and waits longer before it suspects others.
    """

    max_score: int = 8
    score: int = 0

    def degrade(self) -> None:
        """Raise the score.

        Called when a probe failed with no sign that the cause is elsewhere, when this process stalled for a
        probe interval, and when it had to refute a suspicion about itself.
        """
        self.score = min(self.max_score, self.score + 1)

    def improve(self) -> None:
        """Lower the score: a probe was acked."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """Factor for the probe interval and timeout, from 1 to `max_score + 1`."""
        return self.score + 1
