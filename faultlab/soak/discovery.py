"""Discovery as each gateway sees it: an agent of its own, which may be silent, refused or late.

It follows PROTOCOL's page: the whole list, or a watch that waits for a newer version. What is written to a
gateway counts as told, and at the latest 6 s after discovery had it and could be reached.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from faultlab.ports import free_port
from faultlab.standins import read_request, reply

TOLD_WITHIN_S = 6.0
HOLD_CAP_S = 20.0
LATE_S = 0.8  # an answer that is late


class Registry:
    """The list that all agents tell of, and who is told of each change."""

    def __init__(self, listed: Callable[[], list[dict[str, Any]]]) -> None:
        self.listed = listed
        self.index = 1
        self.changed = asyncio.Event()

    def change(self) -> None:
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": self.listed()}


class Agent:
    """One gateway's way to discovery. `on_told` gets each list's index as it is written."""

    def __init__(self, registry: Registry, on_told: Callable[[dict[str, Any]], None]) -> None:
        self.registry, self.on_told = registry, on_told
        self.silent_until_s = self.late_until_s = 0.0
        self.reachable_since_s = 0.0
        self.server: asyncio.Server | None = None
        self.port = free_port()  # of its own also while it refuses: the system lends it to nobody
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.reachable_since_s = time.monotonic()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """Take no new connections and end the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in self.writers:
            writer.close()

    async def refuse(self, seconds: float) -> None:
        """Be refused for so long, at the same address after."""
        self.close()
        await asyncio.sleep(seconds)
        await self.start()

    def fall_silent(self, seconds: float) -> None:
        self.silent_until_s = time.monotonic() + seconds
        self.reachable_since_s = self.silent_until_s

    def fall_late(self, seconds: float) -> None:
        self.late_until_s = time.monotonic() + seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[0]).query)
                await self.wait(int(query.get("from", ["0"])[0]), int(query.get("hold_ms", ["0"])[0]) / 1000)
                if writer.is_closing():
                    break  # nothing is told on a connection that was ended meanwhile
                snapshot = self.registry.snapshot()
                writer.write(reply(200, json.dumps(snapshot).encode(), "OK"))
                self.on_told(snapshot)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def wait(self, known: int, hold_s: float) -> None:
        """Until there is something newer, the wait is over, and this agent speaks."""
        until_s = time.monotonic() + min(hold_s, HOLD_CAP_S)
        while self.registry.index <= known and (left_s := until_s - time.monotonic()) > 0:
            changed = self.registry.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if time.monotonic() < self.late_until_s:
            await asyncio.sleep(LATE_S)
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)
