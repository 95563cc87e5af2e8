"""What members say to each other, as msgpack. Everything that comes in is checked before the core sees it."""

from __future__ import annotations

import msgspec

from cloverkeel.fleet.ledger.bucket_hashes import BUCKET_COUNT
from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.records import PAYLOAD_MAX, Record, invalid_reason

HEADS_MAX = 256  # heads in a message, and dots in a `Want`
LEAVES_MAX = 1_000  # dots in a `Leaves`
PIECE_BYTES = 32 * 1024  # bytes of a payload in one message
INLINE_BYTES = 1024  # bytes of a payload that goes with its head
CONTEXT_WRITERS_MAX = 65_536  # writers in a member's context


class Heads(msgspec.Struct, frozen=True, array_like=True, tag="heads"):
    """Records the sender holds. `fresh`: new to the sender, to be passed on; `confirm`: the sender waits for
    a `Held` of each. `payloads`: those of up to `INLINE` bytes, in any order, to spare a `Fetch`."""

    records: tuple[Record, ...]
    fresh: bool = False
    confirm: bool = False
    payloads: tuple[bytes, ...] = ()


class Want(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Answer with the heads of these."""

    dots: tuple[Dot, ...]


class Held(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """These are taken in and on the sender's disk (or superseded by what is)."""

    dots: tuple[Dot, ...]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """The sender's root hash and context; or in place of a context, which is empty then, its hash: `summary`.
    `settled`: what it holds may be taken from it."""

    root: bytes
    context: Context
    settled: bool
    reply: bool = False
    context_hash: bytes = b""


class Buckets(msgspec.Struct, frozen=True, array_like=True, tag="buckets"):
    """The sender's bucket hashes: it has another root."""

    root: bytes
    hashes: bytes


class Leaves(msgspec.Struct, frozen=True, array_like=True, tag="leaves"):
    """The sender's dots in buckets that differ, and its context. `base`: the receiver's root when it was
    compared; `whole`: these are all the buckets that differ; `reply`: to a `Leaves`, not to be answered."""

    root: bytes
    receiver_root: bytes
    buckets: dict[int, tuple[Dot, ...]]
    context: Context
    settled: bool
    complete: bool
    reply: bool


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    sha256: bytes
    offset: int
    length: int


class Piece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """A piece of a payload of `size` bytes; `data` None: the sender does not hold it."""

    sha256: bytes
    offset: int
    size: int
    data: bytes | None


Message = Heads | Want | Held | Digest | Buckets | Leaves | Fetch | Piece

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(body: bytes) -> Message:
    """The message in `body`; raises ValueError with one line of why it is none."""
    try:
        message = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    why = _invalid_reason(message)
    if why is not None:
        raise ValueError(f"{type(message).__name__.lower()}: {why}")
    return message


def _invalid_reason(message: Message) -> str | None:
    if isinstance(message, Heads):
        if len(message.records) > HEADS_MAX:
            return f"over {HEADS_MAX} heads"
        if len(message.payloads) > HEADS_MAX or any(len(each) > INLINE_BYTES for each in message.payloads):
            return f"over {HEADS_MAX} payloads, or one of over {INLINE_BYTES} bytes"
        return next((why for record in message.records if (why := invalid_reason(record)) is not None), None)
    if isinstance(message, Want | Held):
        return f"over {HEADS_MAX} dots" if len(message.dots) > HEADS_MAX else None
    if isinstance(message, Leaves):
        if sum(map(len, message.buckets.values())) > 8 * LEAVES_MAX:  # one bucket may be over the aim
            return "too many dots"
        if not all(0 <= bucket < BUCKET_COUNT for bucket in message.buckets):
            return f"a bucket is 0 to {BUCKET_COUNT - 1}"
    if isinstance(message, Digest | Leaves):
        return (
            "a context too large"
            if len(message.context.runs) > CONTEXT_WRITERS_MAX
            else message.context.invalid_reason()
        )
    if isinstance(message, Fetch):
        return (
            None
            if 0 <= message.offset <= PAYLOAD_MAX and 0 <= message.length <= PIECE_BYTES
            else "no such piece"
        )
    return None
