"""Time-outs and waits of calls to the list service, chosen so that every path meets its bound.

R is the moment from which the list service has a change and is reachable. A path delivers the change by R + b
at the latest; it is in time if that is no later than its bound allows. Each row is the worst case: R falls
just after a call was lost. T = call_timeout_s, W = retry_delay_s, H = HOLD_S, A = transit time of a reply,
at most T.

| path | delivered after R at most | bound |
| --- | --- | --- |
| the call fails at once: refused, reset, closed, 500, no list, no descriptor | W + A | UPDATE_BOUND_S |
| accepted and silent, silent after any byte, endless bytes: ends after T | T + W + A | UPDATE_BOUND_S |
| first reply from a new address, whatever failed at the old one | T + W + A | ADDRESS_CHANGE_BOUND_S |
| pushed, any of these: the agent has the change at R | T + W + A | stop_sending_within_us |
| a watch that became silent: the next call starts as it ends, without W | H + T + A | UPDATE_BOUND_S |
| after a reply, a connection that is not established | T + T + A | UPDATE_BOUND_S |
| a start whose first call has to wait | W + T + A | UPDATE_BOUND_S |

The reply to a timed-out call is still accepted for LATE_REPLY_S, beside the next calls, so that A may exceed
T where the service is slow for all. A call may take longer than T (MAX_TIMEOUT_FACTOR) only as long as there
has been no list at all: then there is no host to send requests to.
"""

from __future__ import annotations

import random

UPDATE_BOUND_S = 6.0  # to deliver a change, after a watch became silent or the service is reachable again ...
SILENCE_BOUND_S = 2.0  # ... or, if later, this long after the end of a watch's hold time
ADDRESS_CHANGE_BOUND_S = 4.0  # to deliver a list after a reload with another address
# Half: for a reply that is late by this much, then for a new connection and its reply.
CALL_TIMEOUT_S = SILENCE_BOUND_S / 2
LATE_REPLY_S = 4.0  # how long the reply to a timed-out call is still accepted
MAX_TIMEOUT_FACTOR = 3  # longest call, in multiples of T: after time-outs, as long as there has been no list
# Longest hold time of a watch. A longer one would delay the changes that a silent watch misses, a shorter one
# costs calls. Each call draws from the upper half: gateways that got one change must not all call at once.
HOLD_S = UPDATE_BOUND_S - SILENCE_BOUND_S
# Least time for a call, a retry delay and a reply with pushed lists: the local agent replies at once, but the
# machine may be busy.
MIN_PUSHED_S = 0.2
RETRY_DOUBLINGS = 2  # times that the retry delay doubles after failed calls to the agent


def call_timeout_s(pushed: bool, stop_sending_s: float) -> float:
    """T: CALL_TIMEOUT_S; with pushed lists, at most half of the time for which a drained host may be used."""
    return min(CALL_TIMEOUT_S, _pushed_bound_s(stop_sending_s) / 2) if pushed else CALL_TIMEOUT_S


def retry_delay_s(pushed: bool, stop_sending_s: float, failures: int, address_changed: bool) -> float:
    """W: the jittered delay before the next call; `failures`: failed calls in a row before the last one.

    With pushed lists, calls cost nothing: the delay doubles up to a quarter of the time for which a drained
    host may be used. Otherwise it is the longest that keeps the bound; the decision module may call sooner.
    """
    if pushed:
        longest_s = _pushed_bound_s(stop_sending_s) / 4 / (1 << max(0, RETRY_DOUBLINGS - failures))
        return longest_s * random.uniform(0.5, 1.0)
    bound_s = ADDRESS_CHANGE_BOUND_S if address_changed else UPDATE_BOUND_S
    return (bound_s - 2 * CALL_TIMEOUT_S) * random.uniform(0.75, 1.0)


def hold_s() -> float:
    """H: the jittered hold time of one call."""
    return HOLD_S * random.uniform(0.5, 1.0)


def _pushed_bound_s(stop_sending_s: float) -> float:
    """The bound with pushed lists: how long a drained host may be used, within limits."""
    return min(max(stop_sending_s, MIN_PUSHED_S), SILENCE_BOUND_S)
