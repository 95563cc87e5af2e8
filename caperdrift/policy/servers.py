"""Records of what one proxy knows and holds: servers, their parts by class, requests and attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from caperdrift.interface import Effect, ListedServer, RequestClass, ServerStatus
from caperdrift.plan import HostSelector
from caperdrift.policy.breaker import CLASS_MINIMUM, Breaker

MIN_WEIGHT, MAX_WEIGHT = 0.05, 1.0  # of the controller's weight


@dataclass(slots=True, eq=False)
class ClassState:
    """One class's requests at one server: ring, states and weight, lest one bad class condemn all of it."""

    breaker: Breaker
    weight: float = MAX_WEIGHT
    last_ok: bool = False  # the last answer was good


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy knows of one server since it last started."""

    entry: ListedServer
    weight: float  # of the controller
    hash: float  # its place on the ring of servers, the same for all proxies
    rank: float = 0.0  # steps from this proxy's start over how near and idle it is: lowest first
    max_listed_weight: float = 0.0  # the most it was listed with
    idle: float = 1.0  # smoothed share of its size that it is listed with: live weights tell of load
    breaker: Breaker = field(default_factory=Breaker)
    by_class: dict[int, ClassState] = field(default_factory=dict)  # by class
    in_flight: dict[Attempt, int] = field(
        default_factory=dict
    )  # attempts and when they were sent, oldest first
    cold_spent_us: float = 0.0  # cold only: work sent and not yet paid off
    cold_updated_us: int = 0
    unreachable: bool = False  # the last outcome was a failed connect

    @property
    def ready(self) -> bool:
        """Whether it is listed as one that takes new requests."""
        return self.entry.status is ServerStatus.READY

    def class_state(self, klass: int) -> ClassState:
        if klass not in self.by_class:
            self.by_class[klass] = ClassState(Breaker(CLASS_MINIMUM))
        return self.by_class[klass]


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_us: int
    trial_episode: int
    class_trial_episode: int
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False
    streaming: bool = False  # its answer has begun, and was judged by that


@dataclass(slots=True, eq=False)
class Request:
    id: str
    klass: int
    class_settings: RequestClass  # of its class when it came: settings may change meanwhile
    max_attempts: int  # likewise
    key: int | None
    work_us: int  # hinted; 0: unknown
    deadline_us: int
    aim_us: int  # absolute
    relative_work: float  # expected work over the class's mean
    first_try: bool
    tenant_excess: float  # part of its tenant's tries that is beyond the tenant's share
    route: int  # its number; 0: none
    targets: tuple[HostSelector, ...]  # of its route, the one drawn first; empty: all servers
    pool_size: int = 0  # servers that its last attempt was chosen from
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    done: bool = False
    streaming: bool = False
    body_started_us: int = 0  # its body is still coming since then; 0: it is whole
    pinned: bool = False  # its body has gone on, or its answer has begun: no further copy
    key_rest_until_us: int = 0  # in order: its key rests, as an attempt may still be running

    def write_deadline_us(self) -> int:
        """Up to when a further attempt may be written: keyed, while repeats are dropped; 0: any time."""
        ran = [a.sent_us for a in self.attempts if a.may_have_run]
        return (
            ran[0] + self.class_settings.window_us - 1
            if ran and self.class_settings.effect is Effect.KEYED
            else 0
        )
