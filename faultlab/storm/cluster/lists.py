"""The lists by peers on top of a storm's cluster: each process's follower and held list, on the view that its
member has, with feeds and calls over the same links, and one list service for all."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from cloverkeel.fleet.invariants import check
from cloverkeel.fleet.lists.actions import (
    Action,
    FetchList,
    AnnounceDepth,
    AnnounceList,
    Subscribe,
    Unsubscribe,
    Watch,
)
from cloverkeel.fleet.lists.jitter import SelectorSettings
from cloverkeel.fleet.lists.source_selector import FETCH_TIMEOUT_S, SourceSelector
from cloverkeel.fleet.lists.limits import MAX_UPSTREAMS, REFERRALS_PER_REPLY, admits_follower
from cloverkeel.fleet.lists.versioned_list import (
    ListUpdate,
    HeldList,
    ListVersion,
    ApplyResult,
    unconfirmed_version,
    answer_version,
)
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from faultlab.storm.cluster.budget import TOLERANCE, BudgetShare, total_share
from faultlab.storm.cluster.listservice import START_INDEXES, ListService
from faultlab.storm.cluster.membership import MembershipCluster, Process
from faultlab.storm.cluster.network import NORMAL_DELAY_S

TICK_S, JOIN_S, SILENCE_S = 0.1, 3.0, 1.0  # as in lists.sharing and membership.calls
SERVICE_DELAY_S, POLL_INTERVAL_S = 0.02, 0.2  # a call's way to the service; the wait between two
LINK_DELAY_S = NORMAL_DELAY_S[1]
MAX_FOLLOWERS = 16  # followers of one member


@dataclass(slots=True, eq=False)
class ListSubscription:
    """One feed from `source` to `target`; what is under way waits while nothing passes, as in TCP."""

    source: ListNode
    target: ListNode
    queue: deque[dict[str, Any]] = field(default_factory=deque)
    delivering: bool = False
    closed: bool = False
    silent_since_s: float | None = None


@dataclass(slots=True, eq=False)
class ListNode:
    """The lists' part of one process."""

    process: Process
    core: SourceSelector
    started_s: float
    held: HeldList = field(default_factory=HeldList)
    subscriptions: dict[str, ListSubscription] = field(default_factory=dict)  # that it follows, by name
    followers: list[ListSubscription] = field(default_factory=list)
    budget_share: BudgetShare = field(default_factory=BudgetShare)
    watch_count: int = 0  # counts watches begun and ended
    seen_members: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        return self.process.name


