"""Discovery as each gateway sees it: an agent of its own, which may be silent, refused or late.

It follows PROTOCOL's page: the whole list, or a watch that waits for a newer version. Its outages and the
watches that it gets are written down for `notification`.
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
from faultlab.soak.records import DiscoveryAddress, Outage, Watch
from faultlab.standins import read_request, make_response

MAX_HOLD_S = 20.0
LATE_DELAY_S = 0.8  # an answer that is late


class Registry:
    """The list that all agents tell of, and who is told of each change."""

    def __init__(self, listed: Callable[[], list[dict[str, Any]]]) -> None:
        self.list_hosts = listed
        self.index = 1
        self.changed = asyncio.Event()

    def publish_change(self) -> None:
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": self.list_hosts()}


class DiscoveryAgent:
    """One gateway's way to discovery.

    `life` tells which of the gateway's processes runs; `on_written` gets that and each list as it is written.
    """

    def __init__(
        self,
        registry: Registry,
        life: Callable[[], int],
        on_written: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self.registry, self.run_number, self.on_written = registry, life, on_written
        self.record = DiscoveryAddress(float("-inf"))
        self.silent_until_s = self.late_until_s = 0.0
        self.is_retired = False
        self.server: asyncio.Server | None = None
        self.port = free_port()  # of its own also while it refuses: the system lends it to nobody
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

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

    def retire(self) -> None:
        """Close for good: the gateway asks at another address."""
        self.is_retired = True
        self.close()

    async def refuse_connections(self, seconds: float) -> None:
        """Be refused for so long, at the same address after."""
        outage = Outage(time.monotonic(), float("inf"), is_silent=False)
        self.record.outages.append(outage)
        self.close()
        await asyncio.sleep(seconds)
        if not self.is_retired:
            await self.start()
        outage.until_s = time.monotonic()

    def go_silent(self, seconds: float) -> None:
        now_s = time.monotonic()
        self.silent_until_s = max(self.silent_until_s, now_s + seconds)
        self.record.outages.append(Outage(now_s, self.silent_until_s, is_silent=True))

    def answer_late(self, seconds: float) -> None:
        self.late_until_s = time.monotonic() + seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        life = self.run_number()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[0]).query)
                hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
                watch = Watch(life, time.monotonic(), hold_s)
                self.record.watches.append(watch)
                await self.wait_newer(int(query.get("from", ["0"])[0]), hold_s)
                watch.until_s = time.monotonic()
                if writer.is_closing():
                    break  # nothing is told on a connection that was ended meanwhile
                snapshot = self.registry.snapshot()
                writer.write(make_response(200, json.dumps(snapshot).encode(), "OK"))
                self.on_written(life, snapshot)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def wait_newer(self, known: int, hold_s: float) -> None:
        """Until there is something newer, the wait is over, and this agent speaks."""
        until_s = time.monotonic() + min(hold_s, MAX_HOLD_S)
        while self.registry.index <= known and (left_s := until_s - time.monotonic()) > 0:
            changed = self.registry.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if time.monotonic() < self.late_until_s:
            await asyncio.sleep(LATE_DELAY_S)
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)
