"""The connection pool: opens connections to hosts and carries out attempts over them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from caperdrift.interface import Outcome, Settings

from cloverkeel.clock import now_us
from cloverkeel.fair_share import FairShare
from cloverkeel.hosts.attempt import Attempt, outcome_of
from cloverkeel.hosts.streamed_bodies import StreamedBodies
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.idle import IdleConnections
from cloverkeel.http1 import Reply
from cloverkeel.streams import ReadBuffer
from cloverkeel.telemetry import Incident, Telemetry

SWEEP_INTERVAL_S = 1.0
MIN_TIMER_DELAY_S = 0.001  # the loop runs a timer with a shorter delay at once
# Errors of a connect that this machine causes: no descriptors, ports or memory of the system are left.
LOCAL_SHORTAGE = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)
STALL_TIMEOUT_US = 30_000_000  # without progress of a streamed body that is not paused


class Pools(IdleConnections):
    """Sends attempts to hosts over pooled connections; every attempt ends once, by a call of its `on_end`."""

    def __init__(
        self,
        settings: Settings,
        telemetry: Telemetry,
        buffer: ReadBuffer,
        fair_share: FairShare | None = None,
        before_open: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(settings, buffer.memory)
        self.telemetry, self.buffer = telemetry, buffer
        self.fair_share = fair_share or FairShare()
        self.bodies = StreamedBodies(self)
        self.loop = asyncio.get_running_loop()
        # Called before a connection is opened, to free a descriptor; returns whether there is one.
        self.before_open = before_open
        self.open_connections = 0
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # Attempts

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Starts an attempt on an idle connection, or on a new one if there is none."""
        attempt.sent_us, attempt.timeout_us = now_us(), timeout_us
        later = self.loop.call_later
        if attempt.upload is None:
            attempt.timers.append(later(timeout_us / 1e6, self.on_timeout, attempt))
        if (blocked := self.blocked_outcome(attempt)) is not None:
            self.end(attempt, blocked)
            return
        while (connection := self.take_idle(attempt.host)) is not None:
            if self.write_attempt(connection, attempt):
                self.counts.reused += 1
                return
            # The write itself failed: nothing has reached the host, so another connection can be used.
            self.counts.stale += 1
        connect_us = self.settings.connect_timeout_us
        attempt.timers.append(later(connect_us / 1e6, self.on_connect_timeout, attempt))
        self.open_connection(attempt)

    def open_connection(self, attempt: Attempt) -> None:
        """Opens a new connection for an attempt."""
        if not self.before_open():
            self.counts.no_descriptor += 1
            self.telemetry.note(Incident.NO_DESCRIPTOR)
            self.end(attempt, Outcome.NOT_SENT)
            return
        if not (attempt.is_reserved or attempt.is_probe) and self.memory.is_full:
            self.telemetry.note(Incident.NO_MEMORY)
            self.end(attempt, Outcome.NOT_SENT)
            return
        host = attempt.host
        connection = HostConnection(self, host, attempt)
        attempt.connection = connection
        host.open_connections += 1
        self.open_connections += 1
        self.counts.opened += 1
        connecting: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: connection, *host.address)
        )
        attempt.connect_task = connecting
        connecting.add_done_callback(lambda task: self.on_connect_done(task, connection))

    def set_write_deadline(self, attempt: Attempt, deadline_us: int) -> None:
        """Sets the time after which an attempt must not be written any more.

        Hosts drop duplicates of a keyed request only within the deduplication window, and a connection may be
        established, or take the last byte, after it. A streamed body needs no deadline: it is sent only once.
        """
        if attempt.ended or attempt.upload is not None:
            return
        attempt.write_deadline_us = deadline_us
        self.schedule_write_deadline(attempt)

    def schedule_write_deadline(self, attempt: Attempt) -> None:
        """Sets the timer for an attempt's write deadline."""
        delay_s = max(0, attempt.write_deadline_us - now_us()) / 1e6 + MIN_TIMER_DELAY_S
        attempt.timers.append(self.loop.call_later(delay_s, self.on_write_deadline, attempt))

    def on_write_deadline(self, attempt: Attempt) -> None:
        """Cancels an attempt that is not fully written at its write deadline."""
        if now_us() <= attempt.write_deadline_us:
            # The loop counts in whole milliseconds from the start of its iteration, so a timer may fire some
            # hundred microseconds early. Without another timer the deadline would not be enforced.
            self.schedule_write_deadline(attempt)
            return
        blocked = self.blocked_outcome(attempt)
        if blocked is not None and not self.is_written(attempt):
            self.cancel(attempt, blocked)

    def blocked_outcome(self, attempt: Attempt) -> Outcome | None:
        """Returns the outcome of an attempt that must not be written any more, or None if it may be written.

        Enforces the drain rule and the attempt's write deadline, however long connecting took.
        """
        now, draining_us = now_us(), attempt.host.draining_since_us
        if attempt.write_deadline_us and now > attempt.write_deadline_us:
            return Outcome.NOT_SENT  # not a failure of the host
        drain_elapsed = draining_us is not None and now - draining_us > self.settings.stop_sending_within_us
        return Outcome.CONNECT_FAILED if drain_elapsed else None

    def write_attempt(self, connection: HostConnection, attempt: Attempt) -> bool:
        """Writes an attempt, or ends it if it is not wanted any more; False if the connection is unusable."""
        connection.attempt = attempt.connection = None  # set again at the write
        if not attempt.is_wanted():
            self.keep_idle(connection)
            self.end(attempt, Outcome.NOT_SENT)
            return True
        if attempt.upload is not None and attempt.upload.sink is not None:
            connection.close()
            return False  # another attempt is sending the body
        connection.attempt, attempt.connection = attempt, connection
        connection.upload = attempt.upload
        connection.charge()
        if connection.write(attempt.payload()):
            if attempt.upload is not None:
                self.bodies.set_streaming(connection, True)
                attempt.on_upload_started()
                if connection.attempt is attempt:
                    attempt.upload.attach(connection)
            return True
        connection.attempt = attempt.connection = connection.upload = None
        connection.close()
        return False

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Ends an attempt and closes its connection, which tells the host and frees the descriptor."""
        if attempt.ended:
            return
        connection, connecting = attempt.connection, attempt.connect_task
        self.end(attempt, outcome)
        if connection is None:
            return
        connection.attempt = None
        self.counts.called_off += 1
        if connecting is not None and connection.transport is None:
            connecting.cancel()
        connection.close()

    def end(self, attempt: Attempt, outcome: Outcome, reply: Reply | None = None) -> None:
        """Ends an attempt and reports its outcome."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.latency_us = now_us() - attempt.sent_us
        for timer in attempt.timers:
            timer.cancel()
        if outcome is Outcome.CONNECT_FAILED:
            self.counts.failed += 1
        attempt.connection = attempt.connect_task = None
        attempt.on_end(attempt, outcome, reply)

    def detach(self, attempt: Attempt, timeout_us: int) -> None:
        """Lets an attempt that no client waits for end after this time at the latest."""
        attempt.is_reserved = False
        if attempt.connection is not None:
            attempt.connection.charge()
        attempt.timers.append(self.loop.call_later(timeout_us / 1e6, self.on_timeout, attempt))

    def on_timeout(self, attempt: Attempt) -> None:
        """Times out an attempt, after any input that has arrived on its connection is processed."""
        connection = attempt.connection
        if connection is not None and connection.transport is not None and not connection.is_quiet():
            self.call_after_reads(attempt, self.time_out)
        else:
            self.time_out(attempt)

    def time_out(self, attempt: Attempt) -> None:
        """Ends an attempt with the outcome of a time-out, unless its response has begun."""
        if self.bodies.begin_late_body(attempt):
            return
        # A request that was not fully written cannot have been processed, nor can one still connecting.
        self.cancel(attempt, Outcome.TIMEOUT if self.is_written(attempt) else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        """Fails an attempt that is still connecting, after any finished connect is processed."""
        if attempt.connection is not None and attempt.connection.transport is None:
            self.call_after_reads(attempt, self.time_out_connecting)

    def time_out_connecting(self, attempt: Attempt) -> None:
        """Fails an attempt that is still connecting."""
        if attempt.connection is not None and attempt.connection.transport is None:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    def call_after_reads(self, attempt: Attempt, callback: Callable[[Attempt], None]) -> None:
        """Calls `callback` after input that has already arrived is processed, unless that ends the attempt.

        After a busy period the loop runs due timers before it reads, and a response that came in time would
        be lost. One iteration of the loop reads, and a second one runs what the read has scheduled.
        """

        def next_iteration() -> None:
            attempt.timers.append(self.loop.call_later(MIN_TIMER_DELAY_S, callback, attempt))

        attempt.timers.append(self.loop.call_later(MIN_TIMER_DELAY_S, next_iteration))

    def is_written(self, attempt: Attempt) -> bool:
        """Whether the kernel has the last byte of the request."""
        connection = attempt.connection
        return connection is not None and connection.transport is not None and connection.is_written

    # Connections

    def on_connected(self, connection: HostConnection) -> None:
        """Writes the attempt to a new connection, unless it has ended, is blocked or its host has moved."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            # Cancelled just as the connection was established: with the connect task, the loop closes it too.
            connection.attempt = None
            connection.close()
        elif (
            blocked := self.blocked_outcome(attempt)
        ) is None and connection.address != connection.host.address:
            # The host has moved meanwhile, and its old address may belong to another host.
            connection.attempt = None
            connection.close()
            self.open_connection(attempt)
        elif blocked is not None or not self.write_attempt(connection, attempt):
            connection.attempt = None
            connection.close()
            self.end(attempt, blocked or Outcome.CONNECT_FAILED)

    def on_written(self, connection: HostConnection) -> None:
        """Counts an attempt once the kernel has the last byte of its request."""
        if connection.attempt is not None and not connection.attempt.is_probe:
            self.telemetry.upstream_tries += 1

    def on_connect_done(self, connecting: asyncio.Task[object], connection: HostConnection) -> None:
        """Ends the attempt of a connection that could not be established."""
        if not connecting.cancelled() and connecting.exception() is None:
            return
        self.count_closed(connection)
        if connection.attempt is None:
            return
        error = None if connecting.cancelled() else connecting.exception()
        if connection.transport is not None:
            outcome = Outcome.RESET  # the attempt was written
        elif isinstance(error, OSError) and error.errno in LOCAL_SHORTAGE:
            outcome = Outcome.NOT_SENT  # tells nothing about the host
            self.telemetry.note(Incident.LOCAL_SHORTAGE)
        else:
            outcome = Outcome.CONNECT_FAILED
        self.end(connection.attempt, outcome)

    def on_reply(self, connection: HostConnection, reply: Reply) -> None:
        """Ends the attempt with a complete response, and keeps the connection if it can be reused."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            connection.close()
            return
        reusable = reply.keep_alive and connection.is_written
        self.stop_streaming(connection)
        if reusable:
            self.keep_idle(connection)
        else:
            connection.close()
        self.end(attempt, outcome_of(reply), reply)

    def stop_streaming(self, connection: HostConnection) -> None:
        """Ends the streaming of bodies over a connection."""
        if connection.on_piece is not None or connection.upload is not None:
            connection.on_piece = connection.upload = None
            self.bodies.set_streaming(connection, False)
            connection.resume_reading()

    def on_malformed_reply(self, connection: HostConnection) -> None:
        """Closes a connection whose input is not a valid response."""
        attempt, connection.attempt = connection.attempt, None
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_connection_lost(self, connection: HostConnection) -> None:
        """Removes a closed connection and ends its attempt."""
        self.count_closed(connection)
        attempt, connection.attempt = connection.attempt, None
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)
            self.counts.ended_idle += 1
        if attempt is not None:
            self.counts.lost += 1
            self.end(attempt, Outcome.RESET if connection.is_written else Outcome.CONNECT_FAILED)

    def count_closed(self, connection: HostConnection) -> None:
        """Takes a closed connection out of the counts of open ones, once."""
        if connection.closed:
            return
        self.bodies.set_streaming(connection, False)
        connection.closed = True
        connection.account.close()
        connection.host.open_connections -= 1
        self.open_connections -= 1

    def sweep(self) -> None:
        """Closes connections whose streamed body has stalled, and those that have been idle too long."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = now_us()
        for connection in [c for c in self.bodies.streaming if now - c.last_progress_us > STALL_TIMEOUT_US]:
            if connection.transport is not None and connection.transport.is_reading():
                connection.close()
        self.close_expired(now)

    def close(self) -> None:
        """Stops the sweep and closes all idle connections."""
        self.sweep_timer.cancel()
        for host in self.hosts.values():
            self.close_idle(host.id)
