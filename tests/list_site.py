"""Gateways of one cluster within the test process, on real sockets, and the list service that they share."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cloverkeel.config import parse
from cloverkeel.fleet.start import FleetParts
from cloverkeel.gateway import Gateway
from tests.sockets import Exchange, Peer, configuration, endpoint, hosts_list, peer, reply, until

CLUSTER: dict[str, Any] = {"name": "site", "bind": "127.0.0.1:0", "list_calls_per_s": 20}


class Registry:
    """The list service: answers with full lists, and watches with the delta since a given index."""

    def __init__(self, *names: str, index: int = 100) -> None:
        self.index, self.first = index, index
        self.entries = {name: self.entry(name) for name in names}
        self.log: list[dict[str, object]] = []  # changed entries, from index `first` on
        self.changed = asyncio.Event()
        self.up = True  # False: connections are reset

    @staticmethod
    def entry(name: str, **extra: object) -> dict[str, object]:
        return {**endpoint(name, "127.0.0.1:9"), **extra}

    def change(self, name: str, status: str) -> None:
        """Add, change or delete one host; open watches are answered."""
        entry = self.entry(name, status=status)
        self.entries[name] = entry
        if status == "DELETED":
            del self.entries[name]
        self.log.append(entry)
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def restart(self, index: int, *names: str) -> None:
        """Restart with another list and a lower index; open watches end."""
        self.index, self.first, self.log = index, index, []
        self.entries = {name: self.entry(name) for name in names}
        self.changed.set()
        self.changed = asyncio.Event()

    async def script(self, exchange: Exchange) -> None:
        if not self.up:
            exchange.reset()
            return
        query = parse_qs(urlsplit(exchange.message.first.split(" ")[1]).query)
        from_index = int(query["from"][0]) if "from" in query else None
        if from_index == self.index:
            await asyncio.wait(
                [asyncio.ensure_future(self.changed.wait())], timeout=int(query["hold_ms"][0]) / 1000
            )
        if from_index is None or not self.first <= from_index <= self.index:
            listed = hosts_list(self.index, *self.entries.values())
        else:
            listed = hosts_list(self.index, *self.log[from_index - self.first :], snapshot=False)
        exchange.answer(reply(200, json.dumps(listed).encode()))


class Node:
    """One gateway as a cluster member, without a listener for clients."""

    def __init__(self, name: str, discovery: str, seeds: list[str], **more: Any) -> None:
        config = configuration(discovery=discovery) | {"name": name, "known": more.pop("known", {})}
        config["settings"]["membershipMode"] = more.pop("mode", "on_request")
        config["cluster"] = CLUSTER | {"seeds": seeds} | more
        parsed = parse(config)
        assert parsed.cluster is not None
        self.name, self.gateway = name, Gateway(parsed)
        self.fleet = FleetParts(parsed, parsed.cluster, self.gateway, None, False)

    async def start(self) -> None:
        await self.fleet.start()
        self.gateway.start()

    @property
    def address(self) -> str:
        assert self.fleet.membership is not None
        return self.fleet.membership.address

    @property
    def hosts(self) -> set[str]:
        return {str(raw["name"]) for raw in self.gateway.listed_hosts.values()}

    @property
    def index(self) -> int | None:
        return self.gateway.discovery.index

    @property
    def rows(self) -> list[dict[str, Any]]:
        """The member table as operators see it."""
        rows = json.loads(self.fleet.members_answer().body)["members"]
        assert isinstance(rows, list)
        return rows

    def count(self, name: str) -> int:
        return self.fleet.counters()[name]

    def close(self) -> None:
        self.fleet.close()
        self.gateway.close()


class Site:
    """A cluster of nodes; the first one added is the seed of the others."""

    def __init__(self, registry: Registry, service: Peer) -> None:
        self.registry, self.service = registry, service
        self.nodes: dict[str, Node] = {}

    async def add(self, name: str, discovery: str = "", **more: Any) -> Node:
        seeds = [next(iter(self.nodes.values())).address] if self.nodes else []
        node = Node(name, discovery or self.service.address, seeds, **more)
        self.nodes[name] = node
        await node.start()
        return node

    async def wait_for_hosts(self, *hosts: str) -> None:
        """Wait until every node's gateway lists exactly these hosts."""
        await until(lambda: all(node.hosts == set(hosts) for node in self.nodes.values()))


@asynccontextmanager
async def site(*hosts: str) -> AsyncIterator[Site]:
    """A cluster without nodes, with a list service that lists these hosts."""
    registry = Registry(*hosts)
    async with peer(registry.script) as service:
        cluster = Site(registry, service)
        try:
            yield cluster
        finally:
            for node in cluster.nodes.values():
                node.close()
