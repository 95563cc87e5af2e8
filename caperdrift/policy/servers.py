"""Records of what one proxy knows and holds: servers, their parts by class, requests and attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from caperdrift.interface import Effect, ListedServer, RequestClass, ServerStatus
from caperdrift.plan import Hosts
from caperdrift.policy.breaker import PART_MINIMUM, Breaker

FLOOR, CEILING = 0.05, 1.0  # of the controller's weight


@dataclass(slots=True, eq=False)
class Part:
    """One class's requests at one server: ring, states and weight, lest one bad class condemn all of it."""

    breaker: Breaker
    weight: float = CEILING
    fine: bool = False  # the last answer was good


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy knows of one server since it last started."""

    entry: ListedServer
    weight: float  # of the controller
    hash: float  # its place on the ring of servers, the same for all proxies
    rank: float = 0.0  # steps from this proxy's start over how near and idle it is: lowest first
    size: float = 0.0  # the most it was listed with
    idle: float = 1.0  # smoothed share of its size that it is listed with: live weights tell of load
    breaker: Breaker = field(default_factory=Breaker)
    parts: dict[int, Part] = field(default_factory=dict)  # by class
    out: dict[Attempt, int] = field(default_factory=dict)  # attempts and when they were sent, oldest first
    spent_us: float = 0.0  # cold only: work sent and not yet paid off
    spent_at_us: int = 0
    unreachable: bool = False  # the last outcome was a failed connect

    @property
    def ready(self) -> bool:
        """Whether it is listed as one that takes new requests."""
        return self.entry.status is ServerStatus.READY

    def part(self, klass: int) -> Part:
        if klass not in self.parts:
            self.parts[klass] = Part(Breaker(PART_MINIMUM))
        return self.parts[klass]


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_us: int
    trial_of: int
    part_trial_of: int
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False
    streaming: bool = False  # its answer has begun, and was judged by that


@dataclass(slots=True, eq=False)
class Request:
    id: str
    klass: int
    rules: RequestClass  # of its class when it came: settings may change meanwhile
    max_attempts: int  # likewise
    key: int | None
    work_us: int  # hinted; 0: unknown
    deadline_us: int
    aim_us: int  # absolute
    size: float  # expected work over the class's mean
    first_try: bool
    excess: float  # part of its tenant's tries that is beyond the tenant's share
    route: int  # its number; 0: none
    targets: tuple[Hosts, ...]  # of its route, the one drawn first; empty: all servers
    pool_size: int = 0  # servers that its last attempt was chosen from
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    done: bool = False
    streaming: bool = False
    opened_us: int = 0  # its body is still coming since then; 0: it is whole
    tied: bool = False  # its body has gone on, or its answer has begun: no further copy
    rests_until_us: int = 0  # in order: its key rests, as an attempt may still be running

    def latest_us(self) -> int:
        """Up to when a further attempt may be written: keyed, while repeats are dropped; 0: any time."""
        ran = [a.sent_us for a in self.attempts if a.may_have_run]
        return ran[0] + self.rules.window_us - 1 if ran and self.rules.effect is Effect.KEYED else 0
