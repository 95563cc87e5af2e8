"""The balancer: one event in, its actions out. Their types and the settings are in interface.py."""

from __future__ import annotations

from caperdrift.interface import (
    Action, AttemptEnded, BodyEnded, BodyPassing, Event, Fail, Fleet, Learned, RequestArrived, RequestGone,
    Restore, ServerList, SettingsChanged, SetTimer, Settings, StreamStarted, TimerFired, WatchList,
)
from caperdrift.policy import choice, learned
from caperdrift.policy.admission import admit
from caperdrift.policy.answers import answer_unserved, free, on_gone, waits_its_turn
from caperdrift.policy.lists import on_list, rank_servers
from caperdrift.policy.proxy import LIST_TOKEN, TENANT_MEMORY, Proxy
from caperdrift.policy.retries import on_attempt_ended, on_overdue
from caperdrift.policy.sending import try_send
from caperdrift.policy.sharers import on_fleet
from caperdrift.policy.shedding import is_shed
from caperdrift.policy.streams import on_body_ended, on_body_passing, on_stream

class Balancer(Proxy):
    """Decides for one proxy. Feed it events in order; carry out the actions that each returns."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; returns what to do, in order."""
        self.now_us = max(now_us, self.now_us)  # a clock that steps back stands still instead
        self.actions = []
        if isinstance(event, AttemptEnded):
            on_attempt_ended(self, event)
        elif isinstance(event, RequestArrived):
            self.on_request(event)
        elif isinstance(event, TimerFired):
            self.on_timer(event.token)
        elif isinstance(event, RequestGone):
            on_gone(self, event)
        elif isinstance(event, ServerList):
            on_list(self, event)
        elif isinstance(event, StreamStarted):
            on_stream(self, event)
        elif isinstance(event, BodyPassing):
            on_body_passing(self, event)
        elif isinstance(event, BodyEnded):
            on_body_ended(self, event.request)
        elif isinstance(event, SettingsChanged):
            self.on_settings(event.settings)
        elif isinstance(event, Restore):
            learned.on_restore(self, event.learned, max(0, event.age_us))
        elif isinstance(event, Fleet):
            on_fleet(self, event)
        return self.actions

    def learned(self) -> Learned:
        """What this proxy has learned, for a process after it (see Restore); changes nothing."""
        return learned.learned(self)

    def skipped(self, now_us: int) -> int:
        """How many listed servers may not be used for any class now."""
        return choice.skipped(self, now_us)

    # What no other file decides

    def on_request(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            self.log(f"request {event.request} came twice; the second is ignored")
            return
        classes = self.settings.classes
        if not 0 <= event.klass < len(classes) or classes[event.klass].dropped:
            self.log(f"request {event.request} is of unknown class {event.klass}")
            self.actions.append(Fail(event.request))
            return
        request = admit(self, event)
        self.requests[request.id] = request
        if is_shed(self, request) or not (waits_its_turn(self, request) or try_send(self, request)):
            answer_unserved(self, request)

    def on_timer(self, token: int) -> None:
        request = self.timers.pop(token, None)
        if token == LIST_TOKEN and not self.settings.list_is_pushed:
            self.actions.append(WatchList())
        elif request is not None and request.done and request.out == 0:
            free(self, request)
        elif request is not None and request.out == 0:
            answer_unserved(self, request)  # its turn has not come
        elif request is not None and not request.done:
            on_overdue(self, request)

    def on_settings(self, settings: Settings) -> None:
        """Go by other settings from now on; what was learned stays, and open requests keep their rules."""
        old, self.settings = self.settings, settings
        known = len(old.classes)
        for values in (self.smoothed, self.unhindered):
            values += [c.aim_us / 4 for c in settings.classes[known:]]
        for values in (self.mean_work, self.asked, self.served):
            values += [0.0] * (len(settings.classes) - known)
        self.patience += [(c.give_up_us, 0) for c in settings.classes[known:]]
        for index, (was, now) in enumerate(zip(old.classes, settings.classes, strict=False)):
            if was.give_up_us != now.give_up_us:
                self.patience[index] = (now.give_up_us, 0)
            if now.dropped:
                self.asked[index] = self.served[index] = 0.0
        self.tries += [t.share / (1.0 - TENANT_MEMORY) for t in settings.tenants[len(self.tries) :]]
        if old.list_is_pushed and not settings.list_is_pushed:
            self.actions.append(SetTimer(self.now_us, LIST_TOKEN))
        rank_servers(self)
