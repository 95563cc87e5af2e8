"""The simulated hosts, and the server lists that report them."""

from __future__ import annotations

from dataclasses import replace

from caperdrift.interface import Event, ListedServer, ListKind, ServerList, ServerStatus
from faultlab.storm.world.state import (
    HOST_START_US,
    SECOND_US,
    UNHEALTHY_STATES,
    LIGHT_LOAD,
    HEAVY_LOAD,
    OVERLOAD,
    MEAN_UNHEALTHY_US,
    MEAN_FLEET_CHANGE_US,
    ARRIVAL_GAPS_US,
    Host,
    WorldState,
    LABEL_COUNT,
)


class Fleet(WorldState):
    """Hosts that join, drain, leave, restart and misbehave, and lists that report them late."""

    def add_host(self, started_us: int) -> None:
        """Add a host; one in 10 has a random weight."""
        number, rng = self.next_host, self.rng
        self.next_host += 1
        weight = rng.choice((0.0, 0.5, 1.0, 4.0)) if rng.random() < 0.1 else 1.0
        labels = frozenset({number % LABEL_COUNT})
        entry = ListedServer(
            number, ServerStatus.READY, weight, number % 3, number % 4, 0, started_us, labels
        )
        self.hosts[number] = Host(entry)
        self.changed_hosts.add(number)

    def draw_started_us(self) -> int:
        """The start time of a host that has just joined, by a clock that may be ahead of the proxy's."""
        ahead_us = self.rng.choice((0, 0, 50_000))
        return self.now_us - HOST_START_US + ahead_us

    def set_status(self, number: int, status: ServerStatus) -> None:
        """Change the status of a host; the next list reports it."""
        host = self.hosts[number]
        host.entry = replace(host.entry, status=status)
        self.changed_hosts.add(number)

    def change_fleet(self) -> Event | None:
        """A host drains, fails, restarts or joins, or weights change; returns a list if lists are watched."""
        rng = self.rng
        self.schedule(self.draw_delay_us(MEAN_FLEET_CHANGE_US), self.change_fleet)
        if self.live_weights:
            for host in self.hosts.values():
                if rng.random() < 0.5:
                    host.entry = replace(host.entry, weight=round(rng.uniform(0.1, 1.0), 2))
                    self.changed_hosts.add(host.entry.server)
        number = rng.choice(tuple(self.hosts)) if self.hosts else 0
        choice = rng.randrange(8)
        if choice == 0 and number:
            self.set_status(number, ServerStatus.DRAINING)
            self.schedule(self.draw_delay_us(2 * SECOND_US), lambda: self.remove_host(number))
        elif choice == 1 and number:
            self.hosts[number].health = "dead"
            self.schedule(self.draw_delay_us(2 * SECOND_US), lambda: self.remove_host(number))
        elif choice == 2 and number:  # restarts at once under the same number
            entry = replace(self.hosts[number].entry, started_us=self.draw_started_us())
            entry = replace(entry, status=ServerStatus.READY)
            self.hosts[number] = Host(entry)
            self.changed_hosts.add(number)
        elif choice == 3 or len(self.hosts) < self.usual_host_count:
            self.add_host(self.draw_started_us())
        elif choice == 4 and number:
            self.set_status(number, ServerStatus.READY)  # the drain, if any, is cancelled
        if self.settings.list_is_pushed or self.watching:
            kind = rng.choices((ListKind.DELTA, ListKind.FULL, ListKind.ERROR), (7, 2, 1))[0]
            if kind is ListKind.ERROR and self.settings.list_is_pushed:
                self.schedule(
                    self.draw_delay_us(SECOND_US), lambda: self.make_list(ListKind.FULL)
                )  # the watch works again
            return self.make_list(kind)
        return None

    def remove_host(self, number: int) -> Event | None:
        """Report a host as gone, in four of five cases."""
        if number in self.hosts and self.rng.random() < 0.8:
            self.set_status(number, ServerStatus.GONE)
        return None

    def make_list(self, kind: ListKind) -> Event:
        """A server list of the changed hosts (a delta) or of all, or the error of a list call."""
        if kind is ListKind.ERROR:
            return ServerList(kind)
        numbers = sorted(self.changed_hosts) if kind is ListKind.DELTA else tuple(self.hosts)
        entries = tuple(self.hosts[number].entry for number in numbers if number in self.hosts)
        if kind is not ListKind.DELTA:  # a full list leaves a host that is gone out, or lists it as gone
            gone = ServerStatus.GONE
            entries = tuple(e for e in entries if e.status is not gone or self.rng.random() < 0.5)
        self.changed_hosts.clear()
        for number in [n for n, h in self.hosts.items() if h.entry.status is ServerStatus.GONE]:
            del self.hosts[number]
        return ServerList(kind, entries)

    def change_health(self) -> Event | None:
        """Some hosts, or most of them together, become unhealthy or healthy; a recovery is scheduled."""
        rng = self.rng
        self.schedule(self.draw_delay_us(MEAN_UNHEALTHY_US / 6), self.change_health)
        min_share = 0.8 if rng.random() < 0.05 else 0.0  # one time in 20, most hosts change together
        for host in self.hosts.values():
            if rng.random() < max(min_share, 1.5 / len(self.hosts)):
                host.health = rng.choice(UNHEALTHY_STATES) if rng.random() < 0.6 else "fine"
                host.failing_class = rng.randrange(len(self.settings.classes))
        self.schedule(self.draw_delay_us(MEAN_UNHEALTHY_US), self.recover)
        return None

    def recover(self) -> Event | None:
        """Most unhealthy hosts become healthy."""
        for host in self.hosts.values():
            if self.rng.random() < 0.7:
                host.health = "fine"
        return None

    def change_load(self) -> Event | None:
        """The load of the hosts and the rate of requests change."""
        self.schedule(self.draw_delay_us(3 * SECOND_US), self.change_load)
        self.load_factor = self.rng.choice((LIGHT_LOAD, LIGHT_LOAD, LIGHT_LOAD, HEAVY_LOAD, OVERLOAD))
        self.arrival_gap_us = self.rng.choice(ARRIVAL_GAPS_US)
        return None
