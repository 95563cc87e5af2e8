"""What goes into the core and what comes out of it. Times are seconds of a monotonic clock."""

from __future__ import annotations

import dataclasses

from cloverkeel.transforms.activation.records import ActivationRecord


@dataclasses.dataclass(frozen=True)
class Settings:
    size: int  # members that the fleet is made of: the first epoch's quorum is more than half of it
    stage_timeout_s: float = 10.0  # for a version to be staged at all, before most are enough
    canary_share: float = 0.2  # of the live members, one at least
    canary_s: float = 5.0  # that the canaries run a version before all do
    quarantine_share: float = 0.25  # of those that run a version: more open breakers stop it
    ballot_timeout_s: float = 5.0  # for a ballot to come to its end, at least
    outbid_delay_s: float = 0.5  # the same once a higher one is seen, at most
    resend_interval_s: float = 2.0  # until a record that the ledger did not take is written again
    voter_change_delay_s: float = 30.0  # that others than the voters are live, before they are made voters


@dataclasses.dataclass(frozen=True)
class RecordsChanged:
    """The ledger shows these siblings under a key; none: deleted."""

    kind: str
    key: str
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class ViewChanged:
    """`live`: members alive or suspected, this one included; `known`: those and the dead not yet reaped."""

    live: tuple[str, ...]
    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Settled:
    """Whether the ledger holds all that the fleet held when this member came."""

    settled: bool


@dataclasses.dataclass(frozen=True)
class Staged:
    """A version asked for by `Stage` is compiled and vetted, or `reason` says why it is not."""

    id: str
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class BreakerChanged:
    """This member's breaker of a version has opened, or closed again."""

    id: str
    is_open: bool


@dataclasses.dataclass(frozen=True)
class Tick:
    """Due about each 0.1 s."""


Event = RecordsChanged | ViewChanged | Settled | Staged | BreakerChanged | Tick


@dataclasses.dataclass(frozen=True)
class WriteRecord:
    """Write this over all that the ledger shows under its key. `to`: the member that waits for it, told at
    once, the others by rumour; "": all are told at once."""

    kind: str
    key: str
    body: ActivationRecord
    notify: str = ""


@dataclasses.dataclass(frozen=True)
class DeleteRecord:
    kind: str
    key: str


@dataclasses.dataclass(frozen=True)
class Stage:
    """Compile and vet this file, then say `Staged`."""

    id: str
    name: str
    source: bytes


@dataclasses.dataclass(frozen=True)
class Activate:
    """From now on run these: transform's name to the id of a staged version."""

    epoch: int
    versions: dict[str, str]


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """Something for the log."""

    name: str
    fields: tuple[tuple[str, object], ...]


Action = WriteRecord | DeleteRecord | Stage | Activate | LogEvent
