"""Activation at one member: events in, actions out, time passed in (docs/activation.md, "Interfaces")."""

from __future__ import annotations

import random

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
    EPOCH_KEY,
    ORDER,
    PROPOSAL,
    REPORT,
    VOTE,
    Body,
    Epoch,
    Proposal,
    Report,
)

TIDY_S = 5.0  # between two looks for orders that are over


class Activation:
    """`member`: this gateway's name; `life`: of this process, never used before under the name."""

    def __init__(self, member: str, life: int, settings: Settings, rng: random.Random) -> None:
        self.me, self.settings = member, settings
        self.book = Book()
        self.live: tuple[str, ...] = (member,)
        self.known: tuple[str, ...] = (member,)
        self.settled = False
        self.voter = Voter(member)
        self.proposer = Proposer(member, life, settings.size, settings.retry_s, rng)
        self.staged: dict[str, str] = {}  # versions tried: "" or why not
        self.staging: set[str] = set()
        self.open: set[str] = set()
        self.active: dict[str, str] = {}
        self.epoch = Epoch()  # that this member runs
        self.since: dict[str, float] = {}  # conditions of the plan: since when asked after
        self.asked: set[str] = set()
        self.waits: dict[str, str] = {}
        self.unread: dict[tuple[str, str], tuple[Body, float]] = {}  # own records not shown yet: written when
        self.now_s = 0.0
        self.tidy_s = 0.0

    def handle(self, now_s: float, event: Event) -> list[Action]:
        self.now_s = now_s
        out: list[Action] = []
        match event:
            case Recorded(kind, key, payloads):
                for fault in self.book.take(kind, key, payloads):
                    out.append(
                        Note("transforms.malformed", (("kind", kind), ("key", key), ("reason", fault)))
                    )
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
            self._put(VOTE, self.me, vote, out)
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
                self._put(PROPOSAL, self.me, proposal, out)
            case Epoch() as epoch:
                if self.unread.get((EPOCH, EPOCH_KEY), (None,))[0] != epoch:
                    self._put(EPOCH, EPOCH_KEY, epoch, out)

    def _lasting(self, name: str) -> float:
        self.asked.add(name)
        return self.now_s - self.since.setdefault(name, self.now_s)

    def _report(self, out: list[Action]) -> None:
        staged = {id: reason for id, reason in sorted(self.staged.items())}
        shown = self.book.reports.get(self.me)
        unread = self.unread.get((REPORT, self.me))
        last = unread[0] if unread is not None else shown
        number = max(shown.number if shown else 0, last.number if isinstance(last, Report) else 0)
        report = Report(number, self.epoch.number, staged, tuple(sorted(self.open)))
        if report != last:
            self._put(REPORT, self.me, Report(number + 1, report.epoch, staged, report.open), out)

    def _tidy(self, out: list[Action]) -> None:
        """The first member drops orders that are over, once all live members run the current epoch."""
        if self.now_s < self.tidy_s or not self.may_decide() or self.live[0] != self.me:
            return
        self.tidy_s = self.now_s + TIDY_S
        reports, epoch = self.book.reports, self.book.epoch
        if any(m not in reports or reports[m].epoch != epoch.number for m in self.live):
            return
        for order in self.book.orders.values():
            slot = epoch.slot(order.name)
            if order.sequence <= slot.last and order.id not in slot.named():
                out.append(Drop(ORDER, order.key))

    # Own records until the ledger shows them.

    def _put(self, kind: str, key: str, body: Body, out: list[Action]) -> None:
        self.unread[kind, key] = body, self.now_s
        out.append(Put(kind, key, body))

    def _resend(self, out: list[Action]) -> None:
        for (kind, key), (body, at_s) in list(self.unread.items()):
            if self._shown(kind, body):
                del self.unread[kind, key]
            elif self.now_s - at_s >= self.settings.resend_s:
                self._put(kind, key, body, out)

    def _shown(self, kind: str, body: Body) -> bool:
        """Whether the ledger shows this member's record, or what makes it idle."""
        book = self.book
        if isinstance(body, Epoch):
            return book.epoch.number >= body.number
        if isinstance(body, Proposal):
            return body.epoch <= book.epoch.number or body in book.proposals.get(self.me, ()) or (
                body != self.proposer.proposal
            )  # fmt: skip
        if kind == VOTE:
            return book.votes.get(self.me) == body or body != self.voter.vote
        shown = book.reports.get(self.me)
        return isinstance(body, Report) and shown is not None and shown.number >= body.number
