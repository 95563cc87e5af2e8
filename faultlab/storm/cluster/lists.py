"""Distribution of server lists between the processes of a simulated membership cluster.

Each process has a source selector and a held list, and works on the view of its member. Subscriptions and
calls use the cluster's links. All processes share one list service.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from cloverkeel.fleet.invariants import check
from cloverkeel.fleet.lists.actions import (
    Action,
    AnnounceDepth,
    AnnounceList,
    FetchList,
    Subscribe,
    Unsubscribe,
    Watch,
)
from cloverkeel.fleet.lists.jitter import SelectorSettings
from cloverkeel.fleet.lists.limits import MAX_UPSTREAMS, REFERRALS_PER_REPLY, admits_follower
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.lists.source_selector import FETCH_TIMEOUT_S, SourceSelector
from cloverkeel.fleet.lists.versioned_list import (
    ApplyResult,
    HeldList,
    ListUpdate,
    ListVersion,
    answer_version,
    unconfirmed_version,
)
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from faultlab.storm.cluster.budget import TOLERANCE, BudgetShare, total_share
from faultlab.storm.cluster.listservice import START_INDEXES, ListService
from faultlab.storm.cluster.membership import MembershipCluster, Process
from faultlab.storm.cluster.network import NORMAL_DELAY_S

TICK_S, JOIN_S, SILENCE_S = 0.1, 3.0, 1.0  # as in lists.sharing and membership.calls
SERVICE_DELAY_S, POLL_INTERVAL_S = 0.02, 0.2  # delay of a call to the service; wait between two
LINK_DELAY_S = NORMAL_DELAY_S[1]  # delay of a message or call between two processes
MAX_FOLLOWERS = 16  # of one member


@dataclass(slots=True, eq=False)
class ListSubscription:
    """A subscription of `target` to `source`. Messages wait while the link is down, as in TCP."""

    source: ListNode
    target: ListNode
    queue: deque[dict[str, Any]] = field(default_factory=deque)
    delivering: bool = False  # a delivery is scheduled
    closed: bool = False
    silent_since_s: float | None = None  # None: the link is up


@dataclass(slots=True, eq=False)
class ListNode:
    """The list distribution of one process."""

    process: Process
    core: SourceSelector
    started_s: float
    held: HeldList = field(default_factory=HeldList)
    subscriptions: dict[str, ListSubscription] = field(default_factory=dict)  # to its upstreams, by name
    followers: list[ListSubscription] = field(default_factory=list)
    budget_share: BudgetShare = field(default_factory=BudgetShare)
    watch_count: int = 0  # starts and ends of its own watch, so that late answers are ignored
    seen_members: tuple[str, ...] = ()  # names in its last view

    @property
    def name(self) -> str:
        """The name of its member."""
        return self.process.name


class ListDistribution:
    """Runs list distribution on each process that `cluster` starts, and checks invariants across them."""

    def __init__(self, cluster: MembershipCluster, seed: int, until_s: float) -> None:
        self.cluster, self.clock = cluster, cluster.clock
        self.rng = random.Random(seed)
        self.service = ListService(self.rng, reports_epoch=self.rng.random() < 0.3)
        self.settings = SelectorSettings("storm", list_calls_per_s=20.0)
        self.nodes: dict[str, ListNode] = {}  # by address
        self.relays_by_view: dict[tuple[str, ...], tuple[str, ...]] = {}  # by the names in a view
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
        """Start list distribution on a process; three in ten have a list from an earlier process."""
        me = Peer(process.name, process.me.zone, process.me.address)
        core = SourceSelector(me, self.settings, random.Random(self.rng.getrandbits(64)))
        node = self.nodes[process.me.address] = ListNode(process, core, self.clock.now_s)
        if self.rng.random() < 0.3:
            entry = {"name": "h0", "made": -1}
            node.held.apply_answer(
                None, unconfirmed_version(0, START_INDEXES[0] - self.rng.randint(1, 50)), True, [entry]
            )
        self.clock.call_at(self.clock.now_s + self.rng.random() * TICK_S, self.tick, node)

    def node_at(self, address: str) -> ListNode | None:
        """The node of the process that receives at `address`."""
        process = self.cluster.process_at(address)
        node = self.nodes.get(process.me.address) if process is not None else None
        return node if node is not None and node.process is process else None

    def is_awake(self, node: ListNode) -> bool:
        """Whether its process runs and is not paused."""
        return node.process.up and self.clock.now_s >= node.process.paused_until_s

    def can_reach(self, one: ListNode, other: ListNode) -> bool:
        """Whether a message from `one` reaches `other` now."""
        connected = self.cluster.links.connected(one.process.me.address, other.process.me.address)
        return connected and self.is_awake(one) and self.is_awake(other)

    def tick(self, node: ListNode) -> None:
        """Update the view, check the subscriptions and tick the core."""
        if not node.process.up:
            return
        if self.is_awake(node):
            self._update_view(node)
            for subscription in list(node.subscriptions.values()):
                self._check_silence(subscription)
            self.execute(node, node.core.tick(self.clock.now_s, node.held.version))
        self.clock.call_at(self.clock.now_s + TICK_S, self.tick, node)

    def _update_view(self, node: ListNode) -> None:
        """Pass a changed membership view to the core; equal views must select equal relays."""
        member, now_s = node.process.member, self.clock.now_s
        joined = member.joining_until_s is None or now_s >= node.started_s + JOIN_S
        if not joined or (node.core.joined_s is not None and not node.process.view_changed):
            return
        node.process.view_changed = False
        held = {} if member.refused else member.members()
        peers = [Peer(r.name, r.zone, r.address) for r in held.values() if r.status in LIVE_STATUSES]
        self.execute(node, node.core.view_changed(now_s, True, peers))
        node.seen_members = tuple(sorted(node.core.peers))
        chosen = self.relays_by_view.setdefault(node.seen_members, node.core.relays)
        node.budget_share.view_changed(now_s, [peer.zone for peer in node.core.peers.values()], node.name)
        check(chosen == node.core.relays, "equal views select different relays", member=node.name)

    def execute(self, node: ListNode, actions: list[Action]) -> None:
        """Carry out the actions of a node's core."""
        clock, core = self.clock, node.core
        check(
            len(core.upstreams) <= MAX_UPSTREAMS, "a follower with more than two upstreams", member=node.name
        )
        for action in actions:
            match action:
                case Subscribe(peer):
                    clock.call_at(clock.now_s + LINK_DELAY_S, self.subscribe, node, peer)
                case Unsubscribe(name):
                    self._close(node.subscriptions.pop(name, None))
                case FetchList(peer):
                    clock.call_at(clock.now_s + LINK_DELAY_S, self.fetch, node, peer)
                case AnnounceList(peer):
                    clock.call_at(clock.now_s + LINK_DELAY_S, self.announce, node, peer)
                case Watch(on, _):
                    node.watch_count += 1
                    if on:
                        self.call_service(node, node.watch_count)
                case AnnounceDepth(depth):
                    self._notify_followers(node, {"depth": depth})
                case _:
                    pass

    # Subscriptions

    def _close(self, subscription: ListSubscription | None) -> None:
        if subscription is not None:
            subscription.closed = True
            subscription.source.followers = [
                other for other in subscription.source.followers if other is not subscription
            ]

    def subscribe(self, node: ListNode, peer: Peer) -> None:
        """Subscribe to `peer`, unless it is out of reach or full; a full one names other members."""
        if peer.name not in node.core.upstreams or peer.name in node.subscriptions or not node.process.up:
            return
        source = self.node_at(peer.address)
        if source is None or not self.can_reach(node, source):
            wait_s = LINK_DELAY_S if source is None else SILENCE_S
            self.clock.call_at(self.clock.now_s + wait_s, self._subscribe_failed, node, peer.name)
            return
        if not admits_follower(len(source.followers), MAX_FOLLOWERS, source.core.depth, source.core.is_relay):
            names = [subscription.target.name for subscription in source.followers][:REFERRALS_PER_REPLY]
            self.execute(node, node.core.upstream_full(self.clock.now_s, peer.name, names))
            return
        subscription = node.subscriptions[peer.name] = ListSubscription(source, node)
        source.followers.append(subscription)
        self._enqueue(
            subscription,
            {"depth": source.core.depth, "v": source.held.version, "list": source.held.full_list()},
        )
        if node.held.version is not None:
            self._version_reported(source, node.name, node.held.version)

    def _subscribe_failed(self, node: ListNode, name: str) -> None:
        if name not in node.subscriptions and node.process.up:
            self.execute(node, node.core.upstream_ended(self.clock.now_s, name))

    def _check_silence(self, subscription: ListSubscription) -> None:
        """Close a subscription whose link has been down for SILENCE_S."""
        now_s = self.clock.now_s
        if self.can_reach(subscription.source, subscription.target):
            subscription.silent_since_s = None
            return
        subscription.silent_since_s = (
            now_s if subscription.silent_since_s is None else subscription.silent_since_s
        )
        if now_s - subscription.silent_since_s >= SILENCE_S:
            name = next(
                name for name, held in subscription.target.subscriptions.items() if held is subscription
            )
            del subscription.target.subscriptions[name]
            self._close(subscription)
            self.execute(subscription.target, subscription.target.core.upstream_ended(now_s, name))

    def _notify_followers(self, node: ListNode, message: dict[str, Any]) -> None:
        for subscription in list(node.followers):
            self._enqueue(subscription, message)

    def _enqueue(self, subscription: ListSubscription, message: dict[str, Any]) -> None:
        subscription.queue.append(message)
        if not subscription.delivering:
            subscription.delivering = True
            self.clock.call_at(self.clock.now_s + LINK_DELAY_S, self._deliver, subscription)

    def _deliver(self, subscription: ListSubscription) -> None:
        """Deliver the queued messages, or try again in 50 ms while the link is down."""
        if subscription.closed:
            return
        if not self.can_reach(subscription.source, subscription.target):
            self.clock.call_at(self.clock.now_s + 0.05, self._deliver, subscription)
            return
        while subscription.queue and not subscription.closed:
            self._receive(subscription, subscription.queue.popleft())
        subscription.delivering = False

    def _receive(self, subscription: ListSubscription, message: dict[str, Any]) -> None:
        node, name = subscription.target, subscription.source.name
        if "depth" in message:
            self.execute(node, node.core.depth_received(self.clock.now_s, name, message["depth"]))
        if message.get("list") is not None:
            node.core.version_received(name, message["list"].version)
            self._apply_update(node, name, message["list"])
        elif message.get("v") is not None:
            self._version_reported(node, name, message["v"])

    # Lists

    def _version_reported(self, node: ListNode, name: str, version: ListVersion) -> None:
        """Report the list version of member `name` to the core."""
        node.core.version_received(name, version)
        if node.held.version is None or version > node.held.version:
            self.execute(node, node.core.newer_list_reported(self.clock.now_s, name))

    def _apply_update(self, node: ListNode, name: str, update: ListUpdate) -> None:
        """Apply a list update from member `name`, and pass it on if it is new."""
        before = node.held.version
        applied = node.held.apply(update)
        self._check_order(node, before, applied)
        if applied is ApplyResult.NEW:
            self._notify_followers(node, {"list": update})
        elif applied is ApplyResult.GAP:
            self.execute(node, node.core.newer_list_reported(self.clock.now_s, name))

    def _check_order(self, node: ListNode, before: ListVersion | None, applied: ApplyResult) -> None:
        """Check that the held version rises with a new list, and stays the same otherwise."""
        after = node.held.version
        forward = after is not None and (before is None or after > before)
        valid = forward if applied is ApplyResult.NEW else after == before
        check(valid, "lists applied out of order", member=node.name, before=before, after=after)

    def fetch(self, node: ListNode, peer: Peer) -> None:
        """Fetch the full list of `peer`."""
        other = self.node_at(peer.address)
        if other is not None and self.can_reach(node, other):
            self.clock.call_at(
                self.clock.now_s + LINK_DELAY_S, self._fetch_ended, node, peer.name, other.held.full_list()
            )
        else:
            self.clock.call_at(self.clock.now_s + FETCH_TIMEOUT_S, self._fetch_ended, node, peer.name, None)

    def _fetch_ended(self, node: ListNode, name: str, update: ListUpdate | None) -> None:
        if not node.process.up:
            return
        if update is not None:
            self._apply_update(node, name, update)
        self.execute(node, node.core.fetch_ended(self.clock.now_s, name))

    def announce(self, node: ListNode, peer: Peer) -> None:
        """Report the held version to `peer`."""
        other = self.node_at(peer.address)
        if other is not None and node.held.version is not None and self.can_reach(node, other):
            self._version_reported(other, node.name, node.held.version)

    # Watch of the list service

    def call_service(self, node: ListNode, watch: int) -> None:
        """Call the list service, if the node still has the watch of number `watch`."""
        if node.process.up and node.watch_count == watch:
            version_at_call, from_index = node.held.version, node.held.ask_from
            self.clock.call_at(
                self.clock.now_s + SERVICE_DELAY_S,
                self._service_answered,
                node,
                watch,
                version_at_call,
                from_index,
            )

    def _service_answered(
        self, node: ListNode, watch: int, version_at_call: ListVersion | None, from_index: int | None
    ) -> None:
        now_s, service, held = self.clock.now_s, self.service, node.held
        if not node.process.up or node.watch_count != watch:
            return
        if not self.is_awake(node):
            self.clock.call_at(
                node.process.paused_until_s, self._service_answered, node, watch, version_at_call, from_index
            )
            return
        if not service.up:
            node.watch_count += 1
            self.execute(node, node.core.service_failed(now_s))
            return
        index, is_full, entries = service.answer(from_index)
        before = held.version
        applied, update = held.apply_answer(
            version_at_call, answer_version(version_at_call, index, service.epoch), is_full, entries
        )
        self._check_order(node, before, applied)
        if update is not None:
            self._notify_followers(node, {"list": update})
        self.execute(node, node.core.service_answered(now_s))
        self.clock.call_at(
            now_s + (0.0 if applied is ApplyResult.GAP else POLL_INTERVAL_S), self.call_service, node, watch
        )

    # Checks at the end

    def disagreements(self) -> list[str]:
        """Differences from the state that all processes must reach.

        Each active process must hold the service's list and have a path to the service, the relays and no
        others must watch it, and the shares of a cold host's fall budget must not add up to more than it.
        """
        found: list[str] = []
        shares = [self.nodes[process.me.address].budget_share for process in self.cluster.active_processes()]
        if (total := total_share(shares)) > 1 + TOLERANCE:
            found.append(f"{len(shares)} gateways use {total:.3f} of a fall budget")
        for process in self.cluster.active_processes():
            node = self.nodes[process.me.address]
            core = node.core
            if node.held.entries != self.service.entries:
                found.append(f"{node.name} holds the list {node.held.version}, not {self.service.index}")
            if core.depth is None:
                found.append(f"{node.name} has no path to the list service")
            if core.watching != (node.name in core.relays):
                found.append(
                    f"{node.name} {'watches but is no' if core.watching else 'does not watch as'} relay"
                )
        return found
