"""One gateway process with little memory, and paced hosts in a thread of their own."""

from __future__ import annotations

import asyncio
import concurrent.futures
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
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


class HostThread:
    """Paced hosts on an event loop in a thread, so that a blocking crowd does not slow them down."""

    def __init__(self, count: int) -> None:
        self.hosts = [PacedHost() for _ in range(count)]
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the thread and let all hosts listen."""
        self.thread.start()
        starts = [asyncio.run_coroutine_threadsafe(host.start(), self.loop) for host in self.hosts]
        concurrent.futures.wait(starts)

    async def _end(self) -> None:
        for host in self.hosts:
            host.abort()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def close(self) -> None:
        """End all connections, then the loop and the thread."""
        asyncio.run_coroutine_threadsafe(self._end(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


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
    hosts: list[PacedHost]
    log: Path

    @property
    def peak_mb(self) -> float:
        """The most memory that the gateway held at once."""
        return memory.peak_mb(self.process.pid)

    @property
    def resident_mb(self) -> float:
        """What it holds now."""
        return memory.resident_mb(self.process.pid)

    @property
    def seen(self) -> list[str]:
        """The ids of the requests that reached a host whole."""
        return [seen.id for host in self.hosts for seen in host.seen]

    def ask(self, head: bytes, timeout_s: float = 3.0) -> tuple[int, float]:
        """Send one request on a connection of its own; returns its status, 0 for none, and the seconds."""
        began_s = time.monotonic()
        status = asyncio.run(send_request(self.port, head, timeout_s))
        return status, time.monotonic() - began_s


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
    thread = HostThread(hosts)
    thread.start()
    with tempfile.TemporaryDirectory() as folder:
        port = free_port()
        entries = [endpoint(number, host.address) for number, host in enumerate(thread.hosts)]
        config = configuration("g", port, "127.0.0.1:9", entries)
        config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        config["settings"]["lanes"] = [lane | settings for lane in config["settings"]["lanes"]]
        process = start_gateway(Path(folder), config)
        try:
            wait_ready(port, process)
            yield Site(port, process, thread.hosts, Path(folder) / "g.log")
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()
            thread.close()
