"""What comes from the network: datagrams and frames of every kind of wrong, and bounds on what is sent."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.fleet.membership.codec import MAX_INCARNATION, Codec, DatagramError, updates_from_body
from cloverkeel.fleet.membership.frames import FrameError, FrameCodec
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


def short(most: int, least: int = 0) -> st.SearchStrategy[str]:
    text = st.text(st.characters(codec="utf-8"), min_size=least, max_size=most)
    return text.filter(lambda t: len(t.encode()) <= most)


addresses = st.sampled_from(
    ["127.0.0.1:1", "255.255.255.255:65535", "[::1]:7000", f"[{'abcd:' * 7}abcd]:65535"]
)
rumours = st.builds(
    MemberUpdate, short(128, 1), addresses, st.integers(0, MAX_INCARNATION), st.sampled_from(Status),
    short(64), short(128),
)  # fmt: skip
riders = st.lists(rumours, max_size=2).map(tuple)
numbers = st.integers(0, 2**62)
messages = st.one_of(
    st.builds(Ping, numbers, rumours, short(128, 1), riders, st.booleans()),
    st.builds(PingReq, numbers, rumours, rumours, riders),
    st.builds(Ack, numbers, rumours, riders),
    st.builds(Nack, numbers, rumours, riders),
    st.builds(Push, rumours, riders, st.booleans(), st.booleans()),
    st.builds(Join, rumours),
    st.builds(Gossip, rumours, riders),
)


@given(messages)
def test_a_message_comes_as_it_went_and_is_never_larger_than_estimated(message: Message) -> None:
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


junk = st.recursive(
    st.one_of(
        st.none(), st.booleans(), st.integers(-(2**63), 2**64 - 1), st.text(max_size=5), st.binary(max_size=5)
    ),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=12,
)


def refused(data: bytes) -> str:
    """The reason, or "" for a sound message, which can be sent on as it is."""
    try:
        message = CODEC.decode(data)
    except DatagramError as error:
        assert "\n" not in error.reason and error.reason in ("malformed", "oversized", "version", "cluster")
        return error.reason
    assert CODEC.decode(CODEC.encode(message)) == message
    return ""


@given(st.one_of(st.binary(max_size=60), junk.map(msgspec.msgpack.encode)), messages, st.randoms())
def test_no_datagram_does_more_than_be_refused(data: bytes, message: Message, rng: random.Random) -> None:
    refused(data)
    refused(CODEC.header + data)
    try:
        sound = bytearray(CODEC.encode(message))
    except ValueError:
        return
    assert refused(bytes(sound)) == ""
    assert refused(bytes(sound[: rng.randrange(len(sound))])) in ("malformed", "version", "cluster")
    assert refused(bytes(sound) + b"\0") in ("malformed", "oversized")
    sound[rng.randrange(len(sound))] ^= 1 << rng.randrange(8)
    refused(bytes(sound))


def test_every_reason_for_a_refusal() -> None:
    me = MemberUpdate("a", "127.0.0.1:1", 1, Status.ALIVE)
    sound = CODEC.encode(Ack(1, me))
    wrong: dict[str, list[bytes]] = {
        "oversized": [sound + bytes(MAX_DATAGRAM_BYTES), CODEC.header + bytes(60_000)],
        "version": [b"", b"\x02" + sound[1:], b"GET / HTTP/1.1"],
        "cluster": [Codec("bluer").encode(Ack(1, me)), Codec("blu").encode(Ack(1, me))],
        "malformed": [sound[:1], sound[:4], sound[:-1], sound + b"\xc0"],
    }
    fields: list[Any] = ["a", "127.0.0.1:1", 1, 0, "", ""]
    for place, value in [
        (0, ""), (0, "x" * 129), (0, "é" * 65), (0, 3), (1, "127.0.0.1"), (1, "127.0.0.1:0"), (1, "host:1"),
        (1, "127.0.0.1:65536"), (1, "1" * 70 + ":1"), (2, -1), (2, 2**62 + 1), (2, 1.0), (3, 4), (3, "alive"),
        (4, "z" * 65), (5, "b" * 129), (5, None),
    ]:  # fmt: skip
        bad = [*fields[:place], value, *fields[place + 1 :]]
        wrong["malformed"].append(CODEC.header + msgspec.msgpack.encode([2, 1, bad, []]))
        with pytest.raises(DatagramError):
            updates_from_body([bad])
    wrong["malformed"].append(CODEC.header + msgspec.msgpack.encode([2, 1, [*fields, 0], []]))
    wrong["malformed"].append(CODEC.header + msgspec.msgpack.encode([9, 1, fields, []]))
    for reason, datagrams in wrong.items():
        assert [refused(data) for data in datagrams] == [reason] * len(datagrams)


@given(st.binary(max_size=200), junk, st.integers(1, 9))
def test_frames_in_any_pieces_come_whole_or_not_at_all(noise: bytes, body: Any, step: int) -> None:
    frames = FrameCodec("blue", most=4096)
    data, held, got = frames.encode("k", body) * 2, bytearray(), []
    for start in range(0, len(data), step):
        held += data[start : start + step]
        while (frame := frames.decode_next(held)) is not None:
            got.append(frame)
    # Compared as sent again: a tuple comes as a list.
    assert [frames.encode(kind, value) for kind, value in got] == [data[: len(data) // 2]] * 2 and not held
    try:
        held = bytearray(noise)
        while frames.decode_next(held) is not None:
            pass
    except FrameError as error:
        assert error.reason in ("malformed", "oversized", "version", "cluster")
    with pytest.raises(FrameError, match="cluster"):
        FrameCodec("green").decode_next(bytearray(data))
    with pytest.raises(FrameError, match="oversized"):
        frames.encode("k", bytes(5000))
