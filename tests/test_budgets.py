"""The memory budget, the turns for the processor, and the table of ids, each by itself."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel import fair_share, recent_ids
from cloverkeel.fair_share import FairShare, ProcessorUse, Waiting
from cloverkeel.memory import CLIENT_CONNECTION_BYTES, LARGE_SHARE, MEBIBYTE, SMALL_BYTES, MemoryBudget
from cloverkeel.recent_ids import RecentIds, open_shared
from cloverkeel.telemetry import Incident, Telemetry
from tests.sockets import configuration, on_loop, peer, request, running, silent, until
from tests.streaming import chunked, chunked_request, raw_host
from tests.test_streamed_requests import HashingHost

CHARGES = st.lists(st.tuples(st.integers(0, 9), st.integers(1, 2 * SMALL_BYTES)), max_size=400)


@given(CHARGES)
def test_charges_never_exceed_the_capacity_and_all_are_released(charges: list[tuple[int, int]]) -> None:
    budget = MemoryBudget(memory_mb=32, own_bytes=29 * MEBIBYTE)
    accounts = [budget.open_account() for _ in range(10)]
    for number, size in charges:
        before = budget.used
        granted = accounts[number].grow(size)
        assert budget.used == before + size * granted <= budget.capacity
        if granted and accounts[number].held > SMALL_BYTES:
            assert budget.used <= budget.capacity * LARGE_SHARE
    assert budget.used == sum(account.held for account in accounts)
    for account in accounts:
        account.close()
    assert budget.used == 0


def test_large_holders_leave_room_for_small_requests() -> None:
    budget = MemoryBudget(memory_mb=64)
    large = budget.open_account()
    while large.grow(SMALL_BYTES):
        pass
    assert budget.denied == 1 and budget.open_account().grow(SMALL_BYTES)


class Connection:
    """Notes its turns."""

    def __init__(self) -> None:
        self.turns = 0
        self.use = ProcessorUse()

    def take_turn(self) -> None:
        self.turns += 1


def set_clocks(monkeypatch: pytest.MonkeyPatch, now_s: float) -> None:
    """Let the time and the processor time stand still."""
    monkeypatch.setattr(fair_share, "clock_s", lambda: now_s)
    monkeypatch.setattr(fair_share, "processor_s", lambda: now_s)


@on_loop
async def test_a_connection_that_used_little_goes_before_those_that_used_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    set_clocks(monkeypatch, now_s)
    share, greedy, modest = FairShare(), [Connection() for _ in range(50)], Connection()
    for connection in greedy:
        assert share.add(connection.use, now_s - 0.01)
        share.wait(connection, connection.use, now_s - 0.0001)
    share.add(modest.use, now_s - 0.0001)
    share.wait(modest, modest.use, now_s - 0.0001)
    while not modest.turns:
        await asyncio.sleep(0.001)
    assert sum(connection.turns for connection in greedy) <= 1
    while not all(connection.turns for connection in greedy):
        await asyncio.sleep(0.001)
    assert share.turns == 51


@on_loop
async def test_all_connections_wait_once_an_iteration_has_had_its_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    set_clocks(monkeypatch, now_s)
    share = FairShare()
    uses = [ProcessorUse() for _ in range(100)]
    waiting = [share.add(use, now_s - 0.00099) for use in uses]
    assert waiting.index(True) == 20 and all(waiting[20:])  # of 1 ms each, in 20 ms
    await asyncio.sleep(0)
    assert not share.is_iteration_over and not share.add(ProcessorUse(), now_s - 0.001)


def test_ids_are_shared_and_forgotten_in_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = str(tmp_path / "ids")
    one, other = open_shared(path), open_shared(path)
    one.add("a")
    one.add("b")
    assert "a" in other and "b" in other and "c" not in other
    other.discard("a")
    assert "a" not in one
    at_s = recent_ids._now_s() + recent_ids.RETENTION_S + 1
    monkeypatch.setattr(recent_ids, "_now_s", lambda: at_s)
    assert "b" not in one


def test_the_newest_ids_are_kept_under_ever_new_ones() -> None:
    ids, newest = RecentIds(), [f"id-{n}" for n in range(99_000, 100_000)]
    for number in range(100_000):
        ids.add(f"id-{number}")
    assert sum(id_ in ids for id_ in newest) > 0.99 * len(newest)


def test_a_file_of_ids_behind_a_link_is_not_used(tmp_path: Path) -> None:
    (tmp_path / "link").symlink_to(tmp_path / "elsewhere")
    with pytest.raises(OSError, match="link"):
        open_shared(str(tmp_path / "link"))


def test_incidents_are_counted_and_logged_at_a_bounded_rate(capsys: pytest.CaptureFixture[str]) -> None:
    telemetry = Telemetry()
    for _ in range(1000):
        telemetry.note(Incident.NO_MEMORY, "r1")
    assert b'lb_incidents_total{why="no_memory"} 1000' in telemetry.render({})
    assert capsys.readouterr().err == "cloverkeel: event=request.no_memory id='r1'\n"


@on_loop
async def test_a_connection_within_its_burst_does_not_wait_for_the_end_of_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ordinary requests that wait behind the pauses of those that send at full speed."""
    now_s = 100.0
    set_clocks(monkeypatch, now_s)
    monkeypatch.setattr(fair_share, "MIN_TURN_S", 60.0)
    share, greedy, modest = FairShare(), Connection(), Connection()
    assert share.add(greedy.use, now_s - 0.02)
    share.wait(greedy, greedy.use, now_s - 0.02)
    share.wait(modest, modest.use, now_s)
    for _ in range(5):
        await asyncio.sleep(0)
    assert modest.turns == 1 and not greedy.turns


