"""State that a proxy keeps for each server, request class at a server, request and attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from caperdrift.interface import Effect, ListedServer, RequestClass, ServerStatus
from caperdrift.plan import HostSelector
from caperdrift.policy.breaker import CLASS_MINIMUM, Breaker

MIN_WEIGHT, MAX_WEIGHT = 0.05, 1.0  # bounds of the feedback controller's weight


@dataclass(slots=True, eq=False)
class ClassState:
    """Breaker and weight of one class at one server, so that a failing class does not exclude the server."""

    breaker: Breaker
    weight: float = MAX_WEIGHT  # of the feedback controller
    last_ok: bool = False  # the last answer was a success


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy knows of one server since the server's last start."""

    entry: ListedServer
    weight: float  # of the feedback controller
    hash: float  # position on the ring of servers, the same for all proxies
    rank: float = 0.0  # distance on the ring from this proxy's start over zone factor times idleness
    max_listed_weight: float = 0.0
    idle: float = 1.0  # smoothed listed weight over its maximum: listed weights that change reflect load
    breaker: Breaker = field(default_factory=Breaker)
    by_class: dict[int, ClassState] = field(default_factory=dict)
    in_flight: dict[Attempt, int] = field(default_factory=dict)  # attempts and when sent, oldest first
    cold_spent_us: float = 0.0  # while cold: work sent to it and not yet paid off by the passing of time
    cold_updated_us: int = 0  # when cold_spent_us was last paid off
    unreachable: bool = False  # the last outcome was a failed connect

    @property
    def ready(self) -> bool:
        """Whether it is listed as taking new requests."""
        return self.entry.status is ServerStatus.READY

    def class_state(self, klass: int) -> ClassState:
        """The state of a class at this server, created on first use."""
        if klass not in self.by_class:
            self.by_class[klass] = ClassState(Breaker(CLASS_MINIMUM))
        return self.by_class[klass]


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a server."""

    server: Server
    sent_us: int
    trial_episode: int  # see Breaker.start_trial
    class_trial_episode: int  # the same for the breaker of its class at the server
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False  # was not answered within OVERDUE_FACTOR times the expected latency
    streaming: bool = False  # its answer has started, and its outcome was recorded then


@dataclass(slots=True, eq=False)
class Request:
    """A request that the proxy holds."""

    id: str
    klass: int
    class_settings: RequestClass  # as they were at its arrival: settings may change meanwhile
    max_attempts: int  # likewise
    key: int | None
    work_us: int  # hinted work; 0: unknown
    deadline_us: int  # clock reading
    aim_us: int  # clock reading at which its target latency is over
    relative_work: float  # hinted work over the mean of its class; 1 without a hint
    first_try: bool  # not a client retry
    tenant_excess: float  # probability to shed it for its tenant's excess, see admission.py
    route: int  # number of its route; 0: none
    targets: tuple[HostSelector, ...]  # of its route, in order of preference; empty: all servers
    pool_size: int = 0  # number of servers that its last attempt was chosen from
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts that have not ended
    done: bool = False  # has been given its final answer, or the client has left
    streaming: bool = False  # its answer has started to be forwarded
    body_started_us: int = 0  # its body has been arriving since then; 0: it is complete
    pinned: bool = False  # part of its body or answer was forwarded: no further attempt
    key_rest_until_us: int = 0  # in-order classes: its key waits until then, as an attempt may still run

    def write_deadline_us(self) -> int:
        """Clock reading up to which a further attempt may be written; 0: no limit.

        A keyed request that may have run is limited to its deduplication window.
        """
        ran = [a.sent_us for a in self.attempts if a.may_have_run]
        return (
            ran[0] + self.class_settings.window_us - 1
            if ran and self.class_settings.effect is Effect.KEYED
            else 0
        )
