"""Which conflicts this member tells the log of: each is told once, not once a gateway. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal, NamedTuple

from cloverkeel.fleet.lists.relays import rendezvous_score
from cloverkeel.fleet.routes.interface import Conflict

LINES_MAX = 20  # of one merge; of the rest the number is told


class LogLine(NamedTuple):
    name: Literal["routes.conflict", "routes.resolved", "routes.untold"]
    fields: dict[str, object]


def logging_member(id: str, live: Iterable[str]) -> str:
    """The member that tells of a conflict: rendezvous hashing (Thaler, Ravishankar, 1998) on both names."""
    return min(live, key=lambda member: (rendezvous_score("routes", id, member), member))


class ConflictLog:
    """What comes and goes between one view and the next. What the first has was told in a life before."""

    def __init__(self, me: str) -> None:
        self.member = me
        self.open_conflicts: dict[str, Conflict] | None = None

    def update(self, conflicts: Iterable[Conflict], live: frozenset[str]) -> Iterator[LogLine]:
        now = {conflict.id: conflict for conflict in conflicts}
        before, self.open_conflicts = self.open_conflicts, now
        if before is None:
            return
        came = [now[id] for id in now if id not in before]
        went = [before[id] for id in before if id not in now]
        live, told = live | {self.member}, 0
        for looked, conflict in enumerate((*came, *went)):
            if told == LINES_MAX:
                yield LogLine("routes.untold", {"not_looked_at": len(came) + len(went) - looked})
                return
            if conflict.local or logging_member(conflict.id, live) == self.member:
                told += 1
                yield LogLine(
                    "routes.conflict" if conflict.id in now else "routes.resolved", _fields(conflict)
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
