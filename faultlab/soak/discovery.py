"""Discovery as each gateway sees it: an agent that may be silent, refuse connections or answer late.

An agent follows PROTOCOL's page: it sends the full list, or holds a watch until there is a newer version. It
records its outages and the watches that it gets for `notification`.
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
from faultlab.standins import make_response, read_request

MAX_HOLD_S = 20.0
LATE_DELAY_S = 0.8  # delay of a late response


class Registry:
    """The list of hosts that all agents serve; wakes them when it changes."""

    def __init__(self, list_hosts: Callable[[], list[dict[str, Any]]]) -> None:
        self.list_hosts = list_hosts
        self.index = 1
        self.changed = asyncio.Event()

    def publish_change(self) -> None:
        """Give the list a new index and wake the watches."""
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """The body of a response: the full list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.list_hosts()}


class DiscoveryAgent:
    """The discovery address of one gateway.

    `run_number` returns the number of the gateway's process that runs now. `on_written` is called with that
    number and with each list when it is written to a connection.
    """

    def __init__(
        self,
        registry: Registry,
        run_number: Callable[[], int],
        on_written: Callable[[int, dict[str, Any]], None],
    ) -> None:
        self.registry, self.run_number, self.on_written = registry, run_number, on_written
        self.record = DiscoveryAddress(float("-inf"))
        self.silent_until_s = self.late_until_s = 0.0
        self.is_retired = False
        self.server: asyncio.Server | None = None
        self.port = free_port()  # reserved also while connections are refused: outside the ephemeral range
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    @property
    def address(self) -> str:
        """The address that the gateway's configuration names."""
        return f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in self.writers:
            writer.close()

    def retire(self) -> None:
        """Close for good: the gateway has moved to another address."""
        self.is_retired = True
        self.close()

    async def refuse_connections(self, seconds: float) -> None:
        """Refuse connections for some seconds, then listen at the same address again."""
        outage = Outage(time.monotonic(), float("inf"), is_silent=False)
        self.record.outages.append(outage)
        self.close()
        await asyncio.sleep(seconds)
        if not self.is_retired:
            await self.start()
        outage.until_s = time.monotonic()

    def go_silent(self, seconds: float) -> None:
        """Send no responses for some seconds."""
        now_s = time.monotonic()
        self.silent_until_s = max(self.silent_until_s, now_s + seconds)
        self.record.outages.append(Outage(now_s, self.silent_until_s, is_silent=True))

    def answer_late(self, seconds: float) -> None:
        """Delay responses by LATE_DELAY_S for some seconds."""
        self.late_until_s = time.monotonic() + seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of the gateway."""
        self.writers.add(writer)
        run_number = self.run_number()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[0]).query)
                hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
                watch = Watch(run_number, time.monotonic(), hold_s)
                self.record.watches.append(watch)
                await self.wait_newer(int(query.get("from", ["0"])[0]), hold_s)
                watch.until_s = time.monotonic()
                if writer.is_closing():
                    break  # the connection was closed during the wait, so nothing is sent
                snapshot = self.registry.snapshot()
                writer.write(make_response(200, json.dumps(snapshot).encode(), "OK"))
                self.on_written(run_number, snapshot)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def wait_newer(self, known: int, hold_s: float) -> None:
        """Wait until there is a version newer than `known` or the hold is over, then while late or silent."""
        until_s = time.monotonic() + min(hold_s, MAX_HOLD_S)
        while self.registry.index <= known and (left_s := until_s - time.monotonic()) > 0:
            changed = self.registry.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)
        if time.monotonic() < self.late_until_s:
            await asyncio.sleep(LATE_DELAY_S)
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)
