"""Attempts at hosts: how each ends, and when."""

from __future__ import annotations

from caperdrift.interface import (
    AttemptEnded,
    BodyPassing,
    Cancel,
    Event,
    LoadReport,
    Outcome,
    Send,
    StreamStarted,
)
from faultlab.storm.world.base import SECOND_US, BASE_US, CALM, Host, Shot, Asked, Base


class Attempts(Base):
    """What becomes of attempts at hosts, and of requests when they end."""

    def close(self, name: str, asked: Asked) -> None:
        asked.closed = True
        if all(shot.ended for shot in asked.shots):
            self.asked.pop(name, None)

    def send(self, action: Send) -> None:
        rng = self.rng
        asked, host = self.asked.get(action.request), self.hosts.get(action.server)
        if asked is None:
            return
        number = len(asked.shots)
        shot = Shot(action.server, sent_us=max(self.now_us, asked.body_ends_us))
        asked.shots.append(shot)
        if asked.closed or rng.random() < 0.003:
            self.end(asked, number, 0, Outcome.NOT_SENT)
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
            before_body = rng.random() < 0.5
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
