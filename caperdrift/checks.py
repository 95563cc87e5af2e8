"""Invariants of the balancer, checked from outside: an account of its own, kept from events and actions.

`watch` puts a `Checked` before a `Balancer`. It follows what is owed and what is out, and compares that with
what the balancer does and holds after each event. docs/design.md, "Invariants", lists what it checks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from caperdrift.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    BodyEnded,
    BodyPassing,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestGone,
    Restore,
    Scope,
    Send,
    ServerList,
    ServerStatus,
    SettingsChanged,
    StreamStarted,
)
from caperdrift.policy.balancer import Balancer
from caperdrift.policy.breaker import TRIALS, Breaker, State
from caperdrift.policy.cold import FALL_MARGIN, cold_cost_us
from caperdrift.policy.servers import CEILING, FLOOR, Server

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


class Checked:
    """Hands events on to `balancer` and checks what it does.

    A broken invariant raises InvariantBroken; where `on_broken` is given it is called with the message
    instead, once, and nothing is checked from then on.
    """

    def __init__(
        self, balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
    ) -> None:
        self.balancer = balancer
        self.decide = balancer.handle
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

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """As Balancer.handle; raises InvariantBroken unless `on_broken` is given."""
        self.number += 1
        if not self.watching:
            return self.decide(now_us, event)
        now_us = max(now_us, self.balancer.now_us)
        settings = self.balancer.settings
        self.watch_parts(now_us)
        try:
            actions = self.decide(now_us, event)
        except Exception:
            self.watching = False  # what it did is not known: nothing can be compared any more
            raise
        try:
            name = self.enter(now_us, event, settings.max_attempts)
            for action in actions:
                if isinstance(action, Send):
                    self.check_send(now_us, action)
                elif isinstance(action, Refuse | Fail):
                    self.check_final(action)
            self.check_state(event, actions, name)
        except Exception as error:
            # Guards against a mistake in this account costing a gateway the actions.
            self.watching = False
            if self.on_broken is None:
                raise
            self.on_broken(str(error) if isinstance(error, InvariantBroken) else self.at(repr(error)))
        return actions

    def demand(self, holds: bool, what: str) -> None:
        if not holds:
            raise InvariantBroken(self.at(what))

    def at(self, what: str) -> str:
        return f"invariant broken at seed {self.seed} event {self.number}: {what}"

    # The account of events

    def enter(self, now_us: int, event: Event, max_attempts: int) -> str:
        """Enter what has happened; returns the name of the request that it was about, or an empty one."""
        if isinstance(event, RequestArrived):
            classes = self.balancer.settings.classes
            if event.request not in self.requests:
                known = 0 <= event.klass < len(classes)
                rules = classes[event.klass if known else 0]
                self.requests[event.request] = Owed(event.klass, rules, max_attempts, event.key, event.open)
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

    # What an action may be

    def check_send(self, now_us: int, action: Send) -> None:
        name, balancer = action.request, self.balancer
        owed = self.requests.get(name)
        self.demand(owed is not None and owed.owed, f"{name} sent though nothing is owed")
        assert owed is not None
        self.demand(self.ready.get(action.server, False), f"{name} sent to server {action.server}, not ready")
        server, rules, number = balancer.servers[action.server], owed.rules, len(owed.shots)
        breakers = server.breaker, server.part(owed.klass).breaker
        for breaker in breakers:
            is_open = breaker.state is State.OPEN or self.open_until_us.get(breaker, 0) > now_us
            self.demand(not is_open, f"{name} sent to server {action.server}, open")
        self.demand(number < owed.max_attempts, f"{name} sent {number + 1} times")
        self.demand(not owed.tied, f"{name} sent though tied to another attempt")
        ran = [shot for shot in owed.shots if shot.may_have_run]
        entry = server.entry
        if ran and rules.effect is Effect.UNSAFE:
            self.demand(False, f"{name} is unsafe and was sent again though it may have run")
        if ran and rules.effect is Effect.KEYED:
            since_us = now_us - ran[0].sent_us
            self.demand(since_us < rules.window_us, f"{name} is keyed and was sent again after {since_us} us")
            inside = rules.scope is Scope.ALL or all(
                (shot.zone if rules.scope is Scope.ZONE else shot.group)
                == (entry.zone if rules.scope is Scope.ZONE else entry.group)
                for shot in ran
            )
            self.demand(inside, f"{name} is keyed and was sent outside its {rules.scope.value}")
        spells = [(b, b.episode) for b in breakers if b.state is State.HALF_OPEN]
        shot = Shot(server, entry.zone, entry.group, now_us, spells, working=False)
        owed.shots.append(shot)
        if not owed.open:
            self.work(shot, True)
        for breaker, spell in spells:
            out = self.trials.setdefault(breaker, {})
            out[shot] = spell
            trials = sum(s == spell for s in out.values()) + len(breaker.trial_results)
            self.demand(trials <= TRIALS, f"server {action.server} half-open has {trials} trials")
        self.check_cold(now_us, server, name)

    def check_final(self, action: Refuse | Fail) -> None:
        name = action.request
        owed = self.requests.get(name)
        self.demand(owed is not None and owed.owed, f"{name} answered though nothing is owed")
        assert owed is not None
        owed.owed = False
        anywhere = owed.rules.effect is Effect.KEYED and owed.rules.scope is Scope.ALL
        harmless = owed.rules.effect is Effect.SAFE or anywhere or not any(s.may_have_run for s in owed.shots)
        refused = isinstance(action, Refuse)
        self.demand(harmless or not refused, f"{name} refused as harmless to repeat, though it may have run")

    # Cold servers

    def half_us(self, now_us: int, server: Server) -> float | None:
        """Half of this proxy's part of the work that a cold server may be sent in a window; None if warm."""
        settings, balancer = self.balancer.settings, self.balancer
        age_us = now_us - server.entry.started_us
        if not server.entry.started_us or age_us >= settings.warm_after_us or not settings.warm_after_us:
            return None
        warmed = max(0, age_us) / settings.warm_after_us
        share = settings.start_capacity + (1.0 - settings.start_capacity) * warmed
        if share >= 1.0:
            return None
        users = max(1.0, settings.proxies * min(1.0, balancer.reach / max(1, len(balancer.ranked))))
        return FALL_MARGIN * settings.fall_multiple * settings.fall_us / users * share / 2

    def watch_parts(self, now_us: int) -> None:
        """Keep the most that each cold server's part was: the balancer may have paid off by that."""
        for server, spent in tuple(self.spent.items()):
            half_us = self.half_us(now_us, server)
            if half_us is None:
                del self.spent[server]
            else:
                spent.half_us = max(spent.half_us, half_us)

    def check_cold(self, now_us: int, server: Server, name: str) -> None:
        half_us = self.half_us(now_us, server)
        if half_us is None:
            return
        spent = self.spent.setdefault(server, Spent(0.0, now_us, half_us))
        most_us = max(spent.half_us, half_us)
        paid_us = most_us * (now_us - spent.at_us) / self.balancer.settings.fall_us
        cost_us = cold_cost_us(self.balancer, self.balancer.requests[name])
        level_us = max(0.0, spent.level_us - paid_us) + cost_us
        bound_us = max(most_us, cost_us) * (1.0 + ROUNDING)
        number = server.entry.server
        self.demand(level_us <= bound_us, f"cold server {number} sent {level_us:.0f} us, of {bound_us:.0f}")
        self.spent[server] = Spent(level_us, now_us, half_us)

    # What the balancer holds

    def check_state(self, event: Event, actions: list[Action], name: str) -> None:
        balancer = self.balancer
        self.demand(balancer.out == self.out, f"{balancer.out} attempts are out by its count, not {self.out}")
        wide = isinstance(event, ServerList | Restore)
        concerned = [a.request for a in actions if isinstance(a, Send | Refuse | Fail)]
        for id_ in dict.fromkeys((name, *concerned)):
            owed = self.requests.get(id_)
            if owed is None:
                continue
            self.check_servers(dict.fromkeys(shot.server for shot in owed.shots))
            if not owed.owed and not owed.is_out:
                del self.requests[id_]
            line = balancer.lines.get(owed.key) if owed.key is not None else None
            if owed.owed and not owed.is_out:
                waits = line is not None and any(request.id == id_ for request in line)
                self.demand(waits, f"{id_} is owed an answer, and nothing will bring one")
            if line:
                first = self.requests.get(line[0].id)
                has_turn = line[0].done or (first is not None and first.is_out)
                self.demand(has_turn, f"{line[0].id} is first in its line, and nothing is out for it")
        if wide:
            self.open_until_us.clear()  # those of servers that are listed no more, too
            self.check_servers(balancer.servers.values())
            listed = sum(self.working.get(server, 0) for server in balancer.servers.values())
            held = sum(len(server.out) for server in balancer.servers.values())
            self.demand(held == listed, f"{held} attempts are out at listed servers, not {listed}")
            self.demand(set(balancer.servers) == set(self.ready), "other servers are held than are listed")

    def check_servers(self, servers: Iterable[Server]) -> None:
        least = FLOOR * (1.0 - ROUNDING)  # a new server has the mean of the others
        for server in servers:
            number = server.entry.server
            out = self.working.get(server, 0)
            self.demand(len(server.out) == out, f"server {number} has {len(server.out)} out, not {out}")
            parts = server.parts.values()
            for weight in (server.weight, *(part.weight for part in parts)):
                self.demand(least <= weight <= CEILING, f"server {number} has the weight {weight}")
            for breaker in (server.breaker, *(part.breaker for part in parts)):
                if breaker.state is State.HALF_OPEN:
                    spells = self.trials.get(breaker, {}).values()
                    trials, held = breaker.trials_out, sum(spell == breaker.episode for spell in spells)
                    self.demand(
                        trials == held, f"server {number} half-open counts {trials} trials, not {held}"
                    )
                if breaker.state is State.OPEN:
                    self.open_until_us[breaker] = breaker.open_until_us
                else:
                    self.open_until_us.pop(breaker, None)


def watch(
    balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
) -> None:
    """Check all that `balancer` handles from now on, which it must not have begun; for the rest see Checked.

    `number` is the number of the event before the first.
    """
    balancer.handle = Checked(balancer, seed, on_broken, number).handle  # type: ignore[method-assign]
