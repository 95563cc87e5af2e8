"""A fleet of hundreds of `SourceSelector`s in simulated time, with a simulated list service and network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cloverkeel.fleet.lists import actions
from cloverkeel.fleet.lists.jitter import SelectorSettings
from cloverkeel.fleet.lists.limits import admits_follower
from cloverkeel.fleet.lists.relays import Peer
from cloverkeel.fleet.lists.source_selector import SourceSelector
from cloverkeel.fleet.lists.versioned_list import ListVersion

# Delay of one message; time until a silent feed counts as ended; interval between ticks.
HOP_S, SILENCE_S, TICK_S = 0.001, 1.0, 0.1


@dataclass
class Node:
    """One simulated member."""

    core: SourceSelector
    index: int = 0  # index of the list that it holds; 0: no list
    followers: list[str] = field(default_factory=list)  # names
    state: str = "up"  # or "dead": connections to it are reset; "stopped": it is silent
    view_due: bool = False  # an update of its view is scheduled

    @property
    def version(self) -> ListVersion | None:
        return ListVersion(0, self.index) if self.index else None


class Site:
    """The fleet and its list service. `calls` are the times of calls to the service; `up`: it answers."""

    def __init__(self, seed: int, limit: int = 32, zones: int = 3, rate: float = 20.0) -> None:
        self.rng, self.limit, self.zones = random.Random(seed), limit, zones
        self.settings = SelectorSettings("site", list_calls_per_s=rate)
        self.now_s, self.serial = 0.0, itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[str, Node] = {}
        self.index, self.up = 1, True
        self.calls: list[float] = []
        self.relays_acting: list[tuple[float, str]] = []
        self.fallbacks = 0
        self.blocked: set[tuple[str, str]] = set()  # (a, b): a cannot open a feed to b

    def call_later(self, wait_s: float, callback: Callable[[], None]) -> None:
        """Schedule `callback`."""
        heapq.heappush(self.queue, (self.now_s + wait_s, next(self.serial), callback))

    def run(self, for_s: float) -> None:
        """Advance the simulated time by `for_s` seconds."""
        end_s = self.now_s + for_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self.queue)
            callback()
        self.now_s = end_s

    def live(self) -> list[Peer]:
        return [node.core.local_peer for node in self.nodes.values() if node.state != "dead"]

    def start(self, name: str, index: int = 0) -> None:
        peer = Peer(name, "abcdefgh"[int(name[1:]) % self.zones], f"127.0.0.1:{name[1:]}")
        node = self.nodes[name] = Node(
            SourceSelector(peer, self.settings, random.Random(name + str(self.now_s))), index
        )
        self.schedule_view_updates()
        self.tick(node)

    def schedule_view_updates(self) -> None:
        for node in self.nodes.values():
            if not node.view_due:
                node.view_due = True
                self.call_later(self.rng.uniform(0.02, 0.3), partial(self.update_view, node))

    def update_view(self, node: Node) -> None:
        node.view_due = False
        if node.state == "up":
            self.carry_out(node, node.core.view_changed(self.now_s, True, self.live()))

    def tick(self, node: Node) -> None:
        if self.nodes.get(node.core.local_peer.name) is not node or node.state == "dead":
            return
        if node.state == "up":
            self.carry_out(node, node.core.tick(self.now_s, node.version))
        self.call_later(TICK_S, lambda: self.tick(node))

    def kill(self, name: str) -> None:
        """End a member; its connections are reset at once."""
        node = self.nodes[name]
        node.state, node.core.watching = "dead", False
        for other in self.nodes.values():
            if name in other.core.upstreams:
                self.call_later(HOP_S, partial(self.end_feed, other, name))
            if name in other.followers:
                other.followers.remove(name)
        self.call_later(1.5, self.schedule_view_updates)

    def stop(self, name: str) -> None:
        """Freeze a member; its followers notice after SILENCE_S."""
        self.nodes[name].state = "stopped"
        for other in self.nodes.values():
            if name in other.core.upstreams:
                self.call_later(SILENCE_S, partial(self.end_feed, other, name))

    def end_feed(self, node: Node, name: str) -> None:
        """End the feed of a member from `name`."""
        if node.state == "up":
            self.carry_out(node, node.core.upstream_ended(self.now_s, name))
            if node.core.local_peer.name in self.nodes[name].followers:
                self.nodes[name].followers.remove(node.core.local_peer.name)

    def change_list(self) -> None:
        """Change the list; open watches are answered."""
        self.index += 1
        for node in self.nodes.values():
            if node.core.watching and node.state == "up" and self.up:
                self.call_later(HOP_S, partial(self.answer_watch, node))

    def set_service_up(self, up: bool) -> None:
        """Start or stop the list service."""
        self.up = up
        for node in self.nodes.values():
            if not up and node.core.watching:
                self.call_later(HOP_S, partial(self.fail_watch, node))

    def answer_watch(self, node: Node) -> None:
        """Answer the open watch of a member."""
        if node.state == "up" and node.core.watching:
            self.receive_index(node, self.index)
            self.carry_out(node, node.core.service_answered(self.now_s))

    def fail_watch(self, node: Node) -> None:
        """Fail the open watch of a member."""
        if node.state == "up" and node.core.watching:
            self.carry_out(node, node.core.service_failed(self.now_s))

    def receive_index(self, node: Node, index: int) -> None:
        """Give a member the list of this index; it passes a newer one on."""
        if index > node.index and node.state == "up":
            node.index = index
            for name in node.followers:
                self.call_later(HOP_S, partial(self.receive_list, name, node, index))

    def receive_list(self, name: str, source: Node, index: int) -> None:
        node = self.nodes[name]
        if node.state == "up" and source.core.local_peer.name in node.core.upstreams:
            node.core.version_received(source.core.local_peer.name, ListVersion(0, index))
            self.receive_index(node, index)

    def carry_out(self, node: Node, pending_actions: list[actions.Action]) -> None:
        """Carry out the actions of a member's selector."""
        own_name = node.core.local_peer.name
        for action in pending_actions:
            match action:
                case actions.Subscribe(peer):
                    self.call_later(HOP_S, partial(self.open_feed, node, self.nodes[peer.name]))
                case actions.Unsubscribe(name):
                    if own_name in self.nodes[name].followers:
                        self.nodes[name].followers.remove(own_name)
                case actions.FetchList(peer):
                    self.call_later(HOP_S, partial(self.end_fetch, node, self.nodes[peer.name]))
                case actions.AnnounceList(peer):
                    self.call_later(HOP_S, partial(self.receive_index, self.nodes[peer.name], node.index))
                case actions.Watch(True, _):
                    self.calls.append(self.now_s)
                    self.call_later(
                        2 * HOP_S, lambda: self.answer_watch(node) if self.up else self.fail_watch(node)
                    )
                case actions.AnnounceDepth(depth):
                    for name in node.followers:
                        self.call_later(HOP_S, partial(self.receive_depth, name, own_name, depth))
                case actions.RelayRoleChanged(True):
                    self.relays_acting.append((self.now_s, own_name))
                case actions.FallbackStarted():
                    self.fallbacks += 1

    def receive_depth(self, name: str, source: str, depth: int | None) -> None:
        node = self.nodes[name]
        if node.state == "up":
            self.carry_out(node, node.core.depth_received(self.now_s, source, depth))

    def end_fetch(self, node: Node, other: Node) -> None:
        if other.state == "up":
            self.receive_index(node, other.index)
        if node.state == "up":
            self.carry_out(node, node.core.fetch_ended(self.now_s, other.core.local_peer.name))

    def open_feed(self, node: Node, other: Node) -> None:
        """Open a feed of a member from `other`, which may refuse."""
        own_name, name = node.core.local_peer.name, other.core.local_peer.name
        if node.state != "up" or name not in node.core.upstreams:
            return
        if other.state != "up" or (own_name, name) in self.blocked:
            self.call_later(SILENCE_S if other.state != "dead" else HOP_S, lambda: self.end_feed(node, name))
        elif not admits_follower(len(other.followers), self.limit, other.core.depth, other.core.is_relay):
            names = self.rng.sample(other.followers, min(4, len(other.followers)))
            self.carry_out(node, node.core.upstream_full(self.now_s, name, names))
        else:
            if own_name not in other.followers:
                other.followers.append(own_name)
            self.carry_out(node, node.core.depth_received(self.now_s, name, other.core.depth))
            if other.version is not None:
                node.core.version_received(name, other.version)
            self.receive_index(node, other.index)
            self.receive_index(other, node.index)
