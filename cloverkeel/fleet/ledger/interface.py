"""Events and actions of the ledger's protocol core. Times are seconds of a monotonic clock."""

from __future__ import annotations

import dataclasses
import enum

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.limits import Limits
from cloverkeel.fleet.ledger.messages import Message
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.ledger.replica import Put


class Level(enum.Enum):
    """How many members must hold a write on disk before it is acknowledged."""

    LOCAL = "local"
    QUORUM = "quorum"
    ALL = "all"


@dataclasses.dataclass(frozen=True)
class Settings:
    """Intervals, time-outs and limits of a ledger; all times in seconds."""

    size: int = 0  # configured cluster size; a quorum is a majority of it, or of the view if that is larger
    fanout: int = 4  # members that new heads are forwarded to; also the sources kept for a payload
    forward_interval_s: float = 0.3  # between two forwards of new heads, which go in one message
    digest_s: float = 5.0  # between two comparisons while settled
    recompare_s: float = 0.2  # until an incomplete comparison is continued; between two while unsettled
    resend_s: float = 0.5  # until a head is sent again to members that have not confirmed it
    piece_timeout_s: float = 1.0  # for the answer to a `Fetch`
    distrust_s: float = 10.0  # for which a member whose payload did not match is not asked
    give_up_s: float = 30.0  # after which an unavailable payload is dropped, until its head is offered again
    disk_retry_s: float = 1.0  # until a received record that could not be written to disk is retried
    reap_after_s: float = 30.0  # for which membership keeps a dead member in the view
    limits: Limits = dataclasses.field(default_factory=Limits)


@dataclasses.dataclass(frozen=True)
class Write:
    """A local write of `payload` with the causal context that the writer had read.

    `timeout_s`: time, from now, to reach the level. `notify`: a member that is sent the head at once at level
    `local`, in addition to the random members that it is forwarded to.
    """

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
    """A local delete: writes a tombstone. The fields are those of `Write`."""

    id: str
    kind: str
    key: str
    context: Context
    wait: Level = Level.LOCAL
    timeout_s: float = 5.0
    notify: str = ""


@dataclasses.dataclass(frozen=True)
class MessageReceived:
    """A message from another member has arrived."""

    member: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Persisted:
    """The batch is on disk."""

    batch: int


@dataclasses.dataclass(frozen=True)
class PersistFailed:
    """Nothing of the batch is on disk; `reason`: the error, in one line."""

    batch: int
    reason: str


@dataclasses.dataclass(frozen=True)
class ViewChanged:
    """The other members: `live` (alive or suspect) and `gone` (dead for less than `reap_after_s`)."""

    live: tuple[str, ...]
    gone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed; expected about every 0.1 s."""


Event = Write | Delete | MessageReceived | Persisted | PersistFailed | ViewChanged | Tick


@dataclasses.dataclass(frozen=True)
class Persist:
    """Write these rows in one transaction, then report `Persisted` or `PersistFailed`."""

    batch: int
    puts: tuple[Put, ...]
    drops: tuple[Dot, ...]
    context: Context


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a member. It may be lost: the core repeats what matters."""

    member: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A write has reached its level. `held`: members that have it on disk, this one included."""

    id: str
    dot: Dot
    level: Level
    held: int


@dataclasses.dataclass(frozen=True)
class NotConfirmed:
    """A write did not reach its level in time. It may be stored, and is replicated if it is."""

    id: str
    dot: Dot
    reason: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """A write was refused, and nothing of it was stored."""

    id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class KeyChanged:
    """The siblings of a key have changed to `records`; a tombstone's payload is None.

    `context`: the one to pass with the next write of the key.
    """

    kind: str
    key: str
    records: tuple[tuple[Record, bytes | None], ...]
    context: Context


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """An event to log: its name and fields."""

    name: str
    fields: tuple[tuple[str, object], ...]


Action = Persist | Send | Acknowledged | NotConfirmed | Refused | KeyChanged | LogEvent
