"""The conductor: the stage a rollout is in, when the next begins, when it is stopped: events in, actions out.

It lives as long as its process holds the duty. Every step is a record that it writes, and nothing else is
decided before the record is held: the next conductor goes on from the last one (docs/rollouts.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cloverkeel.fleet.rollout.analysis import Counts, Verdict, judge, total
from cloverkeel.fleet.rollout.records import OUTCOMES, Order, Progress, State

THIN = 10.0  # times the bake that a sample may stay thin
SILENT_S = 5.0  # a member that has not answered for so long is waited for no longer
RETRY_S = 1.0  # until a record that the ledger did not take is written again
STAGED: tuple[State, ...] = ("baking", "paused")


@dataclass(slots=True, frozen=True)
class Ordered:
    """All orders that the ledger holds."""

    orders: tuple[Order, ...]


@dataclass(slots=True, frozen=True)
class Reported:
    """A member's answer: the place of the progress that it serves, and its counts of both sets, cumulative
    for its `life`."""

    member: str
    life: int
    place: tuple[int, int]
    new: Counts
    base: Counts


@dataclass(slots=True, frozen=True)
class Live:
    """The members alive, this one included."""

    members: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Written:
    place: tuple[int, int]


@dataclass(slots=True, frozen=True)
class WriteFailed:
    place: tuple[int, int]
    reason: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Due about each 0.1 s."""


Event = Ordered | Reported | Live | Written | WriteFailed | Tick


@dataclass(slots=True, frozen=True)
class Write:
    progress: Progress


@dataclass(slots=True, frozen=True)
class Note:
    name: str
    fields: tuple[tuple[str, object], ...]


@dataclass(slots=True, frozen=True)
class Drop:
    """This order is over: let the ledger forget it."""

    id: str


Action = Write | Drop | Note


@dataclass(slots=True)
class Member:
    """What one member told: its last answer, and where its counts stood as the window began."""

    life: int
    place: tuple[int, int]
    at_s: float
    new: Counts
    base: Counts
    from_new: Counts = field(default_factory=Counts)
    from_base: Counts = field(default_factory=Counts)


