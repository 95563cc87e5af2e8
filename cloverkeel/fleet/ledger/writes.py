"""Turns a local write into a record, or refuses it."""

from __future__ import annotations

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.interface import Delete, Write
from cloverkeel.fleet.ledger.records import (
    CONTEXT_RUNS_MAX,
    PAYLOAD_MAX,
    Record,
    invalid_name_reason,
    payload_hash,
)
from cloverkeel.fleet.ledger.replica import Put, Replica


def prepare(replica: Replica, event: Write | Delete, dot: Dot) -> Put | str:
    """The record of the write `event`, with dot `dot`; or one line of why it is refused.

    The record's context is the part of the writer's context that belongs to this key, merged with the
    contexts of the siblings that it covers. A write whose context covers dots that this member has not stored
    is refused: it would supersede records that are still to arrive.
    """
    name = event.kind, event.key
    why = invalid_name_reason(*name)
    if why is not None:
        return why
    payload = event.payload if isinstance(event, Write) else b""
    if len(payload) > PAYLOAD_MAX:
        return f"a payload has up to {PAYLOAD_MAX} bytes, this one has {len(payload)}"
    held = replica.siblings(name)
    seen = [record for record in held if event.context.covers(record.dot)]
    if not replica.context.includes(event.context):
        return (
            "its context is ahead of this member: it was read elsewhere and has not been replicated here yet"
        )
    if isinstance(event, Delete) and all(record.deleted for record in seen):
        return "nothing to delete under this context"
    context = event.context.intersection(replica.key_context(name))
    for record in seen:
        context = context.merge(record.context)
    if context.run_count() > CONTEXT_RUNS_MAX:
        return f"a context of over {CONTEXT_RUNS_MAX} runs: the key was written too often since it was begun"
    if isinstance(event, Delete):
        return Put(Record(*name, b"", 0, dot, context, deleted=True), b"")
    return Put(Record(*name, payload_hash(payload), len(payload), dot, context), payload)
