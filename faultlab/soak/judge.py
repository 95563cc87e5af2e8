"""Checks the records of a soak against the platform's rules (PROTOCOL, STANDING); pure.

Each time limit is extended by the protocol's 50 ms and by the delay of the lab itself near that moment.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator

from faultlab.soak.notification import NotificationClock
from faultlab.soak.records import Arrival, Exchange, ExchangeEnd, Fall, ProcessRun, Records, Violation
from faultlab.soak.settings import KILL_MARGIN_S, Settings

SLACK_S = 0.05
LATE_ANSWER_S = 0.5  # a response this late or less is worth nothing, but is no violation
AFTER_CLOSE_S = 0.1  # time after a client's close in which an attempt may still begin
BUDGET_SLACK_S = 0.15  # tolerance on the remaining time that a host is sent (X-Budget-Ms)
# A gateway that closes a connection later than this after a request's last byte must have read the request.
READ_WITHIN_S = 0.25
READY_TIMEOUT_S = 10.0
REFUSED_STATUSES = (429, 503)
# A fall is a violation if more than this share of its requests was from gateways that knew of the start.
INFORMED_SHARE = 2 / 3
SIGNAL_TOLERANCE_S = 0.05  # between the moment at which the lab sends a signal and the process gets it


class Judge:
    """Finds the violations in the records of one soak."""

    def __init__(self, settings: Settings, records: Records) -> None:
        self.settings, self.records = settings, records
        self.exchanges_by_id = {exchange.id: exchange for exchange in records.exchanges}
        self.notification_clock = NotificationClock(records, settings.pushed)

    def violations(self) -> list[Violation]:
        """All violations, in order of time."""
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
        """Tolerance on a time limit near a moment."""
        return SLACK_S + self.records.lab_delays.max_near(at_s)

    def run_of(self, exchange: Exchange) -> ProcessRun:
        """The gateway process that a request was sent to."""
        return self.records.runs[exchange.gateway, exchange.run_number]

    def lost_requests(self) -> Iterator[Violation]:
        """Requests that a gateway took and that got no final response."""
        for exchange in self.records.exchanges:
            reason = self.lost_reason(exchange)
            if reason:
                yield Violation(exchange.sent_s, "lost", f"{exchange.id} at g{exchange.gateway}: {reason}")

    def lost_reason(self, exchange: Exchange) -> str:
        """Why a request counts as lost; empty if it does not."""
        latest_s = exchange.deadline_s + LATE_ANSWER_S + self.slack_s(exchange.deadline_s + LATE_ANSWER_S)
        if exchange.end is ExchangeEnd.ANSWERED:
            late_s = exchange.ended_s - latest_s
            return f"answered {late_s + LATE_ANSWER_S:.2f} s after its deadline" if late_s > 0 else ""
        if exchange.end is ExchangeEnd.CLIENT_LEFT:
            return ""
        run = self.run_of(exchange)
        if exchange.ended_s >= run.sigkill_s - SIGNAL_TOLERANCE_S:
            after_term_s = exchange.sent_s - run.sigterm_s
            must_answer = after_term_s > KILL_MARGIN_S + self.slack_s(exchange.sent_s)
            return f"unanswered at SIGKILL, sent {after_term_s:.2f} s after SIGTERM" if must_answer else ""
        if exchange.end is ExchangeEnd.NO_RESPONSE:
            return "no response came"
        if self.records.arrivals.get(exchange.id):
            return "forwarded to a host, then the connection was closed without a response"
        read_s = exchange.ended_s - exchange.sent_s
        if read_s > READ_WITHIN_S + self.slack_s(exchange.ended_s):
            return f"the connection was closed without a response {read_s:.2f} s after its last byte"
        return "a new connection was closed without a response too" if exchange.is_client_retry else ""

    def duplicate_attempts(self) -> Iterator[Violation]:
        """Attempts of requests that no client sent, and requests that may have run more than once."""
        for id_, arrivals in self.records.arrivals.items():
            first = arrivals[0]
            if id_ not in self.exchanges_by_id:
                detail = f"{id_} arrived at h{first.host}, but no client sent it"
                yield Violation(first.first_byte_s, "duplicate", detail)
                continue
            klass = self.exchanges_by_id[id_].klass
            ran = [each for each in arrivals if each.may_have_run]
            if klass == "transfer":
                yield from self.unsafe_duplicates(id_, ran)
            if klass == "hold":
                yield from self.keyed_duplicates(id_, ran)

    def unsafe_duplicates(self, id_: str, ran: list[Arrival]) -> Iterator[Violation]:
        """Attempts of a request of a single-shot class that ran twice, or ran although it was refused."""
        if len(ran) > 1:
            yield Violation(
                ran[1].first_byte_s, "duplicate", f"{id_} may have run at {[each.host for each in ran]}"
            )
        if ran and self.exchanges_by_id[id_].status in REFUSED_STATUSES:
            detail = f"{id_} was refused, but had reached h{ran[0].host}"
            yield Violation(self.exchanges_by_id[id_].ended_s, "duplicate", detail)

    def keyed_duplicates(self, id_: str, ran: list[Arrival]) -> Iterator[Violation]:
        """Attempts of a keyed request that came after the deduplication window of the first."""
        for each in ran[1:]:
            after_s = each.last_byte_s - ran[0].last_byte_s
            if after_s > self.settings.window_s + self.slack_s(each.last_byte_s):
                yield Violation(
                    each.last_byte_s, "duplicate", f"{id_} was retried {after_s:.2f} s after the first"
                )

    def drain_violations(self) -> Iterator[Violation]:
        """Attempts that began at a draining host longer after its gateway knew than the rules allow."""
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
                        detail = f"{id_} from g{sender.gateway} to h{arrival.host}, {late_s:.2f} s late"
                        yield Violation(arrival.first_byte_s, "drain", detail)

    def fall_violations(self) -> Iterator[Violation]:
        """Falls of cold hosts that were caused by gateways that knew of the cold start."""
        for fall in self.records.falls:
            informed = sum(self.was_informed(fall, at_s, id_) for at_s, id_ in fall.requests)
            if informed > INFORMED_SHARE * len(fall.requests):
                share = f"{informed} of {len(fall.requests)}"
                detail = (
                    f"h{fall.start.host} fell, {share} requests from gateways that knew of its cold start"
                )
                yield Violation(fall.at_s, "fall", detail)

    def was_informed(self, fall: Fall, at_s: float, id_: str) -> bool:
        """Whether the gateway that sent a request knew of the host's cold start when it arrived."""
        sender = self.exchanges_by_id.get(id_)
        return (
            sender is not None
            and self.notification_clock.known_s(fall.start, sender.gateway, sender.run_number) <= at_s
        )

    def late_attempts(self) -> Iterator[Violation]:
        """Attempts that began after the client had left, or that told the host more time than was left."""
        for id_, arrivals in self.records.arrivals.items():
            sender = self.exchanges_by_id.get(id_)
            for arrival in arrivals if sender is not None else ():
                assert sender is not None
                yield from self.check_attempt(sender, arrival)

    def check_attempt(self, sender: Exchange, arrival: Arrival) -> Iterator[Violation]:
        """Violations of one attempt: begun after its client left, or sent with too much remaining time."""
        slack_s = self.slack_s(arrival.first_byte_s)
        if sender.end is ExchangeEnd.CLIENT_LEFT:
            after_s = arrival.first_byte_s - sender.ended_s
            if after_s > AFTER_CLOSE_S + slack_s + self.records.lab_delays.max_near(sender.ended_s):
                detail = f"{sender.id} arrived at h{arrival.host} {after_s:.2f} s after its client left"
                yield Violation(arrival.first_byte_s, "lost", detail)
        over_s = arrival.budget_s - (sender.deadline_s - arrival.first_byte_s)
        if over_s > BUDGET_SLACK_S + slack_s:
            detail = f"h{arrival.host} was told {over_s:.2f} s more than {sender.id} had left"
            yield Violation(arrival.first_byte_s, "budget", detail)

    def late_starts(self) -> Iterator[Violation]:
        """Processes that became ready too late, or not at all."""
        for run in self.records.runs.values():
            ended_s = min(run.sigterm_s, run.sigkill_s, run.ended_s)
            took_s = min(run.ready_s, ended_s) - run.started_s
            if took_s > READY_TIMEOUT_S and took_s != float("inf"):
                yield Violation(
                    run.started_s, "ready", f"g{run.gateway} was not ready for {took_s:.1f} s after its start"
                )
