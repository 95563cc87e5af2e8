"""Limits of the fan-out tree: upstreams per member, followers per member and depth."""

from __future__ import annotations

MAX_UPSTREAMS = 2  # feeds that a member subscribes to, and list fetches that it has pending, at once
MAX_DEPTH = 3  # of the tree: a member at this depth accepts no followers
REFERRALS_PER_REPLY = 4  # followers that a full member names as alternatives


def admits_follower(followers: int, limit: int, depth: int | None, is_relay: bool) -> bool:
    """Whether a member accepts one more follower: it is below its limit and above the lowest tree level."""
    return followers < limit and (is_relay or depth is None or depth < MAX_DEPTH)


def max_followers(sockets: int) -> int:
    """Return how many followers a process with `sockets` file descriptors accepts."""
    return max(16, sockets // 8)
