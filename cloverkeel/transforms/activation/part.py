"""Activation as a part of a gateway process: starts and closes the activator, and answers operators'
calls."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from cloverkeel.fleet.ledger.interface import Acknowledged
from cloverkeel.fleet.ledger.part import LedgerPart
from cloverkeel.fleet.ledger.shell import WriteRefused, WriteResult
from cloverkeel.fleet.operator_queries import (
    JSON_CONTENT_TYPE,
    LEDGER_NOT_STARTED,
    LEVEL_TIMEOUT_S,
    error_answer,
    query_level,
    query_value,
)
from cloverkeel.operator import Answer
from cloverkeel.transforms.activation.configuration import FleetSettings
from cloverkeel.transforms.activation.engine import Engine
from cloverkeel.transforms.activation.records import Order
from cloverkeel.transforms.activation.shell import Activator
from cloverkeel.transforms.activation.store_follower import StoreFollower

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

FIRST_SET_WAIT_S = 1.0  # how long the gateway's start waits for the last active set
STAGING_POLL_S = 0.01  # between two checks whether all versions in the store are staged


class TransformsPart:
    """Activation of one gateway. To be started after the ledger's part, and closed before it."""

    def __init__(self, settings: FleetSettings, gateway: Gateway, ledger: LedgerPart) -> None:
        self.settings, self.ledger = settings, ledger
        self.store_follower: StoreFollower | None = None
        self.follower_task: asyncio.Task[None] | None = None
        self.engine = Engine(gateway, lambda _id, _is_open: None)
        self.activator: Activator | None = None
        self.start_task: asyncio.Task[None] | None = None

    async def start(self, member: str) -> None:
        """Starts activation as soon as the ledger is ready. In an upgrade that is when the predecessor
        process has ended; until then this process runs the active set that the predecessor's file shows.
        Waits up to FIRST_SET_WAIT_S for either, so that the first clients get the last active set."""
        loop = asyncio.get_running_loop()
        keeper = self.ledger.keeper
        waits = []
        if keeper.store is None:  # another process holds the state store
            self.store_follower = StoreFollower(keeper.directory, member, self.engine)
            self.follower_task = loop.create_task(self.store_follower.run())
            waits.append(loop.create_task(self.store_follower.first_read_done.wait()))
        self.start_task = loop.create_task(self._start_activator())
        await asyncio.wait(
            [self.start_task, *waits], timeout=FIRST_SET_WAIT_S, return_when=asyncio.FIRST_COMPLETED
        )

    async def _start_activator(self) -> None:
        ledger = await self.ledger.ready()
        if self.store_follower is not None and self.follower_task is not None:
            self.store_follower.stop_requested.set()
            await self.follower_task
        self.activator = Activator(ledger, self.settings.settings, self.engine)
        self.activator.start()
        while self.activator.core.staging:
            await asyncio.sleep(STAGING_POLL_S)

    def close(self) -> None:
        """Stops the follower and the activator."""
        if self.follower_task is not None:
            self.follower_task.cancel()
        if self.start_task is not None:
            self.start_task.cancel()
        if self.activator is not None:
            self.activator.close()

    def gauges(self) -> dict[str, int]:
        """Metrics: the number of the epoch that this gateway runs."""
        return {"transforms_epoch": self.activator.core.epoch.number} if self.activator is not None else {}

    # Operators' calls.

    def status(self) -> Answer:
        """GET /api/transforms."""
        if self.activator is None:
            return LEDGER_NOT_STARTED
        return Answer(200, json.dumps(self.activator.status()).encode(), JSON_CONTENT_TYPE)

    async def publish(self, query: bytes, body: bytes) -> Answer:
        """POST /api/transforms/publish: the file in the body; `wait` in the query."""
        if self.activator is None:
            return LEDGER_NOT_STARTED
        try:
            wait = query_level(query)
            order, sha256, result = await self.activator.publish(body, wait, LEVEL_TIMEOUT_S)
        except ValueError as error:
            return error_answer(400, error)
        except WriteRefused as error:
            return error_answer(503, error)
        return _order_answer(order, result, sha256=sha256)

    async def rollback(self, query: bytes, body: bytes) -> Answer:
        """POST /api/transforms/rollback: `name` and `wait` in the query."""
        if self.activator is None:
            return LEDGER_NOT_STARTED
        try:
            name = query_value(query, "name")
            order, result = await self.activator.rollback(name, query_level(query), LEVEL_TIMEOUT_S)
        except ValueError as error:
            return error_answer(400, error)
        except WriteRefused as error:
            return error_answer(503, error)
        return _order_answer(order, result)


def _order_answer(order: Order, result: WriteResult, **more: Any) -> Answer:
    """The response to an order: 200 if it was confirmed at the level asked for, 202 if it is only stored
    here."""
    confirmed = isinstance(result, Acknowledged)
    body = {
        "name": order.name, "id": order.id, "number": order.number, "confirmed": confirmed,
        "held": result.held if isinstance(result, Acknowledged) else None,
        "reason": "" if isinstance(result, Acknowledged) else result.reason,
    }  # fmt: skip
    return Answer(200 if confirmed else 202, json.dumps(body | more).encode(), JSON_CONTENT_TYPE)
