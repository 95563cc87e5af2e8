"""Runs the conductor in the gateway that holds the duty: polls the members and writes to the ledger."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Protocol

from cloverkeel.fleet.duties.shell import DutyService as Duties
from cloverkeel.fleet.duties.shell import NotHeldError
from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.interface import Acknowledged, Level
from cloverkeel.fleet.ledger.shell import LedgerService as Ledger
from cloverkeel.fleet.ledger.shell import WriteRefused, WriteResult
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.rollout.analysis import counts_from_list
from cloverkeel.fleet.rollout.core import (
    Conductor,
    CountsReported,
    DropOrder,
    Event,
    LogEvent,
    MembersChanged,
    OrdersChanged,
    ProgressWritten,
    Tick,
    WriteFailed,
    WriteProgress,
)
from cloverkeel.fleet.rollout.records import ORDER, PROGRESS, PROGRESS_KEY, Order, Progress, encode
from cloverkeel.fleet.rollout.settings import CONDUCTOR_DUTY
from cloverkeel.tasks import BackgroundTasks

if TYPE_CHECKING:
    from cloverkeel.fleet.membership.service import Membership

TICK_INTERVAL_S = 0.1  # between two ticks of the core
POLL_INTERVAL_S = 0.5  # between two polls of a member; a call times out after twice as long
COUNTS_CALL = "rollout.counts"  # call to every member for its counts
WRITE_TIMEOUT_S = 5.0  # for a step to be acknowledged by a quorum


class ServedRollout(Protocol):
    """The rollout as this gateway serves it."""

    progress: Progress

    def counts_report(self) -> list[Any]:
        """This gateway's answer to `COUNTS_CALL`."""


class ConductorService:
    """Conducts rollouts while this process holds the duty under `token`."""

    def __init__(
        self, token: int, served: ServedRollout, ledger: Ledger, duties: Duties, membership: Membership
    ) -> None:
        self.served, self.ledger, self.duties, self.membership = served, ledger, duties, membership
        self.core = Conductor(token, served.progress)
        self.loop = asyncio.get_running_loop()
        self.tasks = BackgroundTasks()
        self.polled_members: set[str] = set()  # members whose answer is pending
        self.tick_timer = self.loop.call_soon(self._tick)
        self.poll_timer = self.loop.call_soon(self._poll_members)
        self.closed = False

    def orders_changed(self, orders: tuple[Order, ...]) -> None:
        """Passes on the orders that the ledger now holds."""
        self._handle(OrdersChanged(orders))

    def verdict(self) -> dict[str, str]:
        """The last verdict on the current stage, for operators."""
        return {"outcome": self.core.verdict.outcome, "why": self.core.verdict.why}

    def close(self) -> None:
        """Stops conducting; pending writes and polls are cancelled."""
        self.closed = True
        self.tick_timer.cancel()
        self.poll_timer.cancel()
        self.tasks.cancel()

    def _handle(self, core_event: Event) -> None:
        if self.closed:
            return
        for action in self.core.handle(self.loop.time(), core_event):
            match action:
                case WriteProgress(progress):
                    self.tasks.spawn(self._write(progress))
                case DropOrder(id):
                    self.tasks.spawn(self._drop_order(id))
                case LogEvent(name, fields):
                    event(name, **dict(fields))

    def _tick(self) -> None:
        self.tick_timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)
        self._handle(Tick())

    async def _write(self, progress: Progress) -> None:
        """Writes a step and reports to the core whether a quorum holds it."""
        try:
            answer = await self.duties.run_if_held(
                CONDUCTOR_DUTY, lambda token: self._begin_write(token, progress)
            )
        except (NotHeldError, WriteRefused) as error:
            self._handle(WriteFailed(progress.version, str(error)))
            return
        if isinstance(answer, Acknowledged):
            self._handle(ProgressWritten(progress.version))
        else:  # stored here, and may still reach a quorum: the retry supersedes it
            self._handle(WriteFailed(progress.version, answer.reason))

    def _begin_write(self, token: int, progress: Progress) -> asyncio.Task[WriteResult]:
        """Starts the write of a step under the duty's token.

        Raises NotHeldError if the ledger already shows a version as new, which another conductor has written.
        """
        if token != progress.token or self.served.progress.version >= progress.version:
            raise NotHeldError("another conductor's step is newer")
        _, context = self.ledger.read(PROGRESS, PROGRESS_KEY)
        write = self.ledger.write(
            PROGRESS, PROGRESS_KEY, encode(progress), context, Level.QUORUM, WRITE_TIMEOUT_S
        )
        return self.loop.create_task(write)

    async def _drop_order(self, id: str) -> None:
        _, context = self.ledger.read(ORDER, id)
        with contextlib.suppress(WriteRefused):  # the order stays until the next conductor drops it
            await self.ledger.delete(ORDER, id, context)

    # Members

    def _poll_members(self) -> None:
        """Polls all live members whose previous answer is not pending."""
        self.poll_timer = self.loop.call_later(POLL_INTERVAL_S, self._poll_members)
        live = {update.name: update.address for update in self.membership.live()}
        self._handle(MembersChanged(tuple(sorted(live))))
        for member, address in live.items():
            if member not in self.polled_members:
                self.polled_members.add(member)
                self.tasks.spawn(self._poll_member(member, address))

    async def _poll_member(self, member: str, address: str) -> None:
        """Gets one member's report; ignores a failed call or a malformed answer."""
        try:
            if member == self.membership.name:
                answer = self.served.counts_report()
            else:
                answer = await self.membership.calls.call(address, COUNTS_CALL, None, POLL_INTERVAL_S * 2)
            counts_id, version, new, base = answer
            token, step = version
            reported = CountsReported(
                member, int(counts_id), (int(token), int(step)), counts_from_list(new), counts_from_list(base)
            )
        except (CallFailed, TypeError, ValueError):
            return  # it is polled again after POLL_INTERVAL_S
        finally:
            self.polled_members.discard(member)
        self._handle(reported)
