"""Queue of member updates to piggyback on outgoing messages (SWIM, section 4.1), as in memberlist."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cloverkeel.fleet.membership.updates import MemberUpdate


@dataclass(slots=True)
class BroadcastQueue:
    """Member updates waiting to be piggybacked on outgoing messages.

    There is one per name: a newer update replaces the queued one, sent or not. Each is sent at most `limit`
    times. Updates sent least often go first, the newest of them before older ones, as in memberlist's
    transmit-limited queue.
    """

    # By name: times sent, age stamp (lower is newer), encoded bytes (0: not yet known), update. The tuples
    # sort in the order of sending.
    queued: dict[str, tuple[int, int, int, MemberUpdate]] = field(default_factory=dict)
    age_stamp: int = 0

    def add(self, update: MemberUpdate) -> None:
        """Queue an update as not yet sent, in place of an older one for the same name."""
        self.age_stamp -= 1
        self.queued[update.name] = (0, self.age_stamp, 0, update)

    def select(self, budget: int, size: Callable[[MemberUpdate], int], limit: int) -> list[MemberUpdate]:
        """Pick as many updates as fit in `budget` bytes, in queue order, and count each as sent once.

        `size` gives an update's encoded bytes; it is called once per queued update.
        """
        chosen: list[MemberUpdate] = []
        for sent, stamp, cost, update in sorted(self.queued.values()):
            if not cost:
                cost = size(update)
                self.queued[update.name] = (sent, stamp, cost, update)
            if cost > budget:
                continue
            budget -= cost
            chosen.append(update)
            if sent + 1 >= limit:
                del self.queued[update.name]
            else:
                self.queued[update.name] = (sent + 1, stamp, cost, update)
        return chosen


def retransmit_limit(mult: int, members: int) -> int:
    """Number of times an update is sent before it is dropped: `mult * ceil(log2(members + 1))`."""
    return mult * math.ceil(math.log2(members + 1))
