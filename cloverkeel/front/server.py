"""All connections of clients: the listener, guards against idle and late ones, the way out at a restart."""

from __future__ import annotations

import asyncio
import itertools
import math
import select
import socket
from collections.abc import Callable
from functools import partial

from caperdrift.interface import RequestClass

from cloverkeel.config import Config, merge_reloaded, load
from cloverkeel.errors import ConfigError
from cloverkeel.front.connection import FIRST_REQUEST_GRACE_S, ClientConnection
from cloverkeel.gateway import Gateway
from cloverkeel.http1 import WRITE_STALL_S, log

ACCEPT_AFTER_TERM_S = 1.0  # after SIGTERM: new connections go on coming for 0.4 s
KILL_GRACE_S = 0.7  # after SIGTERM and the longest deadline, which counts as LONGEST_S where it is longer
MAX_DEADLINE_S = 3.0
FAIL_MARGIN_S = 0.1  # before that, this process answers what is left ...
EXIT_MARGIN_S = 0.06  # ... and ends by itself, so long before
SWEEP_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 10.0
POLL_INTERVAL_S = 0.02
BACKLOG = 1024
DESCRIPTOR_RESERVE = 64  # kept free of idle connections; half of it of clients, for hosts and discovery
OWN_DESCRIPTORS = 24  # of the process itself: standard streams, loop, signals, listeners, discovery, store
MIN_CLIENT_IDLE_S = 2.0  # a client's connection is left alone for so long after an answer


