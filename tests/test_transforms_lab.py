"""Publications at real gateways behind the lab's relay; the tests share one fleet and run in order."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from faultlab.gateway_process import ROOT, send_request
from faultlab.transforms.fleet import TransformsFleet

Case = Callable[[Callable[[TransformsFleet], Awaitable[None]]], None]
SETTINGS = {"canary_s": 0.2, "stage_timeout_s": 3.0, "canary_share": 0.3}
SOURCE = 'transform mark owner o phase request reads x-bad writes x-mark set x-mark = "%d"'
FAILING = 'transform mark owner o phase request reads x-bad writes x-mark when has("x-bad") { fail "no" }'
CALL = b"POST /transfer HTTP/1.1\r\nHost: lab\r\nX-Call-Id: c%d\r\nX-Bad: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as made:
        yield made


@pytest.fixture(scope="module")
def fleet(runner: asyncio.Runner, tmp_path_factory: pytest.TempPathFactory) -> Iterator[TransformsFleet]:
    made = runner.run(TransformsFleet(4, tmp_path_factory.mktemp("fleet"), SETTINGS).__aenter__())
    yield made
    runner.run(made.close())


@pytest.fixture
def case(runner: asyncio.Runner, fleet: TransformsFleet) -> Case:
    def run(steps: Callable[[TransformsFleet], Awaitable[None]]) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(30.0):
                await steps(fleet)

        runner.run(bounded())

    return run


def active(id: str, epoch: int = 0) -> Callable[[dict[str, Any]], object]:
    """A check that a version is active in a later epoch than `epoch`, with nothing else under way."""

    def holds(status: dict[str, Any]) -> object:
        found = status["versions"].get("mark")
        return found and found["state"] == "active" and found["active"]["id"] == id and (
            status["epoch"] > epoch
        )  # fmt: skip

    return holds


async def command(*words: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cloverkeel", "transforms", *words, cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, errors = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode(), errors.decode()


def test_the_commands_publish_tell_and_roll_back(case: Case, tmp_path: Path) -> None:
    async def steps(fleet: TransformsFleet) -> None:
        file, operator = tmp_path / "mark.transform", ("--operator", fleet.operator_address("m3"))
        file.write_text("transform mark")
        code, out, errors = await command("publish", str(file), *operator)
        assert (code, out, errors.count("\n")) == (1, "", 1) and "no owner is given" in errors
        code, out, errors = await command("rollback", "mark", *operator)
        assert (code, out, errors.count("\n")) == (1, "", 1) and "nothing of mark" in errors
        ids = []
        for number in (1, 2):
            file.write_text(SOURCE % number)
            code, out, _ = await command("publish", str(file), "--wait", "all", *operator)
            assert code == 0 and out.endswith("held by 4\n")
            ids.append(out.split()[2].rstrip(","))
            await fleet.wait_all(active(ids[-1]))
        code, out, _ = await command("status", *operator)
        assert code == 0 and f"mark: active; active {ids[1]}" in out
        code, out, _ = await command("rollback", "mark", *operator)
        assert code == 0
        await fleet.wait_all(active(ids[0]))
        code, out, _ = await command("status", "--json", *operator)
        (mark,) = json.loads(out)["transforms"]
        assert mark["why"] == f"rolled back: {ids[1]}" and mark["before"] is None
        logged = [" ".join(gateway.log) for gateway in fleet.gateways.values()]
        for what in ("staged", "activated", "rolled_back"):
            assert all(f"event=transforms.{what}" in log for log in logged)

    case(steps)


def test_the_publisher_is_killed_after_its_acknowledgement_and_comes_back(case: Case) -> None:
    async def steps(fleet: TransformsFleet) -> None:
        id = await fleet.publish(
            "m0", (SOURCE % 3).encode()
        )  # the first member by name, which also proposes epochs
        await fleet.gateways["m0"].signal(signal.SIGKILL)
        await fleet.wait_all(active(id), names=fleet.names[1:])
        await fleet.start("m0")
        await fleet.wait_all(lambda s: active(id)(s) and s["may_decide"] and s["live"] == 4)
        while fleet.gateways["m0"].last_line_s("event=transforms.activated") is None:
            await asyncio.sleep(0.01)
        assert f"mark:{id}" in "".join(fleet.gateways["m0"].event_lines("transforms.activated"))

    case(steps)


def test_a_version_that_fails_is_quarantined_and_the_one_before_runs_again(case: Case) -> None:
    async def steps(fleet: TransformsFleet) -> None:
        good = (await fleet.status("m3"))["versions"]["mark"]["active"]["id"]
        bad = await fleet.publish("m2", FAILING.encode())
        ids = itertools.count()
        ports = [gateway.port for gateway in fleet.gateways.values()]

        async def load() -> None:
            while True:
                await asyncio.gather(*(send_request(port, CALL % next(ids)) for port in ports))

        loading = asyncio.create_task(load())
        await fleet.wait_all(lambda s: active(good)(s) and bad in s["versions"]["mark"]["why"])
        loading.cancel()
        status = await fleet.status("m3")
        assert status["versions"]["mark"]["why"].startswith(f"quarantined: {bad} breakers open at")
        assert all(gateway.event_lines("transforms.quarantined") for gateway in fleet.gateways.values())
        assert any(gateway.event_lines("transforms.trip") for gateway in fleet.gateways.values())

    case(steps)


def test_a_minority_keeps_its_set_and_all_agree_after_the_heal(case: Case) -> None:
    async def steps(fleet: TransformsFleet) -> None:
        before = await fleet.status("m0")
        old = before["versions"]["mark"]["active"]["id"]
        few, most = fleet.names[:1], fleet.names[1:]
        fleet.relay.cut(few, most)
        await fleet.wait_all(lambda s: s["live"] == 3, names=most)
        new = await fleet.publish("m2", (SOURCE % 4).encode())
        await fleet.wait_all(active(new), names=most)
        for name in few:
            status = await fleet.status(name)
            assert status["epoch"] == before["epoch"] and active(old)(status)
        fleet.relay.heal()
        await fleet.wait_all(active(new, before["epoch"]))

    case(steps)
