"""A relay of datagrams and streams between members on one machine, which loses, delays, doubles, reorders and
cuts by rule and seed.

Every member binds an address on a loopback host of its own and tells others the relay's address for it
(`cluster.advertise`); who sent a datagram or opened a stream is known by the host it comes from, so members
open their streams from the host that they bind. Datagrams go on from the relay's socket for their sender, so
that a receiver sees its advertised address. It runs in the lab's event loop.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from faultlab.ports import free_port
from faultlab.relay.datagrams import DatagramPort
from faultlab.relay.rules import Rule, Rules
from faultlab.relay.streams import StreamPort

__all__ = ["Relay", "RelayMember", "Rule"]

FIRST_HOST = int(IPv4Address("127.64.0.0"))  # the first of the members' own hosts; each relay takes the next
_host_numbers = itertools.count(1)


@dataclass(slots=True)
class RelayMember:
    """A member's place behind the relay: the address it binds and the one it advertises, both `host:port`."""

    name: str
    host: str
    port: int
    relay_port: int
    datagrams: DatagramPort = field(repr=False)
    streams: StreamPort = field(repr=False)

    @property
    def bind(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def advertise(self) -> str:
        return f"127.0.0.1:{self.relay_port}"


class Relay:
    """Places by name, the rules between them, and counts of what passed (`counts["sent"]` by sender too)."""

    def __init__(self, seed: int = 1) -> None:
        self.rules = Rules(seed)
        self.members: dict[str, RelayMember] = {}
        self.by_host: dict[str, RelayMember] = {}
        self.counts: Counter[str] = Counter()  # sent, lost, passed, strangers; streams, bytes
        self.sent_by_member: Counter[str] = Counter()  # datagrams by the member that sent them
        self.cuts_changed = asyncio.Event()  # replaced at each change of the rules
        # What becomes of a stream's next piece, from one member to another; None: it passes as it is.
        self.mangle: Callable[[str, str, bytes], bytes] | None = None

    async def add_member(self, name: str) -> RelayMember:
        """A place for member `name`, with a host and ports of its own. Raises ValueError for a name known."""
        if name in self.members:
            raise ValueError(f"{name} has its place already")
        host = str(IPv4Address(FIRST_HOST + next(_host_numbers)))
        loop = asyncio.get_running_loop()
        relay_port = free_port()
        _, datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramPort(self, name), local_addr=("127.0.0.1", relay_port)
        )
        streams = StreamPort(self, name)
        await streams.start(relay_port)
        place = RelayMember(name, host, free_port(host), relay_port, datagrams, streams)
        self.members[name] = self.by_host[host] = place
        return place

    def set_rule(
        self, rule: Rule, sources: Iterable[str] | None = None, targets: Iterable[str] | None = None
    ) -> None:
        """`Rules.set`, at once for all that passes from now on."""
        self.rules.set_rule(rule, sources, targets)

    def cut(self, sources: Iterable[str], targets: Iterable[str], one_way: bool = False) -> None:
        """`Rules.cut`: datagrams are lost, also those on their way; streams stand still and new ones get no
        answer, as on a network that has fallen silent, and all go on where they stood after `heal`."""
        self.rules.cut(sources, targets, one_way)
        self._notify_cuts_changed()

    def heal(self) -> None:
        self.rules.heal()
        self._notify_cuts_changed()

    def reset_streams(self, sources: Iterable[str], targets: Iterable[str]) -> int:
        """Break the open streams between the two groups, with a reset at both ends; returns how many."""
        ends, others = set(sources), set(targets)
        broken = 0
        for place in self.members.values():
            for stream in list(place.streams.open_streams):
                pair = stream.source, stream.target
                if (pair[0] in ends and pair[1] in others) or (pair[1] in ends and pair[0] in others):
                    stream.reset()
                    broken += 1
        return broken

    async def wait_uncut(self, source: str, target: str) -> None:
        """Returns once nothing cuts `source` from `target`."""
        while self.rules.is_cut(source, target):
            await self.cuts_changed.wait()

    def _notify_cuts_changed(self) -> None:
        self.cuts_changed.set()
        self.cuts_changed = asyncio.Event()

    async def close(self) -> None:
        """Close every port and break every stream."""
        for place in self.members.values():
            place.datagrams.close()
            await place.streams.close()
        self.members.clear()
        self.by_host.clear()
