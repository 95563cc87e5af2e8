"""What activation keeps in the ledger: orders, proposals, votes, reports and epochs, as msgpack.

Everything read is checked on its way in; `decode` raises ValueError, with one line, for what is no such
record.
"""

from __future__ import annotations

import functools
from typing import Annotated, Literal

import msgspec

ORDER, PROPOSAL, VOTE, REPORT, EPOCH = (
    "transforms.order", "transforms.proposal", "transforms.vote", "transforms.report", "transforms.epoch",
)  # fmt: skip
KINDS = (ORDER, PROPOSAL, VOTE, REPORT, EPOCH)
EPOCH_OWNER = "epoch"  # the owner of the epochs' records
NUMBERS_PER_KEY = 64  # numbers to a key
MAX_PUBLISHED_BYTES = 255 * 1024  # bytes of a file; the record around it has to fit the ledger's 256 KiB
MAX_SLOTS = 64  # names with a slot

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Id = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
ReasonText = Annotated[str, msgspec.Meta(max_length=500)]
Members = Annotated[tuple[Name, ...], msgspec.Meta(max_length=4096)]
OrderSequence = tuple[Number, str]  # an order's number and id: orders of a name are taken in this order
Ballot = tuple[Number, Name, Number]  # round, member, process life: none is used twice


class Order(msgspec.Struct, frozen=True, array_like=True):
    """What a developer asks of one transform. `source`: the file as published, empty to roll back."""

    name: Name
    id: Id
    number: Number
    verb: Literal["publish", "rollback"]
    source: Annotated[bytes, msgspec.Meta(max_length=MAX_PUBLISHED_BYTES)] = b""

    @property
    def sequence(self) -> OrderSequence:
        return self.number, self.id

    @property
    def key(self) -> str:
        return f"{self.name}/{self.id}"


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """One name in an epoch. Versions are the ids of the orders that published them, "" for none.

    `canaries` run `candidate`, the others `active`; those `behind` could not stage it and run `before`, or
    nothing while there is a candidate. `last`: the last order carried out, or barred. `why`: for people."""

    active: str = ""
    candidate: str = ""
    canaries: Members = ()
    before: str = ""
    behind: Members = ()
    last: OrderSequence = (0, "")
    why: ReasonText = ""

    def runnable_versions(self) -> frozenset[str]:
        """What may run under this slot."""
        behind = self.before if self.behind and not self.candidate else ""
        return frozenset({self.active, self.candidate, behind} - {""})

    def referenced_versions(self) -> frozenset[str]:
        return frozenset({self.active, self.candidate, self.before} - {""})


class Epoch(msgspec.Struct, frozen=True, array_like=True):
    """All that is active, and the `voters` who decide the next one, each on the disk of the same place in
    `disks` (none: an epoch from before disks were named). `by`: the member and process life that proposed it,
    which own round 0 of the next number. Number 0: nothing has been decided."""

    number: Number = 0
    voters: Members = ()
    slots: Annotated[dict[Name, Slot], msgspec.Meta(max_length=MAX_SLOTS)] = {}
    store_ids: Annotated[tuple[Number, ...], msgspec.Meta(max_length=4096)] = ()
    proposed_by: tuple[Name, Number] | None = None

    def voter_store_ids(self) -> dict[str, int]:
        """Each voter's disk; 0: not known."""
        return dict(zip(self.voters, self.store_ids or (0,) * len(self.voters), strict=True))

    def slot(self, name: str) -> Slot:
        return self.slots.get(name) or Slot()


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A ballot for an epoch's number; without a value it asks for promises."""

    epoch: Number
    ballot: Ballot
    value: Epoch | None = None


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """A member's word on an epoch: no lower ballot than `promised`; `value` accepted at `accepted`. The disk
    that keeps it is in its key: so are all votes on one ballot one payload, and told as one."""

    epoch: Number
    promised: Ballot
    accepted: Ballot | None = None
    value: Epoch | None = None


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one member runs and holds: its epoch, versions staged ("" or why not), open breakers, its disk."""

    number: Number
    epoch: Number
    stage_results: dict[Id, ReasonText] = {}
    open_breakers: tuple[Id, ...] = ()
    store_id: Number = 0


ActivationRecord = Order | Proposal | Vote | Report | Epoch
RECORD_TYPES: dict[str, type[ActivationRecord]] = {
    ORDER: Order, PROPOSAL: Proposal, VOTE: Vote, REPORT: Report, EPOCH: Epoch,
}  # fmt: skip
_decoders: dict[str, msgspec.msgpack.Decoder[ActivationRecord]] = {
    kind: msgspec.msgpack.Decoder(body) for kind, body in RECORD_TYPES.items()
}
_encoder = msgspec.msgpack.Encoder()


def record_key(owner: str, number: int) -> str:
    """Where an owner's record of this number stands. A key is left after BLOCK numbers: a record's context
    grows with each write of its key."""
    return f"{owner}/{number // NUMBERS_PER_KEY}"


def vote_key(member: str, disk: int, number: int) -> str:
    return f"{member}/{disk}-{number // NUMBERS_PER_KEY}"


def key_store_id(key: str) -> int:
    """The disk in a vote's key; 0: from before disks were named. Raises ValueError."""
    disk, named, _ = key.rpartition("/")[2].partition("-")
    return int(disk) if named else 0


def key_owner(key: str) -> str:
    return key.rpartition("/")[0]


def encode(body: ActivationRecord) -> bytes:
    return _encoder.encode(body)


@functools.lru_cache(maxsize=512)
def _decode_cached(kind: str, payload: bytes) -> ActivationRecord:
    """All votes on one ballot are one payload, and with many voters long to read."""
    return _decoders[kind].decode(payload)


def decode(kind: str, key: str, payload: bytes) -> ActivationRecord:
    """Raises ValueError for a payload that is none of its kind, or stands under another's key."""
    try:
        body = _decoders[kind].decode(payload) if kind == ORDER else _decode_cached(kind, payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    if isinstance(body, Order) and body.key != key:
        raise ValueError("the order's name and id are not its key's")
    if isinstance(body, Proposal) and (
        body.ballot[1] != key_owner(key) or _epochs_differ(body.epoch, body.value)
    ):
        raise ValueError("the proposal is another member's, or its value another epoch's")
    if (
        isinstance(body, Vote)
        and key_store_id(key) >= 0
        and ((body.accepted is None) != (body.value is None) or _epochs_differ(body.epoch, body.value))
    ):
        raise ValueError("the vote accepts no value, or another epoch's")
    epoch = body if isinstance(body, Epoch) else getattr(body, "value", None)
    if epoch is not None and epoch.store_ids and len(epoch.store_ids) != len(epoch.voters):
        raise ValueError("the epoch names not one disk for each voter")
    return body


def _epochs_differ(number: int, value: Epoch | None) -> bool:
    return value is not None and value.number != number


def merge_votes(votes: list[Vote]) -> Vote:
    """One voter's votes that the ledger kept side by side: the highest ballots of the highest epoch."""
    number = max(vote.epoch for vote in votes)
    votes = [vote for vote in votes if vote.epoch == number]
    best = max(votes, key=lambda vote: vote.accepted or (-1, "", 0))
    return Vote(number, max(vote.promised for vote in votes), best.accepted, best.value)
