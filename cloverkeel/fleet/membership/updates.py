"""The order of what is said about members, and one member's view of all.

SWIM's states and their order (Das, Gupta, Motivala, 2002; docs/membership.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum


class Status(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# At one incarnation a later state beats an earlier one; a graceful leave tells more than a death.
STATUS_RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 3}


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """What one member says of another, or of itself: its name, where it is heard, incarnation, state
    and zone."""

    name: str
    address: str
    incarnation: int
    status: Status
    zone: str = ""  # where it runs; told with the rest, no part of the order
    suspected_by: str = field(default="", compare=False)  # of a suspicion: who holds it, whoever passed it on

    @property
    def precedence(self) -> tuple[int, int, str]:
        """A total order: two processes that claim one name at one incarnation are told apart by address."""
        return self.incarnation, STATUS_RANK[self.status], self.address


def supersedes(new: MemberUpdate, old: MemberUpdate | None) -> bool:
    """Whether `new` replaces `old`: a higher incarnation always; at the same one, a later state (`RANK`).

    A member that starts again comes back with a higher incarnation than any its old self had, so that its
    old death does not outlive it.
    """
    return old is None or new.precedence > old.precedence


@dataclass(slots=True)
class View:
    """One member's view of all: the newest rumour of each name. `merge` is commutative and idempotent, so
    that views that heard the same rumours in any order, or twice, end alike."""

    me: MemberUpdate
    members: dict[str, MemberUpdate] = field(default_factory=dict)

    def merge(self, rumour: MemberUpdate) -> MemberUpdate | None:
        """Take a rumour; returns what this view now says where it changed, else None. A rumour that this
        member is suspect, dead or gone at its present incarnation is refuted: it is alive at the next. So is
        any of a higher one, which is of an older self: what this member says must outrank it."""
        if rumour.name == self.me.name:
            same = rumour.incarnation == self.me.incarnation and rumour.status is not Status.ALIVE
            if same or rumour.incarnation > self.me.incarnation:
                self.me = replace(self.me, incarnation=rumour.incarnation + 1)
                return self.me
            return None
        known = self.members.get(rumour.name)
        if not supersedes(rumour, known):
            return None
        self.members[rumour.name] = rumour
        return rumour
