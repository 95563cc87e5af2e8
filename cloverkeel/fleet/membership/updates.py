"""Member updates, the order in which they override each other, and one member's view of the cluster.

States and their order follow SWIM (Das, Gupta, Motivala, 2002; docs/membership.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum


class Status(Enum):
    """State of a member as another member sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# At the same incarnation a higher rank overrides a lower one. LEFT outranks DEAD: it is the more precise.
STATUS_RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 3}


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """State of one member, as reported by another member or by itself."""

    name: str
    address: str  # ip:port at which the member listens
    incarnation: int
    status: Status
    zone: str = ""  # zone in which the member runs; not part of the order
    # For a suspicion: the member that raised it, which is not always the one that passed it on.
    suspected_by: str = field(default="", compare=False)

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Key of the total order; the address decides between two processes that claim one name."""
        return self.incarnation, STATUS_RANK[self.status], self.address


def supersedes(new: MemberUpdate, old: MemberUpdate | None) -> bool:
    """Whether `new` replaces `old`: by a higher incarnation or, at the same one, a higher `STATUS_RANK`.

    A restarted member comes back with a higher incarnation than its earlier process had, so that an old
    report of its death does not override it.
    """
    return old is None or new.precedence > old.precedence


@dataclass(slots=True)
class View:
    """One member's view of the cluster: the newest update for each name.

    `merge` is commutative and idempotent: views that received the same updates in any order, or more than
    once, are equal.
    """

    me: MemberUpdate
    members: dict[str, MemberUpdate] = field(default_factory=dict)

    def merge(self, update: MemberUpdate) -> MemberUpdate | None:
        """Merge an update; returns the view's new entry, or None if nothing changed.

        An update that calls this member suspect, dead or left at its current incarnation is refuted: the
        member is alive at the next incarnation. So is any update about this member with a higher incarnation:
        it is about an earlier process of the same name, which this member has to outrank.
        """
        if update.name == self.me.name:
            same = update.incarnation == self.me.incarnation and update.status is not Status.ALIVE
            if same or update.incarnation > self.me.incarnation:
                self.me = replace(self.me, incarnation=update.incarnation + 1)
                return self.me
            return None
        known = self.members.get(update.name)
        if not supersedes(update, known):
            return None
        self.members[update.name] = update
        return update
