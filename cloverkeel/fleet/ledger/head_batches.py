"""Batches records into `Heads` messages, with small payloads included."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from cloverkeel.fleet.ledger.messages import HEADS_MAX, INLINE_BYTES, Heads
from cloverkeel.fleet.ledger.records import Record

RUNS_PER_MESSAGE = 8_192  # runs in the contexts of one message's heads: about 100 KB encoded


def batch_heads(
    records: Sequence[Record], payloads: Mapping[bytes, bytes], fresh: bool, confirm: bool
) -> Iterator[Heads]:
    """The messages that carry the heads `records`; `payloads`: those held by this member, by SHA-256."""
    at = 0
    while at < len(records):
        count, runs = 1, records[at].context.run_count()
        while count < HEADS_MAX and at + count < len(records) and runs < RUNS_PER_MESSAGE:
            runs += records[at + count].context.run_count()
            count += 1
        batch = tuple(records[at : at + count])
        small = {record.sha256 for record in batch if record.size <= INLINE_BYTES} & payloads.keys()
        yield Heads(batch, fresh, confirm, tuple(payloads[sha256] for sha256 in sorted(small)))
        at += count
