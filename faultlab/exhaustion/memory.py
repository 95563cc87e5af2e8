"""The memory of a process, watched as the platform does: by what is resident."""

from __future__ import annotations

import asyncio
from pathlib import Path

SAMPLE_INTERVAL_S = 0.01


def status_kb(pid: int, field: str) -> int:
    """A field of /proc/PID/status in kB; 0 if the process is gone."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


def resident_mb(pid: int) -> float:
    """What is resident now, in MiB."""
    return status_kb(pid, "VmRSS") / 1024


def peak_mb(pid: int) -> float:
    """The most that was ever resident, in MiB; read it before the process ends."""
    return status_kb(pid, "VmHWM") / 1024


def descriptors(pid: int) -> int:
    """Number of descriptors that the process holds; 0 if it is gone."""
    try:
        return len(list(Path(f"/proc/{pid}/fd").iterdir()))
    except OSError:
        return 0


async def wait_resident_above(pid: int, limit_mb: float, timeout_s: float) -> bool:
    """Whether the process exceeds `limit_mb` within `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            while peak_mb(pid) <= limit_mb:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
            return True
    except TimeoutError:
        return False
