"""Ledgers of several members in one process: real sockets, real state files."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.ledger.interface import Acknowledged, KeyChanged, Level, NotConfirmed, Settings
from cloverkeel.fleet.ledger.shell import LedgerService, WriteRefused
from cloverkeel.fleet.ledger.store import StoreError
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.state import StoreCounters
from cloverkeel.fleet.state.store import Store as StateStore
from tests.sockets import on_loop, until
from tests.test_membership_service import member

KEY = ("kind", "key")


async def service(membership: Membership, directory: Path) -> LedgerService:
    directory.mkdir(exist_ok=True)
    fd = StateStore.acquire_lock(str(directory))
    assert fd is not None
    state, _ = StateStore.open(str(directory), fd, StoreCounters(), time.time())
    state.prepare()
    state.close()
    started = LedgerService(membership, str(directory), Settings(digest_s=0.5))
    await started.start()
    return started


@asynccontextmanager
async def fleet(tmp_path: Path) -> AsyncIterator[list[LedgerService]]:
    first = await member("m0")
    members = [first, await member("m1", first.address), await member("m2", first.address)]
    services = [await service(m, tmp_path / m.name) for m in members]
    try:
        await until(lambda: all(s.core is not None and len(s.core.live) == 2 for s in services))
        yield services
    finally:
        for started in services:
            await started.close()
        for each in members:
            each.close()


def payloads(ledger: LedgerService) -> list[bytes | None]:
    return [payload for _, payload in ledger.read(*KEY)[0]]


@on_loop
async def test_a_write_reaches_every_disk_and_concurrent_ones_are_both_kept(tmp_path: Path) -> None:
    async with fleet(tmp_path) as services:
        first, second, third = services
        changes: list[KeyChanged] = []
        third.on_key_changed(changes.append)
        large = bytes(range(256)) * 1024
        answer = await first.write(*KEY, large, Context(), Level.ALL)
        assert isinstance(answer, Acknowledged) and answer.held == 3
        assert [payloads(s) for s in services] == [[large]] * 3
        assert changes[-1].records[0][1] == large

        context = second.read(*KEY)[1]
        await second.write(*KEY, b"one", context, Level.QUORUM)
        await third.write(*KEY, b"two", context)
        await until(lambda: all(sorted(filter(None, payloads(s))) == [b"one", b"two"] for s in services))
        await first.delete(*KEY, first.read(*KEY)[1], Level.ALL)
        await until(lambda: all(payloads(s) in ([None], []) for s in services))
        with pytest.raises(WriteRefused, match="nothing to delete"):
            await first.delete(*KEY, Context())


@on_loop
async def test_an_unreached_level_is_reported_and_a_returning_member_catches_up(tmp_path: Path) -> None:
    async with fleet(tmp_path) as services:
        first, second, third = services
        await third.close()
        third.membership.close()
        await second.write(*KEY, b"kept", Context())
        answer = await second.write("kind", "other", b"x", Context(), Level.ALL, 0.3)
        assert isinstance(answer, NotConfirmed) and "m2" in answer.reason

        restarted = await member("m2", first.membership.address, bind=third.membership.address)
        services[2] = await service(restarted, tmp_path / "m2")
        await until(lambda: payloads(services[2]) == [b"kept"])
        await services[2].close()
        restarted.close()
        with pytest.raises(WriteRefused, match="closed"):
            await services[2].write(*KEY, b"", Context())


@on_loop
async def test_malformed_messages_are_refused_and_counted(tmp_path: Path) -> None:
    async with fleet(tmp_path) as (first, second, _):
        bad: list[Any] = [None, 7, [b"\xc1"], [b""] * 65, [[1]], {"a": 1}]
        for body in bad:
            with pytest.raises(CallFailed):
                await second.membership.calls.call(first.membership.address, "ledger", body, 2.0)
        assert first.counters()["messages_malformed"] == len(bad)
        await first.write(*KEY, b"still here", Context(), Level.ALL)
        assert payloads(second) == [b"still here"]


@on_loop
async def test_a_ledger_does_not_start_without_a_state_file(tmp_path: Path) -> None:
    alone = await member("m0")
    with pytest.raises(StoreError):
        await LedgerService(alone, str(tmp_path), Settings()).start()
    alone.close()
