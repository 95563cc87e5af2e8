"""Runs the activation core in a gateway: connects it to the ledger, the membership view, the timer and the
engine."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import Any, Literal

from caperdrift.policy.breaker import State

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.interface import Acknowledged, KeyChanged, Level
from cloverkeel.fleet.ledger.shell import LedgerService, Siblings, WriteRefused, WriteResult
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import Status
from cloverkeel.tasks import BackgroundTasks
from cloverkeel.transforms.activation.core import Activation
from cloverkeel.transforms.activation.engine import Engine, candidate_predecessors, compile_checked
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
from cloverkeel.transforms.activation.records import (
    KINDS,
    MAX_PUBLISHED_BYTES,
    MAX_SLOTS,
    ORDER,
    Order,
    encode,
)
from cloverkeel.transforms.activation.status import status

TICK_S = 0.1  # interval of Tick events


class Activator:
    """Activation at one gateway. Created once `ledger` has started; to be closed before `ledger` is."""

    def __init__(self, ledger: LedgerService, settings: Settings, engine: Engine) -> None:
        self.ledger, self.engine = ledger, engine
        engine.report_breaker = lambda id, is_open: self.handle(BreakerChanged(id, is_open))
        self.membership = ledger.membership
        process_id = secrets.randbits(62)
        loaded = [
            _records_changed(kind, key, ledger.read(kind, key)[0])
            for kind in KINDS
            for key in ledger.keys(kind)
        ]
        self.core = Activation(
            self.membership.name, process_id, ledger.store_id, settings, random.Random(), loaded
        )
        # Versions staged while this process followed its predecessor's file keep running without a gap.
        self.core.stage_results |= dict.fromkeys(engine.staged, "")
        self.loop = asyncio.get_running_loop()
        self.tasks = BackgroundTasks()
        self.tick_timer: asyncio.TimerHandle | None = None
        self.view: ViewChanged | None = None
        self.closed = False
        # Versions by name, and the versions that candidates among them may replace.
        self.activated: tuple[dict[str, str], dict[str, str]] = {}, {}

    def start(self) -> None:
        """Subscribes to ledger and membership, and starts the timer."""
        self.ledger.on_key_changed(self._on_key_changed)
        self.membership.on_change(lambda _update, _before: self._update_view())
        for id, installed in self.engine.staged.items():
            if installed.breaker.state is not State.CLOSED:
                self.handle(BreakerChanged(id, True))
        self._tick()

    def close(self) -> None:
        """Stops the timer and all tasks; events are ignored from now on."""
        self.closed = True
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.tasks.cancel()

    # For developers.

    async def publish(self, source: bytes, wait: Level, timeout_s: float) -> tuple[Order, str, WriteResult]:
        """Orders all gateways to run a file. Returns the order, the file's SHA-256, and how many members
        hold the order. Raises ValueError if the file cannot be published, WriteRefused if the ledger did
        not store it."""
        if len(source) > MAX_PUBLISHED_BYTES:
            raise ValueError(
                f"the file has {len(source)} bytes; at most {MAX_PUBLISHED_BYTES} can be published"
            )
        compiled = await asyncio.to_thread(compile_checked, source)
        name = compiled.manifest.name
        if reason := self.engine.name_conflict(name):
            raise ValueError(reason)
        names = self.core.ledger_state.names()
        if name not in names and len(names) >= MAX_SLOTS:
            raise ValueError(f"the limit of {MAX_SLOTS} transforms is reached")
        order, result = await self._write_order(name, "publish", source, wait, timeout_s)
        return order, compiled.sha256, result

    async def rollback(self, name: str, wait: Level, timeout_s: float) -> tuple[Order, WriteResult]:
        """Orders all gateways to remove the candidate, or the active version if there is none. Raises
        ValueError if there is nothing to remove, WriteRefused if the ledger did not store the order."""
        slot = self.core.ledger_state.epoch.slot(name)
        if not slot.active and not slot.candidate and not self.core.ledger_state.open_orders(name):
            raise ValueError(f"there is nothing of {name} to roll back")
        return await self._write_order(name, "rollback", b"", wait, timeout_s)

    async def _write_order(
        self, name: str, verb: Literal["publish", "rollback"], source: bytes, wait: Level, timeout_s: float
    ) -> tuple[Order, WriteResult]:
        number = self.core.ledger_state.next_number(name)
        order = Order(name, secrets.token_hex(8), number, verb, source)
        context = self.ledger.read(ORDER, order.key)[1]
        result = await self.ledger.write(ORDER, order.key, encode(order), context, wait, timeout_s)
        outcome = f"held by {result.held}" if isinstance(result, Acknowledged) else result.reason
        event("transforms.ordered", verb=verb, transform=name, version=order.id, number=number,
              wait=wait.value, outcome=outcome)  # fmt: skip
        return order, result

    def status(self) -> dict[str, Any]:
        """See `status.status`."""
        return status(self.core)

    # Events in, actions out.

    def handle(self, core_event: Event) -> None:
        """Passes an event to the core and performs the resulting actions."""
        if self.closed:
            return
        for action in self.core.handle(self.loop.time(), core_event):
            self._perform(action)
        if self.activated != self._target_versions():
            self._activate()  # same versions, but a candidate has become the active version or vice versa

    def _target_versions(self) -> tuple[dict[str, str], dict[str, str]]:
        return dict(self.core.active), candidate_predecessors(self.core.epoch, self.core.active)

    def _activate(self) -> None:
        self.activated = self._target_versions()
        self.engine.activate(*self.activated)
        self.engine.retain(set(self.core.stage_results))

    def _perform(self, action: Action) -> None:
        match action:
            case WriteRecord() | DeleteRecord():
                self.tasks.spawn(self._write(action))
            case Stage():
                self.tasks.spawn(self._stage(action))
            case Activate(epoch, versions):
                self._activate()
                listed = ",".join(f"{name}:{id}" for name, id in versions.items())
                event("transforms.activated", epoch=epoch, versions=listed or "-")
            case LogEvent(name, fields):
                event(name, **dict(fields))

    async def _write(self, action: WriteRecord | DeleteRecord) -> None:
        """Writes or deletes a record. If the ledger refuses a write, the core repeats it, as the ledger
        does not show the record."""
        kind, key = action.kind, action.key
        context = self.ledger.read(kind, key)[1]
        try:
            if isinstance(action, WriteRecord):
                # At level quorum the ledger sends to all members at once, and again to those that do not
                # confirm.
                wait = Level.LOCAL if action.notify else Level.QUORUM
                await self.ledger.write(kind, key, encode(action.body), context, wait, notify=action.notify)
            else:
                await self.ledger.delete(kind, key, context)
        except WriteRefused as error:
            if not self.closed:
                event("transforms.not_written", kind=kind, key=key, reason=str(error))

    async def _stage(self, action: Stage) -> None:
        try:
            compiled = await asyncio.to_thread(compile_checked, action.source)
            reason = self.engine.install(action.id, action.name, compiled)
        except ValueError as error:
            reason = str(error).partition("\n")[0]
        except (MemoryError, RecursionError) as error:
            reason = type(error).__name__
        self.handle(Staged(action.id, reason))

    def _on_key_changed(self, changed: KeyChanged) -> None:
        if changed.kind in KINDS:
            self.handle(_records_changed(changed.kind, changed.key, changed.records))

    # Timer and membership view.

    def _tick(self) -> None:
        self.tick_timer = self.loop.call_later(TICK_S, self._tick)
        self._update_view()
        core = self.ledger.core
        if core is not None and core.settling.settled != self.core.settled:
            self.handle(Settled(core.settling.settled))
        self.handle(Tick())

    def _update_view(self) -> None:
        if not self.membership.joined.is_set():
            return
        updates = self.membership.view()
        live = sorted(name for name, update in updates.items() if update.status in LIVE_STATUSES)
        known = sorted(
            name
            for name, update in updates.items()
            if update.status in LIVE_STATUSES or update.status is Status.DEAD
        )
        view = ViewChanged(tuple(live), tuple(known))
        if view != self.view:
            self.view = view
            self.handle(view)


def _records_changed(kind: str, key: str, records: Siblings) -> RecordsChanged:
    return RecordsChanged(kind, key, tuple(payload for _, payload in records if payload is not None))
