"""Helper processes of the lab, which take commands.

A command is one JSON object on a line of standard input; the response is one JSON value on a line of standard
output. A child exits at the end of its standard input, so that no child outlives the lab.
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

ANSWER_TIMEOUT_S = 30.0  # for the response to one command
NICENESS = -10  # of children: above the priority of the gateways
MAX_LINE_BYTES = 64 * 1024 * 1024  # a response may hold the log of a whole run

Handler = Callable[[str, dict[str, Any]], Awaitable[Any]]


def serve(make: Callable[[dict[str, Any]], Awaitable[Handler]]) -> None:
    """Run as a child process until standard input ends.

    `make` gets the JSON object of the first argument and returns the handler, which gets each command.
    """

    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    with contextlib.suppress(PermissionError):
        # The child stands for other machines: hundreds of gateways on this one must not slow it down.
        os.setpriority(os.PRIO_PROCESS, 0, NICENESS)

    async def run() -> None:
        handle = await make(json.loads(sys.argv[1]))
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            command = json.loads(line)
            print(json.dumps(await handle(command.pop("do"), command)), flush=True)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


class Child:
    """The lab's end of a child process; sends one command at a time."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lock = asyncio.Lock()

    @classmethod
    async def start(cls, module: str, settings: dict[str, Any]) -> Child:
        """Start `python -m module SETTINGS`."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, json.dumps(settings), limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        return cls(process)

    async def call(self, do: str, **arguments: Any) -> Any:
        """Send one command and return its response.

        Raises ConnectionError if the process has exited, TimeoutError after ANSWER_TIMEOUT_S.
        """
        process = self.process
        assert process.stdin is not None and process.stdout is not None
        async with self.lock, asyncio.timeout(ANSWER_TIMEOUT_S):
            process.stdin.write(json.dumps(arguments | {"do": do}).encode() + b"\n")
            await process.stdin.drain()
            line = await process.stdout.readline()
        if not line:
            raise ConnectionError(f"lab process exited with status {await process.wait()}")
        return json.loads(line)

    async def close(self) -> None:
        """Close the standard input, and kill the process if it has not exited after 5 s."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 5.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
