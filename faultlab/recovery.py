"""The recovery experiments: kills during writes, power loss, damaged files, a full disk, two processes on one
directory, and warm against cold starts of real gateways under steady traffic.

Each returns plain figures; `command` prints them. Nothing here is scored against anything but the goals of
docs/recovery.md.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import os
import random
import resource
import shutil
import signal
import sqlite3
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cloverkeel.fleet import state
from faultlab import writer
from faultlab.lab import ROOT, Gateway, configuration, snapshot_after, traffic
from faultlab.ports import free_port
from faultlab.report import Parts, positive, report
from faultlab.standins import Discovery, Host, endpoint

Figures = dict[str, Any]


async def spawn_writer(directory: Path, count: int, fsize: int | None = None) -> asyncio.subprocess.Process:
    def starve() -> None:  # in the child: a disk that is full after `fsize` bytes
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        if fsize is not None:
            resource.setrlimit(resource.RLIMIT_FSIZE, (fsize, fsize))

    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "faultlab.writer", str(directory), str(count), cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, preexec_fn=starve,
    )  # fmt: skip


async def lines_until(process: asyncio.subprocess.Process, done: Callable[[str], bool]) -> list[str]:
    """Lines of a writer until `done` says so or it ends; bounded by 10 s."""
    assert process.stdout is not None
    seen: list[str] = []
    async with asyncio.timeout(10.0):
        async for raw in process.stdout:
            seen.append(raw.decode().strip())
            if done(seen[-1]):
                break
    return seen


def copy_as_after_power_loss(source: Path, target: Path) -> None:
    """What a disk could hold: the database file, then its WAL, each read at its own moment."""
    target.mkdir()
    for suffix in ("", "-wal"):
        with open(source / (state.FILE + suffix), "rb") as file:
            data = file.read()
        (target / (state.FILE + suffix)).write_bytes(data)


def open_copy(directory: Path) -> tuple[str, int]:
    """How a start treats a copy: 'restored', 'cold' or 'moved aside', and the sequence it restored."""
    fd = state.Store.take_lock(str(directory))
    assert fd is not None
    figures = state.Figures()
    store, found = state.Store.open(str(directory), fd, figures, time.time())
    store.close()
    if figures.corrupt:
        return "moved aside", -1
    if not found:
        return "cold", -1
    seq = writer.sequence(found[0])
    return ("restored" if seq >= 0 else "accepted wrong"), seq


async def kills(folder: Path, rounds: int, processes: int, seed: int) -> Figures:
    """Writers SIGKILLed at random moments; each next writer's start says what it found. Every fourth round
    also copies the files mid-write, as a power loss would leave them, and opens the copy."""
    rng = random.Random(seed)
    outcomes: Counter[str] = Counter()
    power: Counter[str] = Counter()
    lost = 0

    async def lane(number: int, share: int) -> None:
        nonlocal lost
        directory = folder / f"kill-{number}"
        directory.mkdir()
        last = -1
        for round_ in range(share + 1):
            process = await spawn_writer(directory, 10_000)
            first = await lines_until(process, lambda line: line.startswith(("found", "locked")))
            found = int(first[-1].split()[1]) if first and first[-1].startswith("found ") else None
            if round_ > 0:  # the last reported commit, or the one whose report the kill cut off
                if found == last or found == last + 1:
                    outcomes["restored last" if found == last else "restored in-flight"] += 1
                else:
                    outcomes["wrong, lost or ahead"] += 1
                    lost += found is not None and found < last
            if round_ == share:
                process.kill()
                await process.wait()
                break
            await asyncio.sleep(rng.uniform(0.0, 0.03))  # a random moment of its writing
            if round_ % 4 == 0:
                copy = folder / f"power-{number}-{round_}"
                copy_as_after_power_loss(directory, copy)
                verdict, _ = open_copy(copy)
                power[verdict] += 1
                shutil.rmtree(copy)
            process.kill()
            assert process.stdout is not None
            tail = (await process.stdout.read()).decode().split()
            await process.wait()
            committed = [int(tail[i + 1]) for i, w in enumerate(tail) if w == "committed"]
            last = max([last, found if found is not None else -1, *committed])
        corrupt = [n for n in os.listdir(directory) if ".corrupt-" in n]
        outcomes["moved aside"] += len(corrupt)

    shares = [rounds // processes + (n < rounds % processes) for n in range(processes)]
    await asyncio.gather(*(lane(n, share) for n, share in enumerate(shares)))
    return {"kills": sum(shares), "kill_outcomes": dict(outcomes), "lost_commits": lost,
            "power_copies": dict(power)}  # fmt: skip


def good_file(directory: Path, snapshots: int) -> None:
    directory.mkdir()
    fd = state.Store.take_lock(str(directory))
    assert fd is not None
    store, _ = state.Store.open(str(directory), fd, state.Figures(), time.time())
    store.prepare()
    for seq in range(snapshots):
        store.write(writer.synthetic(seq, time.time()))
    store.close()


def with_wal(directory: Path) -> None:
    """A good file whose newest snapshot is still in the WAL: copied while the writer holds it open."""
    source = directory.with_name(directory.name + "-source")
    good_file(source, 2)
    connection = sqlite3.connect(source / state.FILE, isolation_level=None)
    connection.execute("PRAGMA wal_autocheckpoint=0")
    payload = state.encode(writer.synthetic(2, time.time()))
    connection.execute("INSERT INTO snapshot (taken_unix_s, payload, sha256) VALUES (?, ?, ?)",
                       (time.time(), payload, hashlib.sha256(payload).hexdigest()))  # fmt: skip
    copy_as_after_power_loss(source, directory)
    connection.close()
    shutil.rmtree(source)


def damages(rng: random.Random) -> dict[str, Callable[[Path], None]]:
    """Each damage, done to a directory that holds a good file."""
    path = state.FILE

    def truncate(at: Callable[[int], int]) -> Callable[[Path], None]:
        def damage(d: Path) -> None:
            size = (d / path).stat().st_size
            os.truncate(d / path, at(size))

        return damage

    def flip(d: Path) -> None:
        data = bytearray((d / path).read_bytes())
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        (d / path).write_bytes(bytes(data))

    def torn_wal(d: Path) -> None:
        wal = d / (path + "-wal")
        size = wal.stat().st_size
        os.truncate(wal, rng.randrange(32, max(33, size - 1)))

    def schema(d: Path) -> None:
        with sqlite3.connect(d / path) as connection:
            connection.execute("UPDATE meta SET value = '0' WHERE key = 'schema'")

    def replace_with(data: bytes) -> Callable[[Path], None]:
        def damage(d: Path) -> None:
            (d / path).write_bytes(data)

        return damage

    def directory(d: Path) -> None:
        (d / path).unlink()
        (d / path).mkdir()

    return {
        "truncated in the header": truncate(lambda size: rng.randrange(1, 100)),
        "truncated at a page boundary": truncate(lambda size: 4096 * rng.randrange(1, max(2, size // 4096))),
        "truncated inside a page": truncate(lambda size: rng.randrange(4097, size)),
        "one byte flipped": flip,
        "WAL torn mid-frame": torn_wal,
        "old schema": schema,
        "not SQLite": replace_with(b"this is no database " * 300),
        "empty file": replace_with(b""),
        "a directory in its place": directory,
    }


async def damaged_starts(folder: Path, rounds: int, seed: int) -> Figures:
    """Real gateways started on damaged files: ready, and each damage seen, counted and logged once, or the
    file's damage not reaching what is restored."""
    rng = random.Random(seed)
    hosts = [Host(f"d{n}") for n in range(2)]
    for host in hosts:
        await host.start()
    results: dict[str, Counter[str]] = {}
    not_ready = 0
    try:
        for kind, damage in damages(rng).items():
            results[kind] = Counter()
            for round_ in range(rounds if kind in ("one byte flipped", "WAL torn mid-frame") else 1):
                directory = folder / f"damage-{len(results)}-{round_}"
                (with_wal if kind == "WAL torn mid-frame" else lambda d: good_file(d, 3))(directory)
                damage(directory)
                gateway = Gateway(f"g{len(results)}", folder, configuration(
                    "dmg", free_port(), "127.0.0.1:9", [endpoint(h) for h in hosts]), directory)  # fmt: skip
                ready_s = await gateway.start()
                not_ready += ready_s == float("inf")
                await gateway.signal(signal.SIGKILL)
                verdict = (
                    "moved aside" if gateway.events("state.corrupt")
                    else "ran without a store" if gateway.events("state.unusable")
                    else "restored" if "warm=True" in " ".join(gateway.events("state.opened"))
                    else "cold"
                )  # fmt: skip
                if len(gateway.events("state.corrupt")) > 1:
                    verdict = "logged twice"
                results[kind][verdict] += 1
                if verdict == "restored":
                    results[kind]["restored wrong"] += open_copy(directory)[1] < 0
    finally:
        for host in hosts:
            host.close()
    return {"damaged_starts": {kind: dict(c) for kind, c in results.items()}, "damaged_not_ready": not_ready}


