"""The queue of rumours that ride on outgoing messages (SWIM, section 4.1), as memberlist documents it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cloverkeel.fleet.membership.updates import MemberUpdate


@dataclass(slots=True)
class BroadcastQueue:
    """Rumours that wait to ride on outgoing messages (SWIM's piggybacking, section 4.1).

    One a name: a newer rumour of a name replaces the one before, sent or not. Each goes out at most `limit`
    times; those sent least go first, and among them the newest, as memberlist's transmit-limited queue does.
    """

    # By name: times sent, less the newer it is, bytes (0: not yet asked), the rumour. Sorts as it stands.
    queued: dict[str, tuple[int, int, int, MemberUpdate]] = field(default_factory=dict)
    age_stamp: int = 0

    def add(self, rumour: MemberUpdate) -> None:
        self.age_stamp -= 1
        self.queued[rumour.name] = (0, self.age_stamp, 0, rumour)

    def select(self, budget: int, size: Callable[[MemberUpdate], int], limit: int) -> list[MemberUpdate]:
        """As many as fit in `budget` bytes by `size`, in the order above; each taken counts as sent once. A
        rumour's size is asked for once."""
        chosen: list[MemberUpdate] = []
        for sent, stamp, cost, rumour in sorted(self.queued.values()):
            if not cost:
                cost = size(rumour)
                self.queued[rumour.name] = (sent, stamp, cost, rumour)
            if cost > budget:
                continue
            budget -= cost
            chosen.append(rumour)
            if sent + 1 >= limit:
                del self.queued[rumour.name]
            else:
                self.queued[rumour.name] = (sent + 1, stamp, cost, rumour)
        return chosen


def retransmit_limit(mult: int, members: int) -> int:
    """How many times a rumour rides on messages before it is dropped: `mult * ceil(log2(members + 1))`."""
    return mult * math.ceil(math.log2(members + 1))
