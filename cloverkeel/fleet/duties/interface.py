"""The events and actions of the lease core, and the answers of a backend. Times: seconds, monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

Verb = Literal["acquire", "renew", "release"]
SAFETY_MARGIN = 0.15  # fraction of the TTL by which the holder stops early, so that clocks may differ in rate
RENEWALS_PER_TTL = 4  # so that some renewals may fail before the lease expires


@dataclass(slots=True, frozen=True)
class Duty:
    """A duty that this process may hold. `ttl_s`: time after its last renewal at which the lease expires."""

    name: str
    ttl_s: float = 10.0

    @property
    def holder_ttl_s(self) -> float:
        """How long the holder may act, counted from when it sent the request that was granted."""
        return self.ttl_s * (1.0 - SAFETY_MARGIN)

    @property
    def renew_interval_s(self) -> float:
        """Time from sending a granted request to sending the next renewal."""
        return self.ttl_s / RENEWALS_PER_TTL


# Answers of a backend


@dataclass(slots=True, frozen=True)
class Granted:
    """To `acquire`: the lease is granted under a new token. To `renew`: it is extended under the same."""

    token: int


@dataclass(slots=True, frozen=True)
class Held:
    """Another process holds the lease; unless renewed, it expires in `left_s`."""

    holder: str
    token: int
    left_s: float


@dataclass(slots=True, frozen=True)
class NotHeld:
    """To `renew`: the lease is no longer held under that token. To `release`: it is not held under it now."""


@dataclass(slots=True, frozen=True)
class Unreachable:
    """The outcome is unknown: the call may or may not have taken effect."""

    reason: str


BackendAnswer = Granted | Held | NotHeld | Unreachable


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """A duty's lease as the backend records it; with `left_s` at 0 or below it is free."""

    name: str
    holder: str
    token: int
    left_s: float

    def to_dict(self) -> dict[str, Any]:
        """For operators: an expired lease is shown without a holder."""
        holder = self.holder if self.left_s > 0 else ""
        left_s = round(max(0.0, self.left_s), 3)
        return {"duty": self.name, "holder": holder, "token": self.token, "left_s": left_s}


# Events


@dataclass(slots=True, frozen=True)
class DutiesConfigured:
    """The configured duties; those held that are not among them are released."""

    duties: tuple[Duty, ...]


@dataclass(slots=True, frozen=True)
class CallAnswered:
    """The backend's answer to the call of this id; a grant that comes too late is released."""

    duty: str
    call_id: int
    answer: BackendAnswer


@dataclass(slots=True, frozen=True)
class DutyFreed:
    """The backend saw that the duty has become free."""

    duty: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due at `LeaseManager.next_due_s`."""


@dataclass(slots=True, frozen=True)
class Shutdown:
    """The process ends: releases all leases and acquires no more."""


Event = DutiesConfigured | CallAnswered | DutyFreed | Tick | Shutdown


# Actions


@dataclass(slots=True, frozen=True)
class BackendCall:
    """Call the backend, then pass its answer in `CallAnswered` with the same id."""

    duty: Duty
    verb: Verb
    call_id: int
    token: int = 0  # of the lease to renew or release; 0 for `acquire`


@dataclass(slots=True, frozen=True)
class DutyStarted:
    """This process now holds the duty, under `token`."""

    duty: str
    token: int


@dataclass(slots=True, frozen=True)
class DutyEnded:
    """This process no longer holds the duty."""

    duty: str
    token: int
    reason: str


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a log event with these fields."""

    name: str
    fields: tuple[tuple[str, object], ...]


Action = BackendCall | DutyStarted | DutyEnded | LogEvent
