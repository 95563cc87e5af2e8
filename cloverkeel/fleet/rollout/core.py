"""The conductor: the stage a rollout is in, when the next begins, when it is stopped: events in, actions out.

It lives as long as its process holds the duty. Every step is a record that it writes, and nothing else is
decided before the record is held: the next conductor goes on from the last one (docs/rollouts.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cloverkeel.fleet.rollout.analysis import Counts, Verdict, judge, sum_counts
from cloverkeel.fleet.rollout.records import OUTCOMES_KEPT, Order, Progress, State

MAX_THIN_BAKES = 10.0  # times the bake that a sample may stay thin
MEMBER_TIMEOUT_S = 5.0  # a member that has not answered for so long is waited for no longer
WRITE_RETRY_S = 1.0  # until a record that the ledger did not take is written again
STAGED_STATES: tuple[State, ...] = ("baking", "paused")


@dataclass(slots=True, frozen=True)
class OrdersChanged:
    """All orders that the ledger holds."""

    orders: tuple[Order, ...]


@dataclass(slots=True, frozen=True)
class CountsReported:
    """A member's answer: the place of the progress that it serves, and its counts of both sets, cumulative
    for its `life`."""

    member: str
    counts_id: int
    version: tuple[int, int]
    new: Counts
    base: Counts


@dataclass(slots=True, frozen=True)
class MembersChanged:
    """The members alive, this one included."""

    members: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ProgressWritten:
    version: tuple[int, int]


@dataclass(slots=True, frozen=True)
class WriteFailed:
    version: tuple[int, int]
    reason: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Due about each 0.1 s."""


Event = OrdersChanged | CountsReported | MembersChanged | ProgressWritten | WriteFailed | Tick


@dataclass(slots=True, frozen=True)
class WriteProgress:
    progress: Progress


@dataclass(slots=True, frozen=True)
class LogEvent:
    name: str
    fields: tuple[tuple[str, object], ...]


@dataclass(slots=True, frozen=True)
class DropOrder:
    """This order is over: let the ledger forget it."""

    id: str


Action = WriteProgress | DropOrder | LogEvent


@dataclass(slots=True)
class Member:
    """What one member told: its last answer, and where its counts stood as the window began."""

    counts_id: int
    version: tuple[int, int]
    reported_at_s: float
    new: Counts
    base: Counts
    window_start_new: Counts = field(default_factory=Counts)
    window_start_base: Counts = field(default_factory=Counts)


