"""Lists by peers: the shell between the calls of members, the list service and the gateway.

Every list, from wherever it comes, goes through the one `Intake`; what is newer reaches the followers in the
same turn of the loop. `Follower` says whom to follow and when to call the service. Where the settings say
that lists are pushed, the gateway keeps its own watch, and peers only help at the start.
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
from cloverkeel.fleet.lists.draws import FollowSettings
from cloverkeel.fleet.lists.follow import ASK_S, BAD_S, Follower
from cloverkeel.fleet.lists.followers import Followers, news, version_or_none
from cloverkeel.fleet.lists.intake import Intake
from cloverkeel.fleet.lists.limits import feeds_limit
from cloverkeel.fleet.lists.links import FEED, Links, is_no_frame
from cloverkeel.fleet.lists.order import Body, Taken, as_version, decode, encode
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.membership.feeds import Feed
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.tasks import BackgroundTasks

GET, HAVE = "list.get", "list.have"
TICK_S = 0.1
VIEW_S = 0.1  # changes of the view are taken up together
SLOW_ASK_S = 2.0  # for one without a list, past its start: its processor and the others' may be busy
JOIN_S = 3.0  # after this a member acts on what it sees, joined or not
MOST_DEPTH = 16


class Sharing:
    """`start` before the gateway starts; from then on `discovery` asks here what is newer. `sockets`: the
    descriptors that the process may have; `must_ask_s`: the longest silence that the settings allow towards
    the list service without a subscription. A feed is one; without any, the draw for a call of one's own ends
    within it where `list_calls_per_s` lets the whole fleet call that fast, and a line says where it does not;
    `gateways`: how many the fleet has by the settings.
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
        self.must_ask_s, self.is_slow = must_ask_s, False
        self.intake = Intake(discovery, on_list, self._on_news, self._on_service)
        self.held = self.intake.held
        me = Peer(membership.name, membership.zone, membership.address)
        seeds = tuple(seed for seed in settings.seeds if seed != me.address)
        wanted = FollowSettings(
            settings.name, settings.relays, settings.list_calls_per_s, gateways, seeds, discovery.pushed
        )
        self.core = Follower(me, wanted, self.rng)
        self.followers = Followers(self.held, self.core, feeds_limit(sockets), self.rng)
        self.links = Links(self.calls, self._on_body, self._ended)
        self.counts: Counter[str] = Counter()
        self.listed = asyncio.Event()  # there is a list with hosts in it
        self.asked = asyncio.Event()  # and this: whom the start asked has answered, or will not
        self.tasks = BackgroundTasks()
        self.loop = asyncio.get_running_loop()
        self.view_due: asyncio.TimerHandle | None = None
        self.ticking: asyncio.TimerHandle | None = None
        self.closed = False

    def start(self) -> None:
        self.calls.serve(GET, self._on_get)
        self.calls.serve(HAVE, self._on_have)
        self.calls.serve_feed(FEED, self._on_feed)
        self.discovery.order = self.intake
        self.membership.on_change(lambda rumour, before: self._view_changes())
        self.tasks.spawn(self._join())
        self._tick()

    def close(self) -> None:
        self.closed = True
        for timer in (self.view_due, self.ticking):
            if timer is not None:
                timer.cancel()
        self.tasks.cancel()
        self.links.close()

    async def first(self, wait_s: float) -> None:
        """Until there is a list, or nobody who was asked at the start has one; `wait_s` at most."""
        waits = [self.loop.create_task(word.wait()) for word in (self.listed, self.asked)]
        await asyncio.wait(waits, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    # What the gateway's module asks for

    def watch(self, on: bool) -> None:
        """Members are followed from the start on: the module hears of changes without a watch of its own."""
        if self.discovery.pushed:
            self.discovery.watch(on)

    def fetch(self) -> None:
        if self.discovery.pushed:
            self.discovery.fetch()
        else:
            self.intake.again()

    # The list

    def _on_news(self, body: Body) -> None:
        if self.held.entries:
            self.listed.set()
        self.followers.tell(news(body))

    def _on_service(self, up: bool) -> None:
        now_s = self.loop.time()
        self._do(self.core.service_answered(now_s) if up else self.core.service_failed(now_s))

    # What members send

    def _take(self, name: str, raw: object) -> None:
        """A list or a change from this member. Raises ValueError where it is none."""
        body = decode(raw)
        self.core.told(name, body.version)
        if self.intake.take(body) is Taken.GAP:
            self._do(self.core.gap(self.loop.time(), name))

    def _refuse(self, name: str, reason: str) -> None:
        self.counts["peers_set_aside"] += 1
        event("lists.peer_refused", peer=name, reason=reason[:200], for_s=BAD_S)
        self._do(self.core.bad(self.loop.time(), name))

    def _on_body(self, name: str, raw: object) -> None:
        """News over a feed that this member follows."""
        try:
            if not isinstance(raw, dict):
                raise ValueError(f"no news: {raw!r:.40}")
            if "full" in raw:
                names = raw["full"]
                if not isinstance(names, list) or not all(isinstance(other, str) for other in names):
                    raise ValueError(f"no names: {names!r:.40}")
                self.links.drop(name)
                self._do(self.core.full(self.loop.time(), name, names))
                return
            if "depth" in raw:
                depth = raw["depth"]
                if depth is not None and (type(depth) is not int or not 0 <= depth <= MOST_DEPTH):
                    raise ValueError(f"no depth: {depth!r:.40}")
                feed = self.core.feeds.get(name)
                if feed is not None and not feed.heard:
                    event("lists.follow", member=name, depth=depth)
                self._do(self.core.opened(self.loop.time(), name, depth))
            if raw.get("list") is not None:
                self._take(name, raw["list"])
            elif raw.get("v") is not None:
                self._compare(name, raw["v"])
        except ValueError as error:
            self._refuse(name, str(error))

    def _compare(self, name: str, raw: object) -> None:
        """A member has the list of this version. Raises ValueError where it is none."""
        version = as_version(raw)
        self.core.told(name, version)
        if self.held.version is None or version > self.held.version:
            self._do(self.core.gap(self.loop.time(), name))

    # What members ask

    def _on_get(self, peer: str, raw: Any) -> dict[str, Any]:
        version = as_version(raw) if raw is not None else None
        whole = self.held.whole()
        if whole is None or (version is not None and version >= whole.version):
            return {"list": None}
        return {"list": encode(whole)}

    def _on_have(self, peer: str, raw: Any) -> None:
        self._compare(peer, raw)

    def _on_feed(self, feed: Feed, raw: Any) -> None:
        self.followers.open(feed, as_version(raw) if raw is not None else None)
        if raw is not None:
            self._compare(feed.peer, raw)

    # The core and the clock

    async def _join(self) -> None:
        try:
            async with asyncio.timeout(JOIN_S):
                await self.membership.joined.wait()
        except TimeoutError:
            event("lists.not_joined", waited_s=JOIN_S)
        self._see()
        if not self.core.asking:
            self.asked.set()

    def _view_changes(self) -> None:
        if self.view_due is None and self.core.joined_s is not None and not self.closed:
            self.view_due = self.loop.call_later(VIEW_S, self._see)

    def _see(self) -> None:
        self.view_due = None
        peers = [Peer(r.name, r.zone, r.address) for r in self.membership.live()]
        draw_s = len(peers) / self.core.settings.list_calls_per_s
        if draw_s > self.must_ask_s and not self.is_slow:
            event("lists.slow_fallback", draw_s=draw_s, must_ask_s=self.must_ask_s, live=len(peers),
                  reason="list_calls_per_s is too low for so many members")  # fmt: skip
        self.is_slow = draw_s > self.must_ask_s
        self._do(self.core.view(self.loop.time(), True, peers))

    def _tick(self) -> None:
        self.ticking = self.loop.call_later(TICK_S, self._tick)
        pushed = self.discovery.pushed
        if pushed != self.core.settings.own_watch:  # other settings were taken up
            self.core.settings = self.core.settings._replace(own_watch=pushed)
            self.discovery.watch(pushed or self.core.watching)
        elif self.core.watching and self.discovery.watching is None:
            self._on_service(False)  # it ended without a word
        self._do(self.core.tick(self.loop.time(), self.held.version))

    def _do(self, wanted: list[actions.Action]) -> None:
        if self.closed:
            return
        for action in wanted:
            match action:
                case actions.Subscribe(peer):
                    self.tasks.spawn(self.links.follow(peer, self.held.version))
                case actions.Unsubscribe(name):
                    self.links.drop(name)
                case actions.Ask(peer):
                    self.tasks.spawn(self._ask(peer))
                case actions.Have(peer):
                    self.tasks.spawn(self._have(peer))
                case actions.Watch(on, is_fed):
                    self.discovery.watch(on, is_fed)
                case actions.Depth(depth):
                    self.followers.tell({"depth": depth})
                case actions.Relay(on):
                    event("lists.relay", on=on, relays=",".join(self.core.relays), live=len(self.core.peers))
                case actions.Fallback(waited_s):
                    self.counts["list_fallbacks"] += 1
                    event("lists.fallback", waited_s=waited_s, live=len(self.core.peers))

    def _ended(self, name: str, reason: str) -> None:
        if is_no_frame(reason):
            self._refuse(name, reason)
            return
        event("lists.feed_ended", member=name, reason=reason)
        self._do(self.core.ended(self.loop.time(), name))

    async def _ask(self, peer: Peer) -> None:
        answered = False
        try:
            wait_s = SLOW_ASK_S if self.asked.is_set() and self.held.version is None else ASK_S
            raw = await self.calls.call(peer.address, GET, version_or_none(self.held.version), wait_s)
            if not isinstance(raw, dict):
                raise ValueError(f"no answer to {GET}: {raw!r:.40}")
            if raw.get("list") is not None:
                self._take(peer.name, raw["list"])
            answered = True
        except CallFailed as error:  # it has gone, or is too slow: others are asked, or the service
            if is_no_frame(str(error)):
                self._refuse(peer.name, str(error))
        except ValueError as error:
            self._refuse(peer.name, str(error))
        self._do(self.core.asked(self.loop.time(), peer.name, answered))
        if not self.core.asking:
            self.asked.set()

    async def _have(self, peer: Peer) -> None:
        try:
            await self.calls.call(peer.address, HAVE, version_or_none(self.held.version), ASK_S)
        except CallFailed:
            return  # said again while it stays behind

    # For operators

    def is_relay(self, name: str) -> bool:
        """Whether a member relays, as far as this one sees; none does where lists are pushed."""
        return name in self.core.relays and not self.core.settings.own_watch

    def status(self) -> dict[str, Any]:
        """How this member hears: `depth` 0 by its own watch, 1 of one that does, None not at all."""
        version = self.held.version
        return {
            "relay": self.core.is_relay, "depth": self.core.depth,
            "own_watch": self.discovery.watching is not None,
            "follows": sorted(self.core.feeds), "followers": len(self.followers.feeds),
            "epoch": version and version.service_epoch, "index": version and version.index,
            "confirmed": version is not None and version.epoch >= 0, "hosts": len(self.held.entries),
        }  # fmt: skip

    def counters(self) -> dict[str, int]:
        counts = self.intake.counts + self.counts
        names = ("lists_from_peers", "lists_from_service", "list_service_calls", "list_fallbacks",
                 "peers_set_aside")  # fmt: skip
        return {f"{name}_total": counts[name] for name in names}

    def gauges(self) -> dict[str, int]:
        return {
            "list_feeds": len(self.core.feeds),
            "list_followers": len(self.followers.feeds),
            "list_relay": int(self.core.is_relay),
        }
