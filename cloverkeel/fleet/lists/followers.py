"""Those that follow this member: the serving side of feeds, bounded.

A feed's bodies are maps; each key is news: `depth` (None: no way to the list service), `v` the version of the
newest list here, `list` that list or the change to it, `full` the names of some followers, to try in this
member's place.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from cloverkeel.fleet.lists.follow import Follower
from cloverkeel.fleet.lists.limits import FULL_NAMES, admits
from cloverkeel.fleet.lists.order import Body, HeldList, ListVersion, as_raw, encode

ON_FEED = 2_000  # entries of a whole list that still go over a feed; a longer one is asked for


class Feed(Protocol):
    """What `membership.feeds.Feed` gives."""

    peer: str
    on_close: Callable[[], None] | None

    def send(self, body: Any) -> None: ...

    def close(self, reason: str = "closed") -> None: ...


def version_or_none(version: ListVersion | None) -> list[int] | None:
    return None if version is None else as_raw(version)


def news(body: Body) -> dict[str, Any]:
    """A list as a feed tells it."""
    told: dict[str, Any] = {"v": as_raw(body.version)}
    if body.base is not None or len(body.entries) <= ON_FEED:
        told["list"] = encode(body)
    return told


class Followers:
    """`limit`: how many at once."""

    def __init__(self, held: HeldList, core: Follower, limit: int, rng: random.Random) -> None:
        self.held, self.core, self.limit, self.rng = held, core, limit, rng
        self.feeds: dict[Feed, None] = {}
        self.turned_away = 0

    def open(self, feed: Feed, version: ListVersion | None) -> None:
        """A member subscribes that has the list of this version."""
        if not admits(len(self.feeds), self.limit, self.core.depth, self.core.is_relay):
            self.turned_away += 1
            names = sorted({other.peer for other in self.feeds} - {feed.peer})
            feed.send({"full": self.rng.sample(names, min(FULL_NAMES, len(names)))})
            feed.close("full")
            return
        self.feeds[feed] = None
        feed.on_close = lambda: self.feeds.pop(feed, None)
        hello: dict[str, Any] = {"depth": self.core.depth, "v": version_or_none(self.held.version)}
        whole = self.held.whole()
        if whole is not None and (version is None or version < whole.version):
            hello |= news(whole)
        feed.send(hello)

    def tell(self, told: dict[str, Any]) -> None:
        """To all, in this turn of the loop."""
        for feed in list(self.feeds):
            feed.send(told)
