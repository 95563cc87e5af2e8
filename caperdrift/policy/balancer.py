"""The balancer: takes events and returns actions. Their types and the settings are in interface.py."""

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
from caperdrift.policy.admission import admit, time_used_us
from caperdrift.policy.answers import enqueue_in_order, on_request_gone, refuse_or_fail, release_request
from caperdrift.policy.choice import count_skipped
from caperdrift.policy.lists import on_server_list, rank_servers
from caperdrift.policy.proxy import LIST_TIMER_TOKEN, Proxy
from caperdrift.policy.proxy_count import on_fleet
from caperdrift.policy.retries import on_attempt_ended, on_overdue
from caperdrift.policy.routes import is_at_limit, on_plan, route_of
from caperdrift.policy.sending import try_send
from caperdrift.policy.shedding import should_shed
from caperdrift.policy.snapshot import learned_state, on_restore
from caperdrift.policy.streams import on_body_ended, on_stream_started, pin_to_attempt


class Balancer(Proxy):
    """Makes all decisions of one proxy. Pass it events in order and carry out the actions that it returns."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Process one event; returns the actions to carry out, in order."""
        self.now_us = max(now_us, self.now_us)  # time never goes back, even if the caller's clock does
        self.actions = []
        handler = HANDLERS.get(type(event))
        if handler is not None:  # no decision depends on other events
            handler(self, event)
        return self.actions

    learned_state = learned_state
    count_skipped = count_skipped

    def on_request(self, event: RequestArrived) -> None:
        """Admit a request and send, queue or refuse it."""
        if event.request in self.requests:
            self.log(f"request {event.request} came twice; the second is ignored")
            return
        if event.class_settings is None and not self.settings.accepts_class(event.klass):
            self.log(f"request {event.request} is of unknown class {event.klass}")
            self.actions.append(Fail(event.request))
            return
        route = route_of(self, event.route)
        if is_at_limit(self, event.route, route):
            time_used_us(self, event)  # the time-outs of first tries are learned all the same
            self.actions.append(Refuse(event.request))
            return
        request = admit(self, event, route)
        self.requests[request.id] = request
        self.pending_by_route[request.route] += 1
        if should_shed(self, request) or not (enqueue_in_order(self, request) or try_send(self, request)):
            refuse_or_fail(self, request)

    def on_timer(self, event: TimerFired) -> None:
        """Handle an expired timer: of the list calls, of a key's rest, of a queued or an overdue request."""
        request = self.timers.pop(event.token, None)
        if event.token == LIST_TIMER_TOKEN and not self.settings.list_is_pushed:
            self.actions.append(WatchList())
        elif request is not None and request.done and request.in_flight == 0:
            release_request(self, request)
        elif request is not None and request.in_flight == 0:
            refuse_or_fail(self, request)  # still queued behind its key when it is too late to send it
        elif request is not None and not request.done:
            on_overdue(self, request)

    def on_settings(self, event: SettingsChanged) -> None:
        """Apply new settings; keeps what was learned, and pending requests keep their class settings."""
        old, self.settings = self.settings, event.settings
        added = len(self.settings.classes) - len(old.classes)
        for values in (self.smoothed_us, self.baseline_us, self.mean_work_us, self.offered, self.served):
            values += [0.0] * added
        self.client_timeouts += [(0, 0)] * added
        for index, klass in enumerate(self.settings.classes):
            previous = old.classes[index] if index < len(old.classes) else None
            if previous is None or previous.give_up_us != klass.give_up_us:
                self.client_timeouts[index] = (klass.give_up_us, 0)
            # Without an answer so far, the latencies are still the initial estimate: update that.
            if previous is None or self.smoothed_us[index] == previous.aim_us / 4:
                self.smoothed_us[index] = self.baseline_us[index] = klass.aim_us / 4
            if klass.dropped:
                self.offered[index] = self.served[index] = 0.0
        self.tenant_traffic += [t.share for t in self.settings.tenants[len(self.tenant_traffic) :]]
        if old.list_is_pushed and not self.settings.list_is_pushed:
            self.actions.append(SetTimer(self.now_us, LIST_TIMER_TOKEN))
        rank_servers(self)


HANDLERS: dict[type, Callable[[Any, Any], object]] = {
    AttemptEnded: on_attempt_ended,
    RequestArrived: Balancer.on_request,
    TimerFired: Balancer.on_timer,
    RequestGone: on_request_gone,
    ServerList: on_server_list,
    StreamStarted: on_stream_started,
    BodyPassing: pin_to_attempt,
    BodyEnded: on_body_ended,
    SettingsChanged: Balancer.on_settings,
    Restore: on_restore,
    Fleet: on_fleet,
    Plan: on_plan,
}
