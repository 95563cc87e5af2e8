"""The simulated environment of one balancer: gives it events and carries out its actions."""

from __future__ import annotations

import math
from heapq import heappop
from random import Random

from caperdrift.interface import (
    Action,
    AttemptEnded,
    BodyEnded,
    BodyPassing,
    Cancel,
    Event,
    Fail,
    FetchList,
    LearnedState,
    ListKind,
    Outcome,
    PeerMessage,
    Probed,
    Refuse,
    RequestArrived,
    RequestGone,
    Restore,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    TimerFired,
    WatchList,
)
from faultlab.storm.world.state import SECOND_US, MEAN_UNHEALTHY_US, MEAN_FLEET_CHANGE_US
from faultlab.storm.world.clients import Clients
from faultlab.storm.world.draws import reconfigured
from faultlab.storm.world.fleet import Fleet


class World(Clients, Fleet):
    """Hosts, clients, settings and lists round one balancer.

    `next_event` gives the next event, `handle_actions` receives the balancer's actions. What happens later
    depends on both and on the random generators. `learned` is the saved state of an earlier process, restored
    at the start. `plan_rng` draws route plans; None: there are no plans.
    """

    def __init__(
        self,
        rng: Random,
        settings: Settings,
        learned: LearnedState | None = None,
        plan_rng: Random | None = None,
    ) -> None:
        super().__init__(rng, settings)
        self.start_plans(plan_rng)
        for _ in range(self.usual_host_count):
            self.add_host(0)
        first_kind = ListKind.FULL if settings.list_is_pushed else ListKind.DISK
        self.schedule(0, lambda: self.make_list(first_kind))
        if learned is not None:
            self.schedule(1, lambda: Restore(learned, rng.choice((-5, 0, 800_000, 60_000_000))))
        self.schedule(10, self.arrive)
        self.schedule(self.draw_delay_us(MEAN_FLEET_CHANGE_US), self.change_fleet)
        self.schedule(self.draw_delay_us(MEAN_UNHEALTHY_US / 6), self.change_health)
        self.schedule(self.draw_delay_us(3 * SECOND_US), self.change_load)
        self.schedule(self.draw_delay_us(4 * SECOND_US), self.change_settings)
        self.schedule(self.draw_delay_us(SECOND_US / 4), self.unexpected_event)

    # Called by the lab

    def next_event(self) -> tuple[int, Event]:
        """Advance to the next event; returns its time and the event."""
        while True:
            due_us, _, callback = heappop(self.queue)
            self.now_us = max(self.now_us, due_us)
            event = callback()
            if event is not None:
                return self.now_us, event

    def handle_actions(self, actions: list[Action]) -> None:
        """Carry out the balancer's actions on the last event."""
        for action in actions:
            match action:
                case Send():
                    self.send(action)
                case Refuse() | Fail():
                    self.final_answer(action)
                case Cancel():
                    self.cancel(action)
                case SetTimer():
                    token = action.token
                    wait_us = action.due_us - self.now_us + self.rng.choice((0, 1_000))
                    self.schedule(wait_us, lambda token=token: TimerFired(token))  # type: ignore[misc]
                case WatchList():
                    self.watching = action.on
                    kind = self.rng.choices((ListKind.FULL, ListKind.DELTA, ListKind.ERROR), (6, 2, 2))[0]
                    self.schedule(self.draw_delay_us(50_000), lambda kind=kind: self.make_list(kind))  # type: ignore[misc]
                case FetchList():
                    self.schedule(self.draw_delay_us(50_000), lambda: self.make_list(ListKind.FULL))

    # Settings, and events that should not occur

    def change_settings(self) -> Event | None:
        """An operator changes the settings."""
        self.schedule(self.draw_delay_us(4 * SECOND_US), self.change_settings)
        self.settings = reconfigured(self.rng, self.settings)
        return SettingsChanged(self.settings)

    def unexpected_event(self) -> Event | None:
        """Unexpected input: reused or unknown names, unknown classes and timers, or a stalled process."""
        rng = self.rng
        self.schedule(self.draw_delay_us(SECOND_US / 4), self.unexpected_event)
        name = rng.choice(tuple(self.requests)) if self.requests else "never"
        arrival = self.requests[name].event if self.requests else RequestArrived("never", 0, 1)
        choice = rng.randrange(9)
        if choice == 0 and self.requests:
            return arrival
        if choice == 1:
            self.request_count += 1
            klass = rng.choice((-1, len(self.settings.classes), 99))
            return RequestArrived(f"r{self.request_count}", klass, 100_000)
        if choice == 2:
            ended_attempts = [
                (request_name, index)
                for request_name, client_request in self.requests.items()
                for index, attempt in enumerate(client_request.attempts)
                if attempt.ended
            ]
            name, number = rng.choice((*ended_attempts, (name, -1), (name, 9)))
            return AttemptEnded(name, number, 1, rng.choice(tuple(Outcome)), 5_000)
        if choice == 3:
            return TimerFired(rng.choice((0, 10**9)))
        if choice == 4:
            return rng.choice((RequestGone("never"), BodyEnded("never"), StreamStarted(name, 9)))
        if choice == 5:
            return rng.choice((Probed(1, Outcome.OK, 900), PeerMessage(0, b"x"), BodyPassing("never", 0)))
        if choice == 6:
            return self.out_of_range_restore()
        if choice == 7:
            self.now_us += rng.randint(0, SECOND_US)  # the process was stalled
        return None

    def out_of_range_restore(self) -> Event:
        """A Restore while requests are in flight, with values out of every bound."""
        rng = self.rng
        values = (0.0, -1.0, 1e9, math.inf, 5_000.0, 40_000.0)
        latencies = [tuple(rng.choice(values) for _ in range(rng.randint(0, 7))) for _ in range(2)]
        return Restore(LearnedState((), *latencies), rng.randint(-5, SECOND_US))
