"""How many a member follows, and how many may follow it."""

from __future__ import annotations

MAX_UPSTREAMS = 2  # what a member follows at once, and what it asks at once
MAX_DEPTH = 3  # of the tree: a member this deep has no followers
REFERRALS_PER_REPLY = 4  # named by a full one


def admits_follower(followers: int, limit: int, depth: int | None, is_relay: bool) -> bool:
    """Whether a member takes one more follower: below its limit, and no deeper than the tree may be."""
    return followers < limit and (is_relay or depth is None or depth < MAX_DEPTH)


def max_followers(sockets: int) -> int:
    """How many followers a member with so many descriptors takes."""
    return max(16, sockets // 8)
