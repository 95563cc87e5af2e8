"""The clients' listener and connections: time-outs, descriptor limits, configuration reload, draining."""

from __future__ import annotations

import asyncio
import itertools
import select
import socket
from collections.abc import Callable
from functools import partial

from caperdrift.interface import RequestClass

from cloverkeel.config import Config, merge_reloaded, load
from cloverkeel.errors import ConfigError
from cloverkeel.front.acceptor import Acceptor
from cloverkeel.front.connection import FIRST_REQUEST_GRACE_S, ClientConnection
from cloverkeel.gateway import Gateway
from cloverkeel.http1 import WRITE_STALL_S, log
from cloverkeel.telemetry import Incident

ACCEPT_AFTER_TERM_S = 1.0  # accepting continues this long after SIGTERM, as clients connect for another 0.4 s
# The platform kills the process at the longest deadline of a class plus this time after SIGTERM; a deadline
# beyond MAX_DEADLINE_S counts as MAX_DEADLINE_S.
KILL_GRACE_S = 0.7
MAX_DEADLINE_S = 3.0
FAIL_MARGIN_S = 0.1  # how long before the kill pending requests are answered as failed
EXIT_MARGIN_S = 0.06  # how long before the kill the process exits
SWEEP_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 10.0
POLL_INTERVAL_S = 0.02
# With fewer descriptors free, idle connections are closed; with fewer than half of it, clients' connections
# also close after a response, or are refused. This leaves descriptors for hosts and discovery.
DESCRIPTOR_RESERVE = 64
OWN_DESCRIPTORS = 24  # of the process itself: standard streams, loop, signals, listeners, discovery, store
MIN_HOST_CONNECTIONS = 8  # that may be open even if no descriptor should be left for them
MAX_WAITING = 400  # connections that wait for the processor: those behind them wait to be accepted
MIN_CLIENT_IDLE_S = 2.0  # idle time after which a client's connection may be closed to free a descriptor


