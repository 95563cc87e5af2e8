"""Messages between members, encoded as msgpack. Every message is validated before the core handles it."""

from __future__ import annotations

import msgspec

from cloverkeel.fleet.ledger.bucket_hashes import BUCKET_COUNT
from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.records import PAYLOAD_MAX, Record, invalid_reason

HEADS_MAX = 256  # heads in a `Heads`, and dots in a `Want` or `Held`
LEAVES_MAX = 1_000  # dots that a `Leaves` aims to stay within
PIECE_BYTES = 32 * 1024  # most bytes of a payload in a `Piece`
INLINE_BYTES = 1024  # largest payload that is sent along with its head
CONTEXT_WRITERS_MAX = 65_536  # writers (actors) in a member's context


class Heads(msgspec.Struct, frozen=True, array_like=True, tag="heads"):
    """Records (heads) that the sender holds.

    `fresh`: new to the sender and to be forwarded; `confirm`: the sender waits for a `Held` of each;
    `payloads`: those of up to `INLINE_BYTES`, in any order, which saves a `Fetch`.
    """

    records: tuple[Record, ...]
    fresh: bool = False
    confirm: bool = False
    payloads: tuple[bytes, ...] = ()


class Want(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Asks for the heads of these dots."""

    dots: tuple[Dot, ...]


class Held(msgspec.Struct, frozen=True, array_like=True, tag="held"):
    """The sender has these dots on disk, or records that supersede them."""

    dots: tuple[Dot, ...]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """The sender's root hash and its context, or an empty context and the hash of the real one.

    `settled`: others may take over the sender's records; `reply`: an answer to a `Digest`.
    """

    root: bytes
    context: Context
    settled: bool
    reply: bool = False
    context_hash: bytes = b""


class Buckets(msgspec.Struct, frozen=True, array_like=True, tag="buckets"):
    """The sender's root and bucket hashes, sent because its root hash differs."""

    root: bytes
    hashes: bytes


class Leaves(msgspec.Struct, frozen=True, array_like=True, tag="leaves"):
    """The sender's dots in buckets that differ, and its context.

    `receiver_root`: the receiver's root hash that was compared; `complete`: these are all the buckets that
    differ; `reply`: an answer to a `Leaves`, which is not answered again.
    """

    root: bytes
    receiver_root: bytes
    buckets: dict[int, tuple[Dot, ...]]
    context: Context
    settled: bool
    complete: bool
    reply: bool


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Asks for `length` bytes of a payload from `offset` on."""

    sha256: bytes
    offset: int
    length: int


class Piece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """A piece of a payload of `size` bytes; `data` None: the sender does not hold the payload."""

    sha256: bytes
    offset: int
    size: int
    data: bytes | None


Message = Heads | Want | Held | Digest | Buckets | Leaves | Fetch | Piece

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(body: bytes) -> Message:
    """Decodes and validates a message. Raises ValueError with a reason of one line."""
    try:
        message = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    why = _invalid_reason(message)
    if why is not None:
        raise ValueError(f"{type(message).__name__.lower()}: {why}")
    return message


def _invalid_reason(message: Message) -> str | None:
    """Why a decoded message is invalid, or None."""
    if isinstance(message, Heads):
        if len(message.records) > HEADS_MAX:
            return f"over {HEADS_MAX} heads"
        if len(message.payloads) > HEADS_MAX or any(len(each) > INLINE_BYTES for each in message.payloads):
            return f"over {HEADS_MAX} payloads, or one of over {INLINE_BYTES} bytes"
        return next((why for record in message.records if (why := invalid_reason(record)) is not None), None)
    if isinstance(message, Want | Held):
        return f"over {HEADS_MAX} dots" if len(message.dots) > HEADS_MAX else None
    if isinstance(message, Leaves):
        if sum(map(len, message.buckets.values())) > 8 * LEAVES_MAX:  # one bucket alone may exceed LEAVES_MAX
            return "too many dots"
        if not all(0 <= bucket < BUCKET_COUNT for bucket in message.buckets):
            return f"a bucket number is not in 0 to {BUCKET_COUNT - 1}"
    if isinstance(message, Digest | Leaves):
        return (
            "a context with too many writers"
            if len(message.context.runs) > CONTEXT_WRITERS_MAX
            else message.context.invalid_reason()
        )
    if isinstance(message, Fetch):
        return (
            None
            if 0 <= message.offset <= PAYLOAD_MAX and 0 <= message.length <= PIECE_BYTES
            else "no such piece: offset or length out of range"
        )
    return None
