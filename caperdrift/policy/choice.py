"""The choice of a server: who may be used, the subset, and the weighted draw."""

import math

from caperdrift.interface import Effect, Scope
from caperdrift.policy.breaker import State
from caperdrift.policy.cold import has_cold_capacity, capacity_share
from caperdrift.policy.proxy import OVERDUE_FACTOR, Proxy
from caperdrift.policy.routes import zone_factor, server_pools
from caperdrift.policy.servers import Request, Server

IN_FLIGHT_EXPONENT = (
    4  # power of own attempts out in the draw: known at once, where listed weights are late, alike for all
)
HOME_WEIGHT_FACTOR = 20.0  # factor on the weight of a key's home: most of its requests, not all
HASH_FACTOR, HASH_MASK = 0x9E3779B97F4A7C15, 2**64 - 1  # golden ratio in 64 bits: spreads close numbers apart


def rendezvous_score(key: int, server: int, weight: float) -> float:
    """Lowest at the server that a key belongs to: weighted rendezvous hashing.
    Everyone ranks alike without a word, and a server that comes or goes moves only what ranks it first.
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight


def subset(proxy: Proxy, klass: int, ranked: list[Server]) -> list[Server]:
    """The servers that this proxy spreads over: the first in rank that may be used.
    Guards against full connection tables, a handshake for each request, and thin evidence. A proxy with
    more in hand reaches further; an open or silent server gives its place to the next. A cold one is
    used only by those who rank it high without that, so that many who step aside never meet on it.
    """
    found: list[Server] = []
    for place, server in enumerate(ranked):
        if len(found) >= proxy.reach:
            break
        if is_eligible(proxy, server, klass) and (
            place < proxy.reach or capacity_share(proxy, server) >= 1.0
        ):
            found.append(server)
    return found


def retry_candidates(proxy: Proxy, request: Request, ranked: list[Server]) -> list[Server]:
    """Servers that another attempt may go to."""
    tried = [a.server for a in request.attempts]
    klass = request.class_settings
    ran = [a for a in request.attempts if a.may_have_run]
    servers = [s for s in subset(proxy, request.klass, ranked) if s not in tried]
    if ran and klass.effect is Effect.UNSAFE:
        return []
    if ran and klass.effect is Effect.KEYED:
        if proxy.now_us - ran[0].sent_us >= klass.window_us:
            return []
        servers = [s for s in ranked if s not in tried and is_eligible(proxy, s, request.klass)]
        reached = ranked[: math.ceil(proxy.reach)]
        servers = [s for s in servers if s in reached or capacity_share(proxy, s) >= 1.0]
        if klass.scope is Scope.ZONE:
            servers = [s for s in servers if all(s.entry.zone == a.server.entry.zone for a in ran)]
        elif klass.scope is Scope.GROUP:
            servers = [s for s in servers if all(s.entry.group == a.server.entry.group for a in ran)]
    return servers


def pick_server(proxy: Proxy, request: Request) -> Server | None:
    """Weighted random choice among the servers that may take this request now."""
    weighings = (weighted_candidates(proxy, request, ranked) for ranked in server_pools(proxy, request))
    weights = next(filter(None, weighings), None)
    if weights is None:
        return None
    total = sum(weight for weight, _ in weights)
    if proxy.settings.warm_keys and request.key is not None:
        total += raise_home_weight(request.key, weights)
    point = proxy.random.random() * total
    for weight, server in weights:
        point -= weight
        if point <= 0.0:
            return server
    return weights[-1][1]


def weighted_candidates(proxy: Proxy, request: Request, ranked: list[Server]) -> list[tuple[float, Server]]:
    """The servers of one pool that may take this request now, with their weights in the draw."""
    request.pool_size = len(ranked)
    repeated, klass = request.attempts, request.klass
    candidates = retry_candidates(proxy, request, ranked) if repeated else subset(proxy, klass, ranked)
    repeatable = request.class_settings.effect is not Effect.UNSAFE
    weights = [(draw_weight(proxy, server, request), server) for server in candidates]
    # Trials risk their request, so one that could not be repeated goes to closed servers.
    return [(w, s) for w, s in weights if w > 0.0 and (repeatable or s.breaker.state is State.CLOSED)]


def raise_home_weight(key: int, weights: list[tuple[float, Server]]) -> float:
    """Raise the weight of the key's home among the candidates; returns by how much."""
    ranks = [rendezvous_score(key, server.entry.server, 1.0) for _, server in weights]
    home = ranks.index(min(ranks))
    raised = weights[home][0] * (HOME_WEIGHT_FACTOR - 1.0)
    weights[home] = (weights[home][0] + raised, weights[home][1])
    return raised


def draw_weight(proxy: Proxy, server: Server, request: Request) -> float:
    """A server's weight in the draw, less while cold; 0 for one that is not eligible."""
    if not has_cold_capacity(proxy, server, request):
        return 0.0
    free = 1.0 / (1.0 + len(server.in_flight)) ** IN_FLIGHT_EXPONENT
    weight = server.weight * server.class_state(request.klass).weight
    return (
        server.entry.weight * weight * free * zone_factor(proxy, server.entry) * capacity_share(proxy, server)
    )


def is_eligible(proxy: Proxy, server: Server, klass: int) -> bool:
    """Whether it may be used; cooldowns that are over end."""
    breakers = server.breaker, server.class_state(klass).breaker
    return is_usable(proxy, server, klass) and all(b.allow(proxy.now_us) for b in breakers)


def is_usable(proxy: Proxy, server: Server, klass: int) -> bool:
    if not server.ready or not server.breaker.would_allow(proxy.now_us):
        return False
    part = server.by_class.get(klass)
    return (part is None or part.breaker.would_allow(proxy.now_us)) and not is_unresponsive(proxy, server)


def count_skipped(proxy: Proxy, now_us: int) -> int:
    """How many listed servers may not be used for any class now."""
    proxy.now_us = max(now_us, proxy.now_us)
    classes = [index for index, klass in enumerate(proxy.settings.classes) if not klass.dropped]
    return sum(not any(is_usable(proxy, s, klass) for klass in classes) for s in proxy.servers.values())


def is_unresponsive(proxy: Proxy, server: Server) -> bool:
    """True while the oldest attempt out is overdue: nothing more until it is answered or times out."""
    sent_us = next(iter(server.in_flight.values()), proxy.now_us)
    return proxy.now_us - sent_us > OVERDUE_FACTOR * proxy.longest_latency_us()
