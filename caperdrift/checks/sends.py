"""What an action may be."""

from __future__ import annotations

from caperdrift.interface import Effect, Fail, Refuse, Scope, Send
from caperdrift.checks.account import Shot
from caperdrift.checks.cold import Cold
from caperdrift.checks.routed import Routed
from caperdrift.policy.breaker import TRIALS, State


class Sends(Cold, Routed):
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
        self.check_routed(now_us, action, owed, server.entry)
        self.demand(not owed.tied, f"{name} sent though tied to another attempt")
        ran = [shot for shot in owed.shots if shot.may_have_run]
        entry = server.entry
        if ran and rules.effect is Effect.UNSAFE:
            self.demand(False, f"{name} is unsafe and was sent again though it may have run")
        if ran and rules.effect is Effect.KEYED:
            since_us = now_us - ran[0].sent_us
            self.demand(since_us < rules.window_us, f"{name} is keyed and was sent again after {since_us} us")
            may_be_late = action.latest_us != ran[0].sent_us + rules.window_us - 1
            self.demand(not may_be_late, f"{name} is keyed and may be written after its window")
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
