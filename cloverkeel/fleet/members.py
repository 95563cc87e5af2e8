"""Membership's pure core, first part: the order of what is said about members, and Lifeguard's timings.

Follows docs/membership.md: SWIM (Das, Gupta, Motivala, 2002) for the states and their order, Lifeguard
(Dadgar, Phillips, Currey, 2018) for the local health multiplier and the suspicion timeouts that shrink with
independent confirmations, memberlist's documented queue for piggybacked rumours. No clock and no socket:
times are passed in, in seconds. The probe cycle and the messages come next (docs/ROADMAP.md).
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum


class Status(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# At one incarnation a later state beats an earlier one; a graceful leave tells more than a death.
RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 3}


@dataclass(slots=True, frozen=True)
class Rumour:
    """What one member says of another, or of itself: its name, where it is heard, incarnation and state."""

    name: str
    address: str
    incarnation: int
    status: Status

    @property
    def order(self) -> tuple[int, int, str]:
        """A total order: two processes that claim one name at one incarnation are told apart by address."""
        return self.incarnation, RANK[self.status], self.address


def supersedes(new: Rumour, old: Rumour | None) -> bool:
    """Whether `new` replaces `old`: a higher incarnation always; at the same one, a later state (`RANK`).

    A member that starts again comes back with a higher incarnation than any its old self had, so that its
    old death does not outlive it.
    """
    return old is None or new.order > old.order


@dataclass(slots=True)
class View:
    """One member's view of all: the newest rumour of each name. `merge` is commutative and idempotent, so
    that views that heard the same rumours in any order, or twice, end alike."""

    me: Rumour
    members: dict[str, Rumour] = field(default_factory=dict)

    def merge(self, rumour: Rumour) -> Rumour | None:
        """Take a rumour; returns what this view now says where it changed, else None. A rumour that this
        member is suspect, dead or gone at its present incarnation is refuted: it is alive at the next."""
        if rumour.name == self.me.name:
            if rumour.status is not Status.ALIVE and rumour.incarnation >= self.me.incarnation:
                self.me = replace(self.me, incarnation=rumour.incarnation + 1)
                return self.me
            return None
        known = self.members.get(rumour.name)
        if not supersedes(rumour, known):
            return None
        self.members[rumour.name] = rumour
        return rumour


def suspicion_timeout_s(
    members: int, confirmations: int, probe_interval_s: float, alpha: float, beta: float, expected: int = 3
) -> float:
    """Seconds a suspect has before it is declared dead (Lifeguard, section IV.B).

    From `beta` times the minimum down to the minimum `alpha * log10(members) * probe_interval_s`, by
    `log(confirmations + 1) / log(expected + 1)` of the way: each member that suspects it independently
    shortens the wait, and `expected` of them bring it to the minimum. `members` counts at least 2.
    """
    least = alpha * math.log10(max(members, 2)) * probe_interval_s
    most = beta * least
    share = math.log(max(confirmations, 0) + 1) / math.log(expected + 1)
    return max(least, most - (most - least) * share)


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health multiplier (section IV.A): 0 is healthy, `most` the slowest it goes.

    Probe interval and timeout are multiplied by `scale`, so that a member that is itself slow asks less
    and waits longer before it suspects others.
    """

    most: int = 8
    score: int = 0

    def worse(self) -> None:
        """A probe of ours failed, a helper sent no nack, or we had to refute a suspicion of ourselves."""
        self.score = min(self.most, self.score + 1)

    def better(self) -> None:
        """A probe of ours was answered."""
        self.score = max(0, self.score - 1)

    @property
    def scale(self) -> int:
        return self.score + 1


@dataclass(slots=True)
class Broadcasts:
    """Rumours that wait to ride on outgoing messages (SWIM's piggybacking, section 4.1).

    One a name: a newer rumour of a name replaces the one before, sent or not. Each goes out at most `limit`
    times; those sent least go first, and among them the newest, as memberlist's transmit-limited queue does.
    """

    waiting: dict[str, tuple[int, int, Rumour]] = field(default_factory=dict)  # name: times sent, stamp, it
    stamp: int = 0

    def add(self, rumour: Rumour) -> None:
        self.stamp += 1
        self.waiting[rumour.name] = (0, self.stamp, rumour)

    def take(self, budget: int, size: Callable[[Rumour], int], limit: int) -> list[Rumour]:
        """As many as fit in `budget` bytes by `size`, in the order above; each taken counts as sent once."""
        chosen: list[Rumour] = []
        for sent, stamp, rumour in sorted(self.waiting.values(), key=lambda w: (w[0], -w[1])):
            cost = size(rumour)
            if cost > budget:
                continue
            budget -= cost
            chosen.append(rumour)
            if sent + 1 >= limit:
                del self.waiting[rumour.name]
            else:
                self.waiting[rumour.name] = (sent + 1, stamp, rumour)
        return chosen


def retransmits(mult: int, members: int) -> int:
    """How many times a rumour rides on messages before it is dropped: `mult * ceil(log2(members + 1))`."""
    return mult * math.ceil(math.log2(members + 1))
