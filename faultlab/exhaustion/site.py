"""One gateway process with little memory, and paced hosts in a process of their own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import multiprocessing
import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from faultlab.exhaustion import memory
from faultlab.exhaustion.host import PacedHost
from faultlab.gateway_process import READY_REQUEST, ROOT, configuration, send_request
from faultlab.ports import free_port

START_TIMEOUT_S = 15.0
LEAST_MEMORY_MB = 32  # the least that the platform gives a gateway
SOCKETS = 1024
CLIENTS = SOCKETS // 3  # clients hold no more than a third of the descriptors


class HostProcess:
    """Paced hosts in a process of their own, so that a busy crowd does not slow them down."""

    def __init__(self, count: int) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, far_end = context.Pipe()
        self.process = context.Process(target=serve_hosts, args=(count, far_end), daemon=True)
        self.process.start()
        far_end.close()
        self.addresses: list[str] = self.pipe.recv()

    def close(self) -> None:
        """End the process."""
        self.pipe.close()
        self.process.kill()
        self.process.join()


def serve_hosts(count: int, pipe: Connection) -> None:
    """Run `count` hosts, and tell their addresses; ends with the process that it belongs to."""

    async def run() -> None:
        hosts = [PacedHost() for _ in range(count)]
        for host in hosts:
            await host.start()
        pipe.send([host.address for host in hosts])
        ended = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), ended.set)
        await ended.wait()

    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    asyncio.run(run())


def endpoint(number: int, address: str) -> dict[str, Any]:
    """A host's entry in the list of the configuration."""
    return {
        "name": f"s-{number}", "address": address, "zone": "a", "type": "m", "group": 0,
        "status": "SERVING", "weight": 1.0, "since_ms": 0,
    }  # fmt: skip


@dataclass
class Site:
    """A running gateway under limits."""

    port: int
    process: subprocess.Popen[bytes]

    @property
    def peak_mb(self) -> float:
        """The most memory that the gateway held at once."""
        return memory.peak_mb(self.process.pid)


def start_gateway(
    folder: Path, config: dict[str, Any], name: str = "g", **variables: str
) -> subprocess.Popen[bytes]:
    """Start a gateway process; its log is written to `folder`/NAME.log."""
    file = folder / f"{name}.json"
    file.write_text(json.dumps(config))
    environment = os.environ | {"LB_CONFIG": str(file)} | variables
    descriptors = [int(variables["LB_ACCEPT_FD"])] if "LB_ACCEPT_FD" in variables else []
    with (folder / f"{name}.log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "cloverkeel"], cwd=ROOT, env=environment, stdout=log, stderr=log,
            pass_fds=descriptors,
        )  # fmt: skip


def wait_ready(port: int, process: subprocess.Popen[bytes]) -> None:
    """Wait until a gateway answers that it is ready. Raises TimeoutError."""
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s and process.poll() is None:
        if asyncio.run(send_request(port, READY_REQUEST, 0.5)) == 200:
            return
        time.sleep(0.01)
    raise TimeoutError("the gateway was not ready in time")


@contextlib.contextmanager
def site(
    memory_mb: float = LEAST_MEMORY_MB, sockets: int = SOCKETS, hosts: int = 4, **settings: Any
) -> Iterator[Site]:
    """A gateway under these limits; `settings` replace those of each class (`aimUs`, `giveUpUs`, …)."""
    host_process = HostProcess(hosts)
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        entries = [endpoint(number, address) for number, address in enumerate(host_process.addresses)]
        config = configuration("g", port, "127.0.0.1:9", entries)
        config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        config["settings"]["lanes"] = [lane | settings for lane in config["settings"]["lanes"]]
        process = start_gateway(Path(folder), config)
        try:
            wait_ready(port, process)
            yield Site(port, process)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()
            host_process.close()
