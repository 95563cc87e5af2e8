"""Whether a voter may take part: pure, no I/O.

A vote that is on a lost disk is forgotten, and a log whose voters forget hands a token out twice
(docs/duties.md). So a voter without a journal takes part only as a founder: once every other voter has said
that it has none either. One that founded with this very life of the voter says so; with another, the disk was
lost since.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Bootstrap:
    """`life`: this process's, drawn anew at each start. `has_journal`: on disk, when it started."""

    name: str
    run_id: int
    others: frozenset[str]
    has_journal: bool
    founder_run_ids: dict[str, int] = field(default_factory=dict)  # founders, and the life that each told
    refusal: str = ""  # why this voter does not take part

    @property
    def may_start(self) -> bool:
        return self.has_journal or (not self.refusal and self.others <= self.founder_run_ids.keys())

    def answer(self, member: str, life: int) -> tuple[bool, int]:
        """To a voter that asks: whether there is a log that it has no part in, and this one's life. It counts
        as heard: it has no journal."""
        if member not in self.others:
            raise ValueError(f"{member} is no voter here")
        if self.has_journal:
            return True, self.run_id
        known = self.founder_run_ids.get(member)
        if known is not None and known != life and self.may_start:
            return True, self.run_id  # founded with a life of it that has ended
        self.founder_run_ids[member] = life
        return False, self.run_id

    def handle_answer(self, member: str, has_log: bool, life: int) -> None:
        """What another voter answered."""
        if member not in self.others or self.may_start:
            return
        if has_log:
            self.refusal = f"{member} has a log that this voter's disk does not have: its votes may be lost"
        else:
            self.founder_run_ids[member] = life
