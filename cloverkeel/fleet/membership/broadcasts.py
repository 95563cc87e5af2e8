"""The queue of rumours that ride on outgoing messages (SWIM, section 4.1), as memberlist documents it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from cloverkeel.fleet.membership.rumours import Rumour


@dataclass(slots=True)
class Broadcasts:
    """Rumours that wait to ride on outgoing messages (SWIM's piggybacking, section 4.1).

    One a name: a newer rumour of a name replaces the one before, sent or not. Each goes out at most `limit`
    times; those sent least go first, and among them the newest, as memberlist's transmit-limited queue does.
    """

    # By name: times sent, less the newer it is, bytes (0: not yet asked), the rumour. Sorts as it stands.
    waiting: dict[str, tuple[int, int, int, Rumour]] = field(default_factory=dict)
    stamp: int = 0

    def add(self, rumour: Rumour) -> None:
        self.stamp -= 1
        self.waiting[rumour.name] = (0, self.stamp, 0, rumour)

    def take(self, budget: int, size: Callable[[Rumour], int], limit: int) -> list[Rumour]:
        """As many as fit in `budget` bytes by `size`, in the order above; each taken counts as sent once. A
        rumour's size is asked for once."""
        chosen: list[Rumour] = []
        for sent, stamp, cost, rumour in sorted(self.waiting.values()):
            if not cost:
                cost = size(rumour)
                self.waiting[rumour.name] = (sent, stamp, cost, rumour)
            if cost > budget:
                continue
            budget -= cost
            chosen.append(rumour)
            if sent + 1 >= limit:
                del self.waiting[rumour.name]
            else:
                self.waiting[rumour.name] = (sent + 1, stamp, cost, rumour)
        return chosen


def retransmits(mult: int, members: int) -> int:
    """How many times a rumour rides on messages before it is dropped: `mult * ceil(log2(members + 1))`."""
    return mult * math.ceil(math.log2(members + 1))
