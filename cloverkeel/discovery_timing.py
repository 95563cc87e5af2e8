"""How long calls for the list may take and wait, so that what discovery has is told in time on every path.

R is the moment from which discovery has a change and can be reached; what is told at R + b is in time where
R + b is no later than the moment at which the change counts as told (`TOLD...`). Each row is the worst
case: R just after a call was lost. T = call_s, W = retry_s, H = HOLD_S, A = an answer's way, at most T.

| path | told after R at most | bound |
| --- | --- | --- |
| the call fails at once: refused, reset, ended, 500, no list, no descriptor | W + A | TOLD_S |
| accepted and silent, silent after any byte, bytes without end: ends after T | T + W + A | TOLD_S |
| once at a new address, whatever failed at the old one | T + W + A | TOLD_MOVED_S |
| pushed, any of these: the agent's news counts at R | T + W + A | stop_sending_within_us |
| a watch that has fallen silent: the next call begins as it ends, without W | H + T + A | TOLD_S |
| after an answer, a connection that does not come up | T + T + A | TOLD_S |
| a start that is asked to wait for its first call | W + T + A | TOLD_S |

A call that has run out of time is heard beside the next ones for LATE_S, so that A may be longer than T where
the service is slow for all. A call takes longer than T (PATIENCE) only where no list has been had at all:
then nothing is sent.
"""

from __future__ import annotations

import random

UPDATE_BOUND_S = 6.0  # after a watch has fallen silent, or discovery could be reached again ...
SILENCE_BOUND_S = 2.0  # ... but for a watch not before this much after its wait is over
ADDRESS_CHANGE_BOUND_S = 4.0  # after SIGHUP has named another address
CALL_TIMEOUT_S = (
    SILENCE_BOUND_S / 2
)  # for an answer beyond its wait, then for a new connection and its answer
LATE_REPLY_S = (
    4.0  # a call that has run out of time is kept for so long beside the next: its answer may yet come
)
MAX_TIMEOUT_FACTOR = 3  # times that, for one that never had a list and whose calls have run out of time
# A longer wait only puts off news that a silent watch misses, a shorter one costs calls. Each call draws its
# own from the upper half: gateways that were told of one change must not all ask again in one moment.
HOLD_S = UPDATE_BOUND_S - SILENCE_BOUND_S
# Pushed: for a call, a wait and an answer at least. The agent answers at once, yet on a busy machine.
MIN_PUSHED_S = 0.2
RETRY_DOUBLINGS = 2  # times that the wait after failed calls to the agent doubles


def call_timeout_s(pushed: bool, stop_sending_s: float) -> float:
    """T. Of what a drained server may still be used where its drain is pushed, half."""
    return min(CALL_TIMEOUT_S, _pushed_bound_s(stop_sending_s) / 2) if pushed else CALL_TIMEOUT_S


def retry_delay_s(pushed: bool, stop_sending_s: float, failures: int, address_changed: bool) -> float:
    """W: after this many failed calls on end before the one that has just failed, ask again at the latest.

    Pushed, calls cost nothing: a quarter of what a drained server may still be used, less at first. Else the
    module asks by itself, by settings that know of no such bound.
    """
    if pushed:
        longest_s = _pushed_bound_s(stop_sending_s) / 4 / (1 << max(0, RETRY_DOUBLINGS - failures))
        return longest_s * random.uniform(0.5, 1.0)
    bound_s = ADDRESS_CHANGE_BOUND_S if address_changed else UPDATE_BOUND_S
    return (bound_s - 2 * CALL_TIMEOUT_S) * random.uniform(0.75, 1.0)


def hold_s() -> float:
    """H, for one call."""
    return HOLD_S * random.uniform(0.5, 1.0)


def _pushed_bound_s(stop_sending_s: float) -> float:
    return min(max(stop_sending_s, MIN_PUSHED_S), SILENCE_BOUND_S)
