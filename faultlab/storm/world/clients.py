"""Simulated clients and their requests."""

from __future__ import annotations

from caperdrift.interface import BodyEnded, Event, Fail, Refuse, RequestArrived, RequestGone
from faultlab.storm.world.attempts import Attempts
from faultlab.storm.world.plans import Plans
from faultlab.storm.world.state import BASE_WORK_US, ClientRequest


class Clients(Attempts, Plans):
    """Clients that send requests, wait, disconnect, and retry after a refusal."""

    def arrive(self) -> Event | None:
        """A new request, and the scheduling of the next; one in 20 has a shorter client timeout."""
        self.schedule(self.draw_delay_us(self.arrival_gap_us / max(1, len(self.hosts))), self.arrive)
        klass = self.rng.randrange(len(self.settings.classes))
        class_settings = self.settings.classes[klass]
        client_timeout_us = class_settings.give_up_us
        if self.rng.random() < 0.05:
            client_timeout_us = self.rng.randint(1, class_settings.give_up_us)
        return self.new_request(klass, client_timeout_us, self.rng.choice((None, *range(6))), False)

    def new_request(
        self, klass: int, client_timeout_us: int, key: int | None, is_retry: bool, reused_name: str = ""
    ) -> Event | None:
        """A new request; `reused_name`: the name of an ended request, used again; "": a new name."""
        rng = self.rng
        if reused_name in self.requests:
            return None
        work_us = max(1, int(BASE_WORK_US * rng.lognormvariate(0.0, 0.6))) if rng.random() < 0.6 else None
        tenant = rng.randrange(len(self.settings.tenants)) if self.settings.tenants else 0
        body_incomplete = rng.random() < 0.05
        self.request_count += 1
        name = reused_name or f"r{self.request_count}"
        event = RequestArrived(
            name,
            klass,
            client_timeout_us,
            key,
            work_us,
            is_retry,
            tenant,
            body_incomplete,
            self.draw_route_number(),
        )
        client_request = ClientRequest(event, self.now_us + client_timeout_us)
        self.requests[name] = client_request
        if body_incomplete:
            body_us = self.draw_delay_us(80_000)
            client_request.body_ends_us = self.now_us + body_us
            client_request.deadline_us += body_us
            self.schedule(body_us, lambda: None if client_request.closed else BodyEnded(name))
        leaves_us = client_request.deadline_us - self.now_us
        if rng.random() < 0.03:
            leaves_us = rng.randint(0, leaves_us)
        self.schedule(leaves_us + 2_000, lambda: self.client_leaves(name))
        return event

    def client_leaves(self, name: str) -> Event | None:
        """The client disconnects, unless its request has been closed."""
        client_request = self.requests.get(name)
        if client_request is None or client_request.closed:
            return None
        self.close_request(name, client_request)
        return RequestGone(name)

    def final_answer(self, action: Refuse | Fail) -> None:
        """Close an answered request; some clients retry within the rest of their timeout."""
        client_request = self.requests.get(action.request)
        if client_request is None or client_request.closed:
            return
        self.close_request(action.request, client_request)
        wait_us = self.draw_delay_us(20_000) + (action.retry_after_us if isinstance(action, Refuse) else 0)
        left_us = client_request.deadline_us - self.now_us - wait_us
        original = client_request.event
        if left_us > 0 and self.rng.random() < 0.4 and not self.settings.classes[original.klass].dropped:
            marked_as_retry = self.settings.marks_retry
            reused_name = original.request if self.rng.random() < 0.3 else ""
            self.schedule(
                wait_us,
                lambda: self.new_request(original.klass, left_us, original.key, marked_as_retry, reused_name),
            )
