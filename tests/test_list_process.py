"""List sharing between real processes: updates still arrive after a relay is killed."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from cloverkeel.fleet.lists.relays import Peer, choose_relays
from faultlab.ports import free_port
from tests.list_site import CLUSTER, Registry
from tests.sockets import configuration, on_loop, peer, read_message
from tests.test_gateway_process import connect, program
from tests.test_membership_process import table

NAMES = ("g0", "g1", "g2")
RELAYS = choose_relays("site", [Peer(name, "a") for name in NAMES], 2)
TELEMETRY = b"GET /api/telemetry HTTP/1.1\r\nHost: o\r\n\r\n"


async def metric(operator: int, name: str) -> int:
    client = await connect(operator)
    client.send(TELEMETRY)
    text = (await read_message(client.reader)).body.decode()
    client.close()
    return next(int(line.split()[1]) for line in text.splitlines() if line.startswith(f"{name} "))


async def until_hosts(operator: int, count: int) -> None:
    while await metric(operator, "lb_known_hosts") != count:
        await asyncio.sleep(0.01)


@on_loop
async def test_a_change_arrives_through_the_other_relay_after_one_is_killed(tmp_path: Path) -> None:
    registry = Registry("s-1", "s-2", "s-3")
    operators = {name: free_port() for name in NAMES}
    seed = f"127.0.0.1:{free_port()}"
    follower = next(name for name in NAMES if name not in RELAYS)
    async with peer(registry.script) as service, AsyncExitStack() as stack:

        async def start_gateway(name: str) -> asyncio.subprocess.Process:
            (tmp_path / name).mkdir()
            config: dict[str, Any] = configuration() | {"name": name, "known": {}}
            config["discovery"] = service.address if name in RELAYS else "127.0.0.1:1"
            config["settings"]["membershipMode"] = "on_request"
            config["cluster"] = CLUSTER | {"seeds": [seed], "relays": 2}
            if name == NAMES[0]:
                config["cluster"]["bind"] = seed
            process, _ = await stack.enter_async_context(program(tmp_path / name, config, operators[name]))
            return process

        processes = dict(zip(NAMES, await asyncio.gather(*map(start_gateway, NAMES)), strict=True))
        follower_port = operators[follower]
        await until_hosts(follower_port, 3)
        registry.change("s-2", "DELETED")
        await until_hosts(follower_port, 2)
        while {row["name"] for row in (await table(follower_port))["members"] if row["relay"]} != set(RELAYS):
            await asyncio.sleep(0.01)
        while await metric(follower_port, "lb_list_feeds") != 2:
            await asyncio.sleep(0.01)
        processes[RELAYS[0]].send_signal(signal.SIGKILL)
        registry.change("s-1", "DELETED")
        await until_hosts(follower_port, 1)
        assert await metric(follower_port, "lb_list_service_calls_total") == 0
