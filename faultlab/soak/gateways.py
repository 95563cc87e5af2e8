"""The gateways of the soak: starts, stops and reconfigures their processes, and checks their resources."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import time
from pathlib import Path
from typing import Any

from faultlab.gateway_process import GatewayProcess
from faultlab.ports import free_port
from faultlab.soak.records import ProcessRun, Records, Violation
from faultlab.soak.settings import DESCRIPTOR_LIMIT, Settings

SIGHUP_DELAY_S = 1.0  # no SIGHUP is sent to a process that is younger (TERMS)
INVARIANT_TEXT = "invariant"


class ManagedGateway:
    """One gateway at one address, with the processes that run it one after another."""

    def __init__(self, number: int, settings: Settings, records: Records, folder: Path) -> None:
        self.number, self.settings, self.records, self.folder = number, settings, records, folder
        self.port = free_port()
        self.run_count = 0
        self.gateway: GatewayProcess | None = None
        self.current_run = ProcessRun(number, 0, time.monotonic())
        self.stop_requested = False
        self.longest_stop_s = 0.0
        self.lock = asyncio.Lock()  # held during one series of signals

    async def start(self, discovery: str, known: list[dict[str, Any]]) -> None:
        """Start a new process and wait until it is ready; one that is not ready in time is a violation."""
        self.run_count += 1
        self.stop_requested = False
        self.current_run = ProcessRun(self.number, self.run_count, time.monotonic())
        self.records.runs[self.number, self.run_count] = self.current_run
        config = self.settings.configuration(self.number, self.port, discovery, known)
        gateway = GatewayProcess(f"g{self.number}", self.folder, config, None, environment={"LB_CHECK": "1"})
        self.gateway = gateway
        if await gateway.start() < float("inf"):
            self.current_run.ready_s = time.monotonic()
        else:
            self.add_violation("ready", f"g{self.number} did not become ready: {gateway.log[-3:]}")

    def add_violation(self, rule: str, detail: str) -> None:
        """Record a violation that is seen now."""
        self.records.violations.append(Violation(time.monotonic(), rule, detail))

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The process that runs or ran last; there has to be one."""
        assert self.gateway is not None and self.gateway.process is not None
        return self.gateway.process

    @property
    def pid(self) -> int | None:
        """The id of the running process; None if none runs.

        A process has no id until the system has created it, and a seed may end just then.
        """
        if self.gateway is None or self.gateway.process is None:
            return None
        return self.process.pid if self.process.returncode is None else None

    def reconfigure(self, discovery: str, known: list[dict[str, Any]]) -> None:
        """Write a new configuration with discovery at another address."""
        file = self.folder / f"g{self.number}.json"
        config = self.settings.configuration(self.number, self.port, discovery, known)
        file.write_text(json.dumps(config))

    async def wait_sighup_allowed(self) -> None:
        """Wait until the process is old enough for a SIGHUP."""
        await asyncio.sleep(max(0.0, self.current_run.started_s + SIGHUP_DELAY_S - time.monotonic()))

    def send_sighup(self) -> None:
        """Send SIGHUP: the process reads its configuration again."""
        self.process.send_signal(signal.SIGHUP)

    def send_sigterm(self) -> None:
        """Send SIGTERM: the process shuts down gracefully."""
        self.stop_requested = True
        self.current_run.sigterm_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    async def wait_or_kill(self) -> None:
        """After SIGTERM, wait for the exit; send SIGKILL at the earliest moment that the rules allow."""
        left_s = self.current_run.sigterm_s + self.settings.kill_after_s - time.monotonic()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), max(0.0, left_s))
        self.longest_stop_s = max(self.longest_stop_s, time.monotonic() - self.current_run.sigterm_s)
        if self.process.returncode is None:
            await self.kill()
        else:
            self.current_run.ended_s = time.monotonic()
            if self.process.returncode != 0:
                self.add_violation(
                    "crash", f"g{self.number} ended with {self.process.returncode} after SIGTERM"
                )
        self.check_log()

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.stop_requested = True
        self.current_run.sigkill_s = time.monotonic()
        self.process.kill()
        await self.process.wait()

    def check_process(self) -> None:
        """Record a violation if the process has exited unasked or has too many descriptors."""
        if self.gateway is None or self.gateway.process is None:
            return
        code = self.process.returncode
        if code is not None and not self.stop_requested:
            self.stop_requested = True
            self.add_violation("crash", f"g{self.number} ended with {code}: {self.gateway.log[-3:]}")
        count = self.descriptors()
        if count > DESCRIPTOR_LIMIT:
            self.add_violation("descriptors", f"g{self.number} has {count} of {DESCRIPTOR_LIMIT}")

    def check_log(self) -> None:
        """Record the broken invariants and the tracebacks in the log as violations, then clear the log."""
        assert self.gateway is not None
        for line in self.gateway.log:
            if INVARIANT_TEXT in line or line.startswith("Traceback"):
                self.add_violation("invariant", f"g{self.number}: {line}")
        self.gateway.log.clear()

    def memory_kb(self) -> int:
        """Resident memory of the process in kB; 0 if none runs."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def descriptors(self) -> int:
        """Number of open descriptors; 0 if no process runs."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0
