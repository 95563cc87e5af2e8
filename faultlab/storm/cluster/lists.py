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
from faultlab.storm.cluster.budget import ROUNDING, Part, sum_of
from faultlab.storm.cluster.listservice import LIVES, ListService
from faultlab.storm.cluster.members import Cluster, Process
from faultlab.storm.cluster.network import NEAR_S

TICK_S, JOIN_S, SILENCE_S = 0.1, 3.0, 1.0  # as in lists.sharing and membership.calls
CALL_S, POLL_S = 0.02, 0.2  # a call's way to the service; the wait between two
HOP_S = NEAR_S[1]
LIMIT = 16  # followers of one member


@dataclass(slots=True, eq=False)
class Feed:
    """One feed from `source` to `target`; what is under way waits while nothing passes, as in TCP."""

    source: Sharer
    target: Sharer
    queue: deque[dict[str, Any]] = field(default_factory=deque)
    flowing: bool = False
    over: bool = False
    silent_s: float | None = None


@dataclass(slots=True, eq=False)
class Sharer:
    """The lists' part of one process."""

    process: Process
    core: SourceSelector
    started_s: float
    held: HeldList = field(default_factory=HeldList)
    feeds: dict[str, Feed] = field(default_factory=dict)  # that it follows, by name
    followers: list[Feed] = field(default_factory=list)
    part: Part = field(default_factory=Part)
    watch: int = 0  # counts watches begun and ended
    seen: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        return self.process.name


