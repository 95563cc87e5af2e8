"""The account of events and actions that a balancer is compared with."""

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


RELATIVE_TOLERANCE = 1e-6  # relative error that sums of floating-point numbers may have


class InvariantBroken(AssertionError):  # noqa: N818
    """The balancer did what it never may; the message gives seed, event number and what it was."""


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """An attempt in this account."""

    server: Server
    zone: int
    group: int
    sent_us: int  # or when the body was whole
    trials: list[tuple[Breaker, int]]  # half-open spells that it is a trial of
    in_progress: bool  # sent whole and not yet answered
    ended: bool = False
    may_have_run: bool = True
    answer_started: bool = False  # its answer is passing to the client


@dataclass(slots=True, eq=False)
class RequestRecord:
    """A request in this account."""

    klass: int
    class_settings: RequestClass
    max_attempts: int
    key: int | None
    body_incomplete: bool
    route_number: int  # of its route; 0: none
    route: Route | None  # as it was in the plan when the request came
    started_us: int  # 0 while its body comes
    attempts: list[AttemptRecord] = field(default_factory=list)
    answer_due: bool = True  # a final answer
    pinned: bool = False

    @property
    def is_in_flight(self) -> bool:
        return any(not shot.ended for shot in self.attempts)


@dataclass(slots=True, eq=False)
class ColdBucket:
    """What a cold server was sent, in us of work, less what was paid off at the most."""

    level_us: float
    updated_us: int
    max_half_part_us: float  # the most that half of this proxy's part was since


class ReferenceModel:
    """What is owed and what is out, entered from events and from the actions that were checked."""

    def __init__(
        self, balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
    ) -> None:
        self.balancer = balancer
        self.seed = seed
        self.on_broken = on_broken
        self.event_number = number  # of the last event
        self.enabled = True
        self.requests: dict[str, RequestRecord] = {}
        self.ready_by_server: dict[int, bool] = {}  # listed servers, by what the lists said
        self.open_until_us: dict[Breaker, int] = {}
        self.trials: dict[Breaker, dict[AttemptRecord, int]] = {}  # trials out and the spell of each
        self.in_progress_by_server: dict[Server, int] = {}
        self.cold_buckets: dict[Server, ColdBucket] = {}
        self.in_flight = 0
        self.routes: Mapping[int, Route] = {}
        self.pending_by_route: Counter[int] = Counter()  # requests in this account, by their route's number

    def require(self, holds: bool, what: str) -> None:
        if not holds:
            raise InvariantBroken(self.violation_text(what))

    def violation_text(self, what: str) -> str:
        return f"invariant broken at seed {self.seed} event {self.event_number}: {what}"

    def record_event(self, now_us: int, event: Event, max_attempts: int) -> str:
        """Enter what has happened; returns the name of the request that it was about, or an empty one."""
        if isinstance(event, RequestArrived):
            classes = self.balancer.settings.classes
            if event.request not in self.requests:
                known = 0 <= event.klass < len(classes)
                rules = classes[event.klass if known else 0]
                route = self.routes.get(event.route)
                if route is not None and route.max_attempts:
                    max_attempts = min(max_attempts, route.max_attempts)
                began_us = 0 if event.body_incomplete else now_us
                self.requests[event.request] = RequestRecord(
                    event.klass,
                    rules,
                    max_attempts,
                    event.key,
                    event.body_incomplete,
                    event.route,
                    route,
                    began_us,
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
            owed = self.requests.get(event.request)
            if owed is not None:
                self.record_progress(now_us, event, owed)
        else:
            return ""
        return event.request if not isinstance(event, ServerList | SettingsChanged) else ""

    def record_list(self, event: ServerList) -> None:
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
        owed: RequestRecord,
    ) -> None:
        if isinstance(event, RequestGone):
            owed.answer_due = False
        elif isinstance(event, BodyEnded):
            for shot in owed.attempts if owed.body_incomplete else ():
                if not shot.ended and not shot.answer_started:
                    shot.sent_us = now_us
                    self.set_in_progress(shot, True)
            owed.started_us = now_us if owed.body_incomplete else owed.started_us
            owed.body_incomplete = False
        elif 0 <= event.attempt < len(owed.attempts):
            shot = owed.attempts[event.attempt]
            if isinstance(event, AttemptEnded):
                if shot.ended:
                    return
                shot.ended = True
                never_ran = event.outcome in NEVER_RAN
                unproven = event.outcome is Outcome.FULL and self.balancer.settings.full_unproven
                shot.may_have_run = not never_ran or unproven
                owed.answer_due = owed.answer_due and not event.finished and event.outcome is not Outcome.OK
            elif owed.answer_due:
                owed.pinned = True
            shot.answer_started = shot.answer_started or (
                isinstance(event, StreamStarted) and owed.answer_due
            )
            if shot.ended or shot.answer_started:
                self.set_in_progress(shot, False)
                for breaker, _ in shot.trials:
                    out = self.trials[breaker]
                    del out[shot]
                    if not out:
                        del self.trials[breaker]
                shot.trials = []

    def set_in_progress(self, shot: AttemptRecord, working: bool) -> None:
        """Count a shot as work that its server has in hand, or no longer."""
        if shot.in_progress is not working:
            shot.in_progress = working
            self.in_flight += 1 if working else -1
            self.in_progress_by_server[shot.server] = self.in_progress_by_server.get(shot.server, 0) + (
                1 if working else -1
            )
            if not self.in_progress_by_server[shot.server]:
                del self.in_progress_by_server[shot.server]
