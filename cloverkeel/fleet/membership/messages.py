"""What members say to each other, what the core asks of its shell, and the protocol's settings."""

from __future__ import annotations

import functools

import msgspec

from cloverkeel.fleet.membership.updates import MemberUpdate


# Structs of msgspec are made some ten times as fast as dataclasses, and a start under load pays for each.
class Timing(msgspec.Struct, frozen=True):
    """The protocol's settings, in seconds but for counts (docs/membership.md, "Defaults")."""

    probe_interval_s: float = 0.2
    probe_timeout_s: float = 0.1
    indirect_checks: int = 3
    suspicion_alpha: float = 1.5
    suspicion_beta: float = 6.0
    retransmit_mult: int = 4
    gossip_interval_s: float = 0.05
    gossip_fanout: int = 3
    push_pull_s: float = 5.0
    reap_after_s: float = 30.0
    join_wait_s: float = 1.0


# The messages (docs/membership.md, "Messages"). Each carries its sender's own rumour, so that a member that
# never heard of the sender can answer it, and the rumours that ride on it.
class Ping(msgspec.Struct, frozen=True):
    seq: int
    sender: MemberUpdate
    target: str
    updates: tuple[MemberUpdate, ...] = ()
    suspect: bool = False  # Lifeguard's buddy system: the sender holds the target suspect


class Ack(msgspec.Struct, frozen=True):
    seq: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class PingReq(msgspec.Struct, frozen=True):
    seq: int
    sender: MemberUpdate
    target: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Nack(msgspec.Struct, frozen=True):
    seq: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Push(msgspec.Struct, frozen=True):
    """A whole view, or a part of it where it does not fit one datagram; `reply` asks for the other's, `more`
    says that the rest is to be had over a stream."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    reply: bool = False
    truncated: bool = False


class Join(msgspec.Struct, frozen=True):
    """A joining member asks for a view before it says it is there: its own rumour is not merged, so that a
    name already held elsewhere is found out (and refused) before the claim spreads."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Gossip(msgspec.Struct, frozen=True):
    """Rumours alone, between probes, while there are any to pass on."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | Ack | PingReq | Nack | Push | Join | Gossip


# What the core asks of its shell.
class Send(msgspec.Struct, frozen=True):
    address: str
    message: Message


class MemberChanged(msgspec.Struct, frozen=True):
    """This member's view of `rumour.name` changed; `before` is what it held (None: not known)."""

    update: MemberUpdate
    previous: MemberUpdate | None
    reason: str


class NameConflict(msgspec.Struct, frozen=True):
    """Another process holds this member's name; `by` is what was heard of it. `joining` says whether this
    member was refused at its join (the name is taken) or taken over later (its successor of an upgrade, or
    another process that was let take it over); either way it says nothing more."""

    holder: MemberUpdate
    joining: bool


class NoSeedAnswered(msgspec.Struct, frozen=True):
    """No seed answered within the join wait: the member runs alone and keeps asking its seeds."""

    seeds: tuple[str, ...]


class ExchangeViews(msgspec.Struct, frozen=True):
    """Swap whole views with the member at `address` over a stream: they are too large for datagrams."""

    address: str


Action = Send | MemberChanged | NameConflict | NoSeedAnswered | ExchangeViews

# Sizes, by the codec's coding (`codec`): never below what is really sent.
MAX_DATAGRAM_BYTES = 1_400
MAX_VIEW_DATAGRAMS = 10  # for one view; a larger one goes over a stream
MAX_CLUSTER_BYTES = 64  # a cluster's name, at most
MESSAGE_OVERHEAD_BYTES = 2 + MAX_CLUSTER_BYTES + 17  # version, name, array, kind, seq, rumours' array, flags
UPDATE_OVERHEAD_BYTES = 19  # the framing of one rumour's six fields


def update_bytes(rumour: MemberUpdate) -> int:
    return _encoded_bytes(rumour.name, rumour.address, rumour.zone, rumour.suspected_by)


@functools.lru_cache(1_024)  # asked for every rumour that waits, at each message that goes out
def _encoded_bytes(*texts: str) -> int:
    return UPDATE_OVERHEAD_BYTES + len("".join(texts).encode())
