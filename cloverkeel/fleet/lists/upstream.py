"""What a member holds of a feed that it follows."""

from __future__ import annotations

from collections.abc import Iterable

from cloverkeel.fleet.lists.limits import MAX_DEPTH
from cloverkeel.fleet.lists.versioned_list import ListVersion
from cloverkeel.fleet.lists.relays import Peer

LAG_NOTICE_S = 1.0  # one that is behind for so long is told of the newer list


class Upstream:
    """`lost_s`: when it was opened."""

    __slots__ = ("behind_since_s", "depth", "has_reported", "last_connected_s", "peer", "version")

    def __init__(self, peer: Peer, lost_s: float) -> None:
        self.peer = peer
        self.depth: int | None = None  # of the member followed
        self.has_reported = False  # it has said something
        self.last_connected_s = lost_s  # when it last had a depth, or was opened
        self.version: ListVersion | None = None  # of the newest list that it told
        self.behind_since_s: float | None = None

    @property
    def distance(self) -> int:
        """How far round it leads to the list service; over DEPTH for no way."""
        return MAX_DEPTH + 1 if self.depth is None else self.depth


def lagging_peers(feeds: Iterable[Upstream], now_s: float, held: ListVersion | None) -> list[Peer]:
    """Who is to be told of the newer list `held` now: those behind for BEHIND_S, once in each."""
    told: list[Peer] = []
    for feed in feeds:
        is_behind = held is not None and feed.has_reported and (feed.version is None or feed.version < held)
        if not is_behind:
            feed.behind_since_s = None
        elif feed.behind_since_s is None:
            feed.behind_since_s = now_s
        elif now_s >= feed.behind_since_s + LAG_NOTICE_S:
            feed.behind_since_s = now_s
            told.append(feed.peer)
    return told