class ListDistribution:
    """Drives every process that `cluster` starts. `check`s what must hold from outside the cores."""

    def __init__(self, cluster: MembershipCluster, seed: int, until_s: float) -> None:
        self.cluster, self.clock = cluster, cluster.clock
        self.rng = random.Random(seed)
        self.service = ListService(self.rng, reports_epoch=self.rng.random() < 0.3)
        self.settings = SelectorSettings("storm", list_calls_per_s=20.0)
        self.nodes: dict[str, ListNode] = {}  # by address
        self.relays_by_view: dict[tuple[str, ...], tuple[str, ...]] = {}  # names in view: the relays chosen
        cluster.on_start = self.add_process
        for _ in range(3):
            self.service.change()
        gap_s = self.rng.choice((0.2, 1.0, 3.0))
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(1 / gap_s)) < until_s:
            self.clock.call_at(at_s, self.service.change)
        for _ in range(self.rng.choice((0, 0, 1, len(START_INDEXES) - 1))):
            self.clock.call_at(self.rng.uniform(0.0, until_s), self.service.restart)
        if self.rng.random() < 0.4:
            down_s = self.rng.uniform(0.0, until_s)
            self.clock.call_at(down_s, self._set_service_up, False)
            self.clock.call_at(min(until_s, down_s + self.rng.uniform(0.5, 8.0)), self._set_service_up, True)

    def _set_service_up(self, up: bool) -> None:
        self.service.up = up

    def add_process(self, process: Process) -> None:
        me = Peer(process.name, process.me.zone, process.me.address)
        core = SourceSelector(me, self.settings, random.Random(self.rng.getrandbits(64)))
        sharer = self.nodes[process.me.address] = ListNode(process, core, self.clock.now_s)
        if self.rng.random() < 0.3:  # it has a list from before
            entry = {"name": "h0", "made": -1}
            sharer.held.apply_answer(
                None, unconfirmed_version(0, START_INDEXES[0] - self.rng.randint(1, 50)), True, [entry]
            )
        self.clock.call_at(self.clock.now_s + self.rng.random() * TICK_S, self.tick, sharer)

    def node_at(self, address: str) -> ListNode | None:
        process = self.cluster.process_at(address)
        sharer = self.nodes.get(process.me.address) if process is not None else None
        return sharer if sharer is not None and sharer.process is process else None

    def is_awake(self, sharer: ListNode) -> bool:
        return sharer.process.up and self.clock.now_s >= sharer.process.paused_until_s

    def can_reach(self, one: ListNode, other: ListNode) -> bool:
        """Whether what `one` says reaches `other` now."""
        connected = self.cluster.links.connected(one.process.me.address, other.process.me.address)
        return connected and self.is_awake(one) and self.is_awake(other)

    def tick(self, sharer: ListNode) -> None:
        if not sharer.process.up:
            return
        if self.is_awake(sharer):
            self._update_view(sharer)
            for feed in list(sharer.subscriptions.values()):
                self._check_silence(feed)
            self.execute(sharer, sharer.core.tick(self.clock.now_s, sharer.held.version))
        self.clock.call_at(self.clock.now_s + TICK_S, self.tick, sharer)

    def _update_view(self, sharer: ListNode) -> None:
        member, now_s = sharer.process.member, self.clock.now_s
        joined = member.joining_until_s is None or now_s >= sharer.started_s + JOIN_S
        if not joined or (sharer.core.joined_s is not None and not sharer.process.view_changed):
            return
        sharer.process.view_changed = False
        held = {} if member.refused else member.members()
        peers = [Peer(r.name, r.zone, r.address) for r in held.values() if r.status in LIVE_STATUSES]
        self.execute(sharer, sharer.core.view_changed(now_s, True, peers))
        sharer.seen_members = tuple(sorted(sharer.core.peers))
        chosen = self.relays_by_view.setdefault(sharer.seen_members, sharer.core.relays)
        sharer.budget_share.view_changed(
            now_s, [peer.zone for peer in sharer.core.peers.values()], sharer.name
        )
        check(chosen == sharer.core.relays, "equal views give other relays", member=sharer.name)

    def execute(self, sharer: ListNode, actions: list[Action]) -> None:
        clock, core = self.clock, sharer.core
        check(len(core.upstreams) <= MAX_UPSTREAMS, "a follower over more than two feeds", member=sharer.name)
        for action in actions:
            match action:
                case Subscribe(peer):
                    clock.call_at(clock.now_s + LINK_DELAY_S, self.subscribe, sharer, peer)
                case Unsubscribe(name):
                    self._close(sharer.subscriptions.pop(name, None))
                case FetchList(peer):
                    clock.call_at(clock.now_s + LINK_DELAY_S, self.fetch, sharer, peer)
                case AnnounceList(peer):
                    clock.call_at(clock.now_s + LINK_DELAY_S, self.announce, sharer, peer)
                case Watch(on, _):
                    sharer.watch_count += 1
                    if on:
                        self.call_service(sharer, sharer.watch_count)
                case AnnounceDepth(depth):
                    self._notify_followers(sharer, {"depth": depth})
                case _:
                    pass

    # Feeds

    def _close(self, feed: ListSubscription | None) -> None:
        if feed is not None:
            feed.closed = True
            feed.source.followers = [other for other in feed.source.followers if other is not feed]

    def subscribe(self, sharer: ListNode, peer: Peer) -> None:
        if (
            peer.name not in sharer.core.upstreams
            or peer.name in sharer.subscriptions
            or not sharer.process.up
        ):
            return
        source = self.node_at(peer.address)
        if source is None or not self.can_reach(sharer, source):
            wait_s = LINK_DELAY_S if source is None else SILENCE_S
            self.clock.call_at(self.clock.now_s + wait_s, self._subscribe_failed, sharer, peer.name)
            return
        if not admits_follower(len(source.followers), MAX_FOLLOWERS, source.core.depth, source.core.is_relay):
            names = [feed.target.name for feed in source.followers][:REFERRALS_PER_REPLY]
            self.execute(sharer, sharer.core.upstream_full(self.clock.now_s, peer.name, names))
            return
        feed = sharer.subscriptions[peer.name] = ListSubscription(source, sharer)
        source.followers.append(feed)
        self._enqueue(
            feed, {"depth": source.core.depth, "v": source.held.version, "list": source.held.full_list()}
        )
        if sharer.held.version is not None:
            self._version_reported(source, sharer.name, sharer.held.version)

    def _subscribe_failed(self, sharer: ListNode, name: str) -> None:
        if name not in sharer.subscriptions and sharer.process.up:
            self.execute(sharer, sharer.core.upstream_ended(self.clock.now_s, name))

    def _check_silence(self, feed: ListSubscription) -> None:
        """A feed that is silent for a second, or reset by its end, is over."""
        now_s = self.clock.now_s
        if self.can_reach(feed.source, feed.target):
            feed.silent_since_s = None
            return
        feed.silent_since_s = now_s if feed.silent_since_s is None else feed.silent_since_s
        if now_s - feed.silent_since_s >= SILENCE_S:
            name = next(name for name, held in feed.target.subscriptions.items() if held is feed)
            del feed.target.subscriptions[name]
            self._close(feed)
            self.execute(feed.target, feed.target.core.upstream_ended(now_s, name))

    def _notify_followers(self, sharer: ListNode, news: dict[str, Any]) -> None:
        for feed in list(sharer.followers):
            self._enqueue(feed, news)

    def _enqueue(self, feed: ListSubscription, news: dict[str, Any]) -> None:
        feed.queue.append(news)
        if not feed.delivering:
            feed.delivering = True
            self.clock.call_at(self.clock.now_s + LINK_DELAY_S, self._deliver, feed)

    def _deliver(self, feed: ListSubscription) -> None:
        if feed.closed:
            return
        if not self.can_reach(feed.source, feed.target):
            self.clock.call_at(self.clock.now_s + 0.05, self._deliver, feed)
            return
        while feed.queue and not feed.closed:
            self._receive(feed, feed.queue.popleft())
        feed.delivering = False

    def _receive(self, feed: ListSubscription, news: dict[str, Any]) -> None:
        sharer, name = feed.target, feed.source.name
        if "depth" in news:
            self.execute(sharer, sharer.core.depth_received(self.clock.now_s, name, news["depth"]))
        if news.get("list") is not None:
            sharer.core.version_received(name, news["list"].version)
            self._apply_update(sharer, name, news["list"])
        elif news.get("v") is not None:
            self._version_reported(sharer, name, news["v"])

    # Lists

    def _version_reported(self, sharer: ListNode, name: str, version: ListVersion) -> None:
        sharer.core.version_received(name, version)
        if sharer.held.version is None or version > sharer.held.version:
            self.execute(sharer, sharer.core.newer_list_reported(self.clock.now_s, name))

    def _apply_update(self, sharer: ListNode, name: str, body: ListUpdate) -> None:
        before = sharer.held.version
        taken = sharer.held.apply(body)
        self._check_order(sharer, before, taken)
        if taken is ApplyResult.NEW:
            self._notify_followers(sharer, {"list": body})
        elif taken is ApplyResult.GAP:
            self.execute(sharer, sharer.core.newer_list_reported(self.clock.now_s, name))

    def _check_order(self, sharer: ListNode, before: ListVersion | None, taken: ApplyResult) -> None:
        after = sharer.held.version
        forward = after is not None and (before is None or after > before)
        right = forward if taken is ApplyResult.NEW else after == before
        check(right, "lists applied out of order", member=sharer.name, before=before, after=after)

    def fetch(self, sharer: ListNode, peer: Peer) -> None:
        other = self.node_at(peer.address)
        if other is not None and self.can_reach(sharer, other):
            self.clock.call_at(
                self.clock.now_s + LINK_DELAY_S, self._fetch_ended, sharer, peer.name, other.held.full_list()
            )
        else:
            self.clock.call_at(self.clock.now_s + FETCH_TIMEOUT_S, self._fetch_ended, sharer, peer.name, None)

    def _fetch_ended(self, sharer: ListNode, name: str, body: ListUpdate | None) -> None:
        if not sharer.process.up:
            return
        if body is not None:
            self._apply_update(sharer, name, body)
        self.execute(sharer, sharer.core.fetch_ended(self.clock.now_s, name))

    def announce(self, sharer: ListNode, peer: Peer) -> None:
        other = self.node_at(peer.address)
        if other is not None and sharer.held.version is not None and self.can_reach(sharer, other):
            self._version_reported(other, sharer.name, sharer.held.version)

    # The own watch

    def call_service(self, sharer: ListNode, watch: int) -> None:
        if sharer.process.up and sharer.watch_count == watch:
            begun, asked = sharer.held.version, sharer.held.ask_from
            self.clock.call_at(
                self.clock.now_s + SERVICE_DELAY_S, self._service_answered, sharer, watch, begun, asked
            )

    def _service_answered(
        self, sharer: ListNode, watch: int, begun: ListVersion | None, asked: int | None
    ) -> None:
        now_s, service, held = self.clock.now_s, self.service, sharer.held
        if not sharer.process.up or sharer.watch_count != watch:
            return
        if not self.is_awake(sharer):
            self.clock.call_at(
                sharer.process.paused_until_s, self._service_answered, sharer, watch, begun, asked
            )
            return
        if not service.up:
            sharer.watch_count += 1
            self.execute(sharer, sharer.core.service_failed(now_s))
            return
        index, whole, entries = service.answer(asked)
        before = held.version
        taken, body = held.apply_answer(begun, answer_version(begun, index, service.epoch), whole, entries)
        self._check_order(sharer, before, taken)
        if body is not None:
            self._notify_followers(sharer, {"list": body})
        self.execute(sharer, sharer.core.service_answered(now_s))
        self.clock.call_at(
            now_s + (0.0 if taken is ApplyResult.GAP else POLL_INTERVAL_S), self.call_service, sharer, watch
        )

    # The end

    def disagreements(self) -> list[str]:
        """Processes that speak and do not hold the service's list, or have no way to it; watches of others
        than the relays; parts of a cold host's budget that add up to more than the whole."""
        found: list[str] = []
        parts = [self.nodes[process.me.address].budget_share for process in self.cluster.active_processes()]
        if (total := total_share(parts)) > 1 + TOLERANCE:
            found.append(f"{len(parts)} gateways take {total:.3f} of a fall budget")
        for process in self.cluster.active_processes():
            sharer = self.nodes[process.me.address]
            core = sharer.core
            if sharer.held.entries != self.service.entries:
                found.append(f"{sharer.name} holds the list {sharer.held.version}, not {self.service.index}")
            if core.depth is None:
                found.append(f"{sharer.name} has no way to the list service")
            if core.watching != (sharer.name in core.relays):
                found.append(
                    f"{sharer.name} {'watches and is no' if core.watching else 'does not watch as'} relay"
                )
        return found
