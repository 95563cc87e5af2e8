"""What the follower's core asks its shell to do."""

from __future__ import annotations

from typing import NamedTuple

from cloverkeel.fleet.lists.relays import Peer


class Subscribe(NamedTuple):
    """Open a feed to this member."""

    peer: Peer


class Unsubscribe(NamedTuple):
    """End the feed to this member; its end is not told to the core."""

    name: str


class FetchList(NamedTuple):
    """Ask this member for its list (`list.get`)."""

    peer: Peer


class AnnounceList(NamedTuple):
    """Tell this member that there is a newer list here (`list.have`)."""

    peer: Peer


class Watch(NamedTuple):
    """Begin the watch of one's own, or end it. `is_fed`: news comes by feeds meanwhile, so the first call may
    wait for news as the later ones do."""

    on: bool
    has_live_upstream: bool = False


class AnnounceDepth(NamedTuple):
    """Tell the followers."""

    depth: int | None


class RelayRoleChanged(NamedTuple):
    """This member acts as a relay from now on, or no longer: for the log."""

    on: bool


class FallbackStarted(NamedTuple):
    """The moment drawn for a watch of one's own has come: for the log."""

    waited_s: float


Action = (
    Subscribe
    | Unsubscribe
    | FetchList
    | AnnounceList
    | Watch
    | AnnounceDepth
    | RelayRoleChanged
    | FallbackStarted
)
