"""Activation at one member, without I/O: it gets events and the time, and returns actions
(docs/activation.md, "Interfaces")."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from cloverkeel.transforms.activation.interface import (
    Action,
    Activate,
    BreakerChanged,
    DeleteRecord,
    Event,
    LogEvent,
    RecordsChanged,
    Settings,
    Settled,
    Stage,
    Staged,
    Tick,
    ViewChanged,
    WriteRecord,
)
from cloverkeel.transforms.activation.ledger_state import LedgerState, active_versions
from cloverkeel.transforms.activation.paxos import Proposer, Voter
from cloverkeel.transforms.activation.planning import next_epoch
from cloverkeel.transforms.activation.records import (
    EPOCH,
    EPOCH_OWNER,
    ORDER,
    PROPOSAL,
    REPORT,
    VOTE,
    ActivationRecord,
    Epoch,
    Proposal,
    Report,
    Vote,
    record_key,
    vote_key,
)

CLEANUP_INTERVAL_S = 5.0  # between two searches for records that are no longer needed


class Activation:
    """The protocol core of activation: stages versions, votes on and proposes epochs, and activates what the
    current epoch says.

    `member`: this gateway's name. `process_id`: of this process, never used before under this name.
    `store_id`: the ledger's id of the store that keeps it. `loaded`: all records that the ledger shows at the
    start; they are taken in before anything is decided, since a single key may show an older epoch.
    """

    def __init__(
        self,
        member: str,
        process_id: int,
        store_id: int,
        settings: Settings,
        rng: random.Random,
        loaded: Iterable[RecordsChanged] = (),
    ) -> None:
        self.member, self.store_id, self.settings = member, store_id, settings
        self.ledger_state = LedgerState()
        self.live: tuple[str, ...] = (member,)
        self.known: tuple[str, ...] = (member,)
        self.settled = False
        self.voter = Voter(member, store_id)
        self.proposer = Proposer(member, process_id, settings, rng)
        self.stage_results: dict[str, str] = {}  # by version: "" if staged, else why not
        self.staging: set[str] = set()  # versions that are being staged
        self.open_breakers: set[str] = set()  # versions
        self.active: dict[str, str] = {}  # name to version
        self.epoch = Epoch()  # the epoch that this member runs
        # By condition of the plan: since when it has held without a break.
        self.condition_since_s: dict[str, float] = {}
        self.conditions_checked: set[str] = set()  # by the current plan
        self.wait_reasons: dict[str, str] = {}  # by name; "": for all
        # Own records that the ledger does not show yet, by kind: key, record, time of writing.
        self.unconfirmed: dict[str, tuple[str, ActivationRecord, float]] = {}
        self.now_s = 0.0
        self.next_cleanup_s = 0.0
        self.pending_actions: list[Action] = []  # returned by the next `handle`
        for records in loaded:
            self._update_ledger_state(records, self.pending_actions)

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Handles one event and returns the actions to perform."""
        self.now_s = now_s
        out, self.pending_actions = self.pending_actions, []
        match event:
            case RecordsChanged():
                self._update_ledger_state(event, out)
            case ViewChanged(live, known):
                self.live = tuple(sorted({*live, self.member}))
                self.known = tuple(sorted({*known, *self.live}))
            case Settled(settled):
                self.settled = settled
            case Staged(id, reason):
                self._on_staged(id, reason, out)
            case BreakerChanged(id, is_open):
                self._on_breaker_changed(id, is_open, out)
            case Tick():
                self._clean_up(out)
        self._request_staging(out)
        self._activate_versions(out)
        if self.may_decide():
            self._decide(out)
        self._report(out)
        self._resend(out)
        return out

    def _update_ledger_state(self, changed: RecordsChanged, out: list[Action]) -> None:
        for fault in self.ledger_state.update_key(changed.kind, changed.key, changed.payloads):
            fields = (("kind", changed.kind), ("key", changed.key), ("reason", fault))
            out.append(LogEvent("transforms.malformed", fields))

    def may_decide(self) -> bool:
        """Whether this member may vote and propose: its ledger is settled, or the cluster consists of it
        alone."""
        return self.settled or (self.settings.size == 1 and self.known == (self.member,))

    # What this member runs.

    def _request_staging(self, out: list[Action]) -> None:
        """Requests staging of new versions, and forgets those that are no longer needed."""
        wanted = self.ledger_state.versions_to_stage()
        for id in [id for id in self.stage_results if id not in wanted]:
            del self.stage_results[id]
            self.open_breakers.discard(id)
        for id, order in wanted.items():
            if id not in self.stage_results and id not in self.staging:
                self.staging.add(id)
                out.append(Stage(id, order.name, order.source))

    def _on_staged(self, id: str, reason: str, out: list[Action]) -> None:
        self.staging.discard(id)
        order = self.ledger_state.orders.get(id)
        if order is None:
            return
        self.stage_results[id] = reason[:500]
        fields = (("transform", order.name), ("version", id), ("outcome", reason or "staged"))
        out.append(LogEvent("transforms.staged", fields))

    def _on_breaker_changed(self, id: str, is_open: bool, out: list[Action]) -> None:
        (self.open_breakers.add if is_open else self.open_breakers.discard)(id)
        out.append(LogEvent("transforms.breaker", (("version", id), ("open", is_open))))

    def _activate_versions(self, out: list[Action]) -> None:
        """Switches to the latest epoch, and activates the versions it gives this member if they have
        changed."""
        before, epoch = self.epoch, self.ledger_state.epoch
        staged = frozenset(id for id, reason in self.stage_results.items() if not reason)
        active = active_versions(epoch, self.member, staged)
        if epoch.number > before.number:
            self.epoch = epoch
            self._log_epoch(before, epoch, out)
        elif active == self.active:
            return
        if active != self.active:
            self.active = active
            self.open_breakers &= set(active.values())
            out.append(Activate(epoch.number, active))

    def _log_epoch(self, before: Epoch, epoch: Epoch, out: list[Action]) -> None:
        """Logs each slot that a new epoch changed, and orders that were superseded without being carried
        out."""
        for name, slot in epoch.slots.items():
            old = before.slot(name)
            if slot == old:
                continue
            fields = (
                ("epoch", epoch.number), ("transform", name), ("active", slot.active or "-"),
                ("candidate", slot.candidate or "-"), ("behind", ",".join(slot.behind) or "-"),
                ("why", slot.why),
            )  # fmt: skip
            reason = slot.why.partition(":")[0].replace(" ", "_") if slot.why != old.why else "epoch"
            event_name = reason if reason in ("quarantined", "rolled_back", "refused") else "epoch"
            out.append(LogEvent(f"transforms.{event_name}", fields))
            for order in self.ledger_state.orders.values():
                superseded = order.name == name and old.last < order.sequence < slot.last
                if superseded:
                    out.append(
                        LogEvent(
                            "transforms.passed_over",
                            (("transform", name), ("version", order.id), ("by", slot.last[1])),
                        )
                    )

    # What all members run.

    def _decide(self, out: list[Action]) -> None:
        """Votes on proposals; the first live member also plans the next epoch and proposes it."""
        number = self.ledger_state.epoch.number
        if (number or len(self.known) <= self.settings.size) and (
            vote := self.voter.next_vote(self.ledger_state)
        ):
            self._write(VOTE, vote_key(self.member, self.store_id, vote.epoch), vote, out)
        value = None
        if self.live[0] == self.member:
            self.conditions_checked.clear()
            value, self.wait_reasons = next_epoch(
                self.ledger_state, self.live, len(self.known), self.settings, self._condition_age_s
            )
            self.condition_since_s = {
                name: at_s for name, at_s in self.condition_since_s.items() if name in self.conditions_checked
            }
        else:
            self.wait_reasons, self.condition_since_s = {}, {}
        if self.live[0] != self.member and self.proposer.proposal is None:
            return
        match self.proposer.step(self.now_s, self.ledger_state, value):
            case Proposal() as proposal:
                self._write(PROPOSAL, record_key(self.member, proposal.epoch), proposal, out)
            case Epoch() as epoch:
                if EPOCH not in self.unconfirmed or self.unconfirmed[EPOCH][1] != epoch:
                    self._write(EPOCH, record_key(EPOCH_OWNER, epoch.number), epoch, out)

    def _condition_age_s(self, name: str) -> float:
        """For how long the condition of this name has held in every plan since, in seconds."""
        self.conditions_checked.add(name)
        return self.now_s - self.condition_since_s.setdefault(name, self.now_s)

    def _report(self, out: list[Action]) -> None:
        """Writes this member's report if it differs from the last one written."""
        results = {id: reason for id, reason in sorted(self.stage_results.items())}
        stored = self.ledger_state.reports.get(self.member)
        last = self.unconfirmed[REPORT][1] if REPORT in self.unconfirmed else stored
        number = max(stored.number if stored else 0, last.number if isinstance(last, Report) else 0)
        report = Report(number, self.epoch.number, results, tuple(sorted(self.open_breakers)), self.store_id)
        if report != last:
            report = msgspec.structs.replace(report, number=number + 1)
            self._write(REPORT, record_key(self.member, report.number), report, out)

    def _clean_up(self, out: list[Action]) -> None:
        """Each member deletes its own superseded records. The first live member also deletes old epochs, and
        orders that are closed and in no slot, once all live members run the current epoch."""
        if self.now_s < self.next_cleanup_s or not self.may_decide():
            return
        self.next_cleanup_s = self.now_s + CLEANUP_INTERVAL_S
        reports, epoch = self.ledger_state.reports, self.ledger_state.epoch
        last = max((p.epoch for p in self.ledger_state.proposals.get(self.member, ())), default=0)
        current = {PROPOSAL: record_key(self.member, last)}
        if (vote := self._own_vote()) is not None:
            current[VOTE] = vote_key(self.member, self.store_id, vote.epoch)
        if self.member in reports:
            current[REPORT] = record_key(self.member, reports[self.member].number)
        for kind, current_key in current.items():
            out += [
                DeleteRecord(kind, key)
                for key in self.ledger_state.obsolete_keys(kind, self.member, current_key)
            ]
        if self.live[0] != self.member:
            return
        if any(m not in reports or reports[m].epoch != epoch.number for m in self.live):
            return
        for order in self.ledger_state.orders.values():
            slot = epoch.slot(order.name)
            if order.sequence <= slot.last and order.id not in slot.referenced_versions():
                out.append(DeleteRecord(ORDER, order.key))
        out += [
            DeleteRecord(EPOCH, key)
            for key in self.ledger_state.obsolete_keys(
                EPOCH, EPOCH_OWNER, record_key(EPOCH_OWNER, epoch.number)
            )
        ]

    # Own records until the ledger shows them.

    def _write(self, kind: str, key: str, body: ActivationRecord, out: list[Action]) -> None:
        """Writes a record, and keeps it to be written again until the ledger shows it. A vote is sent at
        once to its proposer, a report to the member that plans."""
        self.unconfirmed[kind] = key, body, self.now_s
        notify = (
            body.promised[1] if isinstance(body, Vote) else self.live[0] if isinstance(body, Report) else ""
        )
        out.append(WriteRecord(kind, key, body, notify))

    def _resend(self, out: list[Action]) -> None:
        """Writes records again that the ledger has not shown within `resend_interval_s`."""
        for kind, (key, body, at_s) in list(self.unconfirmed.items()):
            if self._is_confirmed(body):
                del self.unconfirmed[kind]
            elif self.now_s - at_s >= self.settings.resend_interval_s:
                self._write(kind, key, body, out)

    def _own_vote(self) -> Vote | None:
        return self.ledger_state.votes.get(self.member, {}).get(self.store_id)

    def _is_confirmed(self, body: ActivationRecord) -> bool:
        """Whether the ledger shows this record of this member, or one that makes it unnecessary."""
        state = self.ledger_state
        if isinstance(body, Epoch):
            return state.epoch.number >= body.number
        if isinstance(body, Proposal):
            return body.epoch <= state.epoch.number or body in state.proposals.get(self.member, ()) or (
                body != self.proposer.proposal
            )  # fmt: skip
        if isinstance(body, Vote):
            return self._own_vote() == body or body != self.voter.vote
        stored = state.reports.get(self.member)
        return isinstance(body, Report) and stored is not None and stored.number >= body.number
