"""Own writes that wait until enough members hold them on disk, as their level requires."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.interface import Level
from cloverkeel.fleet.ledger.records import Record


@dataclasses.dataclass
class PendingAck:
    """One write that has not reached its level."""

    id: str
    record: Record
    level: Level
    deadline_s: float  # when it is reported as not confirmed
    next_resend_s: float  # when the head is sent again to members that have not confirmed it
    holders: set[str]  # members that have it on disk, this one included


class PendingAcks:
    """All writes of this member that have not reached their level, by dot."""

    def __init__(self, own_name: str, cluster_size: int) -> None:
        self.own_name, self.cluster_size = own_name, cluster_size
        self.by_dot: dict[Dot, PendingAck] = {}

    def record_holders(self, member: str, dots: Iterable[Dot]) -> None:
        """Records that `member` has these dots on disk."""
        for dot in dots:
            if dot in self.by_dot:
                self.by_dot[dot].holders.add(member)

    def pop_reached(self, live: Iterable[str], gone: Iterable[str]) -> list[tuple[PendingAck, int]]:
        """Removes and returns the writes that have reached their level, with the number of their holders."""
        view = {self.own_name, *live, *gone}
        reached = [pending for pending in self.by_dot.values() if not self.missing_count(pending, view)]
        for pending in reached:
            del self.by_dot[pending.record.dot]
        return [(pending, len(pending.holders & view)) for pending in reached]

    def pop_expired(self, now_s: float) -> list[PendingAck]:
        """Removes and returns the writes whose deadline has passed."""
        expired = [pending for pending in self.by_dot.values() if now_s >= pending.deadline_s]
        for pending in expired:
            del self.by_dot[pending.record.dot]
        return expired

    def missing_count(self, pending: PendingAck, view: set[str]) -> int:
        """How many more members of the view must hold the write for its level."""
        holder_count = len(pending.holders & view)
        if pending.level is Level.LOCAL:
            return max(0, 1 - holder_count)
        if pending.level is Level.ALL:
            return len(view) - holder_count
        return max(0, max(len(view), self.cluster_size) // 2 + 1 - holder_count)

    def timeout_reason(self, pending: PendingAck, live: Iterable[str], gone: Iterable[str]) -> str:
        """Why the write was not confirmed, for the log and for the writer."""
        view = {self.own_name, *live, *gone}
        unconfirmed = sorted(view - pending.holders)
        names = ", ".join(unconfirmed[:5]) + (", ..." if len(unconfirmed) > 5 else "")
        return (
            f"{pending.level.value} not reached in time: {len(pending.holders & view)} members hold it, "
            f"{self.missing_count(pending, view)} more are needed (not confirmed by: {names or 'none known'})"
        )