class Conductor:
    """`token`: the duty's; `progress`: the newest that the ledger holds, or None."""

    def __init__(self, token: int, progress: Progress | None) -> None:
        self.token = token
        self.progress = progress or Progress()
        self.writing: Progress | None = None
        self.again_s = 0.0  # when a write that failed is made again
        self.orders: dict[str, Order] = {}
        self.dropped: set[str] = set()
        self.live: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.window_s: float | None = None  # when the stage's window began: all that answer serve the step
        self.entered_s: float | None = None  # when this conductor saw the step
        self.reference: Counts | None = None  # the base in the last window in which it had enough
        self.verdict = Verdict("thin", "")

    def handle(self, now_s: float, event: Event) -> list[Action]:
        out: list[Action] = []
        match event:
            case Ordered(orders):
                self.orders = {order.id: order for order in orders}
                self.dropped &= self.orders.keys()
            case Live(members):
                self.live = members
                self.members = {name: m for name, m in self.members.items() if name in members}
            case Reported():
                self._reported(now_s, event)
            case Written(place):
                if self.writing is not None and place == self.writing.place:
                    self.progress, self.writing = self.writing, None
                    self.window_s = self.entered_s = None
            case WriteFailed(place, reason):
                if self.writing is not None and place == self.writing.place:
                    self.writing, self.again_s = None, now_s + RETRY_S
                    out.append(Note("rollout.not_written", (("reason", reason),)))
            case Tick():
                pass
        if self.writing is None and now_s >= self.again_s:
            self._decide(now_s, out)
        return out

    # What members tell

    def _reported(self, now_s: float, event: Reported) -> None:
        known = self.members.get(event.member)
        if known is None or known.life != event.life:
            # A new life counts from nothing: all that it has counted is of this window, if one is open and it
            # serves the step.
            known = self.members[event.member] = Member(event.life, event.place, now_s, event.new, event.base)
            if self.window_s is None or event.place != self.progress.place:
                known.from_new, known.from_base = event.new, event.base
            return
        known.place, known.at_s, known.new, known.base = event.place, now_s, event.new, event.base

    def _all_serve(self, now_s: float) -> bool:
        """Whether all members that answer serve this step, and one does."""
        answering = [m for m in self.members.values() if now_s - m.at_s < SILENT_S]
        waited = self.entered_s is not None and now_s - self.entered_s >= SILENT_S
        if not waited and any(name not in self.members for name in self.live):
            return False
        return bool(answering) and all(m.place >= self.progress.place for m in answering)

    # What is decided

    def _decide(self, now_s: float, out: list[Action]) -> None:
        if self.entered_s is None:
            self.entered_s = now_s
        if self.progress.token != self.token and (
            self.orders or self.progress.state in ("baking", "rolling-back")
        ):
            # The first word of a new conductor, so that what the one before still writes changes nothing.
            out.append(Note("rollout.taken_over", (("token", self.token), ("state", self.progress.state))))
            self._write(out)
            return
        told = {id for id, _ in self.progress.outcomes}
        for id in sorted(self.orders.keys() & told - self.dropped):
            self.dropped.add(id)
            out.append(Drop(id))
        # One that was written beside those taken may come late, with a lower place: it has its turn too.
        open_orders = [order for id, order in self.orders.items() if id not in told]
        order = min(open_orders, key=_place, default=None)
        if order is not None:
            self._take(order, out)
        elif self.progress.state == "rolling-back" and self._all_serve(now_s):
            self._write(out, state="rolled-back")
        elif self.progress.state == "baking":
            self._bake(now_s, out)

    def _bake(self, now_s: float, out: list[Action]) -> None:
        spec = self.progress.spec
        assert spec is not None
        if self.window_s is None:
            if self._all_serve(now_s):
                self.window_s = now_s
                for member in self.members.values():
                    member.from_new, member.from_base = member.new, member.base
            return
        new = total(m.new.plus(m.from_new, -1) for m in self.members.values())
        base = total(m.base.plus(m.from_base, -1) for m in self.members.values())
        if base.ended >= spec.rules.least:
            self.reference = base
        verdict = self.verdict = judge(new, self.reference or base, spec.rules, self.progress.share == 100)
        passed_s = now_s - self.window_s
        if verdict.outcome == "fail":
            self._write(out, state="rolling-back", why=f"stage {self.progress.stage}: {verdict.why}"[:500])
        elif verdict.outcome == "pass" and passed_s >= spec.bake_s:
            last = self.progress.stage + 1 == len(spec.steps)
            stage = self.progress.stage if last else self.progress.stage + 1
            self._write(out, state="done" if last else "baking", stage=stage, why=verdict.why[:500])
        elif passed_s >= THIN * spec.bake_s:
            self._write(out, state="paused", why=f"thin for {passed_s:.0f} s: {verdict.why}"[:500])

    def _take(self, order: Order, out: list[Action]) -> None:
        """The next order in sequence: carried out, or refused with the reason."""
        now, name = self.progress, self.progress.spec.name if self.progress.spec is not None else ""
        under_way = now.state in (*STAGED, "rolling-back")
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
                self.reference = None
        elif order.name != name:
            refused = f"{order.name} is not the rollout at hand ({name or 'there is none'})"
        elif order.verb == "pause" and now.state == "baking":
            fields = {"state": "paused", "why": "paused by an operator"}
        elif order.verb == "resume" and now.state == "paused":
            fields = {"state": "baking", "why": "resumed"}
        elif order.verb == "abort" and now.state in STAGED:
            fields = {"state": "rolling-back", "why": "aborted by an operator"}
        elif order.verb == "undo" and now.state == "done":
            fields = {"state": "rolling-back", "why": "undone by an operator"}
        else:
            refused = f"{name} is {now.state}: there is nothing to {order.verb}"
        outcome = f"refused: {refused}" if refused else "taken"
        # While the ledger holds an order its outcome is kept, or it would be taken a second time.
        held = [each for each in now.outcomes if each[0] in self.orders]
        gone = [each for each in now.outcomes if each[0] not in self.orders][-OUTCOMES:]
        outcomes = (*gone, *held, (order.id, outcome))
        self._write(out, seen=max(now.seen, order.number), outcomes=outcomes, **fields)

    def _write(self, out: list[Action], **fields: object) -> None:
        step = self.progress.step + 1
        self.writing = msgspec.structs.replace(self.progress, token=self.token, step=step, **fields)
        out.append(Write(self.writing))
        if self.writing.state != self.progress.state or self.writing.stage != self.progress.stage:
            spec = self.writing.spec
            out.append(Note("rollout.step", (
                ("rollout", spec.name if spec is not None else ""), ("state", self.writing.state),
                ("stage", self.writing.stage), ("share", self.writing.share), ("token", self.token),
                ("why", self.writing.why),
            )))  # fmt: skip


def _place(order: Order) -> tuple[int, str]:
    return order.place
