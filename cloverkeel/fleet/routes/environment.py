"""What the merge judges by beside the changes: the settings' names, the list of hosts at hand, and what has
been published. docs/routes.md."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from cloverkeel.config import Names
from cloverkeel.fleet.routes.interface import Environment

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway
    from cloverkeel.transforms.activation.part import TransformsPart

PublishedHeaders = Mapping[str, frozenset[str]]


def labels_of(row: Mapping[str, Any]) -> frozenset[str]:
    """The labels of a host as discovery gave it."""
    labels = row.get("labels")
    return frozenset(map(str, labels)) if isinstance(labels, list) else frozenset()


def environment_of(
    names: Names,
    room: Mapping[str, int],
    rows: Iterable[Mapping[str, Any]],
    published: PublishedHeaders | None,
) -> Environment:
    """`rows`: the listed hosts as discovery gave them; with none, groups and labels are not known."""
    rows = list(rows)
    return Environment(
        classes=frozenset(name.decode("utf-8", "replace") for name in names.classes),
        callers=frozenset(name.decode("utf-8", "replace") for name in names.tenants),
        zones=frozenset(names.zones),
        types=frozenset(names.kinds),
        transforms=published,
        capacity=room,
        groups=frozenset(str(row.get("group", 0)) for row in rows) if rows else None,
        labels=frozenset().union(*map(labels_of, rows)) if rows else None,
    )


class GatewayEnvironment:
    """The world of one gateway, as it is now. `transforms`: None where the fleet publishes none."""

    def __init__(
        self, gateway: Gateway, room: Mapping[str, int], transforms: TransformsPart | None = None
    ) -> None:
        self.gateway, self.capacity, self.transforms = gateway, room, transforms
        self.headers_written: dict[str, frozenset[str]] = {}  # headers, by a version's id
        self.last_state: object = None

    async def poll_changed(self) -> Environment | None:
        """The world, where it may be another one than at the last call."""
        gateway = self.gateway
        versions = await self._versions()
        listed = (gateway.discovery.index, gateway.discovery.epoch, len(gateway.listed_hosts))
        now = (listed, gateway.names, versions)
        if now == self.last_state:
            return None
        self.last_state = now
        return environment_of(
            gateway.names, self.capacity, gateway.listed_hosts.values(), self._published(versions)
        )

    async def _versions(self) -> tuple[tuple[str, str], ...] | None:
        """Name and id of each published version that is to be held, once its headers are known; None while
        the ledger has not begun, or where nothing is published here."""
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
    """The headers that a transform may write; what cannot be parsed writes none."""
    from cloverkeel.transforms.source import SourceError, parse

    try:
        return frozenset(name.decode("latin-1") for name in parse(source).manifest.writes)
    except (SourceError, RecursionError, MemoryError):
        return frozenset()
