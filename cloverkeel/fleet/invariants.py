"""Invariants of the fleet's cores, checked where `$LB_CHECK` is 1.

Call sites guard with `if invariants.ON:`, so that a process without it pays for one look at a global.
"""

from __future__ import annotations

import os

from cloverkeel.fleet.events import event

ON = os.environ.get("LB_CHECK") == "1"


class InvariantError(AssertionError):
    """An invariant does not hold; the message names it and what was seen."""


def check(condition: bool, what: str, **fields: object) -> None:
    """Log one line and raise BrokenError where `condition` does not hold. `fields` are what was seen: the
    seed and the event's number in a lab."""
    if not condition:
        event("invariant.broken", what=what, **fields)
        raise InvariantError(f"{what} {fields}")
