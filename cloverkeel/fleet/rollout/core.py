"""Decides the stages of a rollout: when the next one starts, when to roll back. Events in, actions out.

A conductor lives as long as its process holds the conductor duty. It writes every decision as a record (a
step) and decides nothing more until the ledger holds that record, so that the next conductor can continue
from the last step (docs/rollouts.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cloverkeel.fleet.rollout.analysis import Counts, Verdict, judge, sum_counts
from cloverkeel.fleet.rollout.records import OUTCOMES_KEPT, Order, Progress, State

MAX_THIN_BAKES = 10.0  # times `bake_s` for which a stage may lack attempts before it is paused
MEMBER_TIMEOUT_S = 5.0  # a member silent for this long is no longer waited for
WRITE_RETRY_S = 1.0  # wait until a failed write of a step is retried
STAGED_STATES: tuple[State, ...] = ("baking", "paused")


@dataclass(slots=True, frozen=True)
class OrdersChanged:
    """The orders that the ledger now holds."""

    orders: tuple[Order, ...]


@dataclass(slots=True, frozen=True)
class CountsReported:
    """A member's report: the version of the progress that it serves, and its counts of both sets.

    The counts are cumulative while `counts_id` stays the same.
    """

    member: str
    counts_id: int
    version: tuple[int, int]
    new: Counts
    base: Counts


@dataclass(slots=True, frozen=True)
class MembersChanged:
    """The live members, this one included."""

    members: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ProgressWritten:
    """The ledger holds the progress of this version."""

    version: tuple[int, int]


@dataclass(slots=True, frozen=True)
class WriteFailed:
    """The progress of this version could not be written, or was not confirmed in time."""

    version: tuple[int, int]
    reason: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due about every 0.1 s."""


Event = OrdersChanged | CountsReported | MembersChanged | ProgressWritten | WriteFailed | Tick