async def full_disk(folder: Path) -> Figures:
    """A writer whose files may not grow past a limit (RLIMIT_FSIZE: EFBIG, as a full disk): it goes on, and
    the file stays sound with what was committed."""
    directory = folder / "full"
    good_file(directory, 1)
    size = sum(p.stat().st_size for p in directory.iterdir())
    process = await spawn_writer(directory, 40, fsize=size + 4096)
    seen = await lines_until(process, lambda line: False)
    await process.wait()
    committed = [int(line.split()[1]) for line in seen if line.startswith("committed")]
    verdict, seq = open_copy(directory)
    return {
        "full_disk_failed_writes": sum(line.startswith("failed") for line in seen),
        "full_disk_exit": process.returncode,
        "full_disk_reopened": verdict,
        "full_disk_committed": len(committed),
        "full_disk_kept_last": seq == (committed[-1] if committed else 0),
    }


async def two_on_one(folder: Path) -> Figures:
    """Two gateways named to one directory without an upgrade: the second says so once and runs without it."""
    hosts = [Host("t0")]
    await hosts[0].start()
    directory, listed = folder / "shared", [endpoint(hosts[0])]
    first, second = (
        Gateway(name, folder, configuration(name, free_port(), "127.0.0.1:9", listed), directory)
        for name in ("first", "second")
    )
    ready = [await first.start(), await second.start()]
    await traffic(second.port, 20, 200.0)
    await traffic(first.port, 20, 200.0)
    for gateway in (first, second):
        await gateway.signal(signal.SIGTERM)
    hosts[0].close()
    with sqlite3.connect(directory / state.FILE) as connection:
        snapshots, findings = state.verify(connection)
    return {
        "two_ready": all(r < float("inf") for r in ready),
        "two_second_locked_lines": len(second.events("state.locked")),
        "two_file_after": "sound" if snapshots and not findings else f"{len(snapshots)} sound, {findings}",
    }


