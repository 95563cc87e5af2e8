"""Worker processes that compete for duties, with one state directory or one voter each, and store faults."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sqlite3
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cloverkeel.fleet.state import STATE_FILE, StoreCounters, Store

from faultlab.duties.resource import FirstAction, Resource
from faultlab.gateway_process import ROOT
from faultlab.ports import free_port


COUNT_TIMEOUT_S = 10.0  # for a worker to print its count of transactions


def create_state_file(directory: Path) -> None:
    """Create a state file as a gateway's store does."""
    lock = Store.acquire_lock(str(directory))
    assert lock is not None
    store, _ = Store.open(str(directory), lock, StoreCounters(), time.time())
    store.prepare()
    store.close()


@dataclass
class WorkerProcess:
    """One `faultlab.duties.worker` process; `config` is its argument."""

    config: dict[str, Any]
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """The worker's name, as in its holder's name."""
        return str(self.config["name"])

    async def start(self) -> None:
        """Start the process and wait until it is ready for signals."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "faultlab.duties.worker", json.dumps(self.config), cwd=ROOT,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        assert self.process.stdout is not None
        await self.process.stdout.readline()  # "ready": its signal handlers are installed

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def transactions(self) -> int:
        """How many transactions the worker has made since its start."""
        self.send_signal(signal.SIGUSR1)
        assert self.process is not None and self.process.stdout is not None
        async with asyncio.timeout(COUNT_TIMEOUT_S):
            return int(await self.process.stdout.readline())

    async def stop(self, signum: signal.Signals) -> None:
        """Send a signal and wait until the process has ended."""
        self.send_signal(signum)
        if self.process is not None:
            await self.process.wait()


class DutySite:
    """`async with DutySite(folder, 10, {"chore": 2.0}) as site`: workers w0, w1, ... compete for the duties.

    The first `careless` workers do not check that they still hold a duty before they act.
    """

    def __init__(
        self, folder: Path, count: int, duties: dict[str, float], backend: str = "local", careless: int = 0
    ) -> None:
        self.folder, self.duties, self.backend = folder, duties, backend
        self.resource = Resource()
        self.workers: list[WorkerProcess] = []
        self.stopped_in_write = False  # whether the last stopped holder kept the state file locked
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(count)] if backend == "quorum" else []
        for number in range(count):
            config: dict[str, Any] = {"name": f"w{number}", "duties": duties, "directory": str(folder)}
            config["careless"] = number < careless
            if addresses:
                worker_folder = folder / f"w{number}"
                worker_folder.mkdir()
                others = [address for address in addresses if address != addresses[number]]
                config |= {"directory": str(worker_folder), "bind": addresses[number], "others": others}
            self.workers.append(WorkerProcess(config))

    async def __aenter__(self) -> DutySite:
        if self.backend == "local":
            create_state_file(self.folder)
        port = await self.resource.start()
        for worker in self.workers:
            worker.config["resource"] = port
        await asyncio.gather(*(worker.start() for worker in self.workers))
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(worker.stop(signal.SIGKILL) for worker in self.workers))
        self.resource.close()

    async def wait_held(self, duty: str, timeout_s: float = 30.0) -> FirstAction:
        """Wait until a worker holds a duty; returns its first action. Raises TimeoutError."""
        action = await self.resource.wait_first_action(duty, 0, timeout_s)
        if action is None:
            raise TimeoutError(f"no worker acted on duty {duty} within {timeout_s:g} s")
        return action

    def worker_of(self, holder: str) -> WorkerProcess:
        """The worker with this holder's name."""
        name = holder.partition("/")[0]
        return next(worker for worker in self.workers if worker.name == name)

    # Faults of the store

    def is_locked(self) -> bool:
        """Whether a process holds the state file's write lock now; False for the quorum backend."""
        if self.backend != "local":
            return False
        writer = sqlite3.connect(self.folder / STATE_FILE, isolation_level=None, timeout=0.2)
        try:
            writer.execute("BEGIN IMMEDIATE")
            writer.execute("ROLLBACK")
        except sqlite3.OperationalError:
            return True
        finally:
            writer.close()
        return False

    async def lock_store(self, length_s: float) -> None:
        """Hold the state file's write lock for so long, as another program would."""
        writer = sqlite3.connect(self.folder / STATE_FILE, isolation_level=None, timeout=5.0)
        try:
            writer.execute("BEGIN IMMEDIATE")
            await asyncio.sleep(length_s)  # how long the fault lasts
            writer.execute("ROLLBACK")
        finally:
            writer.close()

    def replace_store(self) -> None:
        """Replace the state file by a copy, as a restore from a backup does."""
        path = self.folder / STATE_FILE
        copy = path.with_suffix(".copy")
        with sqlite3.connect(path, timeout=5.0) as source, sqlite3.connect(copy) as target:
            source.backup(target)
        source.close()
        target.close()
        for suffix in ("-wal", "-shm"):
            Path(f"{path}{suffix}").unlink(missing_ok=True)
        os.replace(copy, path)

    def lose_store(self) -> None:
        """Put a directory in place of the state file, so that it can be neither read nor written."""
        path = self.folder / STATE_FILE
        os.replace(path, path.with_suffix(".lost"))
        path.mkdir()

    def restore_store(self) -> None:
        """Undo `lose_store`."""
        path = self.folder / STATE_FILE
        shutil.rmtree(path)
        os.replace(path.with_suffix(".lost"), path)
