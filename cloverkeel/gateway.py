"""Connects the decision module (a Balancer) with sockets and timers, and keeps the pending requests.

The Balancer makes all choices. Events are handled one at a time: those that occur while an event's actions
are executed are queued.
"""

from __future__ import annotations

import asyncio
import os
import time
import traceback
from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from caperdrift.policy.balancer import Balancer
from caperdrift.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    BodyEnded,
    BodyPassing,
    Cancel,
    CloseIdle,
    Event,
    Fail,
    FetchList,
    ListKind,
    Log,
    Outcome,
    Probe,
    Refuse,
    RequestArrived,
    RequestGone,
    Restore,
    Send,
    SettingsChanged,
    SetTimer,
    StreamStarted,
    TimerFired,
    WatchList,
)

from cloverkeel.clock import now_us
from cloverkeel.config import Config
from cloverkeel.discovery import Discovery
from cloverkeel.fair_share import FairShare
from cloverkeel.host_entries import HostEntry
from cloverkeel.fleet.snapshot import StoreCounters, Snapshot
from cloverkeel.memory import MemoryBudget
from cloverkeel.pending import Call, PendingRequest
from cloverkeel.hosts.attempt import Attempt, parse_load_report
from cloverkeel.hosts.pool import Pools
from cloverkeel.http1 import Reply, log
from cloverkeel.host_list import ListSource, apply_list
from cloverkeel.probing import probe
from cloverkeel.recent_ids import RecentIds
from cloverkeel.streams import ReadBuffer
from cloverkeel.telemetry import Incident, Result, Telemetry

if TYPE_CHECKING:
    from cloverkeel.fleet.routes.serving import RouteTable
    from cloverkeel.transforms.active_set import ActiveSet

NO_METRICS: Mapping[str, int] = {}