class Server:
    """All connections of clients."""

    def __init__(self, config: Config, gateway: Gateway, inherited: socket.socket | None = None) -> None:
        self.config, self.gateway = config, gateway
        self.connections: dict[ClientConnection, None] = {}  # the longest without an answer first
        self.lingering: dict[ClientConnection, None] = {}  # shut down, not yet closed; the first one first
        self.draining = False
        self.deadline_passed = False  # on the way out: what is owed now is answered as failed
        self.listener: asyncio.Server | None = None
        self.inherited_socket = inherited  # others accept from it too
        self.accepting = False
        self.other_descriptors: Callable[[], int] = int  # descriptors of the process's other parts
        self.reload_listeners: list[Callable[[Config], None]] = []  # who else goes by a new configuration
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)
        asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self.report)
        gateway.pools.before_open = self.reclaim_descriptors

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        made = partial(ClientConnection, self)
        if self.inherited_socket is not None:
            self.listener = await loop.create_server(
                made, sock=self.inherited_socket, backlog=BACKLOG, start_serving=False
            )
        else:
            self.listener = await loop.create_server(
                made, *self.config.listen, backlog=BACKLOG, start_serving=False
            )
        self.gateway.start()  # nobody is let in before there is a list of hosts to serve from
        await self.listener.start_serving()
        self.accepting = True

    @property
    def is_ready(self) -> bool:
        return self.accepting and not self.draining and self.gateway.can_serve

    @property
    def active_classes(self) -> list[RequestClass]:
        """Those that the file names now: the platform goes by their deadlines, not by a dropped one's."""
        return [klass for klass in self.config.settings.classes if not klass.dropped]

    @property
    def drain_timeout_s(self) -> float:
        """How long after the signal this process may take, before what is left is answered as failed."""
        longest_s = max(c.give_up_us for c in self.active_classes) / 1e6
        return min(MAX_DEADLINE_S, longest_s) + KILL_GRACE_S - FAIL_MARGIN_S

    async def drain(self) -> None:
        """The way out: every request that was taken, or waits to be accepted, is answered first."""
        self.draining = True
        loop = asyncio.get_running_loop()
        if self.inherited_socket is not None:
            # Another process has taken over: it accepts what waits and what comes. Closing an idle connection
            # may cross a request on it, so each is left to its next answer while there is time for that.
            if self.listener is not None:
                self.listener.close()
            longest_aim_s = max(c.aim_us for c in self.active_classes) / 1e6
            last_s = loop.time() + self.drain_timeout_s - longest_aim_s
            while self.connections and loop.time() < last_s:
                # Hosts' connection tables and the descriptors are the new process's too: it needs them now.
                self.gateway.pools.close_longest_idle()
                await asyncio.sleep(POLL_INTERVAL_S)
        else:
            accept_until_s = loop.time() + min(ACCEPT_AFTER_TERM_S, self.drain_timeout_s - FAIL_MARGIN_S)
            while loop.time() < accept_until_s:
                self.close_idle()
                await asyncio.sleep(POLL_INTERVAL_S)
            await self.stop_accepting()
        await asyncio.sleep(POLL_INTERVAL_S)  # what was accepted last is told of one round of the loop later
        while self.connections or self.lingering:
            self.close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop_accepting(self) -> None:
        """Close the listener once nobody waits in it: whom the system has let in, it would reset."""
        if self.listener is None:
            return
        waiting = select.poll()
        for listening in self.listener.sockets:
            if listening.fileno() >= 0:  # else the loop has closed it, for an error
                waiting.register(listening.fileno(), select.POLLIN)
        while any(flags & select.POLLIN for _, flags in waiting.poll(0)):
            await asyncio.sleep(0)
        self.listener.close()

    async def fail_pending(self) -> int:
        """Answer as failed all that is still owed, and end every connection; returns on how many it was owed.

        Clients have nearly all of the time that is left to read it.
        """
        self.deadline_passed = True
        if self.listener is not None:
            self.listener.close()
        owed = sum(c.current is not None or bool(c.queue) for c in self.connections)
        for connection in list(self.connections):
            connection.fail_pending()
        loop = asyncio.get_running_loop()
        last_s = loop.time() + FAIL_MARGIN_S - EXIT_MARGIN_S
        while (self.connections or self.lingering) and loop.time() < last_s:
            await asyncio.sleep(POLL_INTERVAL_S / 4)
        return owed

    def close_idle(self) -> None:
        for connection in [c for c in self.connections if c.is_idle()]:
            connection.close()

    def sweep(self) -> None:
        """Guards against peers that connect and send nothing, never end what they began, or go unseen."""
        loop = asyncio.get_running_loop()
        loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now_s = loop.time()
        for connection in [c for c in self.connections if c.is_overdue(now_s)]:
            connection.on_request_timeout()
        for connection in [c for c in self.connections if c.write_blocked_since_s < now_s - WRITE_STALL_S]:
            connection.abort()
        for connection in [c for c in self.connections if c.paused_since_s != math.inf]:
            connection.check_gone()  # the loop tells of no end while reading is paused

    def reload(self) -> None:
        """Take up what the configuration's file says now: all of it, or nothing where it cannot be used."""
        telemetry = self.gateway.telemetry
        try:
            config = load(complete=True)
        except ConfigError as error:
            telemetry.load_errors += 1
            log(f"not reconfigured: {error}")
            return
        if config.cluster != self.config.cluster:
            log("cluster stays as it was at the start: for another, upgrade or start again")
        self.config = merge_reloaded(self.config, config)
        self.gateway.reconfigure(self.config)
        for listener in self.reload_listeners:
            listener(self.config)
        telemetry.loads += 1
        host, port = self.config.discovery
        log(f"reconfigured: {len(self.config.names.classes)} classes; discovery is at {host}:{port}")

    def report(self) -> None:
        """Tell now and then what holds descriptors, and why connections were opened and closed."""
        asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self.report)
        pools = self.gateway.pools
        log(
            f"connections: {len(self.connections)} of clients, "
            f"{pools.open_connections} to hosts; {pools.counts}"
        )

    @property
    def free_descriptors(self) -> int:
        clients = len(self.connections) + len(self.lingering)
        return (
            self.config.sockets
            - OWN_DESCRIPTORS
            - clients
            - self.gateway.pools.open_connections
            - self.other_descriptors()
        )

    @property
    def low_on_descriptors(self) -> bool:
        """Whether descriptors are too short to wait for a client's end, or for its next request."""
        return self.free_descriptors < DESCRIPTOR_RESERVE // 2

    def reclaim_descriptors(self) -> None:
        """Give up idle connections when descriptors run short: first a client's, which costs no host work."""
        if self.free_descriptors > DESCRIPTOR_RESERVE:
            return
        self.abort_longest_lingering()
        if (
            not (self.close_longest_idle() or self.gateway.pools.close_longest_idle())
            and self.low_on_descriptors
        ):
            self.close_longest_idle(0.0, 0.0)

    def admit_connection(self) -> bool:
        """Whether a client's new connection may stay. Others are given up for it where these run short.

        Guards against idle clients that come faster than they are closed, and would leave no descriptor for
        hosts and discovery. Who has sent nothing for the longest gives way to who may have something to send.
        """
        if self.free_descriptors > DESCRIPTOR_RESERVE:
            return True
        freed = self.abort_longest_lingering()
        if self.close_longest_idle() or not self.low_on_descriptors:
            return True
        return self.close_longest_idle(0.0, 0.0) or freed or self.gateway.pools.close_longest_idle()

    def abort_longest_lingering(self) -> bool:
        """Where it is crowded, close the connection that lingers the longest; True if there is one."""
        lingering = (
            next((c for c in self.lingering if c.output_complete), None) if self.low_on_descriptors else None
        )
        if lingering is not None:
            lingering.abort()
        return lingering is not None

    def close_longest_idle(
        self, rested_s: float = MIN_CLIENT_IDLE_S, first_s: float = FIRST_REQUEST_GRACE_S
    ) -> bool:
        """End the client's connection that has rested the longest, and so long; True if one comes free soon.

        A first request has `first_s` to come.
        """
        if not self.low_on_descriptors and self.free_descriptors + len(self.lingering) > DESCRIPTOR_RESERVE:
            return True
        since_s = asyncio.get_running_loop().time() - rested_s
        rested = itertools.takewhile(lambda c: c.idle_since_s <= since_s, self.connections)
        idle = next((c for c in rested if c.is_idle(first_s)), None)
        if idle is not None:
            idle.close()
        return idle is not None
