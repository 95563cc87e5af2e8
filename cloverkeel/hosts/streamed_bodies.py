"""Bodies that pass on in pieces, as they go over connections to hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from caperdrift.interface import Outcome

from cloverkeel.clock import now_us
from cloverkeel.hosts.attempt import Attempt, outcome_of
from cloverkeel.http1 import Reply
from cloverkeel.streams import MIN_BYTES_PER_S

if TYPE_CHECKING:
    from cloverkeel.hosts.connection import HostConnection
    from cloverkeel.hosts.pool import Pools

UNSIZED_WAIT_S = 0.05  # for a body of unknown length to come whole; else it passes on as a long one
RATE_GRACE_S = 0.25  # for pieces far apart; with the look after it, within half a second of the client's time
RATE_CHECK_INTERVAL_S = 0.1  # between two looks at how much of an answer has come


class StreamedBodies:
    """Which connections long bodies pass over, and when these begin and end."""

    def __init__(self, pools: Pools) -> None:
        self.pools = pools
        self.streaming: set[HostConnection] = set()

    def set_streaming(self, connection: HostConnection, passes: bool) -> None:
        connection.last_progress_us = now_us()
        (self.streaming.add if passes else self.streaming.discard)(connection)
        self.pools.buffer.streamed_bodies = len(self.streaming)

    def on_request_body_end(self, connection: HostConnection) -> None:
        """The last byte of a long body was written, or waits to be: the request's time begins."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            return
        attempt.sent_us = now_us()
        if connection.on_piece is None:
            self.set_streaming(connection, False)
            timeout_s = attempt.timeout_us / 1e6
            attempt.timers.append(self.pools.loop.call_later(timeout_s, self.pools.on_timeout, attempt))
        if connection.is_written:
            self.pools.on_written(connection)

    def defer_streaming(self, connection: HostConnection) -> None:
        """Wait a while for the end of an answer that may be short, so that it could still be tried again.

        Guards against holding a long one that comes slowly until its time is out.
        """
        attempt = connection.attempt
        assert attempt is not None
        if attempt.defer_timer is None:
            attempt.defer_timer = self.pools.loop.call_later(
                UNSIZED_WAIT_S, self.on_defer_timeout, connection, attempt
            )
            attempt.timers.append(attempt.defer_timer)

    def on_defer_timeout(self, connection: HostConnection, attempt: Attempt) -> None:
        attempt.defer_timer = None
        replies = connection.replies
        if connection.attempt is attempt and replies.begin_streaming() and replies.streamed_head is not None:
            self.forward_response(connection, replies.streamed_head)

    def forward_response(self, connection: HostConnection, head: Reply) -> bool:
        """Hand on what has come of a long answer; False if it is of no use."""
        attempt = connection.attempt
        assert attempt is not None
        if connection.on_piece is None:
            outcome = outcome_of(head)
            if outcome is Outcome.OK:
                for timer in attempt.timers:
                    timer.cancel()
                connection.on_piece = attempt.on_response_begin(attempt, head)
            if connection.on_piece is None:
                connection.attempt = None
                connection.close()
                # A probe's answer is not long; a request's that nobody takes is called off.
                self.pools.end(attempt, Outcome.CANCELLED if outcome is Outcome.OK else outcome, head)
                return False
            self.set_streaming(connection, True)
            attempt.response_begun_us = now_us()
            if not connection.replies.is_over_limit:
                self.schedule_rate_check(connection, attempt, attempt.remaining_us() / 1e6)
        connection.last_progress_us = now_us()
        data = connection.replies.take_body()
        if data:
            connection.on_piece(data)
        return connection.attempt is attempt

    def schedule_rate_check(self, connection: HostConnection, attempt: Attempt, delay_s: float) -> None:
        attempt.timers = [
            self.pools.loop.call_later(max(0, delay_s), self.on_rate_check, connection, attempt)
        ]

    def on_rate_check(self, connection: HostConnection, attempt: Attempt) -> None:
        """End an answer that passes on, is not long so far, and trickles when its client's time is out.

        Guards against one that never ends: its client waited for an end until it left. What comes faster may
        be a long one, of which the first bytes are timed, and goes on.
        """
        if (
            connection.attempt is not attempt
            or connection.replies.is_over_limit
            or connection.transport is None
        ):
            return
        least = MIN_BYTES_PER_S * ((now_us() - attempt.response_begun_us) / 1e6 - RATE_GRACE_S)
        passes = attempt.upload is not None and not attempt.upload.ended
        if passes or not connection.transport.is_reading() or connection.replies.size >= least:
            self.schedule_rate_check(connection, attempt, RATE_CHECK_INTERVAL_S)
        else:
            # Like one that breaks off: its host failed it, but a time-out would tell of a crowd there.
            self.pools.cancel(attempt, Outcome.RESET)
