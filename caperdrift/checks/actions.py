"""Checks of the balancer's actions: attempts sent and final answers."""

from __future__ import annotations

from caperdrift.checks.cold import ColdChecks
from caperdrift.checks.model import AttemptRecord
from caperdrift.checks.routes import RouteChecks
from caperdrift.interface import Effect, Fail, Refuse, Scope, Send
from caperdrift.policy.breaker import TRIALS, State


class ActionChecks(ColdChecks, RouteChecks):
    """Checks of single actions."""

    def check_send(self, now_us: int, action: Send) -> None:
        """Check an attempt that is to be sent, and record it."""
        name, balancer = action.request, self.balancer
        request = self.requests.get(name)
        self.require(request is not None and request.answer_due, f"{name} sent though no answer is due")
        assert request is not None
        self.require(
            self.ready_by_server.get(action.server, False),
            f"{name} sent to server {action.server}, which is not ready",
        )
        server, class_settings, number = (
            balancer.servers[action.server],
            request.class_settings,
            len(request.attempts),
        )
        breakers = server.breaker, server.class_state(request.klass).breaker
        for breaker in breakers:
            is_open = breaker.state is State.OPEN or self.open_until_us.get(breaker, 0) > now_us
            self.require(not is_open, f"{name} sent to server {action.server}, whose breaker is open")
        self.require(number < request.max_attempts, f"{name} sent {number + 1} times")
        self.check_routed(now_us, action, request, server.entry)
        self.require(not request.pinned, f"{name} sent though pinned to another attempt")
        ran = [attempt for attempt in request.attempts if attempt.may_have_run]
        entry = server.entry
        if ran and class_settings.effect is Effect.UNSAFE:
            self.require(False, f"{name} is unsafe and was sent again though it may have run")
        if ran and class_settings.effect is Effect.KEYED:
            since_us = now_us - ran[0].sent_us
            self.require(
                since_us < class_settings.window_us, f"{name} is keyed and was sent again after {since_us} us"
            )
            may_be_late = action.write_deadline_us != ran[0].sent_us + class_settings.window_us - 1
            self.require(not may_be_late, f"{name} is keyed and may be written after its window")
            inside = class_settings.scope is Scope.ALL or all(
                (attempt.zone if class_settings.scope is Scope.ZONE else attempt.group)
                == (entry.zone if class_settings.scope is Scope.ZONE else entry.group)
                for attempt in ran
            )
            self.require(inside, f"{name} is keyed and was sent outside its {class_settings.scope.value}")
        episodes = [(b, b.episode) for b in breakers if b.state is State.HALF_OPEN]
        attempt = AttemptRecord(server, entry.zone, entry.group, now_us, episodes, in_progress=False)
        request.attempts.append(attempt)
        if not request.body_incomplete:
            self.set_in_progress(attempt, True)
        for breaker, episode in episodes:
            in_flight = self.trials.setdefault(breaker, {})
            in_flight[attempt] = episode
            trials = sum(e == episode for e in in_flight.values()) + len(breaker.trial_results)
            self.require(trials <= TRIALS, f"server {action.server} half-open has {trials} trials")
        self.check_cold(now_us, server, name)

    def check_final(self, action: Refuse | Fail) -> None:
        """Check a final answer, and record it."""
        name = action.request
        request = self.requests.get(name)
        self.require(request is not None and request.answer_due, f"{name} answered though no answer is due")
        assert request is not None
        request.answer_due = False
        in_all_servers = (
            request.class_settings.effect is Effect.KEYED and request.class_settings.scope is Scope.ALL
        )
        harmless = (
            request.class_settings.effect is Effect.SAFE
            or in_all_servers
            or not any(s.may_have_run for s in request.attempts)
        )
        refused = isinstance(action, Refuse)
        self.require(harmless or not refused, f"{name} refused as safe to retry, though it may have run")
