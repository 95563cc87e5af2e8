"""Kills processes that write state, and runs one whose disk is full."""

from __future__ import annotations

import asyncio
import os
import random
import resource
import shutil
import signal
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from faultlab.gateway_process import ROOT
from faultlab.recovery.files import Figures, copy_as_after_power_loss, open_copy, write_good_file


async def spawn_writer(directory: Path, count: int, fsize: int | None = None) -> asyncio.subprocess.Process:
    """Start a `faultlab.recovery.writer`; no file of it may grow beyond `fsize` bytes."""

    def limit_file_size() -> None:  # runs in the child
        # Without the signal, a write beyond the limit fails with EFBIG, much as on a full disk.
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        if fsize is not None:
            resource.setrlimit(resource.RLIMIT_FSIZE, (fsize, fsize))

    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "faultlab.recovery.writer", str(directory), str(count), cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, preexec_fn=limit_file_size,
    )  # fmt: skip


async def read_lines_until(process: asyncio.subprocess.Process, done: Callable[[str], bool]) -> list[str]:
    """Read lines of a writer up to the first for which `done` is true, or to its exit.

    Raises TimeoutError after 10 s.
    """
    assert process.stdout is not None
    seen: list[str] = []
    async with asyncio.timeout(10.0):
        async for raw in process.stdout:
            seen.append(raw.decode().strip())
            if done(seen[-1]):
                break
    return seen


async def kill_writers(folder: Path, rounds: int, processes: int, seed: int) -> Figures:
    """Kill writers (SIGKILL) at random moments; the start of the next writer reports what it found.

    Every fourth round also copies the files during a write, as a power loss would leave them, and opens the
    copy.
    """
    rng = random.Random(seed)
    outcomes: Counter[str] = Counter()
    power_outcomes: Counter[str] = Counter()
    lost = 0

    async def run_writers(number: int, share: int) -> None:
        nonlocal lost
        directory = folder / f"kill-{number}"
        directory.mkdir()
        last = -1
        for round_ in range(share + 1):
            process = await spawn_writer(directory, 10_000)
            first = await read_lines_until(process, lambda line: line.startswith(("found", "locked")))
            found = int(first[-1].split()[1]) if first and first[-1].startswith("found ") else None
            if round_ > 0:  # the last reported commit, or one that was killed before it was reported
                if found == last or found == last + 1:
                    outcomes["restored last" if found == last else "restored in-flight"] += 1
                else:
                    outcomes["wrong, lost or ahead"] += 1
                    lost += found is not None and found < last
            if round_ == share:
                process.kill()
                await process.wait()
                break
            await asyncio.sleep(rng.uniform(0.0, 0.03))  # the kill falls at a random moment of the writing
            if round_ % 4 == 0:
                copy = folder / f"power-{number}-{round_}"
                copy_as_after_power_loss(directory, copy)
                verdict, _ = open_copy(copy)
                power_outcomes[verdict] += 1
                shutil.rmtree(copy)
            process.kill()
            assert process.stdout is not None
            words = (await process.stdout.read()).decode().split()
            await process.wait()
            committed = [int(words[i + 1]) for i, w in enumerate(words) if w == "committed"]
            last = max([last, found if found is not None else -1, *committed])
        corrupt = [n for n in os.listdir(directory) if ".corrupt-" in n]
        outcomes["moved aside"] += len(corrupt)

    shares = [rounds // processes + (n < rounds % processes) for n in range(processes)]
    await asyncio.gather(*(run_writers(n, share) for n, share in enumerate(shares)))
    return {"kills": sum(shares), "kill_outcomes": dict(outcomes), "lost_commits": lost,
            "power_copies": dict(power_outcomes)}  # fmt: skip


async def full_disk(folder: Path) -> Figures:
    """Run a writer whose files may not grow beyond a limit (RLIMIT_FSIZE gives EFBIG, much as a full disk).

    The writer has to go on after failed writes, and the file has to stay sound and keep what was committed.
    """
    directory = folder / "full"
    write_good_file(directory, 1)
    size = sum(p.stat().st_size for p in directory.iterdir())
    process = await spawn_writer(directory, 40, fsize=size + 4096)
    lines = await read_lines_until(process, lambda line: False)
    await process.wait()
    committed = [int(line.split()[1]) for line in lines if line.startswith("committed")]
    verdict, seq = open_copy(directory)
    return {
        "full_disk_failed_writes": sum(line.startswith("failed") for line in lines),
        "full_disk_exit": process.returncode,
        "full_disk_reopened": verdict,
        "full_disk_committed": len(committed),
        "full_disk_kept_last": seq == (committed[-1] if committed else 0),
    }
