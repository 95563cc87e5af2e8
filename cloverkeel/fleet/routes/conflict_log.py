"""Decides which conflicts this member logs, so that each is logged once in the fleet. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal, NamedTuple

from cloverkeel.fleet.lists.relays import rendezvous_score
from cloverkeel.fleet.routes.interface import Conflict

LINES_MAX = 20  # lines logged for one merge; for the rest only their number


class LogLine(NamedTuple):
    """An event to log, with its fields."""

    name: Literal["routes.conflict", "routes.resolved", "routes.untold"]
    fields: dict[str, object]


def logging_member(id: str, live_members: Iterable[str]) -> str:
    """The member that logs a conflict, by rendezvous hashing (Thaler, Ravishankar, 1998) of both names."""
    return min(live_members, key=lambda member: (rendezvous_score("routes", id, member), member))


class ConflictLog:
    """Logs conflicts that appear or are resolved between views. Those in the first view were logged before
    this process started."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.open_conflicts: dict[str, Conflict] | None = None

    def update(self, conflicts: Iterable[Conflict], live_members: frozenset[str]) -> Iterator[LogLine]:
        """The lines to log for a view with these conflicts."""
        current = {conflict.id: conflict for conflict in conflicts}
        previous, self.open_conflicts = self.open_conflicts, current
        if previous is None:
            return
        added = [current[id] for id in current if id not in previous]
        removed = [previous[id] for id in previous if id not in current]
        live_members, logged = live_members | {self.member}, 0
        for index, conflict in enumerate((*added, *removed)):
            if logged == LINES_MAX:
                yield LogLine("routes.untold", {"not_looked_at": len(added) + len(removed) - index})
                return
            if conflict.local or logging_member(conflict.id, live_members) == self.member:
                logged += 1
                yield LogLine(
                    "routes.conflict" if conflict.id in current else "routes.resolved", _fields(conflict)
                )


def _fields(conflict: Conflict) -> dict[str, object]:
    return {
        "id": conflict.id,
        "kind": conflict.kind,
        "severity": conflict.severity,
        "teams": ",".join(conflict.teams) or "-",
        "routes": ",".join(conflict.routes) or "-",
        "field": conflict.field or "-",
        "why": conflict.why,
    }
