"""A relay of datagrams and streams between members on one machine. It drops, delays, duplicates, reorders and
partitions traffic by rules, with random draws from a seed.

Every member binds an address on a loopback host of its own and advertises the relay's address for it
(`cluster.advertise`). The relay identifies the sender of a datagram or stream by its source host, so members
open their streams from the host that they bind. A datagram is forwarded from the relay's socket for its
sender, so the receiver sees the sender's advertised address. The relay runs in the lab's event loop.
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

FIRST_HOST = int(IPv4Address("127.64.0.0"))  # base of the members' own hosts; each member takes the next one
_host_numbers = itertools.count(1)


@dataclass(slots=True)
class RelayMember:
    """A member behind the relay, with the address that it binds and the one that it advertises."""

    name: str
    host: str
    port: int
    relay_port: int
    datagrams: DatagramPort = field(repr=False)
    streams: StreamPort = field(repr=False)

    @property
    def bind(self) -> str:
        """The address that the member binds, `host:port`."""
        return f"{self.host}:{self.port}"

    @property
    def advertise(self) -> str:
        """The relay's address for the member, `host:port`, which it advertises."""
        return f"127.0.0.1:{self.relay_port}"


class Relay:
    """The members by name, the rules and cuts between them, and counts of the relayed traffic."""

    def __init__(self, seed: int = 1) -> None:
        self.rules = Rules(seed)
        self.members: dict[str, RelayMember] = {}
        self.by_host: dict[str, RelayMember] = {}
        # Keys: lost, passed, refused (datagrams); streams, bytes; strangers (both: from an unknown sender).
        self.counts: Counter[str] = Counter()
        self.sent_by_member: Counter[str] = Counter()  # datagrams, by sending member
        self.cuts_changed = asyncio.Event()  # set, and replaced by a new event, at each cut and heal
        # Called as (source, target, data) for each chunk of a stream; returns the bytes to forward.
        self.mangle: Callable[[str, str, bytes], bytes] | None = None

    async def add_member(self, name: str) -> RelayMember:
        """Add member `name`, with a host and ports of its own. Raises ValueError if the name is in use."""
        if name in self.members:
            raise ValueError(f"member {name} is already behind the relay")
        host = str(IPv4Address(FIRST_HOST + next(_host_numbers)))
        loop = asyncio.get_running_loop()
        relay_port = free_port()
        _, datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramPort(self, name), local_addr=("127.0.0.1", relay_port)
        )
        streams = StreamPort(self, name)
        await streams.start(relay_port)
        member = RelayMember(name, host, free_port(host), relay_port, datagrams, streams)
        self.members[name] = self.by_host[host] = member
        return member

    def set_rule(
        self, rule: Rule, sources: Iterable[str] | None = None, targets: Iterable[str] | None = None
    ) -> None:
        """`Rules.set_rule`, for all traffic from now on."""
        self.rules.set_rule(rule, sources, targets)

    def cut(self, sources: Iterable[str], targets: Iterable[str], one_way: bool = False) -> None:
        """`Rules.cut`: datagrams are lost, including delayed ones not yet forwarded. Streams stall and new
        ones get no answer, as on a silent network; all continue where they stopped after `heal`."""
        self.rules.cut(sources, targets, one_way)
        self._notify_cuts_changed()

    def heal(self) -> None:
        """Remove all cuts; stalled streams continue."""
        self.rules.heal()
        self._notify_cuts_changed()

    def reset_streams(self, sources: Iterable[str], targets: Iterable[str]) -> int:
        """Reset the open streams between the two groups at both ends; returns how many."""
        group, others = set(sources), set(targets)
        reset_count = 0
        for member in self.members.values():
            for stream in list(member.streams.open_streams):
                pair = stream.source, stream.target
                if (pair[0] in group and pair[1] in others) or (pair[1] in group and pair[0] in others):
                    stream.reset()
                    reset_count += 1
        return reset_count

    async def wait_uncut(self, source: str, target: str) -> None:
        """Wait until `source` is not cut off from `target`."""
        while self.rules.is_cut(source, target):
            await self.cuts_changed.wait()

    def _notify_cuts_changed(self) -> None:
        self.cuts_changed.set()
        self.cuts_changed = asyncio.Event()

    async def close(self) -> None:
        """Close every port and reset every stream."""
        for member in self.members.values():
            member.datagrams.close()
            await member.streams.close()
        self.members.clear()
        self.by_host.clear()