KINDS: dict[str, Callable[[], bytes]] = {
    "short body": lambda: request("transfer", b"x" * 100),
    "held body": lambda: request("transfer", bytes(60_000)),
    "streamed body": lambda: request("transfer", bytes(200_000)),
    "chunked body": lambda: chunked_request(chunked(bytes(100_000), 1000)),
    "small chunks": lambda: chunked_request(chunked(bytes(5_000), 2)),
    "unknown path": lambda: b"GET / HTTP/1.1\r\n\r\n",
    "no id": lambda: b"GET /search HTTP/1.1\r\n\r\n",
    "check": lambda: b"GET /health/ready HTTP/1.1\r\n\r\n",
    "keyed": lambda: request("hold", b"keyed"),
}


@pytest.mark.parametrize("is_full", [False, True], ids=["memory", "no memory"])
@on_loop
async def test_a_connection_that_rests_is_charged_with_nothing_but_itself(is_full: bool) -> None:
    """Guards against charges that add up over the requests of a connection, or are released twice."""
    hashing_host = HashingHost()
    async with raw_host(hashing_host) as host, running(configuration(host)) as run:
        memory, client = run.gateway.memory, await run.connect()
        await until(lambda: run.server.connections)
        (connection,) = run.server.connections
        other = memory.open_account()
        other.add(memory.capacity * is_full)
        for _ in range(3):
            for make in KINDS.values():
                client.send(make())
                status = (await client.answer()).status
                assert (status == 503) or not is_full or status in (200, 400, 404)
                await until(lambda: connection.current is None and not connection.queue)
                assert connection.account.held == CLIENT_CONNECTION_BYTES
        client.send(b"".join(make() for make in KINDS.values()))
        for _ in KINDS:
            await client.answer()
        await until(lambda: connection.current is None and not connection.queue)
        assert connection.account.held == CLIENT_CONNECTION_BYTES
        client.close()
        await until(lambda: not run.server.connections)
        run.gateway.pools.close()
        other.close()
        await until(lambda: not memory.used)


@on_loop
async def test_connections_that_fail_or_are_left_half_way_leave_no_charge() -> None:
    """Guards against a budget that is used up by connections to hosts that never came up."""
    async with peer(silent) as host, running(configuration("127.0.0.1:1", host, maxAttempts=4)) as run:
        for number in range(40):
            client = await run.connect()
            client.send((request(), request("transfer", bytes(200_000))[:100_000], b"GET /")[number % 3])
            await asyncio.sleep(0.002)
            client.close()
        await until(lambda: not run.server.connections)
        for exchange in list(host.seen):
            exchange.reset()
        await until(lambda: not run.gateway.pending)
        run.gateway.pools.close()
        await until(lambda: not run.gateway.memory.used)


@on_loop
async def test_a_refused_upgrade_closes_its_own_connection_only() -> None:
    """Guards against changes to the one object that stands for all requests refused for want of memory."""
    async with peer() as host, running(configuration(host)) as run:
        other = run.gateway.memory.open_account()
        other.add(run.gateway.memory.capacity)
        upgrading, client = await run.connect(), await run.connect()
        answer = await upgrading.ask(request(connection="upgrade", upgrade="h2c"))
        assert answer.status == 503 and answer.headers["connection"] == "close"
        for _ in range(2):
            answer = await client.ask(request())
            assert answer.status == 503 and "connection" not in answer.headers
        upgrading.close()
        client.close()


@pytest.mark.parametrize("kind", ["malformed", "late"])
@on_loop
async def test_an_error_is_answered_though_the_iteration_has_had_its_share(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against errors that stay queued: a rejected connection neither waited for a turn nor went on."""
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        await until(lambda: run.server.connections)
        (connection,) = run.server.connections
        if kind == "late":
            client.send(request()[:-2])
            await until(lambda: connection.incoming)
        waiting: list[tuple[Waiting, ProcessorUse, float]] = []
        with monkeypatch.context() as patched:
            patched.setattr(FairShare, "is_iteration_over", True)
            patched.setattr(FairShare, "wait", lambda share, *arguments: waiting.append(arguments))
            if kind == "late":
                connection.timeout_deferred = True
                connection.on_request_timeout()
            else:
                client.send(b"\x00rubbish\r\n\r\n")
                await until(lambda: connection.ignores_input)
            assert connection.queue
        for arguments in waiting:
            run.gateway.fair_share.wait(*arguments)
        async with asyncio.timeout(2):
            assert (await client.answer()).status == (408 if kind == "late" else 400)
        client.close()
