"""Jitter that spreads a fleet's fallback calls to the list service: pure, all times in seconds."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from cloverkeel.fleet.lists.upstream import Upstream

SERVICE_DOWN_FACTOR = 4.0  # widens the window while an upstream still answers but cannot reach the service
ALONE_JITTER_MAX_S = 5.0  # longest window of a member that has not found any other member yet
JITTER_MIN_S = 0.2  # shortest window: long enough to replace an upstream whose feed has ended
EARLIEST_FRACTION = 0.2  # of the window: no call before this while other members are still starting
VIEW_STABLE_S = 2.0  # a view without a new member for this long is considered complete


class SelectorSettings(NamedTuple):
    """Settings of `SourceSelector`, taken from the cluster's configuration."""

    cluster: str
    relays: int = 3
    list_calls_per_s: float = 20.0  # budget of the whole fleet when every member has to fall back
    gateways: int = 1  # configured size of the whole fleet
    seeds: tuple[str, ...] = ()  # seed addresses, without this member's own
    own_watch: bool = False  # lists are pushed at no cost: every member watches, peers only help at startup


class ViewGrowth:
    """Tracks whether new members are still appearing in the view.

    Members of a fleet that starts all at once take seconds to discover each other.
    """

    __slots__ = ("count", "last_growth_s")

    def __init__(self) -> None:
        self.count, self.last_growth_s = 0, -VIEW_STABLE_S

    def update(self, now_s: float, count: int) -> None:
        """Record the current number of members in the view."""
        if count > self.count:
            self.last_growth_s = now_s
        self.count = count

    def is_growing(self, now_s: float) -> bool:
        """Whether a member has appeared within VIEW_STABLE_S."""
        return now_s < self.last_growth_s + VIEW_STABLE_S


def jitter_window_s(
    settings: SelectorSettings, live: int, is_growing: bool, upstreams: Iterable[Upstream]
) -> float:
    """Return the window over which the fleet spreads its calls; this member sees `live` members.

    A growing view shows only part of the fleet, and the few members seen would otherwise spend the call
    budget of all, so the configured fleet size is used. An upstream that answers but has no path to the
    list service means that the service is failing for everyone, rather than that the relays are gone; the
    window is widened by SERVICE_DOWN_FACTOR.
    """
    if live == 1 and settings.gateways > 1:
        return max(JITTER_MIN_S, min(ALONE_JITTER_MAX_S, settings.gateways / settings.list_calls_per_s))
    fleet = max(live, settings.gateways) if is_growing else live
    is_service_down = any(upstream.has_reported for upstream in upstreams)
    return max(JITTER_MIN_S, fleet / settings.list_calls_per_s) * (
        SERVICE_DOWN_FACTOR if is_service_down else 1.0
    )


def jitter_s(
    settings: SelectorSettings,
    live: int,
    is_growing: bool,
    upstreams: Iterable[Upstream],
    rng: random.Random,
) -> float:
    """Return the random wait of one member within the window.

    While other members are starting, the first part of the window is left free: seeds that start at the same
    time and relays that are still being discovered can provide the list instead.
    """
    is_alone = live == 1 and settings.gateways > 1
    earliest = EARLIEST_FRACTION if is_growing or is_alone else 0.0
    return jitter_window_s(settings, live, is_growing, upstreams) * rng.uniform(earliest, 1.0)
