"""What clients, hosts and discovery saw, as the judge takes it. All times by one monotonic clock, in s."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from enum import Enum


class End(Enum):
    """How a client's request ended."""

    ANSWERED = "answered"
    CLOSED = "the connection ended with no whole answer"
    GONE = "the client left"
    SILENT = "nothing came"


@dataclass(slots=True)
class Exchange:
    """One request as its client saw it, on one connection."""

    id: str
    klass: str
    gateway: int
    life: int  # of that gateway's processes
    sent_s: float
    deadline_s: float
    is_repeat: bool = False  # sent once more, as its connection closed under it
    end: End = End.SILENT
    ended_s: float = 0.0
    status: int = 0


@dataclass(slots=True)
class Arrival:
    """One attempt as its host saw it."""

    id: str
    host: int
    first_s: float  # its first byte
    last_s: float
    budget_s: float
    ran: bool = True  # False: turned away, which never ran


@dataclass(slots=True)
class Change:
    """A host that drains or has started, since discovery has it; `written_s` by (gateway, life)."""

    host: int
    since_s: float
    until_s: float = float("inf")
    written_s: dict[tuple[int, int], float] = field(default_factory=dict)  # first in a list for that process


@dataclass(slots=True)
class Fall:
    """A cold host that got more than it bears, and the requests of that window: when each came, its id."""

    at_s: float
    start: Change
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

    life: int
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
class Life:
    """One process of a gateway."""

    gateway: int
    number: int
    began_s: float
    ready_s: float = float("inf")
    term_s: float = float("inf")
    killed_s: float = float("inf")
    ended_s: float = float("inf")


@dataclass(slots=True)
class Lags:
    """By how much the lab itself ran late: no time that it saw is surer than that."""

    seen: list[tuple[float, float]] = field(default_factory=list)  # when, by how much; in order

    def around(self, at_s: float, within_s: float = 0.5) -> float:
        """The greatest delay of the lab near a moment."""
        index = bisect_left(self.seen, (at_s - within_s, 0.0))
        greatest = 0.0
        while index < len(self.seen) and self.seen[index][0] <= at_s + within_s:
            greatest = max(greatest, self.seen[index][1])
            index += 1
        return greatest


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken."""

    at_s: float
    rule: str
    what: str


@dataclass
class Records:
    """All of one soak."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)  # by request
    drains: list[Change] = field(default_factory=list)
    falls: list[Fall] = field(default_factory=list)
    addresses: dict[int, list[DiscoveryAddress]] = field(default_factory=dict)  # by gateway, in order
    lives: dict[tuple[int, int], Life] = field(default_factory=dict)
    lags: Lags = field(default_factory=Lags)
    broken: list[Broken] = field(default_factory=list)  # seen at once, not by the judge
    events: list[tuple[float, str]] = field(default_factory=list)
