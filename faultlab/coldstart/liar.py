"""A cluster member that sends bad lists: an old one, invalid ones and an enormous one, in turn.

A child process of the lab: `python -m faultlab.coldstart.liar SETTINGS`. It takes part in membership like a
gateway, under a name that makes it a relay (`relay_name`). It answers `list.get`, serves `list.feed`, and
claims on every feed to watch the list service itself.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Iterable
from typing import Any

from cloverkeel.fleet.cluster import parse_cluster
from cloverkeel.fleet.lists.relays import Peer, choose_relays
from cloverkeel.fleet.lists.sharing import LIST_GET
from cloverkeel.fleet.lists.upstream_connections import LIST_FEED
from cloverkeel.fleet.lists.versioned_list import ListUpdate, ListVersion, encode, entry_digest
from cloverkeel.fleet.membership.feeds import Feed
from cloverkeel.fleet.membership.frames import MAX_FRAME_BYTES
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.tasks import BackgroundTasks
from faultlab import child

SEND_INTERVAL_S = 0.2
UNREACHED_INDEX = 1_000_000  # an index that the service does not reach in a run


def relay_name(cluster: str, members: list[Peer], relays: int, zone: str) -> str:
    """A name that rendezvous hashing chooses as a relay among these members."""
    names = (f"liar-{number}" for number in itertools.count())
    return next(n for n in names if n in choose_relays(cluster, [*members, Peer(n, zone)], relays))


def bad_lists(entries: list[dict[str, Any]], oldest: int) -> Iterable[Any]:
    """An endless cycle of bad lists.

    They are: the list from the start, one with a wrong digest, one with invalid entries, a value that is no
    list, and one of many megabytes.
    """
    digest = sum(map(entry_digest, entries)) % 2**64
    old = encode(ListUpdate(ListVersion(0, oldest), digest, None, tuple(entries)))
    ahead = [0, UNREACHED_INDEX]
    broken = old | {"v": ahead, "digest": (digest + 1) % 2**64}
    no_entries = old | {"v": ahead, "entries": [7, "host-1", None]}
    enormous = old | {"v": ahead, "entries": [{"name": "x" * 1024}] * (MAX_FRAME_BYTES // 1024 + 100)}
    return itertools.cycle([old, broken, no_entries, "no list", enormous])


async def _make_handler(settings: dict[str, Any]) -> child.Handler:
    cluster = parse_cluster(settings["cluster"], settings["name"])
    membership = Membership(cluster, settings["name"], settings["zone"], time.time_ns() // 1_000_000)
    membership.calls.frame_codec.max_bytes = 64 * MAX_FRAME_BYTES  # so that it can send the large list
    lists = bad_lists(settings["entries"], settings["oldest"])
    sent = 0

    def next_list() -> Any:
        nonlocal sent
        sent += 1
        return next(iter(lists))

    async def send_lists(feed: Feed) -> None:
        while not feed.closed:
            feed.send({"depth": 0, "list": next_list()})
            await asyncio.sleep(SEND_INTERVAL_S)

    tasks = BackgroundTasks()
    membership.calls.serve(LIST_GET, lambda peer, body: {"list": next_list()})
    membership.calls.serve_feed(LIST_FEED, lambda feed, body: tasks.spawn(send_lists(feed)))
    await membership.start()

    async def handle_command(do: str, arguments: dict[str, Any]) -> Any:
        if do != "lied":
            raise ValueError(f"unknown command of the lying member: {do}")
        return sent

    return handle_command


if __name__ == "__main__":
    child.serve(_make_handler)
