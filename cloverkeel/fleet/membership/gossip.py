"""Runs the protocol core over UDP: receives and sends datagrams, ticks, and counts what it drops."""

from __future__ import annotations

import asyncio
import socket
import traceback
from collections import Counter
from collections.abc import Callable, Container
from typing import cast

from cloverkeel.fleet.events import event
from cloverkeel.fleet.membership.codec import Codec, DatagramError, parse_address
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import Action, Message, Ping, PingReq, Send

DROP_LOG_INTERVAL_S = 1.0  # shortest interval between two log lines about dropped datagrams


class GossipTransport(asyncio.DatagramProtocol):
    """Runs one protocol core at a time on a UDP socket. `on_action` is called with every action but Send."""

    def __init__(self, codec: Codec, on_action: Callable[[Action], None]) -> None:
        self.codec, self.on_action = codec, on_action
        self.member: Member | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.counts: Counter[str] = Counter()
        self.last_heard_s: dict[str, float] = {}  # by member: time of its last message, on the loop's clock
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.last_drop_log_s = -DROP_LOG_INTERVAL_S
        self.drops_since_log = 0  # dropped datagrams since the last log line about them
        self.extra_transports: list[asyncio.BaseTransport] = []

    async def open(self, sock: socket.socket) -> None:
        """Use a bound UDP socket to receive and send. Raises OSError."""
        await self.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    async def open_extra(self, sock: socket.socket) -> None:
        """Receive on another socket as well; answers are sent from the first one. Raises OSError."""
        transport, _ = await self.loop.create_datagram_endpoint(lambda: _ExtraSocketProtocol(self), sock=sock)
        self.extra_transports.append(transport)

    def run_member(self, member: Member) -> None:
        """Start a core, in place of the current one if there is one, and the tick."""
        self.member = member
        timing = member.timing
        self.tick_s = min(timing.probe_interval_s, timing.probe_timeout_s) / 4
        self.perform(member.start(self.loop.time()))
        if self.timer is None:
            self.next_tick_s = self.loop.time() + self.tick_s
            self.timer = self.loop.call_later(self.tick_s, self.tick)

    def tick(self) -> None:
        """Advance the core, and tell it when the tick came so late that this process must have stalled."""
        now_s = self.loop.time()
        late_s = now_s - self.next_tick_s
        self.next_tick_s = now_s + self.tick_s
        self.timer = self.loop.call_later(self.tick_s, self.tick)
        member = self.member
        if member is None:
            return
        if late_s > 2 * self.tick_s:  # what has arrived meanwhile may not be read yet
            self.counts["stalls"] += 1
            member.on_stall(late_s)
        self.run_step(lambda: member.tick(now_s))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it to the core, or count it as dropped."""
        self.counts["datagrams_in"] += 1
        try:
            message = self.codec.decode(data)
        except DatagramError as error:
            self.record_drop(error.reason, f"{addr[0]}:{addr[1]}", str(error))
            return
        self.receive(message)

    def receive(self, message: Message) -> None:
        """Pass a message to the core, whether it came by datagram or over a stream."""
        member = self.member
        if member is not None:
            now_s = self.loop.time()
            self.run_step(lambda: member.receive(message, now_s))
            if message.sender.name in member.view.members:
                self.last_heard_s[message.sender.name] = now_s

    def retain_members(self, names: Container[str]) -> None:
        """Drop the state about members other than `names`."""
        self.last_heard_s = {name: at_s for name, at_s in self.last_heard_s.items() if name in names}

    def run_step(self, step: Callable[[], list[Action]]) -> None:
        """Run one step of the core. An exception is a bug of ours: it is logged, and the member goes on."""
        try:
            actions = step()
        except Exception:
            self.record_drop("failed", "", traceback.format_exc(limit=-3))
            return
        self.perform(actions)

    def perform(self, actions: list[Action]) -> None:
        """Perform the core's actions, in order."""
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
                continue
            try:
                self.on_action(action)
            except Exception:  # raised by a listener; the other actions are performed all the same
                self.record_drop("failed", "", traceback.format_exc(limit=-3))

    def send(self, action: Send) -> None:
        """Send one datagram, or count it as dropped."""
        message = action.message
        if isinstance(message, Ping):
            self.counts["probes"] += 1
        elif isinstance(message, PingReq):
            self.counts["indirect_probes"] += 1
        try:
            data = self.codec.encode(message)
            if self.transport is not None and not self.transport.is_closing():
                self.transport.sendto(data, parse_address(action.address))
                self.counts["datagrams_out"] += 1
        except (ValueError, OSError) as error:
            self.record_drop("unsendable", action.address, str(error))

    def error_received(self, exc: Exception) -> None:
        self.counts["send_errors"] += 1

    def record_drop(self, reason: str, source: str, detail: str) -> None:
        """Count a dropped datagram, or a failed step, and log it at most once per DROP_LOG_INTERVAL_S."""
        self.counts[f"dropped_{reason}"] += 1
        self.drops_since_log += 1
        now_s = self.loop.time()
        if now_s - self.last_drop_log_s >= DROP_LOG_INTERVAL_S:
            event(
                "members.dropped",
                reason=reason,
                source=source,
                detail=detail,
                since_last=self.drops_since_log,
            )
            self.last_drop_log_s, self.drops_since_log = now_s, 0

    def close(self) -> None:
        """Stop the core and close all sockets."""
        self.member = None
        if self.timer is not None:
            self.timer.cancel()
        for transport in (self.transport, *self.extra_transports):
            if transport is not None:
                transport.close()


class _ExtraSocketProtocol(asyncio.DatagramProtocol):
    """Receives on a further socket of the same member."""

    def __init__(self, gossip: GossipTransport) -> None:
        self.datagram_received = gossip.datagram_received  # type: ignore[method-assign]