async def stopped(folder: Path, rounds: int, seed: int) -> Figures:
    """A gateway SIGSTOPped at random moments of its writing, for up to half a second, then SIGCONTed: it goes
    on writing, and the file is sound at each stop (read by another process meanwhile)."""
    rng = random.Random(seed)
    host = Host("p0")
    await host.start()
    directory = folder / "stopped"
    config = configuration("stop", free_port(), "127.0.0.1:9", [endpoint(host)])
    gateway = Gateway("stop", folder, config | {"state_snapshot_s": 0.01}, directory)
    await gateway.start()
    await snapshot_after(directory, 0.0)
    sound = 0
    try:
        for _ in range(rounds):
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            await gateway.signal(signal.SIGSTOP)
            sound += bool(state.read_only(str(directory)))
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await gateway.signal(signal.SIGCONT)
        resumed = time.time()
        await snapshot_after(directory, resumed)
        await gateway.signal(signal.SIGTERM)
    finally:
        host.close()
    process = gateway.process
    assert process is not None
    return {"stops": rounds, "stopped_file_sound": sound, "stopped_exit": process.returncode,
            "stopped_write_failures": len(gateway.events("state.write_failed"))}  # fmt: skip


async def warm_and_cold(folder: Path, processes: int, cycles: int) -> Figures:
    """Gateways that learned a failing and a slow host, SIGKILLed and started again: with their state (warm),
    with a new state directory (cold), and with none (no store). Requests failed in the first 5 s under
    steady traffic, by start."""
    hosts = [Host("w-bad", status=503), Host("w-slow", delay_s=1.5), *(Host(f"w{n}") for n in range(3))]
    for host in hosts:
        await host.start()
    discovery = Discovery([endpoint(h) for h in hosts])
    await discovery.start()
    failed: dict[str, list[int]] = {"warm": [], "cold": [], "none": []}
    rate_per_s, window_s = 40.0, 5.0

    async def one(number: int) -> None:
        name = f"wc{number}"
        config = configuration(name, free_port(), discovery.address, discovery.endpoints)
        gateway = Gateway(name, folder, config | {"state_snapshot_s": 0.5}, None)
        for cycle in range(cycles):
            gateway.state_dir = folder / f"{name}-state"
            await gateway.start()
            await traffic(gateway.port, int(rate_per_s * 3), rate_per_s)  # learns: 3 s
            for start in ("warm", "cold", "none"):
                await gateway.signal(signal.SIGKILL)
                cold = folder / f"{name}-cold-{cycle}"
                gateway.state_dir = {"warm": gateway.state_dir, "cold": cold}.get(start)
                await gateway.start()
                tally = await traffic(gateway.port, int(rate_per_s * window_s), rate_per_s)
                failed[start].append(tally.failed)
            await gateway.signal(signal.SIGKILL)

    try:
        await asyncio.gather(*(one(n) for n in range(processes)))
    finally:
        for host in hosts:
            host.close()
        discovery.close()
    return {
        "failed_first_5s": {k: statistics.mean(v) for k, v in failed.items()},
        "starts_each": len(failed["warm"]),
        "requests_per_start": int(rate_per_s * window_s),
    }


