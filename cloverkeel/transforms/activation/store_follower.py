"""Follows the predecessor's state store during an upgrade: while the old process holds the store, the new one
runs the active set that the file shows. It neither votes nor reports, since the old process does so under the
same member name."""

from __future__ import annotations

import asyncio
import contextlib

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.reader import Reader
from cloverkeel.fleet.ledger.store import StoreError
from cloverkeel.transforms.activation.engine import Engine, candidate_predecessors, compile_checked
from cloverkeel.transforms.activation.ledger_state import LedgerState, active_versions
from cloverkeel.transforms.activation.records import KINDS

POLL_INTERVAL_S = 0.2  # between two checks whether the file has changed


class StoreFollower:
    """Reads the file until `stop_requested` is set. Staged versions stay in the engine."""

    def __init__(self, directory: str, member: str, engine: Engine) -> None:
        self.directory, self.member, self.engine = directory, member, engine
        self.stage_results: dict[str, str] = {}  # by version: "" if staged, else why not
        self.activated: tuple[dict[str, str], dict[str, str]] = {}, {}
        self.first_read_done = asyncio.Event()  # set after the first read, whether it succeeded or not
        self.stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Reads the file at intervals; ends early if it cannot be read, after logging the reason."""
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
        """Reads the file if it has changed, stages new versions and activates what the epoch says."""
        puts = await asyncio.to_thread(reader.puts, frozenset(KINDS))
        if puts is None:
            return
        by_key: dict[tuple[str, str], list[bytes]] = {}
        for put in puts:
            by_key.setdefault((put.record.kind, put.record.key), []).append(put.payload)
        ledger_state = LedgerState()
        for (kind, key), payloads in by_key.items():
            ledger_state.update_key(kind, key, tuple(payloads))
        await self._stage(ledger_state)
        staged = frozenset(id for id, reason in self.stage_results.items() if not reason)
        active = active_versions(ledger_state.epoch, self.member, staged)
        activated = active, candidate_predecessors(ledger_state.epoch, active)
        if activated != self.activated:
            self.activated = activated
            self.engine.activate(*activated)
            versions = ",".join(f"{name}:{id}" for name, id in active.items())
            event("transforms.followed", epoch=ledger_state.epoch.number, versions=versions or "-")

    async def _stage(self, ledger_state: LedgerState) -> None:
        for id, order in ledger_state.versions_to_stage().items():
            if id in self.stage_results or not order.source:
                continue
            try:
                compiled = await asyncio.to_thread(compile_checked, order.source)
                self.stage_results[id] = self.engine.install(id, order.name, compiled)
            except (ValueError, MemoryError, RecursionError) as error:
                self.stage_results[id] = f"{error!r:.200}"
