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


ROUNDING = 1e-6  # relative error that sums of floating-point numbers may have


class InvariantBroken(AssertionError):  # noqa: N818
    """The balancer did what it never may; the message gives seed, event number and what it was."""


@dataclass(slots=True, eq=False)
class Shot:
    """An attempt in this account."""

    server: Server
    zone: int
    group: int
    sent_us: int  # or when the body was whole
    trials: list[tuple[Breaker, int]]  # half-open spells that it is a trial of
    working: bool  # sent whole and not yet answered
    ended: bool = False
    may_have_run: bool = True
    begun: bool = False  # its answer is passing to the client


@dataclass(slots=True, eq=False)
class Owed:
    """A request in this account."""

    klass: int
    rules: RequestClass
    max_attempts: int
    key: int | None
    open: bool
    number: int  # of its route; 0: none
    route: Route | None  # as it was in the plan when the request came
    began_us: int  # 0 while its body comes
    shots: list[Shot] = field(default_factory=list)
    owed: bool = True  # a final answer
    tied: bool = False

    @property
    def is_out(self) -> bool:
        return any(not shot.ended for shot in self.shots)


@dataclass(slots=True, eq=False)
class Spent:
    """What a cold server was sent, in us of work, less what was paid off at the most."""

    level_us: float
    at_us: int
    half_us: float  # the most that half of this proxy's part was since


class Account:
    """What is owed and what is out, entered from events and from the actions that were checked."""

    def __init__(
        self, balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
    ) -> None:
        self.balancer = balancer
        self.seed = seed
        self.on_broken = on_broken
        self.number = number  # of the last event
        self.watching = True
        self.requests: dict[str, Owed] = {}
        self.ready: dict[int, bool] = {}  # listed servers, by what the lists said
        self.open_until_us: dict[Breaker, int] = {}
        self.trials: dict[Breaker, dict[Shot, int]] = {}  # trials out and the spell of each
        self.working: dict[Server, int] = {}
        self.spent: dict[Server, Spent] = {}
        self.out = 0
        self.routes: Mapping[int, Route] = {}
        self.at_once: Counter[int] = Counter()  # requests in this account, by their route's number

    def demand(self, holds: bool, what: str) -> None:
        if not holds:
            raise InvariantBroken(self.at(what))

    def at(self, what: str) -> str:
        return f"invariant broken at seed {self.seed} event {self.number}: {what}"

    def enter(self, now_us: int, event: Event, max_attempts: int) -> str:
        """Enter what has happened; returns the name of the request that it was about, or an empty one."""
        if isinstance(event, RequestArrived):
            classes = self.balancer.settings.classes
            if event.request not in self.requests:
                known = 0 <= event.klass < len(classes)
                rules = classes[event.klass if known else 0]
                route = self.routes.get(event.route)
                if route is not None and route.max_attempts:
                    max_attempts = min(max_attempts, route.max_attempts)
                began_us = 0 if event.open else now_us
                self.requests[event.request] = Owed(
                    event.klass, rules, max_attempts, event.key, event.open, event.route, route, began_us
                )
                self.at_once[event.route] += 1
        elif isinstance(event, Plan):
            self.routes = event.routes
            return ""
        elif isinstance(event, ServerList):
            self.enter_list(event)
        elif isinstance(event, SettingsChanged):
            self.spent.clear()
        elif isinstance(event, AttemptEnded | RequestGone | StreamStarted | BodyPassing | BodyEnded):
            owed = self.requests.get(event.request)
            if owed is not None:
                self.enter_progress(now_us, event, owed)
        else:
            return ""
        return event.request if not isinstance(event, ServerList | SettingsChanged) else ""

    def enter_list(self, event: ServerList) -> None:
        if event.kind not in (ListKind.DELTA, ListKind.ERROR):
            self.ready.clear()
        for entry in event.servers:
            if entry.status is ServerStatus.GONE:
                self.ready.pop(entry.server, None)
            else:
                self.ready[entry.server] = entry.status is ServerStatus.READY

    def enter_progress(
        self,
        now_us: int,
        event: AttemptEnded | RequestGone | StreamStarted | BodyPassing | BodyEnded,
        owed: Owed,
    ) -> None:
        if isinstance(event, RequestGone):
            owed.owed = False
        elif isinstance(event, BodyEnded):
            for shot in owed.shots if owed.open else ():
                if not shot.ended and not shot.begun:
                    shot.sent_us = now_us
                    self.work(shot, True)
            owed.began_us = now_us if owed.open else owed.began_us
            owed.open = False
        elif 0 <= event.attempt < len(owed.shots):
            shot = owed.shots[event.attempt]
            if isinstance(event, AttemptEnded):
                if shot.ended:
                    return
                shot.ended = True
                never_ran = event.outcome in NEVER_RAN
                unproven = event.outcome is Outcome.FULL and self.balancer.settings.full_unproven
                shot.may_have_run = not never_ran or unproven
                owed.owed = owed.owed and not event.finished and event.outcome is not Outcome.OK
            elif owed.owed:
                owed.tied = True
            shot.begun = shot.begun or (isinstance(event, StreamStarted) and owed.owed)
            if shot.ended or shot.begun:
                self.work(shot, False)
                for breaker, _ in shot.trials:
                    out = self.trials[breaker]
                    del out[shot]
                    if not out:
                        del self.trials[breaker]
                shot.trials = []

    def work(self, shot: Shot, working: bool) -> None:
        """Count a shot as work that its server has in hand, or no longer."""
        if shot.working is not working:
            shot.working = working
            self.out += 1 if working else -1
            self.working[shot.server] = self.working.get(shot.server, 0) + (1 if working else -1)
            if not self.working[shot.server]:
                del self.working[shot.server]
