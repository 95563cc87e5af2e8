"""Hundreds of gateway processes that start at one moment, and their ends.

All wait in a shell at one pipe, whose end lets them go; each takes that shell's process. They end with the
lab (`setpriv --pdeathsig`, where the system has it), whatever ends that.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from faultlab.gateway_process import ROOT


class GatewayProcesses:
    """The processes by number; each has its configuration and its log in `folder`."""

    def __init__(self, folder: Path, files: list[dict[str, Any]]) -> None:
        self.folder, self.configs = folder, files
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        keeper = shutil.which("setpriv")
        tied = f"{keeper} --pdeathsig KILL " if keeper else ""
        self.command = f'read _; exec {tied}"$0" -m cloverkeel </dev/null'
        for number, file in enumerate(files):
            (folder / f"{number}.json").write_text(json.dumps(file))

    def spawn_waiting(self, numbers: list[int]) -> int:
        """Have these wait at a pipe; the descriptor whose closing starts them."""
        inner, outer = os.pipe()
        for number in numbers:
            environment = os.environ | {"LB_CONFIG": str(self.folder / f"{number}.json")}
            environment.pop("LB_STATE_DIR", None)
            with open(self.folder / f"{number}.log", "ab") as log:
                self.processes[number] = subprocess.Popen(
                    ["/bin/sh", "-c", self.command, sys.executable], cwd=ROOT, env=environment,
                    stdin=inner, stdout=subprocess.DEVNULL, stderr=log,
                )  # fmt: skip
        os.close(inner)
        return outer

    def signal(self, number: int, signum: int) -> None:
        """Send a signal; a killed process has ended when this returns."""
        process = self.processes[number]
        process.send_signal(signum)
        if signum == signal.SIGKILL:
            process.wait(10.0)

    def restart(self, numbers: list[int]) -> None:
        os.close(self.spawn_waiting(numbers))

    def running(self) -> list[int]:
        return [number for number, process in self.processes.items() if process.poll() is None]

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10.0)

    def memory_mb(self) -> float:
        """Mean proportional set size of those that live, in MB."""
        sizes = []
        for number in self.running():
            with contextlib.suppress(OSError):
                text = Path(f"/proc/{self.processes[number].pid}/smaps_rollup").read_text()
                sizes += [
                    int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("Pss:")
                ]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def cpu_s(self) -> float:
        """Processor seconds of all that live, since their starts."""
        ticks = 0
        for number in self.running():
            with contextlib.suppress(OSError):
                text = Path(f"/proc/{self.processes[number].pid}/stat").read_text()
                fields = text.rpartition(")")[2].split()
                ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def count_lines(self, text: str) -> int:
        """The log lines of all that hold `text`."""
        count = 0
        for number in range(len(self.configs)):
            with contextlib.suppress(OSError):
                count += (self.folder / f"{number}.log").read_text(errors="replace").count(text)
        return count
