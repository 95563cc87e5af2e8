"""Writes that wait until enough members hold them on disk."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.interface import Level
from cloverkeel.fleet.ledger.records import Record


@dataclasses.dataclass
class PendingAck:
    id: str
    record: Record
    level: Level
    deadline_s: float
    next_resend_s: float  # when the head is told again
    holders: set[str]  # members that have it on disk, this one included


class PendingAcks:
    def __init__(self, me: str, size: int) -> None:
        self.own_name, self.cluster_size = me, size
        self.by_dot: dict[Dot, PendingAck] = {}

    def record_holders(self, member: str, dots: Iterable[Dot]) -> None:
        for dot in dots:
            if dot in self.by_dot:
                self.by_dot[dot].holders.add(member)

    def pop_reached(self, live: Iterable[str], gone: Iterable[str]) -> list[tuple[PendingAck, int]]:
        """Take out those that have reached their level, with how many members of the view hold each."""
        view = {self.own_name, *live, *gone}
        done = [wait for wait in self.by_dot.values() if not self.missing_count(wait, view)]
        for wait in done:
            del self.by_dot[wait.record.dot]
        return [(wait, len(wait.holders & view)) for wait in done]

    def pop_expired(self, now_s: float) -> list[PendingAck]:
        """Take out those whose time is over."""
        over = [wait for wait in self.by_dot.values() if now_s >= wait.deadline_s]
        for wait in over:
            del self.by_dot[wait.record.dot]
        return over

    def missing_count(self, wait: PendingAck, view: set[str]) -> int:
        """How many more members of the view must hold it."""
        have = len(wait.holders & view)
        if wait.level is Level.LOCAL:
            return max(0, 1 - have)
        if wait.level is Level.ALL:
            return len(view) - have
        return max(0, max(len(view), self.cluster_size) // 2 + 1 - have)

    def timeout_reason(self, wait: PendingAck, live: Iterable[str], gone: Iterable[str]) -> str:
        view = {self.own_name, *live, *gone}
        without = sorted(view - wait.holders)
        named = ", ".join(without[:5]) + (", ..." if len(without) > 5 else "")
        return (
            f"{wait.level.value} not reached in time: {len(wait.holders & view)} members hold it, "
            f"{self.missing_count(wait, view)} more are needed (not confirmed: {named or 'none known'})"
        )
