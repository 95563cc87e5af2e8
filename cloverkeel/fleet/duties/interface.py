"""What goes into the core and what comes out of it. Times are seconds of a monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

Verb = Literal["acquire", "renew", "release"]
SAFETY_MARGIN = 0.15  # of the time to live: the holder stops that much earlier, by its own clock
RENEWALS_PER_TTL = 4  # in a time to live


@dataclass(slots=True, frozen=True)
class Duty:
    """A duty that this process may hold. `ttl_s`: how long after its last renewal it may pass to another."""

    name: str
    ttl_s: float = 10.0

    @property
    def holder_ttl_s(self) -> float:
        """How long its holder acts after it sent the request that was granted."""
        return self.ttl_s * (1.0 - SAFETY_MARGIN)

    @property
    def renew_interval_s(self) -> float:
        return self.ttl_s / RENEWALS_PER_TTL


# Answers of a backend


@dataclass(slots=True, frozen=True)
class Granted:
    """To `acquire`: held from now on under a new token. To `renew`: still held, under the same."""

    token: int


@dataclass(slots=True, frozen=True)
class Held:
    """Another holds it, for `left_s` more unless it renews."""

    holder: str
    token: int
    left_s: float


@dataclass(slots=True, frozen=True)
class NotHeld:
    """To `renew`: no longer this holder's under that token. To `release`: not held under it now."""


@dataclass(slots=True, frozen=True)
class Unreachable:
    """Nothing is known: the call may or may not have taken effect."""

    reason: str


BackendAnswer = Granted | Held | NotHeld | Unreachable


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """A duty as a backend has it; `left_s` at 0 or below: it is free."""

    name: str
    holder: str
    token: int
    left_s: float

    def to_dict(self) -> dict[str, Any]:
        """For operators: who is past its time holds nothing."""
        holder = self.holder if self.left_s > 0 else ""
        left_s = round(max(0.0, self.left_s), 3)
        return {"duty": self.name, "holder": holder, "token": self.token, "left_s": left_s}


# Events


@dataclass(slots=True, frozen=True)
class DutiesConfigured:
    """The duties of the configuration; those held that are not among them are let go."""

    duties: tuple[Duty, ...]


@dataclass(slots=True, frozen=True)
class CallAnswered:
    """The answer to the `Ask` of this number; a late or second one changes nothing."""

    duty: str
    call_id: int
    answer: BackendAnswer


@dataclass(slots=True, frozen=True)
class DutyFreed:
    """The backend saw the duty pass or become free."""

    duty: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Due when `Duties.due_s` says."""


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The process ends: all is let go, nothing more is asked for."""


Event = DutiesConfigured | CallAnswered | DutyFreed | Tick | Shutdown


# Actions


@dataclass(slots=True, frozen=True)
class BackendCall:
    """Call the backend, and say `Answered` with the same number."""

    duty: Duty
    verb: Verb
    call_id: int
    token: int = 0  # of the lease to renew or release


@dataclass(slots=True, frozen=True)
class DutyStarted:
    """This process holds the duty from now on."""

    duty: str
    token: int


@dataclass(slots=True, frozen=True)
class DutyEnded:
    """It holds it no longer."""

    duty: str
    token: int
    reason: str


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Something for the log."""

    name: str
    fields: tuple[tuple[str, object], ...]


Action = BackendCall | DutyStarted | DutyEnded | LogEvent
