"""The platform's rules (PROTOCOL, STANDING) on what clients and hosts saw of a soak; pure.

Each limit has the protocol's 50 ms on top, and the lab's own delay near that moment.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator

from faultlab.soak.notification import NotificationClock
from faultlab.soak.records import Arrival, Violation, ExchangeEnd, Exchange, Fall, ProcessRun, Records
from faultlab.soak.settings import KILL_MARGIN_S, Settings

SLACK_S = 0.05
LATE_ANSWER_S = 0.5  # an answer up to so long after its time only earns nothing
AFTER_CLOSE_S = 0.1  # an attempt may begin so long after its client's close
BUDGET_SLACK_S = 0.15  # of the time that a host is told
READ_WITHIN_S = 0.25  # a connection that closes later than this after a request's last byte had read it
READY_TIMEOUT_S = 10.0
REFUSED_STATUSES = (429, 503)
INFORMED_SHARE = 2 / 3  # of a fall's requests, from gateways that knew of the start: over it a rule is broken
SIGNAL_TOLERANCE_S = 0.05  # between a signal's moment in the lab and at the process


class Judge:
    """The rules of one soak, on all that was recorded."""

    def __init__(self, settings: Settings, records: Records) -> None:
        self.settings, self.records = settings, records
        self.exchanges_by_id = {exchange.id: exchange for exchange in records.exchanges}
        self.notification_clock = NotificationClock(records, settings.pushed)

    def violations(self) -> list[Violation]:
        """Everything that went against a rule, in order of time."""
        by_rule = (
            self.lost_requests(),
            self.duplicate_attempts(),
            self.drain_violations(),
            self.fall_violations(),
            self.late_attempts(),
            self.late_starts(),
        )
        found = [*self.records.violations, *itertools.chain(*by_rule)]
        return sorted(found, key=lambda each: each.at_s)

    def slack_s(self, at_s: float) -> float:
        return SLACK_S + self.records.lab_delays.max_near(at_s)

    def run_of(self, exchange: Exchange) -> ProcessRun:
        return self.records.runs[exchange.gateway, exchange.run_number]

    def lost_requests(self) -> Iterator[Violation]:
        """Requests that were taken and have no final answer."""
        for exchange in self.records.exchanges:
            why = self.lost_reason(exchange)
            if why:
                yield Violation(exchange.sent_s, "lost", f"{exchange.id} at g{exchange.gateway}: {why}")

    def lost_reason(self, exchange: Exchange) -> str:
        latest_s = exchange.deadline_s + LATE_ANSWER_S + self.slack_s(exchange.deadline_s + LATE_ANSWER_S)
        if exchange.end is ExchangeEnd.ANSWERED:
            late_s = exchange.ended_s - latest_s
            return f"answered {late_s + LATE_ANSWER_S:.2f} s after its time" if late_s > 0 else ""
        if exchange.end is ExchangeEnd.CLIENT_LEFT:
            return ""
        life = self.run_of(exchange)
        if exchange.ended_s >= life.sigkill_s - SIGNAL_TOLERANCE_S:
            after_term_s = exchange.sent_s - life.sigterm_s
            owed = after_term_s > KILL_MARGIN_S + self.slack_s(exchange.sent_s)
            return f"unanswered at SIGKILL, sent {after_term_s:.2f} s after SIGTERM" if owed else ""
        if exchange.end is ExchangeEnd.NO_RESPONSE:
            return "nothing came"
        if self.records.arrivals.get(exchange.id):
            return "forwarded, and its connection closed with no answer"
        read_s = exchange.ended_s - exchange.sent_s
        if read_s > READ_WITHIN_S + self.slack_s(exchange.ended_s):
            return f"its connection closed with no answer {read_s:.2f} s after its last byte"
        return "closed under it on a new connection too" if exchange.is_client_retry else ""

    def duplicate_attempts(self) -> Iterator[Violation]:
        """Attempts that no client asked for, or that may have run twice."""
        for id_, arrivals in self.records.arrivals.items():
            first = arrivals[0]
            if id_ not in self.exchanges_by_id:
                what = f"{id_} came to h{first.host}, and no client sent it"
                yield Violation(first.first_byte_s, "duplicate", what)
                continue
            klass = self.exchanges_by_id[id_].klass
            ran = [each for each in arrivals if each.may_have_run]
            if klass == "transfer":
                yield from self.unsafe_duplicates(id_, ran)
            if klass == "hold":
                yield from self.keyed_duplicates(id_, ran)

    def unsafe_duplicates(self, id_: str, ran: list[Arrival]) -> Iterator[Violation]:
        if len(ran) > 1:
            yield Violation(
                ran[1].first_byte_s, "duplicate", f"{id_} may have run at {[each.host for each in ran]}"
            )
        if ran and self.exchanges_by_id[id_].status in REFUSED_STATUSES:
            what = f"{id_} was refused, and had come to h{ran[0].host}"
            yield Violation(self.exchanges_by_id[id_].ended_s, "duplicate", what)

    def keyed_duplicates(self, id_: str, ran: list[Arrival]) -> Iterator[Violation]:
        for each in ran[1:]:
            after_s = each.last_byte_s - ran[0].last_byte_s
            if after_s > self.settings.window_s + self.slack_s(each.last_byte_s):
                yield Violation(
                    each.last_byte_s, "duplicate", f"{id_} was repeated {after_s:.2f} s after the first"
                )

    def drain_violations(self) -> Iterator[Violation]:
        """Attempts begun at a host that drains, once its gateway knew for too long."""
        by_host = defaultdict(list)
        for drain in self.records.drains:
            by_host[drain.host].append(drain)
        for id_, arrivals in self.records.arrivals.items():
            sender = self.exchanges_by_id.get(id_)
            for arrival in arrivals if sender is not None else ():
                assert sender is not None
                for drain in by_host[arrival.host]:
                    known_s = self.notification_clock.known_s(drain, sender.gateway, sender.run_number)
                    late_s = arrival.first_byte_s - known_s - self.settings.stop_sending_s
                    if arrival.first_byte_s < drain.until_s and late_s > self.slack_s(arrival.first_byte_s):
                        what = f"{id_} from g{sender.gateway} to h{arrival.host}, {late_s:.2f} s late"
                        yield Violation(arrival.first_byte_s, "drain", what)

    def fall_violations(self) -> Iterator[Violation]:
        """Falls of cold hosts by requests from gateways that knew of the start."""
        for fall in self.records.falls:
            knew = sum(self.was_informed(fall, at_s, id_) for at_s, id_ in fall.requests)
            if knew > INFORMED_SHARE * len(fall.requests):
                share = f"{knew} of {len(fall.requests)}"
                what = f"h{fall.start.host} fell, {share} requests from gateways that knew of its start"
                yield Violation(fall.at_s, "fall", what)

    def was_informed(self, fall: Fall, at_s: float, id_: str) -> bool:
        """Whether the gateway of a request that came then knew of the host's start."""
        sender = self.exchanges_by_id.get(id_)
        return (
            sender is not None
            and self.notification_clock.known_s(fall.start, sender.gateway, sender.run_number) <= at_s
        )

    def late_attempts(self) -> Iterator[Violation]:
        """Attempts begun for clients that had left, and times that hosts were told."""
        for id_, arrivals in self.records.arrivals.items():
            sender = self.exchanges_by_id.get(id_)
            for arrival in arrivals if sender is not None else ():
                assert sender is not None
                yield from self.check_attempt(sender, arrival)

    def check_attempt(self, sender: Exchange, arrival: Arrival) -> Iterator[Violation]:
        slack_s = self.slack_s(arrival.first_byte_s)
        if sender.end is ExchangeEnd.CLIENT_LEFT:
            after_s = arrival.first_byte_s - sender.ended_s
            if after_s > AFTER_CLOSE_S + slack_s + self.records.lab_delays.max_near(sender.ended_s):
                what = f"{sender.id} came to h{arrival.host} {after_s:.2f} s after its client's close"
                yield Violation(arrival.first_byte_s, "lost", what)
        over_s = arrival.budget_s - (sender.deadline_s - arrival.first_byte_s)
        if over_s > BUDGET_SLACK_S + slack_s:
            what = f"h{arrival.host} was told {over_s:.2f} s more than {sender.id} had left"
            yield Violation(arrival.first_byte_s, "budget", what)

    def late_starts(self) -> Iterator[Violation]:
        """Processes that were ready late, or not at all."""
        for life in self.records.runs.values():
            ended_s = min(life.sigterm_s, life.sigkill_s, life.ended_s)
            took_s = min(life.ready_s, ended_s) - life.started_s
            if took_s > READY_TIMEOUT_S and took_s != float("inf"):
                yield Violation(life.started_s, "ready", f"g{life.gateway} was not ready for {took_s:.1f} s")
