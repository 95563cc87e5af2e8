"""Starts one ledger in a gateway, shared by all parts that keep records in it.

It starts once this process owns the state store.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.interface import Settings
from cloverkeel.fleet.ledger.shell import LedgerService
from cloverkeel.fleet.ledger.store import StoreError

if TYPE_CHECKING:
    from cloverkeel.fleet.membership.service import Membership
    from cloverkeel.fleet.state import StateWriter

STORE_POLL_S = 0.1  # between two checks whether this process owns the state store
START_RETRY_S = 5.0  # between two attempts to open a state file that the ledger could not use


class LedgerPart:
    """The gateway's ledger, from before it can start.

    Call `start` after membership has started, and `close` after the parts that use the ledger and before the
    state store is released. Any number of users may wait for `ready`.
    """

    def __init__(self, keeper: StateWriter, settings: Settings) -> None:
        self.keeper, self.settings = keeper, settings
        self.ledger: LedgerService | None = None
        self.started = asyncio.Event()
        self.start_task: asyncio.Task[None] | None = None

    def start(self, membership: Membership) -> None:
        """Starts the ledger in the background, once this process owns the state store.

        In an upgrade the predecessor owns it until it ends. Where the file cannot be used, the start is
        retried every START_RETRY_S.
        """
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
        """Waits for the ledger to start, which may take long or never happen, and returns it."""
        await self.started.wait()
        assert self.ledger is not None
        return self.ledger

    def counters(self) -> dict[str, int]:
        """The ledger's counters under their metric names; empty before it has started."""
        counters = self.ledger.counters() if self.ledger is not None else {}
        return {f"ledger_{name}_total": value for name, value in counters.items()}

    async def close(self) -> None:
        """Stops the ledger, or the attempt to start it."""
        if self.start_task is not None:
            self.start_task.cancel()
        if self.ledger is not None:
            await self.ledger.close()
