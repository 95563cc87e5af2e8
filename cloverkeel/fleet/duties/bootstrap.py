"""Decides whether a voter may join the quorum; no I/O.

A vote on a lost disk is forgotten, and a log whose voters forget votes grants a token twice (docs/duties.md).
So a voter without a journal may only found a new log, once every other voter has answered that it has no
journal either. A voter that has founded a log remembers the run id of each founder: one that asks again with
another run id has lost its disk since.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Bootstrap:
    """One voter's start.

    `run_id`: drawn anew at each start of the process. `has_journal`: whether it found a journal on its disk.
    """

    name: str
    run_id: int
    others: frozenset[str]
    has_journal: bool
    founder_run_ids: dict[str, int] = field(default_factory=dict)  # run id of each voter without a journal
    refusal: str = ""  # why this voter may not join; empty: no reason known

    @property
    def may_start(self) -> bool:
        """Whether this voter has a journal, or all others have said that they have none."""
        return self.has_journal or (not self.refusal and self.others <= self.founder_run_ids.keys())

    def answer(self, voter: str, run_id: int) -> tuple[bool, int]:
        """Answers a voter without a journal: whether there is a log that it may not join, and this run id.

        The caller is recorded as a founder. Raises ValueError if it is not a voter.
        """
        if voter not in self.others:
            raise ValueError(f"{voter} is no voter here")
        if self.has_journal:
            return True, self.run_id
        known_run_id = self.founder_run_ids.get(voter)
        if known_run_id is not None and known_run_id != run_id and self.may_start:
            return True, self.run_id  # founded the log with an earlier run of that voter, whose disk is lost
        self.founder_run_ids[voter] = run_id
        return False, self.run_id

    def handle_answer(self, voter: str, has_log: bool, run_id: int) -> None:
        """Processes another voter's answer."""
        if voter not in self.others or self.may_start:
            return
        if has_log:
            self.refusal = f"{voter} has a log that this voter's disk does not have: its votes may be lost"
        else:
            self.founder_run_ids[voter] = run_id
