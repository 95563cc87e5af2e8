"""The list service of a storm: whole lists and changes by index, restarts at a lower index, silence."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cloverkeel.fleet.lists.versioned_list import RawEntry, is_deleted

# Index at the start of each life. None comes near the one before: a restart that reaches an index that the
# life before it had cannot be told from a change, but by the service's own epoch.
START_INDEXES = (10_000, 1_000, 10)


@dataclass(slots=True)
class ListService:
    """`epoch` is told where `tells_epoch`. Entries carry a number that no two of them share, in any life."""

    rng: random.Random
    reports_epoch: bool = False
    up: bool = True
    life: int = 0
    index: int = START_INDEXES[0]
    entry_count: int = 0
    entries: dict[str, RawEntry] = field(default_factory=dict)
    changes: list[tuple[int, RawEntry]] = field(default_factory=list)  # of this life, each with its index

    @property
    def epoch(self) -> int | None:
        return self.life if self.reports_epoch else None

    def change(self) -> None:
        """One host comes, changes or goes."""
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
        """A new life, with what hosts it finds: its index starts lower and its changes are forgotten. There
        are as many as LIVES has."""
        self.life += 1
        self.index = START_INDEXES[self.life]
        self.changes.clear()
        self.entry_count += 1
        self.entries = {
            f"h{n}": {"name": f"h{n}", "made": self.entry_count} for n in range(self.rng.randint(1, 6))
        }

    def answer(self, from_index: int | None) -> tuple[int, bool, list[RawEntry]]:
        """Index, whether it is the whole list, and entries, to a call from `from_index`; what this life does
        not know the changes from is answered whole."""
        first = self.changes[0][0] if self.changes else self.index
        if from_index is None or not first <= from_index <= self.index:
            return self.index, True, list(self.entries.values())
        return self.index, False, [entry for index, entry in self.changes if index > from_index]
