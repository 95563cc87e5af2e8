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
    FetchList,
    AnnounceDepth,
    FallbackStarted,
    AnnounceList,
    RelayRoleChanged,
    Subscribe,
    Unsubscribe,
    Watch,
)
from cloverkeel.fleet.lists.jitter import (
    ALONE_JITTER_MAX_S,
    SelectorSettings,
    ViewGrowth,
    jitter_s,
    jitter_window_s,
)
from cloverkeel.fleet.lists.upstream import Upstream, lagging_peers
from cloverkeel.fleet.lists.limits import MAX_DEPTH, MAX_UPSTREAMS, REFERRALS_PER_REPLY
from cloverkeel.fleet.lists.versioned_list import ListVersion
from cloverkeel.fleet.lists.relays import Peer, choose_relays, is_outranked, by_preference

RELAY_SETTLE_S = (
    0.5  # a relay acts once its view of the relays has stood so long, half as long again by chance
)
UNSEEN_SETTLE_S = 1.5  # and so much longer at most while it sees but a part of a fleet that comes up
SEED_JOIN_S = 3.0  # one that is alone and had a seed's answer has joined by then
FALLBACK_GRACE_S = 1.0  # nobody draws before the relays have stood so long: they need time to act
RELAY_OUTAGE_S = 5.0  # a relay whose calls have failed for so long tells its followers
DISCONNECTED_UPSTREAM_S = 2.0  # one that is no relay and has no way itself is left after this
DIRECT_PATH_STABLE_S = 1.0  # a fallback watch ends once a way by feeds has stood so long ...
INDIRECT_PATH_STABLE_S = (
    2.0  # ... and one of no relay's own watch so long: it may lead through this member itself
)
FETCH_TIMEOUT_S = 0.5  # a start waits so long for what it asked members
ENDED_AVOID_S = 2.0  # a member whose feed ended is not tried before this
FULL_AVOID_S = 20.0  # nor one that is full, up to half as long again by chance
INVALID_AVOID_S = 10.0  # nor one that sent what is no list
MAX_REFERRALS = 16  # members to try that full ones named
BACKOFF_BASE_S, BACKOFF_MAX_S = (
    0.4,
    2.0,
)  # between a relay's failed calls: doubled from the one up to the other
FETCH_INTERVAL_S, FETCH_INTERVAL_MAX_S = (
    0.5,
    2.0,
)  # between two members asked while there is no list: doubled likewise


