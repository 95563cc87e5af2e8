"""Connections opened to hosts, and the attempts that go over them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from caperdrift.interface import Outcome, Settings

from cloverkeel.clock import now_us
from cloverkeel.hosts.attempt import Attempt, outcome_of
from cloverkeel.hosts.streamed_bodies import StreamedBodies
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.idle import IdleConnections
from cloverkeel.http1 import Reply
from cloverkeel.streams import ReadBuffer
from cloverkeel.telemetry import Telemetry

SWEEP_INTERVAL_S = 1.0
MIN_TIMER_DELAY_S = 0.001  # the shortest time that the loop does not make "at once" of
STALL_TIMEOUT_US = 30_000_000  # a long body of which nothing moves for so long, though it is read, has ended


class Pools(IdleConnections):
    """Carries attempts to hosts. Every attempt that is sent ends once, by its `on_end`."""

    def __init__(
        self,
        settings: Settings,
        telemetry: Telemetry,
        buffer: ReadBuffer,
        room: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(settings)
        self.telemetry, self.buffer = telemetry, buffer
        self.bodies = StreamedBodies(self)
        self.loop = asyncio.get_running_loop()
        self.before_open = room  # called before a descriptor is taken
        self.open_connections = 0
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # Attempts

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Begin an attempt on a kept connection, or on a new one where none is free."""
        attempt.sent_us, attempt.timeout_us = now_us(), timeout_us
        later = self.loop.call_later
        if attempt.upload is None:
            attempt.timers.append(later(timeout_us / 1e6, self.on_timeout, attempt))
        if (barred := self.blocked_outcome(attempt)) is not None:
            self.end(attempt, barred)
            return
        while (connection := self.take_idle(attempt.host)) is not None:
            if self.write_attempt(connection, attempt):
                self.counts.reused += 1
                return
            # The write itself failed: nothing has reached the host, so the same attempt may begin anew.
            self.counts.stale += 1
        connect_us = self.settings.connect_timeout_us
        attempt.timers.append(later(connect_us / 1e6, self.on_connect_timeout, attempt))
        self.open_connection(attempt)

    def open_connection(self, attempt: Attempt) -> None:
        self.before_open()
        host = attempt.host
        connection = HostConnection(self, host, attempt)
        attempt.connection = connection
        host.open_connections += 1
        self.open_connections += 1
        self.counts.opened += 1
        opening: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: connection, *host.address)
        )
        attempt.connect_task = opening
        opening.add_done_callback(lambda task: self.on_connect_done(task, connection))

    def set_write_deadline(self, attempt: Attempt, latest_us: int) -> None:
        """Let an attempt be written up to then and no later.

        Guards against a repeat that runs: a keyed request's repeats are dropped for a while only, and a
        connection may come up, or take the last byte, after that. A long body goes on once, by one attempt.
        """
        if attempt.ended or attempt.upload is not None:
            return
        attempt.write_deadline_us = latest_us
        self.schedule_write_deadline(attempt)

    def schedule_write_deadline(self, attempt: Attempt) -> None:
        left_s = max(0, attempt.write_deadline_us - now_us()) / 1e6 + MIN_TIMER_DELAY_S
        attempt.timers.append(self.loop.call_later(left_s, self.on_write_deadline, attempt))

    def on_write_deadline(self, attempt: Attempt) -> None:
        if now_us() <= attempt.write_deadline_us:
            # The loop counts in whole milliseconds from the start of its turn, so a timer may fire some
            # hundred microseconds early by the clock. Without another one the limit would be lost.
            self.schedule_write_deadline(attempt)
            return
        barred = self.blocked_outcome(attempt)
        if barred is not None and not self.is_written(attempt):
            self.cancel(attempt, barred)

    def blocked_outcome(self, attempt: Attempt) -> Outcome | None:
        """The end of an attempt that may not be written any more, however long its connection took.

        Guards the drain rule, and the last moment that an attempt has.
        """
        now, drained_us = now_us(), attempt.host.draining_since_us
        if attempt.write_deadline_us and now > attempt.write_deadline_us:
            return Outcome.NOT_SENT  # its host is not to blame
        is_over = drained_us is not None and now - drained_us > self.settings.stop_sending_within_us
        return Outcome.CONNECT_FAILED if is_over else None

    def write_attempt(self, connection: HostConnection, attempt: Attempt) -> bool:
        """Write it, or end it where nobody wants it any more; False if the connection is of no use."""
        connection.attempt = attempt.connection = None  # until it is written
        if not attempt.is_wanted():
            self.keep_idle(connection)
            self.end(attempt, Outcome.NOT_SENT)
            return True
        if attempt.upload is not None and attempt.upload.sink is not None:
            connection.close()
            return False  # its body goes on with another attempt
        connection.attempt, attempt.connection = attempt, connection
        connection.upload = attempt.upload
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
        """Stop waiting: the connection is closed, so that the host can tell, and its place is free."""
        if attempt.ended:
            return
        connection, opening = attempt.connection, attempt.connect_task
        self.end(attempt, outcome)
        if connection is None:
            return
        connection.attempt = None
        self.counts.called_off += 1
        if opening is not None and connection.transport is None:
            opening.cancel()
        connection.close()

    def end(self, attempt: Attempt, outcome: Outcome, reply: Reply | None = None) -> None:
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

    def on_timeout(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is not None and connection.transport is not None and not connection.is_quiet():
            self.call_after_reads(attempt, self.time_out)
        else:
            self.time_out(attempt)

    def time_out(self, attempt: Attempt) -> None:
        # What was never written cannot have run, also when the time ended while connecting.
        self.cancel(attempt, Outcome.TIMEOUT if self.is_written(attempt) else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        if attempt.connection is not None and attempt.connection.transport is None:
            self.call_after_reads(attempt, self.time_out_connecting)

    def time_out_connecting(self, attempt: Attempt) -> None:
        if attempt.connection is not None and attempt.connection.transport is None:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    def call_after_reads(self, attempt: Attempt, then: Callable[[Attempt], None]) -> None:
        """First take up what has arrived here by now, and then do something if the attempt has not ended.

        Guards against throwing away what came in time: after a busy moment the loop fires what is due before
        it reads. One turn of it reads, and a second one does what that has queued.
        """

        def turn() -> None:
            attempt.timers.append(self.loop.call_later(MIN_TIMER_DELAY_S, then, attempt))

        attempt.timers.append(self.loop.call_later(MIN_TIMER_DELAY_S, turn))

    def is_written(self, attempt: Attempt) -> bool:
        connection = attempt.connection
        return connection is not None and connection.transport is not None and connection.is_written

    # Connections

    def on_connected(self, connection: HostConnection) -> None:
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            # Called off in the moment it came up: its opening is cancelled, and the loop ends it unasked.
            connection.attempt = None
            connection.close()
        elif (
            barred := self.blocked_outcome(attempt)
        ) is None and connection.address != connection.host.address:
            # The host has moved meanwhile; another may stand where it was.
            connection.attempt = None
            connection.close()
            self.open_connection(attempt)
        elif barred is not None or not self.write_attempt(connection, attempt):
            connection.attempt = None
            connection.close()
            self.end(attempt, barred or Outcome.CONNECT_FAILED)

    def on_written(self, connection: HostConnection) -> None:
        """The last byte of what was sent is with the kernel."""
        if connection.attempt is not None and not connection.attempt.is_probe:
            self.telemetry.upstream_tries += 1

    def on_connect_done(self, opening: asyncio.Task[object], connection: HostConnection) -> None:
        """Account for a connection that did not come up."""
        if not opening.cancelled() and opening.exception() is None:
            return
        self.count_closed(connection)
        if connection.attempt is not None:
            written = connection.transport is not None
            self.end(connection.attempt, Outcome.RESET if written else Outcome.CONNECT_FAILED)

    def on_reply(self, connection: HostConnection, reply: Reply) -> None:
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            connection.close()
            return
        keep = reply.keep_alive and connection.is_written
        self.stop_streaming(connection)
        if keep:
            self.keep_idle(connection)
        else:
            connection.close()
        self.end(attempt, outcome_of(reply), reply)

    def stop_streaming(self, connection: HostConnection) -> None:
        """No long body passes over it any more."""
        if connection.on_piece is not None or connection.upload is not None:
            connection.on_piece = connection.upload = None
            self.bodies.set_streaming(connection, False)
            connection.resume_reading()

    def on_malformed_reply(self, connection: HostConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_connection_lost(self, connection: HostConnection) -> None:
        self.count_closed(connection)
        attempt, connection.attempt = connection.attempt, None
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)
            self.counts.ended_idle += 1
        if attempt is not None:
            self.counts.lost += 1
            self.end(attempt, Outcome.RESET if connection.is_written else Outcome.CONNECT_FAILED)

    def count_closed(self, connection: HostConnection) -> None:
        if connection.closed:
            return
        self.bodies.set_streaming(connection, False)
        connection.closed = True
        connection.host.open_connections -= 1
        self.open_connections -= 1

    def sweep(self) -> None:
        """Close what has stood still, or been idle, for too long."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = now_us()
        for connection in [c for c in self.bodies.streaming if now - c.last_progress_us > STALL_TIMEOUT_US]:
            if connection.transport is not None and connection.transport.is_reading():
                connection.close()
        self.close_expired(now)

    def close(self) -> None:
        self.sweep_timer.cancel()
        for host in self.hosts.values():
            self.close_idle(host.id)
