"""Relay selection by rendezvous hashing over the membership view (Thaler, Ravishankar, 1998): pure.

Members with equal views choose the same relays without communicating. When a member joins or leaves, only the
places in which it ranks first change: at most one relay at a time.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple


class Peer(NamedTuple):
    """A cluster member, reduced to what list distribution needs."""

    name: str
    zone: str = ""
    address: str = ""


@lru_cache(4096)  # successive views of a starting fleet, hundreds of them, contain mostly the same names
def rendezvous_score(*words: str) -> int:
    """Return a 64-bit hash of `words`; each is length-prefixed, so ("ab", "c") differs from ("a", "bc")."""
    data = b"".join(len(word.encode()).to_bytes(4) + word.encode() for word in words)
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def choose_relays(cluster: str, members: Iterable[Peer], count: int) -> tuple[str, ...]:
    """Return the relays' names, best first: the best member of each zone, then the best others up to `count`.

    With more zones than `count` there is one relay per zone. With fewer members than `count`, all are relays.
    """
    ranked = sorted(
        {peer.name: peer for peer in members}.values(),
        key=lambda p: (rendezvous_score(cluster, p.name), p.name),
    )
    first_by_zone: dict[str, str] = {}
    for peer in ranked:
        first_by_zone.setdefault(peer.zone, peer.name)
    chosen = set(first_by_zone.values())
    for peer in ranked:
        if len(chosen) >= count:
            break
        chosen.add(peer.name)
    return tuple(peer.name for peer in ranked if peer.name in chosen)


def is_outranked(cluster: str, local_name: str, others: Iterable[str]) -> bool:
    """Whether one of `others` ranks higher than `local_name`.

    Used when relays step down: of two that could both do so, the higher-ranked one stays.
    """
    local_rank = rendezvous_score(cluster, local_name), local_name
    return any((rendezvous_score(cluster, other), other) < local_rank for other in others)


def by_preference(cluster: str, local_peer: Peer, relays: Iterable[Peer]) -> list[Peer]:
    """Return the other relays in the order in which `local_peer` prefers them as upstreams.

    Relays of its own zone come first; within each group the hash spreads the members over the relays.
    """
    others = [peer for peer in relays if peer.name != local_peer.name]
    return sorted(
        others,
        key=lambda p: (
            p.zone != local_peer.zone,
            rendezvous_score(cluster, local_peer.name, p.name),
            p.name,
        ),
    )
