"""Settings, events and actions of the balancer: data types only, no decisions.

Times are whole microseconds. An absolute time is a reading of the caller's monotonic clock; all other times
are durations. Servers, requests, classes and zones are opaque identifiers that are only compared.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from caperdrift.plan import Plan


class Effect(Enum):
    """What happens if a request runs a second time."""

    SAFE = "safe"  # nothing: it can be repeated at any time
    KEYED = "keyed"  # the servers of one scope drop duplicates within the deduplication window
    UNSAFE = "unsafe"  # the effect happens twice


class Scope(Enum):
    """Which servers drop each other's duplicates of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class ServerStatus(Enum):
    """Status of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"  # takes no new requests
    GONE = "gone"


class ListKind(Enum):
    """What a ServerList event contains."""

    DELTA = "delta"  # changed servers only
    FULL = "full"  # every server; a missing one has left
    DISK = "disk"  # every server as last stored by this proxy, possibly stale
    ERROR = "error"  # a call failed or the subscription was lost; the previous list stays in force


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # rejected by a full server; never ran, unless `Settings.full_unproven` is set
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "moot"  # never sent


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
LOAD_OUTCOMES = frozenset({Outcome.OK, Outcome.TIMEOUT, Outcome.FULL})


def _validate(settings: object, least: Mapping[str, float], shares: tuple[str, ...] = ()) -> None:
    """Raise ValueError for a field that is not finite, below its minimum, or a share above 1.

    `least` maps names of fields to their minimum; `shares` names the fields that range from 0 to 1.
    """
    for name in (*least, *shares):
        value = getattr(settings, name)
        if not math.isfinite(value):
            raise ValueError(f"{name} is not a finite number")
        if value < least.get(name, 0):
            raise ValueError(f"{name} is below {least.get(name, 0)}")
        if name in shares and value > 1:
            raise ValueError(f"{name} is above 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Settings of one class of requests."""

    aim_us: int  # target latency: an answer within it has its full worth
    give_up_us: int  # time after which a client gives up, over all its retries
    worth: float = 1.0  # value of an answer within the target
    late_worth: float = 0.0  # fraction of the worth of an answer after the target
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL  # for KEYED
    window_us: int = 0  # for KEYED: deduplication window, from the sending of the first attempt
    in_order: bool = False  # requests with the same key run one at a time, in order of arrival
    dropped: bool = False  # takes no new requests and is left out of statistics; its number is not reused
    aim_stretch: float = 0.0  # the target grows by this many times the request's work, up to give_up_us

    def __post_init__(self) -> None:
        least = {"aim_us": 1, "give_up_us": 1, "worth": 0, "window_us": 0, "aim_stretch": 0}
        _validate(self, least, shares=("late_worth",))

    def aim_for_work_us(self, work_us: int) -> int:
        """Target latency of a request with `work_us` of hinted work (0: no hint)."""
        return min(self.aim_us + int(self.aim_stretch * work_us), max(self.aim_us, self.give_up_us))

    @property
    def clients_may_retry(self) -> bool:
        """Whether a client may safely retry, at any server, a request that may have run."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.scope is Scope.ALL)


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the operator's objectives."""

    whole: float = 1.0  # worth served over all requests
    worst_window: float = 0.0  # worth served in the worst time window
    worst_class: float = 0.0  # served share of the worst class
    worst_tenant: float = 0.0  # served share of the worst tenant, within its share of the service

    def __post_init__(self) -> None:
        _validate(self, least=dict.fromkeys(("whole", "worst_window", "worst_class", "worst_tenant"), 0))


@dataclass(slots=True, frozen=True)
class Tenant:
    """Share of the service that one tenant is entitled to."""

    share: float = 0.0  # of the service, from 0 to 1
    allowance_per_s: float = math.inf  # requests per second within its share, over all proxies

    def __post_init__(self) -> None:
        _validate(self, least={}, shares=("share",))
        if not self.allowance_per_s >= 0:
            raise ValueError("allowance_per_s is below 0")


