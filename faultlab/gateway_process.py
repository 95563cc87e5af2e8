"""Gateway processes on loopback, their configuration, and a client that sends a fixed number of requests.

Every wait has a timeout: a process that never becomes ready, or a request that is never answered, shows up in
the figures instead of blocking the experiment.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from faultlab.ports import free_port, listens

ROOT = Path(__file__).parent.parent
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: lab\r\n\r\n"
OPERATOR_READY_REQUEST = b"GET /api/ready HTTP/1.1\r\nHost: lab\r\n\r\n"
START_TIMEOUT_S = 10.0
READY_CALL_TIMEOUT_S = 0.5  # of one readiness call
POLL_S = 0.005
CALL_TIMEOUT_S = 2.0
_request_numbers = itertools.count()


def configuration(name: str, port: int, discovery: str, endpoints: list[dict[str, Any]]) -> dict[str, Any]:
    """A gateway's configuration with a `free` class, `search`, and a `single_shot` class, `transfer`.

    The lab sends `transfer` requests: they are attempted once, so that a failure of a host reaches the client
    and is counted.
    """
    lane = {"aimUs": 500_000, "giveUpUs": 1_000_000, "lateValue": 0.5, "value": 1.0, "group": "all",
            "windowUs": 1_000_000}  # fmt: skip
    return {
        "name": name, "listen": f"127.0.0.1:{port}", "discovery": discovery, "seed": name,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": {
            "zones": ["a"], "shapes": ["m"], "tenants": [{"name": "lab", "fraction": 1.0}],
            "balancers": 1, "index": 0, "zone": 0, "objectiveMix": {}, "prices": {},
            "membershipMode": "pushed", "report": {"how": "piggyback", "fields": ["queue"]},
            "caps": {"maxAttempts": 1, "mayCancel": True, "connectTimeoutUs": 500_000,
                     "keepaliveUs": 60_000_000, "secondCopies": False},
            "contract": {"stopSendingWithinUs": 1_000_000, "mustAskInUs": 400_000, "answerSlackUs": 0,
                         "startCapacity": 1.0, "warmAfterUs": 0, "tipMultiple": 1.0, "fallUs": 1_000_000},
            "lanes": [lane | {"name": "search", "effect": "free"},
                      lane | {"name": "transfer", "effect": "single_shot"}],
        },
    }  # fmt: skip


@dataclass
class GatewayProcess:
    """One `python -m cloverkeel` process, with its configuration file and its state directory."""

    name: str
    folder: Path
    config: dict[str, Any]
    state_dir: Path | None
    listener_fd: int | None = None  # descriptor of a listening socket that it inherits ($LB_ACCEPT_FD)
    process: asyncio.subprocess.Process | None = None
    log: list[str] = field(default_factory=list)
    log_reader: asyncio.Task[None] | None = None
    line_logged: asyncio.Event = field(default_factory=asyncio.Event)
    root: Path = ROOT  # working directory: the source tree of the program that it runs
    environment: dict[str, str] = field(default_factory=dict)  # variables in addition to those of the lab

    @property
    def port(self) -> int:
        """The port on which it serves clients."""
        return int(self.config["listen"].rpartition(":")[2])

    async def start(self) -> float:
        """Start the process and return the seconds until it was ready.

        Returns inf if it exits first or is not ready within START_TIMEOUT_S.
        """
        if self.listener_fd is not None and "operator" not in self.config:
            self.config = self.config | {"operator": f"127.0.0.1:{free_port()}"}
        file = self.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.config))
        environment = os.environ | self.environment | {"LB_CONFIG": str(file)}
        environment.pop("LB_STATE_DIR", None)
        if self.state_dir is not None:
            environment["LB_STATE_DIR"] = str(self.state_dir)
        if self.listener_fd is not None:
            environment["LB_ACCEPT_FD"] = str(self.listener_fd)
        self.log = []  # lines of the new process only
        began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverkeel", cwd=self.root, env=environment,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
            pass_fds=() if self.listener_fd is None else (self.listener_fd,),
        )  # fmt: skip
        self.log_reader = asyncio.create_task(self._read_log(self.process))
        while time.monotonic() - began < START_TIMEOUT_S and self.process.returncode is None:
            if await self.is_ready(self.process):
                return time.monotonic() - began
            await asyncio.sleep(POLL_S)
        return float("inf")

    async def is_ready(self, process: asyncio.subprocess.Process) -> bool:
        """Whether this process itself reports that it is ready.

        A response alone does not prove it: another process may have taken the port, and its answers were once
        mistaken for those of this one. On an inherited socket the predecessor answers too, so the operator
        address is asked instead, which each process has for itself.
        """
        port, call = self.port, READY_REQUEST
        if self.listener_fd is not None:
            port, call = int(self.config["operator"].rpartition(":")[2]), OPERATOR_READY_REQUEST
        if await send_request(port, call, READY_CALL_TIMEOUT_S) != 200:
            return False
        return process.returncode is None and listens(process.pid, port)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        async for line in process.stderr:
            self.log.append(line.decode(errors="replace").rstrip())
            self.line_logged.set()
            self.line_logged = asyncio.Event()

    def event_lines(self, name: str) -> list[str]:
        """The log lines of an event."""
        return [line for line in self.log if f"event={name} " in line + " "]

    async def wait_line(self, text: str, timeout_s: float = 10.0) -> str:
        """Wait for a log line that contains `text` and return the first. Raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while True:
                for line in self.log:
                    if text in line:
                        return line
                await self.line_logged.wait()

    async def signal(self, signum: int) -> None:
        """Send a signal if the process runs; after SIGKILL and SIGTERM wait until it has exited."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)
            if signum in (signal.SIGKILL, signal.SIGTERM):
                await asyncio.wait_for(self.process.wait(), 10.0)
                if self.log_reader is not None:
                    await asyncio.wait_for(self.log_reader, 5.0)


async def wait_snapshot(directory: Path, after_unix_s: float, timeout_s: float = 10.0) -> None:
    """Wait until the state file in `directory` has a snapshot from after `after_unix_s`, or TimeoutError."""
    from cloverkeel.fleet.state import read_snapshots

    async with asyncio.timeout(timeout_s):
        while not any(s.taken_unix_s > after_unix_s for s in read_snapshots(str(directory))):
            await asyncio.sleep(POLL_S)


async def send_request(port: int, head: bytes, timeout_s: float = CALL_TIMEOUT_S) -> int:
    """Send one request on a new connection; returns the status, or 0 if none came in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(head)
                line = await reader.readline()
                return int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0


def transfer_request() -> bytes:
    """A `transfer` (single-shot) request with an id of its own."""
    return (b"POST /transfer HTTP/1.1\r\nHost: lab\r\nX-Call-Id: lab-%d\r\nContent-Length: 0\r\n\r\n"
            % next(_request_numbers))  # fmt: skip


@dataclass
class Tally:
    """Number of responses that a client got, by status; 0 stands for no response."""

    statuses: dict[int, int] = field(default_factory=dict)

    @property
    def sent(self) -> int:
        """The number of requests sent."""
        return sum(self.statuses.values())

    @property
    def failed(self) -> int:
        """The number of requests with another status than 200, or without a response."""
        return sum(n for status, n in self.statuses.items() if status != 200)


async def send_traffic(port: int, count: int, rate_per_s: float) -> Tally:
    """Send `count` single-shot requests at `rate_per_s`, each on a connection of its own."""
    tally = Tally()

    async def one() -> None:
        status = await send_request(port, transfer_request())
        tally.statuses[status] = tally.statuses.get(status, 0) + 1

    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(1 / rate_per_s)
    await asyncio.gather(*tasks)
    return tally
