"""Clients and their requests."""

from __future__ import annotations

from caperdrift.interface import BodyEnded, Event, Fail, Refuse, RequestArrived, RequestGone
from faultlab.storm.world.attempts import Attempts
from faultlab.storm.world.plans import Plans
from faultlab.storm.world.state import BASE_WORK_US, ClientRequest


class Clients(Attempts, Plans):
    """Clients that ask, wait, leave, and come again after a refusal."""

    def arrive(self) -> Event | None:
        self.schedule(self.draw_delay_us(self.arrival_gap_us / max(1, len(self.hosts))), self.arrive)
        klass = self.rng.randrange(len(self.settings.classes))
        rules = self.settings.classes[klass]
        patience_us = rules.give_up_us
        if self.rng.random() < 0.05:
            patience_us = self.rng.randint(1, rules.give_up_us)
        return self.new_request(klass, patience_us, self.rng.choice((None, *range(6))), False)

    def new_request(
        self, klass: int, patience_us: int, key: int | None, is_retry: bool, again: str = ""
    ) -> Event | None:
        """A new request; under the name `again` of one that is over, if given."""
        rng = self.rng
        if again in self.requests:
            return None
        work_us = max(1, int(BASE_WORK_US * rng.lognormvariate(0.0, 0.6))) if rng.random() < 0.6 else None
        tenant = rng.randrange(len(self.settings.tenants)) if self.settings.tenants else 0
        open_ = rng.random() < 0.05
        self.request_count += 1
        name = again or f"r{self.request_count}"
        event = RequestArrived(
            name, klass, patience_us, key, work_us, is_retry, tenant, open_, self.draw_route_number()
        )
        asked = ClientRequest(event, self.now_us + patience_us)
        self.requests[name] = asked
        if open_:
            body_us = self.draw_delay_us(80_000)
            asked.body_ends_us = self.now_us + body_us
            asked.deadline_us += body_us
            self.schedule(body_us, lambda: None if asked.closed else BodyEnded(name))
        leaves_us = asked.deadline_us - self.now_us
        if rng.random() < 0.03:
            leaves_us = rng.randint(0, leaves_us)
        self.schedule(leaves_us + 2_000, lambda: self.client_leaves(name))
        return event

    def client_leaves(self, name: str) -> Event | None:
        asked = self.requests.get(name)
        if asked is None or asked.closed:
            return None
        self.close_request(name, asked)
        return RequestGone(name)

    def final_answer(self, action: Refuse | Fail) -> None:
        """A final answer; some clients come again with what is left of their time."""
        asked = self.requests.get(action.request)
        if asked is None or asked.closed:
            return
        self.close_request(action.request, asked)
        wait_us = self.draw_delay_us(20_000) + (action.retry_after_us if isinstance(action, Refuse) else 0)
        left_us = asked.deadline_us - self.now_us - wait_us
        was = asked.event
        if left_us > 0 and self.rng.random() < 0.4 and not self.settings.classes[was.klass].dropped:
            marked = self.settings.marks_retry
            again = was.request if self.rng.random() < 0.3 else ""
            self.schedule(wait_us, lambda: self.new_request(was.klass, left_us, was.key, marked, again))
