"""The known hosts and the idle connections to them."""

from __future__ import annotations

from bisect import bisect_right

from caperdrift.interface import Settings

from cloverkeel.clock import now_us
from cloverkeel.config import Address
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.host import Host, PoolCounts
from cloverkeel.memory import MemoryBudget

IDLE_TIMEOUT_SHARE = 0.8  # of the hosts' keep-alive time: a connection that was idle for longer is closed
SPARE_IDLE_TIMEOUT_US = 5_000_000  # the same for surplus connections, left over from a burst
# Time between a response and the next request on a connection: a second response, which belongs to no
# request, may come some milliseconds late.
REUSE_DELAY_US = 10_000
RETAINED_IDLE = 1  # idle connections of a host that are not surplus


class IdleConnections:
    """Keeps the known hosts, and for each of them a stack of idle connections."""

    def __init__(self, settings: Settings, memory: MemoryBudget) -> None:
        self.settings, self.memory = settings, memory
        self.hosts: dict[int, Host] = {}
        self.counts = PoolCounts()

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Adds a host or updates its address, start time and readiness."""
        host = self.hosts.get(id_)
        if host is None:
            host = self.hosts[id_] = Host(id_, name, address, started_us)
        if (host.address, host.started_us) != (address, started_us):
            # Connections to the previous process are closed: a machine that failed may not have closed them,
            # and a request written to one of them ends in a reset.
            host.address, host.started_us = address, started_us
            self.close_idle(id_)
        if ready:
            host.draining_since_us = None
        else:
            self.drain_host(host)

    def drain_host(self, host: Host) -> None:
        """Marks a host as draining and closes its idle connections."""
        if host.draining_since_us is None:
            host.draining_since_us = now_us()
        while host.idle:
            host.idle.pop().close()

    def remove_host(self, id_: int) -> None:
        """Removes a host; attempts in flight to it may still finish."""
        host = self.hosts.pop(id_, None)
        if host is not None:
            self.drain_host(host)

    def close_idle(self, id_: int) -> None:
        """Closes all idle connections of a host."""
        host = self.hosts.get(id_)
        while host is not None and host.idle:
            host.idle.pop().close()

    def take_idle(self, host: Host) -> HostConnection | None:
        """Returns the most recently used idle connection past the reuse delay, or None.

        Taking from the top of the stack lets surplus connections at the bottom expire. The reuse delay
        exposes a late second response: after the next request is written, it would pass for its response.
        """
        now = now_us()
        min_idle_since_us = now - int(self.settings.keepalive_us * IDLE_TIMEOUT_SHARE)
        position = bisect_right(
            host.idle, now - REUSE_DELAY_US, key=lambda connection: connection.idle_since_us
        )
        while position:
            position -= 1
            connection = host.idle.pop(position)
            if connection.idle_since_us >= min_idle_since_us and connection.is_quiet():
                return connection
            self.counts.stale += 1
            connection.close()
        return None

    def keep_idle(self, connection: HostConnection) -> None:
        """Returns a connection to the idle ones, or closes it if its host drains or has moved."""
        host = connection.host
        if host.draining_since_us is not None or connection.address != host.address:
            connection.close()
            return
        if host.idle and not self.memory.free:
            connection.close()  # what it holds is needed for requests
            return
        connection.charge()
        connection.idle_since_us = now_us()
        host.idle.append(connection)

    def close_expired(self, now: int) -> None:
        """Closes connections that have been idle too long, well before the host closes them."""
        oldest_us = now - int(self.settings.keepalive_us * IDLE_TIMEOUT_SHARE)
        oldest_surplus_us = now - SPARE_IDLE_TIMEOUT_US
        for host in self.hosts.values():
            while host.idle:
                limit_us = max(oldest_surplus_us, oldest_us) if len(host.idle) > RETAINED_IDLE else oldest_us
                if host.idle[0].idle_since_us >= limit_us:
                    break
                host.idle.pop(0).close()
                self.counts.spare += 1

    def close_longest_idle(self) -> bool:
        """Closes the connection that has been idle the longest; returns False if there is none."""
        hosts = [host for host in self.hosts.values() if host.idle]
        if not hosts:
            return False
        min(hosts, key=lambda host: host.idle[0].idle_since_us).idle.pop(0).close()
        self.counts.given_up += 1
        return True
