"""How many gateways share the hosts: the live members by zone, as one event to the module."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from caperdrift.interface import Event, Fleet

from cloverkeel.fleet.membership.service import Membership
from cloverkeel.gateway import Gateway

MIN_INTERVAL_S = 0.5  # between two events at least


def count_by_zone(zones: dict[str, int], members: Iterable[str]) -> tuple[int, ...]:
    """Members by the zone's number in the settings, given each one's zone; those of zones that the settings
    do not name are counted together behind."""
    counts = [0] * (len(zones) + 1)
    for zone in members:
        counts[zones.get(zone, len(zones))] += 1
    return tuple(counts if counts[-1] else counts[:-1])


class FleetSizeReporter:
    """Posts the number on changes of the view, at most one in `GAP_S`; nothing before it has joined, and
    "not known" while the member's name is another's."""

    def __init__(self, membership: Membership, gateway: Gateway) -> None:
        self.membership, self.gateway = membership, gateway
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.last_posted = Fleet()
        membership.on_change(lambda rumour, before: self.schedule())
        self.schedule()

    def schedule(self) -> None:
        if self.timer is None:
            self.timer = self.loop.call_later(MIN_INTERVAL_S, self._post)

    def _post(self) -> None:
        self.timer = None
        if not self.membership.joined.is_set():
            self.schedule()
            return
        zones = (rumour.zone for rumour in self.membership.live())
        known = not self.membership.name_taken
        seen = Fleet(count_by_zone(self.gateway.names.zones, zones)) if known else Fleet()
        if seen != self.last_posted:
            self.last_posted = seen
            post: Callable[[Callable[[], Event]], None] = self.gateway.post
            post(lambda: seen)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
