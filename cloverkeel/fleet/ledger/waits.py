"""Writes that wait until enough members hold them on disk."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.interface import Level
from cloverkeel.fleet.ledger.records import Record


@dataclasses.dataclass
class Wait:
    id: str
    record: Record
    level: Level
    until_s: float
    resend_s: float  # when the head is told again
    held: set[str]  # members that have it on disk, this one included


class Waits:
    def __init__(self, me: str, size: int) -> None:
        self.me, self.size = me, size
        self.by_dot: dict[Dot, Wait] = {}

    def held(self, member: str, dots: Iterable[Dot]) -> None:
        for dot in dots:
            if dot in self.by_dot:
                self.by_dot[dot].held.add(member)

    def reached(self, live: Iterable[str], gone: Iterable[str]) -> list[tuple[Wait, int]]:
        """Take out those that have reached their level, with how many members of the view hold each."""
        view = {self.me, *live, *gone}
        done = [wait for wait in self.by_dot.values() if not self.missing(wait, view)]
        for wait in done:
            del self.by_dot[wait.record.dot]
        return [(wait, len(wait.held & view)) for wait in done]

    def expired(self, now_s: float) -> list[Wait]:
        """Take out those whose time is over."""
        over = [wait for wait in self.by_dot.values() if now_s >= wait.until_s]
        for wait in over:
            del self.by_dot[wait.record.dot]
        return over

    def missing(self, wait: Wait, view: set[str]) -> int:
        """How many more members of the view must hold it."""
        have = len(wait.held & view)
        if wait.level is Level.LOCAL:
            return max(0, 1 - have)
        if wait.level is Level.ALL:
            return len(view) - have
        return max(0, max(len(view), self.size) // 2 + 1 - have)

    def why(self, wait: Wait, live: Iterable[str], gone: Iterable[str]) -> str:
        view = {self.me, *live, *gone}
        without = sorted(view - wait.held)
        named = ", ".join(without[:5]) + (", ..." if len(without) > 5 else "")
        return (
            f"{wait.level.value} not reached in time: {len(wait.held & view)} members hold it, "
            f"{self.missing(wait, view)} more are needed (not confirmed: {named or 'none known'})"
        )
