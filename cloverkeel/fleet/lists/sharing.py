"""Shares the host list among members: the I/O between members, the list service and the gateway.

Every list, whatever its source, goes through one `ListIngest`; a newer one is sent to the followers in the
same turn of the event loop. `SourceSelector` decides which members to subscribe to and when to call the list
service. Where the settings say that lists are pushed, the gateway keeps its own watch, and members only help
at startup.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

from cloverkeel.discovery import Discovery, OnList
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.events import event
from cloverkeel.fleet.lists import actions
from cloverkeel.fleet.lists.followers import Followers, encode_optional_version, list_message
from cloverkeel.fleet.lists.ingest import ListIngest
from cloverkeel.fleet.lists.jitter import SelectorSettings
from cloverkeel.fleet.lists.limits import max_followers
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.lists.source_selector import FETCH_TIMEOUT_S, INVALID_AVOID_S, SourceSelector
from cloverkeel.fleet.lists.upstream_connections import LIST_FEED, UpstreamConnections, is_frame_error
from cloverkeel.fleet.lists.versioned_list import ApplyResult, ListUpdate, decode, decode_version, encode
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.membership.feeds import Feed
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.tasks import BackgroundTasks

LIST_GET, LIST_HAVE = "list.get", "list.have"  # names of the calls between members
TICK_S = 0.1  # between ticks of the selector
VIEW_DEBOUNCE_S = 0.1  # changes of the view within this time are handled together
# Of a fetch after startup while no list is held: this process and the others may be short of CPU time.
LATE_FETCH_TIMEOUT_S = 2.0
JOIN_TIMEOUT_S = 3.0  # after this a member acts on the view that it has, joined or not
MAX_REPORTED_DEPTH = 16  # a greater depth from an upstream is invalid


class ListSharing:
    """List sharing of one member. `start` it before the gateway; from then on it decides which list is newer.

    `sockets` is the process's limit of file descriptors, `gateways` the configured size of the fleet.
    `must_ask_s` is the longest time that the settings allow without a call or a subscription to the list
    service. A feed counts as a subscription. Without one, the jitter of a fallback call ends within that time
    if `list_calls_per_s` is high enough for the whole fleet; if not, `lists.slow_fallback` is logged.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        membership: Membership,
        discovery: Discovery,
        on_list: OnList,
        sockets: int,
        must_ask_s: float,
        gateways: int,
        rng: random.Random | None = None,
    ) -> None:
        self.membership, self.calls = membership, membership.calls
        self.discovery, self.on_list = discovery, on_list
        self.rng = rng or random.Random()
        self.must_ask_s, self.is_fallback_slow = must_ask_s, False
        self.ingest = ListIngest(discovery, on_list, self._on_new_list, self._on_service_status)
        self.held_list = self.ingest.held_list
        local_peer = Peer(membership.name, membership.zone, membership.address)
        seeds = tuple(seed for seed in settings.seeds if seed != local_peer.address)
        selector_settings = SelectorSettings(
            settings.name, settings.relays, settings.list_calls_per_s, gateways, seeds, discovery.pushed
        )
        self.selector = SourceSelector(local_peer, selector_settings, self.rng)
        self.followers = Followers(self.held_list, self.selector, max_followers(sockets), self.rng)
        self.connections = UpstreamConnections(self.calls, self._on_feed_body, self._on_upstream_end)
        self.counts: Counter[str] = Counter()
        self.has_hosts = asyncio.Event()  # set once a list with hosts is held
        self.start_fetches_done = asyncio.Event()  # set once no fetch of the startup is pending
        self.tasks = BackgroundTasks()
        self.loop = asyncio.get_running_loop()
        self.view_timer: asyncio.TimerHandle | None = None
        self.tick_timer: asyncio.TimerHandle | None = None
        self.closed = False

    def start(self) -> None:
        """Serve the calls and feeds of members, and begin to join."""
        self.calls.serve(LIST_GET, self._on_get)
        self.calls.serve(LIST_HAVE, self._on_have)
        self.calls.serve_feed(LIST_FEED, self._on_feed)
        self.discovery.ordering = self.ingest
        self.membership.on_change(lambda update, before: self._schedule_view_update())
        self.tasks.spawn(self._join())
        self._tick()

    def close(self) -> None:
        """Stop all timers, tasks and feeds."""
        self.closed = True
        for timer in (self.view_timer, self.tick_timer):
            if timer is not None:
                timer.cancel()
        self.tasks.cancel()
        self.connections.close()

    async def wait_for_first_list(self, wait_s: float) -> None:
        """Wait until a list is held or the fetches of the startup have ended, `wait_s` at most."""
        waits = [
            self.loop.create_task(condition.wait()) for condition in (self.has_hosts, self.start_fetches_done)
        ]
        await asyncio.wait(waits, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    # Calls of the gateway, in place of `discovery`

    def watch(self, on: bool) -> None:
        """Start or stop the watch where lists are pushed; otherwise `SourceSelector` decides on it."""
        if self.discovery.pushed:
            self.discovery.watch(on)

    def fetch(self) -> None:
        """Give the gateway the full list: the held one, or the service's where lists are pushed."""
        if self.discovery.pushed:
            self.discovery.fetch()
        else:
            self.ingest.republish()

    # Callbacks of `ListIngest`

    def _on_new_list(self, update: ListUpdate) -> None:
        if self.held_list.entries:
            self.has_hosts.set()
        self.followers.broadcast(list_message(update))

    def _on_service_status(self, up: bool) -> None:
        now_s = self.loop.time()
        self._perform(self.selector.service_answered(now_s) if up else self.selector.service_failed(now_s))

    # Data from members

    def _receive_list(self, name: str, raw: object) -> None:
        """Apply a full list or a delta from this member. Raises ValueError for an invalid one."""
        update = decode(raw)
        self.selector.version_received(name, update.version)
        if self.ingest.apply_from_peer(update) is ApplyResult.GAP:
            self._perform(self.selector.newer_list_reported(self.loop.time(), name))

    def _set_aside(self, name: str, reason: str) -> None:
        """Avoid a member that has sent invalid data for INVALID_AVOID_S."""
        self.counts["peers_set_aside"] += 1
        event("lists.peer_refused", peer=name, reason=reason[:200], for_s=INVALID_AVOID_S)
        self._perform(self.selector.invalid_list_received(self.loop.time(), name))

    def _on_feed_body(self, name: str, raw: object) -> None:
        """Handle a message on the feed of an upstream; the format is described in followers.py."""
        try:
            if not isinstance(raw, dict):
                raise ValueError(f"feed message is not a map: {raw!r:.40}")
            if "full" in raw:
                names = raw["full"]
                if not isinstance(names, list) or not all(isinstance(other, str) for other in names):
                    raise ValueError(f"referrals of a feed message are not a list of names: {names!r:.40}")
                self.connections.drop(name)
                self._perform(self.selector.upstream_full(self.loop.time(), name, names))
                return
            if "depth" in raw:
                depth = raw["depth"]
                if depth is not None and (type(depth) is not int or not 0 <= depth <= MAX_REPORTED_DEPTH):
                    raise ValueError(f"depth of a feed message is invalid: {depth!r:.40}")
                upstream = self.selector.upstreams.get(name)
                if upstream is not None and not upstream.has_reported:
                    event("lists.follow", member=name, depth=depth)
                self._perform(self.selector.depth_received(self.loop.time(), name, depth))
            if raw.get("list") is not None:
                self._receive_list(name, raw["list"])
            elif raw.get("v") is not None:
                self._compare_version(name, raw["v"])
        except ValueError as error:
            self._set_aside(name, str(error))

    def _compare_version(self, name: str, raw: object) -> None:
        """Fetch the list of a member that has a newer version. Raises ValueError for an invalid version."""
        version = decode_version(raw)
        self.selector.version_received(name, version)
        if self.held_list.version is None or version > self.held_list.version:
            self._perform(self.selector.newer_list_reported(self.loop.time(), name))

    # Calls of members

    def _on_get(self, peer: str, raw: Any) -> dict[str, Any]:
        version = decode_version(raw) if raw is not None else None
        full_list = self.held_list.full_list()
        if full_list is None or (version is not None and version >= full_list.version):
            return {"list": None}
        return {"list": encode(full_list)}

    def _on_have(self, peer: str, raw: Any) -> None:
        self._compare_version(peer, raw)

    def _on_feed(self, feed: Feed, raw: Any) -> None:
        self.followers.handle_subscribe(feed, decode_version(raw) if raw is not None else None)
        if raw is not None:
            self._compare_version(feed.peer, raw)

    # Selector and timers

    async def _join(self) -> None:
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self.membership.joined.wait()
        except TimeoutError:
            event("lists.not_joined", waited_s=JOIN_TIMEOUT_S)
        self._update_view()
        if not self.selector.pending_fetches:
            self.start_fetches_done.set()

    def _schedule_view_update(self) -> None:
        if self.view_timer is None and self.selector.joined_s is not None and not self.closed:
            self.view_timer = self.loop.call_later(VIEW_DEBOUNCE_S, self._update_view)

    def _update_view(self) -> None:
        self.view_timer = None
        peers = [Peer(r.name, r.zone, r.address) for r in self.membership.live()]
        draw_s = len(peers) / self.selector.settings.list_calls_per_s
        if draw_s > self.must_ask_s and not self.is_fallback_slow:
            event("lists.slow_fallback", draw_s=draw_s, must_ask_s=self.must_ask_s, live=len(peers),
                  reason="list_calls_per_s is too low for so many members")  # fmt: skip
        self.is_fallback_slow = draw_s > self.must_ask_s
        self._perform(self.selector.view_changed(self.loop.time(), True, peers))

    def _tick(self) -> None:
        self.tick_timer = self.loop.call_later(TICK_S, self._tick)
        pushed = self.discovery.pushed
        if pushed != self.selector.settings.own_watch:  # the settings have been reloaded
            self.selector.settings = self.selector.settings._replace(own_watch=pushed)
            self.discovery.watch(pushed or self.selector.watching)
        elif self.selector.watching and self.discovery.watching is None:
            self._on_service_status(False)  # the watch task ended without reporting a failure
        self._perform(self.selector.tick(self.loop.time(), self.held_list.version))

    def _perform(self, to_do: list[actions.Action]) -> None:
        if self.closed:
            return
        for action in to_do:
            match action:
                case actions.Subscribe(peer):
                    self.tasks.spawn(self.connections.open(peer, self.held_list.version))
                case actions.Unsubscribe(name):
                    self.connections.drop(name)
                case actions.FetchList(peer):
                    self.tasks.spawn(self._fetch_list(peer))
                case actions.AnnounceList(peer):
                    self.tasks.spawn(self._announce_list(peer))
                case actions.Watch(on, has_live_upstream):
                    self.discovery.watch(on, has_live_upstream)
                case actions.AnnounceDepth(depth):
                    self.followers.broadcast({"depth": depth})
                case actions.RelayRoleChanged(on):
                    event(
                        "lists.relay",
                        on=on,
                        relays=",".join(self.selector.relays),
                        live=len(self.selector.peers),
                    )
                case actions.FallbackStarted(waited_s):
                    self.counts["list_fallbacks"] += 1
                    event("lists.fallback", waited_s=waited_s, live=len(self.selector.peers))

    def _on_upstream_end(self, name: str, reason: str) -> None:
        if is_frame_error(reason):
            self._set_aside(name, reason)
            return
        event("lists.feed_ended", member=name, reason=reason)
        self._perform(self.selector.upstream_ended(self.loop.time(), name))

    async def _fetch_list(self, peer: Peer) -> None:
        answered = False
        try:
            wait_s = (
                LATE_FETCH_TIMEOUT_S
                if self.start_fetches_done.is_set() and self.held_list.version is None
                else FETCH_TIMEOUT_S
            )
            raw = await self.calls.call(
                peer.address, LIST_GET, encode_optional_version(self.held_list.version), wait_s
            )
            if not isinstance(raw, dict):
                raise ValueError(f"answer to {LIST_GET} is not a map: {raw!r:.40}")
            if raw.get("list") is not None:
                self._receive_list(peer.name, raw["list"])
            answered = True
        except CallFailed as error:  # it is gone or too slow: other members or the service are tried
            if is_frame_error(str(error)):
                self._set_aside(peer.name, str(error))
        except ValueError as error:
            self._set_aside(peer.name, str(error))
        self._perform(self.selector.fetch_ended(self.loop.time(), peer.name, answered))
        if not self.selector.pending_fetches:
            self.start_fetches_done.set()

    async def _announce_list(self, peer: Peer) -> None:
        try:
            await self.calls.call(
                peer.address, LIST_HAVE, encode_optional_version(self.held_list.version), FETCH_TIMEOUT_S
            )
        except CallFailed:
            return  # it is notified again for as long as it lags

    # For operators

    def is_relay(self, name: str) -> bool:
        """Whether a member is a relay in this member's view; where lists are pushed, none is."""
        return name in self.selector.relays and not self.selector.settings.own_watch

    def status(self) -> dict[str, Any]:
        """Return this member's state for operators; for `depth` see source_selector.py."""
        version = self.held_list.version
        return {
            "relay": self.selector.is_relay, "depth": self.selector.depth,
            "own_watch": self.discovery.watching is not None,
            "follows": sorted(self.selector.upstreams), "followers": len(self.followers.feeds),
            "epoch": version and version.service_epoch, "index": version and version.index,
            "confirmed": version is not None and version.epoch >= 0, "hosts": len(self.held_list.entries),
        }  # fmt: skip

    def counters(self) -> dict[str, int]:
        """Return the counters for telemetry."""
        counts = self.ingest.counts + self.counts
        names = ("lists_from_peers", "lists_from_service", "list_service_calls", "list_fallbacks",
                 "peers_set_aside")  # fmt: skip
        return {f"{name}_total": counts[name] for name in names}

    def gauges(self) -> dict[str, int]:
        """Return the gauges for telemetry."""
        return {
            "list_feeds": len(self.selector.upstreams),
            "list_followers": len(self.followers.feeds),
            "list_relay": int(self.selector.is_relay),
        }
