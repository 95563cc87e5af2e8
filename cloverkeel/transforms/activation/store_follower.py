"""What the new process of an upgrade runs while the one before holds the state store: what the file shows of
the active set. It neither votes nor reports; that is the process before, under the same name."""

from __future__ import annotations

import asyncio
import contextlib

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.reader import Reader
from cloverkeel.fleet.ledger.store import StoreError
from cloverkeel.transforms.activation.ledger_state import LedgerState, active_versions
from cloverkeel.transforms.activation.engine import Engine, candidate_predecessors, compile_checked
from cloverkeel.transforms.activation.records import KINDS

POLL_INTERVAL_S = 0.2  # between two looks whether the file has changed


class StoreFollower:
    """`run` until `over` is set; what is staged stays in the engine."""

    def __init__(self, directory: str, member: str, engine: Engine) -> None:
        self.directory, self.member, self.engine = directory, member, engine
        self.stage_results: dict[str, str] = {}  # versions: "" or why they cannot be run
        self.activated: tuple[dict[str, str], dict[str, str]] = {}, {}
        self.first_read_done = asyncio.Event()  # the first look has been taken, whatever it gave
        self.stop_requested = asyncio.Event()

    async def run(self) -> None:
        try:
            with contextlib.closing(await asyncio.to_thread(Reader, self.directory)) as reader:
                while not self.stop_requested.is_set():
                    await self._update(reader)
                    self.first_read_done.set()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.stop_requested.wait(), POLL_INTERVAL_S)
        except StoreError as error:
            event("ledger.unreadable", directory=self.directory, reason=str(error))
        finally:
            self.first_read_done.set()

    async def _update(self, reader: Reader) -> None:
        puts = await asyncio.to_thread(reader.puts, frozenset(KINDS))
        if puts is None:
            return
        by_key: dict[tuple[str, str], list[bytes]] = {}
        for put in puts:
            by_key.setdefault((put.record.kind, put.record.key), []).append(put.payload)
        book = LedgerState()
        for (kind, key), payloads in by_key.items():
            book.update_key(kind, key, tuple(payloads))
        await self._stage(book)
        able = frozenset(id for id, why in self.stage_results.items() if not why)
        active = active_versions(book.epoch, self.member, able)
        shown = active, candidate_predecessors(book.epoch, active)
        if shown != self.activated:
            self.activated = shown
            self.engine.activate(*shown)
            versions = ",".join(f"{name}:{id}" for name, id in active.items())
            event("transforms.followed", epoch=book.epoch.number, versions=versions or "-")

    async def _stage(self, book: LedgerState) -> None:
        for id, order in book.versions_to_stage().items():
            if id in self.stage_results or not order.source:
                continue
            try:
                compiled = await asyncio.to_thread(compile_checked, order.source)
                self.stage_results[id] = self.engine.install(id, order.name, compiled)
            except (ValueError, MemoryError, RecursionError) as error:
                self.stage_results[id] = f"{error!r:.200}"