@dataclass(slots=True, frozen=True)
class Prices:
    """What each kind of use costs, in points of the score."""

    cross_zone: float = 0.0  # per attempt to another zone
    handshake: float = 0.0  # per new connection
    waste: float = 0.0  # server work that led to no answer
    late_fail: float = 0.0  # worth left unserved after its target latency
    connection: float = 0.0  # per hundred open connections to a server
    probe: float = 0.0  # per probe
    peer: float = 0.0  # per message of 256 bytes to one peer
    list_lines: float = 0.0  # per hundred lines of the server list

    def __post_init__(self) -> None:
        _validate(self, least=dict.fromkeys(self.__dataclass_fields__, 0))


class Reports(Enum):
    """How servers report their load."""

    ANSWERS = "answers"  # with each answer
    PROBES = "probes"  # with answers to probes only
    NONE = "none"  # not at all


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a balancer."""

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    worth_by_work: bool = False  # worth counts per unit of work, not per request
    proxies: int = 1  # number of proxies that share the servers
    proxy: int = 0  # this proxy's number among them, from 0
    zone: int = 0  # the zone of this proxy
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # worth of a request beyond its tenant's share, as a fraction
    marks_retry: bool = False  # clients mark their retries
    max_attempts: int = 3  # of one request
    may_cancel: bool = True
    second_copies: bool = False  # hedging: a request may have two attempts in flight
    may_probe: bool = False
    may_tell_peers: bool = False
    reports: Reports = Reports.NONE
    attempts_per_connection: int = 1  # in flight at once on one connection
    keepalive_us: int = 60_000_000  # idle connections are closed after this time
    connect_timeout_us: int = 1_000_000
    answer_slack_us: int = 0  # a final answer may be this late
    stop_sending_within_us: int = 0  # time to stop sending to a server listed as draining or gone
    cpu_us_per_s: int = 0  # CPU time for this proxy's decisions; 0: no known limit
    warm_keys: bool = False  # a server that recently served a key serves it again with less work
    list_is_pushed: bool = True  # False: list changes arrive only after WatchList
    must_ask_within_us: int = 10_000_000  # longest time without a list call where there is no subscription
    max_retry_after_us: int = 1_000_000
    start_capacity: float = 1.0  # minimum share of its full capacity that a server has when it starts
    warm_after_us: int = 0  # time from its start until a server has its full capacity
    fall_multiple: float = 1.0  # a cold server falls over if it is sent more than this multiple of its
    fall_us: int = 1_000_000  # present capacity for this long (the fall window)
    full_unproven: bool = False  # a server may answer FULL even though the request has run
    key_rest_us: int = 0  # in-order classes: how long a key waits after an attempt that may still be running

    def __post_init__(self) -> None:
        """Raise ValueError for invalid settings."""
        if not self.classes:
            raise ValueError("classes is empty")
        durations = (
            "must_ask_within_us", "warm_after_us", "max_retry_after_us", "key_rest_us", "keepalive_us",
            "connect_timeout_us", "answer_slack_us", "stop_sending_within_us",
        )  # fmt: skip
        least: dict[str, float] = dict.fromkeys((*durations, "proxy", "cpu_us_per_s"), 0)
        counts = ("proxies", "max_attempts", "fall_us", "attempts_per_connection", "fall_multiple")
        _validate(self, least | dict.fromkeys(counts, 1), shares=("start_capacity", "over_share_worth"))
        if self.proxy >= self.proxies:
            raise ValueError("proxy is not below proxies")

    def accepts_class(self, klass: int) -> bool:
        """Whether the class exists and takes new requests."""
        return 0 <= klass < len(self.classes) and not self.classes[klass].dropped


# Events


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One entry of the server list."""

    server: int
    status: ServerStatus = ServerStatus.READY
    weight: float = 1.0
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0  # clock reading at its start; 0: long ago
    labels: frozenset[int] = frozenset()


