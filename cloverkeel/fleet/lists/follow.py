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
from cloverkeel.fleet.lists.draws import ALONE_S, FollowSettings, Growth, moment_s, width_s
from cloverkeel.fleet.lists.feed import Feed, behind
from cloverkeel.fleet.lists.limits import DEPTH, FEEDS, FULL_NAMES
from cloverkeel.fleet.lists.order import ListVersion
from cloverkeel.fleet.lists.relays import Peer, choose, outranked, preferred

SETTLE_S = 0.5  # a relay acts once its view of the relays has stood so long, half as long again by chance
UNSEEN_S = 1.5  # and so much longer at most while it sees but a part of a fleet that comes up
SEED_S = 3.0  # one that is alone and had a seed's answer has joined by then
GRACE_S = 1.0  # nobody draws before the relays have stood so long: they need time to act
BLIND_S = 5.0  # a relay whose calls have failed for so long tells its followers
LOST_S = 2.0  # one that is no relay and has no way itself is left after this
BACK_S = 1.0  # a fallback watch ends once a way by feeds has stood so long ...
CIRCLE_S = 2.0  # ... and one of no relay's own watch so long: it may lead through this member itself
ASK_S = 0.5  # a start waits so long for what it asked members
AWAY_S = 2.0  # a member whose feed ended is not tried before this
FULL_S = 20.0  # nor one that is full, up to half as long again by chance
BAD_S = 10.0  # nor one that sent what is no list
HINTS = 16  # members to try that full ones named
RETRY_S, RETRY_MOST_S = 0.4, 2.0  # between a relay's failed calls: doubled from the one up to the other
LIST_GAP_S, LIST_GAP_MOST_S = 0.5, 2.0  # between two members asked while there is no list: doubled likewise


