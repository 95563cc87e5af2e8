"""Shares of a cold host's fall budget that the gateways of a cluster use, given their membership views."""

from __future__ import annotations

from collections.abc import Iterable

from caperdrift import Balancer, Effect, RequestClass, Settings
from caperdrift.interface import Fleet
from caperdrift.policy.cold import PLANNED_SHARE, fall_budget_us

from cloverkeel.fleet.invariants import check
from cloverkeel.fleet.fleet_size import count_by_zone

ZONE_NUMBERS = {"z0": 0, "z1": 1, "z2": 2}
REQUEST_CLASS = RequestClass(aim_us=250_000, give_up_us=500_000, effect=Effect.SAFE)
SETTINGS = Settings(classes=(REQUEST_CLASS,), proxies=3)
FALL_BUDGET_US = PLANNED_SHARE * SETTINGS.fall_multiple * SETTINGS.fall_us
TOLERANCE = 1e-9  # relative, for rounding


class BudgetShare:
    """One gateway's balancer, which is told how many gateways share the hosts."""

    def __init__(self) -> None:
        self.balancer = Balancer(SETTINGS, seed=0)

    def view_changed(self, now_s: float, zones: Iterable[str], member: str) -> None:
        """Report the zones of the live members, this one included, to the balancer.

        Checks that the shares would not exceed the budget if all of these members had the same view.
        """
        seen = count_by_zone(ZONE_NUMBERS, zones)
        self.balancer.handle(round(now_s * 1e6), Fleet(seen))
        total_us = self.share_us * sum(seen)
        check(total_us <= FALL_BUDGET_US * (1 + TOLERANCE), "fall budget exceeded", member=member, seen=seen)

    @property
    def share_us(self) -> float:
        """Work that this gateway may send to a cold host in a fall window."""
        return fall_budget_us(self.balancer)


def total_share(shares: Iterable[BudgetShare]) -> float:
    """Sum of the shares, relative to the whole budget."""
    return sum(share.share_us for share in shares) / FALL_BUDGET_US
