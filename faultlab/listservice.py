"""A list service of limited capacity: above it calls queue up, fail, and may slow the service down further.

`CapacityModel` and `Listing` are pure; the time is passed in. `ListService` speaks the discovery protocol
that `cloverkeel.discovery` reads. It has one port for each caller, so that its log shows who called and who
was sent what. As a process: `python -m faultlab.listservice SETTINGS`, commands on standard input
(`faultlab.child`).
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from faultlab import child
from faultlab.standins import make_response, read_request

MAX_HOLD_S = 60.0
COLLAPSE_FACTOR = 2.0  # with a full queue a collapsing service answers 1 / (1 + 2) of its rate, a third


class CapacityModel:
    """A queue of calls that are served one at a time, `rate_per_s` of them; pure, times in seconds.

    At most `queue` calls wait. A call that has waited longer than `patience_s` fails when its turn comes and
    takes no service time. If the service `collapses`, a call takes longer the longer the queue is: the rate
    is divided by 1 + COLLAPSE_FACTOR * the filled share of the queue. A caller that leaves frees its place in
    the queue; a call that is being served is completed all the same.
    """

    def __init__(self, rate_per_s: float, queue: int, patience_s: float, collapses: bool) -> None:
        self.rate_per_s, self.queue, self.patience_s = rate_per_s, queue, patience_s
        self.collapses = collapses
        self.waiting: deque[tuple[float, int]] = deque()  # (arrival, call)
        self.done_s = 0.0  # when the first call is completed

    def arrive(self, now_s: float, call: int) -> bool:
        """Add a call to the queue; False if the queue is full, so that the call fails at once."""
        if len(self.waiting) >= self.queue:
            return False
        self.waiting.append((now_s, call))
        if len(self.waiting) == 1:
            self._start_first(now_s)
        return True

    def _start_first(self, now_s: float) -> None:
        filled = len(self.waiting) / self.queue if self.collapses else 0.0
        self.done_s = now_s + (1.0 + COLLAPSE_FACTOR * filled) / self.rate_per_s

    def cancel(self, call: int) -> bool:
        """Remove a waiting call whose caller has left; False if it is being served or not in the queue."""
        for place, (_, other) in enumerate(self.waiting):
            if other == call and place > 0:  # the first is being served
                del self.waiting[place]
                return True
        return False

    @property
    def next_event_s(self) -> float | None:
        """When `advance` has a result next; None if no call waits."""
        return self.done_s if self.waiting else None

    def advance(self, now_s: float) -> list[tuple[int, bool]]:
        """Complete calls up to `now_s`; returns them in order, each with whether it was answered."""
        ended: list[tuple[int, bool]] = []
        while self.waiting and self.done_s <= now_s:
            ended.append((self.waiting.popleft()[1], True))
            while self.waiting and self.done_s - self.waiting[0][0] > self.patience_s:
                ended.append((self.waiting.popleft()[1], False))
            if self.waiting:
                self._start_first(max(self.done_s, self.waiting[0][0]))
        return ended


@dataclass(slots=True)
class Listing:
    """The listed hosts by name, and the index at which each last changed; pure."""

    endpoints: dict[str, dict[str, Any]]
    index: int = 1
    first_index: int = 1  # index when the service started; it knows no changes from before
    changed_at_index: dict[str, int] | None = None

    def update(self, name: str, **fields: Any) -> int:
        """Change fields of a host; returns the new index."""
        self.index += 1
        self.endpoints[name] = self.endpoints[name] | fields
        self.changed_at_index = (self.changed_at_index or {}) | {name: self.index}
        return self.index

    def restart(self, index: int) -> None:
        """Restart the service: its index starts again at `index`, and it has no changes to report."""
        self.index = self.first_index = index
        self.changed_at_index = None

    def response(self, since: int | None) -> dict[str, Any]:
        """The body of a response: the changes after `since`, or the full list if that index is unknown."""
        if since is None or not self.first_index <= since <= self.index:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}
        changes = [
            self.endpoints[name] for name, index in (self.changed_at_index or {}).items() if index > since
        ]
        return {"index": self.index, "snapshot": False, "endpoints": changes}


class ListService:
    """The service on sockets: one port for each caller, and a log of calls and responses."""

    def __init__(self, listing: Listing, capacity: CapacityModel) -> None:
        self.listing, self.capacity = listing, capacity
        self.down = False
        self.slow_s = 0.0
        self.calls: list[tuple[float, int, int]] = []  # (time, caller, `from` index or -1)
        self.responses: list[tuple[float, int, int]] = []  # (time, caller, index)
        self.failed = 0  # calls refused as the queue was full, or that waited too long
        self.open_watches: dict[int, int] = {}  # number of watches held now, by caller
        self.changed = asyncio.Event()
        self.last_call = 0
        self.queued_calls: dict[int, tuple[asyncio.Future[bool], asyncio.StreamReader]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, callers: int) -> list[str]:
        """Listen on one port for each caller; returns the addresses."""
        addresses = []
        for caller in range(callers):

            async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter, who: int = caller) -> None:
                await self.serve(who, r, w)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.servers.append(server)
            addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        return addresses

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self.servers:
            server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Abort all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def wake_watches(self) -> None:
        """Wake all held watches: the list has changed."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, caller: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a caller."""
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[0]).query)
                since = int(query["from"][0]) if "from" in query else None
                hold_s = min(MAX_HOLD_S, int(query.get("hold_ms", ["0"])[0]) / 1000)
                self.calls.append((time.monotonic(), caller, -1 if since is None else since))
                if self.down:
                    await reader.read()  # send nothing until the caller leaves
                    return
                if not await self.wait_turn(reader):
                    self.failed += 1
                    if writer.is_closing() or reader.at_eof():
                        return
                    writer.write(make_response(503, b"", "Service Unavailable"))
                    continue
                if self.slow_s:
                    await asyncio.sleep(self.slow_s)
                if since is not None and since == self.listing.index:
                    await self.hold_watch(caller, reader, hold_s)
                if self.down:
                    await reader.read()
                if writer.is_closing() or reader.at_eof():
                    return
                body = self.listing.response(since)
                writer.write(make_response(200, json.dumps(body).encode(), "OK"))
                self.responses.append((time.monotonic(), caller, body["index"]))
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def hold_watch(self, caller: int, reader: asyncio.StreamReader, hold_s: float) -> None:
        """Hold a watch until the list changes, `hold_s` has passed, or the caller leaves.

        A caller sends nothing while it waits, so that any byte or end of stream means that it left.
        """
        self.open_watches[caller] = self.open_watches.get(caller, 0) + 1
        waits = [asyncio.ensure_future(self.changed.wait()), asyncio.ensure_future(reader.read(1))]
        try:
            await asyncio.wait(waits, timeout=hold_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.open_watches[caller] -= 1
            for wait in waits:
                wait.cancel()
            await asyncio.gather(*waits, return_exceptions=True)

    async def wait_turn(self, reader: asyncio.StreamReader) -> bool:
        """Queue a call and wait until it has been served; False if it fails."""
        self.last_call += 1
        number = self.last_call
        if not self.capacity.arrive(time.monotonic(), number):
            return False
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queued_calls[number] = done, reader
        self.schedule_advance()
        return await done

    def schedule_advance(self) -> None:
        """Set the timer for the next result of the capacity model."""
        next_s = self.capacity.next_event_s
        if self.timer is None and next_s is not None:
            wait_s = max(0.0, next_s - time.monotonic())
            self.timer = asyncio.get_running_loop().call_later(wait_s, self.advance)

    def advance(self) -> None:
        """Drop the calls of callers that have left and complete those that are due."""
        self.timer = None
        for number, (_, reader) in list(self.queued_calls.items()):
            if reader.at_eof() and self.capacity.cancel(number):
                self.finish_call(number, False)
        for number, answered in self.capacity.advance(time.monotonic()):
            self.finish_call(number, answered)
        self.schedule_advance()

    def finish_call(self, number: int, answered: bool) -> None:
        """Let the connection of a call go on with its result."""
        done, _ = self.queued_calls.pop(number)
        if not done.done():  # done already if its connection was reset
            done.set_result(answered)

    async def handle_command(self, do: str, arguments: dict[str, Any]) -> Any:
        """Execute one command of the lab. Raises ValueError for an unknown one."""
        match do:
            case "listen":
                return await self.start(arguments["callers"])
            case "hosts":
                self.listing.endpoints = {entry["name"]: entry for entry in arguments["endpoints"]}
                self.listing.index += 1
                self.wake_watches()
                return self.listing.index
            case "set":
                index = self.listing.update(arguments["name"], **arguments["fields"])
                self.wake_watches()
                return [time.monotonic(), index]
            case "mode":
                self.down, self.slow_s = arguments.get("down", False), arguments.get("slow_s", 0.0)
                if "rate_per_s" in arguments:
                    self.capacity.rate_per_s = arguments["rate_per_s"]
                return None
            case "restart":
                self.listing.restart(arguments["index"])
                self.reset_connections()
                return None
            case "watchers":
                return [caller for caller, count in self.open_watches.items() if count > 0]
            case "log":
                return {"calls": self.calls, "told": self.responses, "failed": self.failed}
            case _:
                raise ValueError(f"unknown command of the list service: {do}")


async def _make_handler(settings: dict[str, Any]) -> child.Handler:
    capacity = CapacityModel(
        settings["rate_per_s"], settings["queue"], settings["patience_s"], settings["collapses"]
    )
    return ListService(Listing({}), capacity).handle_command


if __name__ == "__main__":
    child.serve(_make_handler)
