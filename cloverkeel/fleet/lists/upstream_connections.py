"""Connections to the upstreams: opens, reads and closes the feeds that this member subscribes to."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from cloverkeel.fleet.lists.followers import encode_optional_version
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.lists.versioned_list import ListVersion
from cloverkeel.fleet.membership.calls import CallFailed, Calls
from cloverkeel.fleet.membership.feeds import Subscription
from cloverkeel.fleet.membership.frames import DROP_REASONS

LIST_FEED = "list.feed"  # name of the feed between members


def is_frame_error(reason: str) -> bool:
    """Whether a call or a feed ended because of an invalid or oversized frame, or one of another cluster."""
    return any(f"{drop_reason}: " in reason for drop_reason in DROP_REASONS)


class UpstreamConnection:
    """One feed, from the start of its opening."""

    def __init__(self) -> None:
        self.closed = False
        self.subscription: Subscription | None = None

    def close(self) -> None:
        """Close the feed; one that is still being opened is closed when it opens."""
        self.closed = True
        if self.subscription is not None:
            self.subscription.close()


class UpstreamConnections:
    """The connections to the upstreams, by the member's name.

    `on_body(name, body)` is called for each message. `on_end(name, reason)` is called once a feed has ended
    or could not be opened, unless this side dropped it.
    """

    def __init__(
        self, calls: Calls, on_body: Callable[[str, object], None], on_end: Callable[[str, str], None]
    ) -> None:
        self.calls, self.on_body, self.on_end = calls, on_body, on_end
        self.connections: dict[str, UpstreamConnection] = {}

    def open(self, peer: Peer, version: ListVersion | None) -> Coroutine[Any, Any, None]:
        """Return the coroutine that subscribes to `peer`, telling it that the list of `version` is held here.

        The feed can be dropped from the moment of this call, before the coroutine has run.
        """
        self.drop(peer.name)
        connection = self.connections[peer.name] = UpstreamConnection()
        return self._open(connection, peer, version)

    async def _open(self, connection: UpstreamConnection, peer: Peer, version: ListVersion | None) -> None:
        name = peer.name
        if connection.closed:
            return

        def on_body(body: object) -> None:
            if not connection.closed:
                self.on_body(name, body)

        def on_end(reason: str) -> None:
            if not connection.closed:
                connection.closed = True
                del self.connections[name]
                self.on_end(name, reason)

        try:
            connection.subscription = await self.calls.subscribe(
                peer.address, LIST_FEED, encode_optional_version(version), on_body, on_end
            )
        except CallFailed as error:
            on_end(str(error))
            return
        if connection.closed:
            connection.subscription.close()

    def drop(self, name: str) -> None:
        """Close the feed to this member, if there is one, without a call of `on_end`."""
        connection = self.connections.pop(name, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Close all feeds."""
        for name in list(self.connections):
            self.drop(name)