@dataclass(slots=True, frozen=True)
class WriteProgress:
    """Write this progress to the ledger."""

    progress: Progress


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a log event with these fields."""

    name: str
    fields: tuple[tuple[str, object], ...]


@dataclass(slots=True, frozen=True)
class DropOrder:
    """Delete this processed order from the ledger."""

    id: str


Action = WriteProgress | DropOrder | LogEvent


@dataclass(slots=True)
class Member:
    """One member's last report, and its counts when the stage's window started."""

    counts_id: int
    version: tuple[int, int]
    reported_at_s: float
    new: Counts
    base: Counts
    window_start_new: Counts = field(default_factory=Counts)
    window_start_base: Counts = field(default_factory=Counts)


class Conductor:
    """Conducts rollouts under the duty's `token`. `progress`: the newest that the ledger holds, or None."""

    def __init__(self, token: int, progress: Progress | None) -> None:
        self.token = token
        self.progress = progress or Progress()
        self.pending_write: Progress | None = None
        self.retry_at_s = 0.0  # no decision before, after a failed write
        self.orders: dict[str, Order] = {}
        self.dropped: set[str] = set()
        self.live_members: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.window_start_s: float | None = None  # when all answering members served the step
        self.step_seen_s: float | None = None  # when this conductor first acted on the step
        self.base_reference: Counts | None = None  # base counts of the last window with enough of them
        self.verdict = Verdict("thin", "")

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Processes an event and returns the actions to execute, in order."""
        out: list[Action] = []
        match event:
            case OrdersChanged(orders):
                self.orders = {order.id: order for order in orders}
                self.dropped &= self.orders.keys()
            case MembersChanged(members):
                self.live_members = members
                self.members = {name: member for name, member in self.members.items() if name in members}
            case CountsReported():
                self._handle_report(now_s, event)
            case ProgressWritten(version):
                if self.pending_write is not None and version == self.pending_write.version:
                    self.progress, self.pending_write = self.pending_write, None
                    self.window_start_s = self.step_seen_s = None
            case WriteFailed(version, reason):
                if self.pending_write is not None and version == self.pending_write.version:
                    self.pending_write, self.retry_at_s = None, now_s + WRITE_RETRY_S
                    out.append(LogEvent("rollout.not_written", (("reason", reason),)))
            case Tick():
                pass
        if self.pending_write is None and now_s >= self.retry_at_s:
            self._decide(now_s, out)
        return out

    # Reports of members

    def _handle_report(self, now_s: float, event: CountsReported) -> None:
        """Records a member's report."""
        member = self.members.get(event.member)
        if member is None or member.counts_id != event.counts_id:
            # Counts with a new id started from zero: all of them belong to this window if it is open and the
            # member serves the step; if not, they are the start of the next window.
            member = self.members[event.member] = Member(
                event.counts_id, event.version, now_s, event.new, event.base
            )
            if self.window_start_s is None or event.version != self.progress.version:
                member.window_start_new, member.window_start_base = event.new, event.base
            return
        member.version, member.reported_at_s, member.new, member.base = (
            event.version,
            now_s,
            event.new,
            event.base,
        )

    def _all_serve_step(self, now_s: float) -> bool:
        """Whether at least one member answers and all that answer serve this step."""
        answering = [m for m in self.members.values() if now_s - m.reported_at_s < MEMBER_TIMEOUT_S]
        waited = self.step_seen_s is not None and now_s - self.step_seen_s >= MEMBER_TIMEOUT_S
        if not waited and any(name not in self.members for name in self.live_members):
            return False
        return bool(answering) and all(m.version >= self.progress.version for m in answering)

    # Decisions

    def _decide(self, now_s: float, out: list[Action]) -> None:
        """Takes over, or drops processed orders and then processes one order or judges the stage."""
        if self.step_seen_s is None:
            self.step_seen_s = now_s
        if self.progress.token != self.token and (
            self.orders or self.progress.state in ("baking", "rolling-back")
        ):
            # A new conductor first writes its own step: its token outranks late writes of the previous one.
            out.append(
                LogEvent("rollout.taken_over", (("token", self.token), ("state", self.progress.state)))
            )
            self._write_step(out)
            return
        processed = {id for id, _ in self.progress.outcomes}
        for id in sorted(self.orders.keys() & processed - self.dropped):
            self.dropped.add(id)
            out.append(DropOrder(id))
        # An order written concurrently with another may arrive later with a lower key: process it too.
        open_orders = [order for id, order in self.orders.items() if id not in processed]
        order = min(open_orders, key=_sort_key, default=None)
        if order is not None:
            self._process_order(order, out)
        elif self.progress.state == "rolling-back" and self._all_serve_step(now_s):
            self._write_step(out, state="rolled-back")
        elif self.progress.state == "baking":
            self._evaluate_stage(now_s, out)

    def _evaluate_stage(self, now_s: float, out: list[Action]) -> None:
        """Starts the stage's window, or judges it: back, next stage, done, or paused for lack of attempts."""
        spec = self.progress.spec
        assert spec is not None
        if self.window_start_s is None:
            if self._all_serve_step(now_s):
                self.window_start_s = now_s
                for member in self.members.values():
                    member.window_start_new, member.window_start_base = member.new, member.base
            return
        new = sum_counts(m.new.plus(m.window_start_new, -1) for m in self.members.values())
        base = sum_counts(m.base.plus(m.window_start_base, -1) for m in self.members.values())
        if base.ended >= spec.rules.least:
            self.base_reference = base
        verdict = self.verdict = judge(
            new, self.base_reference or base, spec.rules, self.progress.share == 100
        )
        elapsed_s = now_s - self.window_start_s
        if verdict.outcome == "fail":
            self._write_step(
                out, state="rolling-back", why=f"stage {self.progress.stage}: {verdict.why}"[:500]
            )
        elif verdict.outcome == "pass" and elapsed_s >= spec.bake_s:
            last = self.progress.stage + 1 == len(spec.steps)
            stage = self.progress.stage if last else self.progress.stage + 1
            self._write_step(out, state="done" if last else "baking", stage=stage, why=verdict.why[:500])
        elif elapsed_s >= MAX_THIN_BAKES * spec.bake_s:
            self._write_step(out, state="paused", why=f"thin for {elapsed_s:.0f} s: {verdict.why}"[:500])

    def _process_order(self, order: Order, out: list[Action]) -> None:
        """Executes an order, or refuses it with a reason, and records the outcome."""
        progress, name = self.progress, self.progress.spec.name if self.progress.spec is not None else ""
        under_way = progress.state in (*STAGED_STATES, "rolling-back")
        fields: dict[str, object] = {}
        refused = ""
        if order.verb == "start":
            if order.spec is None:
                refused = "the order has no spec"
            elif under_way:
                refused = f"{name} is under way ({progress.state})"
            else:
                base = (
                    progress.spec.hosts
                    if progress.state == "done" and progress.spec is not None
                    else progress.base
                )
                fields = {"state": "baking", "stage": 0, "spec": order.spec, "base": base, "why": "started"}
                self.base_reference = None
        elif order.name != name:
            refused = f"{order.name} is not the rollout at hand ({name or 'there is none'})"
        elif order.verb == "pause" and progress.state == "baking":
            fields = {"state": "paused", "why": "paused by an operator"}
        elif order.verb == "resume" and progress.state == "paused":
            fields = {"state": "baking", "why": "resumed"}
        elif order.verb == "abort" and progress.state in STAGED_STATES:
            fields = {"state": "rolling-back", "why": "aborted by an operator"}
        elif order.verb == "undo" and progress.state == "done":
            fields = {"state": "rolling-back", "why": "undone by an operator"}
        else:
            refused = f"{name} is {progress.state}: there is nothing to {order.verb}"
        outcome = f"refused: {refused}" if refused else "taken"
        # The outcome of an order is kept while the ledger holds it; without it the order would run again.
        held_outcomes = [entry for entry in progress.outcomes if entry[0] in self.orders]
        gone_outcomes = [entry for entry in progress.outcomes if entry[0] not in self.orders][-OUTCOMES_KEPT:]
        outcomes = (*gone_outcomes, *held_outcomes, (order.id, outcome))
        self._write_step(out, seen=max(progress.seen, order.number), outcomes=outcomes, **fields)

    def _write_step(self, out: list[Action], **fields: object) -> None:
        """Writes the next step: the progress with these fields changed."""
        step = self.progress.step + 1
        self.pending_write = msgspec.structs.replace(self.progress, token=self.token, step=step, **fields)
        out.append(WriteProgress(self.pending_write))
        if self.pending_write.state != self.progress.state or self.pending_write.stage != self.progress.stage:
            spec = self.pending_write.spec
            out.append(LogEvent("rollout.step", (
                ("rollout", spec.name if spec is not None else ""), ("state", self.pending_write.state),
                ("stage", self.pending_write.stage), ("share", self.pending_write.share),
                ("token", self.token), ("why", self.pending_write.why),
            )))  # fmt: skip


def _sort_key(order: Order) -> tuple[int, str]:
    return order.sort_key
