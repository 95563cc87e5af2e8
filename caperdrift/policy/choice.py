"""The choice of a server: which servers may be used, the subset, and the weighted random choice."""

import math

from caperdrift.interface import Effect, Scope
from caperdrift.policy.breaker import State
from caperdrift.policy.cold import capacity_share, has_cold_capacity
from caperdrift.policy.proxy import OVERDUE_FACTOR, Proxy
from caperdrift.policy.routes import server_pools, zone_factor
from caperdrift.policy.servers import Request, Server

# A server's weight falls with this power of the proxy's own attempts in flight there. Their number is known
# at once, whereas listed weights are late and the same for all proxies.
IN_FLIGHT_EXPONENT = 4
HOME_WEIGHT_FACTOR = 20.0  # on the weight of a key's home server: it gets most of the key's requests, not all
HASH_FACTOR, HASH_MASK = 0x9E3779B97F4A7C15, 2**64 - 1  # golden ratio in 64 bits: spreads close numbers apart


def rendezvous_score(key: int, server: int, weight: float) -> float:
    """Score of a server for a key in weighted rendezvous hashing.

    The server with the lowest score is the key's home. All proxies rank the servers alike without
    communication, and a server that joins or leaves affects only the keys that rank it first.
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight


def subset(proxy: Proxy, klass: int, ranked: list[Server]) -> list[Server]:
    """The servers that this proxy uses: the first in rank that are eligible.

    A subset avoids full connection tables, a handshake per request, and too few outcomes per server for the
    breakers. Its size, `proxy.reach`, grows with the attempts in flight. An open or unresponsive server is
    replaced by the next in rank. A cold server is used only by proxies that rank it high enough without such
    replacements, so that the proxies which replace a server do not all move on to the same cold one.
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
    """Servers that a further attempt of a request may go to.

    Never one that an earlier attempt went to. After an attempt that may have run: none for an unsafe request;
    for a keyed one, within its deduplication window, only servers of its scope.
    """
    tried = [a.server for a in request.attempts]
    class_settings = request.class_settings
    ran = [a for a in request.attempts if a.may_have_run]
    servers = [s for s in subset(proxy, request.klass, ranked) if s not in tried]
    if ran and class_settings.effect is Effect.UNSAFE:
        return []
    if ran and class_settings.effect is Effect.KEYED:
        if proxy.now_us - ran[0].sent_us >= class_settings.window_us:
            return []
        servers = [s for s in ranked if s not in tried and is_eligible(proxy, s, request.klass)]
        reached = ranked[: math.ceil(proxy.reach)]
        servers = [s for s in servers if s in reached or capacity_share(proxy, s) >= 1.0]
        if class_settings.scope is Scope.ZONE:
            servers = [s for s in servers if all(s.entry.zone == a.server.entry.zone for a in ran)]
        elif class_settings.scope is Scope.GROUP:
            servers = [s for s in servers if all(s.entry.group == a.server.entry.group for a in ran)]
    return servers


def pick_server(proxy: Proxy, request: Request) -> Server | None:
    """Weighted random choice among the servers that may get this request now; None if there is none."""
    pools = (weighted_candidates(proxy, request, ranked) for ranked in server_pools(proxy, request))
    weights = next(filter(None, pools), None)
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
    """The servers of one pool that may get this request now, with their weights in the random choice."""
    request.pool_size = len(ranked)
    repeated, klass = request.attempts, request.klass
    candidates = retry_candidates(proxy, request, ranked) if repeated else subset(proxy, klass, ranked)
    repeatable = request.class_settings.effect is not Effect.UNSAFE
    weights = [(draw_weight(proxy, server, request), server) for server in candidates]
    # A trial puts its request at risk: unsafe requests, which cannot be retried, go to closed servers only.
    return [(w, s) for w, s in weights if w > 0.0 and (repeatable or s.breaker.state is State.CLOSED)]


def raise_home_weight(key: int, weights: list[tuple[float, Server]]) -> float:
    """Raise the weight of the key's home server among the candidates; returns by how much."""
    scores = [rendezvous_score(key, server.entry.server, 1.0) for _, server in weights]
    home = scores.index(min(scores))
    raised = weights[home][0] * (HOME_WEIGHT_FACTOR - 1.0)
    weights[home] = (weights[home][0] + raised, weights[home][1])
    return raised


def draw_weight(proxy: Proxy, server: Server, request: Request) -> float:
    """A server's weight in the random choice, lower while it is cold; 0 if it has no cold capacity left."""
    if not has_cold_capacity(proxy, server, request):
        return 0.0
    load_factor = 1.0 / (1.0 + len(server.in_flight)) ** IN_FLIGHT_EXPONENT
    weight = server.weight * server.class_state(request.klass).weight
    return (
        server.entry.weight
        * weight
        * load_factor
        * zone_factor(proxy, server.entry)
        * capacity_share(proxy, server)
    )


def is_eligible(proxy: Proxy, server: Server, klass: int) -> bool:
    """As is_usable, and changes breakers whose cooldown is over from open to half-open."""
    breakers = server.breaker, server.class_state(klass).breaker
    return is_usable(proxy, server, klass) and all(b.allow(proxy.now_us) for b in breakers)


def is_usable(proxy: Proxy, server: Server, klass: int) -> bool:
    """Whether a server is ready and responsive, and its breakers allow requests of a class."""
    if not server.ready or not server.breaker.would_allow(proxy.now_us):
        return False
    state = server.by_class.get(klass)
    return (state is None or state.breaker.would_allow(proxy.now_us)) and not is_unresponsive(proxy, server)


def count_skipped(proxy: Proxy, now_us: int) -> int:
    """Number of listed servers that cannot be used for any class now."""
    proxy.now_us = max(now_us, proxy.now_us)
    classes = [index for index, klass in enumerate(proxy.settings.classes) if not klass.dropped]
    return sum(not any(is_usable(proxy, s, klass) for klass in classes) for s in proxy.servers.values())


def is_unresponsive(proxy: Proxy, server: Server) -> bool:
    """Whether a server's oldest attempt in flight is overdue: it gets no more until that one has ended."""
    sent_us = next(iter(server.in_flight.values()), proxy.now_us)
    return proxy.now_us - sent_us > OVERDUE_FACTOR * proxy.longest_latency_us()
