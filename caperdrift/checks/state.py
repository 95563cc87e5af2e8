"""What the balancer holds."""

from __future__ import annotations

from collections.abc import Iterable

from caperdrift.interface import Action, Event, Fail, Refuse, Restore, Send, ServerList
from caperdrift.checks.model import RELATIVE_TOLERANCE, ReferenceModel
from caperdrift.policy.breaker import State
from caperdrift.policy.servers import MAX_WEIGHT, MIN_WEIGHT, Server


class StateChecks(ReferenceModel):
    def check_state(self, event: Event, actions: list[Action], name: str) -> None:
        balancer = self.balancer
        self.require(
            balancer.in_flight == self.in_flight,
            f"{balancer.in_flight} attempts are out by its count, not {self.in_flight}",
        )
        wide = isinstance(event, ServerList | Restore)
        concerned = [a.request for a in actions if isinstance(a, Send | Refuse | Fail)]
        routes = set()
        for id_ in dict.fromkeys((name, *concerned)):
            owed = self.requests.get(id_)
            if owed is None:
                continue
            self.check_servers(dict.fromkeys(shot.server for shot in owed.attempts))
            if not owed.answer_due and not owed.is_in_flight:
                del self.requests[id_]
                self.pending_by_route[owed.route_number] -= 1
            routes.add(owed.route_number)
            line = balancer.key_queues.get(owed.key) if owed.key is not None else None
            if owed.answer_due and not owed.is_in_flight:
                waits = line is not None and any(request.id == id_ for request in line)
                self.require(waits, f"{id_} is owed an answer, and nothing will bring one")
            if line:
                first = self.requests.get(line[0].id)
                has_turn = line[0].done or (first is not None and first.is_in_flight)
                self.require(has_turn, f"{line[0].id} is first in its line, and nothing is out for it")
        for number in routes:
            counted, held = balancer.pending_by_route[number], self.pending_by_route[number]
            self.require(counted == held, f"route {number} has {counted} at once by its count, not {held}")
        if wide:
            self.open_until_us.clear()  # those of servers that are listed no more, too
            self.check_servers(balancer.servers.values())
            listed = sum(self.in_progress_by_server.get(server, 0) for server in balancer.servers.values())
            held = sum(len(server.in_flight) for server in balancer.servers.values())
            self.require(held == listed, f"{held} attempts are out at listed servers, not {listed}")
            self.require(
                set(balancer.servers) == set(self.ready_by_server), "other servers are held than are listed"
            )

    def check_servers(self, servers: Iterable[Server]) -> None:
        least = MIN_WEIGHT * (1.0 - RELATIVE_TOLERANCE)  # a new server has the mean of the others
        for server in servers:
            number = server.entry.server
            out = self.in_progress_by_server.get(server, 0)
            self.require(
                len(server.in_flight) == out, f"server {number} has {len(server.in_flight)} out, not {out}"
            )
            parts = server.by_class.values()
            for weight in (server.weight, *(part.weight for part in parts)):
                self.require(least <= weight <= MAX_WEIGHT, f"server {number} has the weight {weight}")
            for breaker in (server.breaker, *(part.breaker for part in parts)):
                if breaker.state is State.HALF_OPEN:
                    spells = self.trials.get(breaker, {}).values()
                    trials, held = breaker.trials_in_flight, sum(spell == breaker.episode for spell in spells)
                    self.require(
                        trials == held, f"server {number} half-open counts {trials} trials, not {held}"
                    )
                if breaker.state is State.OPEN:
                    self.open_until_us[breaker] = breaker.open_until_us
                else:
                    self.open_until_us.pop(breaker, None)
