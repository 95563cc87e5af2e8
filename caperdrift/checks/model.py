"""Reference model that a balancer is compared with, built from events and checked actions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from caperdrift.interface import (
    NEVER_RAN,
    AttemptEnded,
    BodyEnded,
    BodyPassing,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    RequestGone,
    ServerList,
    ServerStatus,
    SettingsChanged,
    StreamStarted,
)
from caperdrift.plan import Plan, Route
from caperdrift.policy.balancer import Balancer
from caperdrift.policy.breaker import Breaker
from caperdrift.policy.servers import Server

RELATIVE_TOLERANCE = 1e-6  # relative error allowed for sums of floating-point numbers


class InvariantBroken(AssertionError):  # noqa: N818
    """The balancer broke an invariant; the message gives the seed, the event number and the violation."""


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """An attempt in the reference model."""

    server: Server
    zone: int
    group: int
    sent_us: int  # or when the body was complete
    trials: list[tuple[Breaker, int]]  # breakers that it is a trial of, with their half-open episodes
    in_progress: bool  # sent with its whole body and not yet answered
    ended: bool = False
    may_have_run: bool = True
    answer_started: bool = False  # its answer is being forwarded


@dataclass(slots=True, eq=False)
class RequestRecord:
    """A request in the reference model."""

    klass: int
    class_settings: RequestClass
    max_attempts: int
    key: int | None
    body_incomplete: bool
    route_number: int  # 0: none
    route: Route | None  # as in the plan when the request arrived
    started_us: int  # 0 while its body is arriving
    attempts: list[AttemptRecord] = field(default_factory=list)
    answer_due: bool = True  # it still needs a final answer
    pinned: bool = False  # no further attempt is possible

    @property
    def is_in_flight(self) -> bool:
        """Whether an attempt has not ended."""
        return any(not attempt.ended for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class ColdBucket:
    """Leaky bucket of the work sent to a cold server, paid off at the highest rate the balancer may use."""

    level_us: float  # work sent and not paid off
    updated_us: int
    max_half_part_us: float  # maximum of half of this proxy's part since then


class ReferenceModel:
    """Answers due and attempts in flight, as recorded from events and checked actions."""

    def __init__(
        self,
        balancer: Balancer,
        seed: int,
        on_broken: Callable[[str], None] | None = None,
        event_number: int = 0,
    ) -> None:
        self.balancer = balancer
        self.seed = seed
        self.on_broken = on_broken
        self.event_number = event_number  # of the last event
        self.enabled = True  # False after a violation
        self.requests: dict[str, RequestRecord] = {}
        self.ready_by_server: dict[int, bool] = {}  # listed servers
        self.open_until_us: dict[Breaker, int] = {}  # of open breakers
        self.trials: dict[Breaker, dict[AttemptRecord, int]] = {}  # trials in flight and their episodes
        self.in_progress_by_server: dict[Server, int] = {}  # number of attempts
        self.cold_buckets: dict[Server, ColdBucket] = {}
        self.in_flight = 0  # attempts in progress at all servers
        self.routes: Mapping[int, Route] = {}
        self.pending_by_route: Counter[int] = Counter()  # requests in this model, by number of their route

    def require(self, condition: bool, violation: str) -> None:
        """Raise InvariantBroken unless the condition holds."""
        if not condition:
            raise InvariantBroken(self.violation_text(violation))

    def violation_text(self, violation: str) -> str:
        """Message with the seed and the event number."""
        return f"invariant broken at seed {self.seed} event {self.event_number}: {violation}"

    def record_event(self, now_us: int, event: Event, max_attempts: int) -> str:
        """Record an event; returns the name of the request that it concerns, or an empty string."""
        if isinstance(event, RequestArrived):
            classes = self.balancer.settings.classes
            if event.request not in self.requests:
                known = 0 <= event.klass < len(classes)
                class_settings = classes[event.klass if known else 0]
                route = self.routes.get(event.route)
                if route is not None and route.max_attempts:
                    max_attempts = min(max_attempts, route.max_attempts)
                started_us = 0 if event.body_incomplete else now_us
                self.requests[event.request] = RequestRecord(
                    event.klass,
                    class_settings,
                    max_attempts,
                    event.key,
                    event.body_incomplete,
                    event.route,
                    route,
                    started_us,
                )
                self.pending_by_route[event.route] += 1
        elif isinstance(event, Plan):
            self.routes = event.routes
            return ""
        elif isinstance(event, ServerList):
            self.record_list(event)
        elif isinstance(event, SettingsChanged):
            self.cold_buckets.clear()
        elif isinstance(event, AttemptEnded | RequestGone | StreamStarted | BodyPassing | BodyEnded):
            request = self.requests.get(event.request)
            if request is not None:
                self.record_progress(now_us, event, request)
        else:
            return ""
        return event.request if not isinstance(event, ServerList | SettingsChanged) else ""

    def record_list(self, event: ServerList) -> None:
        """Record which servers are listed, and which of them are ready."""
        if event.kind not in (ListKind.DELTA, ListKind.ERROR):
            self.ready_by_server.clear()
        for entry in event.servers:
            if entry.status is ServerStatus.GONE:
                self.ready_by_server.pop(entry.server, None)
            else:
                self.ready_by_server[entry.server] = entry.status is ServerStatus.READY

    def record_progress(
        self,
        now_us: int,
        event: AttemptEnded | RequestGone | StreamStarted | BodyPassing | BodyEnded,
        request: RequestRecord,
    ) -> None:
        """Record an event of a known request."""
        if isinstance(event, RequestGone):
            request.answer_due = False
        elif isinstance(event, BodyEnded):
            for attempt in request.attempts if request.body_incomplete else ():
                if not attempt.ended and not attempt.answer_started:
                    attempt.sent_us = now_us
                    self.set_in_progress(attempt, True)
            request.started_us = now_us if request.body_incomplete else request.started_us
            request.body_incomplete = False
        elif 0 <= event.attempt < len(request.attempts):
            attempt = request.attempts[event.attempt]
            if isinstance(event, AttemptEnded):
                if attempt.ended:
                    return
                attempt.ended = True
                never_ran = event.outcome in NEVER_RAN
                unproven = event.outcome is Outcome.FULL and self.balancer.settings.full_unproven
                attempt.may_have_run = not never_ran or unproven
                request.answer_due = (
                    request.answer_due and not event.finished and event.outcome is not Outcome.OK
                )
            elif request.answer_due:
                request.pinned = True
            attempt.answer_started = attempt.answer_started or (
                isinstance(event, StreamStarted) and request.answer_due
            )
            if attempt.ended or attempt.answer_started:
                self.set_in_progress(attempt, False)
                for breaker, _ in attempt.trials:
                    in_flight = self.trials[breaker]
                    del in_flight[attempt]
                    if not in_flight:
                        del self.trials[breaker]
                attempt.trials = []

    def set_in_progress(self, attempt: AttemptRecord, in_progress: bool) -> None:
        """Count an attempt as in progress at its server, or no longer."""
        if attempt.in_progress is not in_progress:
            attempt.in_progress = in_progress
            self.in_flight += 1 if in_progress else -1
            self.in_progress_by_server[attempt.server] = self.in_progress_by_server.get(attempt.server, 0) + (
                1 if in_progress else -1
            )
            if not self.in_progress_by_server[attempt.server]:
                del self.in_progress_by_server[attempt.server]
