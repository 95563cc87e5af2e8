"""The hosts of a world and the lists of them."""

from __future__ import annotations

from dataclasses import replace

from caperdrift.interface import Event, ListedServer, ListKind, ServerList, ServerStatus
from faultlab.storm.world.base import (
    START_TAKES_US,
    SECOND_US,
    MOODS,
    CALM,
    BUSY,
    JAM,
    MOOD_US,
    MEMBERSHIP_US,
    PACES_US,
    Host,
    Base,
    LABELS,
)


class Fleet(Base):
    """Hosts that come, drain, leave, restart and misbehave, and lists that tell of them late."""

    def add_host(self, started_us: int) -> None:
        number, rng = self.next_host, self.rng
        self.next_host += 1
        weight = rng.choice((0.0, 0.5, 1.0, 4.0)) if rng.random() < 0.1 else 1.0
        labels = frozenset({number % LABELS})
        entry = ListedServer(
            number, ServerStatus.READY, weight, number % 3, number % 4, 0, started_us, labels
        )
        self.hosts[number] = Host(entry)
        self.changed.add(number)

    def started_us(self) -> int:
        """The start of a host that has just come, by a clock that may be ahead of the proxy's."""
        ahead_us = self.rng.choice((0, 0, 50_000))
        return self.now_us - START_TAKES_US + ahead_us

    def set_status(self, number: int, status: ServerStatus) -> None:
        host = self.hosts[number]
        host.entry = replace(host.entry, status=status)
        self.changed.add(number)

    def fleet_changes(self) -> Event | None:
        """A host drains, leaves, restarts or joins, or the list says its load."""
        rng = self.rng
        self.plan(self.later(MEMBERSHIP_US), self.fleet_changes)
        if self.live_weights:
            for host in self.hosts.values():
                if rng.random() < 0.5:
                    host.entry = replace(host.entry, weight=round(rng.uniform(0.1, 1.0), 2))
                    self.changed.add(host.entry.server)
        number = rng.choice(tuple(self.hosts)) if self.hosts else 0
        turn = rng.randrange(8)
        if turn == 0 and number:
            self.set_status(number, ServerStatus.DRAINING)
            self.plan(self.later(2 * SECOND_US), lambda: self.depart(number))
        elif turn == 1 and number:
            self.hosts[number].mood = "dead"
            self.plan(self.later(2 * SECOND_US), lambda: self.depart(number))
        elif turn == 2 and number:  # back at once under the same number
            entry = replace(self.hosts[number].entry, started_us=self.started_us())
            entry = replace(entry, status=ServerStatus.READY)
            self.hosts[number] = Host(entry)
            self.changed.add(number)
        elif turn == 3 or len(self.hosts) < self.usual:
            self.add_host(self.started_us())
        elif turn == 4 and number:
            self.set_status(number, ServerStatus.READY)  # the drain is taken back
        if self.settings.list_is_pushed or self.watched:
            kind = rng.choices((ListKind.DELTA, ListKind.FULL, ListKind.ERROR), (7, 2, 1))[0]
            if kind is ListKind.ERROR and self.settings.list_is_pushed:
                self.plan(self.later(SECOND_US), lambda: self.listing(ListKind.FULL))  # it is taken up again
            return self.listing(kind)
        return None

    def depart(self, number: int) -> Event | None:
        if number in self.hosts and self.rng.random() < 0.8:
            self.set_status(number, ServerStatus.GONE)
        return None

    def listing(self, kind: ListKind) -> Event:
        if kind is ListKind.ERROR:
            return ServerList(kind)
        named = sorted(self.changed) if kind is ListKind.DELTA else tuple(self.hosts)
        entries = tuple(self.hosts[number].entry for number in named if number in self.hosts)
        if kind is not ListKind.DELTA:  # one that is gone is left out or named, as it comes
            gone = ServerStatus.GONE
            entries = tuple(e for e in entries if e.status is not gone or self.rng.random() < 0.5)
        self.changed.clear()
        for number in [n for n, h in self.hosts.items() if h.entry.status is ServerStatus.GONE]:
            del self.hosts[number]
        return ServerList(kind, entries)

    def mood_changes(self) -> Event | None:
        rng = self.rng
        self.plan(self.later(MOOD_US / 6), self.mood_changes)
        share = 0.8 if rng.random() < 0.05 else 0.0  # now and then most fail together
        for host in self.hosts.values():
            if rng.random() < max(share, 1.5 / len(self.hosts)):
                host.mood = rng.choice(MOODS) if rng.random() < 0.6 else "fine"
                host.bad_class = rng.randrange(len(self.settings.classes))
        self.plan(self.later(MOOD_US), self.recover)
        return None

    def recover(self) -> Event | None:
        for host in self.hosts.values():
            if self.rng.random() < 0.7:
                host.mood = "fine"
        return None

    def weather_changes(self) -> Event | None:
        self.plan(self.later(3 * SECOND_US), self.weather_changes)
        self.load = self.rng.choice((CALM, CALM, CALM, BUSY, JAM))
        self.pace_us = self.rng.choice(PACES_US)
        return None
