"""How a history of a replicated part ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from faultlab.storm.cluster.ledger import LedgerCluster


@dataclass(slots=True)
class HistoryResult:
    """`violations` are those of event number `events`, which ended the history; empty: nothing broke."""

    members: int
    events: int
    virtual_s: float
    violations: list[str]


def run_history(cluster: LedgerCluster, steps: int, step: Callable[[], None]) -> HistoryResult:
    """Take so many random steps, heal all and judge; the first violation ends it. Deterministic."""
    raised: list[str] = []
    try:
        for _ in range(steps):
            step()
            if cluster.violations():
                break
        else:
            cluster.finish()
    except Exception as error:  # a core's own is as much a violation as what a check found
        raised.append(repr(error))
    return HistoryResult(len(cluster.members), cluster.events, cluster.now_s, cluster.violations() + raised)
