"""Fault cases of the disk: bytes of a stopped gateway's files flipped or truncated, a full disk, and an old
copy of the state file."""

from __future__ import annotations

import asyncio
import resource
import shutil
from pathlib import Path

from cloverkeel.fleet.state.database import STATE_FILE
from faultlab.transforms.faults.harness import QUIESCENCE_TIMEOUT_S, FaultHarness
from faultlab.transforms.faults.network import PAD_BYTES, is_candidate_or_active
from faultlab.gateway_fleet import POLL_S

REAP_AFTER_S = 2.0  # `reap_after_s` of the fleet of `old`: a member absent for longer rejoins as a new one
ABSENCE_S = 2 * REAP_AFTER_S


def _state_files(harness: FaultHarness, name: str) -> list[Path]:
    state = harness.fleet.gateways[name].state_dir
    assert state is not None
    return [file for file in (state / STATE_FILE, state / f"{STATE_FILE}-wal") if file.exists()]


async def disk(harness: FaultHarness) -> None:
    """Flip a byte of a payload in the file, or truncate the file, while the gateway is down: it starts again
    and fetches from the others what it lost."""
    names = harness.fleet.names
    for damage, victim in ((_flip, names[-1]), (_tear, names[-2])):
        await harness.publish(names[0], harness.make_source(pad=PAD_BYTES))
        await harness.wait_quiescent()
        await harness.kill(victim)
        if not damage(_state_files(harness, victim)):
            harness.violations.append(f"{victim} has no state file to damage: the case tested nothing")
        harness.count_fault(f"disk {damage.__name__.strip('_')}")
        harness.highest_epochs.pop(victim)  # its stored epoch may be lost
        await harness.wait_quiescent([name for name in names if name != victim])
        await harness.fleet.start(victim)
        await harness.wait_quiescent()


def _flip(files: list[Path]) -> bool:
    """Flip a byte in each copy of a payload; returns whether one was flipped."""
    flipped = False
    for file in files:
        data = bytearray(file.read_bytes())
        at = data.find(b"~" * 64)
        while at >= 0:
            flipped, data[at + 7] = True, ord("!")
            at = data.find(b"~" * 64, at + 64 * 1024)
        file.write_bytes(data)
    return flipped


def _tear(files: list[Path]) -> bool:
    """Cut off the last third of each file; returns whether there is one."""
    for file in files:
        with file.open("r+b") as writable:
            writable.truncate(file.stat().st_size * 2 // 3)
    return bool(files)


async def full(harness: FaultHarness) -> None:
    """The disks of a minority are full: it refuses publications, the others continue, and all agree once the
    disks have space again."""
    names = harness.fleet.names
    minority_names = names[-max(1, len(names) // 4) :]
    majority_names = [name for name in names if name not in minority_names]
    for name in minority_names:
        harness.count_fault("disk full")
        _limit_file_size(harness, name, 0)
    try:
        if await harness.publish(minority_names[0], harness.make_source()):
            harness.violations.append(
                f"{minority_names[0]} acknowledged a version that its full disk could not store"
            )
        id = await harness.publish(majority_names[0], harness.make_source())
        async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
            while not is_candidate_or_active(await harness.fleet.status(majority_names[0]), id):
                await asyncio.sleep(POLL_S)
    finally:
        for name in minority_names:
            _limit_file_size(harness, name, resource.RLIM_INFINITY)
    await harness.wait_quiescent()


def _limit_file_size(harness: FaultHarness, name: str, size: int) -> None:
    """Simulate a full disk: writes of the process beyond this file size fail (EFBIG)."""
    process = harness.fleet.gateways[name].process
    assert process is not None
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


async def old(harness: FaultHarness) -> None:
    """A gateway absent for longer than `reap_after_s` comes back with its old file: it brings nothing back
    that was deleted meanwhile, and reaches the fleet's active versions."""
    fleet, victim = harness.fleet, harness.fleet.names[-1]
    others = fleet.names[:-1]
    state = fleet.gateways[victim].state_dir
    assert state is not None
    await harness.publish(others[0], harness.make_source())
    gone_id = await harness.publish(others[0], harness.make_source("gone"), name="gone")
    await harness.wait_quiescent()
    await harness.kill(victim)
    saved = state.with_name("kept")
    shutil.copytree(state, saved)
    harness.count_fault("old ledger")
    for _ in range(3):
        await harness.publish(others[1], harness.make_source())
        await harness.wait_quiescent(others)
    await harness.rollback(others[0], "gone")
    harness.forbidden_ids.add(gone_id)
    await harness.wait_quiescent(others)
    await asyncio.sleep(ABSENCE_S)  # how long the gateway is absent
    shutil.rmtree(state)
    saved.rename(state)
    harness.highest_epochs.pop(victim)
    await fleet.start(victim)
    status = await harness.wait_quiescent()
    if status["versions"].get("gone", {}).get("active"):
        harness.violations.append("a rolled-back version is active again")
