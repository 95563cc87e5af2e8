"""How records are told to others: as heads, several in a message, small payloads with them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from cloverkeel.fleet.ledger.messages import HEADS_MAX, INLINE_BYTES, Heads
from cloverkeel.fleet.ledger.records import Record

RUNS_PER_MESSAGE = 8_192  # in the contexts of the heads of one message: some 100 KB


def batch_heads(
    records: Sequence[Record], payloads: Mapping[bytes, bytes], fresh: bool, confirm: bool
) -> Iterator[Heads]:
    """The messages that tell of `records`; `payloads`: those held, by SHA-256."""
    at = 0
    while at < len(records):
        many, runs = 1, records[at].context.run_count()
        while many < HEADS_MAX and at + many < len(records) and runs < RUNS_PER_MESSAGE:
            runs += records[at + many].context.run_count()
            many += 1
        together = tuple(records[at : at + many])
        small = {record.sha256 for record in together if record.size <= INLINE_BYTES} & payloads.keys()
        yield Heads(together, fresh, confirm, tuple(payloads[sha256] for sha256 in sorted(small)))
        at += many
