"""The local backend on real files: grants, expiry, tokens, replaced, locked and missing files; service."""

from __future__ import annotations

import asyncio
import os
import sqlite3
from functools import partial
from pathlib import Path

import pytest

from cloverkeel.fleet.duties.interface import (
    BackendAnswer,
    BackendCall,
    Duty,
    Granted,
    Held,
    NotHeld,
    Unreachable,
    Verb,
)
from cloverkeel.fleet.duties.local import LocalBackend, list_leases
from cloverkeel.fleet.duties.shell import DutyService, NotHeldError
from cloverkeel.fleet.state.database import STATE_FILE
from faultlab.duties.site import create_state_file
from tests.sockets import on_loop

DUTY = Duty("chore", ttl_s=2.0)


class Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def call(backend: LocalBackend, verb: Verb, token: int = 0) -> BackendAnswer:
    return backend.call(BackendCall(DUTY, verb, 1, token))


def granted(answer: BackendAnswer) -> int:
    assert isinstance(answer, Granted), answer
    return answer.token


def backend_pair(directory: Path, clock: Clock) -> tuple[LocalBackend, LocalBackend]:
    """The backends of two processes, after the TTL in which a new file grants nothing."""
    one, other = LocalBackend(str(directory), "one", clock), LocalBackend(str(directory), "other", clock)
    assert call(one, "acquire") == Held("", 0, 2.0)
    clock.now_s += 2.0
    return one, other


def test_a_lease_is_held_until_release_or_expiry_and_tokens_grow(tmp_path: Path) -> None:
    create_state_file(tmp_path)
    clock = Clock()
    one, other = backend_pair(tmp_path, clock)
    first = granted(call(one, "acquire"))
    assert call(other, "acquire") == Held("one", first, 2.0)
    clock.now_s += 1.9
    assert call(one, "renew", first) == Granted(first)
    clock.now_s += 1.9
    assert isinstance(call(other, "acquire"), Held)
    assert call(one, "release", first) == NotHeld() and other.freed({"chore"}) == ["chore"]
    second = granted(call(other, "acquire"))
    clock.now_s += 2.0
    assert call(other, "renew", second) == NotHeld()  # expired: not held, even though nobody else holds it
    third = granted(call(one, "acquire"))
    assert first < second < third
    assert [(row.name, row.holder, row.token) for row in list_leases(str(tmp_path))] == [
        ("chore", "one", third)
    ]
    forced = one.force_release("chore")
    assert forced > third and call(one, "renew", third) == NotHeld()
    assert granted(call(other, "acquire")) > forced
    with pytest.raises(KeyError):
        one.force_release("never-held")


@pytest.mark.parametrize("replacement", ["new", "copy"])
def test_a_replaced_file_grants_nothing_for_one_ttl(tmp_path: Path, replacement: str) -> None:
    create_state_file(tmp_path)
    clock = Clock()
    one, other = backend_pair(tmp_path, clock)
    path = tmp_path / STATE_FILE
    with sqlite3.connect(path) as connection:
        connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    connection.close()
    old = path.read_bytes()
    token = granted(call(one, "acquire"))
    for suffix in ("-wal", "-shm", ""):
        os.unlink(f"{path}{suffix}")
    if replacement == "copy":
        path.write_bytes(old)
    else:
        create_state_file(tmp_path)
    assert isinstance(call(other, "acquire"), Held)
    assert call(one, "renew", token) == NotHeld()
    clock.now_s += 2.0
    assert granted(call(other, "acquire")) > token


def test_a_missing_or_locked_file_makes_calls_unreachable(tmp_path: Path) -> None:
    clock = Clock()
    one = LocalBackend(str(tmp_path), "one", clock)
    assert isinstance(call(one, "acquire"), Unreachable)  # no file yet
    with pytest.raises(FileNotFoundError):
        list_leases(str(tmp_path))
    create_state_file(tmp_path)
    one, other = backend_pair(tmp_path, clock)
    token = granted(call(one, "acquire"))
    writer = sqlite3.connect(tmp_path / STATE_FILE, isolation_level=None)
    writer.execute("BEGIN IMMEDIATE")
    locked = call(one, "renew", token)
    assert isinstance(locked, Unreachable) and "locked" in locked.reason
    writer.execute("ROLLBACK")
    writer.close()
    assert call(one, "renew", token) == Granted(token)
    one.close()
    other.close()


@on_loop
async def test_a_service_hands_over_on_close_and_runs_actions_only_while_it_holds(tmp_path: Path) -> None:
    create_state_file(tmp_path)
    duty = Duty("chore", ttl_s=0.4)
    changes: asyncio.Queue[tuple[str, int | None]] = asyncio.Queue()

    def record_change(name: str, token: int | None) -> None:
        changes.put_nowait((name, token))

    services = [DutyService(name, LocalBackend(str(tmp_path), name)) for name in ("one", "other")]
    for service in services:
        service.add_listener("chore", partial(record_change, service.core.holder))
        service.set_duties((duty,))
    first, token = await changes.get()
    assert token is not None
    holder, waiting = services if first == "one" else reversed(services)
    assert holder.run_if_held("chore", lambda held_token: held_token) == token
    with pytest.raises(NotHeldError, match="chore is not held here"):
        waiting.run_if_held("chore", lambda held_token: held_token)
    await holder.close()
    assert await changes.get() == (first, None)
    second, higher = await changes.get()
    assert second != first and higher is not None and higher > token
    waiting.set_duties(())
    assert await changes.get() == (second, None)
    assert waiting.token("chore") is None
    await waiting.close()