class Lists:
    """Drives every process that `cluster` starts. `check`s what must hold from outside the cores."""

    def __init__(self, cluster: Cluster, seed: int, until_s: float) -> None:
        self.cluster, self.clock = cluster, cluster.clock
        self.rng = random.Random(seed)
        self.service = ListService(self.rng, tells_epoch=self.rng.random() < 0.3)
        self.settings = SelectorSettings("storm", list_calls_per_s=20.0)
        self.sharers: dict[str, Sharer] = {}  # by address
        self.choices: dict[tuple[str, ...], tuple[str, ...]] = {}  # names in view: the relays chosen
        cluster.on_start = self.add
        for _ in range(3):
            self.service.change()
        gap_s = self.rng.choice((0.2, 1.0, 3.0))
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(1 / gap_s)) < until_s:
            self.clock.at(at_s, self.service.change)
        for _ in range(self.rng.choice((0, 0, 1, len(LIVES) - 1))):
            self.clock.at(self.rng.uniform(0.0, until_s), self.service.restart)
        if self.rng.random() < 0.4:
            down_s = self.rng.uniform(0.0, until_s)
            self.clock.at(down_s, self._turn, False)
            self.clock.at(min(until_s, down_s + self.rng.uniform(0.5, 8.0)), self._turn, True)

    def _turn(self, up: bool) -> None:
        self.service.up = up

    def add(self, process: Process) -> None:
        me = Peer(process.name, process.me.zone, process.me.address)
        core = SourceSelector(me, self.settings, random.Random(self.rng.getrandbits(64)))
        sharer = self.sharers[process.me.address] = Sharer(process, core, self.clock.now_s)
        if self.rng.random() < 0.3:  # it has a list from before
            entry = {"name": "h0", "made": -1}
            sharer.held.apply_answer(
                None, unconfirmed_version(0, LIVES[0] - self.rng.randint(1, 50)), True, [entry]
            )
        self.clock.at(self.clock.now_s + self.rng.random() * TICK_S, self.tick, sharer)

    def at(self, address: str) -> Sharer | None:
        process = self.cluster.at(address)
        sharer = self.sharers.get(process.me.address) if process is not None else None
        return sharer if sharer is not None and sharer.process is process else None

    def awake(self, sharer: Sharer) -> bool:
        return sharer.process.up and self.clock.now_s >= sharer.process.paused_until_s

    def passes(self, one: Sharer, other: Sharer) -> bool:
        """Whether what `one` says reaches `other` now."""
        connected = self.cluster.links.connected(one.process.me.address, other.process.me.address)
        return connected and self.awake(one) and self.awake(other)

    def tick(self, sharer: Sharer) -> None:
        if not sharer.process.up:
            return
        if self.awake(sharer):
            self._see(sharer)
            for feed in list(sharer.feeds.values()):
                self._listen(feed)
            self.do(sharer, sharer.core.tick(self.clock.now_s, sharer.held.version))
        self.clock.at(self.clock.now_s + TICK_S, self.tick, sharer)

    def _see(self, sharer: Sharer) -> None:
        member, now_s = sharer.process.member, self.clock.now_s
        joined = member.joining_until_s is None or now_s >= sharer.started_s + JOIN_S
        if not joined or (sharer.core.joined_s is not None and not sharer.process.changed):
            return
        sharer.process.changed = False
        held = {} if member.refused else member.members()
        peers = [Peer(r.name, r.zone, r.address) for r in held.values() if r.status in LIVE_STATUSES]
        self.do(sharer, sharer.core.view_changed(now_s, True, peers))
        sharer.seen = tuple(sorted(sharer.core.peers))
        chosen = self.choices.setdefault(sharer.seen, sharer.core.relays)
        sharer.part.see(now_s, [peer.zone for peer in sharer.core.peers.values()], sharer.name)
        check(chosen == sharer.core.relays, "equal views give other relays", member=sharer.name)

    def do(self, sharer: Sharer, actions: list[Action]) -> None:
        clock, core = self.clock, sharer.core
        check(len(core.upstreams) <= MAX_UPSTREAMS, "a follower over more than two feeds", member=sharer.name)
        for action in actions:
            match action:
                case Subscribe(peer):
                    clock.at(clock.now_s + HOP_S, self.open, sharer, peer)
                case Unsubscribe(name):
                    self._end(sharer.feeds.pop(name, None))
                case FetchList(peer):
                    clock.at(clock.now_s + HOP_S, self.ask, sharer, peer)
                case AnnounceList(peer):
                    clock.at(clock.now_s + HOP_S, self.have, sharer, peer)
                case Watch(on, _):
                    sharer.watch += 1
                    if on:
                        self.call(sharer, sharer.watch)
                case AnnounceDepth(depth):
                    self._tell(sharer, {"depth": depth})
                case _:
                    pass

    # Feeds

    def _end(self, feed: Feed | None) -> None:
        if feed is not None:
            feed.over = True
            feed.source.followers = [other for other in feed.source.followers if other is not feed]

    def open(self, sharer: Sharer, peer: Peer) -> None:
        if peer.name not in sharer.core.upstreams or peer.name in sharer.feeds or not sharer.process.up:
            return
        source = self.at(peer.address)
        if source is None or not self.passes(sharer, source):
            wait_s = HOP_S if source is None else SILENCE_S
            self.clock.at(self.clock.now_s + wait_s, self._failed, sharer, peer.name)
            return
        if not admits_follower(len(source.followers), LIMIT, source.core.depth, source.core.is_relay):
            names = [feed.target.name for feed in source.followers][:REFERRALS_PER_REPLY]
            self.do(sharer, sharer.core.upstream_full(self.clock.now_s, peer.name, names))
            return
        feed = sharer.feeds[peer.name] = Feed(source, sharer)
        source.followers.append(feed)
        self._send(
            feed, {"depth": source.core.depth, "v": source.held.version, "list": source.held.full_list()}
        )
        if sharer.held.version is not None:
            self._compare(source, sharer.name, sharer.held.version)

    def _failed(self, sharer: Sharer, name: str) -> None:
        if name not in sharer.feeds and sharer.process.up:
            self.do(sharer, sharer.core.upstream_ended(self.clock.now_s, name))

    def _listen(self, feed: Feed) -> None:
        """A feed that is silent for a second, or reset by its end, is over."""
        now_s = self.clock.now_s
        if self.passes(feed.source, feed.target):
            feed.silent_s = None
            return
        feed.silent_s = now_s if feed.silent_s is None else feed.silent_s
        if now_s - feed.silent_s >= SILENCE_S:
            name = next(name for name, held in feed.target.feeds.items() if held is feed)
            del feed.target.feeds[name]
            self._end(feed)
            self.do(feed.target, feed.target.core.upstream_ended(now_s, name))

    def _tell(self, sharer: Sharer, news: dict[str, Any]) -> None:
        for feed in list(sharer.followers):
            self._send(feed, news)

    def _send(self, feed: Feed, news: dict[str, Any]) -> None:
        feed.queue.append(news)
        if not feed.flowing:
            feed.flowing = True
            self.clock.at(self.clock.now_s + HOP_S, self._flow, feed)

    def _flow(self, feed: Feed) -> None:
        if feed.over:
            return
        if not self.passes(feed.source, feed.target):
            self.clock.at(self.clock.now_s + 0.05, self._flow, feed)
            return
        while feed.queue and not feed.over:
            self._hear(feed, feed.queue.popleft())
        feed.flowing = False

    def _hear(self, feed: Feed, news: dict[str, Any]) -> None:
        sharer, name = feed.target, feed.source.name
        if "depth" in news:
            self.do(sharer, sharer.core.depth_received(self.clock.now_s, name, news["depth"]))
        if news.get("list") is not None:
            sharer.core.version_received(name, news["list"].version)
            self._take(sharer, name, news["list"])
        elif news.get("v") is not None:
            self._compare(sharer, name, news["v"])

    # Lists

    def _compare(self, sharer: Sharer, name: str, version: ListVersion) -> None:
        sharer.core.version_received(name, version)
        if sharer.held.version is None or version > sharer.held.version:
            self.do(sharer, sharer.core.newer_list_reported(self.clock.now_s, name))

    def _take(self, sharer: Sharer, name: str, body: ListUpdate) -> None:
        before = sharer.held.version
        taken = sharer.held.apply(body)
        self._moved(sharer, before, taken)
        if taken is ApplyResult.NEW:
            self._tell(sharer, {"list": body})
        elif taken is ApplyResult.GAP:
            self.do(sharer, sharer.core.newer_list_reported(self.clock.now_s, name))

    def _moved(self, sharer: Sharer, before: ListVersion | None, taken: ApplyResult) -> None:
        after = sharer.held.version
        forward = after is not None and (before is None or after > before)
        right = forward if taken is ApplyResult.NEW else after == before
        check(right, "lists applied out of order", member=sharer.name, before=before, after=after)

    def ask(self, sharer: Sharer, peer: Peer) -> None:
        other = self.at(peer.address)
        if other is not None and self.passes(sharer, other):
            self.clock.at(self.clock.now_s + HOP_S, self._asked, sharer, peer.name, other.held.full_list())
        else:
            self.clock.at(self.clock.now_s + FETCH_TIMEOUT_S, self._asked, sharer, peer.name, None)

    def _asked(self, sharer: Sharer, name: str, body: ListUpdate | None) -> None:
        if not sharer.process.up:
            return
        if body is not None:
            self._take(sharer, name, body)
        self.do(sharer, sharer.core.fetch_ended(self.clock.now_s, name))

    def have(self, sharer: Sharer, peer: Peer) -> None:
        other = self.at(peer.address)
        if other is not None and sharer.held.version is not None and self.passes(sharer, other):
            self._compare(other, sharer.name, sharer.held.version)

    # The own watch

    def call(self, sharer: Sharer, watch: int) -> None:
        if sharer.process.up and sharer.watch == watch:
            begun, asked = sharer.held.version, sharer.held.ask_from
            self.clock.at(self.clock.now_s + CALL_S, self._answered, sharer, watch, begun, asked)

    def _answered(self, sharer: Sharer, watch: int, begun: ListVersion | None, asked: int | None) -> None:
        now_s, service, held = self.clock.now_s, self.service, sharer.held
        if not sharer.process.up or sharer.watch != watch:
            return
        if not self.awake(sharer):
            self.clock.at(sharer.process.paused_until_s, self._answered, sharer, watch, begun, asked)
            return
        if not service.up:
            sharer.watch += 1
            self.do(sharer, sharer.core.service_failed(now_s))
            return
        index, whole, entries = service.answer(asked)
        before = held.version
        taken, body = held.apply_answer(begun, answer_version(begun, index, service.epoch), whole, entries)
        self._moved(sharer, before, taken)
        if body is not None:
            self._tell(sharer, {"list": body})
        self.do(sharer, sharer.core.service_answered(now_s))
        self.clock.at(now_s + (0.0 if taken is ApplyResult.GAP else POLL_S), self.call, sharer, watch)

    # The end

    def unlike(self) -> list[str]:
        """Processes that speak and do not hold the service's list, or have no way to it; watches of others
        than the relays; parts of a cold host's budget that add up to more than the whole."""
        found: list[str] = []
        parts = [self.sharers[process.me.address].part for process in self.cluster.speakers()]
        if (total := sum_of(parts)) > 1 + ROUNDING:
            found.append(f"{len(parts)} gateways take {total:.3f} of a fall budget")
        for process in self.cluster.speakers():
            sharer = self.sharers[process.me.address]
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
