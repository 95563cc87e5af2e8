"""Routes in real gateway processes: applied at one, in service at the other, with the same conflicts at
both."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverkeel.config import load
from cloverkeel.errors import ConfigError
from faultlab.ports import free_port
from tests.sockets import (
    Exchange,
    configuration,
    endpoint,
    hosts_list,
    on_loop,
    peer,
    reply,
    request,
    until,
)
from tests.test_gateway_process import (
    OPERATORS_READY,
    ROOT,
    ask,
    connect,
    listening,
    program,
)
from tests.test_membership_process import table_with

PATH = "/search/7f3a9c21e0b4d655"  # path of the requests that tests send
NEW = f"""# ours
team = "pay"

[route.eu]
classes = ["search"]
path = "{PATH}"
targets = [{{groups = ["3"], share = 100}}]
"""


async def routes(*arguments: str, operator: int) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cloverkeel", "routes", *arguments, "--operator", f"127.0.0.1:{operator}",
        cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, errors = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode(), errors.decode()


async def wait_for_plan(operator: int, **expected: object) -> dict[str, Any]:
    """The plan at a gateway, once its named entries have these values or lengths."""
    while True:
        code, out, errors = await routes("show", "--json", operator=operator)
        if code == 0:
            found = json.loads(out)
            if all(found[key] == value or len(found[key]) == value for key, value in expected.items()):
                assert isinstance(found, dict)
                return found
        else:
            assert "not started" in errors


@asynccontextmanager
async def two_gateways(
    tmp_path: Path, *hosts: dict[str, object]
) -> AsyncIterator[tuple[list[int], list[int]]]:
    """Runs a fleet of two gateways; gives their operator ports and their client ports."""
    operators = [free_port(), free_port()]
    binds = [f"127.0.0.1:{free_port()}" for _ in operators]
    configs = []
    for name, bind, other in (("g1", *binds), ("g2", *binds[::-1])):
        (tmp_path / name).mkdir()
        config = configuration() | {"name": name, "known": hosts_list(7, *hosts), "routes": {"size": 2}}
        config["state_dir"] = str(tmp_path / name / "state")
        config["cluster"] = {"name": "blue", "bind": bind, "seeds": [other]}
        configs.append(config)
    async with (
        program(tmp_path / "g1", configs[0], operators[0]) as (_, first),
        program(tmp_path / "g2", configs[1], operators[1]) as (_, second),
    ):
        await table_with(operators[0], g1="alive", g2="alive")
        yield operators, [first, second]


@on_loop
async def test_a_file_applied_at_one_gateway_is_in_service_at_the_other(tmp_path: Path) -> None:
    async with peer() as old, peer() as canary:
        hosts = endpoint("s-0", old.address, group=1), endpoint("s-1", canary.address, group=3)
        async with two_gateways(tmp_path, *hosts) as ((one, other), clients):
            file = tmp_path / "pay.toml"
            file.write_text(NEW)
            code, out, _ = await routes("apply", str(file), operator=one)
            assert code == 0 and out.startswith("committed: g1/") and "held by 2" in out
            assert file.read_text().startswith('# ours\nteam = "pay"\nbase = "')
            assert (await routes("apply", str(file), operator=other))[1].startswith("nothing differs")
            plans = [await wait_for_plan(port, routes=1) for port in (one, other)]
            assert plans[0] | {"member": ""} == plans[1] | {"member": ""}
            (route,) = plans[1]["routes"]
            assert route["values"]["path"] == PATH and route["decided"]["path"]["team"] == "pay"
            client = await connect(clients[1])
            for _ in range(20):
                assert (await client.ask(request("search"))).status == 200
            client.close()
            assert (len(old.seen), len(canary.seen)) == (0, 20)

            exported = tmp_path / "again.toml"
            code, out, _ = await routes("show", "--team", "pay", "--toml", operator=other)
            exported.write_text(out.replace(f'"{PATH}"', '"/de"'))
            assert (await routes("apply", str(exported), operator=other))[0] == 0
            file.write_text(file.read_text().replace(f'"{PATH}"', '"/fr"'))  # its base is the previous plan
            code, out, _ = await routes("apply", str(file), operator=one)
            assert code == 0 and "--take 1" in out
            assert "since changed for: eu" in (await routes("apply", str(file), operator=one))[1]
            both = [await wait_for_plan(port, conflicts=1) for port in (one, other)]
            (conflict,) = both[0]["conflicts"]
            assert conflict == both[1]["conflicts"][0] and conflict["teams"] == ["pay"]
            assert both[1]["routes"][0]["values"]["path"] == PATH  # the last agreed value
            arguments = ("resolve", conflict["id"], "--team", "pay", "--value")
            assert (await routes(*arguments, '"no path"', operator=other))[0] == 1
            assert (await routes(*arguments, '"/at"', operator=other))[0] == 0
            after = await wait_for_plan(one, conflicts=0)
            assert after["routes"][0]["values"]["path"] == "/at"


BAD = {
    'team = "pay"\n[route.a]\nclases = ["search"]': (
        "route 'a': 'clases': unknown field; a route has classes,"
    ),
    'team = "pay"\n[route.a]\ntargets = [{group = ["3"]}]': "route 'a': 'targets': a target has types,",
    'team = "pay"\n[route.a]\nlimit = "7"': "route 'a': 'limit': a whole number from 1",
    'team = "pay"\n[route.a': "not TOML: Expected ']' at the end of a table declaration",
    'team = "pay"\n[route.a]\ntargets = [{groups = ["9"]}]': "route a: no listed host is in its targets",
    'team = "pay"\n[route.a]\nclasses = ["x"]': "route a: classes that the settings do not have: x",
}


@on_loop
async def test_invalid_commands_are_refused_with_one_line_and_write_nothing(tmp_path: Path) -> None:
    async with two_gateways(tmp_path, endpoint("s-0", "127.0.0.1:1", group=3)) as ((one, other), _):
        await wait_for_plan(one, count=0)
        file = tmp_path / "bad.toml"
        for text, line in BAD.items():
            file.write_text(text)
            code, out, errors = await routes("apply", str(file), operator=one)
            assert (code, out) == (1, "") and errors.count("\n") == 1, errors
            assert errors.startswith(f"cloverkeel: 127.0.0.1:{one}: {line}"), errors
        for arguments, line in (
            (("resolve", "c0", "--keep", "--team", "pay"), "there is no conflict c0"),
            (("accept", "g1/1/1", "--route", "a", "--team", "pay"), "no edit of a by g1/1/1 is waiting"),
            (("accept", "g1", "--route", "a", "--team", "pay"), "'g1' is not the name of a change"),
            (("show", "--toml"), "--toml exports one team's file: give --team"),
        ):
            code, out, errors = await routes(*arguments, operator=one)
            assert (code, out) == (1, "") and errors.count("\n") == 1, errors
            assert errors.startswith(f"cloverkeel: 127.0.0.1:{one}: {line}"), errors
        assert (await routes("apply", str(tmp_path / "none.toml"), operator=one))[0] == 2
        assert (await wait_for_plan(other, count=0))["held_back"] == []


@pytest.mark.parametrize(
    ("changes", "line"),
    [
        ({"routes": {"size": 2, "rooms": {}}}, "routes: unknown field `rooms`"),
        ({"routes": {}}, "routes: missing field `size`"),
        ({"routes": {"size": 0}}, "routes: Expected `int` >= 1 - at `size`"),
        ({"routes": {"size": 2, "room": {"m": "x"}}}, "routes: Expected `int`, got `str` - at `room"),
        ({"cluster": None}, "routes: it needs a cluster"),
        ({"state_dir": ""}, "routes: it needs a state_dir"),
        ({"transforms": {"fleet": {"size": 3}}}, "transforms.fleet.size is 3 and routes.size is 2"),
    ],
)
def test_an_invalid_configuration_is_refused_with_one_line(
    tmp_path: Path, changes: dict[str, Any], line: str
) -> None:
    config = configuration() | {"routes": {"size": 2}, "state_dir": str(tmp_path)}
    config["cluster"] = {"name": "blue", "bind": "127.0.0.1:0"}
    config = {key: value for key, value in (config | changes).items() if value is not None}
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config))
    with pytest.raises(ConfigError) as found:
        load({"LB_CONFIG": str(file)})
    assert str(found.value).startswith(line) and "\n" not in str(found.value)


@on_loop
async def test_in_an_upgrade_the_new_process_uses_the_plan_of_its_predecessor_while_that_drains(
    tmp_path: Path,
) -> None:
    """The old process holds the ledger until it ends; without its plan the new process ignored the routes."""

    def script(exchange: Exchange) -> None:
        if exchange.message.first.startswith("GET"):
            exchange.answer(reply())

    operators = free_port(), free_port()
    async with peer(script) as old, peer(script) as canary:
        config = configuration() | {"routes": {"size": 1}, "state_dir": str(tmp_path / "state")}
        hosts = endpoint("s-0", old.address, group=1), endpoint("s-1", canary.address, group=3)
        config |= {"known": hosts_list(7, *hosts), "cluster": {"name": "blue", "bind": "127.0.0.1:0"}}
        with listening() as held:
            async with program(tmp_path, config, operators[0], held) as (process, port):
                await wait_for_plan(operators[0], count=0)
                file = tmp_path / "pay.toml"
                file.write_text(NEW)
                assert (await routes("apply", str(file), operator=operators[0]))[0] == 0
                unanswered = await connect(port)
                unanswered.send(request("transfer"))
                await until(lambda: old.seen or canary.seen)
                old.seen.clear()
                canary.seen.clear()
                async with program(tmp_path, config, operators[1], held):
                    process.send_signal(signal.SIGTERM)  # it drains: one request is never answered
                    while await ask(operators[0], OPERATORS_READY) == 200:
                        await asyncio.sleep(0.01)
                    for _ in range(20):
                        client = await connect(port)
                        assert (await client.ask(request("search"))).status == 200
                        client.close()
                    assert process.returncode is None
                    assert (len(old.seen), len(canary.seen)) == (0, 20)
                    unanswered.close()
