"""Whom a member follows, and when it calls the list service itself: pure, events in, actions out.

A member has at most two feeds from others and one watch of its own. Which it wants follows from the view:

- a **relay** (`relays.choose`) watches the list service, and follows up to two other relays, so that one that
  is cut off from the service still hears, and relays that count epochs differently agree;
- a **follower** holds feeds to two relays; one at its limit of followers names some of those (`full`), which
  make a tree of depth DEPTH;
- where nothing that it follows has a way to the service, it draws a moment within `live / list_calls_per_s`
  seconds and watches by itself from then on (**fallback**), until one it follows has such a way again.

A member's **depth** tells how it hears: 0 by its own watch, one more than the least depth of what it follows,
None not at all. Feeds tell it on, so that followers of a member that lost its way, and circles, dissolve.
Times are seconds of one monotonic clock, passed in.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cloverkeel.fleet import invariants
from cloverkeel.fleet.lists.actions import (
    Action,
    Ask,
    Depth,
    Fallback,
    Have,
    Relay,
    Subscribe,
    Unsubscribe,
    Watch,
)
from cloverkeel.fleet.lists.order import ListVersion
from cloverkeel.fleet.lists.relays import Peer, choose, preferred

FEEDS = 2  # what a member follows at once, and what it asks at once
DEPTH = 3  # of the tree: a member this deep has no followers
SETTLE_S = 0.5  # a relay acts once its view of the relays has stood so long, half as long again by chance
GRACE_S = 1.0  # nobody draws before the relays have stood so long: they need time to act
BLIND_S = 5.0  # a relay whose calls have failed for so long tells its followers
LOST_S = 2.0  # one that is no relay and has no way itself is left after this
BACK_S = 1.0  # a fallback watch ends once a way by feeds has stood so long
ASK_S = 0.5  # a start waits so long for what it asked members
AWAY_S = 2.0  # a member whose feed ended is not tried before this
FULL_S = 20.0  # nor one that is full, up to half as long again by chance
BAD_S = 10.0  # nor one that sent what is no list
BEHIND_S = 1.0  # one that is behind for so long is told of the newer list
HINTS = 16  # members to try that full ones named
FULL_NAMES = 4  # named by a full one
BLIND_WIDTH = 4.0  # the draw is so much wider while a relay speaks
RETRY_S, RETRY_MOST_S = 0.4, 2.0  # between a relay's failed calls: doubled from the one up to the other
ALONE_S = 5.0  # one that has found no member yet spreads its first call over so long at most
LEAST_DRAW_S = 0.2  # a feed that ended has its successor by then


@dataclass(slots=True, frozen=True)
class FollowSettings:
    cluster: str
    relays: int = 3
    list_calls_per_s: float = 20.0  # of the whole fleet, where all have to fall back
    gateways: int = 1  # of the whole fleet, as the settings count them
    own_watch: bool = False  # lists are pushed at no cost: each keeps its own watch, peers help at the start


@dataclass(slots=True)
class Feed:
    peer: Peer
    depth: int | None = None  # of the member followed
    heard: bool = False  # it has said something
    lost_s: float = 0.0  # when it last had a depth, or was opened
    version: ListVersion | None = None  # of the newest list that it told
    behind_since_s: float | None = None


@dataclass(slots=True)
class Follower:
    me: Peer
    settings: FollowSettings
    rng: random.Random
    peers: dict[str, Peer] = field(default_factory=dict)  # live, this member too
    relays: tuple[str, ...] = ()
    joined_s: float | None = None
    changed_s: float = 0.0  # when the relays last changed
    settled_s: float = 0.0  # when they will have stood long enough
    is_relay: bool = False
    feeds: dict[str, Feed] = field(default_factory=dict)
    away: dict[str, float] = field(default_factory=dict)  # until when a member is not tried
    hints: list[str] = field(default_factory=list)
    asking: dict[str, float] = field(default_factory=dict)  # since when
    watching: bool = False
    service_up: bool = False  # the own watch has answered, and not failed since
    heard_service_s: float = 0.0  # when it was last up, or first tried
    failures: int = 0
    call_due_s: float | None = None  # drawn: when to call
    drawn_s: float = 0.0
    fed_since_s: float | None = None  # since when there is a way by feeds
    depth: int | None = None  # as the followers were told

    # Events

    def view(self, now_s: float, joined: bool, peers: Iterable[Peer]) -> list[Action]:
        """The live members; `joined`: a seed has answered, or none is alive."""
        self.peers = {peer.name: peer for peer in peers} | {self.me.name: self.me}
        actions: list[Action] = []
        for name in [name for name in self.feeds if name not in self.peers]:
            actions += self._drop(name)
        relays = choose(self.settings.cluster, self.peers.values(), self.settings.relays)
        if set(relays) != set(self.relays) or (joined and self.joined_s is None):
            self.changed_s = now_s
            self.settled_s = now_s + SETTLE_S * self.rng.uniform(1.0, 1.5)
            if not self.failures:
                self.call_due_s = None  # drawn for another fleet
        self.relays = relays
        if joined and self.joined_s is None:
            self.joined_s = now_s
            actions += self._ask_at_start(now_s)
        return actions + self._settle(now_s)

    def opened(self, now_s: float, name: str, depth: int | None) -> list[Action]:
        """A member that is followed has told its depth, first or anew."""
        feed = self.feeds.get(name)
        if feed is None:
            return []
        if feed.depth is not None or depth is not None:
            feed.lost_s = now_s
        feed.heard, feed.depth = True, depth
        return self._settle(now_s)

    def told(self, name: str, version: ListVersion) -> None:
        """A member that is followed has told of a list, whatever came of it."""
        feed = self.feeds.get(name)
        if feed is not None:
            feed.version = version

    def ended(self, now_s: float, name: str, away_s: float = AWAY_S) -> list[Action]:
        """A feed ended: silent for 1 s, cut, refused."""
        if self.feeds.pop(name, None) is None:
            return []
        self.away[name] = max(self.away.get(name, 0.0), now_s + away_s)
        return self._settle(now_s)

    def full(self, now_s: float, name: str, others: Iterable[str]) -> list[Action]:
        """A member that was to be followed is at its limit, and names some of its followers."""
        known = [other for other in others if other in self.peers and other not in self.hints]
        self.hints += self.rng.sample(known, min(len(known), FULL_NAMES))
        del self.hints[:-HINTS]
        return self.ended(now_s, name, FULL_S * self.rng.uniform(1.0, 1.5))

    def bad(self, now_s: float, name: str) -> list[Action]:
        """A member sent what is no list: it is set aside."""
        self.away[name] = now_s + BAD_S
        self.asking.pop(name, None)
        return self._drop(name) + self._settle(now_s)

    def asked(self, now_s: float, name: str) -> list[Action]:
        """What this member was asked for has come, or will not come."""
        self.asking.pop(name, None)
        return self._settle(now_s)

    def gap(self, now_s: float, name: str) -> list[Action]:
        """A member has a newer list than this one, and what it said of it does not do."""
        peer = self.peers.get(name)
        if peer is None or name in self.asking or len(self.asking) >= FEEDS or self._is_away(now_s, name):
            return []
        self.asking[name] = now_s
        return [Ask(peer)]

    def service_answered(self, now_s: float) -> list[Action]:
        """The service has answered the own call; one that failed already, perhaps, for it came late."""
        self.heard_service_s = now_s
        actions: list[Action] = []
        if self.failures and not self.watching:
            self.failures, self.call_due_s = 0, now_s  # it is slow, not gone: the next watch begins at once
            actions = self._settle(now_s)
        self.service_up, self.failures = self.watching, 0
        return actions + self._settle(now_s)

    def service_failed(self, now_s: float) -> list[Action]:
        """The own call failed: the watch is over; another begins after a wait that doubles."""
        if self.service_up:
            self.heard_service_s = now_s
        self.service_up = self.watching = False
        self.failures += 1
        longest_s = min(RETRY_S * 2**self.failures, RETRY_MOST_S)
        if not self.is_relay:
            longest_s = max(longest_s, self._draw_s() * 2 ** min(self.failures, 4))
        self.drawn_s, self.call_due_s = now_s, now_s + longest_s * self.rng.uniform(0.5, 1.0)
        return self._settle(now_s)

    def tick(self, now_s: float, held: ListVersion | None) -> list[Action]:
        """Some times a second; `held`: the version of the own list."""
        for name in [name for name, until_s in self.away.items() if until_s <= now_s]:
            del self.away[name]
        for name in [name for name, since_s in self.asking.items() if since_s + ASK_S <= now_s]:
            del self.asking[name]
        return self._behind(now_s, held) + self._settle(now_s)

    # What follows from it

    @property
    def is_fed(self) -> bool:
        """Whether one that is followed has a way to the service."""
        return any(feed.depth is not None for feed in self.feeds.values())

    @property
    def is_alone(self) -> bool:
        """Whether no other has been found of several: after a power loss most of a fleet is so for a moment,
        and each of them a relay would call the service for itself."""
        return len(self.peers) == 1 and self.settings.gateways > 1

    def _is_away(self, now_s: float, name: str) -> bool:
        return self.away.get(name, 0.0) > now_s

    def _draw_s(self) -> float:
        """How long the fleet's calls are spread. A relay that speaks and has no way itself tells that the
        service fails for all rather than that the relays are gone: less often then."""
        if self.is_alone:
            return max(LEAST_DRAW_S, min(ALONE_S, self.settings.gateways / self.settings.list_calls_per_s))
        draw_s = max(LEAST_DRAW_S, len(self.peers) / self.settings.list_calls_per_s)
        return draw_s * (BLIND_WIDTH if any(feed.heard for feed in self.feeds.values()) else 1.0)

    def _relay_peers(self) -> list[Peer]:
        return [self.peers[name] for name in self.relays]

    def _drop(self, name: str) -> list[Action]:
        return [Unsubscribe(name)] if self.feeds.pop(name, None) is not None else []

    def _ask_at_start(self, now_s: float) -> list[Action]:
        """Two members: the relay that this one follows first, and another by chance."""
        first = preferred(self.settings.cluster, self.me, self._relay_peers())[: FEEDS - 1]
        rest = [peer for peer in self.peers.values() if peer != self.me and peer not in first]
        chosen = [*first, *self.rng.sample(rest, min(len(rest), FEEDS - len(first)))]
        self.asking |= {peer.name: now_s for peer in chosen}
        return [Ask(peer) for peer in chosen]

    def _settle(self, now_s: float) -> list[Action]:
        """Bring role, feeds and watch to what the state asks for."""
        if self.joined_s is None or self.settings.own_watch:
            return []
        actions = self._role(now_s) + self._follow(now_s)
        if not self.is_fed:
            self.fed_since_s = None
        elif self.fed_since_s is None:
            self.fed_since_s = now_s
        actions += self._watch(now_s)
        depth = self._depth(now_s)
        if depth != self.depth:
            self.depth = depth
            actions.append(Depth(depth))
        if invariants.ON:
            invariants.check(len(self.feeds) <= FEEDS, "more than two feeds", feeds=len(self.feeds))
        return actions

    def _role(self, now_s: float) -> list[Action]:
        should = self.me.name in self.relays and not self.is_alone
        if should == self.is_relay or now_s < self.settled_s:
            return []
        self.is_relay = should
        self.heard_service_s = now_s  # it is not blind before it has tried
        return [Relay(should)]

    def _follow(self, now_s: float) -> list[Action]:
        """Two feeds: to relays by preference, else to members that full ones named. A feed to another gives
        way to a relay only while the second one stands."""
        actions: list[Action] = []
        relays = preferred(self.settings.cluster, self.me, self._relay_peers())
        wanted = [peer.name for peer in relays if not self._is_away(now_s, peer.name)][:FEEDS]
        for name, feed in list(self.feeds.items()):
            is_lost = feed.heard and feed.depth is None and now_s >= feed.lost_s + LOST_S
            is_deep = feed.depth is not None and feed.depth >= DEPTH
            if (is_lost or is_deep) and name not in self.relays:
                actions += self._drop(name)
                self.away[name] = now_s + AWAY_S
        for name in wanted:
            if name not in self.feeds and len(self.feeds) >= FEEDS:
                spare = next((other for other in self.feeds if other not in wanted), None)
                others = [feed for other, feed in self.feeds.items() if other != spare]
                if spare is not None and all(feed.depth is not None for feed in others):
                    actions += self._drop(spare)
            actions += self._subscribe(now_s, name)
        for name in self.hints:
            if name in self.peers and not self._is_away(now_s, name):
                actions += self._subscribe(now_s, name)
        return actions

    def _subscribe(self, now_s: float, name: str) -> list[Action]:
        if name in self.feeds or len(self.feeds) >= FEEDS or name == self.me.name:
            return []
        self.feeds[name] = Feed(self.peers[name], lost_s=now_s)
        return [Subscribe(self.peers[name])]

    def _watch(self, now_s: float) -> list[Action]:
        """The own watch: a relay's always; another's where nothing it follows has a way to the service."""
        if not self.is_relay and self.fed_since_s is not None:
            self.call_due_s = None
            if not self.watching or now_s < self.fed_since_s + BACK_S:
                return []
            self.watching = self.service_up = False
            self.failures = 0
            return [Watch(False)]
        if self.watching:
            return []
        if self.is_relay:
            if self.asking or (self.failures and self.call_due_s is not None and now_s < self.call_due_s):
                return []  # it asks members first
            self.watching, self.call_due_s = True, None
            return [Watch(True)]
        if self.call_due_s is None:
            self.drawn_s = now_s
            from_s = now_s if self.is_alone else max(now_s, self.changed_s + GRACE_S)
            self.call_due_s = from_s + self._draw_s() * self.rng.random()
        if now_s < self.call_due_s:
            return []
        self.watching, self.call_due_s = True, None
        return [Fallback(now_s - self.drawn_s), Watch(True)]

    def _depth(self, now_s: float) -> int | None:
        if self.service_up or (self.is_relay and now_s < self.heard_service_s + BLIND_S):
            return 0
        depths = [feed.depth for feed in self.feeds.values() if feed.depth is not None]
        if depths:
            return min(depths) + 1 if min(depths) < DEPTH else None
        return None

    def _behind(self, now_s: float, held: ListVersion | None) -> list[Action]:
        actions: list[Action] = []
        for feed in self.feeds.values():
            is_behind = held is not None and feed.heard and (feed.version is None or feed.version < held)
            if not is_behind:
                feed.behind_since_s = None
            elif feed.behind_since_s is None:
                feed.behind_since_s = now_s
            elif now_s >= feed.behind_since_s + BEHIND_S:
                feed.behind_since_s = now_s
                actions.append(Have(feed.peer))
        return actions


def admits(followers: int, limit: int, depth: int | None, is_relay: bool) -> bool:
    """Whether a member takes one more follower: below its limit, and no deeper than the tree may be."""
    return followers < limit and (is_relay or depth is None or depth < DEPTH)


def feeds_limit(sockets: int) -> int:
    """How many followers a member with so many descriptors takes."""
    return max(16, sockets // 8)
