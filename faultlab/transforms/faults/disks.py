"""What a disk does: bytes flipped or torn off under a gateway that is down, a directory that takes nothing,
a file from a week ago."""

from __future__ import annotations

import asyncio
import resource
import shutil
from pathlib import Path

from cloverkeel.fleet.state.database import STATE_FILE
from faultlab.transforms.faults.harness import QUIESCENCE_TIMEOUT_S, FaultHarness
from faultlab.transforms.faults.network import PAD_BYTES, is_candidate_or_active
from faultlab.gateway_fleet import POLL_S

REAP_AFTER_S = 2.0  # of the fleet that `old` is played on: who is away longer is a newcomer
ABSENCE_S = 2 * REAP_AFTER_S


def _state_files(field: FaultHarness, name: str) -> list[Path]:
    state = field.fleet.gateways[name].state_dir
    assert state is not None
    return [file for file in (state / STATE_FILE, state / f"{STATE_FILE}-wal") if file.exists()]


async def disk(field: FaultHarness) -> None:
    """A payload's byte flipped in the file, and the file torn, while the gateway is down: it serves again and
    has from the others what it lost."""
    names = field.fleet.names
    for hurt, victim in ((_flip, names[-1]), (_tear, names[-2])):
        await field.publish(names[0], field.make_source(pad=PAD_BYTES))
        await field.wait_quiescent()
        await field.kill(victim)
        if not hurt(_state_files(field, victim)):
            field.violations.append(f"{victim} has no file to hurt: the case shows nothing")
        field.count_fault(f"disk {hurt.__name__.strip('_')}")
        field.highest_epochs.pop(victim)  # what its disk had may be gone
        await field.wait_quiescent([name for name in names if name != victim])
        await field.fleet.start(victim)
        await field.wait_quiescent()


def _flip(files: list[Path]) -> bool:
    """In each copy of a payload that is found."""
    found = False
    for file in files:
        data = bytearray(file.read_bytes())
        at = data.find(b"~" * 64)
        while at >= 0:
            found, data[at + 7] = True, ord("!")
            at = data.find(b"~" * 64, at + 64 * 1024)
        file.write_bytes(data)
    return found


def _tear(files: list[Path]) -> bool:
    """The last third of each file is gone."""
    for file in files:
        with file.open("r+b") as opened:
            opened.truncate(file.stat().st_size * 2 // 3)
    return bool(files)


async def full(field: FaultHarness) -> None:
    """A minority's directories take nothing: what is published there is refused, the others go on, and all
    agree once there is room."""
    names = field.fleet.names
    few = names[-max(1, len(names) // 4) :]
    most = [name for name in names if name not in few]
    for name in few:
        field.count_fault("disk full")
        _limit_file_size(field, name, 0)
    try:
        if await field.publish(few[0], field.make_source()):
            field.violations.append(f"{few[0]} acknowledged what its disk did not take")
        id = await field.publish(most[0], field.make_source())
        async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
            while not is_candidate_or_active(await field.fleet.status(most[0]), id):
                await asyncio.sleep(POLL_S)
    finally:
        for name in few:
            _limit_file_size(field, name, resource.RLIM_INFINITY)
    await field.wait_quiescent()


def _limit_file_size(field: FaultHarness, name: str, size: int) -> None:
    """As a full disk: no file of the process can be written beyond this many bytes (EFBIG)."""
    process = field.fleet.gateways[name].process
    assert process is not None
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


async def old(field: FaultHarness) -> None:
    """A gateway away for longer than `reap_after_s` comes back with the file that it had then: it brings
    nothing back of what was deleted meanwhile, and ends on the fleet's set."""
    fleet, victim = field.fleet, field.fleet.names[-1]
    others = fleet.names[:-1]
    state = fleet.gateways[victim].state_dir
    assert state is not None
    await field.publish(others[0], field.make_source())
    gone = await field.publish(others[0], field.make_source("gone"), name="gone")
    await field.wait_quiescent()
    await field.kill(victim)
    kept = state.with_name("kept")
    shutil.copytree(state, kept)
    field.count_fault("old ledger")
    for _ in range(3):
        await field.publish(others[1], field.make_source())
        await field.wait_quiescent(others)
    await field.rollback(others[0], "gone")
    field.forbidden_ids.add(gone)
    await field.wait_quiescent(others)
    await asyncio.sleep(ABSENCE_S)  # the time that it is away
    shutil.rmtree(state)
    kept.rename(state)
    field.highest_epochs.pop(victim)
    await fleet.start(victim)
    status = await field.wait_quiescent()
    if status["versions"].get("gone", {}).get("active"):
        field.violations.append("what was rolled back is active again")
