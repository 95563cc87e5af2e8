"""The hosts, and the connections to each that wait for a request."""

from __future__ import annotations

from bisect import bisect_right

from caperdrift.interface import Settings

from cloverkeel.clock import now_us
from cloverkeel.config import Address
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.host import Host, PoolCounts

IDLE_TIMEOUT_SHARE = 0.8  # of the host's idle time: no connection is kept unused for longer
SPARE_IDLE_TIMEOUT_US = 5_000_000  # the same for what only a burst has needed
REUSE_DELAY_US = (
    10_000  # between an answer and the next request; a second answer may be some milliseconds late
)
RETAINED_IDLE = 1  # connections of a host that may stay idle for longer than that


class IdleConnections:
    """Which hosts there are, and the idle connections to them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.hosts: dict[int, Host] = {}
        self.counts = PoolCounts()

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Learn of a host, of its new address, that it has started anew, or that it drains."""
        host = self.hosts.get(id_)
        if host is None:
            host = self.hosts[id_] = Host(id_, name, address, started_us)
        if (host.address, host.started_us) != (address, started_us):
            # Guards against writing to a connection of its earlier life: a machine that went silent may not
            # have ended it, and what is written there ends as a reset.
            host.address, host.started_us = address, started_us
            self.close_idle(id_)
        if ready:
            host.draining_since_us = None
        else:
            self.drain_host(host)

    def drain_host(self, host: Host) -> None:
        if host.draining_since_us is None:
            host.draining_since_us = now_us()
        while host.idle:
            host.idle.pop().close()

    def remove_host(self, id_: int) -> None:
        """Forget a host that is gone; what is out there still ends as it will."""
        host = self.hosts.pop(id_, None)
        if host is not None:
            self.drain_host(host)

    def close_idle(self, id_: int) -> None:
        host = self.hosts.get(id_)
        while host is not None and host.idle:
            host.idle.pop().close()

    def take_idle(self, host: Host) -> HostConnection | None:
        """The most recently used free connection that has rested: those at the bottom of the stack age.

        Guards against a second answer that comes late: once the next request is written, nobody could tell
        it from that one's own.
        """
        now = now_us()
        oldest_us = now - int(self.settings.keepalive_us * IDLE_TIMEOUT_SHARE)
        rested = bisect_right(
            host.idle, now - REUSE_DELAY_US, key=lambda connection: connection.idle_since_us
        )
        while rested:
            rested -= 1
            connection = host.idle.pop(rested)
            if connection.idle_since_us >= oldest_us and connection.is_quiet():
                return connection
            self.counts.stale += 1
            connection.close()
        return None

    def keep_idle(self, connection: HostConnection) -> None:
        host = connection.host
        if host.draining_since_us is not None or connection.address != host.address:
            connection.close()
            return
        connection.idle_since_us = now_us()
        host.idle.append(connection)

    def close_expired(self, now: int) -> None:
        """Close what has been idle for too long, well before the host does it."""
        oldest_us = now - int(self.settings.keepalive_us * IDLE_TIMEOUT_SHARE)
        spare_us = now - SPARE_IDLE_TIMEOUT_US
        for host in self.hosts.values():
            while host.idle:
                limit_us = max(spare_us, oldest_us) if len(host.idle) > RETAINED_IDLE else oldest_us
                if host.idle[0].idle_since_us >= limit_us:
                    break
                host.idle.pop(0).close()
                self.counts.spare += 1

    def close_longest_idle(self) -> bool:
        """Close the connection that was idle for the longest time, to gain a descriptor."""
        hosts = [host for host in self.hosts.values() if host.idle]
        if not hosts:
            return False
        min(hosts, key=lambda host: host.idle[0].idle_since_us).idle.pop(0).close()
        self.counts.given_up += 1
        return True