class Gateway:
    """Feeds events to the Balancer, executes its actions, and keeps the pending requests."""

    def __init__(
        self,
        config: Config,
        warm: Snapshot | None = None,
        store_counters: StoreCounters | None = None,
        recent_ids: RecentIds | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings, self.names = config.settings, config.names
        self.telemetry = Telemetry()
        for klass in self.names.class_names:
            self.telemetry.add_class(klass)
        self.balancer = Balancer(config.settings, config.seed)
        if os.environ.get("LB_CHECK") == "1":
            from caperdrift.checks import attach_checks  # imported only where it is used

            attach_checks(self.balancer, config.seed, log)
        self.memory = MemoryBudget(config.memory_mb)
        self.buffer = ReadBuffer(self.memory)
        self.fair_share = FairShare()
        self.pools = Pools(config.settings, self.telemetry, self.buffer, self.fair_share)
        pushed = config.settings.list_is_pushed
        stop_sending_s = config.settings.stop_sending_within_us / 1e6
        self.discovery = Discovery(config.discovery, config.names, self.on_list, pushed, stop_sending_s)
        self.lists: ListSource = self.discovery  # where the Balancer's WatchList and FetchList actions go
        self.events: deque[Callable[[], Event | None]] = deque()  # queued, see `post`
        self.handling = False  # an event is being handled
        self.pending: dict[str, PendingRequest] = {}  # by id
        self.recent_ids = recent_ids or RecentIds()  # of requests that may run, or have run for no client
        self.closed = False
        self.known = config.known  # list of hosts to start with
        self.warm, self.store_counters = warm, store_counters  # snapshot to restore; the store's metrics
        self.transforms: ActiveSet | None = None  # replaced as a whole; a call keeps the one it arrived under
        self.routes: RouteTable | None = None  # routes of teams; None: not configured
        # Called with the server, the outcome and the latency in microseconds of each attempt that has ended.
        self.on_attempt_ended: Callable[[int, Outcome, int], None] | None = None
        self.listed_hosts: dict[int, dict[str, Any]] = {}  # by number, as JSON objects from the list service

    def snapshot(self) -> Snapshot:
        """The state to save for the next process. Does no I/O; takes about 0.3 ms with 200 hosts."""
        endpoints = list(self.listed_hosts.values())
        known = {"index": self.discovery.index or 0, "snapshot": True, "endpoints": endpoints}
        if self.discovery.epoch is not None:
            known["epoch"] = self.discovery.epoch
        return Snapshot(time.time(), self.balancer.learned_state(), known, self.names.class_names)

    def start(self) -> None:
        """Start with the known list of hosts, and restore what the previous process learned if there is a
        snapshot of it. The Balancer asks for newer lists."""
        warm = self.warm
        self.discovery.load_known_list(self.known or (warm.known if warm is not None else {}))
        if warm is not None:
            age_us = max(0, int((time.time() - warm.taken_unix_s) * 1e6))
            restore = Restore(warm.learned_for(self.names.class_names), age_us)
            self.post(lambda: restore)

    @property
    def can_serve(self) -> bool:
        """Whether there is at least one host."""
        return bool(self.pools.hosts)

    def render_metrics(
        self, counters: Mapping[str, int] = NO_METRICS, gauges: Mapping[str, int] = NO_METRICS
    ) -> bytes:
        """The current metrics in the Prometheus text format, with counters and gauges of other parts."""
        return self.telemetry.render(
            {
                "in_progress": sum(request.is_in_progress for request in self.pending.values()),
                "known_hosts": len(self.pools.hosts),
                "skipped_hosts": self.balancer.count_skipped(now_us()),
                "memory_held_bytes": self.memory.used,
                "memory_capacity_bytes": self.memory.capacity,
                **gauges,
            },
            {
                "memory_denied_total": self.memory.denied,
                "turns_total": self.fair_share.turns,
                **(self.store_counters.counters() if self.store_counters is not None else {}),
                **counters,
            },
        )

    def reconfigure(self, config: Config) -> None:
        """Apply a reloaded configuration that has the numbering of the current one (`merge_reloaded`)."""
        self.settings, self.names = config.settings, config.names
        for klass in self.names.class_names:
            self.telemetry.add_class(klass)
        self.pools.settings = config.settings
        self.memory.set_limit(config.memory_mb)
        event = SettingsChanged(config.settings)
        self.post(lambda: event)
        self.discovery.names, self.discovery.pushed = config.names, config.settings.list_is_pushed
        self.discovery.stop_sending_s = config.settings.stop_sending_within_us / 1e6
        self.discovery.change_address(config.discovery)
        if self.routes is not None:
            self.routes.reconfigure()

    def close(self) -> None:
        """Close all connections to hosts and to the list service. No events are handled from then on."""
        self.closed = True
        self.discovery.close()
        self.pools.close()

    # Events in

    def post(self, event: Callable[[], Event | None]) -> None:
        """Queue an event. `event` builds it when its turn comes, and returns None if it no longer applies."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events and not self.closed:
                built = self.events.popleft()()
                if built is not None:
                    self.handle(built)
        finally:
            self.handling = False

    def handle(self, event: Event) -> None:
        """Pass an event to the Balancer and execute the resulting actions."""
        try:
            actions = self.balancer.handle(now_us(), event)
        except Exception:
            # A fault in one decision must not end the process with all of its requests.
            log(f"the decision module raised an exception on {event!r}\n{traceback.format_exc()}")
            actions = [Fail(event.request)] if isinstance(event, RequestArrived | AttemptEnded) else []
        for action in actions:
            self.execute(action)

    def accept(self, call: Call) -> bool:
        """Take over a request; False if one of the same id is pending, or may have run for a lost client."""
        if call.id in self.pending or call.id in self.recent_ids:
            self.telemetry.note(Incident.ID_MAY_HAVE_RUN, call.id)
            return False
        pending = PendingRequest(call, now_us() + call.client_timeout_us, self.settings.max_attempts)
        pending.body_incomplete = call.upload is not None
        self.pending[call.id] = pending
        event = RequestArrived(
            call.id,
            call.klass,
            call.client_timeout_us,
            call.key,
            call.work_us,
            call.is_retry,
            call.tenant,
            pending.body_incomplete,
            call.route,
            call.class_settings,
        )
        self.post(lambda: event)
        return True

    def client_gone(self, id_: str) -> None:
        """The client has disconnected: finish its request without a response."""
        pending = self.pending.get(id_)
        if pending is None or pending.finished:
            return
        self.finish(id_, pending, None)
        self.post(lambda: RequestGone(id_))
        for attempt in pending.attempts:
            # Independent of the module's decisions and of the settings: an attempt that has not been written
            # is not sent, and one that has lost the source of its body or the reader of its response ends.
            if attempt is None or attempt.ended:
                continue
            if attempt is not pending.streaming_attempt and not self.pools.is_written(attempt):
                self.pools.cancel(attempt, Outcome.NOT_SENT)
            elif attempt is pending.streaming_attempt or attempt.upload is not None:
                pending.may_have_run = True
                self.pools.cancel(attempt)
            else:
                pending.may_have_run = True
                self.pools.detach(attempt, self.settings.classes[pending.call.klass].give_up_us)
        if pending.may_have_run:
            self.recent_ids.add(id_)
        elif self.recent_ids.is_shared:
            self.recent_ids.discard(id_)

    def body_ended(self, id_: str, sent_us: int) -> None:
        """The last byte of a streamed body was read; the client's time runs since `sent_us`."""
        pending = self.pending.get(id_)
        if pending is None or not pending.body_incomplete:
            return
        pending.body_incomplete = False
        pending.deadline_us = sent_us + pending.call.client_timeout_us
        if pending.call.upload is not None:
            pending.call.upload.end()
        if not pending.finished:
            self.post(lambda: BodyEnded(id_))

    def check_upload_time(self, id_: str, sent_us: int) -> None:
        """End a request whose body is not read yet if its client's time, from `sent_us` on, is over.

        A host that reads slowly keeps the rest of the body from being read, but not the client's time from
        passing.
        """
        pending = self.pending.get(id_)
        if pending is None or pending.finished or pending.streaming_attempt is not None:
            return
        if now_us() < sent_us + pending.call.client_timeout_us:
            return
        self.telemetry.note(Incident.HOST_READS_SLOWLY, id_)
        for attempt in list(pending.attempts):
            if attempt is not None and not attempt.ended:
                self.pools.time_out(attempt)
        if not pending.finished:  # no attempt was in flight
            self.finish(id_, pending, Result.BAD_GATEWAY)
            pending.call.on_failed(True)
            self.post(lambda: RequestGone(id_))

    def on_list(self, kind: ListKind, entries: list[HostEntry]) -> None:
        """Apply a list of hosts to the pools and pass it to the Balancer."""
        self.post(lambda: apply_list(self.pools, self.listed_hosts, kind, entries))

    # Actions out

    def execute(self, action: Action) -> None:
        """Execute one action of the Balancer."""
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                # The event loop rounds; the extra millisecond keeps the timer from firing before it is due.
                delay_s = max(0, action.due_us - now_us()) / 1e6 + 0.001
                event = TimerFired(action.token)
                self.loop.call_later(delay_s, self.post, lambda: event)
            case Refuse():
                pending = self.finish_unanswered(action.request, Result.DROPPED)
                if pending is not None:
                    pending.call.on_refused(action.retry_after_us)
            case Fail():
                pending = self.finish_unanswered(action.request, Result.BAD_GATEWAY)
                if pending is not None:
                    pending.call.on_failed(pending.timed_out)
            case Cancel():
                self.cancel(action)
            case WatchList():
                self.lists.watch(action.on)
            case FetchList():
                self.lists.fetch()
            case Probe():
                probe(self, action.server)
            case CloseIdle():
                self.pools.close_idle(action.server)
            case Log():
                log(action.line)
            case _:
                log(f"unknown action ignored: {action!r}")

    def finish_unanswered(self, id_: str, result: Result) -> PendingRequest | None:
        """Finish a request and return it, if it still awaits its response; else None."""
        pending = self.pending.get(id_)
        if pending is None or pending.finished:
            return None
        self.finish(id_, pending, result)
        return pending

    def finish(self, id_: str, pending: PendingRequest, result: Result | None) -> None:
        """Mark a request as finished and count its result; None: not counted, as the client has gone."""
        pending.finished = True
        if result is not None:
            self.telemetry.count(self.names.class_names[pending.call.klass], result)
            if pending.was_sent and self.recent_ids.is_shared:
                self.recent_ids.discard(id_)  # its client has the answer
        pending.call.head = pending.call.body = b""  # no further attempt is written
        if pending.in_flight == 0:
            self.remove(id_, pending)

    def remove(self, id_: str, pending: PendingRequest) -> None:
        """Forget a finished request without attempts in flight."""
        if self.pending.get(id_) is pending:
            del self.pending[id_]
        # The attempts refer to it in turn: only the garbage collector would free them.
        pending.attempts, pending.streaming_attempt = [], None

    def send(self, action: Send) -> None:
        """Send an attempt, or report it as not sent if the request or the host no longer allows it."""
        id_ = action.request
        pending, host = self.pending.get(id_), self.pools.hosts.get(action.server)
        if pending is None:
            return
        number = len(pending.attempts)
        left_us = pending.deadline_us - now_us()
        wait_us = min(action.timeout_us, left_us) if action.timeout_us else left_us
        attempt_deadline_us = now_us() + wait_us
        if (
            host is None
            or not self.may_start_attempt(pending)
            or wait_us <= 0
            or number >= pending.max_attempts
        ):
            pending.attempts.append(None)
            self.post(lambda: self.unsent_attempt(action, number))
            return

        def on_end(attempt: Attempt, outcome: Outcome, reply: Reply | None) -> None:
            self.post(lambda: self.attempt_ended(pending, number, attempt, outcome, reply))

        def payload() -> bytes:
            left_ms = max(1, (attempt_deadline_us - now_us()) // 1000)
            return b"%sX-Budget-Ms: %d\r\n\r\n%s" % (pending.call.head, left_ms, pending.call.body)

        def on_response_begin(attempt: Attempt, reply: Reply) -> Callable[[bytes], None] | None:
            self.post(lambda: self.response_begun(pending, number, attempt, reply))
            return pending.call.on_piece if pending.streaming_attempt is attempt else None

        def on_upload_started() -> None:
            pending.call.body = b""  # a streamed request is not sent again
            self.post(lambda: BodyPassing(id_, number))

        upload = pending.call.upload
        attempt = Attempt(
            host, payload, on_end, on_response_begin=on_response_begin, upload=upload,
            on_upload_started=on_upload_started, is_reserved=pending.in_flight == 0,
            is_wanted=lambda: self.may_start_attempt(pending),
            remaining_us=lambda: pending.deadline_us - now_us(),
        )  # fmt: skip
        pending.attempts.append(attempt)
        pending.in_flight += 1
        if not pending.was_sent:
            pending.was_sent = True
            if self.recent_ids.is_shared:
                self.recent_ids.add(id_)  # here it is pending; the other process has to know
        if action.write_deadline_us:
            # An earlier attempt whose connection is still being opened could be written late, as a duplicate.
            for earlier in pending.attempts:
                if earlier is not None:
                    self.pools.set_write_deadline(earlier, action.write_deadline_us)
        self.pools.send(attempt, wait_us)

    def may_start_attempt(self, pending: PendingRequest) -> bool:
        """Whether an attempt may still start: the request has no response yet, and its client is there."""
        return not pending.finished and not pending.call.is_client_gone()

    def unsent_attempt(self, action: Send, number: int) -> Event:
        """The event for an attempt that was not sent."""
        pending = self.pending.get(action.request)
        finished = pending is None or pending.finished
        return AttemptEnded(action.request, number, action.server, Outcome.NOT_SENT, 0, finished)

    def response_begun(
        self, pending: PendingRequest, number: int, attempt: Attempt, reply: Reply
    ) -> Event | None:
        """Start streaming a response to the client; None if the request is finished or already has one."""
        if pending.finished or pending.streaming_attempt is not None or attempt.connection is None:
            return None
        pending.streaming_attempt = attempt
        pending.call.on_begun(reply, attempt.connection)
        return StreamStarted(pending.call.id, number)

    def attempt_ended(
        self, pending: PendingRequest, number: int, attempt: Attempt, outcome: Outcome, reply: Reply | None
    ) -> Event:
        """Finish the request if the attempt decides it, and build the Balancer's event."""
        id_ = pending.call.id
        pending.in_flight -= 1
        pending.timed_out = outcome is Outcome.TIMEOUT
        pending.may_have_run |= outcome not in NEVER_RAN
        if pending.streaming_attempt is attempt and not pending.finished:
            self.finish(id_, pending, Result.PASSED if outcome is Outcome.OK else Result.BAD_GATEWAY)
            (pending.call.on_ended if outcome is Outcome.OK else pending.call.on_broken)()
        elif not pending.finished and outcome is Outcome.OK and reply is not None:
            self.finish(id_, pending, Result.PASSED)
            pending.call.on_served(reply)
        elif pending.finished and pending.in_flight == 0:
            self.remove(id_, pending)
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(attempt.host.id, outcome, attempt.latency_us)
        return AttemptEnded(
            id_,
            number,
            attempt.host.id,
            outcome,
            attempt.latency_us,
            pending.finished,
            parse_load_report(reply),
        )

    def cancel(self, action: Cancel) -> None:
        """Cancel one attempt of a request, if it is still known."""
        pending = self.pending.get(action.request)
        if pending is not None and 0 <= action.attempt < len(pending.attempts):
            attempt = pending.attempts[action.attempt]
            if attempt is not None:
                self.pools.cancel(attempt)
