"""One member's advertised datagram port at the relay."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from faultlab.relay import Relay, RelayMember


class DatagramPort(asyncio.DatagramProtocol):
    """Receives what others send to member `name` and forwards or drops it by the relay's rules."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay = relay
        self.name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        relay = self.relay
        source = relay.by_host.get(addr[0])
        target = relay.members.get(self.name)
        if source is None or target is None or source.port != addr[1]:
            relay.counts["strangers"] += 1
            return
        relay.sent_by_member[source.name] += 1
        delays_s = relay.rules.copy_delays_s(source.name, target.name)
        if not delays_s:
            relay.counts["lost"] += 1
        for delay_s in delays_s:
            if delay_s > 0.0:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self._forward, data, source, target)
            else:
                self._forward(data, source, target)

    def _forward(self, data: bytes, source: RelayMember, target: RelayMember) -> None:
        transport = source.datagrams.transport
        if transport is None or transport.is_closing() or self.relay.rules.is_cut(source.name, target.name):
            self.relay.counts["lost"] += 1
            return
        transport.sendto(data, (target.host, target.port))
        self.relay.counts["passed"] += 1

    def error_received(self, exc: Exception) -> None:
        """Counts a datagram that a killed member's port has refused; the sender sees no answer."""
        self.relay.counts["refused"] += 1

    def close(self) -> None:
        """Close the port."""
        if self.transport is not None:
            self.transport.close()