class Conductor:
    """`token`: the duty's; `progress`: the newest that the ledger holds, or None."""

    def __init__(self, token: int, progress: Progress | None) -> None:
        self.token = token
        self.progress = progress or Progress()
        self.pending_write: Progress | None = None
        self.retry_at_s = 0.0  # when a write that failed is made again
        self.orders: dict[str, Order] = {}
        self.dropped: set[str] = set()
        self.live_members: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.window_start_s: float | None = (
            None  # when the stage's window began: all that answer serve the step
        )
        self.step_seen_s: float | None = None  # when this conductor saw the step
        self.base_reference: Counts | None = None  # the base in the last window in which it had enough
        self.verdict = Verdict("thin", "")

    def handle(self, now_s: float, event: Event) -> list[Action]:
        out: list[Action] = []
        match event:
            case OrdersChanged(orders):
                self.orders = {order.id: order for order in orders}
                self.dropped &= self.orders.keys()
            case MembersChanged(members):
                self.live_members = members
                self.members = {name: m for name, m in self.members.items() if name in members}
            case CountsReported():
                self._handle_report(now_s, event)
            case ProgressWritten(place):
                if self.pending_write is not None and place == self.pending_write.version:
                    self.progress, self.pending_write = self.pending_write, None
                    self.window_start_s = self.step_seen_s = None
            case WriteFailed(place, reason):
                if self.pending_write is not None and place == self.pending_write.version:
                    self.pending_write, self.retry_at_s = None, now_s + WRITE_RETRY_S
                    out.append(LogEvent("rollout.not_written", (("reason", reason),)))
            case Tick():
                pass
        if self.pending_write is None and now_s >= self.retry_at_s:
            self._decide(now_s, out)
        return out

    # What members tell

    def _handle_report(self, now_s: float, event: CountsReported) -> None:
        known = self.members.get(event.member)
        if known is None or known.counts_id != event.counts_id:
            # A new life counts from nothing: all that it has counted is of this window, if one is open and it
            # serves the step.
            known = self.members[event.member] = Member(
                event.counts_id, event.version, now_s, event.new, event.base
            )
            if self.window_start_s is None or event.version != self.progress.version:
                known.window_start_new, known.window_start_base = event.new, event.base
            return
        known.version, known.reported_at_s, known.new, known.base = (
            event.version,
            now_s,
            event.new,
            event.base,
        )

    def _all_serve_step(self, now_s: float) -> bool:
        """Whether all members that answer serve this step, and one does."""
        answering = [m for m in self.members.values() if now_s - m.reported_at_s < MEMBER_TIMEOUT_S]
        waited = self.step_seen_s is not None and now_s - self.step_seen_s >= MEMBER_TIMEOUT_S
        if not waited and any(name not in self.members for name in self.live_members):
            return False
        return bool(answering) and all(m.version >= self.progress.version for m in answering)

    # What is decided

    def _decide(self, now_s: float, out: list[Action]) -> None:
        if self.step_seen_s is None:
            self.step_seen_s = now_s
        if self.progress.token != self.token and (
            self.orders or self.progress.state in ("baking", "rolling-back")
        ):
            # The first word of a new conductor, so that what the one before still writes changes nothing.
            out.append(
                LogEvent("rollout.taken_over", (("token", self.token), ("state", self.progress.state)))
            )
            self._write_step(out)
            return
        told = {id for id, _ in self.progress.outcomes}
        for id in sorted(self.orders.keys() & told - self.dropped):
            self.dropped.add(id)
            out.append(DropOrder(id))
        # One that was written beside those taken may come late, with a lower place: it has its turn too.
        open_orders = [order for id, order in self.orders.items() if id not in told]
        order = min(open_orders, key=_sort_key, default=None)
        if order is not None:
            self._process_order(order, out)
        elif self.progress.state == "rolling-back" and self._all_serve_step(now_s):
            self._write_step(out, state="rolled-back")
        elif self.progress.state == "baking":
            self._evaluate_stage(now_s, out)

    def _evaluate_stage(self, now_s: float, out: list[Action]) -> None:
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
        passed_s = now_s - self.window_start_s
        if verdict.outcome == "fail":
            self._write_step(
                out, state="rolling-back", why=f"stage {self.progress.stage}: {verdict.why}"[:500]
            )
        elif verdict.outcome == "pass" and passed_s >= spec.bake_s:
            last = self.progress.stage + 1 == len(spec.steps)
            stage = self.progress.stage if last else self.progress.stage + 1
            self._write_step(out, state="done" if last else "baking", stage=stage, why=verdict.why[:500])
        elif passed_s >= MAX_THIN_BAKES * spec.bake_s:
            self._write_step(out, state="paused", why=f"thin for {passed_s:.0f} s: {verdict.why}"[:500])

    def _process_order(self, order: Order, out: list[Action]) -> None:
        """The next order in sequence: carried out, or refused with the reason."""
        now, name = self.progress, self.progress.spec.name if self.progress.spec is not None else ""
        under_way = now.state in (*STAGED_STATES, "rolling-back")
        fields: dict[str, object] = {}
        refused = ""
        if order.verb == "start":
            if order.spec is None:
                refused = "the order has no spec"
            elif under_way:
                refused = f"{name} is under way ({now.state})"
            else:
                base = now.spec.hosts if now.state == "done" and now.spec is not None else now.base
                fields = {"state": "baking", "stage": 0, "spec": order.spec, "base": base, "why": "started"}
                self.base_reference = None
        elif order.name != name:
            refused = f"{order.name} is not the rollout at hand ({name or 'there is none'})"
        elif order.verb == "pause" and now.state == "baking":
            fields = {"state": "paused", "why": "paused by an operator"}
        elif order.verb == "resume" and now.state == "paused":
            fields = {"state": "baking", "why": "resumed"}
        elif order.verb == "abort" and now.state in STAGED_STATES:
            fields = {"state": "rolling-back", "why": "aborted by an operator"}
        elif order.verb == "undo" and now.state == "done":
            fields = {"state": "rolling-back", "why": "undone by an operator"}
        else:
            refused = f"{name} is {now.state}: there is nothing to {order.verb}"
        outcome = f"refused: {refused}" if refused else "taken"
        # While the ledger holds an order its outcome is kept, or it would be taken a second time.
        held = [each for each in now.outcomes if each[0] in self.orders]
        gone = [each for each in now.outcomes if each[0] not in self.orders][-OUTCOMES_KEPT:]
        outcomes = (*gone, *held, (order.id, outcome))
        self._write_step(out, seen=max(now.seen, order.number), outcomes=outcomes, **fields)

    def _write_step(self, out: list[Action], **fields: object) -> None:
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
