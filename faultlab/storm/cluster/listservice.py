"""The simulated list service: full lists and deltas by index, restarts at a lower index, outages."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cloverkeel.fleet.lists.versioned_list import RawEntry, is_deleted

# Index at the start of each life of the service. The indexes of two lives must not overlap: a restart that
# reaches an index of the life before cannot be distinguished from a change without the service's epoch.
START_INDEXES = (10_000, 1_000, 10)


@dataclass(slots=True)
class ListService:
    """A list service of up to 12 hosts. The `made` number of an entry is unique over all lives."""

    rng: random.Random
    reports_epoch: bool = False  # answers carry the epoch
    up: bool = True  # it answers calls
    life: int = 0  # number of restarts
    index: int = START_INDEXES[0]
    entry_count: int = 0  # number of the newest entry
    entries: dict[str, RawEntry] = field(default_factory=dict)
    changes: list[tuple[int, RawEntry]] = field(default_factory=list)  # of this life, by index

    @property
    def epoch(self) -> int | None:
        """The epoch that answers carry; None: they carry none."""
        return self.life if self.reports_epoch else None

    def change(self) -> None:
        """Add, change or delete one host."""
        self.index += self.rng.randint(1, 2)
        self.entry_count += 1
        name = f"h{self.rng.randrange(12)}"
        entry: RawEntry = {"name": name, "made": self.entry_count}
        if name in self.entries and self.rng.random() < 0.4:
            entry["status"] = "DELETED"
        self.changes.append((self.index, entry))
        if is_deleted(entry):
            del self.entries[name]
        else:
            self.entries[name] = entry

    def restart(self) -> None:
        """Restart with other hosts, a lower index and no changes; START_INDEXES limits the restarts."""
        self.life += 1
        self.index = START_INDEXES[self.life]
        self.changes.clear()
        self.entry_count += 1
        self.entries = {
            f"h{n}": {"name": f"h{n}", "made": self.entry_count} for n in range(self.rng.randint(1, 6))
        }

    def answer(self, from_index: int | None) -> tuple[int, bool, list[RawEntry]]:
        """The answer to a call from `from_index`: index, whether the list is full, and entries.

        The list is full if this life does not have all changes since `from_index`.
        """
        first_index = self.changes[0][0] if self.changes else self.index
        if from_index is None or not first_index <= from_index <= self.index:
            return self.index, True, list(self.entries.values())
        return self.index, False, [entry for index, entry in self.changes if index > from_index]
