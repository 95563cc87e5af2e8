"""Coding of datagrams and frames: round trips, bounds on what is sent, and rejection of invalid input."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.fleet.membership.codec import MAX_INCARNATION, Codec, DatagramError, updates_from_body
from cloverkeel.fleet.membership.frames import FrameCodec, FrameError
from cloverkeel.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    Ack,
    Gossip,
    Join,
    Message,
    Nack,
    Ping,
    PingReq,
    Push,
    update_bytes,
)
from cloverkeel.fleet.membership.updates import MemberUpdate, Status

CODEC = Codec("blue")


def short_text(max_bytes: int, min_bytes: int = 0) -> st.SearchStrategy[str]:
    text = st.text(st.characters(codec="utf-8"), min_size=min_bytes, max_size=max_bytes)
    return text.filter(lambda t: len(t.encode()) <= max_bytes)


addresses = st.sampled_from(
    ["127.0.0.1:1", "255.255.255.255:65535", "[::1]:7000", f"[{'abcd:' * 7}abcd]:65535"]
)
updates = st.builds(
    MemberUpdate, short_text(128, 1), addresses, st.integers(0, MAX_INCARNATION), st.sampled_from(Status),
    short_text(64), short_text(128),
)  # fmt: skip
piggybacked = st.lists(updates, max_size=2).map(tuple)
numbers = st.integers(0, 2**62)
messages = st.one_of(
    st.builds(Ping, numbers, updates, short_text(128, 1), piggybacked, st.booleans()),
    st.builds(PingReq, numbers, updates, updates, piggybacked),
    st.builds(Ack, numbers, updates, piggybacked),
    st.builds(Nack, numbers, updates, piggybacked),
    st.builds(Push, updates, piggybacked, st.booleans(), st.booleans()),
    st.builds(Join, updates),
    st.builds(Gossip, updates, piggybacked),
)


@given(messages)
def test_a_message_is_decoded_unchanged_and_is_never_larger_than_estimated(message: Message) -> None:
    estimate = (
        MESSAGE_OVERHEAD_BYTES - 60 + update_bytes(message.sender)
    )  # this cluster's name is 60 bytes shorter
    estimate += sum(map(update_bytes, message.updates))
    if isinstance(message, Ping):
        estimate += 2 + len(message.target.encode())
    elif isinstance(message, PingReq):
        estimate += update_bytes(message.target)
    if estimate > MAX_DATAGRAM_BYTES:
        return
    data = CODEC.encode(message)
    assert len(data) <= estimate
    again = CODEC.decode(data)
    assert again == message and again.sender.suspected_by == message.sender.suspected_by


arbitrary_values = st.recursive(
    st.one_of(
        st.none(), st.booleans(), st.integers(-(2**63), 2**64 - 1), st.text(max_size=5), st.binary(max_size=5)
    ),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=12,
)


def drop_reason(data: bytes) -> str:
    """The reason for dropping a datagram, or "" for a valid message, which is encoded again unchanged."""
    try:
        message = CODEC.decode(data)
    except DatagramError as error:
        assert "\n" not in error.reason and error.reason in ("malformed", "oversized", "version", "cluster")
        return error.reason
    assert CODEC.decode(CODEC.encode(message)) == message
    return ""


@given(
    st.one_of(st.binary(max_size=60), arbitrary_values.map(msgspec.msgpack.encode)), messages, st.randoms()
)
def test_an_invalid_datagram_is_rejected(data: bytes, message: Message, rng: random.Random) -> None:
    drop_reason(data)
    drop_reason(CODEC.header + data)
    try:
        valid = bytearray(CODEC.encode(message))
    except ValueError:
        return
    assert drop_reason(bytes(valid)) == ""
    assert drop_reason(bytes(valid[: rng.randrange(len(valid))])) in ("malformed", "version", "cluster")
    assert drop_reason(bytes(valid) + b"\0") in ("malformed", "oversized")
    valid[rng.randrange(len(valid))] ^= 1 << rng.randrange(8)
    drop_reason(bytes(valid))


def test_every_reason_for_dropping_a_datagram() -> None:
    me = MemberUpdate("a", "127.0.0.1:1", 1, Status.ALIVE)
    valid = CODEC.encode(Ack(1, me))
    invalid: dict[str, list[bytes]] = {
        "oversized": [valid + bytes(MAX_DATAGRAM_BYTES), CODEC.header + bytes(60_000)],
        "version": [b"", b"\x02" + valid[1:], b"GET / HTTP/1.1"],
        "cluster": [Codec("bluer").encode(Ack(1, me)), Codec("blu").encode(Ack(1, me))],
        "malformed": [valid[:1], valid[:4], valid[:-1], valid + b"\xc0"],
    }
    fields: list[Any] = ["a", "127.0.0.1:1", 1, 0, "", ""]
    for position, value in [
        (0, ""), (0, "x" * 129), (0, "é" * 65), (0, 3), (1, "127.0.0.1"), (1, "127.0.0.1:0"), (1, "host:1"),
        (1, "127.0.0.1:65536"), (1, "1" * 70 + ":1"), (2, -1), (2, 2**62 + 1), (2, 1.0), (3, 4), (3, "alive"),
        (4, "z" * 65), (5, "b" * 129), (5, None),
    ]:  # fmt: skip
        bad = [*fields[:position], value, *fields[position + 1 :]]
        invalid["malformed"].append(CODEC.header + msgspec.msgpack.encode([2, 1, bad, []]))
        with pytest.raises(DatagramError):
            updates_from_body([bad])
    invalid["malformed"].append(CODEC.header + msgspec.msgpack.encode([2, 1, [*fields, 0], []]))
    invalid["malformed"].append(CODEC.header + msgspec.msgpack.encode([9, 1, fields, []]))
    for reason, datagrams in invalid.items():
        assert [drop_reason(data) for data in datagrams] == [reason] * len(datagrams)


@given(st.binary(max_size=200), arbitrary_values, st.integers(1, 9))
def test_frames_split_anywhere_are_decoded_or_rejected(noise: bytes, body: Any, step: int) -> None:
    frames = FrameCodec("blue", most=4096)
    data, buffer, found = frames.encode("k", body) * 2, bytearray(), []
    for start in range(0, len(data), step):
        buffer += data[start : start + step]
        while (frame := frames.decode_next(buffer)) is not None:
            found.append(frame)
    # Compared after encoding again, as a tuple is decoded as a list.
    assert [frames.encode(kind, value) for kind, value in found] == [
        data[: len(data) // 2]
    ] * 2 and not buffer
    try:
        buffer = bytearray(noise)
        while frames.decode_next(buffer) is not None:
            pass
    except FrameError as error:
        assert error.reason in ("malformed", "oversized", "version", "cluster")
    with pytest.raises(FrameError, match="cluster"):
        FrameCodec("green").decode_next(bytearray(data))
    with pytest.raises(FrameError, match="oversized"):
        frames.encode("k", bytes(5000))
