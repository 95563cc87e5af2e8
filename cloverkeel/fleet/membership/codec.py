"""Encoding of datagrams: version byte, length byte and name of the cluster, then one message in msgpack.

A message is an array: the number of its kind, then its fields in order. A member update is [name, address,
incarnation, rank of the status, zone, suspected_by]. Decoding is typed and bounded (msgspec), so that the
core gets valid messages only.

Format of msgpack: https://github.com/msgpack/msgpack/blob/master/spec.md.
"""

from __future__ import annotations

import functools
import socket
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from cloverkeel.fleet.membership.messages import (
    MAX_CLUSTER_BYTES,
    MAX_DATAGRAM_BYTES,
    Ack,
    Gossip,
    Join,
    Message,
    Nack,
    Ping,
    PingReq,
    Push,
)
from cloverkeel.fleet.membership.updates import STATUS_RANK, MemberUpdate

VERSION = 1
MAX_NAME_BYTES, MAX_ADDRESS_BYTES, MAX_ZONE_BYTES = 128, 64, 64
MAX_INCARNATION = 2**62  # leaves room to refute it within an int64
UPDATE_CACHE_SIZE = 1_024  # decoded updates that are kept, as the same ones arrive many times

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
STATUS_BY_RANK = {rank: status for status, rank in STATUS_RANK.items()}


class DatagramError(ValueError):
    """A datagram, or a part of a view, is invalid; `reason` is one word under which it is counted."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class _WireArray(msgspec.Struct, array_like=True, forbid_unknown_fields=True, frozen=True):
    pass


class _WireUpdate(_WireArray, frozen=True):
    name: Name
    address: Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_BYTES)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
    status: Annotated[int, msgspec.Meta(ge=0, le=max(STATUS_BY_RANK))]
    zone: Annotated[str, msgspec.Meta(max_length=MAX_ZONE_BYTES)]
    suspected_by: Annotated[str, msgspec.Meta(max_length=MAX_NAME_BYTES)]


class _Ping(_WireArray, tag=1, frozen=True):
    seq: Number
    sender: _WireUpdate
    target: Name
    updates: list[_WireUpdate]
    suspect: bool


class _Ack(_WireArray, tag=2, frozen=True):
    seq: Number
    sender: _WireUpdate
    updates: list[_WireUpdate]


class _PingReq(_WireArray, tag=3, frozen=True):
    seq: Number
    sender: _WireUpdate
    target: _WireUpdate
    updates: list[_WireUpdate]


class _Nack(_WireArray, tag=4, frozen=True):
    seq: Number
    sender: _WireUpdate
    updates: list[_WireUpdate]


class _Push(_WireArray, tag=5, frozen=True):
    sender: _WireUpdate
    updates: list[_WireUpdate]
    reply: bool
    truncated: bool


class _Join(_WireArray, tag=6, frozen=True):
    sender: _WireUpdate
    updates: list[_WireUpdate]


class _Gossip(_WireArray, tag=7, frozen=True):
    sender: _WireUpdate
    updates: list[_WireUpdate]


_WireMessage = _Ping | _Ack | _PingReq | _Nack | _Push | _Join | _Gossip
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_WireMessage] = msgspec.msgpack.Decoder(_WireMessage)


@functools.lru_cache(maxsize=4096)
def parse_address(text: str) -> tuple[str, int]:
    """Parse `127.0.0.1:9` or `[::1]:9` into host and port; host names are not accepted. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536
    try:
        if not colon or not is_port:
            raise ValueError
        is_v6 = host.startswith("[") and host.endswith("]")
        family = socket.AF_INET6 if is_v6 else socket.AF_INET
        number = socket.inet_pton(family, host[1:-1] if is_v6 else host)
        return socket.inet_ntop(family, number), int(port)
    except (ValueError, OSError):
        raise ValueError(f"{text!r:.80} is no address of the form ip:port") from None


