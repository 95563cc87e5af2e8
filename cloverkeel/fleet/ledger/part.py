"""The ledger beside one gateway, for whatever parts keep records in it: begun once the state store is this
process's, and shared."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.interface import Settings
from cloverkeel.fleet.ledger.shell import LedgerService
from cloverkeel.fleet.ledger.store import StoreError

if TYPE_CHECKING:
    from cloverkeel.fleet.membership.service import Membership
    from cloverkeel.fleet.state import Keeper

STORE_POLL_S = 0.1  # between two looks whether the state store is this process's
START_RETRY_S = 5.0  # after a state file that the ledger could not use


class LedgerPart:
    """`start` after membership has; `close` after the parts that use it and before the state store is let go.
    Any number of users wait for `ready`."""

    def __init__(self, keeper: Keeper, settings: Settings) -> None:
        self.keeper, self.settings = keeper, settings
        self.ledger: LedgerService | None = None
        self.started = asyncio.Event()
        self.start_task: asyncio.Task[None] | None = None

    def start(self, membership: Membership) -> None:
        """Begins in the background once the state store is this process's (in an upgrade the one before holds
        it), and again RETRY_S after each file that cannot be used."""
        self.start_task = asyncio.get_running_loop().create_task(self._start_ledger(membership))

    async def _start_ledger(self, membership: Membership) -> None:
        while True:
            while self.keeper.store is None or not self.keeper.store.boots:
                await asyncio.sleep(STORE_POLL_S)
            ledger = LedgerService(membership, self.keeper.directory, self.settings)
            try:
                await ledger.start()
                break
            except StoreError as error:
                event("ledger.unusable", directory=self.keeper.directory, reason=str(error))
                await asyncio.sleep(START_RETRY_S)
        self.ledger = ledger
        self.started.set()

    async def ready(self) -> LedgerService:
        """The ledger, once it has started: that may be late, or never."""
        await self.started.wait()
        assert self.ledger is not None
        return self.ledger

    def counters(self) -> dict[str, int]:
        """For telemetry."""
        found = self.ledger.counters() if self.ledger is not None else {}
        return {f"ledger_{name}_total": number for name, number in found.items()}

    async def close(self) -> None:
        if self.start_task is not None:
            self.start_task.cancel()
        if self.ledger is not None:
            await self.ledger.close()
