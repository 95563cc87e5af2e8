"""Those that follow this member: the serving side of feeds, bounded.

A feed's bodies are maps; each key is news: `depth` (None: no way to the list service), `v` the version of the
newest list here, `list` that list or the change to it, `full` the names of some followers, to try in this
member's place.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from cloverkeel.fleet.lists.source_selector import SourceSelector
from cloverkeel.fleet.lists.limits import REFERRALS_PER_REPLY, admits_follower
from cloverkeel.fleet.lists.versioned_list import ListUpdate, HeldList, ListVersion, encode_version, encode

MAX_FEED_ENTRIES = 2_000  # entries of a whole list that still go over a feed; a longer one is asked for


class Feed(Protocol):
    """What `membership.feeds.Feed` gives."""

    peer: str
    on_close: Callable[[], None] | None

    def send(self, body: Any) -> None: ...

    def close(self, reason: str = "closed") -> None: ...


def encode_optional_version(version: ListVersion | None) -> list[int] | None:
    return None if version is None else encode_version(version)


def list_message(body: ListUpdate) -> dict[str, Any]:
    """A list as a feed tells it."""
    told: dict[str, Any] = {"v": encode_version(body.version)}
    if body.base is not None or len(body.entries) <= MAX_FEED_ENTRIES:
        told["list"] = encode(body)
    return told


class Followers:
    """`limit`: how many at once."""

    def __init__(self, held: HeldList, core: SourceSelector, limit: int, rng: random.Random) -> None:
        self.held_list, self.selector, self.limit, self.rng = held, core, limit, rng
        self.feeds: dict[Feed, None] = {}
        self.refused_count = 0

    def handle_subscribe(self, feed: Feed, version: ListVersion | None) -> None:
        """A member subscribes that has the list of this version."""
        if not admits_follower(len(self.feeds), self.limit, self.selector.depth, self.selector.is_relay):
            self.refused_count += 1
            names = sorted({other.peer for other in self.feeds} - {feed.peer})
            feed.send({"full": self.rng.sample(names, min(REFERRALS_PER_REPLY, len(names)))})
            feed.close("full")
            return
        self.feeds[feed] = None
        feed.on_close = lambda: self.feeds.pop(feed, None)
        hello: dict[str, Any] = {
            "depth": self.selector.depth,
            "v": encode_optional_version(self.held_list.version),
        }
        whole = self.held_list.full_list()
        if whole is not None and (version is None or version < whole.version):
            hello |= list_message(whole)
        feed.send(hello)

    def broadcast(self, told: dict[str, Any]) -> None:
        """To all, in this turn of the loop."""
        for feed in list(self.feeds):
            feed.send(told)
