"""Processes of the lab that take commands: one JSON object a line on standard input, one answer a line back.

A child ends with its standard input, so none outlives the lab.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

ANSWER_TIMEOUT_S = 30.0
NICENESS = -10
MAX_LINE_BYTES = 64 * 1024 * 1024  # an answer may hold a whole run's log

Handler = Callable[[str, dict[str, Any]], Awaitable[Any]]


def serve(make: Callable[[dict[str, Any]], Awaitable[Handler]]) -> None:
    """Run a child: `make` gets the JSON object of the first argument, its handler each command."""

    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    with contextlib.suppress(PermissionError):  # it stands for other machines: not slowed by hundreds here
        os.setpriority(os.PRIO_PROCESS, 0, NICENESS)

    async def run() -> None:
        handle = await make(json.loads(sys.argv[1]))
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            order = json.loads(line)
            print(json.dumps(await handle(order.pop("do"), order)), flush=True)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class Child:
    """One such process, as the lab sees it: one command at a time."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lock = asyncio.Lock()

    @classmethod
    async def start(cls, module: str, settings: dict[str, Any]) -> Child:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, json.dumps(settings), limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        return cls(process)

    async def call(self, do: str, **order: Any) -> Any:
        """Send one command; its answer. ConnectionError where the process ended, TimeoutError if silent."""
        process = self.process
        assert process.stdin is not None and process.stdout is not None
        async with self.lock, asyncio.timeout(ANSWER_TIMEOUT_S):
            process.stdin.write(json.dumps(order | {"do": do}).encode() + b"\n")
            await process.stdin.drain()
            line = await process.stdout.readline()
        if not line:
            raise ConnectionError(f"a process of the lab has ended with {await process.wait()}")
        return json.loads(line)

    async def close(self) -> None:
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
