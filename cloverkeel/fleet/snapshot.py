"""What the state store saves and counts.

It is kept apart from the store itself, so that a gateway without a store imports no database.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from caperdrift.interface import LearnedState


@dataclass(slots=True, frozen=True)
class Snapshot:
    """State of one process at `taken_unix_s`, saved for the next one."""

    taken_unix_s: float
    learned: LearnedState  # what the balancing module has learned about hosts
    known: dict[str, Any] = field(default_factory=dict)  # last list, in discovery's form; {}: none
    classes: tuple[bytes, ...] = ()  # names of the classes, by their number in `learned`

    def learned_for(self, classes: Sequence[bytes]) -> LearnedState:
        """The learned state with classes renumbered to their positions in `classes`.

        A reconfigured process numbers classes differently from its next start. State about a class whose name
        is not in `classes` is left out.
        """
        new_by_old = {
            number: classes.index(name) for number, name in enumerate(self.classes) if name in classes
        }
        old_by_new = {new: old for old, new in new_by_old.items()}

        def latencies(us: tuple[float, ...]) -> tuple[float, ...]:
            old_numbers = (old_by_new.get(number, -1) for number in range(len(classes)))
            # 0.0 means not known: a restore ignores it.
            return tuple(us[old_number] if 0 <= old_number < len(us) else 0.0 for old_number in old_numbers)

        servers = tuple(
            replace(
                s,
                by_class=tuple((new_by_old[k], weight, b) for k, weight, b in s.by_class if k in new_by_old),
            )
            for s in self.learned.servers
        )
        learned = self.learned
        return LearnedState(servers, latencies(learned.smoothed_us), latencies(learned.unhindered_us))


@dataclass(slots=True)
class StoreCounters:
    """Counters of the state store since the process started, for telemetry."""

    corrupt: int = 0
    written: int = 0
    write_failures: int = 0

    def counters(self) -> dict[str, int]:
        """The counters by the names of their metrics."""
        return {
            "state_corrupt_total": self.corrupt,
            "state_snapshots_written_total": self.written,
            "state_write_failures_total": self.write_failures,
        }
