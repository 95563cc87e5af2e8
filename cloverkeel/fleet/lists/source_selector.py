"""Chooses where a member gets the host list: from upstreams, or by its own watch on the list service.

Pure: events in, actions out. A member subscribes to at most two upstreams and has at most one watch:

- a **relay** (`relays.choose_relays`) watches the list service. It also subscribes to up to two other relays,
  so that a relay cut off from the service still gets updates, and relays that count epochs differently
  converge;
- a **follower** subscribes to two relays. A relay at its limit of followers names some of them instead
  (`upstream_full`), so that the members form a tree of depth MAX_DEPTH;
- a follower without an upstream that has a path to the service waits for a random time within
  `live / list_calls_per_s` seconds and then starts a watch of its own (**fallback**), until one of its
  upstreams has a path again.

A member's **depth** is its distance from the list service: 0 with a working watch of its own, otherwise one
more than the least depth of its upstreams; None without any path. Feeds announce it, so that followers leave
a member that has lost its path, and cycles dissolve. Times are seconds of one monotonic clock, passed in.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from cloverkeel.fleet import invariants
from cloverkeel.fleet.lists.actions import (
    Action,
    AnnounceDepth,
    AnnounceList,
    FallbackStarted,
    FetchList,
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
from cloverkeel.fleet.lists.limits import MAX_DEPTH, MAX_UPSTREAMS, REFERRALS_PER_REPLY
from cloverkeel.fleet.lists.relays import Peer, by_preference, choose_relays, is_outranked
from cloverkeel.fleet.lists.upstream import Upstream, lagging_peers
from cloverkeel.fleet.lists.versioned_list import ListVersion

# A relay takes on its role once the set of relays has been stable for this long, up to 50 % longer at random.
RELAY_SETTLE_S = 0.5
# Upper bound of a further random wait while the view grows, scaled by the share of the fleet not yet in view.
UNSEEN_SETTLE_S = 1.5
SEED_JOIN_S = 3.0  # a lone member that a seed has answered has joined within this time
FALLBACK_GRACE_S = 1.0  # no fallback is due before the relays have been stable for this long, so they can act
RELAY_OUTAGE_S = 5.0  # a relay whose calls have failed for this long no longer reports depth 0
DISCONNECTED_UPSTREAM_S = 2.0  # an upstream that is no relay and has had no path for this long is dropped
# A fallback watch ends once a path by upstreams has lasted this long, if one of them has its own watch ...
DIRECT_PATH_STABLE_S = 1.0
# ... or this long where none has: the path may lead through this member itself.
INDIRECT_PATH_STABLE_S = 2.0
FETCH_TIMEOUT_S = 0.5  # of a list fetch from another member, also at startup
ENDED_AVOID_S = 2.0  # a member whose feed has ended is not tried again for this long
FULL_AVOID_S = 20.0  # nor is one that is full, up to 50 % longer at random
INVALID_AVOID_S = 10.0  # nor is one that has sent invalid data
MAX_REFERRALS = 16  # referrals remembered; the oldest are discarded
# Backoff after a failed call of a relay: doubles with each failure up to the maximum; 50 to 100 % is waited.
BACKOFF_BASE_S, BACKOFF_MAX_S = 0.4, 2.0
# Between fetches from further members while no list is held: doubles from the first to the second.
FETCH_INTERVAL_S, FETCH_INTERVAL_MAX_S = 0.5, 2.0


class SourceSelector:
    """The state machine of one member. Every event returns the actions to carry out, in order."""

    def __init__(self, local_peer: Peer, settings: SelectorSettings, rng: random.Random) -> None:
        self.local_peer, self.settings, self.rng = local_peer, settings, rng
        self.peers: dict[str, Peer] = {}  # live members by name, this one included
        self.relays: tuple[str, ...] = ()  # names, best first
        self.joined_s: float | None = None  # when this member joined; None: not yet
        self.relays_changed_s = 0.0  # when the set of relays last changed
        self.relays_settled_s = 0.0  # when it counts as stable, unless it changes again
        self.is_relay = False
        self.upstreams: dict[str, Upstream] = {}  # by name
        self.avoid_until_s: dict[str, float] = {}  # members that are not tried before this time
        self.referrals: list[str] = []  # members named by full ones, oldest first
        self.pending_fetches: dict[str, float] = {}  # when each pending fetch started, by member
        self.fetch_interval_s = FETCH_INTERVAL_S
        self.fetch_due_s = 0.0  # while no list is held: when to fetch from the next member
        self.last_answer_s = -SEED_JOIN_S  # when a member last answered a fetch
        self.view_growth = ViewGrowth()
        self.watching = False  # this member's own watch is on
        self.service_up = False  # the own watch has been answered, and has not failed since
        self.service_last_up_s = 0.0  # when the service last answered, or this member became a relay
        self.failures = 0  # calls of the own watch that failed in a row
        self.call_due_s: float | None = None  # when to call the service; None: not scheduled
        self.call_scheduled_s = 0.0  # when that wait began
        self.scheduled_while_growing = False  # the jitter was drawn for a view that was still growing
        self.live_upstream_since_s: float | None = None  # since when an upstream has had a path
        self.depth: int | None = None  # as last announced to the followers

    # Events

    def view_changed(self, now_s: float, joined: bool, peers: Iterable[Peer]) -> list[Action]:
        """The set of live members has changed; `joined`: a seed has answered, or no seed is alive."""
        self.peers = {peer.name: peer for peer in peers} | {self.local_peer.name: self.local_peer}
        actions: list[Action] = []
        for name in [name for name in self.upstreams if name not in self.peers]:
            actions += self._unsubscribe(name)
        self.view_growth.update(now_s, len(self.peers))
        relays = choose_relays(self.settings.cluster, self.peers.values(), self.settings.relays)
        if set(relays) != set(self.relays) or (joined and self.joined_s is None):
            self.relays_changed_s = now_s
            self.relays_settled_s = now_s + RELAY_SETTLE_S * self.rng.uniform(1.0, 1.5)
            if self.view_growth.is_growing(now_s):  # some members not yet in view rank higher
                unseen = max(0.0, 1.0 - len(self.peers) / self.settings.gateways)
                self.relays_settled_s += UNSEEN_SETTLE_S * unseen * self.rng.random()
            if not self.failures:
                self.call_due_s = None  # the jitter was drawn for another set of members
        self.relays = relays
        if joined and self.joined_s is None:
            self.joined_s = now_s
            actions += self._fetch_at_start(now_s)
            self.fetch_due_s = now_s if self.is_alone else now_s + FETCH_TIMEOUT_S + self.fetch_interval_s
        return actions + self._reconcile(now_s)

    def depth_received(self, now_s: float, name: str, depth: int | None) -> list[Action]:
        """An upstream has reported its depth, for the first time or again."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return []
        if upstream.depth is not None or depth is not None:
            upstream.last_connected_s = now_s
        upstream.has_reported, upstream.depth = True, depth
        return self._reconcile(now_s)

    def version_received(self, name: str, version: ListVersion) -> None:
        """An upstream has reported the version of its list, whether or not that list was applied."""
        upstream = self.upstreams.get(name)
        if upstream is not None:
            upstream.version = version

    def upstream_ended(self, now_s: float, name: str, avoid_s: float = ENDED_AVOID_S) -> list[Action]:
        """A feed has ended: it was silent for 1 s, was disconnected or was refused."""
        if self.upstreams.pop(name, None) is None:
            return []
        self.avoid_until_s[name] = max(self.avoid_until_s.get(name, 0.0), now_s + avoid_s)
        return self._reconcile(now_s)

    def upstream_full(self, now_s: float, name: str, others: Iterable[str]) -> list[Action]:
        """A member refused this one, being at its limit, and named some of its followers."""
        known = [other for other in others if other in self.peers and other not in self.referrals]
        self.referrals += self.rng.sample(known, min(len(known), REFERRALS_PER_REPLY))
        del self.referrals[:-MAX_REFERRALS]
        return self.upstream_ended(now_s, name, FULL_AVOID_S * self.rng.uniform(1.0, 1.5))

    def invalid_list_received(self, now_s: float, name: str) -> list[Action]:
        """A member has sent invalid data: it is set aside for INVALID_AVOID_S."""
        self.avoid_until_s[name] = now_s + INVALID_AVOID_S
        self.pending_fetches.pop(name, None)
        return self._unsubscribe(name) + self._reconcile(now_s)

    def fetch_ended(self, now_s: float, name: str, answered: bool = True) -> list[Action]:
        """A fetch from this member has ended, with an answer or without."""
        self.pending_fetches.pop(name, None)
        if answered:
            self.last_answer_s = now_s
        return self._reconcile(now_s)

    def newer_list_reported(self, now_s: float, name: str) -> list[Action]:
        """A member has a newer list, and what it has sent does not suffice to apply it: fetch the list."""
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
        """The list service has answered this member's call, perhaps after the call had timed out."""
        self.service_last_up_s = now_s
        actions: list[Action] = []
        if self.failures and not self.watching:  # a late answer: slow, but up, so watch again at once
            self.failures, self.scheduled_while_growing, self.call_due_s = 0, False, now_s
            actions = self._reconcile(now_s)
        self.service_up, self.failures = self.watching, 0
        return actions + self._reconcile(now_s)

    def service_failed(self, now_s: float) -> list[Action]:
        """This member's call has failed and its watch has ended; the next one starts after a backoff."""
        if self.service_up:
            self.service_last_up_s = now_s
        self.service_up = self.watching = False
        self.failures += 1
        longest_s = min(BACKOFF_BASE_S * 2**self.failures, BACKOFF_MAX_S)
        if not self.is_relay:
            window_s = jitter_window_s(self.settings, len(self.peers), False, self.upstreams.values())
            longest_s = max(longest_s, window_s * 2 ** min(self.failures, 4))
        self.call_scheduled_s, self.call_due_s = now_s, now_s + longest_s * self.rng.uniform(0.5, 1.0)
        return self._reconcile(now_s)

    def tick(self, now_s: float, held_version: ListVersion | None) -> list[Action]:
        """Called several times a second; `held_version` is that of the list held here."""
        for name in [name for name, until_s in self.avoid_until_s.items() if until_s <= now_s]:
            del self.avoid_until_s[name]
        for name in [
            name for name, since_s in self.pending_fetches.items() if since_s + FETCH_TIMEOUT_S <= now_s
        ]:
            del self.pending_fetches[name]
        actions: list[Action] = [
            AnnounceList(peer) for peer in lagging_peers(self.upstreams.values(), now_s, held_version)
        ]
        if held_version is None or self.is_alone:
            actions += self._fetch_again(now_s)
        return actions + self._reconcile(now_s)

    # Derived state

    @property
    def has_live_upstream(self) -> bool:
        """Whether an upstream has a path to the list service."""
        return any(upstream.depth is not None for upstream in self.upstreams.values())

    @property
    def is_alone(self) -> bool:
        """Whether this member has found no other one of a fleet of several.

        Just after a power loss this holds for most members; as relays, each of them would call the service.
        """
        return len(self.peers) == 1 and self.settings.gateways > 1

    def _is_avoided(self, now_s: float, name: str) -> bool:
        """Whether this member is not to be tried now."""
        return self.avoid_until_s.get(name, 0.0) > now_s

    def _preferred_relays(self) -> list[Peer]:
        """Return the other relays, the preferred upstream first."""
        return by_preference(
            self.settings.cluster, self.local_peer, [self.peers[name] for name in self.relays]
        )

    def _unsubscribe(self, name: str) -> list[Action]:
        """Remove an upstream, if it is one."""
        return [Unsubscribe(name)] if self.upstreams.pop(name, None) is not None else []

    def _fetch_at_start(self, now_s: float) -> list[Action]:
        """Fetch from two members: the relay preferred as upstream, and another one at random."""
        first = self._preferred_relays()[: MAX_UPSTREAMS - 1]
        rest = [peer for peer in self.peers.values() if peer != self.local_peer and peer not in first]
        chosen = [*first, *self.rng.sample(rest, min(len(rest), MAX_UPSTREAMS - len(first)))]
        return self._fetch_from(now_s, chosen)

    def _fetch_again(self, now_s: float) -> list[Action]:
        """Fetch from one more member, if it is time to.

        Without a list: from a random member, since those tried at the start had none. Alone: from a seed,
        which may have started since the join and can save a call to the list service.
        """
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
        """Start a fetch from each of these members."""
        self.pending_fetches |= {peer.name: now_s for peer in peers}
        return [FetchList(peer) for peer in peers]

    def _reconcile(self, now_s: float) -> list[Action]:
        """Bring role, upstreams, watch and announced depth in line with the present state."""
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
                len(self.upstreams) <= MAX_UPSTREAMS, "more than two upstreams", feeds=len(self.upstreams)
            )
        return actions

    def _update_role(self, now_s: float) -> list[Action]:
        """Become a relay, or cease to be one, once the set of relays is stable."""
        should_relay = self.local_peer.name in self.relays and not self.is_alone
        if should_relay == self.is_relay or now_s < self.relays_settled_s:
            return []
        if self.has_live_upstream and self.view_growth.is_growing(now_s):
            # Members still to appear may rank higher, so the present relays keep their role for now.
            watching = [name for name, upstream in self.upstreams.items() if upstream.depth == 0]
            if should_relay or not is_outranked(self.settings.cluster, self.local_peer.name, watching):
                return []
        self.is_relay = should_relay
        self.service_last_up_s = now_s  # its first calls get RELAY_OUTAGE_S before the outage is reported
        return [RelayRoleChanged(should_relay)]

    def _update_subscriptions(self, now_s: float) -> list[Action]:
        """Keep two upstreams: preferred relays, otherwise members named by full ones.

        An upstream that is not a preferred relay is replaced by one only if the other upstream is no further
        from the list service than the one replaced, and within MAX_DEPTH.
        """
        actions: list[Action] = []
        preferred = [
            peer.name for peer in self._preferred_relays() if not self._is_avoided(now_s, peer.name)
        ][:MAX_UPSTREAMS]
        for name, upstream in list(self.upstreams.items()):
            is_disconnected = (
                upstream.has_reported
                and upstream.depth is None
                and now_s >= upstream.last_connected_s + DISCONNECTED_UPSTREAM_S
            )
            is_too_deep = upstream.depth is not None and upstream.depth >= MAX_DEPTH
            if (is_disconnected or is_too_deep) and name not in self.relays:
                actions += self._unsubscribe(name)
                self.avoid_until_s[name] = now_s + ENDED_AVOID_S
        for name in preferred:
            if name not in self.upstreams and len(self.upstreams) >= MAX_UPSTREAMS:
                replaceable = [other for other in self.upstreams if other not in preferred]
                replaced = max(replaceable, key=lambda other: self.upstreams[other].distance, default=None)
                distances = [
                    upstream.distance for other, upstream in self.upstreams.items() if other != replaced
                ]
                if replaced is not None and max(distances) <= min(
                    self.upstreams[replaced].distance, MAX_DEPTH
                ):
                    actions += self._unsubscribe(replaced)
            actions += self._subscribe(now_s, name)
        for name in self.referrals:
            if name in self.peers and not self._is_avoided(now_s, name):
                actions += self._subscribe(now_s, name)
        # Referrals only to members that are full or too deep: try a random member in another branch.
        if self.referrals and len(self.upstreams) < MAX_UPSTREAMS:
            others = self._candidates(now_s)
            actions += self._subscribe(now_s, self.rng.choice(others)) if others else []
        return actions

    def _candidates(self, now_s: float) -> list[str]:
        """Return the members to fetch from or subscribe to, apart from the present upstreams."""
        known = (name for name in self.peers if name != self.local_peer.name and name not in self.upstreams)
        return [name for name in known if not self._is_avoided(now_s, name)]

    def _subscribe(self, now_s: float, name: str) -> list[Action]:
        """Add an upstream, if there is room for one more."""
        if name in self.upstreams or len(self.upstreams) >= MAX_UPSTREAMS or name == self.local_peer.name:
            return []
        self.upstreams[name] = Upstream(self.peers[name], now_s)
        return [Subscribe(self.peers[name])]

    def _update_watch(self, now_s: float) -> list[Action]:
        """Start or stop this member's own watch: a relay always watches, a follower only as a fallback."""
        if not self.is_relay and self.live_upstream_since_s is not None:
            self.call_due_s = None
            is_direct = min(upstream.distance for upstream in self.upstreams.values()) == 0
            if not self.watching or now_s < self.live_upstream_since_s + (
                DIRECT_PATH_STABLE_S if is_direct else INDIRECT_PATH_STABLE_S
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
                return []  # a relay fetches from other members first
            self.watching, self.call_due_s = True, None
            return [Watch(True, self.has_live_upstream)]
        if self.is_alone and now_s < min(
            self.last_answer_s + SEED_JOIN_S, (self.joined_s or 0.0) + ALONE_JITTER_MAX_S
        ):
            self.call_due_s = None
            return []
        view_grows = self.view_growth.is_growing(now_s) and not self.is_alone
        if self.call_due_s is None or (self.scheduled_while_growing and not view_grows and not self.failures):
            self.call_scheduled_s, self.scheduled_while_growing = now_s, view_grows
            earliest_s = now_s if self.is_alone else max(now_s, self.relays_changed_s + FALLBACK_GRACE_S)
            current = self.upstreams.values()
            self.call_due_s = earliest_s + jitter_s(
                self.settings, len(self.peers), view_grows, current, self.rng
            )
        if now_s < self.call_due_s:
            return []
        self.watching, self.call_due_s = True, None
        return [FallbackStarted(now_s - self.call_scheduled_s), Watch(True)]

    def _current_depth(self, now_s: float) -> int | None:
        """Return the depth to announce; None without a path within MAX_DEPTH."""
        if self.service_up or (self.is_relay and now_s < self.service_last_up_s + RELAY_OUTAGE_S):
            return 0
        depths = [upstream.depth for upstream in self.upstreams.values() if upstream.depth is not None]
        if depths:
            return min(depths) + 1 if min(depths) < MAX_DEPTH else None
        return None
