"""The records of a soak, from which `judge` finds violations. Times are in seconds of one monotonic clock."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from enum import Enum


class ExchangeEnd(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "the connection was closed without a complete response"
    CLIENT_LEFT = "the client left"
    NO_RESPONSE = "no response came"


@dataclass(slots=True)
class Exchange:
    """One try of a request on one connection, as its client saw it."""

    id: str
    klass: str
    gateway: int
    run_number: int  # number of the gateway's process
    sent_s: float
    deadline_s: float
    is_client_retry: bool = False  # sent again as the connection of the first try was closed
    end: ExchangeEnd = ExchangeEnd.NO_RESPONSE
    ended_s: float = 0.0
    status: int = 0


@dataclass(slots=True)
class Arrival:
    """One attempt as its host saw it."""

    id: str
    host: int
    first_byte_s: float  # when its first byte came
    last_byte_s: float
    budget_s: float
    may_have_run: bool = True  # False: the host rejected it, so that it cannot have run


@dataclass(slots=True)
class HostChange:
    """A host that drains or has started; `since_s` is when discovery had the change.

    `written_s` is when the first list with the change was written, by (gateway, run number).
    """

    host: int
    since_s: float
    until_s: float = float("inf")
    written_s: dict[tuple[int, int], float] = field(default_factory=dict)


@dataclass(slots=True)
class Fall:
    """A cold host that got more work than it can take, with (time, id) of the requests of that window."""

    at_s: float
    start: HostChange
    requests: list[tuple[float, str]]


@dataclass(slots=True)
class Outage:
    """A period in which discovery is silent at an address or refuses connections there."""

    since_s: float
    until_s: float
    is_silent: bool


@dataclass(slots=True)
class Watch:
    """A watch of one process of a gateway, until it is answered or its connection ends."""

    run_number: int
    since_s: float
    hold_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class DiscoveryAddress:
    """One discovery address of a gateway, used since a SIGHUP or, for the first one, from the start."""

    since_s: float
    outages: list[Outage] = field(default_factory=list)  # in order of time
    watches: list[Watch] = field(default_factory=list)

    def reachable_s(self, from_s: float) -> float:
        """The first moment at or after `from_s` that is in no outage."""
        for outage in self.outages:
            if outage.since_s <= from_s < outage.until_s:
                from_s = outage.until_s
        return from_s


@dataclass(slots=True)
class ProcessRun:
    """One process of a gateway, from its start to its exit."""

    gateway: int
    number: int
    started_s: float
    ready_s: float = float("inf")
    sigterm_s: float = float("inf")
    sigkill_s: float = float("inf")
    ended_s: float = float("inf")


@dataclass(slots=True)
class LabDelays:
    """Delays of the lab's own event loop, which limit the accuracy of all times that it records."""

    samples: list[tuple[float, float]] = field(default_factory=list)  # (time, delay), in order of time

    def max_near(self, at_s: float, within_s: float = 0.5) -> float:
        """The longest delay within `within_s` of a moment."""
        index = bisect_left(self.samples, (at_s - within_s, 0.0))
        greatest = 0.0
        while index < len(self.samples) and self.samples[index][0] <= at_s + within_s:
            greatest = max(greatest, self.samples[index][1])
            index += 1
        return greatest


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, when and how."""

    at_s: float
    rule: str
    detail: str


@dataclass
class Records:
    """All records of one soak."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)  # by request id
    drains: list[HostChange] = field(default_factory=list)
    falls: list[Fall] = field(default_factory=list)
    addresses: dict[int, list[DiscoveryAddress]] = field(default_factory=dict)  # by gateway, in order of use
    runs: dict[tuple[int, int], ProcessRun] = field(default_factory=dict)
    lab_delays: LabDelays = field(default_factory=LabDelays)
    violations: list[Violation] = field(default_factory=list)  # found while the soak runs, not by the judge
    events: list[tuple[float, str]] = field(default_factory=list)
