"""What an action may be."""

from __future__ import annotations

from caperdrift.interface import Effect, Fail, Refuse, Scope, Send
from caperdrift.checks.model import AttemptRecord
from caperdrift.checks.cold import ColdChecks
from caperdrift.checks.routes import RouteChecks
from caperdrift.policy.breaker import TRIALS, State


class ActionChecks(ColdChecks, RouteChecks):
    def check_send(self, now_us: int, action: Send) -> None:
        name, balancer = action.request, self.balancer
        owed = self.requests.get(name)
        self.require(owed is not None and owed.answer_due, f"{name} sent though nothing is owed")
        assert owed is not None
        self.require(
            self.ready_by_server.get(action.server, False),
            f"{name} sent to server {action.server}, not ready",
        )
        server, rules, number = balancer.servers[action.server], owed.class_settings, len(owed.attempts)
        breakers = server.breaker, server.class_state(owed.klass).breaker
        for breaker in breakers:
            is_open = breaker.state is State.OPEN or self.open_until_us.get(breaker, 0) > now_us
            self.require(not is_open, f"{name} sent to server {action.server}, open")
        self.require(number < owed.max_attempts, f"{name} sent {number + 1} times")
        self.check_routed(now_us, action, owed, server.entry)
        self.require(not owed.pinned, f"{name} sent though tied to another attempt")
        ran = [shot for shot in owed.attempts if shot.may_have_run]
        entry = server.entry
        if ran and rules.effect is Effect.UNSAFE:
            self.require(False, f"{name} is unsafe and was sent again though it may have run")
        if ran and rules.effect is Effect.KEYED:
            since_us = now_us - ran[0].sent_us
            self.require(
                since_us < rules.window_us, f"{name} is keyed and was sent again after {since_us} us"
            )
            may_be_late = action.write_deadline_us != ran[0].sent_us + rules.window_us - 1
            self.require(not may_be_late, f"{name} is keyed and may be written after its window")
            inside = rules.scope is Scope.ALL or all(
                (shot.zone if rules.scope is Scope.ZONE else shot.group)
                == (entry.zone if rules.scope is Scope.ZONE else entry.group)
                for shot in ran
            )
            self.require(inside, f"{name} is keyed and was sent outside its {rules.scope.value}")
        spells = [(b, b.episode) for b in breakers if b.state is State.HALF_OPEN]
        shot = AttemptRecord(server, entry.zone, entry.group, now_us, spells, in_progress=False)
        owed.attempts.append(shot)
        if not owed.body_incomplete:
            self.set_in_progress(shot, True)
        for breaker, spell in spells:
            out = self.trials.setdefault(breaker, {})
            out[shot] = spell
            trials = sum(s == spell for s in out.values()) + len(breaker.trial_results)
            self.require(trials <= TRIALS, f"server {action.server} half-open has {trials} trials")
        self.check_cold(now_us, server, name)

    def check_final(self, action: Refuse | Fail) -> None:
        name = action.request
        owed = self.requests.get(name)
        self.require(owed is not None and owed.answer_due, f"{name} answered though nothing is owed")
        assert owed is not None
        owed.answer_due = False
        anywhere = owed.class_settings.effect is Effect.KEYED and owed.class_settings.scope is Scope.ALL
        harmless = (
            owed.class_settings.effect is Effect.SAFE
            or anywhere
            or not any(s.may_have_run for s in owed.attempts)
        )
        refused = isinstance(action, Refuse)
        self.require(harmless or not refused, f"{name} refused as harmless to repeat, though it may have run")
