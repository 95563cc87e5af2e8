"""A seeded random world round one balancer: hosts, lists, clients and their faults. Pure: no clock, no I/O.

The world keeps its own time in whole microseconds. `World.next` gives the next event, `World.take` hears what
the balancer did about it: what happens later depends on both, and on the generator that the world was given.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from caperdrift.interface import (
    Action,
    AttemptEnded,
    BodyEnded,
    BodyPassing,
    Cancel,
    Effect,
    Event,
    Fail,
    FetchList,
    Goal,
    Learned,
    ListedServer,
    ListKind,
    LoadReport,
    Outcome,
    PeerMessage,
    Prices,
    Probed,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestGone,
    Restore,
    Scope,
    Send,
    ServerList,
    ServerStatus,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    Tenant,
    TimerFired,
    WatchList,
)

START_US = 50_000_000
START_TAKES_US = 5_000  # of a host, before anyone can hear of it
SECOND_US = 1_000_000
BASE_US = 15_000  # work of a usual request
MOODS = ("failing", "one class fails", "silent", "slow", "full", "resets", "dead")
CALM, BUSY, JAM = 0.1, 0.4, 2.0  # how much longer each request in hand makes the next
MOOD_US = 2 * SECOND_US  # mean length of a bad spell
MEMBERSHIP_US = 300_000  # mean time between two changes of the fleet
KNOWN = ("answer before body",)
PACES_US = (20_000, 60_000, 200_000)  # mean time between two requests for each host


@dataclass(slots=True, eq=False)
class Host:
    entry: ListedServer  # as it is, which the balancer hears of later
    mood: str = "fine"
    bad_class: int = 0
    out: int = 0


@dataclass(slots=True, eq=False)
class Shot:
    """One attempt as the world sees it."""

    host: int
    ended: bool = False
    sent_us: int = 0
    streams: bool = False


@dataclass(slots=True, eq=False)
class Asked:
    """A client's request; a final answer or the client's leaving closes it."""

    event: RequestArrived
    deadline_us: int
    body_ends_us: int = 0  # 0: it came whole
    shots: list[Shot] = field(default_factory=list)
    closed: bool = False


def draw_class(rng: Random) -> RequestClass:
    aim_us = rng.choice((60_000, 150_000, 300_000))
    effect = rng.choice(tuple(Effect))
    return RequestClass(
        aim_us=aim_us,
        give_up_us=int(aim_us * rng.choice((1.0, 2.0, 4.0))),
        worth=rng.choice((0.0, 1.0, 5.0)),
        late_worth=rng.choice((0.0, 0.2)),
        effect=effect,
        scope=rng.choice(tuple(Scope)),
        window_us=rng.choice((20_000, 150_000, 400_000)),
        in_order=rng.random() < 0.25,
    )


def draw_settings(rng: Random) -> Settings:
    """Settings of one gateway out of a few or hundreds, with every rule switched at random."""
    proxies = rng.choice((1, 3, 12, 60))
    shares = rng.choice(((), (0.5, 0.5), (0.2, 0.3, 0.4)))
    return Settings(
        classes=tuple(draw_class(rng) for _ in range(rng.randint(1, 4))),
        goal=Goal(1.0, rng.choice((0.0, 0.3)), rng.choice((0.0, 0.5)), rng.choice((0.0, 0.2))),
        worth_by_work=rng.random() < 0.3,
        proxies=proxies,
        proxy=rng.randrange(proxies),
        zone=rng.randrange(3),
        prices=Prices(cross_zone=rng.choice((0.0, 0.01, 0.1))),
        tenants=tuple(Tenant(share, 100.0) for share in shares),
        over_share_worth=rng.choice((0.1, 1.0)),
        marks_retry=rng.random() < 0.5,
        max_attempts=rng.randint(1, 4),
        may_cancel=rng.random() < 0.8,
        second_copies=rng.random() < 0.7,
        attempts_per_connection=rng.choice((1, 8)),
        warm_keys=rng.random() < 0.4,
        list_is_pushed=rng.random() < 0.5,
        must_ask_within_us=rng.choice((2 * SECOND_US, 10 * SECOND_US)),
        max_retry_after_us=rng.choice((0, SECOND_US)),
        start_capacity=rng.choice((0.1, 0.3, 1.0)),
        warm_after_us=rng.choice((0, 0, 2 * SECOND_US, 8 * SECOND_US)),
        fall_multiple=rng.choice((1.0, 2.0)),
        fall_us=rng.choice((SECOND_US // 2, SECOND_US)),
        full_unproven=rng.random() < 0.3,
        key_rest_us=rng.choice((0, 30_000)),
    )


def retuned(rng: Random, old: Settings) -> Settings:
    """The settings after an operator's change: classes and tenants keep their numbers."""
    classes = list(old.classes)
    place = rng.randrange(len(classes))
    turn = rng.randrange(4)
    if turn == 0 and len(classes) < 6:
        classes.append(draw_class(rng))
    elif turn == 1 and sum(not c.dropped for c in classes) > 1:
        classes[place] = replace(classes[place], dropped=True)
    elif turn == 2:
        classes[place] = replace(draw_class(rng), dropped=classes[place].dropped)
    tenants = (*old.tenants, Tenant(0.1)) if rng.random() < 0.2 and len(old.tenants) < 6 else old.tenants
    other = draw_settings(rng)
    kept = {"classes": tuple(classes), "tenants": tenants, "zone": old.zone}
    return replace(other, **kept, proxies=old.proxies, proxy=old.proxy)  # type: ignore[arg-type]


