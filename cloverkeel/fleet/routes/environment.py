"""The environment that the merge validates routes against. docs/routes.md.

It consists of the names in the settings, the current list of hosts, and the published transforms.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from cloverkeel.config import Names
from cloverkeel.fleet.routes.interface import Environment

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway
    from cloverkeel.transforms.activation.part import TransformsPart

PublishedHeaders = Mapping[str, frozenset[str]]  # by published transform: the headers that it may write


def labels_of(row: Mapping[str, Any]) -> frozenset[str]:
    """The labels of a host, as listed by discovery."""
    labels = row.get("labels")
    return frozenset(map(str, labels)) if isinstance(labels, list) else frozenset()


def environment_of(
    names: Names,
    capacity: Mapping[str, int],
    rows: Iterable[Mapping[str, Any]],
    published: PublishedHeaders | None,
) -> Environment:
    """The environment from its sources. `rows`: the hosts as listed by discovery; if none, groups and labels
    are unknown."""
    rows = list(rows)
    return Environment(
        classes=frozenset(name.decode("utf-8", "replace") for name in names.classes),
        callers=frozenset(name.decode("utf-8", "replace") for name in names.tenants),
        zones=frozenset(names.zones),
        types=frozenset(names.kinds),
        transforms=published,
        capacity=capacity,
        groups=frozenset(str(row.get("group", 0)) for row in rows) if rows else None,
        labels=frozenset().union(*map(labels_of, rows)) if rows else None,
    )


class GatewayEnvironment:
    """Tracks the environment of one gateway. `transforms`: None if the fleet does not publish any."""

    def __init__(
        self, gateway: Gateway, capacity: Mapping[str, int], transforms: TransformsPart | None = None
    ) -> None:
        self.gateway, self.capacity, self.transforms = gateway, capacity, transforms
        self.headers_written: dict[str, frozenset[str]] = {}  # by version id
        self.last_state: object = None

    async def poll_changed(self) -> Environment | None:
        """The environment, if it may have changed since the last call, else None."""
        gateway = self.gateway
        versions = await self._versions()
        listed = (gateway.discovery.index, gateway.discovery.epoch, len(gateway.listed_hosts))
        state = (listed, gateway.names, versions)
        if state == self.last_state:
            return None
        self.last_state = state
        return environment_of(
            gateway.names, self.capacity, gateway.listed_hosts.values(), self._published(versions)
        )

    async def _versions(self) -> tuple[tuple[str, str], ...] | None:
        """Name and id of each published version that this gateway should have; also reads their headers. None
        until the ledger has started, or if the fleet publishes no transforms."""
        activator = self.transforms.activator if self.transforms is not None else None
        if activator is None:
            return None
        wanted = {
            id: order for id, order in activator.core.ledger_state.versions_to_stage().items() if order.source
        }
        for id, order in wanted.items():
            if id not in self.headers_written:
                self.headers_written[id] = await asyncio.to_thread(_headers_written, order.source)
        self.headers_written = {id: self.headers_written[id] for id in wanted}
        return tuple(sorted((order.name, id) for id, order in wanted.items()))

    def _published(self, versions: tuple[tuple[str, str], ...] | None) -> PublishedHeaders | None:
        if versions is None:
            return None
        found: dict[str, frozenset[str]] = {}
        for name, id in versions:
            found[name] = found.get(name, frozenset()) | self.headers_written[id]
        return found


def _headers_written(source: bytes) -> frozenset[str]:
    """The headers that a transform may write; none if the source cannot be parsed."""
    from cloverkeel.transforms.source import SourceError, parse

    try:
        return frozenset(name.decode("latin-1") for name in parse(source).manifest.writes)
    except (SourceError, RecursionError, MemoryError):
        return frozenset()
