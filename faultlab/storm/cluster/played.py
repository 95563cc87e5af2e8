"""How a history of a replicated part ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from faultlab.storm.cluster.ledger import Cluster


@dataclass(slots=True)
class Played:
    """`violations` are those of event number `events`, which ended the history; empty: nothing broke."""

    members: int
    events: int
    virtual_s: float
    violations: list[str]


def perform(cluster: Cluster, steps: int, step: Callable[[], None]) -> Played:
    """Take so many random steps, heal all and judge; the first violation ends it. Deterministic."""
    raised: list[str] = []
    try:
        for _ in range(steps):
            step()
            if cluster.broken():
                break
        else:
            cluster.finish()
    except Exception as error:  # a core's own is as much a violation as what a check found
        raised.append(repr(error))
    return Played(len(cluster.members), cluster.events, cluster.now_s, cluster.broken() + raised)
