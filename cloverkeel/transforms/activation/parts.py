"""Activation beside one gateway: the ledger, the activator and what operators may call of them."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.interface import Acknowledged, Level, Settings
from cloverkeel.fleet.ledger.shell import Answer as LedgerAnswer
from cloverkeel.fleet.ledger.shell import Service, WriteRefused
from cloverkeel.fleet.ledger.store import StoreError
from cloverkeel.operator import Answer
from cloverkeel.transforms.activation.configuration import FleetSettings
from cloverkeel.transforms.activation.engine import Engine
from cloverkeel.transforms.activation.records import Order
from cloverkeel.transforms.activation.shell import Activator

if TYPE_CHECKING:
    from cloverkeel.fleet.membership.service import Membership
    from cloverkeel.fleet.state import Keeper
    from cloverkeel.gateway import Gateway

STORE_S = 0.1  # between two looks whether the state store is this process's
RETRY_S = 5.0  # after a state file that the ledger could not use
FIRST_S = 1.0
STAGING_S = 0.01  # between two looks whether what the disk holds is staged
WAIT_S = 10.0  # for a write to reach its level
JSON = (b"Content-Type", b"application/json")


class TransformParts:
    """`start` after membership has; `close` before the state store is let go."""

    def __init__(self, settings: FleetSettings, gateway: Gateway, keeper: Keeper) -> None:
        self.settings, self.keeper = settings, keeper
        self.engine = Engine(gateway, lambda _id, _is_open: None)
        self.activator: Activator | None = None
        self.ledger: Service | None = None
        self.beginning: asyncio.Task[None] | None = None

    async def start(self, membership: Membership, reap_after_s: float, take_over: bool) -> None:
        """Takes part once the state store is this process's: in an upgrade (`take_over`) the one before holds
        it. Else it is waited for up to FIRST_S, so that the first clients find the last active set."""
        settings = Settings(size=self.settings.size, reap_after_s=reap_after_s)
        self.beginning = asyncio.get_running_loop().create_task(self._begin(membership, settings))
        if not take_over:
            await asyncio.wait([self.beginning], timeout=FIRST_S)

    async def _begin(self, membership: Membership, settings: Settings) -> None:
        while True:
            while self.keeper.store is None or not self.keeper.store.boots:
                await asyncio.sleep(STORE_S)
            ledger = Service(membership, self.keeper.directory, settings)
            try:
                await ledger.start()
                break
            except StoreError as error:
                event("ledger.unusable", directory=self.keeper.directory, reason=str(error))
                await asyncio.sleep(RETRY_S)
        self.ledger = ledger
        self.activator = Activator(ledger, self.settings.settings, self.engine)
        self.activator.start()
        while self.activator.core.staging:
            await asyncio.sleep(STAGING_S)

    async def close(self) -> None:
        if self.beginning is not None:
            self.beginning.cancel()
        if self.activator is not None:
            self.activator.close()
        if self.ledger is not None:
            await self.ledger.close()

    def counters(self) -> dict[str, int]:
        found = self.ledger.counters() if self.ledger is not None else {}
        return {f"ledger_{name}_total": number for name, number in found.items()}

    def gauges(self) -> dict[str, int]:
        return {"transforms_epoch": self.activator.core.epoch.number} if self.activator is not None else {}

    # Operators' calls.

    def status(self) -> Answer:
        if self.activator is None:
            return NOT_YET
        return Answer(200, json.dumps(self.activator.status()).encode(), JSON)

    async def publish(self, query: bytes, body: bytes) -> Answer:
        """The file in the body; `wait` in the query."""
        if self.activator is None:
            return NOT_YET
        try:
            wait = _wait(query)
            order, sha256, answer = await self.activator.publish(body, wait, WAIT_S)
        except ValueError as error:
            return _refused(400, error)
        except WriteRefused as error:
            return _refused(503, error)
        return _done(order, answer, sha256=sha256)

    async def rollback(self, query: bytes, body: bytes) -> Answer:
        """`name` and `wait` in the query."""
        if self.activator is None:
            return NOT_YET
        try:
            name = _one(query, "name")
            order, answer = await self.activator.rollback(name, _wait(query), WAIT_S)
        except ValueError as error:
            return _refused(400, error)
        except WriteRefused as error:
            return _refused(503, error)
        return _done(order, answer)


NOT_YET = Answer(503, b"the ledger has not started yet\n")


def _one(query: bytes, key: str, default: str = "") -> str:
    try:
        values = parse_qs(query.decode("ascii"), max_num_fields=10, errors="strict").get(key)
    except ValueError:
        raise ValueError("malformed query") from None
    found = values[-1] if values else default
    if not found:
        raise ValueError(f"no {key} in the query")
    return found


def _wait(query: bytes) -> Level:
    text = _one(query, "wait", Level.QUORUM.value)
    try:
        return Level(text)
    except ValueError:
        raise ValueError(f"wait is local, quorum or all, not {text[:20]!r}") from None


def _refused(status: int, error: Exception) -> Answer:
    return Answer(status, f"{error}\n".encode())


def _done(order: Order, answer: LedgerAnswer, **more: Any) -> Answer:
    confirmed = isinstance(answer, Acknowledged)
    body = {
        "name": order.name, "id": order.id, "number": order.number, "confirmed": confirmed,
        "held": answer.held if isinstance(answer, Acknowledged) else None,
        "reason": "" if isinstance(answer, Acknowledged) else answer.reason,
    }  # fmt: skip
    return Answer(200 if confirmed else 202, json.dumps(body | more).encode(), JSON)
