"""Bodies that pass on in pieces, as they go over connections to hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from caperdrift.interface import Outcome

from cloverkeel.clock import now_us
from cloverkeel.hosts.attempt import Attempt, outcome_of
from cloverkeel.http1 import Reply
from cloverkeel.streams import LEAST_RATE

if TYPE_CHECKING:
    from cloverkeel.hosts.connection import HostConnection
    from cloverkeel.hosts.pool import Pools

HOLD_S = 0.05  # for a body of unknown length to come whole; else it passes on as a long one
RATE_SLACK_S = 0.25  # for pieces far apart; with the look after it, within half a second of the client's time
RATE_S = 0.1  # between two looks at how much of an answer has come


class LongBodies:
    """Which connections long bodies pass over, and when these begin and end."""

    def __init__(self, pools: Pools) -> None:
        self.pools = pools
        self.passing: set[HostConnection] = set()

    def set_long(self, connection: HostConnection, passes: bool) -> None:
        connection.moved_us = now_us()
        (self.passing.add if passes else self.passing.discard)(connection)
        self.pools.buffer.long = len(self.passing)

    def on_body_end(self, connection: HostConnection) -> None:
        """The last byte of a long body was written, or waits to be: the request's time begins."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            return
        attempt.sent_us = now_us()
        if connection.on_piece is None:
            self.set_long(connection, False)
            timeout_s = attempt.timeout_us / 1e6
            attempt.timers.append(self.pools.loop.call_later(timeout_s, self.pools.on_timeout, attempt))
        if connection.is_written:
            self.pools.on_written(connection)

    def hold(self, connection: HostConnection) -> None:
        """Wait a while for the end of an answer that may be short, so that it could still be tried again.

        Guards against holding a long one that comes slowly until its time is out.
        """
        attempt = connection.attempt
        assert attempt is not None
        if attempt.holding is None:
            attempt.holding = self.pools.loop.call_later(HOLD_S, self.on_held, connection, attempt)
            attempt.timers.append(attempt.holding)

    def on_held(self, connection: HostConnection, attempt: Attempt) -> None:
        attempt.holding = None
        replies = connection.replies
        if connection.attempt is attempt and replies.begin() and replies.begun is not None:
            self.pass_on(connection, replies.begun)

    def pass_on(self, connection: HostConnection, head: Reply) -> bool:
        """Hand on what has come of a long answer; False if it is of no use."""
        attempt = connection.attempt
        assert attempt is not None
        if connection.on_piece is None:
            outcome = outcome_of(head)
            if outcome is Outcome.OK:
                for timer in attempt.timers:
                    timer.cancel()
                connection.on_piece = attempt.on_begin(attempt, head)
            if connection.on_piece is None:
                connection.attempt = None
                connection.close()
                # A probe's answer is not long; a request's that nobody takes is called off.
                self.pools.end(attempt, Outcome.CANCELLED if outcome is Outcome.OK else outcome, head)
                return False
            self.set_long(connection, True)
            attempt.begun_us = now_us()
            if not connection.replies.is_long:
                self.check_rate(connection, attempt, attempt.left_us() / 1e6)
        connection.moved_us = now_us()
        data = connection.replies.take()
        if data:
            connection.on_piece(data)
        return connection.attempt is attempt

    def check_rate(self, connection: HostConnection, attempt: Attempt, delay_s: float) -> None:
        attempt.timers = [self.pools.loop.call_later(max(0, delay_s), self.on_rate, connection, attempt)]

    def on_rate(self, connection: HostConnection, attempt: Attempt) -> None:
        """End an answer that passes on, is not long so far, and trickles when its client's time is out.

        Guards against one that never ends: its client waited for an end until it left. What comes faster may
        be a long one, of which the first bytes are timed, and goes on.
        """
        if connection.attempt is not attempt or connection.replies.is_long or connection.transport is None:
            return
        least = LEAST_RATE * ((now_us() - attempt.begun_us) / 1e6 - RATE_SLACK_S)
        passes = attempt.upload is not None and not attempt.upload.ended
        if passes or not connection.transport.is_reading() or connection.replies.size >= least:
            self.check_rate(connection, attempt, RATE_S)
        else:
            # Like one that breaks off: its host failed it, but a time-out would tell of a crowd there.
            self.pools.cancel(attempt, Outcome.RESET)
