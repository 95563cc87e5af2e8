"""The protocol core of the ledger: events in, actions out, no clock and no I/O. docs/ledger.md is its design.

Every change of state, by an own write or from another member, is staged, planned as part of a batch, written
to disk and only then applied, one batch at a time: what this member reports to hold is on its disk.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from cloverkeel.fleet.ledger import anti_entropy
from cloverkeel.fleet.ledger.bucket_hashes import BUCKET_COUNT
from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.head_batches import batch_heads
from cloverkeel.fleet.ledger.intake import Intake
from cloverkeel.fleet.ledger.interface import (
    Acknowledged,
    Action,
    Delete,
    Event,
    KeyChanged,
    Level,
    LogEvent,
    MessageReceived,
    NotConfirmed,
    Persist,
    Persisted,
    PersistFailed,
    Refused,
    Send,
    Settings,
    Tick,
    ViewChanged,
    Write,
)
from cloverkeel.fleet.ledger.messages import (
    HEADS_MAX,
    Buckets,
    Digest,
    Fetch,
    Heads,
    Held,
    Leaves,
    Message,
    Piece,
    Want,
)
from cloverkeel.fleet.ledger.pending_acks import PendingAck, PendingAcks
from cloverkeel.fleet.ledger.records import Record
from cloverkeel.fleet.ledger.replica import Delta, Join, Op, Put, Replica
from cloverkeel.fleet.ledger.settling import Settling
from cloverkeel.fleet.ledger.tombstones import collectable_tombstones
from cloverkeel.fleet.ledger.writes import prepare

BATCH_OPS = 64  # most operations in one batch


class Ledger:
    """One member's ledger.

    `incarnation`: random for each start, so that no two process runs share one; `puts` and `context`: as
    loaded from the store.
    """

    def __init__(
        self,
        member: str,
        incarnation: int,
        settings: Settings,
        rng: random.Random,
        puts: Iterable[Put] = (),
        context: Context | None = None,
    ) -> None:
        self.own_name, self.incarnation, self.settings, self.rng = member, incarnation, settings, rng
        self.replica = Replica(settings.limits)
        self.replica.load(puts, context or Context())
        self.intake = Intake((member, incarnation), settings, self.replica, rng)
        self.pending_acks = PendingAcks(member, settings.size)
        self.counter = 0  # of this member's newest write
        self.live: tuple[str, ...] = ()  # other members, as in ViewChanged
        self.gone: tuple[str, ...] = ()
        self.settling = Settling(settings.reap_after_s)
        self.peer_contexts: dict[str, Context] = {}  # the newest received from each member of the view
        # Own writes that are staged or being written to disk, and their deadlines. A write becomes None once
        # it has missed its deadline and has been reported as not confirmed.
        self.unpersisted: dict[Dot, tuple[Write | Delete | None, float]] = {}
        self.staged: list[Op] = []  # for the next batches
        self.batch = 0  # number of the newest batch
        self.persisting: tuple[list[Op], Delta] | None = None  # the batch that is being written to disk
        self.next_forward_s = 0.0  # when new heads are forwarded next
        self.next_compare_s = 0.0  # when the next comparison is due
        self.compare_turn = 0  # picks the members to compare with in turn while unsettled
        self.to_forward: list[tuple[Record, str]] = []  # new heads to forward, and who sent each
        self.persist_failures = 0

    # Reading.

    def read(self, kind: str, key: str) -> tuple[tuple[tuple[Record, bytes | None], ...], Context]:
        """The siblings of a key with payloads (tombstones: None), and the context to pass with a write."""
        siblings = self.replica.siblings((kind, key))
        payloads = self.replica.payloads
        records = tuple((r, None if r.deleted else payloads[r.sha256]) for r in siblings)
        return records, self.replica.key_context((kind, key))

    def keys(self, kind: str) -> list[str]:
        """The keys of a kind that have records, tombstones included, sorted."""
        return sorted(key for record_kind, key in self.replica.by_key if record_kind == kind)

    # Events.

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """The actions that follow from `event`. No message from another member makes it raise."""
        out: list[Action] = []
        match event:
            case Write() | Delete():
                self._on_write(now_s, event, out)
            case MessageReceived(member, message):
                self._on_message(now_s, member, message, out)
            case Persisted(batch):
                self._on_persisted(now_s, batch, out)
            case PersistFailed(batch, reason):
                self._on_persist_failed(now_s, batch, reason, out)
            case ViewChanged(live, gone):
                self.live = tuple(m for m in live if m != self.own_name)
                self.gone = tuple(m for m in gone if m != self.own_name and m not in live)
                known = {*self.live, *self.gone}
                self.peer_contexts = {m: c for m, c in self.peer_contexts.items() if m in known}
                self.settling.on_view_changed(now_s, self.live, self.gone)
                self._acknowledge_reached(out)
            case Tick():
                self._on_tick(now_s, out)
        self._flush(now_s, out)
        for record, why in self.intake.over_limit:
            fields = (("writer", record.dot.member), ("kind", record.kind), ("key", record.key))
            out.append(LogEvent("ledger.over_limit", (*fields, ("reason", why))))
        self.intake.over_limit.clear()
        return out

    def _on_write(self, now_s: float, event: Write | Delete, out: list[Action]) -> None:
        """Stages an own write, or refuses it."""
        limits = self.settings.limits
        dot = Dot(self.own_name, self.incarnation, self.counter + 1)
        put: Put | str = prepare(self.replica, event, dot)
        if len(self.unpersisted) >= limits.staged:
            put = f"over {limits.staged} writes wait for the disk"
        elif len(self.pending_acks.by_dot) >= limits.waiting and event.wait is not Level.LOCAL:
            put = f"over {limits.waiting} writes wait for confirmations from other members"
        if isinstance(put, str):
            out.append(Refused(event.id, put))
            return
        self.counter += 1
        self.unpersisted[dot] = event, now_s + event.timeout_s
        self.staged.append(self.intake.stage(put))

    def _on_message(self, now_s: float, member: str, message: Message, out: list[Action]) -> None:
        replica, settled = self.replica, self.settling.settled
        idle = self.persisting is None and not self.staged
        match message:
            case Heads():
                have, puts = self.intake.on_heads(now_s, member, message)
                self.staged += puts
                if message.confirm and have:
                    out.append(Send(member, Held(tuple(have))))
            case Want(dots):
                held = [replica.records[dot] for dot in dots if dot in replica.records]
                self._send_heads(out, [member], held)
            case Held(dots):
                self.pending_acks.record_holders(member, dots)
                self._acknowledge_reached(out)
            case Fetch(sha256, offset, length):
                payload = replica.payloads.get(sha256)
                data = None if payload is None else payload[offset : offset + length]
                out.append(Send(member, Piece(sha256, offset, len(payload or b""), data)))
            case Piece():
                fetches = self.intake.fetches
                before = fetches.mismatched
                sends, complete, payload = fetches.on_piece(now_s, member, message)
                if fetches.mismatched > before:
                    out.append(LogEvent("ledger.payload_mismatched", (("member", member),)))
                out += [Send(to, fetch) for to, fetch in sends]
                self.staged += [self.intake.stage(Put(record, payload)) for record in complete]
            case Digest():
                self._record_peer(member, anti_entropy.sender_context(replica, message), message.settled)
                outcome = anti_entropy.on_digest(replica, settled, idle, message)
                self._apply_comparison(now_s, member, outcome, out)
            case Buckets():
                start = self.rng.randrange(BUCKET_COUNT)
                outcome = anti_entropy.on_buckets(replica, settled, start, message)
                self._apply_comparison(now_s, member, outcome, out)
            case Leaves():
                self._record_peer(member, message.context, message.settled)
                outcome = anti_entropy.on_leaves(replica, settled, idle, self.intake.excluded_dots(), message)
                self._apply_comparison(now_s, member, outcome, out)

    def _apply_comparison(
        self, now_s: float, member: str, outcome: anti_entropy.ComparisonOutcome, out: list[Action]
    ) -> None:
        """Stages the join, if it changes anything, and sends the messages."""
        join = outcome.join
        if join is not None and (join.drops or not self.replica.context.includes(join.context)):
            self.staged.append(join)
        elif join is not None and join.settles:
            self._mark_settled(out)
        out += [Send(member, message) for message in outcome.messages]
        if outcome.incomplete:
            self.next_compare_s = min(self.next_compare_s, now_s + self.settings.recompare_s)

    def _on_persisted(self, now_s: float, batch: int, out: list[Action]) -> None:
        """The batch is on disk: applies it, and reports it to writers, other members and readers."""
        if self.persisting is None or batch != self.batch:
            return
        ops, delta = self.persisting
        self.persisting = None
        touched = self.replica.commit(delta)
        if any(isinstance(op, Join) for op in ops):
            self.intake.fetches.remove_heads(lambda record: self.replica.context.covers(record.dot))
        confirmed: dict[str, list[Dot]] = {}
        for op in ops:
            if not isinstance(op, Put):
                if op.settles:
                    self._mark_settled(out)
                continue
            dot = op.record.dot
            write, until_s = self.unpersisted.pop(dot, (None, 0.0))
            sender, waiting = self.intake.on_persisted(dot)
            if dot in delta.refused:
                if write is not None:
                    out.append(Refused(write.id, delta.refused[dot]))
                else:
                    self.intake.defer(now_s, op.record, delta.refused[dot])
                continue
            if write is not None:
                self._on_own_write_persisted(now_s, op.record, write, until_s, out)
            elif sender:
                self.to_forward.append((op.record, sender))
            for member in waiting:
                confirmed.setdefault(member, []).append(dot)
        for member, dots in confirmed.items():
            out.append(Send(member, Held(tuple(dots))))
        for kind, key in sorted(touched):
            records, context = self.read(kind, key)
            out.append(KeyChanged(kind, key, records, context))
        self._acknowledge_reached(out)

    def _on_own_write_persisted(
        self, now_s: float, record: Record, write: Write | Delete, until_s: float, out: list[Action]
    ) -> None:
        """Sends an own write that is on disk to others: to all if its level needs their confirmation."""
        pending = PendingAck(
            write.id, record, write.wait, until_s, now_s + self.settings.resend_s, {self.own_name}
        )
        self.pending_acks.by_dot[record.dot] = pending
        if write.wait is not Level.LOCAL:
            self._send_heads(out, self.live, [record], fresh=True, confirm=True)
            return
        self.to_forward.append((record, self.own_name))
        if write.notify in self.live:
            self._send_heads(out, [write.notify], [record], fresh=True)

    def _on_persist_failed(self, now_s: float, batch: int, reason: str, out: list[Action]) -> None:
        """The batch is not on disk: refuses its own writes, and retries what came from other members."""
        if self.persisting is None or batch != self.batch:
            return
        ops, _ = self.persisting
        self.persisting = None
        self.persist_failures += 1
        for op in ops:
            if not isinstance(op, Put):
                continue  # a join: the next comparison computes it again
            if op.record.dot not in self.unpersisted:
                self.intake.on_persist_failed(now_s, op)
                continue
            write, _ = self.unpersisted.pop(op.record.dot)
            self.intake.on_persisted(op.record.dot)
            if write is not None:
                out.append(Refused(write.id, f"the disk did not take the write: {reason}"))

    def _on_tick(self, now_s: float, out: list[Action]) -> None:
        self.staged += self.intake.tick(now_s)
        if self.to_forward and now_s >= self.next_forward_s:
            self.next_forward_s = now_s + self.settings.forward_interval_s
            self._forward(out)
        for dot, (write, until_s) in self.unpersisted.items():
            if write is not None and now_s >= until_s:
                self.unpersisted[dot] = None, until_s
                out.append(
                    NotConfirmed(
                        write.id,
                        dot,
                        "the disk has not answered in time: it is not known whether the write is kept",
                    )
                )
        for pending in self.pending_acks.pop_expired(now_s):
            out.append(
                NotConfirmed(
                    pending.id,
                    pending.record.dot,
                    self.pending_acks.timeout_reason(pending, self.live, self.gone),
                )
            )
        for pending in self.pending_acks.by_dot.values():
            if now_s >= pending.next_resend_s:
                pending.next_resend_s = now_s + self.settings.resend_s
                behind = [m for m in self.live if m not in pending.holders]
                self._send_heads(out, behind, [pending.record], fresh=True, confirm=True)
        if self.settling.may_settle_alone(now_s, self.live):
            self._mark_settled(out)
        if now_s >= self.next_compare_s and self.live and len(self.intake.fetches.pending) < HEADS_MAX:
            self._start_comparison(now_s, out)

    def _start_comparison(self, now_s: float, out: list[Action]) -> None:
        """Compares with a random live member, or while unsettled with each in turn; collects tombstones."""
        settled = self.settling.settled
        self.next_compare_s = now_s + (self.settings.digest_s if settled else self.settings.recompare_s)
        self.compare_turn += 1
        member = self.rng.choice(self.live) if settled else self.live[self.compare_turn % len(self.live)]
        out.append(Send(member, anti_entropy.digest_message(self.replica, settled)))
        if settled and self.persisting is None and not self.staged:
            collectable = collectable_tombstones(self.replica, {*self.live, *self.gone}, self.peer_contexts)
            if collectable:
                self.staged.append(Join(Context(), tuple(record.dot for record in collectable)))

    # Helpers of the event handlers.

    def _flush(self, now_s: float, out: list[Action]) -> None:
        """Starts the next batch if none is being written to disk, and requests payload pieces."""
        while self.staged and self.persisting is None:
            ops, self.staged = self.staged[:BATCH_OPS], self.staged[BATCH_OPS:]
            delta = self.replica.plan(ops)
            self.batch += 1
            self.persisting = ops, delta
            if delta.puts or delta.drops or delta.context != self.replica.context:
                drops = tuple(record.dot for record in delta.drops)
                out.append(Persist(self.batch, delta.puts, drops, delta.context))
            else:
                self._on_persisted(now_s, self.batch, out)
        out += [Send(to, fetch) for to, fetch in self.intake.fetches.next_fetches(now_s, self.live)]

    def _acknowledge_reached(self, out: list[Action]) -> None:
        """Acknowledges the writes that have reached their level."""
        for pending, held in self.pending_acks.pop_reached(self.live, self.gone):
            out.append(Acknowledged(pending.id, pending.record.dot, pending.level, held))

    def _record_peer(self, member: str, context: Context | None, settled: bool) -> None:
        """Records what a member of the view reported of itself."""
        if member in self.live or member in self.gone:
            if context is not None:
                self.peer_contexts[member] = context
            self.settling.record_peer(member, settled)

    def _mark_settled(self, out: list[Action]) -> None:
        if not self.settling.settled:
            self.settling.settled = True
            out.append(LogEvent("ledger.settled", (("records", len(self.replica.records)),)))

    def _random_members(self, count: int) -> list[str]:
        return self.rng.sample(self.live, min(count, len(self.live)))

    def _forward(self, out: list[Action]) -> None:
        """Sends new heads that are still held to `fanout` random members, but none back to its sender."""
        held = [(record, sender) for record, sender in self.to_forward if record.dot in self.replica.records]
        self.to_forward = []
        for member in self._random_members(self.settings.fanout) if held else ():
            self._send_heads(out, [member], [r for r, sender in held if sender != member], fresh=True)

    def _send_heads(
        self, out: list[Action], members: Iterable[str], records: list[Record],
        fresh: bool = False, confirm: bool = False,
    ) -> None:  # fmt: skip
        for heads in batch_heads(records, self.replica.payloads, fresh, confirm):
            out += [Send(member, heads) for member in members]
