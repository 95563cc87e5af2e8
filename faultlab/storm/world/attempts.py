"""Simulated attempts at hosts: how and when each of them ends."""

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
    """Decides how attempts end, and closes requests on their final answer."""

    def close_request(self, name: str, client_request: ClientRequest) -> None:
        """Close a request; it is forgotten once all of its attempts have ended."""
        client_request.closed = True
        if all(attempt.ended for attempt in client_request.attempts):
            self.requests.pop(name, None)

    def send(self, action: Send) -> None:
        """Start an attempt, and schedule its body progress, its streaming and its end."""
        rng = self.rng
        client_request, host = self.requests.get(action.request), self.hosts.get(action.server)
        if client_request is None:
            return
        number = len(client_request.attempts)
        attempt = AttemptState(action.server, sent_us=max(self.now_us, client_request.body_ends_us))
        client_request.attempts.append(attempt)
        if client_request.closed or rng.random() < 0.003:
            self.schedule_end(client_request, number, 0, Outcome.NOT_SENT)
            return
        if host is not None:
            host.in_flight += 1
        outcome, latency_us = self.draw_outcome(client_request, host)
        wait_us = attempt.sent_us - self.now_us
        if client_request.body_ends_us > self.now_us and rng.random() < 0.6:
            delay_us = rng.randint(0, client_request.body_ends_us - self.now_us)
            self.schedule(delay_us, lambda: self.body_passing(client_request, number))
        if outcome is Outcome.OK and latency_us < action.timeout_us and rng.random() < 0.04:
            attempt.streaming = True
            before_body = rng.random() < 0.5
            self.schedule(
                latency_us + (0 if before_body else wait_us),
                lambda: self.stream_started(client_request, number),
            )
            latency_us += self.draw_delay_us(150_000)
            outcome = rng.choice((Outcome.OK, Outcome.OK, Outcome.RESET))
        elif latency_us >= action.timeout_us:
            outcome, latency_us = Outcome.TIMEOUT, action.timeout_us
        early = outcome in (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED) and rng.random() < 0.3
        self.schedule_end(client_request, number, latency_us + (0 if early else wait_us), outcome)

    def draw_outcome(self, client_request: ClientRequest, host: Host | None) -> tuple[Outcome, int]:
        """The outcome of an attempt and its latency, if no timeout or cancellation comes first."""
        rng = self.rng
        if host is None or host.health == "dead":
            return Outcome.CONNECT_FAILED, self.draw_delay_us(1_000)
        work_us = client_request.event.work_us or BASE_WORK_US
        latency_us = int(work_us * rng.lognormvariate(0.0, 0.25) * (1.0 + host.in_flight * self.load_factor))
        latency_us += self.draw_delay_us(20_000 * max(0.0, self.load_factor - LIGHT_LOAD))
        misbehaves = rng.random() < 0.7
        if host.health == "silent":
            return Outcome.TIMEOUT, 60 * SECOND_US
        if host.health == "slow":
            latency_us *= 8
        if host.health == "full" and misbehaves:
            return Outcome.FULL, self.draw_delay_us(1_500)
        if host.health == "resets" and misbehaves:
            return Outcome.RESET, self.draw_delay_us(latency_us)
        if misbehaves and (
            host.health == "failing"
            or (host.health != "fine" and client_request.event.klass == host.failing_class)
        ):
            return Outcome.ERROR, self.draw_delay_us(5_000)
        chance = rng.random()
        if chance < 0.01:
            return rng.choice((Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED)), self.draw_delay_us(
                5_000
            )
        return Outcome.OK, latency_us

    def schedule_end(
        self, client_request: ClientRequest, number: int, wait_us: int, outcome: Outcome
    ) -> None:
        """Schedule the end of an attempt; only its first end is reported."""
        name = client_request.event.request

        def ended() -> Event | None:
            attempt = client_request.attempts[number]
            if attempt.ended:
                return None
            attempt.ended = True
            host = self.hosts.get(attempt.host)
            if host is not None:
                host.in_flight = max(0, host.in_flight - 1)
            streamed = attempt.streaming and self.now_us > attempt.sent_us
            if outcome is Outcome.OK or streamed or client_request.closed:
                self.close_request(name, client_request)
            latency_us = max(0, self.now_us - attempt.sent_us)
            report = LoadReport(inflight=1.0) if outcome is Outcome.OK else None
            return AttemptEnded(
                name, number, attempt.host, outcome, latency_us, client_request.closed, report
            )

        self.schedule(wait_us, ended)

    def body_passing(self, client_request: ClientRequest, number: int) -> Event | None:
        """The request body is being passed on to the host, unless the attempt has ended."""
        return (
            None
            if client_request.attempts[number].ended
            else BodyPassing(client_request.event.request, number)
        )

    def stream_started(self, client_request: ClientRequest, number: int) -> Event | None:
        """The answer's body starts to stream to the client; only one attempt of a request can do so."""
        attempt = client_request.attempts[number]
        if (
            attempt.ended
            or client_request.closed
            or any(other.streaming for other in client_request.attempts if other is not attempt)
        ):
            attempt.streaming = False
            return None
        return StreamStarted(client_request.event.request, number)

    def cancel(self, action: Cancel) -> None:
        """Schedule the end of a cancelled attempt, at once or 300 us later."""
        client_request = self.requests.get(action.request)
        if client_request is not None and action.attempt < len(client_request.attempts):
            self.schedule_end(client_request, action.attempt, self.rng.choice((0, 0, 300)), Outcome.CANCELLED)
