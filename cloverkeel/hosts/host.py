"""What a gateway knows of a host that it may connect to, and its account of all connections."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cloverkeel.config import Address

if TYPE_CHECKING:
    from cloverkeel.hosts.connection import HostConnection


@dataclass(slots=True, eq=False)
class Host:
    """One host as this gateway reaches it."""

    id: int
    name: str
    address: Address
    started_us: int = 0  # as discovery tells it
    draining_since_us: int | None = None  # when this gateway was told that it drains or is gone
    idle: list[HostConnection] = field(default_factory=list)  # the most recently used last
    open_connections: int = 0  # connections up or coming up


@dataclass(slots=True)
class PoolCounts:
    """What the pools have done since the start."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0  # taken from the idle ones and found ended, or too old
    called_off: int = 0  # closed under an attempt: cancelled or timed out
    lost: int = 0  # ended by the host under an attempt
    ended_idle: int = 0  # ended by the host while idle
    spare: int = 0  # idle for too long
    given_up: int = 0  # idle, closed to gain a descriptor