async def start_costs(folder: Path, rounds: int) -> Figures:
    """Seconds from exec to `/health/ready` after a SIGKILL, one start at a time: with no store, with a new
    state directory, and with the state of the process before (median of `rounds` each)."""
    host = Host("s0")
    await host.start()
    ready: dict[str, list[float]] = {"none": [], "cold": [], "warm": []}
    try:
        for round_ in range(rounds):
            for start in ready:
                directory = {"none": None, "cold": folder / f"cost-{round_}", "warm": folder / "cost"}[start]
                config = configuration("cost", free_port(), "127.0.0.1:9", [endpoint(host)])
                gateway = Gateway("cost", folder, config | {"state_snapshot_s": 0.05}, directory)
                ready[start].append(await gateway.start())
                if start == "warm" and round_ == 0:  # a first snapshot for the next rounds to start from
                    await traffic(gateway.port, 10, 100.0)
                await gateway.signal(signal.SIGKILL)
    finally:
        host.close()
    medians = {start: statistics.median(times) for start, times in ready.items()}
    return {"ready_s": medians, "store_start_cost": medians["cold"] / medians["none"] - 1.0}


def check_costs(folder: Path, rounds: int) -> Figures:
    """Milliseconds that `quick_check` and `integrity_check` take on a file of two snapshots (median)."""
    directory = folder / "checks"
    good_file(directory, 2)
    costs: dict[str, float] = {}
    with sqlite3.connect(directory / state.FILE) as connection:
        for pragma in ("quick_check", "integrity_check"):
            times = []
            for _ in range(rounds):
                began = time.perf_counter()
                connection.execute(f"PRAGMA {pragma}").fetchall()
                times.append((time.perf_counter() - began) * 1000)
            costs[pragma] = statistics.median(times)
    size_kib = (directory / state.FILE).stat().st_size / 1024
    return {"check_ms": costs, "file_kib": size_kib}


async def unmakeable(folder: Path) -> Figures:
    """A state directory that cannot be made (a file stands in its path): the gateway serves without a store.
    (Write permissions do not bind a process of root, so a read-only directory is tried as a full disk.)"""
    host = Host("m0")
    await host.start()
    (folder / "a-file").write_bytes(b"")
    config = configuration("mk", free_port(), "127.0.0.1:9", [endpoint(host)])
    gateway = Gateway("mk", folder, config, folder / "a-file" / "state")
    ready_s = await gateway.start()
    await gateway.signal(signal.SIGTERM)
    host.close()
    lines = len(gateway.events("state.unusable"))
    return {"unmakeable_ready": ready_s < float("inf"), "unmakeable_lines": lines}


async def run(processes: int, rounds: int, seed: int, folder: Path) -> Figures:
    figures: Figures = {"processes": processes, "rounds": rounds, "seed": seed}
    figures |= await kills(folder, rounds, processes, seed)
    figures |= await damaged_starts(folder, max(1, rounds // 10), seed)
    figures |= await full_disk(folder)
    figures |= await unmakeable(folder)
    figures |= check_costs(folder, max(5, rounds))
    figures |= await two_on_one(folder)
    figures |= await start_costs(folder, max(3, rounds // 10))
    figures |= await stopped(folder, max(3, rounds // 5), seed)
    figures |= await warm_and_cold(folder, processes, max(1, rounds // 25))
    return figures


def register(parts: Parts) -> None:
    """Add `recovery` and its arguments to the lab's commands."""
    lab = parts.add_parser("recovery", help="kills, power loss, damaged files, full disk, warm/cold starts")
    lab.add_argument("--processes", type=positive, default=3, help="processes side by side (default 3)")
    lab.add_argument("--rounds", type=positive, default=50, help="kills; a tenth as many damaged starts")
    lab.add_argument("--seed", type=int, default=1)
    lab.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    lab.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory(prefix="faultlab-") as folder:
        figures = run(arguments.processes, arguments.rounds, arguments.seed, Path(folder))
        report(asyncio.run(figures), arguments.json)
    return 0
