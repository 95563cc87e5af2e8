"""What one gateway counts of a rollout's two sets of hosts, from each attempt that ends."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from caperdrift.interface import Outcome
from caperdrift.plan import HostSelector
from caperdrift.policy.routes import matches

from cloverkeel.fleet.rollout.analysis import Counts, latency_bucket

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

FAILED_OUTCOMES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})


class AttemptCounter:
    """Counts are of one life: they begin at nothing with each pair of sets."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.counts_id = 0
        self.host_sets: tuple[HostSelector, HostSelector] | None = None  # the new one and the base
        self.counts = (Counts(), Counts())

    def set_host_sets(self, sets: tuple[HostSelector, HostSelector] | None) -> None:
        """Count these from now on; None: none."""
        if sets == self.host_sets:
            return
        self.host_sets, self.counts_id = sets, secrets.randbits(53)
        self.counts = Counts(), Counts()
        self.gateway.on_attempt_ended = self.attempt_ended if sets is not None else None

    def attempt_ended(self, server: int, outcome: Outcome, latency_us: int) -> None:
        known = self.gateway.balancer.servers.get(server)
        if known is None or self.host_sets is None or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        for hosts, counts in zip(self.host_sets, self.counts, strict=True):
            if not matches(hosts, known.entry):
                continue
            counts.ended += 1
            if outcome is Outcome.OK:
                counts.latency[latency_bucket(latency_us)] += 1
            elif outcome is Outcome.FULL:
                counts.refused += 1
            else:
                counts.failed += outcome in FAILED_OUTCOMES
            return