class Server:
    """Accepts clients' connections, limits them in time and number, and drains them at shutdown."""

    def __init__(self, config: Config, gateway: Gateway, inherited: socket.socket | None = None) -> None:
        self.config, self.gateway = config, gateway
        self.connections: dict[ClientConnection, None] = {}  # ordered by the last response, oldest first
        self.lingering: dict[ClientConnection, None] = {}  # in lingering close, oldest first
        self.draining = False
        self.deadline_passed = False  # draining took too long: pending requests are answered as failed
        self.inherited_socket = inherited  # a listening socket that other processes accept from too
        self.acceptor = Acceptor(partial(ClientConnection, self), lambda: self.free_connections, inherited)
        self.accepting = False
        self.descriptor_holders: list[Callable[[], int]] = []  # numbers held by other parts of the process
        self.reload_listeners: list[Callable[[Config], None]] = []  # called with each new configuration
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)
        asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self.report)
        gateway.pools.before_open = self.reclaim_descriptors

    async def start(self) -> None:
        """Starts the gateway, then accepts clients."""
        await self.acceptor.open(self.config.listen)
        self.gateway.start()  # first, so that there is a list of hosts before the first client
        await self.acceptor.start()
        self.accepting = True

    @property
    def listener(self) -> asyncio.Server | None:
        """Where clients connect; None before the start."""
        return self.acceptor.listener

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check succeeds."""
        return self.accepting and not self.draining and self.gateway.can_serve

    @property
    def active_classes(self) -> list[RequestClass]:
        """The classes in the current configuration file; the platform derives the kill time from them."""
        return [klass for klass in self.config.settings.classes if not klass.dropped]

    @property
    def drain_timeout_s(self) -> float:
        """Time from SIGTERM until pending requests are answered as failed."""
        longest_s = max(c.give_up_us for c in self.active_classes) / 1e6
        return min(MAX_DEADLINE_S, longest_s) + KILL_GRACE_S - FAIL_MARGIN_S

    async def drain(self) -> None:
        """Answers all requests that were read or wait to be accepted, and closes all connections."""
        self.draining = True
        loop = asyncio.get_running_loop()
        if self.inherited_socket is not None:
            # Another process accepts the waiting and the new connections. Closing an idle connection may
            # cross a request on it, so each one stays open until its next response while there is time.
            if self.listener is not None:
                self.listener.close()
            longest_target_s = max(c.aim_us for c in self.active_classes) / 1e6
            stop_s = loop.time() + self.drain_timeout_s - longest_target_s
            while self.connections and loop.time() < stop_s:
                # The new process shares the hosts' connection limits and the descriptors, and needs them now.
                self.gateway.pools.close_longest_idle()
                await asyncio.sleep(POLL_INTERVAL_S)
        else:
            accept_until_s = loop.time() + min(ACCEPT_AFTER_TERM_S, self.drain_timeout_s - FAIL_MARGIN_S)
            while loop.time() < accept_until_s:
                self.close_idle()
                await asyncio.sleep(POLL_INTERVAL_S)
            await self.stop_accepting()
        await asyncio.sleep(POLL_INTERVAL_S)  # connection_made of the last one comes an iteration later
        while self.connections or self.lingering:
            self.close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop_accepting(self) -> None:
        """Closes the listener once its backlog is empty: the kernel resets connections that wait there."""
        if self.listener is None:
            return
        poller = select.poll()
        for listener_socket in self.listener.sockets:
            if listener_socket.fileno() >= 0:  # otherwise the loop has closed it after an error
                poller.register(listener_socket.fileno(), select.POLLIN)
        while any(flags & select.POLLIN for _, flags in poller.poll(0)):
            await asyncio.sleep(0)
        self.listener.close()

    async def fail_pending(self) -> int:
        """Answers all pending requests as failed and closes all connections.

        Returns the number of connections with pending requests. Waits for clients to read the responses,
        until EXIT_MARGIN_S before the kill.
        """
        self.deadline_passed = True
        if self.listener is not None:
            self.listener.close()
        unanswered = sum(c.current is not None or bool(c.queue) for c in self.connections)
        for connection in list(self.connections):
            connection.fail_pending()
        loop = asyncio.get_running_loop()
        stop_s = loop.time() + FAIL_MARGIN_S - EXIT_MARGIN_S
        while (self.connections or self.lingering) and loop.time() < stop_s:
            await asyncio.sleep(POLL_INTERVAL_S / 4)
        return unanswered

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in [c for c in self.connections if c.is_idle()]:
            connection.close()

    def sweep(self) -> None:
        """Ends connections whose client sends no request in time, does not read, or has disconnected."""
        loop = asyncio.get_running_loop()
        loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now_s = loop.time()
        for connection in [c for c in self.connections if c.is_overdue(now_s)]:
            connection.on_request_timeout()
        for connection in [c for c in self.connections if c.write_blocked_since_s < now_s - WRITE_STALL_S]:
            connection.abort()
        for connection in [c for c in self.connections if c.is_paused]:
            if not connection.check_gone():  # while reading is paused the loop does not notice a disconnect
                connection.check_upload(now_s)

    def reload(self) -> None:
        """Reloads the configuration file; if it is invalid, the current configuration stays in force."""
        telemetry = self.gateway.telemetry
        try:
            config = load(complete=True)
        except ConfigError as error:
            telemetry.load_errors += 1
            log(f"not reconfigured: {error}; the current configuration stays in force")
            return
        if config.cluster != self.config.cluster:
            log(
                "cluster settings stay as they were at the start; "
                "for a change to take effect, upgrade the process or start it again"
            )
        self.config = merge_reloaded(self.config, config)
        self.gateway.reconfigure(self.config)
        for listener in self.reload_listeners:
            listener(self.config)
        telemetry.loads += 1
        host, port = self.config.discovery
        log(f"reconfigured: {len(self.config.names.classes)} classes; discovery is at {host}:{port}")

    def report(self) -> None:
        """Logs periodically how many connections are open, and why those to hosts were opened and closed."""
        asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self.report)
        pools = self.gateway.pools
        log(
            f"connections: {len(self.connections)} of clients, "
            f"{pools.open_connections} to hosts; {pools.counts}"
        )
        memory, turns = self.gateway.memory, self.gateway.fair_share.turns
        if memory.denied or turns:
            log(f"{memory}; {turns} turns of clients that used much processor time")

    @property
    def free_descriptors(self) -> int:
        """The number of file descriptors that the process may still open."""
        clients = len(self.connections) + len(self.lingering) + self.acceptor.connecting
        return (
            self.config.sockets
            - OWN_DESCRIPTORS
            - clients
            - self.gateway.pools.open_connections
            - sum(held() for held in self.descriptor_holders)
        )

    @property
    def free_connections(self) -> int:
        """The number of clients' connections that may be accepted at once."""
        return min(
            self.free_descriptors - DESCRIPTOR_RESERVE,
            self.gateway.memory.free_connections,
            MAX_WAITING - self.gateway.fair_share.waiting,
        )

    @property
    def low_on_descriptors(self) -> bool:
        """Whether too few descriptors are free to keep idle or lingering connections of clients open."""
        return self.free_descriptors < DESCRIPTOR_RESERVE // 2

    def reclaim_descriptors(self) -> bool:
        """Closes idle connections if descriptors run short: clients' first, which costs the hosts no work.

        Returns whether a descriptor is left for another connection.
        """
        if self.free_descriptors > DESCRIPTOR_RESERVE:
            return True
        self.abort_longest_lingering()
        if (
            not (self.close_longest_idle() or self.gateway.pools.close_longest_idle())
            and self.low_on_descriptors
        ):
            self.close_longest_idle(0.0, 0.0)
        return self.free_descriptors > 0 or self.gateway.pools.open_connections < MIN_HOST_CONNECTIONS

    def admit_connection(self) -> bool:
        """Returns whether a client's new connection may stay; closes another one if descriptors run short.

        Without this, idle clients that connect faster than they are closed leave no descriptors for hosts and
        discovery. The connection that has been idle the longest is closed first.
        """
        memory = self.gateway.memory
        if memory.used > memory.connection_capacity:
            self.refuse_oldest_incomplete()
        if memory.used > memory.max_connection_capacity:
            self.gateway.telemetry.note(Incident.NO_MEMORY)
            return False
        if self.free_descriptors > DESCRIPTOR_RESERVE:
            return True
        freed = self.abort_longest_lingering()
        if self.close_longest_idle() or not self.low_on_descriptors:
            return True
        return self.close_longest_idle(0.0, 0.0) or freed or self.gateway.pools.close_longest_idle()

    def refuse_oldest_incomplete(self) -> None:
        """Refuses the request that has been incomplete for the longest, and closes its connection."""
        connection = next((c for c in self.connections if c.is_incomplete), None)
        if connection is not None:
            connection.refuse_incoming()

    def abort_longest_lingering(self) -> bool:
        """If low on descriptors, aborts the connection that lingers the longest; returns whether it did."""
        lingering = (
            next((c for c in self.lingering if c.output_complete), None) if self.low_on_descriptors else None
        )
        if lingering is not None:
            lingering.abort()
        return lingering is not None

    def close_longest_idle(
        self, min_idle_s: float = MIN_CLIENT_IDLE_S, grace_s: float = FIRST_REQUEST_GRACE_S
    ) -> bool:
        """Closes the client's connection that has been idle the longest, if for at least `min_idle_s`.

        A connection counts as idle before its first request only after `grace_s`. Returns whether a
        descriptor will soon be free.
        """
        if not self.low_on_descriptors and self.free_descriptors + len(self.lingering) > DESCRIPTOR_RESERVE:
            return True
        latest_s = asyncio.get_running_loop().time() - min_idle_s
        candidates = itertools.takewhile(lambda c: c.idle_since_s <= latest_s, self.connections)
        idle = next((c for c in candidates if c.is_idle(grace_s)), None)
        if idle is not None:
            idle.close()
        return idle is not None
