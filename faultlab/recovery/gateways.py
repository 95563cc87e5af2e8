"""Gateways whose state directory is shared, cannot be created, or is written by a stopped process."""

from __future__ import annotations

import asyncio
import random
import signal
import sqlite3
import time
from pathlib import Path

from cloverkeel.fleet import state
from faultlab.gateway_process import GatewayProcess, configuration, send_traffic, wait_snapshot
from faultlab.ports import free_port
from faultlab.recovery.files import Figures
from faultlab.standins import Host, endpoint


async def two_gateways_one_directory(folder: Path) -> Figures:
    """Start two gateways on one directory without an upgrade: the second has to run without a store.

    It has to log that once.
    """
    hosts = [Host("t0")]
    await hosts[0].start()
    directory, listed = folder / "shared", [endpoint(hosts[0])]
    first, second = (
        GatewayProcess(name, folder, configuration(name, free_port(), "127.0.0.1:9", listed), directory)
        for name in ("first", "second")
    )
    ready = [await first.start(), await second.start()]
    await send_traffic(second.port, 20, 200.0)
    await send_traffic(first.port, 20, 200.0)
    for gateway in (first, second):
        await gateway.signal(signal.SIGTERM)
    hosts[0].close()
    with sqlite3.connect(directory / state.STATE_FILE) as connection:
        snapshots, findings = state.verify(connection)
    return {
        "two_ready": all(r < float("inf") for r in ready),
        "two_second_locked_lines": len(second.event_lines("state.locked")),
        "two_file_after": "sound" if snapshots and not findings else f"{len(snapshots)} sound, {findings}",
    }


async def stop_while_writing(folder: Path, rounds: int, seed: int) -> Figures:
    """Stop a gateway (SIGSTOP) at random moments while it writes, for up to half a second, and continue it.

    The file, read by another process during the stop, has to be sound each time, and the gateway has to go on
    writing afterwards.
    """
    rng = random.Random(seed)
    host = Host("p0")
    await host.start()
    directory = folder / "stopped"
    config = configuration("stop", free_port(), "127.0.0.1:9", [endpoint(host)])
    gateway = GatewayProcess("stop", folder, config | {"state_snapshot_s": 0.01}, directory)
    await gateway.start()
    await wait_snapshot(directory, 0.0)
    sound = 0
    try:
        for _ in range(rounds):
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            await gateway.signal(signal.SIGSTOP)
            sound += bool(state.read_snapshots(str(directory)))
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await gateway.signal(signal.SIGCONT)
        resumed = time.time()
        await wait_snapshot(directory, resumed)
        await gateway.signal(signal.SIGTERM)
    finally:
        host.close()
    process = gateway.process
    assert process is not None
    return {"stops": rounds, "stopped_file_sound": sound, "stopped_exit": process.returncode,
            "stopped_write_failures": len(gateway.event_lines("state.write_failed"))}  # fmt: skip


async def uncreatable_directory(folder: Path) -> Figures:
    """Start a gateway whose state directory cannot be created: it has to serve without a store.

    A file stands where a parent directory should be. Write permissions do not bind a process of root, so a
    read-only directory cannot be tried; a full disk stands for it.
    """
    host = Host("m0")
    await host.start()
    (folder / "a-file").write_bytes(b"")
    config = configuration("mk", free_port(), "127.0.0.1:9", [endpoint(host)])
    gateway = GatewayProcess("mk", folder, config, folder / "a-file" / "state")
    ready_s = await gateway.start()
    await gateway.signal(signal.SIGTERM)
    host.close()
    lines = len(gateway.event_lines("state.unusable"))
    return {"unmakeable_ready": ready_s < float("inf"), "unmakeable_lines": lines}
