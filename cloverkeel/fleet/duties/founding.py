"""Whether a voter may take part: pure, no I/O.

A vote that is on a lost disk is forgotten, and a log whose voters forget hands a token out twice
(docs/duties.md). So a voter without a journal takes part only as a founder: once every other voter has said
that it has none either. One that founded with this very life of the voter says so; with another, the disk was
lost since.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Founding:
    """`life`: this process's, drawn anew at each start. `has_journal`: on disk, when it started."""

    name: str
    life: int
    others: frozenset[str]
    has_journal: bool
    heard: dict[str, int] = field(default_factory=dict)  # founders, and the life that each told
    refused: str = ""  # why this voter does not take part

    @property
    def may_begin(self) -> bool:
        return self.has_journal or (not self.refused and self.others <= self.heard.keys())

    def answer(self, member: str, life: int) -> tuple[bool, int]:
        """To a voter that asks: whether there is a log that it has no part in, and this one's life. It counts
        as heard: it has no journal."""
        if member not in self.others:
            raise ValueError(f"{member} is no voter here")
        if self.has_journal:
            return True, self.life
        known = self.heard.get(member)
        if known is not None and known != life and self.may_begin:
            return True, self.life  # founded with a life of it that has ended
        self.heard[member] = life
        return False, self.life

    def told(self, member: str, has_log: bool, life: int) -> None:
        """What another voter answered."""
        if member not in self.others or self.may_begin:
            return
        if has_log:
            self.refused = f"{member} has a log that this voter's disk does not have: its votes may be lost"
        else:
            self.heard[member] = life
