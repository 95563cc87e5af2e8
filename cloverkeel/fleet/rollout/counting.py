"""What one gateway counts of a rollout's two sets of hosts, from each attempt that ends."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from caperdrift.interface import Outcome
from caperdrift.plan import HostSelector
from caperdrift.policy.routes import matches

from cloverkeel.fleet.rollout.analysis import Counts, bucket_of

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

FAILED = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})


class Counting:
    """Counts are of one life: they begin at nothing with each pair of sets."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.life = 0
        self.sets: tuple[HostSelector, HostSelector] | None = None  # the new one and the base
        self.counts = (Counts(), Counts())

    def compare(self, sets: tuple[HostSelector, HostSelector] | None) -> None:
        """Count these from now on; None: none."""
        if sets == self.sets:
            return
        self.sets, self.life = sets, secrets.randbits(53)
        self.counts = Counts(), Counts()
        self.gateway.on_attempt_ended = self.ended if sets is not None else None

    def ended(self, server: int, outcome: Outcome, latency_us: int) -> None:
        known = self.gateway.balancer.servers.get(server)
        if known is None or self.sets is None or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        for hosts, counts in zip(self.sets, self.counts, strict=True):
            if not matches(hosts, known.entry):
                continue
            counts.ended += 1
            if outcome is Outcome.OK:
                counts.latency[bucket_of(latency_us)] += 1
            elif outcome is Outcome.FULL:
                counts.refused += 1
            else:
                counts.failed += outcome in FAILED
            return
