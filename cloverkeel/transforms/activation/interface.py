"""The core's settings, its events (input) and its actions (output). Times are seconds of a monotonic
clock."""

from __future__ import annotations

import dataclasses

from cloverkeel.transforms.activation.records import ActivationRecord


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of the core."""

    size: int  # members of the cluster; the first epoch needs them all
    stage_timeout_s: float = 10.0  # after this, a version staged by more than half of the members is enough
    canary_share: float = 0.2  # fraction of the live members, at least one
    canary_s: float = 5.0  # how long canaries run a version before all members do
    quarantine_share: float = 0.25  # of members running a version: more open breakers quarantine it
    ballot_timeout_s: float = 5.0  # until a ballot is given up; up to twice as long, at random
    outbid_delay_s: float = 0.5  # until a ballot is given up after a higher one was seen: at most this long
    resend_interval_s: float = 2.0  # until a record that the ledger does not show is written again
    voter_change_delay_s: float = 30.0  # how long a new set of voters must last before it replaces the old


@dataclasses.dataclass(frozen=True)
class RecordsChanged:
    """The siblings (concurrent payloads) that the ledger now shows under a key; none: the key was deleted."""

    kind: str
    key: str
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class ViewChanged:
    """The membership view. `live`: members that are alive or suspect, this one included; `known`: those,
    and dead ones not yet reaped."""

    live: tuple[str, ...]
    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Settled:
    """Whether the ledger has received everything that the cluster had when this member joined."""

    settled: bool


@dataclasses.dataclass(frozen=True)
class Staged:
    """The result of a `Stage`: the version is compiled and its golden cases pass, or `reason` says why
    not."""

    id: str
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class BreakerChanged:
    """This member's breaker for a version has opened or closed."""

    id: str
    is_open: bool


@dataclasses.dataclass(frozen=True)
class Tick:
    """Sent about every 0.1 s."""


Event = RecordsChanged | ViewChanged | Settled | Staged | BreakerChanged | Tick


@dataclasses.dataclass(frozen=True)
class WriteRecord:
    """Write a record, replacing all siblings that the ledger shows under its key. `notify`: the member to
    send it to at once, while the others get it by gossip; "": send it to all at once."""

    kind: str
    key: str
    body: ActivationRecord
    notify: str = ""


@dataclasses.dataclass(frozen=True)
class DeleteRecord:
    """Delete a key."""

    kind: str
    key: str


@dataclasses.dataclass(frozen=True)
class Stage:
    """Compile this file and run its golden cases, then send `Staged`."""

    id: str
    name: str
    source: bytes


@dataclasses.dataclass(frozen=True)
class Activate:
    """Run these versions from now on: name of the transform to id of a staged version."""

    epoch: int
    versions: dict[str, str]


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """Write a log event with these fields."""

    name: str
    fields: tuple[tuple[str, object], ...]


Action = WriteRecord | DeleteRecord | Stage | Activate | LogEvent