@dataclass(slots=True, frozen=True)
class ServerList:
    """The server list or changes to it, or a failure to read it (see ListKind)."""

    kind: ListKind
    servers: tuple[ListedServer, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request has arrived."""

    request: str
    klass: int
    client_timeout_us: int  # time until the client abandons this try
    key: int | None = None
    work_us: int | None = None  # hint: expected work on a standard core
    is_retry: bool = False  # the client marked it as a retry
    tenant: int = 0  # index into Settings.tenants
    body_incomplete: bool = False  # the body is still arriving: the request's time starts with BodyEnded
    route: int = 0  # number of its route in the plan in force (plan.py); 0: none
    class_settings: RequestClass | None = None  # class settings at its arrival; None: the present ones


@dataclass(slots=True, frozen=True)
class BodyPassing:
    """Part of the body was forwarded with this attempt and is no longer buffered: it cannot be sent again."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class BodyEnded:
    """The last byte of a request's body has arrived, after RequestArrived with `body_incomplete`."""

    request: str


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load as reported by a server: delayed and noisy. None: not reported."""

    inflight: float | None = None  # requests at the server
    queue: float | None = None  # requests waiting there
    util: float | None = None  # utilisation of its cores
    latency_ms: float | None = None
    qps: float | None = None
    eps: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended."""

    request: str
    attempt: int  # its number among the request's attempts, from 0
    server: int
    outcome: Outcome
    latency_us: int
    finished: bool = False  # the client has been given its final answer
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class RequestGone:
    """The client has disconnected; no answer is due any more."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer has started to be forwarded to the client: no deadline applies any more."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings apply from now on. Classes and tenants keep their numbers; new ones are appended."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer requested with SetTimer has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a Probe."""

    server: int
    outcome: Outcome
    latency_us: int
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another proxy."""

    sender: int  # its number among the proxies
    payload: bytes


@dataclass(slots=True, frozen=True)
class LearnedBreaker:
    """Saved state of a breaker."""

    ring: tuple[bool, ...]  # oldest outcome first; True: failed
    state: str  # "closed", "open" or "half-open"
    open_left_us: int  # remaining cooldown where open, else 0
    cooldown_us: int


@dataclass(slots=True, frozen=True)
class LearnedServer:
    """Saved state of one server. It applies only to a server with the same number and start time."""

    server: int
    started_us: int
    weight: float  # of the feedback controller
    idle: float  # smoothed idleness, see policy/servers.py
    breaker: LearnedBreaker
    by_class: tuple[tuple[int, float, LearnedBreaker], ...] = ()  # (class, weight, breaker)


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What a balancer has learned, to be restored by another process of the same proxy."""

    servers: tuple[LearnedServer, ...]
    smoothed_us: tuple[float, ...]  # smoothed latency, by class
    unhindered_us: tuple[float, ...]  # baseline latency (where nothing queues), by class


@dataclass(slots=True, frozen=True)
class Restore:
    """Restore the learned state of an earlier process.

    Skips servers that are not listed now or are listed with another start time, and classes that the settings
    do not have. Logs one line with what was restored.
    """

    learned: LearnedState
    age_us: int = 0  # time since the snapshot; cooldowns have run on meanwhile


@dataclass(slots=True, frozen=True)
class Fleet:
    """Number of live proxies, as the proxies see each other.

    Where it is not known, the number in the settings applies. A lower number takes effect only after a delay.
    """

    gateways: tuple[int, ...] = ()  # live proxies in each zone, this one included; empty: not known


Event = (
    ServerList
    | Restore
    | Fleet
    | Plan
    | RequestArrived
    | BodyPassing
    | BodyEnded
    | AttemptEnded
    | RequestGone
    | StreamStarted
    | SettingsChanged
    | TimerFired
    | Probed
    | PeerMessage
)


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Send an attempt of a request to a server."""

    request: str
    server: int
    timeout_us: int
    # Clock reading after which no byte may be written any more, of this attempt or of an earlier one of the
    # request, even if the connection is established late; 0: no limit.
    write_deadline_us: int = 0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: the request was not carried out and the client may safely retry."""

    request: str
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the request failed, and may or may not have taken effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver TimerFired with this token at `due_us`."""

    due_us: int  # clock reading
    token: int


@dataclass(slots=True, frozen=True)
class WatchList:
    """Subscribe to changes of the server list, or end the subscription."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Request the whole server list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this proxy's idle connections to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class TellPeers:
    """Send a message to one or all other proxies."""

    payload: bytes  # 256 bytes at most
    peer: int = -1  # its number among the proxies; -1: all


@dataclass(slots=True, frozen=True)
class Log:
    """Write a log line."""

    line: str


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | WatchList | FetchList | Probe | CloseIdle | TellPeers | Log
)
