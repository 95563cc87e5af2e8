"""How a fleet's calls to the list service are spread where all have to fall back: pure, times in seconds."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from cloverkeel.fleet.lists.feed import Feed

BLIND_WIDTH = 4.0  # the draw is so much wider while a relay speaks
ALONE_S = 5.0  # one that has found no member yet spreads its first call over so long at most
LEAST_DRAW_S = 0.2  # a feed that ended has its successor by then
EARLIEST = 0.2  # of its length: the first moment of a draw while others still come up
GROWS_S = 2.0  # a view into which nobody has come for so long is whole


class FollowSettings(NamedTuple):
    cluster: str
    relays: int = 3
    list_calls_per_s: float = 20.0  # of the whole fleet, where all have to fall back
    gateways: int = 1  # of the whole fleet, as the settings count them
    seeds: tuple[str, ...] = ()  # addresses, without this member's
    own_watch: bool = False  # lists are pushed at no cost: each keeps its own watch, peers help at the start


class Growth:
    """Whether members still come into the view: a fleet that starts at once takes seconds to be seen."""

    __slots__ = ("count", "grew_s")

    def __init__(self) -> None:
        self.count, self.grew_s = 0, -GROWS_S

    def see(self, now_s: float, count: int) -> None:
        if count > self.count:
            self.grew_s = now_s
        self.count = count

    def goes_on(self, now_s: float) -> bool:
        return now_s < self.grew_s + GROWS_S


def width_s(settings: FollowSettings, live: int, grows: bool, feeds: Iterable[Feed]) -> float:
    """How long the calls of the whole fleet are spread, of which this member sees `live`.

    A view that grows is a part of the fleet: its few members would spend the budget of all. A relay that
    speaks over one of `feeds` and has no way itself tells that the service fails for all rather than that
    the relays are gone: less often then.
    """
    if live == 1 and settings.gateways > 1:
        return max(LEAST_DRAW_S, min(ALONE_S, settings.gateways / settings.list_calls_per_s))
    fleet = max(live, settings.gateways) if grows else live
    is_blind = any(feed.heard for feed in feeds)
    return max(LEAST_DRAW_S, fleet / settings.list_calls_per_s) * (BLIND_WIDTH if is_blind else 1.0)


def moment_s(
    settings: FollowSettings, live: int, grows: bool, feeds: Iterable[Feed], rng: random.Random
) -> float:
    """How long one member waits. While others come up its first chance to hear from them is theirs to give:
    seeds that start beside it, relays whose members are still being found."""
    is_alone = live == 1 and settings.gateways > 1
    earliest = EARLIEST if grows or is_alone else 0.0
    return width_s(settings, live, grows, feeds) * rng.uniform(earliest, 1.0)
