"""State that a member keeps for each upstream, that is each member whose list feed it subscribes to."""

from __future__ import annotations

from collections.abc import Iterable

from cloverkeel.fleet.lists.limits import MAX_DEPTH
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.lists.versioned_list import ListVersion

LAG_NOTICE_S = 1.0  # an upstream whose list has been older for this long is notified of the newer one


class Upstream:
    """One upstream, subscribed to at `opened_s`."""

    __slots__ = ("behind_since_s", "depth", "has_reported", "last_connected_s", "peer", "version")

    def __init__(self, peer: Peer, opened_s: float) -> None:
        self.peer = peer
        self.depth: int | None = None  # depth it reported; None: no path to the list service
        self.has_reported = False  # whether it has reported a depth, None included
        self.last_connected_s = opened_s  # when it last had a path to the service, or was subscribed to
        self.version: ListVersion | None = None  # of the latest list that it reported
        self.behind_since_s: float | None = None  # since when its list is older; restarts at each notice

    @property
    def distance(self) -> int:
        """Hops from the upstream to the list service; MAX_DEPTH + 1 if it has no path."""
        return MAX_DEPTH + 1 if self.depth is None else self.depth


def lagging_peers(
    upstreams: Iterable[Upstream], now_s: float, held_version: ListVersion | None
) -> list[Peer]:
    """Return the upstreams to notify now that a newer list, of `held_version`, is held here.

    An upstream is due once it has lagged for LAG_NOTICE_S, and again after each further LAG_NOTICE_S.
    """
    lagging: list[Peer] = []
    for upstream in upstreams:
        is_behind = (
            held_version is not None
            and upstream.has_reported
            and (upstream.version is None or upstream.version < held_version)
        )
        if not is_behind:
            upstream.behind_since_s = None
        elif upstream.behind_since_s is None:
            upstream.behind_since_s = now_s
        elif now_s >= upstream.behind_since_s + LAG_NOTICE_S:
            upstream.behind_since_s = now_s
            lagging.append(upstream.peer)
    return lagging
