"""Duties in real gateway processes: an upgrade, a SIGHUP, a quorum of three, and the operator interface."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from pathlib import Path
from typing import Any

from faultlab.ports import free_port
from tests.sockets import configuration, on_loop, peer
from tests.test_gateway_process import listening, program
from tests.test_membership_process import CLUSTER, read


async def holder(operator: int, duty: str, *excluded: str) -> tuple[str, int]:
    """Waits until a process other than `but` holds the duty; returns its name and the token."""
    while True:
        with contextlib.suppress(AssertionError):  # not started yet
            for row in json.loads(await read(operator, b"duties"))["duties"]:
                name = row["holder"].partition("/")[0]
                if (
                    row["duty"] == duty
                    and row["holder"]
                    and row["holder"] not in excluded
                    and name not in excluded
                ):
                    return row["holder"], row["token"]
        await asyncio.sleep(0.02)


def with_duties(host: Any, directory: Path, **duties: Any) -> dict[str, Any]:
    config = configuration(host) | {"name": directory.name, "state_dir": str(directory / "state")}
    directory.mkdir()
    return config | {"duties": {"named": [{"name": "state-compaction", "ttl_s": 0.6}], **duties}}


@on_loop
async def test_the_new_process_of_an_upgrade_takes_the_duties_over_and_a_sighup_drops_one(
    tmp_path: Path,
) -> None:
    ports = [free_port() for _ in range(2)]
    async with peer() as host:
        config = with_duties(host, tmp_path / "g1")
        with listening() as held:
            async with program(tmp_path / "g1", config, ports[0], held) as (old, _):
                first, token = await holder(ports[0], "state-compaction")
                metrics = (await read(ports[0], b"telemetry")).decode().splitlines()
                assert "lb_duties_held 1" in metrics and "lb_duties_begun_total 1" in metrics
                async with program(tmp_path / "g1", config, ports[1], held) as (new, _):
                    assert await holder(ports[1], "state-compaction") == (first, token)
                    old.send_signal(signal.SIGTERM)
                    _, higher = await holder(ports[1], "state-compaction", first)
                    assert higher > token
                    await old.wait()
                    path = tmp_path / "g1" / "config.json"
                    renamed = json.loads(path.read_text()) | {"duties": {"named": []}}
                    path.write_text(json.dumps(renamed))
                    new.send_signal(signal.SIGHUP)
                    while (
                        "lb_duties_held 0" not in (await read(ports[1], b"telemetry")).decode().splitlines()
                    ):
                        await asyncio.sleep(0.02)


@on_loop
async def test_a_duty_with_a_quorum_of_three_moves_to_another_gateway_when_its_holder_is_killed(
    tmp_path: Path,
) -> None:
    names = ("g1", "g2", "g3")
    voters = {name: f"127.0.0.1:{free_port()}" for name in names}
    binds = {name: f"127.0.0.1:{free_port()}" for name in names}
    ports = {name: free_port() for name in names}
    async with peer() as host, contextlib.AsyncExitStack() as stack:
        processes = {}
        for name in names:
            config = with_duties(host, tmp_path / name, backend="quorum", voters=voters)
            config["cluster"] = CLUSTER | {"bind": binds[name], "seeds": [binds["g1"]]}
            started = program(tmp_path / name, config, ports[name])
            processes[name], _ = await stack.enter_async_context(started)
        first, token = await holder(ports["g1"], "state-compaction")
        killed = first.partition("/")[0]
        assert [await holder(ports[name], "state-compaction") for name in names] == [(first, token)] * 3
        processes[killed].kill()
        remaining = next(name for name in names if name != killed)
        second, higher = await holder(ports[remaining], "state-compaction", killed)
        assert higher > token and second.partition("/")[0] in set(names) - {killed}
