"""Connections opened to hosts, and the attempts that go over them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from caperdrift.interface import Outcome, Settings

from cloverkeel.clock import now_us
from cloverkeel.hosts.attempt import Attempt, outcome_of
from cloverkeel.hosts.bodies import LongBodies
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.hosts.idle import IdleConnections
from cloverkeel.http1 import Reply
from cloverkeel.streams import Buffer
from cloverkeel.telemetry import Telemetry

SWEEP_S = 1.0
TURN_S = 0.001  # the shortest time that the loop does not make "at once" of
STALL_US = 30_000_000  # a long body of which nothing moves for so long, though it is read, has ended


class Pools(IdleConnections):
    """Carries attempts to hosts. Every attempt that is sent ends once, by its `on_end`."""

    def __init__(
        self,
        settings: Settings,
        telemetry: Telemetry,
        buffer: Buffer,
        room: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(settings)
        self.telemetry, self.buffer = telemetry, buffer
        self.bodies = LongBodies(self)
        self.loop = asyncio.get_running_loop()
        self.room = room  # called before a descriptor is taken
        self.open = 0
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    # Attempts

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Begin an attempt on a kept connection, or on a new one where none is free."""
        attempt.sent_us, attempt.timeout_us = now_us(), timeout_us
        later = self.loop.call_later
        if attempt.upload is None:
            attempt.timers.append(later(timeout_us / 1e6, self.on_timeout, attempt))
        if (barred := self.barred(attempt)) is not None:
            self.end(attempt, barred)
            return
        while (connection := self.take(attempt.host)) is not None:
            if self.put_on(connection, attempt):
                self.counts.reused += 1
                return
            # The write itself failed: nothing has reached the host, so the same attempt may begin anew.
            self.counts.stale += 1
        connect_us = self.settings.connect_timeout_us
        attempt.timers.append(later(connect_us / 1e6, self.on_connect_timeout, attempt))
        self.open_for(attempt)

    def open_for(self, attempt: Attempt) -> None:
        self.room()
        host = attempt.host
        connection = HostConnection(self, host, attempt)
        attempt.connection = connection
        host.open += 1
        self.open += 1
        self.counts.opened += 1
        opening: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: connection, *host.address)
        )
        attempt.opening = opening
        opening.add_done_callback(lambda task: self.on_opened(task, connection))

    def limit(self, attempt: Attempt, latest_us: int) -> None:
        """Let an attempt be written up to then and no later.

        Guards against a repeat that runs: a keyed request's repeats are dropped for a while only, and a
        connection may come up, or take the last byte, after that. A long body goes on once, by one attempt.
        """
        if attempt.ended or attempt.upload is not None:
            return
        attempt.latest_us = latest_us
        self.wait_for_latest(attempt)

    def wait_for_latest(self, attempt: Attempt) -> None:
        left_s = max(0, attempt.latest_us - now_us()) / 1e6 + TURN_S
        attempt.timers.append(self.loop.call_later(left_s, self.on_latest, attempt))

    def on_latest(self, attempt: Attempt) -> None:
        if now_us() <= attempt.latest_us:
            # The loop counts in whole milliseconds from the start of its turn, so a timer may fire some
            # hundred microseconds early by the clock. Without another one the limit would be lost.
            self.wait_for_latest(attempt)
            return
        barred = self.barred(attempt)
        if barred is not None and not self.is_written(attempt):
            self.cancel(attempt, barred)

    def barred(self, attempt: Attempt) -> Outcome | None:
        """The end of an attempt that may not be written any more, however long its connection took.

        Guards the drain rule, and the last moment that an attempt has.
        """
        now, drained_us = now_us(), attempt.host.drained_us
        if attempt.latest_us and now > attempt.latest_us:
            return Outcome.MOOT  # its host is not to blame
        is_over = drained_us is not None and now - drained_us > self.settings.stop_sending_within_us
        return Outcome.CONNECT_FAILED if is_over else None

    def put_on(self, connection: HostConnection, attempt: Attempt) -> bool:
        """Write it, or end it where nobody wants it any more; False if the connection is of no use."""
        connection.attempt = attempt.connection = None  # until it is written
        if not attempt.is_wanted():
            self.keep(connection)
            self.end(attempt, Outcome.MOOT)
            return True
        if attempt.upload is not None and attempt.upload.carrier is not None:
            connection.close()
            return False  # its body goes on with another attempt
        connection.attempt, attempt.connection = attempt, connection
        connection.upload = attempt.upload
        if connection.write(attempt.payload()):
            if attempt.upload is not None:
                self.bodies.set_long(connection, True)
                attempt.on_passing()
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
        connection, opening = attempt.connection, attempt.opening
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
        attempt.connection = attempt.opening = None
        attempt.on_end(attempt, outcome, reply)

    def on_timeout(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is not None and connection.transport is not None and not connection.is_fresh():
            self.take_up(attempt, self.time_out)
        else:
            self.time_out(attempt)

    def time_out(self, attempt: Attempt) -> None:
        # What was never written cannot have run, also when the time ended while connecting.
        self.cancel(attempt, Outcome.TIMEOUT if self.is_written(attempt) else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        if attempt.connection is not None and attempt.connection.transport is None:
            self.take_up(attempt, self.time_out_connecting)

    def time_out_connecting(self, attempt: Attempt) -> None:
        if attempt.connection is not None and attempt.connection.transport is None:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    def take_up(self, attempt: Attempt, then: Callable[[Attempt], None]) -> None:
        """First take up what has arrived here by now, and then do something if the attempt has not ended.

        Guards against throwing away what came in time: after a busy moment the loop fires what is due before
        it reads. One turn of it reads, and a second one does what that has queued.
        """

        def turn() -> None:
            attempt.timers.append(self.loop.call_later(TURN_S, then, attempt))

        attempt.timers.append(self.loop.call_later(TURN_S, turn))

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
        elif (barred := self.barred(attempt)) is None and connection.address != connection.host.address:
            # The host has moved meanwhile; another may stand where it was.
            connection.attempt = None
            connection.close()
            self.open_for(attempt)
        elif barred is not None or not self.put_on(connection, attempt):
            connection.attempt = None
            connection.close()
            self.end(attempt, barred or Outcome.CONNECT_FAILED)

    def on_written(self, connection: HostConnection) -> None:
        """The last byte of what was sent is with the kernel."""
        if connection.attempt is not None and not connection.attempt.is_probe:
            self.telemetry.upstream_tries += 1

    def on_opened(self, opening: asyncio.Task[object], connection: HostConnection) -> None:
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
        self.release(connection)
        if keep:
            self.keep(connection)
        else:
            connection.close()
        self.end(attempt, outcome_of(reply), reply)

    def release(self, connection: HostConnection) -> None:
        """No long body passes over it any more."""
        if connection.on_piece is not None or connection.upload is not None:
            connection.on_piece = connection.upload = None
            self.bodies.set_long(connection, False)
            connection.resume_reading()

    def on_garbage(self, connection: HostConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_lost(self, connection: HostConnection) -> None:
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
        self.bodies.set_long(connection, False)
        connection.closed = True
        connection.host.open -= 1
        self.open -= 1

    def sweep(self) -> None:
        """Close what has stood still, or been idle, for too long."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = now_us()
        for connection in [c for c in self.bodies.passing if now - c.moved_us > STALL_US]:
            if connection.transport is not None and connection.transport.is_reading():
                connection.close()
        self.close_aged(now)

    def close(self) -> None:
        self.sweeper.cancel()
        for host in self.hosts.values():
            self.close_idle(host.id)
