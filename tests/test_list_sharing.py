"""List sharing on real sockets: what members send to each other, and what they refuse."""

from __future__ import annotations

import time
from contextlib import contextmanager
from collections.abc import Iterator
from typing import Any

import pytest

from caperdrift.policy.proxy_count import proxy_count
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.config import parse
from cloverkeel.discovery import Discovery
from cloverkeel.discovery_connection import CallError
from cloverkeel.fleet.lists.ingest import ListIngest
from cloverkeel.fleet.lists.versioned_list import HeldList, ListVersion, ApplyResult, decode, encode
from cloverkeel.fleet.lists.relays import Peer, choose_relays
from cloverkeel.fleet.membership.calls import Calls
from cloverkeel.fleet.membership.service import Membership
from tests.list_site import Node, Registry, site
from tests.sockets import configuration, on_loop, until

NOWHERE = "127.0.0.1:1"
NAMES = [f"g{n}" for n in range(4)]
RELAYS = choose_relays("site", [Peer(name, "a") for name in NAMES], 2)


@on_loop
async def test_only_relays_call_the_service_and_a_change_reaches_all() -> None:
    async with site("s-1", "s-2") as cluster:
        for name in NAMES:  # the others have no reachable list service
            await cluster.add(name, "" if name in RELAYS else NOWHERE, relays=2)
        await cluster.wait_for_hosts("s-1", "s-2")
        cluster.registry.change("s-2", "DRAINING")
        await until(lambda: all(node.index == 101 for node in cluster.nodes.values()))
        draining = [
            node.gateway.listed_hosts[min(node.gateway.listed_hosts)] for node in cluster.nodes.values()
        ]
        assert all(raw == draining[0] for raw in draining)
        for name, node in cluster.nodes.items():
            assert (node.count("list_service_calls_total") > 0) <= (name in RELAYS)
        nodes = cluster.nodes.values()
        await until(lambda: all(proxy_count(node.gateway.balancer) == len(NAMES) for node in nodes))
        assert all({row["name"] for row in node.rows if row["relay"]} == set(RELAYS) for node in nodes)


@on_loop
async def test_updates_continue_after_the_service_restarts_with_a_lower_index() -> None:
    async with site("s-1", "s-2") as cluster:
        for name in NAMES:
            await cluster.add(name, relays=2)
        await cluster.wait_for_hosts("s-1", "s-2")
        cluster.registry.restart(3, "s-2", "s-3")
        await cluster.wait_for_hosts("s-2", "s-3")
        cluster.registry.change("s-3", "DELETED")
        await cluster.wait_for_hosts("s-2")
        assert {node.index for node in cluster.nodes.values()} == {4}


@on_loop
async def test_an_unconfirmed_list_is_used_until_a_member_sends_a_newer_one() -> None:
    old = {"index": 900, "snapshot": True, "endpoints": [Registry.entry("s-old")]}
    async with site("s-1") as cluster:
        await cluster.add("g0")
        await cluster.wait_for_hosts("s-1")
        cluster.registry.up = False  # only members can provide the list
        newcomer = await cluster.add("g1", known=old)
        await cluster.wait_for_hosts("s-1")
        assert newcomer.index == 100 and cluster.nodes["g0"].hosts == {"s-1"}


@on_loop
async def test_full_members_refer_subscribers_to_their_followers() -> None:
    async with site("s-1", "s-2") as cluster:
        names = [f"g{n}" for n in range(7)]
        relays = choose_relays("site", [Peer(name, "a") for name in names], 1)
        for name in names:
            node = await cluster.add(name, "" if name in relays else NOWHERE, relays=1)
            assert node.fleet.sharing is not None
            node.fleet.sharing.followers.limit = 2
        await cluster.wait_for_hosts("s-1", "s-2")
        cluster.registry.change("s-2", "DELETED")
        await cluster.wait_for_hosts("s-1")
        counts = [node.fleet.gauges()["list_followers"] for node in cluster.nodes.values()]
        assert max(counts) <= 2 and sum(count > 0 for count in counts) > 1