class SourceSelector:
    def __init__(self, me: Peer, settings: SelectorSettings, rng: random.Random) -> None:
        self.local_peer, self.settings, self.rng = me, settings, rng
        self.peers: dict[str, Peer] = {}  # live, this member too
        self.relays: tuple[str, ...] = ()
        self.joined_s: float | None = None
        self.relays_changed_s = 0.0  # when the relays last changed
        self.relays_settled_s = 0.0  # when they will have stood long enough
        self.is_relay = False
        self.upstreams: dict[str, Upstream] = {}
        self.avoid_until_s: dict[str, float] = {}  # until when a member is not tried
        self.referrals: list[str] = []
        self.pending_fetches: dict[str, float] = {}  # since when
        self.fetch_interval_s = FETCH_INTERVAL_S
        self.fetch_due_s = 0.0  # while there is no list: when the next member is asked for one
        self.last_answer_s = -SEED_JOIN_S  # when a member that was asked last answered
        self.view_growth = ViewGrowth()
        self.watching = False
        self.service_up = False  # the own watch has answered, and not failed since
        self.service_last_up_s = 0.0  # when it was last up, or first tried
        self.failures = 0
        self.call_due_s: float | None = None  # drawn: when to call
        self.call_scheduled_s = 0.0
        self.scheduled_while_growing = False  # for a view that grew then
        self.live_upstream_since_s: float | None = None  # since when there is a way by feeds
        self.depth: int | None = None  # as the followers were told

    # Events

    def view_changed(self, now_s: float, joined: bool, peers: Iterable[Peer]) -> list[Action]:
        """The live members; `joined`: a seed has answered, or none is alive."""
        self.peers = {peer.name: peer for peer in peers} | {self.local_peer.name: self.local_peer}
        actions: list[Action] = []
        for name in [name for name in self.upstreams if name not in self.peers]:
            actions += self._unsubscribe(name)
        self.view_growth.update(now_s, len(self.peers))
        relays = choose_relays(self.settings.cluster, self.peers.values(), self.settings.relays)
        if set(relays) != set(self.relays) or (joined and self.joined_s is None):
            self.relays_changed_s = now_s
            self.relays_settled_s = now_s + RELAY_SETTLE_S * self.rng.uniform(1.0, 1.5)
            if self.view_growth.is_growing(now_s):  # of the unseen, some rank higher
                unseen = max(0.0, 1.0 - len(self.peers) / self.settings.gateways)
                self.relays_settled_s += UNSEEN_SETTLE_S * unseen * self.rng.random()
            if not self.failures:
                self.call_due_s = None  # drawn for another fleet
        self.relays = relays
        if joined and self.joined_s is None:
            self.joined_s = now_s
            actions += self._fetch_at_start(now_s)
            self.fetch_due_s = now_s if self.is_alone else now_s + FETCH_TIMEOUT_S + self.fetch_interval_s
        return actions + self._reconcile(now_s)

    def depth_received(self, now_s: float, name: str, depth: int | None) -> list[Action]:
        """A member that is followed has told its depth, first or anew."""
        feed = self.upstreams.get(name)
        if feed is None:
            return []
        if feed.depth is not None or depth is not None:
            feed.last_connected_s = now_s
        feed.has_reported, feed.depth = True, depth
        return self._reconcile(now_s)

    def version_received(self, name: str, version: ListVersion) -> None:
        """A member that is followed has told of a list, whatever came of it."""
        feed = self.upstreams.get(name)
        if feed is not None:
            feed.version = version

    def upstream_ended(self, now_s: float, name: str, away_s: float = ENDED_AVOID_S) -> list[Action]:
        """A feed ended: silent for 1 s, cut, refused."""
        if self.upstreams.pop(name, None) is None:
            return []
        self.avoid_until_s[name] = max(self.avoid_until_s.get(name, 0.0), now_s + away_s)
        return self._reconcile(now_s)

    def upstream_full(self, now_s: float, name: str, others: Iterable[str]) -> list[Action]:
        """A member that was to be followed is at its limit, and names some of its followers."""
        known = [other for other in others if other in self.peers and other not in self.referrals]
        self.referrals += self.rng.sample(known, min(len(known), REFERRALS_PER_REPLY))
        del self.referrals[:-MAX_REFERRALS]
        return self.upstream_ended(now_s, name, FULL_AVOID_S * self.rng.uniform(1.0, 1.5))

    def invalid_list_received(self, now_s: float, name: str) -> list[Action]:
        """A member sent what is no list: it is set aside."""
        self.avoid_until_s[name] = now_s + INVALID_AVOID_S
        self.pending_fetches.pop(name, None)
        return self._unsubscribe(name) + self._reconcile(now_s)

    def fetch_ended(self, now_s: float, name: str, answered: bool = True) -> list[Action]:
        """What this member was asked for has come, or will not come."""
        self.pending_fetches.pop(name, None)
        if answered:
            self.last_answer_s = now_s
        return self._reconcile(now_s)

    def newer_list_reported(self, now_s: float, name: str) -> list[Action]:
        """A member has a newer list than this one, and what it said of it does not do."""
        peer = self.peers.get(name)
        if (
            peer is None
            or name in self.pending_fetches
            or len(self.pending_fetches) >= MAX_UPSTREAMS
            or self._is_avoided(now_s, name)
        ):
            return []
        return self._fetch_from(now_s, [peer])

    def service_answered(self, now_s: float) -> list[Action]:
        """The service has answered the own call; one that failed already, perhaps, for it came late."""
        self.service_last_up_s = now_s
        actions: list[Action] = []
        if self.failures and not self.watching:  # it is slow, not gone: the next watch begins at once
            self.failures, self.scheduled_while_growing, self.call_due_s = 0, False, now_s
            actions = self._reconcile(now_s)
        self.service_up, self.failures = self.watching, 0
        return actions + self._reconcile(now_s)

    def service_failed(self, now_s: float) -> list[Action]:
        """The own call failed: the watch is over; another begins after a wait that doubles."""
        if self.service_up:
            self.service_last_up_s = now_s
        self.service_up = self.watching = False
        self.failures += 1
        longest_s = min(BACKOFF_BASE_S * 2**self.failures, BACKOFF_MAX_S)
        if not self.is_relay:
            width = jitter_window_s(self.settings, len(self.peers), False, self.upstreams.values())
            longest_s = max(longest_s, width * 2 ** min(self.failures, 4))
        self.call_scheduled_s, self.call_due_s = now_s, now_s + longest_s * self.rng.uniform(0.5, 1.0)
        return self._reconcile(now_s)

    def tick(self, now_s: float, held: ListVersion | None) -> list[Action]:
        """Some times a second; `held`: the version of the own list."""
        for name in [name for name, until_s in self.avoid_until_s.items() if until_s <= now_s]:
            del self.avoid_until_s[name]
        for name in [
            name for name, since_s in self.pending_fetches.items() if since_s + FETCH_TIMEOUT_S <= now_s
        ]:
            del self.pending_fetches[name]
        actions: list[Action] = [
            AnnounceList(peer) for peer in lagging_peers(self.upstreams.values(), now_s, held)
        ]
        if held is None or self.is_alone:
            actions += self._fetch_again(now_s)
        return actions + self._reconcile(now_s)

    # What follows from it

    @property
    def has_live_upstream(self) -> bool:
        """Whether one that is followed has a way to the service."""
        return any(feed.depth is not None for feed in self.upstreams.values())

    @property
    def is_alone(self) -> bool:
        """Whether no other has been found of several: after a power loss most are so for a moment, and each
        of them a relay would call the service for itself."""
        return len(self.peers) == 1 and self.settings.gateways > 1

    def _is_avoided(self, now_s: float, name: str) -> bool:
        return self.avoid_until_s.get(name, 0.0) > now_s

    def _preferred_relays(self) -> list[Peer]:
        return by_preference(
            self.settings.cluster, self.local_peer, [self.peers[name] for name in self.relays]
        )

    def _unsubscribe(self, name: str) -> list[Action]:
        return [Unsubscribe(name)] if self.upstreams.pop(name, None) is not None else []

    def _fetch_at_start(self, now_s: float) -> list[Action]:
        """Two members: the relay that this one follows first, and another by chance."""
        first = self._preferred_relays()[: MAX_UPSTREAMS - 1]
        rest = [peer for peer in self.peers.values() if peer != self.local_peer and peer not in first]
        chosen = [*first, *self.rng.sample(rest, min(len(rest), MAX_UPSTREAMS - len(first)))]
        return self._fetch_from(now_s, chosen)

    def _fetch_again(self, now_s: float) -> list[Action]:
        """Without a list: one more member, by chance, for those asked at the start had none then. Alone: a
        seed, which may have come up since the join, and spares the service this member's call."""
        if (
            self.joined_s is None
            or self.settings.own_watch
            or now_s < self.fetch_due_s
            or self.pending_fetches
        ):
            return []
        self.fetch_due_s = now_s + self.fetch_interval_s
        self.fetch_interval_s = min(2 * self.fetch_interval_s, FETCH_INTERVAL_MAX_S)
        seeds, others = self.settings.seeds, self._candidates(now_s)
        if self.is_alone and seeds:
            address = self.rng.choice(seeds)
            return self._fetch_from(now_s, [Peer(address, "", address)])
        return self.newer_list_reported(now_s, self.rng.choice(others)) if others else []

    def _fetch_from(self, now_s: float, peers: list[Peer]) -> list[Action]:
        self.pending_fetches |= {peer.name: now_s for peer in peers}
        return [FetchList(peer) for peer in peers]

    def _reconcile(self, now_s: float) -> list[Action]:
        """Bring role, feeds and watch to what the state asks for."""
        if self.joined_s is None or self.settings.own_watch:
            return []
        actions = self._update_role(now_s) + self._update_subscriptions(now_s)
        if not self.has_live_upstream:
            self.live_upstream_since_s = None
        elif self.live_upstream_since_s is None:
            self.live_upstream_since_s = now_s
        actions += self._update_watch(now_s)
        depth = self._current_depth(now_s)
        if depth != self.depth:
            self.depth = depth
            actions.append(AnnounceDepth(depth))
        if invariants.ON:
            invariants.check(
                len(self.upstreams) <= MAX_UPSTREAMS, "more than two feeds", feeds=len(self.upstreams)
            )
        return actions

    def _update_role(self, now_s: float) -> list[Action]:
        should = self.local_peer.name in self.relays and not self.is_alone
        if should == self.is_relay or now_s < self.relays_settled_s:
            return []
        if self.has_live_upstream and self.view_growth.is_growing(now_s):  # the next to come may rank higher
            watching = [name for name, feed in self.upstreams.items() if feed.depth == 0]
            if should or not is_outranked(self.settings.cluster, self.local_peer.name, watching):
                return []  # those that relay now go on
        self.is_relay = should
        self.service_last_up_s = now_s  # it is not blind before it has tried
        return [RelayRoleChanged(should)]

    def _update_subscriptions(self, now_s: float) -> list[Action]:
        """Two feeds: to relays by preference, else to members that full ones named. A feed to another gives
        way to a relay only while the second one stands, and leads no further round to the service."""
        actions: list[Action] = []
        wanted = [peer.name for peer in self._preferred_relays() if not self._is_avoided(now_s, peer.name)][
            :MAX_UPSTREAMS
        ]
        for name, feed in list(self.upstreams.items()):
            is_lost = (
                feed.has_reported
                and feed.depth is None
                and now_s >= feed.last_connected_s + DISCONNECTED_UPSTREAM_S
            )
            is_deep = feed.depth is not None and feed.depth >= MAX_DEPTH
            if (is_lost or is_deep) and name not in self.relays:
                actions += self._unsubscribe(name)
                self.avoid_until_s[name] = now_s + ENDED_AVOID_S
        for name in wanted:
            if name not in self.upstreams and len(self.upstreams) >= MAX_UPSTREAMS:
                unwanted = [other for other in self.upstreams if other not in wanted]
                spare = max(unwanted, key=lambda other: self.upstreams[other].distance, default=None)
                ways = [feed.distance for other, feed in self.upstreams.items() if other != spare]
                if spare is not None and max(ways) <= min(self.upstreams[spare].distance, MAX_DEPTH):
                    actions += self._unsubscribe(spare)
            actions += self._subscribe(now_s, name)
        for name in self.referrals:
            if name in self.peers and not self._is_avoided(now_s, name):
                actions += self._subscribe(now_s, name)
        if (
            self.referrals and len(self.upstreams) < MAX_UPSTREAMS
        ):  # full ones, and too deep ones behind them: another branch
            others = self._candidates(now_s)
            actions += self._subscribe(now_s, self.rng.choice(others)) if others else []
        return actions

    def _candidates(self, now_s: float) -> list[str]:
        """Who may be asked or followed, beside those that are followed."""
        known = (name for name in self.peers if name != self.local_peer.name and name not in self.upstreams)
        return [name for name in known if not self._is_avoided(now_s, name)]

    def _subscribe(self, now_s: float, name: str) -> list[Action]:
        if name in self.upstreams or len(self.upstreams) >= MAX_UPSTREAMS or name == self.local_peer.name:
            return []
        self.upstreams[name] = Upstream(self.peers[name], now_s)
        return [Subscribe(self.peers[name])]

    def _update_watch(self, now_s: float) -> list[Action]:
        """The own watch: a relay's always; another's where nothing it follows has a way to the service."""
        if not self.is_relay and self.live_upstream_since_s is not None:
            self.call_due_s = None
            is_near = min(feed.distance for feed in self.upstreams.values()) == 0
            if not self.watching or now_s < self.live_upstream_since_s + (
                DIRECT_PATH_STABLE_S if is_near else INDIRECT_PATH_STABLE_S
            ):
                return []
            self.watching = self.service_up = False
            self.failures = 0
            return [Watch(False)]
        if self.watching:
            return []
        if self.is_relay:
            if self.pending_fetches or (
                self.failures and self.call_due_s is not None and now_s < self.call_due_s
            ):
                return []  # it asks members first
            self.watching, self.call_due_s = True, None
            return [Watch(True, self.has_live_upstream)]
        if self.is_alone and now_s < min(
            self.last_answer_s + SEED_JOIN_S, (self.joined_s or 0.0) + ALONE_JITTER_MAX_S
        ):
            self.call_due_s = None
            return []
        grows = self.view_growth.is_growing(now_s) and not self.is_alone
        if self.call_due_s is None or (self.scheduled_while_growing and not grows and not self.failures):
            self.call_scheduled_s, self.scheduled_while_growing = now_s, grows
            from_s = now_s if self.is_alone else max(now_s, self.relays_changed_s + FALLBACK_GRACE_S)
            feeds = self.upstreams.values()
            self.call_due_s = from_s + jitter_s(self.settings, len(self.peers), grows, feeds, self.rng)
        if now_s < self.call_due_s:
            return []
        self.watching, self.call_due_s = True, None
        return [FallbackStarted(now_s - self.call_scheduled_s), Watch(True)]

    def _current_depth(self, now_s: float) -> int | None:
        if self.service_up or (self.is_relay and now_s < self.service_last_up_s + RELAY_OUTAGE_S):
            return 0
        depths = [feed.depth for feed in self.upstreams.values() if feed.depth is not None]
        if depths:
            return min(depths) + 1 if min(depths) < MAX_DEPTH else None
        return None
