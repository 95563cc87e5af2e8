"""Counts, in one gateway, the ended attempts at the two sets of hosts of a rollout."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from caperdrift.interface import Outcome
from caperdrift.plan import HostSelector
from caperdrift.policy.routes import matches

from cloverkeel.fleet.rollout.analysis import Counts, latency_bucket

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

# Outcomes that count as failures of the host.
FAILED_OUTCOMES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED})


class AttemptCounter:
    """Cumulative counts of the new set and of the base. They restart at zero when the pair of sets changes.

    `counts_id` is drawn anew at each restart, so that a reader of the counts notices it.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.counts_id = 0
        self.host_sets: tuple[HostSelector, HostSelector] | None = None  # the new set and the base
        self.counts = (Counts(), Counts())

    def set_host_sets(self, host_sets: tuple[HostSelector, HostSelector] | None) -> None:
        """Counts attempts at these sets (new, base) from now on; None stops counting."""
        if host_sets == self.host_sets:
            return
        self.host_sets, self.counts_id = host_sets, secrets.randbits(53)
        self.counts = Counts(), Counts()
        self.gateway.on_attempt_ended = self.attempt_ended if host_sets is not None else None

    def attempt_ended(self, server: int, outcome: Outcome, latency_us: int) -> None:
        """Counts an attempt for the first set that its server matches; ignores cancelled and unsent ones."""
        server_state = self.gateway.balancer.servers.get(server)
        if server_state is None or self.host_sets is None or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        for selector, counts in zip(self.host_sets, self.counts, strict=True):
            if not matches(selector, server_state.entry):
                continue
            counts.ended += 1
            if outcome is Outcome.OK:
                counts.latency[latency_bucket(latency_us)] += 1
            elif outcome is Outcome.FULL:
                counts.refused += 1
            else:
                counts.failed += outcome in FAILED_OUTCOMES
            return
