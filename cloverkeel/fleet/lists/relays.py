"""Who relays the list: rendezvous hashing over the view (Thaler, Ravishankar, 1998). Pure, the same on all.

Equal views give equal relays with no word said, and a member that comes or goes moves only the places that it
ranks first in: at most one relay each time.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple


class Peer(NamedTuple):
    """A member as the lists' parts see it."""

    name: str
    zone: str = ""
    address: str = ""


@lru_cache(4096)  # a view that changes hundreds of times in a start has mostly the same names
def rendezvous_score(*words: str) -> int:
    """64 bits of these words together; the words' ends count."""
    data = b"".join(len(word.encode()).to_bytes(4) + word.encode() for word in words)
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def choose_relays(cluster: str, members: Iterable[Peer], count: int) -> tuple[str, ...]:
    """The relays' names, best first: the best member of each zone, and the best of the rest up to `count`.

    With more zones than `count` there is one relay a zone. Fewer members than that: all of them.
    """
    ranked = sorted(
        {peer.name: peer for peer in members}.values(),
        key=lambda p: (rendezvous_score(cluster, p.name), p.name),
    )
    firsts: dict[str, str] = {}
    for peer in ranked:
        firsts.setdefault(peer.zone, peer.name)
    chosen = set(firsts.values())
    for peer in ranked:
        if len(chosen) >= count:
            break
        chosen.add(peer.name)
    return tuple(peer.name for peer in ranked if peer.name in chosen)


def is_outranked(cluster: str, me: str, others: Iterable[str]) -> bool:
    """Whether one of `others` ranks higher than `me`: of two that both may go, one stays."""
    mine = rendezvous_score(cluster, me), me
    return any((rendezvous_score(cluster, other), other) < mine for other in others)


def by_preference(cluster: str, me: Peer, relays: Iterable[Peer]) -> list[Peer]:
    """The relays in the order in which `me` follows them: its own zone first, then spread by hash."""
    others = [peer for peer in relays if peer.name != me.name]
    return sorted(
        others, key=lambda p: (p.zone != me.zone, rendezvous_score(cluster, me.name, p.name), p.name)
    )
