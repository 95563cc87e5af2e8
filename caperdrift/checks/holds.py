"""What the balancer holds."""

from __future__ import annotations

from collections.abc import Iterable

from caperdrift.interface import Action, Event, Fail, Refuse, Restore, Send, ServerList
from caperdrift.checks.account import ROUNDING, Account
from caperdrift.policy.breaker import State
from caperdrift.policy.servers import CEILING, FLOOR, Server


class Holds(Account):
    def check_state(self, event: Event, actions: list[Action], name: str) -> None:
        balancer = self.balancer
        self.demand(balancer.out == self.out, f"{balancer.out} attempts are out by its count, not {self.out}")
        wide = isinstance(event, ServerList | Restore)
        concerned = [a.request for a in actions if isinstance(a, Send | Refuse | Fail)]
        routes = set()
        for id_ in dict.fromkeys((name, *concerned)):
            owed = self.requests.get(id_)
            if owed is None:
                continue
            self.check_servers(dict.fromkeys(shot.server for shot in owed.shots))
            if not owed.owed and not owed.is_out:
                del self.requests[id_]
                self.at_once[owed.number] -= 1
            routes.add(owed.number)
            line = balancer.lines.get(owed.key) if owed.key is not None else None
            if owed.owed and not owed.is_out:
                waits = line is not None and any(request.id == id_ for request in line)
                self.demand(waits, f"{id_} is owed an answer, and nothing will bring one")
            if line:
                first = self.requests.get(line[0].id)
                has_turn = line[0].done or (first is not None and first.is_out)
                self.demand(has_turn, f"{line[0].id} is first in its line, and nothing is out for it")
        for number in routes:
            counted, held = balancer.routed[number], self.at_once[number]
            self.demand(counted == held, f"route {number} has {counted} at once by its count, not {held}")
        if wide:
            self.open_until_us.clear()  # those of servers that are listed no more, too
            self.check_servers(balancer.servers.values())
            listed = sum(self.working.get(server, 0) for server in balancer.servers.values())
            held = sum(len(server.out) for server in balancer.servers.values())
            self.demand(held == listed, f"{held} attempts are out at listed servers, not {listed}")
            self.demand(set(balancer.servers) == set(self.ready), "other servers are held than are listed")

    def check_servers(self, servers: Iterable[Server]) -> None:
        least = FLOOR * (1.0 - ROUNDING)  # a new server has the mean of the others
        for server in servers:
            number = server.entry.server
            out = self.working.get(server, 0)
            self.demand(len(server.out) == out, f"server {number} has {len(server.out)} out, not {out}")
            parts = server.parts.values()
            for weight in (server.weight, *(part.weight for part in parts)):
                self.demand(least <= weight <= CEILING, f"server {number} has the weight {weight}")
            for breaker in (server.breaker, *(part.breaker for part in parts)):
                if breaker.state is State.HALF_OPEN:
                    spells = self.trials.get(breaker, {}).values()
                    trials, held = breaker.trials_out, sum(spell == breaker.episode for spell in spells)
                    self.demand(
                        trials == held, f"server {number} half-open counts {trials} trials, not {held}"
                    )
                if breaker.state is State.OPEN:
                    self.open_until_us[breaker] = breaker.open_until_us
                else:
                    self.open_until_us.pop(breaker, None)
