"""The feeds that this member follows: from the wish for one to its end."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from cloverkeel.fleet.lists.followers import encode_optional_version
from cloverkeel.fleet.lists.versioned_list import ListVersion
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.membership.calls import CallFailed, Calls
from cloverkeel.fleet.membership.feeds import Subscription
from cloverkeel.fleet.membership.frames import DROP_REASONS

LIST_FEED = "list.feed"


def is_frame_error(reason: str) -> bool:
    """Whether a call or a feed ended since what came was no frame of this cluster, or an enormous one."""
    return any(f"{word}: " in reason for word in DROP_REASONS)


class UpstreamConnection:
    """One feed."""

    def __init__(self) -> None:
        self.closed = False
        self.subscription: Subscription | None = None

    def close(self) -> None:
        self.closed = True
        if self.subscription is not None:
            self.subscription.close()


class UpstreamConnections:
    """By the name of whom they lead to. `on_body(name, body)` for each body; `on_end(name, reason)` once a
    feed has ended, or has not come about, unless this side dropped it."""

    def __init__(
        self, calls: Calls, on_body: Callable[[str, object], None], on_end: Callable[[str, str], None]
    ) -> None:
        self.calls, self.on_body, self.on_end = calls, on_body, on_end
        self.connections: dict[str, UpstreamConnection] = {}

    def open(self, peer: Peer, version: ListVersion | None) -> Coroutine[Any, Any, None]:
        """The work of opening a feed to `peer`, for one that has the list of this version; from now on it can
        be dropped."""
        self.drop(peer.name)
        link = self.connections[peer.name] = UpstreamConnection()
        return self._open(link, peer, version)

    async def _open(self, link: UpstreamConnection, peer: Peer, version: ListVersion | None) -> None:
        name = peer.name
        if link.closed:
            return

        def on_body(body: object) -> None:
            if not link.closed:
                self.on_body(name, body)

        def on_end(reason: str) -> None:
            if not link.closed:
                link.closed = True
                del self.connections[name]
                self.on_end(name, reason)

        try:
            link.subscription = await self.calls.subscribe(
                peer.address, LIST_FEED, encode_optional_version(version), on_body, on_end
            )
        except CallFailed as error:
            on_end(str(error))
            return
        if link.closed:
            link.subscription.close()

    def drop(self, name: str) -> None:
        link = self.connections.pop(name, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        for name in list(self.connections):
            self.drop(name)
