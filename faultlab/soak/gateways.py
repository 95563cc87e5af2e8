"""The soak's gateway processes: their lives, signals, configurations, descriptors and memory."""

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
from faultlab.soak.records import Violation, ProcessRun, Records
from faultlab.soak.settings import DESCRIPTOR_LIMIT, Settings

SIGHUP_DELAY_S = 1.0  # no SIGHUP before it is over (TERMS)
INVARIANT_TEXT = "invariant"


class ManagedGateway:
    """One gateway through all its lives, at one address."""

    def __init__(self, number: int, settings: Settings, records: Records, folder: Path) -> None:
        self.number, self.settings, self.records, self.folder = number, settings, records, folder
        self.port = free_port()
        self.run_count = 0
        self.gateway: GatewayProcess | None = None
        self.current_run = ProcessRun(number, 0, time.monotonic())
        self.stop_requested = False
        self.longest_stop_s = 0.0
        self.lock = asyncio.Lock()  # one series of signals at a time

    async def start(self, discovery: str, known: list[dict[str, Any]]) -> None:
        """Begin a new life and wait until it is ready."""
        self.run_count += 1
        self.stop_requested = False
        self.current_run = ProcessRun(self.number, self.run_count, time.monotonic())
        self.records.runs[self.number, self.run_count] = self.current_run
        config = self.settings.configuration(self.number, self.port, discovery, known)
        made = GatewayProcess(f"g{self.number}", self.folder, config, None, environment={"LB_CHECK": "1"})
        self.gateway = made
        if await made.start() < float("inf"):
            self.current_run.ready_s = time.monotonic()
        else:
            self.add_violation("ready", f"g{self.number} did not start: {made.log[-3:]}")

    def add_violation(self, rule: str, what: str) -> None:
        self.records.violations.append(Violation(time.monotonic(), rule, what))

    @property
    def process(self) -> asyncio.subprocess.Process:
        assert self.gateway is not None and self.gateway.process is not None
        return self.gateway.process

    @property
    def pid(self) -> int | None:
        """Of the process that runs; None between two of them.

        A new one has no id until the system has made it, and a seed may end just then.
        """
        if self.gateway is None or self.gateway.process is None:
            return None
        return self.process.pid if self.process.returncode is None else None

    def reconfigure(self, discovery: str, known: list[dict[str, Any]]) -> None:
        """Write a new configuration that moves discovery."""
        file = self.folder / f"g{self.number}.json"
        config = self.settings.configuration(self.number, self.port, discovery, known)
        file.write_text(json.dumps(config))

    async def wait_sighup_allowed(self) -> None:
        """Returns once a SIGHUP may come."""
        await asyncio.sleep(max(0.0, self.current_run.started_s + SIGHUP_DELAY_S - time.monotonic()))

    def send_sighup(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    def send_sigterm(self) -> None:
        self.stop_requested = True
        self.current_run.sigterm_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    async def wait_or_kill(self) -> None:
        """SIGKILL at the earliest moment, if it has not ended by then."""
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
        self.stop_requested = True
        self.current_run.sigkill_s = time.monotonic()
        self.process.kill()
        await self.process.wait()

    def check_process(self) -> None:
        """Whether it runs when it should, and within its descriptors."""
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
        """Broken invariants that the process told of, and faults in its own code."""
        assert self.gateway is not None
        for line in self.gateway.log:
            if INVARIANT_TEXT in line or line.startswith("Traceback"):
                self.add_violation("invariant", f"g{self.number}: {line}")
        self.gateway.log.clear()

    def memory_kb(self) -> int:
        """Resident memory; 0 where it does not run."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def descriptors(self) -> int:
        """Open ones; 0 where it does not run."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.pid}/fd"))
        return 0
