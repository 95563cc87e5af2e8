"""Invariants of the fleet's protocol cores, checked if `$LB_CHECK` is 1.

Callers test `if invariants.ON:` first, so that the checks cost one look-up of a global when they are off.
"""

from __future__ import annotations

import os

from cloverkeel.fleet.events import event

ON = os.environ.get("LB_CHECK") == "1"


class InvariantError(AssertionError):
    """An invariant does not hold; the message names it and the values seen."""


def check(condition: bool, what: str, **fields: object) -> None:
    """Log an event and raise InvariantError if `condition` does not hold.

    `fields` are the values seen; in a lab also the seed and the event's number.
    """
    if not condition:
        event("invariant.broken", what=what, **fields)
        raise InvariantError(f"{what} {fields}")
