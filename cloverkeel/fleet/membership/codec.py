"""Datagrams: a version byte, the cluster's name (a length byte before it), then one message in msgpack.

A message is an array: a number for its kind, then its fields in order; a rumour is [name, address,
incarnation, status's number, zone, by]. Decoding is typed and bounded (msgspec): whatever it gives is fit for
the core. Source of the coding: https://github.com/msgpack/msgpack/blob/master/spec.md.
"""

from __future__ import annotations

import functools
import socket
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from cloverkeel.fleet.membership.messages import (
    CLUSTER_BYTES,
    DATAGRAM_BYTES,
    Ack,
    Gossip,
    Join,
    Message,
    Nack,
    Ping,
    PingReq,
    Push,
)
from cloverkeel.fleet.membership.rumours import RANK, Rumour

VERSION = 1
NAME_BYTES, ADDRESS_BYTES, ZONE_BYTES = 128, 64, 64
MOST_INCARNATION = 2**62  # room to refute it within an int64
KNOWN = 1_024  # rumours as last read, kept to be known again

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_BYTES)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
STATUSES = {rank: status for status, rank in RANK.items()}


class DatagramError(ValueError):
    """A datagram (or a part of a view) that is not for the core; `reason` is one short word for counting."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


class _Array(msgspec.Struct, array_like=True, forbid_unknown_fields=True, frozen=True):
    pass


class _Rumour(_Array, frozen=True):
    name: Name
    address: Annotated[str, msgspec.Meta(max_length=ADDRESS_BYTES)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=MOST_INCARNATION)]
    status: Annotated[int, msgspec.Meta(ge=0, le=max(STATUSES))]
    zone: Annotated[str, msgspec.Meta(max_length=ZONE_BYTES)]
    by: Annotated[str, msgspec.Meta(max_length=NAME_BYTES)]


class _Ping(_Array, tag=1, frozen=True):
    seq: Number
    sender: _Rumour
    target: Name
    rumours: list[_Rumour]
    suspect: bool


class _Ack(_Array, tag=2, frozen=True):
    seq: Number
    sender: _Rumour
    rumours: list[_Rumour]


class _PingReq(_Array, tag=3, frozen=True):
    seq: Number
    sender: _Rumour
    target: _Rumour
    rumours: list[_Rumour]


class _Nack(_Array, tag=4, frozen=True):
    seq: Number
    sender: _Rumour
    rumours: list[_Rumour]


class _Push(_Array, tag=5, frozen=True):
    sender: _Rumour
    rumours: list[_Rumour]
    reply: bool
    more: bool


class _Join(_Array, tag=6, frozen=True):
    sender: _Rumour
    rumours: list[_Rumour]


class _Gossip(_Array, tag=7, frozen=True):
    sender: _Rumour
    rumours: list[_Rumour]


_Wire = _Ping | _Ack | _PingReq | _Nack | _Push | _Join | _Gossip
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Wire] = msgspec.msgpack.Decoder(_Wire)


@functools.lru_cache(maxsize=4096)
def parse_address(text: str) -> tuple[str, int]:
    """`127.0.0.1:9` or `[::1]:9` as host and port; a host is a number, never a name to be looked up. Raises
    ValueError."""
    host, mark, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536
    try:
        if not mark or not is_port:
            raise ValueError
        is_v6 = host.startswith("[") and host.endswith("]")
        family = socket.AF_INET6 if is_v6 else socket.AF_INET
        number = socket.inet_pton(family, host[1:-1] if is_v6 else host)
        return socket.inet_ntop(family, number), int(port)
    except (ValueError, OSError):
        raise ValueError(f"{text!r:.80} is no address of the form ip:port") from None


def format_address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _from_wire(wire: _Rumour) -> Rumour:
    return _checked(wire.name, wire.address, wire.incarnation, wire.status, wire.zone, wire.by)


@functools.lru_cache(KNOWN)  # each member hears each rumour some tens of times
def _checked(name: str, address: str, incarnation: int, status: int, zone: str, by: str) -> Rumour:
    sizes = (name, NAME_BYTES), (zone, ZONE_BYTES), (by, NAME_BYTES)
    if any(len(text.encode()) > most for text, most in sizes):
        raise DatagramError("malformed", f"a name or zone is too long: {name!r:.40}")
    try:
        parse_address(address)
    except ValueError as error:
        raise DatagramError("malformed", str(error)) from None
    return Rumour(name, address, incarnation, STATUSES[status], zone, by)


def _to_wire(rumour: Rumour) -> _Rumour:
    status = RANK[rumour.status]
    return _Rumour(rumour.name, rumour.address, rumour.incarnation, status, rumour.zone, rumour.by)


def rumours_to_body(rumours: Iterable[Rumour]) -> list[Any]:
    """Rumours as plain lists, for a body of `calls`."""
    return [[r.name, r.address, r.incarnation, RANK[r.status], r.zone, r.by] for r in rumours]


def rumours_from_body(body: Any) -> list[Rumour]:
    """The inverse. Raises DatagramError."""
    try:
        return [_from_wire(wire) for wire in msgspec.convert(body, list[_Rumour])]
    except msgspec.ValidationError as error:
        raise DatagramError("malformed", str(error)) from None


def head_of(cluster: str) -> bytes:
    name = cluster.encode()
    if not 0 < len(name) <= CLUSTER_BYTES:
        raise ValueError(f"a cluster's name has 1 to {CLUSTER_BYTES} bytes, not {len(name)}")
    return bytes((VERSION, len(name))) + name


class Codec:
    """Coding for one cluster. `encode` raises ValueError for what no datagram holds (the core's estimate of
    sizes keeps within it); `decode` raises DatagramError alone."""

    def __init__(self, cluster: str) -> None:
        self.head = head_of(cluster)

    def encode(self, message: Message) -> bytes:
        sender, rumours = _to_wire(message.sender), [_to_wire(r) for r in message.rumours]
        wire: _Wire
        match message:
            case Ping():
                wire = _Ping(message.seq, sender, message.target, rumours, message.suspect)
            case Ack():
                wire = _Ack(message.seq, sender, rumours)
            case PingReq():
                wire = _PingReq(message.seq, sender, _to_wire(message.target), rumours)
            case Nack():
                wire = _Nack(message.seq, sender, rumours)
            case Push():
                wire = _Push(sender, rumours, message.reply, message.more)
            case Join():
                wire = _Join(sender, rumours)
            case Gossip():
                wire = _Gossip(sender, rumours)
        data = self.head + _encoder.encode(wire)
        if len(data) > DATAGRAM_BYTES:
            raise ValueError(f"{type(message).__name__} of {len(data)} bytes, over {DATAGRAM_BYTES}")
        return data

    def decode(self, data: bytes) -> Message:
        if len(data) > DATAGRAM_BYTES:
            raise DatagramError("oversized", f"{len(data)} bytes")
        if not data or data[0] != VERSION:
            raise DatagramError("version", f"{data[:1].hex() or 'empty'}, not {VERSION:02x}")
        head = self.head
        if len(data) < 2 or len(data) < 2 + data[1]:
            raise DatagramError("malformed", "ends within the cluster's name")
        if not data.startswith(head):
            raise DatagramError("cluster", f"{data[2 : 2 + data[1]]!r:.80}")
        try:
            wire = _decoder.decode(memoryview(data)[len(head) :])
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise DatagramError("malformed", f"{error!s:.120}") from None
        sender, rumours = _from_wire(wire.sender), tuple(_from_wire(r) for r in wire.rumours)
        match wire:
            case _Ping():
                if len(wire.target.encode()) > NAME_BYTES:
                    raise DatagramError("malformed", "the target's name is too long")
                return Ping(wire.seq, sender, wire.target, rumours, wire.suspect)
            case _Ack():
                return Ack(wire.seq, sender, rumours)
            case _PingReq():
                return PingReq(wire.seq, sender, _from_wire(wire.target), rumours)
            case _Nack():
                return Nack(wire.seq, sender, rumours)
            case _Push():
                return Push(sender, rumours, wire.reply, wire.more)
            case _Join():
                return Join(sender, rumours)
            case _Gossip():
                return Gossip(sender, rumours)
