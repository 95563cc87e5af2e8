"""Activation at one member: events in, actions out, time passed in (docs/activation.md, "Interfaces")."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from cloverkeel.transforms.activation.book import Book, runs
from cloverkeel.transforms.activation.deciding import Proposer, Voter
from cloverkeel.transforms.activation.interface import (
    Action,
    Activate,
    Drop,
    Event,
    Note,
    Put,
    Recorded,
    Settings,
    Settled,
    Stage,
    Staged,
    Tick,
    Tripped,
    ViewChanged,
)
from cloverkeel.transforms.activation.planning import next_epoch
from cloverkeel.transforms.activation.records import (
    EPOCH,
    EPOCHS,
    ORDER,
    PROPOSAL,
    REPORT,
    VOTE,
    Body,
    Epoch,
    Proposal,
    Report,
    Vote,
    key_of,
    vote_key,
)

TIDY_S = 5.0  # between two looks for orders that are over


class Activation:
    """`member`: this gateway's name; `life`: of this process, never used before under the name; `disk`: the
    ledger's name for what it is kept on; `loaded`: all that the ledger shows at the start, together: one key
    alone may be of an older epoch."""

    def __init__(
        self,
        member: str,
        life: int,
        disk: int,
        settings: Settings,
        rng: random.Random,
        loaded: Iterable[Recorded] = (),
    ) -> None:
        self.me, self.disk, self.settings = member, disk, settings
        self.book = Book()
        self.live: tuple[str, ...] = (member,)
        self.known: tuple[str, ...] = (member,)
        self.settled = False
        self.voter = Voter(member, disk)
        self.proposer = Proposer(member, life, settings, rng)
        self.staged: dict[str, str] = {}  # versions tried: "" or why not
        self.staging: set[str] = set()
        self.open: set[str] = set()
        self.active: dict[str, str] = {}
        self.epoch = Epoch()  # that this member runs
        self.since: dict[str, float] = {}  # conditions of the plan: since when asked after
        self.asked: set[str] = set()
        self.waits: dict[str, str] = {}
        # Own records not shown yet, by kind: key, body, written when.
        self.unread: dict[str, tuple[str, Body, float]] = {}
        self.now_s = 0.0
        self.tidy_s = 0.0
        self.notes: list[Action] = []
        for each in loaded:
            self._take(each, self.notes)

    def handle(self, now_s: float, event: Event) -> list[Action]:
        self.now_s = now_s
        out, self.notes = self.notes, []
        match event:
            case Recorded():
                self._take(event, out)
            case ViewChanged(live, known):
                self.live = tuple(sorted({*live, self.me}))
                self.known = tuple(sorted({*known, *self.live}))
            case Settled(settled):
                self.settled = settled
            case Staged(id, reason):
                self._staged(id, reason, out)
            case Tripped(id, is_open):
                self._tripped(id, is_open, out)
            case Tick():
                self._tidy(out)
        self._stage(out)
        self._switch(out)
        if self.may_decide():
            self._decide(out)
        self._report(out)
        self._resend(out)
        return out

    def _take(self, shown: Recorded, out: list[Action]) -> None:
        for fault in self.book.take(shown.kind, shown.key, shown.payloads):
            fields = (("kind", shown.kind), ("key", shown.key), ("reason", fault))
            out.append(Note("transforms.malformed", fields))

    def may_decide(self) -> bool:
        """Whether this member votes and proposes: once its ledger is settled, or it is the whole fleet."""
        return self.settled or (self.settings.size == 1 and self.known == (self.me,))

    # What this member runs.

    def _stage(self, out: list[Action]) -> None:
        wanted = self.book.wanted()
        for id in [id for id in self.staged if id not in wanted]:
            del self.staged[id]
            self.open.discard(id)
        for id, order in wanted.items():
            if id not in self.staged and id not in self.staging:
                self.staging.add(id)
                out.append(Stage(id, order.name, order.source))

    def _staged(self, id: str, reason: str, out: list[Action]) -> None:
        self.staging.discard(id)
        order = self.book.orders.get(id)
        if order is None:
            return
        self.staged[id] = reason[:500]
        fields = (("transform", order.name), ("version", id), ("outcome", reason or "staged"))
        out.append(Note("transforms.staged", fields))

    def _tripped(self, id: str, is_open: bool, out: list[Action]) -> None:
        (self.open.add if is_open else self.open.discard)(id)
        out.append(Note("transforms.breaker", (("version", id), ("open", is_open))))

    def _switch(self, out: list[Action]) -> None:
        before, epoch = self.epoch, self.book.epoch
        able = frozenset(id for id, reason in self.staged.items() if not reason)
        active = runs(epoch, self.me, able)
        if epoch.number > before.number:
            self.epoch = epoch
            self._tell(before, epoch, out)
        elif active == self.active:
            return
        if active != self.active:
            self.active = active
            self.open &= set(active.values())
            out.append(Activate(epoch.number, active))

    def _tell(self, before: Epoch, epoch: Epoch, out: list[Action]) -> None:
        for name, slot in epoch.slots.items():
            old = before.slot(name)
            if slot == old:
                continue
            fields = (
                ("epoch", epoch.number), ("transform", name), ("active", slot.active or "-"),
                ("candidate", slot.candidate or "-"), ("behind", ",".join(slot.behind) or "-"),
                ("why", slot.why),
            )  # fmt: skip
            happened = slot.why.partition(":")[0].replace(" ", "_") if slot.why != old.why else "epoch"
            named = happened if happened in ("quarantined", "rolled_back", "refused") else "epoch"
            out.append(Note(f"transforms.{named}", fields))
            for order in self.book.orders.values():
                over = order.name == name and old.last < order.sequence < slot.last
                if over:
                    out.append(
                        Note(
                            "transforms.passed_over",
                            (("transform", name), ("version", order.id), ("by", slot.last[1])),
                        )
                    )

    # What all run.

    def _decide(self, out: list[Action]) -> None:
        number = self.book.epoch.number
        if (number or len(self.known) <= self.settings.size) and (vote := self.voter.consider(self.book)):
            self._put(VOTE, vote_key(self.me, self.disk, vote.epoch), vote, out)
        value = None
        if self.live[0] == self.me:
            self.asked.clear()
            value, self.waits = next_epoch(
                self.book, self.live, len(self.known), self.settings, self._lasting
            )
            self.since = {name: at_s for name, at_s in self.since.items() if name in self.asked}
        else:
            self.waits, self.since = {}, {}
        if self.live[0] != self.me and self.proposer.proposal is None:
            return
        match self.proposer.step(self.now_s, self.book, value):
            case Proposal() as proposal:
                self._put(PROPOSAL, key_of(self.me, proposal.epoch), proposal, out)
            case Epoch() as epoch:
                if EPOCH not in self.unread or self.unread[EPOCH][1] != epoch:
                    self._put(EPOCH, key_of(EPOCHS, epoch.number), epoch, out)

    def _lasting(self, name: str) -> float:
        self.asked.add(name)
        return self.now_s - self.since.setdefault(name, self.now_s)

    def _report(self, out: list[Action]) -> None:
        staged = {id: reason for id, reason in sorted(self.staged.items())}
        shown = self.book.reports.get(self.me)
        last = self.unread[REPORT][1] if REPORT in self.unread else shown
        number = max(shown.number if shown else 0, last.number if isinstance(last, Report) else 0)
        report = Report(number, self.epoch.number, staged, tuple(sorted(self.open)), self.disk)
        if report != last:
            report = msgspec.structs.replace(report, number=number + 1)
            self._put(REPORT, key_of(self.me, report.number), report, out)

    def _tidy(self, out: list[Action]) -> None:
        """Each member drops what it has left behind; the first drops orders that are over and old epochs,
        once all live members run the current one."""
        if self.now_s < self.tidy_s or not self.may_decide():
            return
        self.tidy_s = self.now_s + TIDY_S
        reports, epoch = self.book.reports, self.book.epoch
        last = max((p.epoch for p in self.book.proposals.get(self.me, ())), default=0)
        current = {PROPOSAL: key_of(self.me, last)}
        if (vote := self._own_vote()) is not None:
            current[VOTE] = vote_key(self.me, self.disk, vote.epoch)
        if self.me in reports:
            current[REPORT] = key_of(self.me, reports[self.me].number)
        for kind, stands in current.items():
            out += [Drop(kind, key) for key in self.book.left_keys(kind, self.me, stands)]
        if self.live[0] != self.me:
            return
        if any(m not in reports or reports[m].epoch != epoch.number for m in self.live):
            return
        for order in self.book.orders.values():
            slot = epoch.slot(order.name)
            if order.sequence <= slot.last and order.id not in slot.named():
                out.append(Drop(ORDER, order.key))
        out += [Drop(EPOCH, key) for key in self.book.left_keys(EPOCH, EPOCHS, key_of(EPOCHS, epoch.number))]

    # Own records until the ledger shows them.

    def _put(self, kind: str, key: str, body: Body, out: list[Action]) -> None:
        self.unread[kind] = key, body, self.now_s
        to = body.promised[1] if isinstance(body, Vote) else self.live[0] if isinstance(body, Report) else ""
        out.append(Put(kind, key, body, to))

    def _resend(self, out: list[Action]) -> None:
        for kind, (key, body, at_s) in list(self.unread.items()):
            if self._shown(body):
                del self.unread[kind]
            elif self.now_s - at_s >= self.settings.resend_s:
                self._put(kind, key, body, out)

    def _own_vote(self) -> Vote | None:
        return self.book.votes.get(self.me, {}).get(self.disk)

    def _shown(self, body: Body) -> bool:
        """Whether the ledger shows this member's record, or what makes it idle."""
        book = self.book
        if isinstance(body, Epoch):
            return book.epoch.number >= body.number
        if isinstance(body, Proposal):
            return body.epoch <= book.epoch.number or body in book.proposals.get(self.me, ()) or (
                body != self.proposer.proposal
            )  # fmt: skip
        if isinstance(body, Vote):
            return self._own_vote() == body or body != self.voter.vote
        shown = book.reports.get(self.me)
        return isinstance(body, Report) and shown is not None and shown.number >= body.number