class World:
    """Everything round one balancer. `learned` is what a process before it left behind, taken up at once.

    `known` names what of KNOWN is added, which the module mishandles (README, Open): by itself it would end
    every run, so it is left out.
    """

    def __init__(
        self, rng: Random, settings: Settings, learned: Learned | None = None, known: tuple[str, ...] = ()
    ) -> None:
        self.rng = rng
        self.known = known
        self.settings = settings
        self.now_us = START_US
        self.queue: list[tuple[int, int, Callable[[], Event | None]]] = []
        self.planned = 0  # breaks ties of time
        self.hosts: dict[int, Host] = {}
        self.changed: set[int] = set()  # since the last list
        self.watched = False
        self.asked: dict[str, Asked] = {}
        self.names = 0
        self.next_host = 1
        self.load = CALM  # on the hosts, by all proxies
        self.pace_us = rng.choice(PACES_US)
        self.live_weights = rng.random() < 0.5
        self.usual = rng.choice((1, 4, 12, 30))  # hosts in the fleet
        for _ in range(self.usual):
            self.add_host(0)
        first = ListKind.FULL if settings.list_is_pushed else ListKind.DISK
        self.plan(0, lambda: self.listing(first))
        if learned is not None:
            self.plan(1, lambda: Restore(learned, rng.choice((-5, 0, 800_000, 60_000_000))))
        self.plan(10, self.arrive)
        self.plan(self.later(MEMBERSHIP_US), self.fleet_changes)
        self.plan(self.later(MOOD_US / 6), self.mood_changes)
        self.plan(self.later(3 * SECOND_US), self.weather_changes)
        self.plan(self.later(4 * SECOND_US), self.settings_change)
        self.plan(self.later(SECOND_US / 4), self.oddity)

    # What the lab calls

    def next(self) -> tuple[int, Event]:
        """The time of the next event, and the event."""
        while True:
            due_us, _, happen = heappop(self.queue)
            self.now_us = max(self.now_us, due_us)
            event = happen()
            if event is not None:
                return self.now_us, event

    def take(self, actions: list[Action]) -> None:
        """Hear what the balancer did about the last event."""
        for action in actions:
            match action:
                case Send():
                    self.send(action)
                case Refuse() | Fail():
                    self.answered(action)
                case Cancel():
                    self.cancel(action)
                case SetTimer():
                    token = action.token
                    wait_us = action.due_us - self.now_us + self.rng.choice((0, 1_000))
                    self.plan(wait_us, lambda token=token: TimerFired(token))  # type: ignore[misc]
                case WatchList():
                    self.watched = action.on
                    kind = self.rng.choices((ListKind.FULL, ListKind.DELTA, ListKind.ERROR), (6, 2, 2))[0]
                    self.plan(self.later(50_000), lambda kind=kind: self.listing(kind))  # type: ignore[misc]
                case FetchList():
                    self.plan(self.later(50_000), lambda: self.listing(ListKind.FULL))

    # Time

    def plan(self, wait_us: float, happen: Callable[[], Event | None]) -> None:
        self.planned += 1
        heappush(self.queue, (self.now_us + max(0, int(wait_us)), self.planned, happen))

    def later(self, mean_us: float) -> int:
        return 1 + int(self.rng.expovariate(1.0) * mean_us)

    # Clients

    def arrive(self) -> Event | None:
        self.plan(self.later(self.pace_us / max(1, len(self.hosts))), self.arrive)
        klass = self.rng.randrange(len(self.settings.classes))
        rules = self.settings.classes[klass]
        patience_us = rules.give_up_us
        if self.rng.random() < 0.05:
            patience_us = self.rng.randint(1, rules.give_up_us)
        return self.ask(klass, patience_us, self.rng.choice((None, *range(6))), False)

    def ask(
        self, klass: int, patience_us: int, key: int | None, is_retry: bool, again: str = ""
    ) -> Event | None:
        """A new request; under the name `again` of one that is over, if given."""
        rng = self.rng
        if again in self.asked:
            return None
        work_us = max(1, int(BASE_US * rng.lognormvariate(0.0, 0.6))) if rng.random() < 0.6 else None
        tenant = rng.randrange(len(self.settings.tenants)) if self.settings.tenants else 0
        open_ = rng.random() < 0.05
        self.names += 1
        name = again or f"r{self.names}"
        event = RequestArrived(name, klass, patience_us, key, work_us, is_retry, tenant, open_)
        asked = Asked(event, self.now_us + patience_us)
        self.asked[name] = asked
        if open_:
            body_us = self.later(80_000)
            asked.body_ends_us = self.now_us + body_us
            asked.deadline_us += body_us
            self.plan(body_us, lambda: None if asked.closed else BodyEnded(name))
        leaves_us = asked.deadline_us - self.now_us
        if rng.random() < 0.03:
            leaves_us = rng.randint(0, leaves_us)
        self.plan(leaves_us + 2_000, lambda: self.leave(name))
        return event

    def leave(self, name: str) -> Event | None:
        asked = self.asked.get(name)
        if asked is None or asked.closed:
            return None
        self.close(name, asked)
        return RequestGone(name)

    def close(self, name: str, asked: Asked) -> None:
        asked.closed = True
        if all(shot.ended for shot in asked.shots):
            self.asked.pop(name, None)

    def answered(self, action: Refuse | Fail) -> None:
        """A final answer; some clients come again with what is left of their time."""
        asked = self.asked.get(action.request)
        if asked is None or asked.closed:
            return
        self.close(action.request, asked)
        wait_us = self.later(20_000) + (action.retry_after_us if isinstance(action, Refuse) else 0)
        left_us = asked.deadline_us - self.now_us - wait_us
        was = asked.event
        if left_us > 0 and self.rng.random() < 0.4 and not self.settings.classes[was.klass].dropped:
            marked = self.settings.marks_retry
            again = was.request if self.rng.random() < 0.3 else ""
            self.plan(wait_us, lambda: self.ask(was.klass, left_us, was.key, marked, again))

    # Attempts

    def send(self, action: Send) -> None:
        rng = self.rng
        asked, host = self.asked.get(action.request), self.hosts.get(action.server)
        if asked is None:
            return
        number = len(asked.shots)
        shot = Shot(action.server, sent_us=max(self.now_us, asked.body_ends_us))
        asked.shots.append(shot)
        if asked.closed or rng.random() < 0.003:
            self.end(asked, number, 0, Outcome.MOOT)
            return
        if host is not None:
            host.out += 1
        outcome, latency_us = self.fate(asked, host)
        wait_us = shot.sent_us - self.now_us
        if asked.body_ends_us > self.now_us and rng.random() < 0.6:
            passing_us = rng.randint(0, asked.body_ends_us - self.now_us)
            self.plan(passing_us, lambda: self.passing(asked, number))
        if outcome is Outcome.OK and latency_us < action.timeout_us and rng.random() < 0.04:
            shot.streams = True
            before_body = "answer before body" in self.known and rng.random() < 0.5
            self.plan(latency_us + (0 if before_body else wait_us), lambda: self.stream(asked, number))
            latency_us += self.later(150_000)
            outcome = rng.choice((Outcome.OK, Outcome.OK, Outcome.RESET))
        elif latency_us >= action.timeout_us:
            outcome, latency_us = Outcome.TIMEOUT, action.timeout_us
        early = outcome in (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED) and rng.random() < 0.3
        self.end(asked, number, latency_us + (0 if early else wait_us), outcome)

    def fate(self, asked: Asked, host: Host | None) -> tuple[Outcome, int]:
        """How an attempt would end, and after how long, if nothing cut it short."""
        rng = self.rng
        if host is None or host.mood == "dead":
            return Outcome.CONNECT_FAILED, self.later(1_000)
        work_us = asked.event.work_us or BASE_US
        latency_us = int(work_us * rng.lognormvariate(0.0, 0.25) * (1.0 + host.out * self.load))
        latency_us += self.later(20_000 * max(0.0, self.load - CALM))
        bad = rng.random() < 0.7
        if host.mood == "silent":
            return Outcome.TIMEOUT, 60 * SECOND_US
        if host.mood == "slow":
            latency_us *= 8
        if host.mood == "full" and bad:
            return Outcome.FULL, self.later(1_500)
        if host.mood == "resets" and bad:
            return Outcome.RESET, self.later(latency_us)
        if bad and (host.mood == "failing" or (host.mood != "fine" and asked.event.klass == host.bad_class)):
            return Outcome.ERROR, self.later(5_000)
        chance = rng.random()
        if chance < 0.01:
            return rng.choice((Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)), self.later(5_000)
        return Outcome.OK, latency_us

    def end(self, asked: Asked, number: int, wait_us: int, outcome: Outcome) -> None:
        name = asked.event.request

        def ended() -> Event | None:
            shot = asked.shots[number]
            if shot.ended:
                return None
            shot.ended = True
            host = self.hosts.get(shot.host)
            if host is not None:
                host.out = max(0, host.out - 1)
            streamed = shot.streams and self.now_us > shot.sent_us
            if outcome is Outcome.OK or streamed or asked.closed:
                self.close(name, asked)
            latency_us = max(0, self.now_us - shot.sent_us)
            report = LoadReport(inflight=1.0) if outcome is Outcome.OK else None
            return AttemptEnded(name, number, shot.host, outcome, latency_us, asked.closed, report)

        self.plan(wait_us, ended)

    def passing(self, asked: Asked, number: int) -> Event | None:
        return None if asked.shots[number].ended else BodyPassing(asked.event.request, number)

    def stream(self, asked: Asked, number: int) -> Event | None:
        shot = asked.shots[number]
        if shot.ended or asked.closed or any(s.streams for s in asked.shots if s is not shot):
            shot.streams = False
            return None
        return StreamStarted(asked.event.request, number)

    def cancel(self, action: Cancel) -> None:
        asked = self.asked.get(action.request)
        if asked is not None and action.attempt < len(asked.shots):
            self.end(asked, action.attempt, self.rng.choice((0, 0, 300)), Outcome.CANCELLED)

    # The fleet

    def add_host(self, started_us: int) -> None:
        number, rng = self.next_host, self.rng
        self.next_host += 1
        weight = rng.choice((0.0, 0.5, 1.0, 4.0)) if rng.random() < 0.1 else 1.0
        entry = ListedServer(number, ServerStatus.READY, weight, number % 3, number % 4, 0, started_us)
        self.hosts[number] = Host(entry)
        self.changed.add(number)

    def started_us(self) -> int:
        """The start of a host that has just come, by a clock that may be ahead of the proxy's."""
        ahead_us = self.rng.choice((0, 0, 50_000))
        return self.now_us - START_TAKES_US + ahead_us

    def set_status(self, number: int, status: ServerStatus) -> None:
        host = self.hosts[number]
        host.entry = replace(host.entry, status=status)
        self.changed.add(number)

    def fleet_changes(self) -> Event | None:
        """A host drains, leaves, restarts or joins, or the list says its load."""
        rng = self.rng
        self.plan(self.later(MEMBERSHIP_US), self.fleet_changes)
        if self.live_weights:
            for host in self.hosts.values():
                if rng.random() < 0.5:
                    host.entry = replace(host.entry, weight=round(rng.uniform(0.1, 1.0), 2))
                    self.changed.add(host.entry.server)
        number = rng.choice(tuple(self.hosts)) if self.hosts else 0
        turn = rng.randrange(8)
        if turn == 0 and number:
            self.set_status(number, ServerStatus.DRAINING)
            self.plan(self.later(2 * SECOND_US), lambda: self.depart(number))
        elif turn == 1 and number:
            self.hosts[number].mood = "dead"
            self.plan(self.later(2 * SECOND_US), lambda: self.depart(number))
        elif turn == 2 and number:  # back at once under the same number
            entry = replace(self.hosts[number].entry, started_us=self.started_us())
            entry = replace(entry, status=ServerStatus.READY)
            self.hosts[number] = Host(entry)
            self.changed.add(number)
        elif turn == 3 or len(self.hosts) < self.usual:
            self.add_host(self.started_us())
        elif turn == 4 and number:
            self.set_status(number, ServerStatus.READY)  # the drain is taken back
        if self.settings.list_is_pushed or self.watched:
            kind = rng.choices((ListKind.DELTA, ListKind.FULL, ListKind.ERROR), (7, 2, 1))[0]
            if kind is ListKind.ERROR and self.settings.list_is_pushed:
                self.plan(self.later(SECOND_US), lambda: self.listing(ListKind.FULL))  # it is taken up again
            return self.listing(kind)
        return None

    def depart(self, number: int) -> Event | None:
        if number in self.hosts and self.rng.random() < 0.8:
            self.set_status(number, ServerStatus.GONE)
        return None

    def listing(self, kind: ListKind) -> Event:
        if kind is ListKind.ERROR:
            return ServerList(kind)
        named = sorted(self.changed) if kind is ListKind.DELTA else tuple(self.hosts)
        entries = tuple(self.hosts[number].entry for number in named if number in self.hosts)
        if kind is not ListKind.DELTA:  # one that is gone is left out or named, as it comes
            gone = ServerStatus.GONE
            entries = tuple(e for e in entries if e.status is not gone or self.rng.random() < 0.5)
        self.changed.clear()
        for number in [n for n, h in self.hosts.items() if h.entry.status is ServerStatus.GONE]:
            del self.hosts[number]
        return ServerList(kind, entries)

    def mood_changes(self) -> Event | None:
        rng = self.rng
        self.plan(self.later(MOOD_US / 6), self.mood_changes)
        share = 0.8 if rng.random() < 0.05 else 0.0  # now and then most fail together
        for host in self.hosts.values():
            if rng.random() < max(share, 1.5 / len(self.hosts)):
                host.mood = rng.choice(MOODS) if rng.random() < 0.6 else "fine"
                host.bad_class = rng.randrange(len(self.settings.classes))
        self.plan(self.later(MOOD_US), self.recover)
        return None

    def recover(self) -> Event | None:
        for host in self.hosts.values():
            if self.rng.random() < 0.7:
                host.mood = "fine"
        return None

    def weather_changes(self) -> Event | None:
        self.plan(self.later(3 * SECOND_US), self.weather_changes)
        self.load = self.rng.choice((CALM, CALM, CALM, BUSY, JAM))
        self.pace_us = self.rng.choice(PACES_US)
        return None

    def settings_change(self) -> Event | None:
        self.plan(self.later(4 * SECOND_US), self.settings_change)
        self.settings = retuned(self.rng, self.settings)
        return SettingsChanged(self.settings)

    def oddity(self) -> Event | None:
        """What should not come, or means nothing: names held twice or unknown, late timers, other tenants."""
        rng = self.rng
        self.plan(self.later(SECOND_US / 4), self.oddity)
        name = rng.choice(tuple(self.asked)) if self.asked else "never"
        some = self.asked[name].event if self.asked else RequestArrived("never", 0, 1)
        turn = rng.randrange(9)
        if turn == 0 and self.asked:
            return some
        if turn == 1:
            self.names += 1
            klass = rng.choice((-1, len(self.settings.classes), 99))
            return RequestArrived(f"r{self.names}", klass, 100_000)
        if turn == 2:
            told = [
                (n, k) for n, asked in self.asked.items() for k, shot in enumerate(asked.shots) if shot.ended
            ]
            name, number = rng.choice((*told, (name, -1), (name, 9)))
            return AttemptEnded(name, number, 1, rng.choice(tuple(Outcome)), 5_000)
        if turn == 3:
            return TimerFired(rng.choice((0, 10**9)))
        if turn == 4:
            return rng.choice((RequestGone("never"), BodyEnded("never"), StreamStarted(name, 9)))
        if turn == 5:
            return rng.choice((Probed(1, Outcome.OK, 900), PeerMessage(0, b"x"), BodyPassing("never", 0)))
        if turn == 6:
            return self.strange_learned()
        if turn == 7:
            self.now_us += rng.randint(0, SECOND_US)  # a process that was held up
        return None

    def strange_learned(self) -> Event:
        """A Restore in the middle of service, of figures out of every bound."""
        rng = self.rng
        figures = (0.0, -1.0, 1e9, math.inf, 5_000.0, 40_000.0)
        latencies = [tuple(rng.choice(figures) for _ in range(rng.randint(0, 7))) for _ in range(2)]
        return Restore(Learned((), *latencies), rng.randint(-5, SECOND_US))
