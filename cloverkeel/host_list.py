"""The source of lists of hosts, and their effect on the connection pools."""

from __future__ import annotations

from typing import Any, Protocol

from caperdrift.interface import ListKind, ServerList, ServerStatus

from cloverkeel.host_entries import HostEntry
from cloverkeel.hosts.pool import Pools


class ListSource(Protocol):
    """Provides lists of hosts: the list service, or members that share its lists.

    `watch` starts or stops following changes of the list; `fetch` requests the full list once.
    """

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


def apply_list(
    pools: Pools, listed: dict[int, dict[str, Any]], kind: ListKind, entries: list[HostEntry]
) -> ServerList:
    """Apply a list to the pools and to `listed` (JSON objects by number), and build the Balancer's event."""
    if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
        present = {entry.listed_server.server for entry in entries}
        for id_ in [id_ for id_ in pools.hosts if id_ not in present]:
            pools.remove_host(id_)
        listed.clear()
    for entry in entries:
        host = entry.listed_server
        if host.status is ServerStatus.GONE:
            pools.remove_host(host.server)
            listed.pop(host.server, None)
        else:
            listed[host.server] = entry.raw
            ready = host.status is ServerStatus.READY
            pools.update_host(host.server, entry.name, entry.address, ready, host.started_us)
    return ServerList(kind, tuple(entry.listed_server for entry in entries))
