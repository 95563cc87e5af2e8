"""Streamed request and response bodies on connections to hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from caperdrift.interface import Outcome

from cloverkeel.clock import TIMER_EARLY_US, now_us
from cloverkeel.hosts.attempt import Attempt, outcome_of
from cloverkeel.http1 import Reply
from cloverkeel.telemetry import Incident

if TYPE_CHECKING:
    from cloverkeel.hosts.connection import HostConnection
    from cloverkeel.hosts.pool import Pools

UNSIZED_WAIT_S = 0.05  # for the end of a response of unknown length, before it is streamed
# Rate that a response of unknown length has to keep after its client's deadline, from its first byte on. A
# sound host that writes slowly is faster, and a response that never ends is slower.
MIN_RESPONSE_BYTES_PER_S = 8_000
# Allows for pauses between pieces; with the time to the next check, a response that trickles ends within half
# a second of its client's deadline.
RATE_GRACE_S = 0.25
RATE_CHECK_INTERVAL_S = 0.1
CHUNK_LINE_BYTES = 32  # of a chunk's size, which may precede its data
LATE_BODY_WAIT_S = 0.1  # after the client's deadline, for the first byte of a response that has begun


class StreamedBodies:
    """Tracks the connections that carry streamed bodies, and starts and ends the streaming."""

    def __init__(self, pools: Pools) -> None:
        self.pools = pools
        self.streaming: set[HostConnection] = set()

    def set_streaming(self, connection: HostConnection, streams: bool) -> None:
        """Records whether a connection carries a streamed body."""
        connection.last_progress_us = now_us()
        (self.streaming.add if streams else self.streaming.discard)(connection)
        self.pools.buffer.streamed_bodies = len(self.streaming)

    def on_request_body_end(self, connection: HostConnection) -> None:
        """Starts the request's time-out once the last byte of a streamed body is written or buffered."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            return
        attempt.sent_us = now_us()
        if connection.on_piece is None:
            self.set_streaming(connection, False)
            # Less than the attempt's, if it is not known how long ago the client has sent the last byte.
            timeout_s = max(0, min(attempt.timeout_us, attempt.remaining_us())) / 1e6
            attempt.timers.append(self.pools.loop.call_later(timeout_s, self.pools.on_timeout, attempt))
        if connection.is_written:
            self.pools.on_written(connection)

    def defer_streaming(self, connection: HostConnection) -> None:
        """Waits UNSIZED_WAIT_S for the end of a response of unknown length, as a short one can be retried.

        The limit keeps a long response that comes slowly from being held until the client's deadline.
        """
        attempt = connection.attempt
        assert attempt is not None
        if attempt.defer_timer is None:
            attempt.defer_timer = self.pools.loop.call_later(
                UNSIZED_WAIT_S, self.on_defer_timeout, connection, attempt
            )
            attempt.timers.append(attempt.defer_timer)

    def on_defer_timeout(self, connection: HostConnection, attempt: Attempt) -> None:
        """Starts streaming a response whose end has not come within UNSIZED_WAIT_S."""
        attempt.defer_timer = None
        replies = connection.replies
        if connection.attempt is attempt and replies.begin_streaming() and replies.streamed_head is not None:
            self.forward_response(connection, replies.streamed_head)

    def begin_late_body(self, attempt: Attempt) -> bool:
        """Starts streaming a response of unknown length whose head has come, although its body has not.

        Returns False if the attempt has no such response, or its client's time is over. An attempt may time
        out before that, where a later answer is worth nothing; the body of a sound response still comes.
        """
        connection = attempt.connection
        if connection is None or connection.on_piece is not None:
            return False
        if attempt.remaining_us() <= TIMER_EARLY_US:
            return False
        replies = connection.replies
        if not replies.is_length_unknown:
            return False  # also if what `replies` has is the head of an earlier response
        if replies.framing_bytes > CHUNK_LINE_BYTES:
            return False  # it goes on, but not with a body
        if not replies.begin_streaming(needs_body=False) or replies.streamed_head is None:
            return False
        if outcome_of(replies.streamed_head) is not Outcome.OK:
            return False
        self.pools.telemetry.note(Incident.BODY_IS_LATE)
        self.forward_response(connection, replies.streamed_head)
        return True

    def forward_response(self, connection: HostConnection, head: Reply) -> bool:
        """Passes received data of a streamed response to its consumer; False if the attempt has ended."""
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
                # Not streamed: an error, a response to a probe, or one whose request is already finished.
                self.pools.end(attempt, Outcome.CANCELLED if outcome is Outcome.OK else outcome, head)
                return False
            self.set_streaming(connection, True)
            if not connection.replies.is_over_limit:
                remaining_s = max(0, attempt.remaining_us()) / 1e6
                attempt.body_due_us = now_us() + int((remaining_s + LATE_BODY_WAIT_S) * 1e6)
                self.schedule_rate_check(connection, attempt, remaining_s)
        connection.last_progress_us = now_us()
        data = connection.replies.take_body()
        if data:
            attempt.body_begun_us = attempt.body_begun_us or now_us()
            connection.on_piece(data)
        return connection.attempt is attempt

    def schedule_rate_check(self, connection: HostConnection, attempt: Attempt, delay_s: float) -> None:
        """Sets the next rate check; the attempt's other timers have fired or are cancelled."""
        attempt.timers = [
            self.pools.loop.call_later(max(0, delay_s), self.on_rate_check, connection, attempt)
        ]

    def on_rate_check(self, connection: HostConnection, attempt: Attempt) -> None:
        """Ends a streamed response below BODY_LIMIT that is too slow, or has no body yet, after the deadline.

        Without this check a response that never ends would keep its client waiting. One that comes faster may
        become a long response, whose first bytes alone count for its latency, and goes on.
        """
        if (
            connection.attempt is not attempt
            or connection.replies.is_over_limit
            or connection.transport is None
        ):
            return
        uploading = attempt.upload is not None and not attempt.upload.ended
        body_due_s = (attempt.body_due_us - now_us()) / 1e6
        if not attempt.body_begun_us and body_due_s > 0:
            self.schedule_rate_check(connection, attempt, min(RATE_CHECK_INTERVAL_S, body_due_s))
        elif uploading or not connection.transport.is_reading() or keeps_min_rate(connection, attempt):
            self.schedule_rate_check(connection, attempt, RATE_CHECK_INTERVAL_S)
        else:
            self.pools.telemetry.note(Incident.RESPONSE_TOO_SLOW)
            # Ends as if the host had broken it off: a TIMEOUT would indicate that the host is overloaded.
            self.pools.cancel(attempt, Outcome.RESET)


def keeps_min_rate(connection: HostConnection, attempt: Attempt) -> bool:
    """Whether a response of unknown length has kept MIN_RESPONSE_BYTES_PER_S since its first byte."""
    if not attempt.body_begun_us:
        return False
    elapsed_s = (now_us() - attempt.body_begun_us) / 1e6 - RATE_GRACE_S
    return connection.replies.size >= MIN_RESPONSE_BYTES_PER_S * elapsed_s
