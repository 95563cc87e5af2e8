"""The serving side of list feeds: the members that follow this one, bounded in number.

Each message on a feed is a map. Its keys, all optional: `depth`, this member's depth (None: no path to the
list service); `v`, the version of the latest list held here; `list`, that list or the delta to it; `full`,
sent by a member at its limit: names of some of its followers, to subscribe to instead.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from cloverkeel.fleet.lists.limits import REFERRALS_PER_REPLY, admits_follower
from cloverkeel.fleet.lists.source_selector import SourceSelector
from cloverkeel.fleet.lists.versioned_list import HeldList, ListUpdate, ListVersion, encode, encode_version

MAX_FEED_ENTRIES = 2_000  # entries of a full list sent over a feed; a longer list has to be fetched


class Feed(Protocol):
    """The part of `membership.feeds.Feed` that is used here."""

    peer: str
    on_close: Callable[[], None] | None

    def send(self, body: Any) -> None: ...

    def close(self, reason: str = "closed") -> None: ...


def encode_optional_version(version: ListVersion | None) -> list[int] | None:
    """Encode a version, or None where no list is held."""
    return None if version is None else encode_version(version)


def list_message(update: ListUpdate) -> dict[str, Any]:
    """Return the feed message for an update: its version and, unless it is too long, the update itself."""
    message: dict[str, Any] = {"v": encode_version(update.version)}
    if update.base is not None or len(update.entries) <= MAX_FEED_ENTRIES:
        message["list"] = encode(update)
    return message


class Followers:
    """The open feeds to followers, at most `limit` at once."""

    def __init__(self, held_list: HeldList, selector: SourceSelector, limit: int, rng: random.Random) -> None:
        self.held_list, self.selector, self.limit, self.rng = held_list, selector, limit, rng
        self.feeds: dict[Feed, None] = {}
        self.refused_count = 0

    def handle_subscribe(self, feed: Feed, version: ListVersion | None) -> None:
        """Accept or refuse a member that subscribes and holds the list of `version`.

        A member that is accepted gets the depth, the version and, if its own list is older, the full list.
        """
        if not admits_follower(len(self.feeds), self.limit, self.selector.depth, self.selector.is_relay):
            self.refused_count += 1
            names = sorted({other.peer for other in self.feeds} - {feed.peer})
            feed.send({"full": self.rng.sample(names, min(REFERRALS_PER_REPLY, len(names)))})
            feed.close("full")
            return
        self.feeds[feed] = None
        feed.on_close = lambda: self.feeds.pop(feed, None)
        first_message: dict[str, Any] = {
            "depth": self.selector.depth,
            "v": encode_optional_version(self.held_list.version),
        }
        full_list = self.held_list.full_list()
        if full_list is not None and (version is None or version < full_list.version):
            first_message |= list_message(full_list)
        feed.send(first_message)

    def broadcast(self, message: dict[str, Any]) -> None:
        """Send a message to every follower, within the current turn of the event loop."""
        for feed in list(self.feeds):
            feed.send(message)
