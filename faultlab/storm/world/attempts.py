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
from faultlab.storm.world.state import (
    SECOND_US,
    BASE_WORK_US,
    LIGHT_LOAD,
    Host,
    AttemptState,
    ClientRequest,
    WorldState,
)


class Attempts(WorldState):
    """What becomes of attempts at hosts, and of requests when they end."""

    def close_request(self, name: str, asked: ClientRequest) -> None:
        asked.closed = True
        if all(shot.ended for shot in asked.attempts):
            self.requests.pop(name, None)

    def send(self, action: Send) -> None:
        rng = self.rng
        asked, host = self.requests.get(action.request), self.hosts.get(action.server)
        if asked is None:
            return
        number = len(asked.attempts)
        shot = AttemptState(action.server, sent_us=max(self.now_us, asked.body_ends_us))
        asked.attempts.append(shot)
        if asked.closed or rng.random() < 0.003:
            self.schedule_end(asked, number, 0, Outcome.NOT_SENT)
            return
        if host is not None:
            host.in_flight += 1
        outcome, latency_us = self.draw_outcome(asked, host)
        wait_us = shot.sent_us - self.now_us
        if asked.body_ends_us > self.now_us and rng.random() < 0.6:
            passing_us = rng.randint(0, asked.body_ends_us - self.now_us)
            self.schedule(passing_us, lambda: self.body_passing(asked, number))
        if outcome is Outcome.OK and latency_us < action.timeout_us and rng.random() < 0.04:
            shot.streaming = True
            before_body = rng.random() < 0.5
            self.schedule(
                latency_us + (0 if before_body else wait_us), lambda: self.stream_started(asked, number)
            )
            latency_us += self.draw_delay_us(150_000)
            outcome = rng.choice((Outcome.OK, Outcome.OK, Outcome.RESET))
        elif latency_us >= action.timeout_us:
            outcome, latency_us = Outcome.TIMEOUT, action.timeout_us
        early = outcome in (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED) and rng.random() < 0.3
        self.schedule_end(asked, number, latency_us + (0 if early else wait_us), outcome)

    def draw_outcome(self, asked: ClientRequest, host: Host | None) -> tuple[Outcome, int]:
        """How an attempt would end, and after how long, if nothing cut it short."""
        rng = self.rng
        if host is None or host.health == "dead":
            return Outcome.CONNECT_FAILED, self.draw_delay_us(1_000)
        work_us = asked.event.work_us or BASE_WORK_US
        latency_us = int(work_us * rng.lognormvariate(0.0, 0.25) * (1.0 + host.in_flight * self.load_factor))
        latency_us += self.draw_delay_us(20_000 * max(0.0, self.load_factor - LIGHT_LOAD))
        bad = rng.random() < 0.7
        if host.health == "silent":
            return Outcome.TIMEOUT, 60 * SECOND_US
        if host.health == "slow":
            latency_us *= 8
        if host.health == "full" and bad:
            return Outcome.FULL, self.draw_delay_us(1_500)
        if host.health == "resets" and bad:
            return Outcome.RESET, self.draw_delay_us(latency_us)
        if bad and (
            host.health == "failing" or (host.health != "fine" and asked.event.klass == host.failing_class)
        ):
            return Outcome.ERROR, self.draw_delay_us(5_000)
        chance = rng.random()
        if chance < 0.01:
            return rng.choice((Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)), self.draw_delay_us(
                5_000
            )
        return Outcome.OK, latency_us

    def schedule_end(self, asked: ClientRequest, number: int, wait_us: int, outcome: Outcome) -> None:
        name = asked.event.request

        def ended() -> Event | None:
            shot = asked.attempts[number]
            if shot.ended:
                return None
            shot.ended = True
            host = self.hosts.get(shot.host)
            if host is not None:
                host.in_flight = max(0, host.in_flight - 1)
            streamed = shot.streaming and self.now_us > shot.sent_us
            if outcome is Outcome.OK or streamed or asked.closed:
                self.close_request(name, asked)
            latency_us = max(0, self.now_us - shot.sent_us)
            report = LoadReport(inflight=1.0) if outcome is Outcome.OK else None
            return AttemptEnded(name, number, shot.host, outcome, latency_us, asked.closed, report)

        self.schedule(wait_us, ended)

    def body_passing(self, asked: ClientRequest, number: int) -> Event | None:
        return None if asked.attempts[number].ended else BodyPassing(asked.event.request, number)

    def stream_started(self, asked: ClientRequest, number: int) -> Event | None:
        shot = asked.attempts[number]
        if shot.ended or asked.closed or any(s.streaming for s in asked.attempts if s is not shot):
            shot.streaming = False
            return None
        return StreamStarted(asked.event.request, number)

    def cancel(self, action: Cancel) -> None:
        asked = self.requests.get(action.request)
        if asked is not None and action.attempt < len(asked.attempts):
            self.schedule_end(asked, action.attempt, self.rng.choice((0, 0, 300)), Outcome.CANCELLED)
