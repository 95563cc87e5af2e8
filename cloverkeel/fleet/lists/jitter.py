"""How a fleet's calls to the list service are spread where all have to fall back: pure, times in seconds."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from cloverkeel.fleet.lists.upstream import Upstream

SERVICE_DOWN_FACTOR = 4.0  # the draw is so much wider while a relay speaks
ALONE_JITTER_MAX_S = 5.0  # one that has found no member yet spreads its first call over so long at most
JITTER_MIN_S = 0.2  # a feed that ended has its successor by then
EARLIEST_FRACTION = 0.2  # of its length: the first moment of a draw while others still come up
VIEW_STABLE_S = 2.0  # a view into which nobody has come for so long is whole


class SelectorSettings(NamedTuple):
    cluster: str
    relays: int = 3
    list_calls_per_s: float = 20.0  # of the whole fleet, where all have to fall back
    gateways: int = 1  # of the whole fleet, as the settings count them
    seeds: tuple[str, ...] = ()  # addresses, without this member's
    own_watch: bool = False  # lists are pushed at no cost: each keeps its own watch, peers help at the start


class ViewGrowth:
    """Whether members still come into the view: a fleet that starts at once takes seconds to be seen."""

    __slots__ = ("count", "last_growth_s")

    def __init__(self) -> None:
        self.count, self.last_growth_s = 0, -VIEW_STABLE_S

    def update(self, now_s: float, count: int) -> None:
        if count > self.count:
            self.last_growth_s = now_s
        self.count = count

    def is_growing(self, now_s: float) -> bool:
        return now_s < self.last_growth_s + VIEW_STABLE_S


def jitter_window_s(settings: SelectorSettings, live: int, grows: bool, feeds: Iterable[Upstream]) -> float:
    """How long the calls of the whole fleet are spread, of which this member sees `live`.

    A view that grows is a part of the fleet: its few members would spend the budget of all. A relay that
    speaks over one of `feeds` and has no way itself tells that the service fails for all rather than that
    the relays are gone: less often then.
    """
    if live == 1 and settings.gateways > 1:
        return max(JITTER_MIN_S, min(ALONE_JITTER_MAX_S, settings.gateways / settings.list_calls_per_s))
    fleet = max(live, settings.gateways) if grows else live
    is_blind = any(feed.has_reported for feed in feeds)
    return max(JITTER_MIN_S, fleet / settings.list_calls_per_s) * (SERVICE_DOWN_FACTOR if is_blind else 1.0)


def jitter_s(
    settings: SelectorSettings, live: int, grows: bool, feeds: Iterable[Upstream], rng: random.Random
) -> float:
    """How long one member waits. While others come up its first chance to hear from them is theirs to give:
    seeds that start beside it, relays whose members are still being found."""
    is_alone = live == 1 and settings.gateways > 1
    earliest = EARLIEST_FRACTION if grows or is_alone else 0.0
    return jitter_window_s(settings, live, grows, feeds) * rng.uniform(earliest, 1.0)