def format_address(host: str, port: int) -> str:
    """Format host and port as `parse_address` reads them."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _from_wire(wire: _WireUpdate) -> MemberUpdate:
    return _validated_update(
        wire.name, wire.address, wire.incarnation, wire.status, wire.zone, wire.suspected_by
    )


@functools.lru_cache(UPDATE_CACHE_SIZE)  # a member receives each update some tens of times
def _validated_update(
    name: str, address: str, incarnation: int, status: int, zone: str, by: str
) -> MemberUpdate:
    """Build an update from its wire fields. Raises DatagramError for a bad address or a text too long."""
    sizes = (name, MAX_NAME_BYTES), (zone, MAX_ZONE_BYTES), (by, MAX_NAME_BYTES)
    if any(len(text.encode()) > max_bytes for text, max_bytes in sizes):
        raise DatagramError("malformed", f"a name or zone is too long: {name!r:.40}")
    try:
        parse_address(address)
    except ValueError as error:
        raise DatagramError("malformed", str(error)) from None
    return MemberUpdate(name, address, incarnation, STATUS_BY_RANK[status], zone, by)


def _to_wire(update: MemberUpdate) -> _WireUpdate:
    status = STATUS_RANK[update.status]
    return _WireUpdate(
        update.name, update.address, update.incarnation, status, update.zone, update.suspected_by
    )


def updates_to_body(updates: Iterable[MemberUpdate]) -> list[Any]:
    """Encode updates as plain lists, for the body of a call (`calls`)."""
    return [
        [r.name, r.address, r.incarnation, STATUS_RANK[r.status], r.zone, r.suspected_by] for r in updates
    ]


def updates_from_body(body: Any) -> list[MemberUpdate]:
    """Decode what `updates_to_body` gives. Raises DatagramError."""
    try:
        return [_from_wire(wire) for wire in msgspec.convert(body, list[_WireUpdate])]
    except msgspec.ValidationError as error:
        raise DatagramError("malformed", str(error)) from None


def datagram_header(cluster: str) -> bytes:
    """The first bytes of every datagram of a cluster. Raises ValueError for a name that is too long."""
    name = cluster.encode()
    if not 0 < len(name) <= MAX_CLUSTER_BYTES:
        raise ValueError(f"a cluster's name has 1 to {MAX_CLUSTER_BYTES} bytes, not {len(name)}")
    return bytes((VERSION, len(name))) + name


class Codec:
    """Encodes and decodes the datagrams of one cluster."""

    def __init__(self, cluster: str) -> None:
        self.header = datagram_header(cluster)

    def encode(self, message: Message) -> bytes:
        """Encode a message. Raises ValueError if it is too long; the core's size estimates prevent that."""
        sender, updates = _to_wire(message.sender), [_to_wire(r) for r in message.updates]
        wire: _WireMessage
        match message:
            case Ping():
                wire = _Ping(message.seq, sender, message.target, updates, message.suspect)
            case Ack():
                wire = _Ack(message.seq, sender, updates)
            case PingReq():
                wire = _PingReq(message.seq, sender, _to_wire(message.target), updates)
            case Nack():
                wire = _Nack(message.seq, sender, updates)
            case Push():
                wire = _Push(sender, updates, message.reply, message.truncated)
            case Join():
                wire = _Join(sender, updates)
            case Gossip():
                wire = _Gossip(sender, updates)
        data = self.header + _encoder.encode(wire)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{type(message).__name__} of {len(data)} bytes, over {MAX_DATAGRAM_BYTES}")
        return data

    def decode(self, data: bytes) -> Message:
        """Decode a datagram. Raises DatagramError, and nothing else."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError("oversized", f"{len(data)} bytes")
        if not data or data[0] != VERSION:
            raise DatagramError("version", f"{data[:1].hex() or 'empty'}, not {VERSION:02x}")
        head = self.header
        if len(data) < 2 or len(data) < 2 + data[1]:
            raise DatagramError("malformed", "ends within the cluster's name")
        if not data.startswith(head):
            raise DatagramError("cluster", f"{data[2 : 2 + data[1]]!r:.80}")
        try:
            wire = _decoder.decode(memoryview(data)[len(head) :])
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise DatagramError("malformed", f"{error!s:.120}") from None
        sender, updates = _from_wire(wire.sender), tuple(_from_wire(r) for r in wire.updates)
        match wire:
            case _Ping():
                if len(wire.target.encode()) > MAX_NAME_BYTES:
                    raise DatagramError("malformed", "the target's name is too long")
                return Ping(wire.seq, sender, wire.target, updates, wire.suspect)
            case _Ack():
                return Ack(wire.seq, sender, updates)
            case _PingReq():
                return PingReq(wire.seq, sender, _from_wire(wire.target), updates)
            case _Nack():
                return Nack(wire.seq, sender, updates)
            case _Push():
                return Push(sender, updates, wire.reply, wire.truncated)
            case _Join():
                return Join(sender, updates)
            case _Gossip():
                return Gossip(sender, updates)
