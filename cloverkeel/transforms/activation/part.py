"""Activation beside one gateway: the activator over the ledger, and what operators may call of it."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from cloverkeel.fleet.operator_queries import (
    JSON_CONTENT_TYPE,
    LEDGER_NOT_STARTED,
    LEVEL_TIMEOUT_S,
    query_level,
    query_value,
    error_answer,
)
from cloverkeel.fleet.ledger.interface import Acknowledged
from cloverkeel.fleet.ledger.part import LedgerPart
from cloverkeel.fleet.ledger.shell import WriteResult as LedgerAnswer
from cloverkeel.fleet.ledger.shell import WriteRefused
from cloverkeel.operator import Answer
from cloverkeel.transforms.activation.configuration import FleetSettings
from cloverkeel.transforms.activation.engine import Engine
from cloverkeel.transforms.activation.store_follower import StoreFollower
from cloverkeel.transforms.activation.records import Order
from cloverkeel.transforms.activation.shell import Activator

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

FIRST_SET_WAIT_S = 1.0
STAGING_POLL_S = 0.01  # between two looks whether what the disk holds is staged


class TransformsPart:
    """`start` after the ledger's part has; `close` before it closes."""

    def __init__(self, settings: FleetSettings, gateway: Gateway, ledger: LedgerPart) -> None:
        self.settings, self.ledger = settings, ledger
        self.store_follower: StoreFollower | None = None
        self.follower_task: asyncio.Task[None] | None = None
        self.engine = Engine(gateway, lambda _id, _is_open: None)
        self.activator: Activator | None = None
        self.start_task: asyncio.Task[None] | None = None

    async def start(self, member: str) -> None:
        """Takes part once the ledger does. In an upgrade that is when the process before has ended, and until
        then what the file shows is run. Either is waited for up to FIRST_S, so that the first clients find
        the last active set."""
        loop = asyncio.get_running_loop()
        keeper = self.ledger.keeper
        waits = []
        if keeper.store is None:  # another process holds it
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
        if self.follower_task is not None:
            self.follower_task.cancel()
        if self.start_task is not None:
            self.start_task.cancel()
        if self.activator is not None:
            self.activator.close()

    def gauges(self) -> dict[str, int]:
        return {"transforms_epoch": self.activator.core.epoch.number} if self.activator is not None else {}

    # Operators' calls.

    def status(self) -> Answer:
        if self.activator is None:
            return LEDGER_NOT_STARTED
        return Answer(200, json.dumps(self.activator.status()).encode(), JSON_CONTENT_TYPE)

    async def publish(self, query: bytes, body: bytes) -> Answer:
        """The file in the body; `wait` in the query."""
        if self.activator is None:
            return LEDGER_NOT_STARTED
        try:
            wait = query_level(query)
            order, sha256, answer = await self.activator.publish(body, wait, LEVEL_TIMEOUT_S)
        except ValueError as error:
            return error_answer(400, error)
        except WriteRefused as error:
            return error_answer(503, error)
        return _order_answer(order, answer, sha256=sha256)

    async def rollback(self, query: bytes, body: bytes) -> Answer:
        """`name` and `wait` in the query."""
        if self.activator is None:
            return LEDGER_NOT_STARTED
        try:
            name = query_value(query, "name")
            order, answer = await self.activator.rollback(name, query_level(query), LEVEL_TIMEOUT_S)
        except ValueError as error:
            return error_answer(400, error)
        except WriteRefused as error:
            return error_answer(503, error)
        return _order_answer(order, answer)


def _order_answer(order: Order, answer: LedgerAnswer, **more: Any) -> Answer:
    confirmed = isinstance(answer, Acknowledged)
    body = {
        "name": order.name, "id": order.id, "number": order.number, "confirmed": confirmed,
        "held": answer.held if isinstance(answer, Acknowledged) else None,
        "reason": "" if isinstance(answer, Acknowledged) else answer.reason,
    }  # fmt: skip
    return Answer(200 if confirmed else 202, json.dumps(body | more).encode(), JSON_CONTENT_TYPE)
