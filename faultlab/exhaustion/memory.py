"""The memory of a process, watched as the platform does: by what is resident."""

from __future__ import annotations

from pathlib import Path


def status_kb(pid: int, field: str) -> int:
    """A field of /proc/PID/status in kB; 0 if the process is gone."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


def peak_mb(pid: int) -> float:
    """The most that was ever resident, in MiB; read it before the process ends."""
    return status_kb(pid, "VmHWM") / 1024


def descriptors(pid: int) -> int:
    """Number of descriptors that the process holds; 0 if it is gone."""
    try:
        return len(list(Path(f"/proc/{pid}/fd").iterdir()))
    except OSError:
        return 0
