"""What the state store keeps and counts, apart from the store itself, so that a gateway without a store
imports no database."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from caperdrift.interface import Learned


@dataclass(slots=True, frozen=True)
class Snapshot:
    """What one process knew at `taken_unix_s`: the module's learned state and the last list, in discovery's
    form (`{}`: none)."""

    taken_unix_s: float
    learned: Learned
    known: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Figures:
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
