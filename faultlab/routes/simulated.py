"""Measures the time from an acknowledged edit to its plan at all members, with real ledger cores in simulated
time."""

from __future__ import annotations

import random
from typing import Any

from cloverkeel.fleet.ledger.interface import Action, Level

from faultlab.routes.costs import summary
from faultlab.routes.random_edits import NamePool, random_commit
from faultlab.storm.cluster.ledger import Member
from faultlab.storm.cluster.routes import RoutesCluster

TICK_S = 0.2
FORMATION_S = 10.0  # before the first check that the members are quiescent
TIMEOUT_S = 30.0  # for the members to become quiescent, and for each edit


class TimedRoutesCluster(RoutesCluster):
    """A simulated cluster without faults that records when a write was acknowledged."""

    acknowledged_s: float | None = None

    def _execute(self, member: Member, action: Action) -> None:
        count = self.acknowledged
        super()._execute(member, action)
        if self.acknowledged > count:
            self.acknowledged_s = self.now_s


def run(members: int, rounds: int, seed: int) -> dict[str, Any]:
    """Simulate edits acknowledged by a quorum; returns simulated seconds. A message takes 0.5 to 30 ms, a
    disk write 1 to 20 ms."""
    rng = random.Random(f"simulated {seed}")
    cluster = TimedRoutesCluster(seed, members, TICK_S)
    names = NamePool(routes=tuple(f"r{number}" for number in range(40)), invalid_share=0.02)
    cluster.run(FORMATION_S)
    if not cluster.run(TIMEOUT_S, cluster.is_quiescent):
        raise RuntimeError("members did not become quiescent before the first edit")
    delays_s: list[float] = []
    for _ in range(rounds):
        member = rng.choice(cluster.running_members())
        read = cluster.instances[member.name].last_read
        assert read is not None
        cluster.acknowledged_s = None
        cluster.commit(member, read, random_commit(rng, names, read.view), Level.QUORUM)
        dot, started_s = (
            max(cluster.routes_reference.changes, key=list(cluster.routes_reference.changes).index),
            cluster.now_s,
        )
        while any(dot not in r.held or r.stale or r.settling for r in cluster.instances.values()):
            if cluster.now_s - started_s > TIMEOUT_S or cluster.violations():
                raise RuntimeError(f"edit not in all plans after {TIMEOUT_S} s: {cluster.violations()}")
            cluster.run(0.005)
        all_s = cluster.now_s
        while cluster.acknowledged_s is None and cluster.now_s - started_s < TIMEOUT_S:
            cluster.run(0.005)
        assert cluster.acknowledged_s is not None
        delays_s.append(max(0.0, all_s - cluster.acknowledged_s))
    return {"members": members, "edits": rounds, "acknowledged_to_all_s": summary(delays_s) | {"goal": 2.0}}
