"""Reports to the balancing module how many gateways share the hosts: live members by zone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from caperdrift.interface import Event, Fleet

from cloverkeel.fleet.membership.service import Membership
from cloverkeel.gateway import Gateway

MIN_INTERVAL_S = 0.5  # shortest interval between two reports


def count_by_zone(zones: dict[str, int], members: Iterable[str]) -> tuple[int, ...]:
    """Count members by zone, at the zone's number in the settings.

    `members` gives the zone of each. Members of zones that the settings do not name are counted together, in
    a last entry.
    """
    counts = [0] * (len(zones) + 1)
    for zone in members:
        counts[zones.get(zone, len(zones))] += 1
    return tuple(counts if counts[-1] else counts[:-1])


class FleetSizeReporter:
    """Reports the number of gateways after changes of the view, at most once per `MIN_INTERVAL_S`.

    Nothing is reported before the member has joined. While its name is taken by another process, the number
    is reported as not known.
    """

    def __init__(self, membership: Membership, gateway: Gateway) -> None:
        self.membership, self.gateway = membership, gateway
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.last_posted = Fleet()
        membership.on_change(lambda update, previous: self.schedule())
        self.schedule()

    def schedule(self) -> None:
        """Schedule a report, unless one is due already."""
        if self.timer is None:
            self.timer = self.loop.call_later(MIN_INTERVAL_S, self._post)

    def _post(self) -> None:
        self.timer = None
        if not self.membership.joined.is_set():
            self.schedule()
            return
        zones = (member.zone for member in self.membership.live())
        known = not self.membership.name_taken
        seen = Fleet(count_by_zone(self.gateway.names.zones, zones)) if known else Fleet()
        if seen != self.last_posted:
            self.last_posted = seen
            post: Callable[[Callable[[], Event]], None] = self.gateway.post
            post(lambda: seen)

    def close(self) -> None:
        """Cancel a scheduled report."""
        if self.timer is not None:
            self.timer.cancel()
