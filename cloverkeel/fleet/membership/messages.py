"""Protocol messages, the actions that the protocol core asks for, and the protocol's settings."""

from __future__ import annotations

import functools

import msgspec

from cloverkeel.fleet.membership.updates import MemberUpdate


# msgspec structs, not dataclasses: their classes are created about ten times as fast, which shortens a start
# under load.
class Timing(msgspec.Struct, frozen=True):
    """Settings of the membership protocol (docs/membership.md, "Defaults")."""

    probe_interval_s: float = 0.2
    probe_timeout_s: float = 0.1  # wait for a direct ack before indirect probes are sent
    indirect_checks: int = 3  # members asked to probe indirectly
    suspicion_alpha: float = 1.5  # shortest suspicion timeout, in probe intervals times log10(members)
    suspicion_beta: float = 6.0  # longest suspicion timeout, in multiples of the shortest
    retransmit_mult: int = 4  # transmissions of an update per log2(members + 1)
    gossip_interval_s: float = 0.05
    gossip_fanout: int = 3  # members that receive each round of gossip
    push_pull_s: float = 5.0  # interval between exchanges of full views
    reap_after_s: float = 30.0  # time after which a dead or left member is removed from the view
    join_wait_s: float = 1.0  # time to wait for an answer of a seed


# Messages (docs/membership.md, "Messages"). Each carries the sender's own update, so that a member that does
# not know the sender can answer it, and the piggybacked updates.
class Ping(msgspec.Struct, frozen=True):
    """Asks the target for an Ack."""

    seq: int
    sender: MemberUpdate
    target: str
    updates: tuple[MemberUpdate, ...] = ()
    suspect: bool = False  # Lifeguard's buddy system: the sender suspects the target


class Ack(msgspec.Struct, frozen=True):
    """Answers a Ping, or passes on the target's Ack to the sender of a PingReq."""

    seq: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class PingReq(msgspec.Struct, frozen=True):
    """Asks the receiver to ping the target on the sender's behalf (indirect probe)."""

    seq: int
    sender: MemberUpdate
    target: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Nack(msgspec.Struct, frozen=True):
    """Answers a PingReq whose target has not acked in time: the helper itself is reachable (Lifeguard)."""

    seq: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Push(msgspec.Struct, frozen=True):
    """The sender's full view, or one part of it if it does not fit in one datagram.

    `reply` asks for the receiver's view; `truncated` says that the rest has to be fetched over a stream.
    """

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    reply: bool = False
    truncated: bool = False


class Join(msgspec.Struct, frozen=True):
    """Asks for the receiver's view before the sender announces itself.

    The receiver does not merge the sender's update, so that a name that another process holds is detected,
    and the join refused, before the claim spreads.
    """

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Gossip(msgspec.Struct, frozen=True):
    """Carries updates between probes, while any are queued."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | Ack | PingReq | Nack | Push | Join | Gossip


# Actions that the protocol core returns, for the I/O layer to perform.
class Send(msgspec.Struct, frozen=True):
    """Send `message` as a datagram to `address`."""

    address: str
    message: Message


class MemberChanged(msgspec.Struct, frozen=True):
    """This member's view of `update.name` changed from `previous` (None: not known before) to `update`."""

    update: MemberUpdate
    previous: MemberUpdate | None
    reason: str


class NameConflict(msgspec.Struct, frozen=True):
    """Another process holds this member's name; `holder` is the update received about it.

    `joining`: the conflict was found while joining, so the name is taken. Otherwise another process took the
    name over: the successor in an upgrade, or another process that may take it over. In both cases this
    member sends nothing more.
    """

    holder: MemberUpdate
    joining: bool


class NoSeedAnswered(msgspec.Struct, frozen=True):
    """No seed answered within `join_wait_s`: the member runs alone and keeps contacting its seeds."""

    seeds: tuple[str, ...]


class ExchangeViews(msgspec.Struct, frozen=True):
    """Exchange full views with the member at `address` over a stream: they are too large for datagrams."""

    address: str


Action = Send | MemberChanged | NameConflict | NoSeedAnswered | ExchangeViews

# Sizes of the encoding in `codec`. The overheads are upper bounds, so that an estimate is never too small.
MAX_DATAGRAM_BYTES = 1_400
MAX_VIEW_DATAGRAMS = 10  # per view; a larger view goes over a stream
MAX_CLUSTER_BYTES = 64  # of a cluster's name
# Version, cluster name, and the framing of array, kind, sequence number, list of updates and flags.
MESSAGE_OVERHEAD_BYTES = 2 + MAX_CLUSTER_BYTES + 17
UPDATE_OVERHEAD_BYTES = 19  # framing of an update's six fields


def update_bytes(update: MemberUpdate) -> int:
    """Upper bound of an update's encoded size."""
    return _encoded_bytes(update.name, update.address, update.zone, update.suspected_by)


@functools.lru_cache(1_024)  # called for every queued update on each outgoing message
def _encoded_bytes(*texts: str) -> int:
    return UPDATE_OVERHEAD_BYTES + len("".join(texts).encode())