@on_loop
async def test_with_pushed_lists_members_share_the_list_at_startup_and_each_keeps_its_own_watch() -> None:
    async with site("s-1") as cluster:
        await cluster.add("g0", mode="pushed")
        await cluster.wait_for_hosts("s-1")
        cluster.registry.up = False
        newcomer = await cluster.add("g1", mode="pushed")
        await cluster.wait_for_hosts("s-1")
        assert newcomer.fleet.gauges()["list_feeds"] == 0
        cluster.registry.up = True
        cluster.registry.change("s-2", "SERVING")
        await cluster.wait_for_hosts("s-1", "s-2")
        assert newcomer.count("lists_from_service_total") == newcomer.count("lists_from_peers_total") == 1


@on_loop
async def test_lists_are_shared_only_if_the_cluster_settings_enable_it() -> None:
    async with site("s-1") as cluster:
        for name in NAMES[:2]:
            await cluster.add(name, lists=False)
        await cluster.wait_for_hosts("s-1")
        assert all(node.gateway.lists is node.gateway.discovery for node in cluster.nodes.values())
        assert not any(row["relay"] for node in cluster.nodes.values() for row in node.rows)


def listing(version: ListVersion, *entries: dict[str, Any]) -> dict[str, Any]:
    _, body = HeldList().apply_answer(None, version, True, entries)
    assert body is not None
    return encode(body)


GOOD = listing(ListVersion(0, 500), Registry.entry("s-x"))
INVALID = [
    {**GOOD, "digest": 7},
    {**GOOD, "v": [0, -1]},
    {**GOOD, "v": [0, 2**63]},
    {**GOOD, "entries": [{}] * 10_001},
    listing(ListVersion(0, 500), Registry.entry("s-x", status="NAPPING")),
    listing(ListVersion(0, 500), Registry.entry("s-x"), Registry.entry("s-y", address="nowhere")),
    listing(ListVersion(0, 500), Registry.entry("s-x", weight=-1.0)),
    {**GOOD, "entries": [Registry.entry("s-x", group=b"bytes")]},
    [GOOD],
]  # fmt: skip


@on_loop
async def test_unusable_answers_of_the_service_fail_the_watch_instead_of_a_busy_loop() -> None:
    ingest, callbacks = fresh_ingest()
    assert ingest.call_started() == (None, True)
    for raw, is_full, error in ((-1, True, ValueError), (2**60, True, ValueError), (5, False, CallError)):
        with pytest.raises(error):
            ingest.call_answered(ingest.call_started(), {}, raw, is_full, [])
    assert not callbacks
    ingest.apply_from_peer(decode(listing(ListVersion(7, 500), Registry.entry("s-x"))))
    with pytest.raises(CallError, match="epoch is 3"):
        ingest.call_answered(ingest.call_started(), {"epoch": 3}, 500, True, [])
    ingest.call_answered(
        ingest.call_started(), {"epoch": 8}, 1, False, []
    )  # a change of a list not held here
    assert ingest.call_started().for_full_list and ingest.discovery.index is None
    ingest.call_answered(ingest.call_started(), {"epoch": 8}, 1, True, [])
    assert ingest.held_list.version == ListVersion(8, 1) and ingest.discovery.epoch == 8


@contextmanager
def invalid_member(calls: Calls, body: object) -> Iterator[None]:
    """Make a member send this list to all that fetch from it or subscribe to it."""
    calls.serve("list.get", lambda peer, raw: {"list": body})
    calls.serve_feed("list.feed", lambda feed, raw: feed.send({"depth": 0, "v": [0, 1], "list": body}))
    yield
    calls.close()


def fresh_ingest() -> tuple[ListIngest, list[Any]]:
    """An ingest without a list, and the log of its callbacks."""
    callbacks: list[Any] = []
    config = parse(configuration())
    discovery = Discovery(
        config.discovery, config.names, lambda *arguments: callbacks.append(arguments), False, 2.0
    )
    return ListIngest(discovery, discovery.on_list, callbacks.append, callbacks.append), callbacks


