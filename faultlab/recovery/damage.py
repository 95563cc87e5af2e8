"""Starts real gateways on damaged state files."""

from __future__ import annotations

import os
import random
import signal
import sqlite3
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from cloverkeel.fleet import state
from faultlab.gateway_process import GatewayProcess, configuration
from faultlab.ports import free_port
from faultlab.recovery.files import Figures, open_copy, write_file_with_wal, write_good_file
from faultlab.standins import Host, endpoint


def damage_functions(rng: random.Random) -> dict[str, Callable[[Path], None]]:
    """The kinds of damage by name, each a function that damages the state file in a directory."""
    file_name = state.STATE_FILE

    def truncate(at: Callable[[int], int]) -> Callable[[Path], None]:
        def damage(directory: Path) -> None:
            size = (directory / file_name).stat().st_size
            os.truncate(directory / file_name, at(size))

        return damage

    def flip(directory: Path) -> None:
        data = bytearray((directory / file_name).read_bytes())
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        (directory / file_name).write_bytes(bytes(data))

    def torn_wal(directory: Path) -> None:
        wal = directory / (file_name + "-wal")
        size = wal.stat().st_size
        os.truncate(wal, rng.randrange(32, max(33, size - 1)))

    def schema(directory: Path) -> None:
        with sqlite3.connect(directory / file_name) as connection:
            connection.execute("UPDATE meta SET value = '0' WHERE key = 'schema'")

    def replace_with(data: bytes) -> Callable[[Path], None]:
        def damage(directory: Path) -> None:
            (directory / file_name).write_bytes(data)

        return damage

    def replace_with_directory(directory: Path) -> None:
        (directory / file_name).unlink()
        (directory / file_name).mkdir()

    return {
        "truncated in the header": truncate(lambda size: rng.randrange(1, 100)),
        "truncated at a page boundary": truncate(lambda size: 4096 * rng.randrange(1, max(2, size // 4096))),
        "truncated inside a page": truncate(lambda size: rng.randrange(4097, size)),
        "one byte flipped": flip,
        "WAL torn mid-frame": torn_wal,
        "old schema": schema,
        "not SQLite": replace_with(b"this is no database " * 300),
        "empty file": replace_with(b""),
        "a directory in its place": replace_with_directory,
    }


async def damaged_starts(folder: Path, rounds: int, seed: int) -> Figures:
    """Start a gateway on each kind of damaged file and count what it does.

    A gateway has to become ready. It has to notice, count and log a damage once, unless the damage does not
    affect what is restored.
    """
    rng = random.Random(seed)
    hosts = [Host(f"d{n}") for n in range(2)]
    for host in hosts:
        await host.start()
    results: dict[str, Counter[str]] = {}
    not_ready = 0
    try:
        for kind, damage in damage_functions(rng).items():
            results[kind] = Counter()
            for round_ in range(rounds if kind in ("one byte flipped", "WAL torn mid-frame") else 1):
                directory = folder / f"damage-{len(results)}-{round_}"
                (write_file_with_wal if kind == "WAL torn mid-frame" else lambda d: write_good_file(d, 3))(
                    directory
                )
                damage(directory)
                gateway = GatewayProcess(f"g{len(results)}", folder, configuration(
                    "dmg", free_port(), "127.0.0.1:9", [endpoint(h) for h in hosts]), directory)  # fmt: skip
                ready_s = await gateway.start()
                not_ready += ready_s == float("inf")
                await gateway.signal(signal.SIGKILL)
                verdict = (
                    "moved aside" if gateway.event_lines("state.corrupt")
                    else "ran without a store" if gateway.event_lines("state.unusable")
                    else "restored" if "warm=True" in " ".join(gateway.event_lines("state.opened"))
                    else "cold"
                )  # fmt: skip
                if len(gateway.event_lines("state.corrupt")) > 1:
                    verdict = "logged twice"
                results[kind][verdict] += 1
                if verdict == "restored":
                    results[kind]["restored wrong"] += open_copy(directory)[1] < 0
    finally:
        for host in hosts:
            host.close()
    return {"damaged_starts": {kind: dict(c) for kind, c in results.items()}, "damaged_not_ready": not_ready}
