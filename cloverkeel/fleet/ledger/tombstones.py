"""When a tombstone may go: not before everyone who could still hold what it deleted has seen it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.ledger.replica import Replica


def collectable_tombstones(
    replica: Replica, view: Iterable[str], heard: Mapping[str, Context]
) -> list[Record]:
    """The tombstones of keys without a live record that every member of `view` (those dead for less than
    `reap_after_s` included, this member not) has taken in by the newest context heard from it. What they
    deleted stays refused by the contexts; a sibling's tombstone says that a delete and an edit were
    concurrent, and stays."""
    if not replica.tombstones:
        return []
    contexts: list[Context] = []
    for member in view:
        if member not in heard:
            return []
        contexts.append(heard[member])
    return [
        record
        for record in replica.tombstones.values()
        if all(other.deleted for other in replica.siblings(record.name))
        and all(context.covers(record.dot) for context in contexts)
    ]
