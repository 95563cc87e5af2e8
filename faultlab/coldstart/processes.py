"""Starts hundreds of gateway processes at one moment, and stops them.

Each process is first a shell that waits at a common pipe. Closing the pipe releases all shells, and each
replaces itself by a gateway. Where the system has `setpriv --pdeathsig`, the kernel kills them when the lab
exits for whatever reason.
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
    """Gateway processes by number; `folder` has the configuration and the log of each."""

    def __init__(self, folder: Path, configs: list[dict[str, Any]]) -> None:
        self.folder, self.configs = folder, configs
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        setpriv = shutil.which("setpriv")
        prefix = f"{setpriv} --pdeathsig KILL " if setpriv else ""
        self.command = f'read _; exec {prefix}"$0" -m cloverkeel </dev/null'
        for number, config in enumerate(configs):
            (folder / f"{number}.json").write_text(json.dumps(config))

    def spawn_waiting(self, numbers: list[int]) -> int:
        """Start shells that wait at a pipe; returns the descriptor whose closing starts the gateways."""
        read_end, write_end = os.pipe()
        for number in numbers:
            environment = os.environ | {"LB_CONFIG": str(self.folder / f"{number}.json")}
            environment.pop("LB_STATE_DIR", None)
            with open(self.folder / f"{number}.log", "ab") as log:
                self.processes[number] = subprocess.Popen(
                    ["/bin/sh", "-c", self.command, sys.executable], cwd=ROOT, env=environment,
                    stdin=read_end, stdout=subprocess.DEVNULL, stderr=log,
                )  # fmt: skip
        os.close(read_end)
        return write_end

    def signal(self, number: int, signum: int) -> None:
        """Send a signal; after SIGKILL wait until the process has exited."""
        process = self.processes[number]
        process.send_signal(signum)
        if signum == signal.SIGKILL:
            process.wait(10.0)

    def restart(self, numbers: list[int]) -> None:
        """Start these gateways again, all at one moment."""
        os.close(self.spawn_waiting(numbers))

    def running(self) -> list[int]:
        """The numbers of the processes that run."""
        return [number for number, process in self.processes.items() if process.poll() is None]

    def close(self) -> None:
        """Kill all processes and wait for them."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10.0)

    def memory_mb(self) -> float:
        """Mean proportional set size of the running processes, in MB."""
        sizes = []
        for number in self.running():
            with contextlib.suppress(OSError):
                text = Path(f"/proc/{self.processes[number].pid}/smaps_rollup").read_text()
                sizes += [
                    int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith("Pss:")
                ]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def cpu_s(self) -> float:
        """CPU seconds that the running processes have used in total."""
        ticks = 0
        for number in self.running():
            with contextlib.suppress(OSError):
                text = Path(f"/proc/{self.processes[number].pid}/stat").read_text()
                fields = text.rpartition(")")[2].split()
                ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def count_lines(self, text: str) -> int:
        """How often `text` occurs in the logs of all processes."""
        count = 0
        for number in range(len(self.configs)):
            with contextlib.suppress(OSError):
                count += (self.folder / f"{number}.log").read_text(errors="replace").count(text)
        return count
