"""Actions that `SourceSelector` returns for `ListSharing` to carry out."""

from __future__ import annotations

from typing import NamedTuple

from cloverkeel.fleet.lists.relays import Peer


class Subscribe(NamedTuple):
    """Open a list feed to this member."""

    peer: Peer


class Unsubscribe(NamedTuple):
    """Close the list feed to this member. The selector gets no `upstream_ended` event for it."""

    name: str


class FetchList(NamedTuple):
    """Fetch this member's list with one `list.get` call."""

    peer: Peer


class AnnounceList(NamedTuple):
    """Notify this member, with `list.have`, that a newer list is held here."""

    peer: Peer


class Watch(NamedTuple):
    """Start or stop this member's own watch on the list service.

    With `has_live_upstream`, updates also arrive from an upstream, so the first call may be a long poll like
    the later ones.
    """

    on: bool
    has_live_upstream: bool = False


class AnnounceDepth(NamedTuple):
    """Send this member's depth to its followers."""

    depth: int | None


class RelayRoleChanged(NamedTuple):
    """This member has become a relay, or has ceased to be one; logged only."""

    on: bool


class FallbackStarted(NamedTuple):
    """The jitter has elapsed and this member starts its own watch as a fallback; logged and counted only."""

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
