"""The parts of a cold host's fall budget that the gateways of a cluster take, by the views that they have."""

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
TOLERANCE = 1e-9


class BudgetShare:
    """One gateway's module, which hears how many share the hosts."""

    def __init__(self) -> None:
        self.balancer = Balancer(SETTINGS, seed=0)

    def view_changed(self, now_s: float, zones: Iterable[str], member: str) -> None:
        """The live members' zones, this one's included. Were all of them to see the same, their parts would
        not pass the whole."""
        seen = count_by_zone(ZONE_NUMBERS, zones)
        self.balancer.handle(round(now_s * 1e6), Fleet(seen))
        total_us = self.share_us * sum(seen)
        check(
            total_us <= FALL_BUDGET_US * (1 + TOLERANCE), "a fall budget is passed", member=member, seen=seen
        )

    @property
    def share_us(self) -> float:
        return fall_budget_us(self.balancer)


def total_share(parts: Iterable[BudgetShare]) -> float:
    """What all take together, as a share of the whole budget."""
    return sum(part.share_us for part in parts) / FALL_BUDGET_US
