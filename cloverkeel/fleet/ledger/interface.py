"""What goes into the core and what comes out of it. Times are seconds of a monotonic clock."""

from __future__ import annotations

import dataclasses
import enum

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.limits import Limits
from cloverkeel.fleet.ledger.messages import Message
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.ledger.replica import Put


class Level(enum.Enum):
    """How many members hold a write on disk before it is acknowledged."""

    LOCAL = "local"
    QUORUM = "quorum"
    ALL = "all"


@dataclasses.dataclass(frozen=True)
class Settings:
    size: int = 0  # members that the cluster is made of, for the quorum; 0: the view's
    fanout: int = 4
    forward_interval_s: float = (
        0.3  # between two times that what has come is passed on: then all in one message
    )
    digest_s: float = 5.0
    recompare_s: float = 0.2  # until a comparison that left something over goes on
    resend_s: float = 0.5  # until a head is told again to who has not confirmed it
    piece_timeout_s: float = 1.0  # for an answer to a `Fetch`
    distrust_s: float = 10.0  # a member whose payload did not match is asked nothing for so long
    give_up_s: float = 30.0  # a payload that nobody has is dropped, to be offered again
    disk_retry_s: float = 1.0
    reap_after_s: float = 30.0
    limits: Limits = dataclasses.field(default_factory=Limits)


@dataclasses.dataclass(frozen=True)
class Write:
    """A local write of `payload` under what the writer had read. `timeout_s`: for the level, from now;
    `tell`: the member that at level `local` is to hear of it at once, whoever else does."""

    id: str
    kind: str
    key: str
    payload: bytes
    context: Context
    wait: Level = Level.LOCAL
    timeout_s: float = 5.0
    notify: str = ""


@dataclasses.dataclass(frozen=True)
class Delete:
    id: str
    kind: str
    key: str
    context: Context
    wait: Level = Level.LOCAL
    timeout_s: float = 5.0
    notify: str = ""


@dataclasses.dataclass(frozen=True)
class MessageReceived:
    member: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Persisted:
    batch: int


@dataclasses.dataclass(frozen=True)
class PersistFailed:
    batch: int
    reason: str


@dataclasses.dataclass(frozen=True)
class ViewChanged:
    """The other members: `live` (alive or suspected) and `gone` (dead for less than `reap_after_s`)."""

    live: tuple[str, ...]
    gone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Tick:
    """Due about each 0.1 s."""


Event = Write | Delete | MessageReceived | Persisted | PersistFailed | ViewChanged | Tick


@dataclasses.dataclass(frozen=True)
class Persist:
    """Write these rows in one transaction, then say `Persisted` or `PersistFailed`."""

    batch: int
    puts: tuple[Put, ...]
    drops: tuple[Dot, ...]
    context: Context


@dataclasses.dataclass(frozen=True)
class Send:
    member: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """`held`: how many members have it on disk, this one included."""

    id: str
    dot: Dot
    level: Level
    held: int


@dataclasses.dataclass(frozen=True)
class NotConfirmed:
    """Kept and spread, but its level was not reached in its time."""

    id: str
    dot: Dot
    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """Nothing of the write was kept."""

    id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class KeyChanged:
    """The siblings of a key are these now, tombstones with no payload; `context` is what to write under."""

    kind: str
    key: str
    records: tuple[tuple[Record, bytes | None], ...]
    context: Context


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """Something for the log: `name` and its fields."""

    name: str
    fields: tuple[tuple[str, object], ...]


Action = Persist | Send | Acknowledged | NotConfirmed | Refused | KeyChanged | LogEvent
