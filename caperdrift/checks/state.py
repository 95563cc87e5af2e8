"""Checks of the balancer's state."""

from __future__ import annotations

from collections.abc import Iterable

from caperdrift.checks.model import RELATIVE_TOLERANCE, ReferenceModel
from caperdrift.interface import Action, Event, Fail, Refuse, Restore, Send, ServerList
from caperdrift.policy.breaker import State
from caperdrift.policy.servers import MAX_WEIGHT, MIN_WEIGHT, Server


class StateChecks(ReferenceModel):
    """Checks of the state that the balancer holds after an event."""

    def check_state(self, event: Event, actions: list[Action], name: str) -> None:
        """Compare the state that the event and the actions concern; `name` is the event's request."""
        balancer = self.balancer
        self.require(
            balancer.in_flight == self.in_flight,
            f"{balancer.in_flight} attempts are in flight by its count, not {self.in_flight}",
        )
        all_servers = isinstance(event, ServerList | Restore)
        concerned = [a.request for a in actions if isinstance(a, Send | Refuse | Fail)]
        routes = set()
        for id_ in dict.fromkeys((name, *concerned)):
            record = self.requests.get(id_)
            if record is None:
                continue
            self.check_servers(dict.fromkeys(attempt.server for attempt in record.attempts))
            if not record.answer_due and not record.is_in_flight:
                del self.requests[id_]
                self.pending_by_route[record.route_number] -= 1
            routes.add(record.route_number)
            queue = balancer.key_queues.get(record.key) if record.key is not None else None
            if record.answer_due and not record.is_in_flight:
                waits = queue is not None and any(request.id == id_ for request in queue)
                self.require(waits, f"{id_} is due an answer, but has no attempt in flight and is not queued")
            if queue:
                first = self.requests.get(queue[0].id)
                has_turn = queue[0].done or (first is not None and first.is_in_flight)
                self.require(has_turn, f"{queue[0].id} is first in its key's queue, but not in flight")
        for number in routes:
            counted, held = balancer.pending_by_route[number], self.pending_by_route[number]
            self.require(counted == held, f"route {number} has {counted} pending by its count, not {held}")
        if all_servers:
            self.open_until_us.clear()  # also drops those of servers that are no longer listed
            self.check_servers(balancer.servers.values())
            listed = sum(self.in_progress_by_server.get(server, 0) for server in balancer.servers.values())
            held = sum(len(server.in_flight) for server in balancer.servers.values())
            self.require(held == listed, f"{held} attempts are in flight at listed servers, not {listed}")
            self.require(
                set(balancer.servers) == set(self.ready_by_server),
                "the balancer's servers differ from those listed",
            )

    def check_servers(self, servers: Iterable[Server]) -> None:
        """Check attempts in flight, weights and breakers of servers."""
        # A new server gets the mean weight of the others, which may be off by rounding.
        least = MIN_WEIGHT * (1.0 - RELATIVE_TOLERANCE)
        for server in servers:
            number = server.entry.server
            in_flight = self.in_progress_by_server.get(server, 0)
            self.require(
                len(server.in_flight) == in_flight,
                f"server {number} has {len(server.in_flight)} attempts in flight, not {in_flight}",
            )
            states = server.by_class.values()
            for weight in (server.weight, *(state.weight for state in states)):
                self.require(least <= weight <= MAX_WEIGHT, f"server {number} has the weight {weight}")
            for breaker in (server.breaker, *(state.breaker for state in states)):
                if breaker.state is State.HALF_OPEN:
                    episodes = self.trials.get(breaker, {}).values()
                    trials, held = breaker.trials_in_flight, sum(e == breaker.episode for e in episodes)
                    self.require(
                        trials == held, f"server {number} half-open counts {trials} trials, not {held}"
                    )
                if breaker.state is State.OPEN:
                    self.open_until_us[breaker] = breaker.open_until_us
                else:
                    self.open_until_us.pop(breaker, None)
