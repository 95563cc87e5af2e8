"""Runs a history of a replicated part (ledger, activation, routes) and reports how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from faultlab.storm.cluster.ledger import LedgerCluster


@dataclass(slots=True)
class HistoryResult:
    """Result of a history. `violations` were found at event number `events`, which ended it; empty: none."""

    members: int
    events: int
    virtual_s: float  # simulated seconds
    violations: list[str]


def run_history(cluster: LedgerCluster, steps: int, step: Callable[[], None]) -> HistoryResult:
    """Take `steps` random steps, heal all faults and check the end state; the first violation ends it."""
    raised: list[str] = []
    try:
        for _ in range(steps):
            step()
            if cluster.violations():
                break
        else:
            cluster.finish()
    except Exception as error:  # an exception of a core counts as a violation
        raised.append(repr(error))
    return HistoryResult(len(cluster.members), cluster.events, cluster.now_s, cluster.violations() + raised)
