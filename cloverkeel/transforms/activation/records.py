"""The records that activation keeps in the ledger: orders, proposals, votes, reports and epochs, as msgpack.

All records are validated when read: `decode` raises ValueError, with a one-line reason, for an invalid
payload. The structs are stored as arrays, so the order of their fields is the stored format.
"""

from __future__ import annotations

import functools
from typing import Annotated, Literal

import msgspec

ORDER, PROPOSAL, VOTE, REPORT, EPOCH = (
    "transforms.order", "transforms.proposal", "transforms.vote", "transforms.report", "transforms.epoch",
)  # fmt: skip
KINDS = (ORDER, PROPOSAL, VOTE, REPORT, EPOCH)
EPOCH_OWNER = "epoch"  # stands for the owner in the keys of epoch records, which belong to no member
NUMBERS_PER_KEY = 64  # consecutive record numbers stored under one key
MAX_PUBLISHED_BYTES = 255 * 1024  # of a source file; the record around it has to fit the ledger's 256 KiB
MAX_SLOTS = 64  # transform names in an epoch

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Id = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
ReasonText = Annotated[str, msgspec.Meta(max_length=500)]
Members = Annotated[tuple[Name, ...], msgspec.Meta(max_length=4096)]
OrderSequence = tuple[Number, str]  # an order's number and id; orders of a name are processed in this order
Ballot = tuple[Number, Name, Number]  # round, member, process id; a member never uses one twice


class Order(msgspec.Struct, frozen=True, array_like=True):
    """A developer's request to publish or roll back one transform. `source`: the file as published; empty
    for a rollback."""

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
    """State of one transform name in an epoch. A version is the id of the order that published it, "" for
    none.

    The `canaries` run `candidate`, the other members `active`. Members in `behind` could not stage
    `active`; they run `before`, or nothing while there is a candidate. `last` is the last order that was
    carried out or refused. `why` is the reason for the last change, for people."""

    active: str = ""
    candidate: str = ""
    canaries: Members = ()
    before: str = ""
    behind: Members = ()
    last: OrderSequence = (0, "")
    why: ReasonText = ""

    def runnable_versions(self) -> frozenset[str]:
        """The versions that some member may run under this slot."""
        behind = self.before if self.behind and not self.candidate else ""
        return frozenset({self.active, self.candidate, behind} - {""})

    def referenced_versions(self) -> frozenset[str]:
        """The versions that this slot names, and that members therefore keep staged."""
        return frozenset({self.active, self.candidate, self.before} - {""})


class Epoch(msgspec.Struct, frozen=True, array_like=True):
    """A numbered decision of the cluster: the slots of all transforms, and the `voters` on the next epoch.

    `store_ids` has each voter's store id at the voter's index (empty: decided by a release that did not
    record them). `proposed_by` is the member and process id that proposed this epoch; only it may use
    round 0 for the next number. Number 0 means that nothing has been decided."""

    number: Number = 0
    voters: Members = ()
    slots: Annotated[dict[Name, Slot], msgspec.Meta(max_length=MAX_SLOTS)] = {}
    store_ids: Annotated[tuple[Number, ...], msgspec.Meta(max_length=4096)] = ()
    proposed_by: tuple[Name, Number] | None = None

    def voter_store_ids(self) -> dict[str, int]:
        """Each voter's store id; 0: not known."""
        return dict(zip(self.voters, self.store_ids or (0,) * len(self.voters), strict=True))

    def slot(self, name: str) -> Slot:
        """The slot of a name; an empty one if the epoch has none."""
        return self.slots.get(name) or Slot()


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A proposer's message on an epoch number. Without a value it asks for promises (Paxos phase 1); with
    one it asks for acceptance (phase 2)."""

    epoch: Number
    ballot: Ballot
    value: Epoch | None = None


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """A member's vote on an epoch number: it accepts no ballot lower than `promised`, and has accepted
    `value` at ballot `accepted`. The voter's store id is in the key, not here, so that equal votes on one
    ballot are one payload, which the ledger sends once."""

    epoch: Number
    promised: Ballot
    accepted: Ballot | None = None
    value: Epoch | None = None


class Report(msgspec.Struct, frozen=True, array_like=True):
    """One member's state: the epoch it runs, the result of staging each version ("" or the reason it
    failed), the versions whose breaker is open, and its store id (0: not recorded)."""

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
    """The key of an owner's record of this number. The key changes every NUMBERS_PER_KEY numbers, because a
    record's causal context grows with each write of its key."""
    return f"{owner}/{number // NUMBERS_PER_KEY}"


def vote_key(member: str, store_id: int, number: int) -> str:
    """The key of a member's vote on an epoch number, cast from this store."""
    return f"{member}/{store_id}-{number // NUMBERS_PER_KEY}"


def key_store_id(key: str) -> int:
    """The store id in a vote's key; 0: written by a release that did not record it. Raises ValueError."""
    store_id, separator, _ = key.rpartition("/")[2].partition("-")
    return int(store_id) if separator else 0


def key_owner(key: str) -> str:
    """The owner part of a key: a member, or EPOCH_OWNER."""
    return key.rpartition("/")[0]


def encode(body: ActivationRecord) -> bytes:
    """Encodes a record as the payload to store."""
    return _encoder.encode(body)


@functools.lru_cache(maxsize=512)
def _decode_cached(kind: str, payload: bytes) -> ActivationRecord:
    """Decodes with a cache: equal votes on one ballot are one payload, which is costly to decode if an
    epoch has many voters."""
    return _decoders[kind].decode(payload)


def decode(kind: str, key: str, payload: bytes) -> ActivationRecord:
    """Decodes and validates a payload. Raises ValueError if it is not a record of this kind or does not
    belong under this key."""
    try:
        body = _decoders[kind].decode(payload) if kind == ORDER else _decode_cached(kind, payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    if isinstance(body, Order) and body.key != key:
        raise ValueError("the order's name and id do not match its key")
    if isinstance(body, Proposal) and (
        body.ballot[1] != key_owner(key) or _epochs_differ(body.epoch, body.value)
    ):
        raise ValueError("the proposal's ballot is of another member, or its value of another epoch")
    if (
        isinstance(body, Vote)
        and key_store_id(key) >= 0
        and ((body.accepted is None) != (body.value is None) or _epochs_differ(body.epoch, body.value))
    ):
        raise ValueError("the vote has only one of accepted ballot and value, or a value of another epoch")
    epoch = body if isinstance(body, Epoch) else getattr(body, "value", None)
    if epoch is not None and epoch.store_ids and len(epoch.store_ids) != len(epoch.voters):
        raise ValueError("the epoch does not have one store id for each voter")
    return body


def _epochs_differ(number: int, value: Epoch | None) -> bool:
    return value is not None and value.number != number


def merge_votes(votes: list[Vote]) -> Vote:
    """Merges concurrent votes of one voter that the ledger kept as siblings: the highest promise and the
    highest accepted ballot on the highest epoch number."""
    number = max(vote.epoch for vote in votes)
    votes = [vote for vote in votes if vote.epoch == number]
    highest = max(votes, key=lambda vote: vote.accepted or (-1, "", 0))
    return Vote(number, max(vote.promised for vote in votes), highest.accepted, highest.value)
