"""Collection of tombstones that every member which could hold the deleted records has stored."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.ledger.replica import Replica


def collectable_tombstones(
    replica: Replica, view: Iterable[str], peer_contexts: Mapping[str, Context]
) -> list[Record]:
    """The tombstones that may be dropped: their key has no live record, and every member has stored them.

    `view`: the other members, including those dead for less than `reap_after_s`; `peer_contexts`: the newest
    context received from each. The records that a dropped tombstone deleted are still refused, since the
    contexts cover their dots. A tombstone beside a live sibling shows that a delete and an edit were
    concurrent, and stays.
    """
    if not replica.tombstones:
        return []
    contexts: list[Context] = []
    for member in view:
        if member not in peer_contexts:
            return []
        contexts.append(peer_contexts[member])
    return [
        record
        for record in replica.tombstones.values()
        if all(other.deleted for other in replica.siblings(record.name))
        and all(context.covers(record.dot) for context in contexts)
    ]