class Follower:
    def __init__(self, me: Peer, settings: FollowSettings, rng: random.Random) -> None:
        self.me, self.settings, self.rng = me, settings, rng
        self.peers: dict[str, Peer] = {}  # live, this member too
        self.relays: tuple[str, ...] = ()
        self.joined_s: float | None = None
        self.changed_s = 0.0  # when the relays last changed
        self.settled_s = 0.0  # when they will have stood long enough
        self.is_relay = False
        self.feeds: dict[str, Feed] = {}
        self.away: dict[str, float] = {}  # until when a member is not tried
        self.hints: list[str] = []
        self.asking: dict[str, float] = {}  # since when
        self.ask_gap_s = LIST_GAP_S
        self.ask_due_s = 0.0  # while there is no list: when the next member is asked for one
        self.answered_s = -SEED_S  # when a member that was asked last answered
        self.growth = Growth()
        self.watching = False
        self.service_up = False  # the own watch has answered, and not failed since
        self.heard_service_s = 0.0  # when it was last up, or first tried
        self.failures = 0
        self.call_due_s: float | None = None  # drawn: when to call
        self.drawn_s = 0.0
        self.drawn_wide = False  # for a view that grew then
        self.fed_since_s: float | None = None  # since when there is a way by feeds
        self.depth: int | None = None  # as the followers were told

    # Events

    def view(self, now_s: float, joined: bool, peers: Iterable[Peer]) -> list[Action]:
        """The live members; `joined`: a seed has answered, or none is alive."""
        self.peers = {peer.name: peer for peer in peers} | {self.me.name: self.me}
        actions: list[Action] = []
        for name in [name for name in self.feeds if name not in self.peers]:
            actions += self._drop(name)
        self.growth.see(now_s, len(self.peers))
        relays = choose(self.settings.cluster, self.peers.values(), self.settings.relays)
        if set(relays) != set(self.relays) or (joined and self.joined_s is None):
            self.changed_s = now_s
            self.settled_s = now_s + SETTLE_S * self.rng.uniform(1.0, 1.5)
            if self.growth.goes_on(now_s):  # of the unseen, some rank higher
                unseen = max(0.0, 1.0 - len(self.peers) / self.settings.gateways)
                self.settled_s += UNSEEN_S * unseen * self.rng.random()
            if not self.failures:
                self.call_due_s = None  # drawn for another fleet
        self.relays = relays
        if joined and self.joined_s is None:
            self.joined_s = now_s
            actions += self._ask_at_start(now_s)
            self.ask_due_s = now_s if self.is_alone else now_s + ASK_S + self.ask_gap_s
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

    def asked(self, now_s: float, name: str, answered: bool = True) -> list[Action]:
        """What this member was asked for has come, or will not come."""
        self.asking.pop(name, None)
        if answered:
            self.answered_s = now_s
        return self._settle(now_s)

    def gap(self, now_s: float, name: str) -> list[Action]:
        """A member has a newer list than this one, and what it said of it does not do."""
        peer = self.peers.get(name)
        if peer is None or name in self.asking or len(self.asking) >= FEEDS or self._is_away(now_s, name):
            return []
        return self._ask(now_s, [peer])

    def service_answered(self, now_s: float) -> list[Action]:
        """The service has answered the own call; one that failed already, perhaps, for it came late."""
        self.heard_service_s = now_s
        actions: list[Action] = []
        if self.failures and not self.watching:  # it is slow, not gone: the next watch begins at once
            self.failures, self.drawn_wide, self.call_due_s = 0, False, now_s
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
            width = width_s(self.settings, len(self.peers), False, self.feeds.values())
            longest_s = max(longest_s, width * 2 ** min(self.failures, 4))
        self.drawn_s, self.call_due_s = now_s, now_s + longest_s * self.rng.uniform(0.5, 1.0)
        return self._settle(now_s)

    def tick(self, now_s: float, held: ListVersion | None) -> list[Action]:
        """Some times a second; `held`: the version of the own list."""
        for name in [name for name, until_s in self.away.items() if until_s <= now_s]:
            del self.away[name]
        for name in [name for name, since_s in self.asking.items() if since_s + ASK_S <= now_s]:
            del self.asking[name]
        actions: list[Action] = [Have(peer) for peer in behind(self.feeds.values(), now_s, held)]
        if held is None or self.is_alone:
            actions += self._ask_again(now_s)
        return actions + self._settle(now_s)

    # What follows from it

    @property
    def is_fed(self) -> bool:
        """Whether one that is followed has a way to the service."""
        return any(feed.depth is not None for feed in self.feeds.values())

    @property
    def is_alone(self) -> bool:
        """Whether no other has been found of several: after a power loss most are so for a moment, and each
        of them a relay would call the service for itself."""
        return len(self.peers) == 1 and self.settings.gateways > 1

    def _is_away(self, now_s: float, name: str) -> bool:
        return self.away.get(name, 0.0) > now_s

    def _preferred(self) -> list[Peer]:
        return preferred(self.settings.cluster, self.me, [self.peers[name] for name in self.relays])

    def _drop(self, name: str) -> list[Action]:
        return [Unsubscribe(name)] if self.feeds.pop(name, None) is not None else []

    def _ask_at_start(self, now_s: float) -> list[Action]:
        """Two members: the relay that this one follows first, and another by chance."""
        first = self._preferred()[: FEEDS - 1]
        rest = [peer for peer in self.peers.values() if peer != self.me and peer not in first]
        chosen = [*first, *self.rng.sample(rest, min(len(rest), FEEDS - len(first)))]
        return self._ask(now_s, chosen)

    def _ask_again(self, now_s: float) -> list[Action]:
        """Without a list: one more member, by chance, for those asked at the start had none then. Alone: a
        seed, which may have come up since the join, and spares the service this member's call."""
        if self.joined_s is None or self.settings.own_watch or now_s < self.ask_due_s or self.asking:
            return []
        self.ask_due_s = now_s + self.ask_gap_s
        self.ask_gap_s = min(2 * self.ask_gap_s, LIST_GAP_MOST_S)
        seeds, others = self.settings.seeds, self._others(now_s)
        if self.is_alone and seeds:
            address = self.rng.choice(seeds)
            return self._ask(now_s, [Peer(address, "", address)])
        return self.gap(now_s, self.rng.choice(others)) if others else []

    def _ask(self, now_s: float, peers: list[Peer]) -> list[Action]:
        self.asking |= {peer.name: now_s for peer in peers}
        return [Ask(peer) for peer in peers]

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
        if self.is_fed and self.growth.goes_on(now_s):  # the next to come may rank higher
            watching = [name for name, feed in self.feeds.items() if feed.depth == 0]
            if should or not outranked(self.settings.cluster, self.me.name, watching):
                return []  # those that relay now go on
        self.is_relay = should
        self.heard_service_s = now_s  # it is not blind before it has tried
        return [Relay(should)]

    def _follow(self, now_s: float) -> list[Action]:
        """Two feeds: to relays by preference, else to members that full ones named. A feed to another gives
        way to a relay only while the second one stands, and leads no further round to the service."""
        actions: list[Action] = []
        wanted = [peer.name for peer in self._preferred() if not self._is_away(now_s, peer.name)][:FEEDS]
        for name, feed in list(self.feeds.items()):
            is_lost = feed.heard and feed.depth is None and now_s >= feed.lost_s + LOST_S
            is_deep = feed.depth is not None and feed.depth >= DEPTH
            if (is_lost or is_deep) and name not in self.relays:
                actions += self._drop(name)
                self.away[name] = now_s + AWAY_S
        for name in wanted:
            if name not in self.feeds and len(self.feeds) >= FEEDS:
                unwanted = [other for other in self.feeds if other not in wanted]
                spare = max(unwanted, key=lambda other: self.feeds[other].way, default=None)
                ways = [feed.way for other, feed in self.feeds.items() if other != spare]
                if spare is not None and max(ways) <= min(self.feeds[spare].way, DEPTH):
                    actions += self._drop(spare)
            actions += self._subscribe(now_s, name)
        for name in self.hints:
            if name in self.peers and not self._is_away(now_s, name):
                actions += self._subscribe(now_s, name)
        if self.hints and len(self.feeds) < FEEDS:  # full ones, and too deep ones behind them: another branch
            others = self._others(now_s)
            actions += self._subscribe(now_s, self.rng.choice(others)) if others else []
        return actions

    def _others(self, now_s: float) -> list[str]:
        """Who may be asked or followed, beside those that are followed."""
        known = (name for name in self.peers if name != self.me.name and name not in self.feeds)
        return [name for name in known if not self._is_away(now_s, name)]

    def _subscribe(self, now_s: float, name: str) -> list[Action]:
        if name in self.feeds or len(self.feeds) >= FEEDS or name == self.me.name:
            return []
        self.feeds[name] = Feed(self.peers[name], now_s)
        return [Subscribe(self.peers[name])]

    def _watch(self, now_s: float) -> list[Action]:
        """The own watch: a relay's always; another's where nothing it follows has a way to the service."""
        if not self.is_relay and self.fed_since_s is not None:
            self.call_due_s = None
            is_near = min(feed.way for feed in self.feeds.values()) == 0
            if not self.watching or now_s < self.fed_since_s + (BACK_S if is_near else CIRCLE_S):
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
            return [Watch(True, self.is_fed)]
        if self.is_alone and now_s < min(self.answered_s + SEED_S, (self.joined_s or 0.0) + ALONE_S):
            self.call_due_s = None
            return []
        grows = self.growth.goes_on(now_s) and not self.is_alone
        if self.call_due_s is None or (self.drawn_wide and not grows and not self.failures):
            self.drawn_s, self.drawn_wide = now_s, grows
            from_s = now_s if self.is_alone else max(now_s, self.changed_s + GRACE_S)
            feeds = self.feeds.values()
            self.call_due_s = from_s + moment_s(self.settings, len(self.peers), grows, feeds, self.rng)
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
