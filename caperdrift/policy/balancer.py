"""The balancer: one event in, its actions out. Their types and the settings are in interface.py."""

from collections.abc import Callable
from typing import Any

from caperdrift.interface import (
    Action,
    AttemptEnded,
    BodyEnded,
    BodyPassing,
    Event,
    Fail,
    Fleet,
    Refuse,
    RequestArrived,
    RequestGone,
    Restore,
    ServerList,
    SettingsChanged,
    SetTimer,
    StreamStarted,
    TimerFired,
    WatchList,
)
from caperdrift.plan import Plan
from caperdrift.policy.admission import admit, used_us
from caperdrift.policy.answers import answer_unserved, free, on_gone, waits_its_turn
from caperdrift.policy.choice import skipped
from caperdrift.policy.learned import learned, on_restore
from caperdrift.policy.lists import on_list, rank_servers
from caperdrift.policy.proxy import LIST_TOKEN, Proxy
from caperdrift.policy.retries import on_attempt_ended, on_overdue
from caperdrift.policy.routes import is_full, on_plan, route_of
from caperdrift.policy.sending import try_send
from caperdrift.policy.sharers import on_fleet
from caperdrift.policy.shedding import is_shed
from caperdrift.policy.streams import on_body_ended, on_stream, tie


class Balancer(Proxy):
    """Decides for one proxy. Feed it events in order; carry out the actions that each returns."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; returns what to do, in order."""
        self.now_us = max(now_us, self.now_us)  # a clock that steps back stands still instead
        self.actions = []
        handler = HANDLERS.get(type(event))
        if handler is not None:  # else it says nothing that is decided by
            handler(self, event)
        return self.actions

    learned = learned
    skipped = skipped

    def on_request(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            self.log(f"request {event.request} came twice; the second is ignored")
            return
        if event.rules is None and not self.settings.takes(event.klass):
            self.log(f"request {event.request} is of unknown class {event.klass}")
            self.actions.append(Fail(event.request))
            return
        route = route_of(self, event.route)
        if is_full(self, event.route, route):
            used_us(self, event)  # a first try tells of its class's patience all the same
            self.actions.append(Refuse(event.request))
            return
        request = admit(self, event, route)
        self.requests[request.id] = request
        self.routed[request.route] += 1
        if is_shed(self, request) or not (waits_its_turn(self, request) or try_send(self, request)):
            answer_unserved(self, request)

    def on_timer(self, event: TimerFired) -> None:
        request = self.timers.pop(event.token, None)
        if event.token == LIST_TOKEN and not self.settings.list_is_pushed:
            self.actions.append(WatchList())
        elif request is not None and request.done and request.out == 0:
            free(self, request)
        elif request is not None and request.out == 0:
            answer_unserved(self, request)  # its turn has not come
        elif request is not None and not request.done:
            on_overdue(self, request)

    def on_settings(self, event: SettingsChanged) -> None:
        """Go by other settings from now on; what was learned stays, and open requests keep their rules."""
        old, self.settings = self.settings, event.settings
        more = len(self.settings.classes) - len(old.classes)
        for values in (self.smoothed, self.unhindered, self.mean_work, self.asked, self.served):
            values += [0.0] * more
        self.patience += [(0, 0)] * more
        for index, now in enumerate(self.settings.classes):
            was = old.classes[index] if index < len(old.classes) else None
            if was is None or was.give_up_us != now.give_up_us:
                self.patience[index] = (now.give_up_us, 0)
            if was is None or self.smoothed[index] == was.aim_us / 4:  # no answer yet: still the first guess
                self.smoothed[index] = self.unhindered[index] = now.aim_us / 4
            if now.dropped:
                self.asked[index] = self.served[index] = 0.0
        self.tries += [t.share for t in self.settings.tenants[len(self.tries) :]]
        if old.list_is_pushed and not self.settings.list_is_pushed:
            self.actions.append(SetTimer(self.now_us, LIST_TOKEN))
        rank_servers(self)


HANDLERS: dict[type, Callable[[Any, Any], object]] = {
    AttemptEnded: on_attempt_ended,
    RequestArrived: Balancer.on_request,
    TimerFired: Balancer.on_timer,
    RequestGone: on_gone,
    ServerList: on_list,
    StreamStarted: on_stream,
    BodyPassing: tie,
    BodyEnded: on_body_ended,
    SettingsChanged: Balancer.on_settings,
    Restore: on_restore,
    Fleet: on_fleet,
    Plan: on_plan,
}
