"""What the state store keeps and counts, apart from the store itself, so that a gateway without a store
imports no database."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from caperdrift.interface import LearnedState


@dataclass(slots=True, frozen=True)
class Snapshot:
    """What one process knew at `taken_unix_s`: the module's learned state and the last list, in discovery's
    form (`{}`: none)."""

    taken_unix_s: float
    learned: LearnedState
    known: dict[str, Any] = field(default_factory=dict)
    classes: tuple[bytes, ...] = ()  # the name behind each number of a class in `learned`

    def learned_for(self, classes: Sequence[bytes]) -> LearnedState:
        """What was learned, under the numbers that these names have now. What names are not known to be of a
        class here is left out: a process that has been reconfigured numbers otherwise than its next start."""
        now = {number: classes.index(name) for number, name in enumerate(self.classes) if name in classes}
        was = {new: old for old, new in now.items()}

        def latencies(us: tuple[float, ...]) -> tuple[float, ...]:
            places = (was.get(number, -1) for number in range(len(classes)))
            return tuple(us[place] if 0 <= place < len(us) else 0.0 for place in places)  # 0: not taken up

        servers = tuple(
            replace(s, by_class=tuple((now[k], weight, b) for k, weight, b in s.by_class if k in now))
            for s in self.learned.servers
        )
        learned = self.learned
        return LearnedState(servers, latencies(learned.smoothed_us), latencies(learned.unhindered_us))


@dataclass(slots=True)
class StoreCounters:
    """What the store has done since the process began, for telemetry."""

    corrupt: int = 0
    written: int = 0
    write_failures: int = 0

    def counters(self) -> dict[str, int]:
        return {
            "state_corrupt_total": self.corrupt,
            "state_snapshots_written_total": self.written,
            "state_write_failures_total": self.write_failures,
        }
