"""What clients, hosts and discovery saw, as the judge takes it. All times by one monotonic clock, in s."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from enum import Enum


class ExchangeEnd(Enum):
    """How a client's request ended."""

    ANSWERED = "answered"
    CLOSED = "the connection ended with no whole answer"
    CLIENT_LEFT = "the client left"
    NO_RESPONSE = "nothing came"


@dataclass(slots=True)
class Exchange:
    """One request as its client saw it, on one connection."""

    id: str
    klass: str
    gateway: int
    run_number: int  # of that gateway's processes
    sent_s: float
    deadline_s: float
    is_client_retry: bool = False  # sent once more, as its connection closed under it
    end: ExchangeEnd = ExchangeEnd.NO_RESPONSE
    ended_s: float = 0.0
    status: int = 0


@dataclass(slots=True)
class Arrival:
    """One attempt as its host saw it."""

    id: str
    host: int
    first_byte_s: float  # its first byte
    last_byte_s: float
    budget_s: float
    may_have_run: bool = True  # False: turned away, which never ran


@dataclass(slots=True)
class HostChange:
    """A host that drains or has started, since discovery has it; `written_s` by (gateway, life)."""

    host: int
    since_s: float
    until_s: float = float("inf")
    written_s: dict[tuple[int, int], float] = field(default_factory=dict)  # first in a list for that process


@dataclass(slots=True)
class Fall:
    """A cold host that got more than it bears, and the requests of that window: when each came, its id."""

    at_s: float
    start: HostChange
    requests: list[tuple[float, str]]


@dataclass(slots=True)
class Outage:
    """A time in which discovery says nothing at an address, or refuses connections there."""

    since_s: float
    until_s: float
    is_silent: bool


@dataclass(slots=True)
class Watch:
    """A call for a newer list from one process of the gateway, until it is answered or broken."""

    run_number: int
    since_s: float
    hold_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class DiscoveryAddress:
    """One address of discovery, which a gateway asks since a SIGHUP or from its first process on."""

    since_s: float
    outages: list[Outage] = field(default_factory=list)  # in order
    watches: list[Watch] = field(default_factory=list)

    def reachable_s(self, from_s: float) -> float:
        """The first moment from then on that no outage covers."""
        for outage in self.outages:
            if outage.since_s <= from_s < outage.until_s:
                from_s = outage.until_s
        return from_s


@dataclass(slots=True)
class ProcessRun:
    """One process of a gateway."""

    gateway: int
    number: int
    started_s: float
    ready_s: float = float("inf")
    sigterm_s: float = float("inf")
    sigkill_s: float = float("inf")
    ended_s: float = float("inf")


@dataclass(slots=True)
class LabDelays:
    """By how much the lab itself ran late: no time that it saw is surer than that."""

    samples: list[tuple[float, float]] = field(default_factory=list)  # when, by how much; in order

    def max_near(self, at_s: float, within_s: float = 0.5) -> float:
        """The greatest delay of the lab near a moment."""
        index = bisect_left(self.samples, (at_s - within_s, 0.0))
        greatest = 0.0
        while index < len(self.samples) and self.samples[index][0] <= at_s + within_s:
            greatest = max(greatest, self.samples[index][1])
            index += 1
        return greatest


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken."""

    at_s: float
    rule: str
    detail: str


@dataclass
class Records:
    """All of one soak."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)  # by request
    drains: list[HostChange] = field(default_factory=list)
    falls: list[Fall] = field(default_factory=list)
    addresses: dict[int, list[DiscoveryAddress]] = field(default_factory=dict)  # by gateway, in order
    runs: dict[tuple[int, int], ProcessRun] = field(default_factory=dict)
    lab_delays: LabDelays = field(default_factory=LabDelays)
    violations: list[Violation] = field(default_factory=list)  # seen at once, not by the judge
    events: list[tuple[float, str]] = field(default_factory=list)