@pytest.mark.parametrize("body", INVALID, ids=range(len(INVALID)))
@on_loop
async def test_an_invalid_list_is_refused_and_changes_nothing(body: object) -> None:
    ingest, callbacks = fresh_ingest()
    with pytest.raises(ValueError):
        ingest.apply_from_peer(decode(body))
    assert not callbacks and ingest.held_list.version is None
    assert ingest.apply_from_peer(decode(GOOD)) is ApplyResult.NEW and len(callbacks) == 2


@on_loop
async def test_a_member_that_sends_an_invalid_list_is_set_aside() -> None:
    await check_set_aside(INVALID[0])


async def check_set_aside(body: object, frame_bytes: int = 4 * 1024 * 1024) -> None:
    async with site("s-1") as cluster:
        settings = ClusterSettings(name="site", bind="127.0.0.1:0")
        bad = Membership(settings, "g0", "a", 1)
        bad.calls = Calls("site", "g0", frame_bytes)
        with invalid_member(bad.calls, body):
            await bad.start()
            cluster.nodes["g0"] = bad  # type: ignore[assignment]  # the seed
            node = Node("g1", cluster.service.address, [bad.address])
            try:
                await node.start()
                await until(lambda: node.hosts == {"s-1"} and node.count("peers_set_aside_total") > 0)
                assert node.index == 100
            finally:
                node.close()
                bad.close()
                del cluster.nodes["g0"]


@on_loop
async def test_a_member_that_sends_an_oversized_list_is_set_aside() -> None:
    huge = listing(ListVersion(0, 500), *(Registry.entry(f"s-{n}", note="x" * 900) for n in range(6000)))
    await check_set_aside(huge, 64 * 1024 * 1024)


@on_loop
async def test_a_feed_dropped_before_it_was_opened_is_never_opened() -> None:
    async with site("s-1") as cluster:
        node = await cluster.add("g0")
        assert node.fleet.sharing is not None
        connections = node.fleet.sharing.connections
        opening = connections.open(Peer("g1", "a", node.address), None)
        connections.drop("g1")
        await opening
        assert not connections.connections and node.fleet.gauges()["list_followers"] == 0


@on_loop
async def test_an_older_list_from_a_member_changes_nothing() -> None:
    async with site("s-1") as cluster:
        await cluster.add("g0")
        await cluster.wait_for_hosts("s-1")
        calls = Calls("site", "g9")
        old = listing(ListVersion(0, 50), Registry.entry("s-old"))
        with invalid_member(calls, old):
            node = cluster.nodes["g0"]
            sharing = node.fleet.sharing
            assert sharing is not None
            sharing._receive_list("g9", old)
            assert node.hosts == {"s-1"} and node.index == 100
            # A fetch from an older version gets the held list; a fetch from the same version gets none.
            answer = await calls.call(node.address, "list.get", [0, 50], 1.0)
            assert answer["list"]["v"] == [0, 100]
            assert await calls.call(node.address, "list.get", [0, 100], 1.0) == {"list": None}


@on_loop
async def test_a_cold_gateway_starts_with_the_learned_state_of_its_neighbours() -> None:
    async with site("s-1", "s-2") as cluster:
        for name in NAMES[:3]:
            node = await cluster.add(name)
            assert node.fleet.neighbours is not None
            node.fleet.neighbours.started_s -= 60.0  # it has run long enough to share its learned state
        await cluster.wait_for_hosts("s-1", "s-2")
        for node in cluster.nodes.values():
            for server in node.gateway.balancer.servers.values():
                server.weight = 0.25
        begun_s = time.monotonic()
        cold = await cluster.add("g3")
        assert time.monotonic() - begun_s < 0.3 + 1.0  # the wait for members, and 1 s for a loaded machine
        await until(lambda: cold.hosts == {"s-1", "s-2"})
        await until(lambda: {s.weight for s in cold.gateway.balancer.servers.values()} == {0.25})
        assert cold.fleet.gauges()["warm_neighbours"] == 3
