"""A host as the connection pool sees it, and the pool's counters."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cloverkeel.config import Address

if TYPE_CHECKING:
    from cloverkeel.hosts.connection import HostConnection


@dataclass(slots=True, eq=False)
class Host:
    """One host: its address, and the gateway's connections to it."""

    id: int
    name: str
    address: Address
    started_us: int = 0  # when the host process started, as discovery reports it
    draining_since_us: int | None = None  # since discovery reported it as draining or gone
    idle: list[HostConnection] = field(default_factory=list)  # most recently used last
    open_connections: int = 0  # established or being established


@dataclass(slots=True)
class PoolCounts:
    """Counters of the connection pool since the start of the process; the log shows them by these names."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0  # idle, and found closed or expired when taken for an attempt
    called_off: int = 0  # closed during an attempt that was cancelled or timed out
    lost: int = 0  # closed by the host during an attempt
    ended_idle: int = 0  # closed by the host while idle
    spare: int = 0  # closed after being idle too long
    given_up: int = 0  # idle, closed to free a descriptor
    no_descriptor: int = 0  # not opened, as no descriptor was left
