"""Who lists the hosts, and what a list changes in the pools."""

from __future__ import annotations

from typing import Any, Protocol

from caperdrift.interface import ListKind, ServerList, ServerStatus

from cloverkeel.entries import Entry
from cloverkeel.hosts.pool import Pools


class Lists(Protocol):
    """Who answers when the module asks for the list: the list service, or members that share it."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


def take_list(
    pools: Pools, listed: dict[int, dict[str, Any]], kind: ListKind, entries: list[Entry]
) -> ServerList:
    """Enter a list in the pools and in `listed`, the hosts as discovery gave them; the module's event."""
    if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
        named = {entry.listed.server for entry in entries}
        for id_ in [id_ for id_ in pools.hosts if id_ not in named]:
            pools.remove(id_)
        listed.clear()
    for entry in entries:
        host = entry.listed
        if host.status is ServerStatus.GONE:
            pools.remove(host.server)
            listed.pop(host.server, None)
        else:
            listed[host.server] = entry.raw
            ready = host.status is ServerStatus.READY
            pools.put(host.server, entry.name, entry.address, ready, host.started_us)
    return ServerList(kind, tuple(entry.listed for entry in entries))
