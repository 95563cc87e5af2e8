"""The list service with a capacity, above which calls wait, fail and slow it down further.

`Capacity` is pure, time passed in. `ListService` speaks discovery's protocol as `cloverkeel.discovery` reads
it, with one port for each caller, so that its log says who called and who was told what. As a process:
`python -m faultlab.listservice SETTINGS`, commands on standard input (`faultlab.child`).
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
from faultlab.standins import read_request, make_response

MAX_HOLD_S = 60.0
COLLAPSE_FACTOR = (
    2.0  # a collapsing service with a full queue answers a third of what one without does: 1 / (1 + 2)
)


class CapacityModel:
    """Calls answered one after the other, `rate_per_s` of them; pure, times in seconds.

    At most `queue` calls wait; one that waited over `patience_s` fails when its turn comes, at no cost. Where
    it `collapses`, a call in front of a longer queue takes longer: the rate is divided by 1 + THRASH * the
    queue's filled share. A caller that goes away frees its place; what it began is done all the same.
    """

    def __init__(self, rate_per_s: float, queue: int, patience_s: float, collapses: bool) -> None:
        self.rate_per_s, self.queue, self.patience_s = rate_per_s, queue, patience_s
        self.collapses = collapses
        self.waiting: deque[tuple[float, int]] = deque()  # (came at, call)
        self.done_s = 0.0  # when the call at the front is answered

    def arrive(self, now_s: float, call: int) -> bool:
        """Take a call; False where the queue is full and it fails at once."""
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
        """A waiting call's caller has gone away; False where the call is being answered already."""
        for place, (_, other) in enumerate(self.waiting):
            if other == call and place > 0:  # the first is being answered
                del self.waiting[place]
                return True
        return False

    @property
    def next_event_s(self) -> float | None:
        """When `advance` has something to tell next; None where nothing waits."""
        return self.done_s if self.waiting else None

    def advance(self, now_s: float) -> list[tuple[int, bool]]:
        """The calls that ended up to `now_s`, in order, and whether each is answered."""
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
    """The hosts by name, and the index at which each last changed; pure."""

    endpoints: dict[str, dict[str, Any]]
    index: int = 1
    first_index: int = 1  # the first index of this service's life: what is older it does not know
    changed_at_index: dict[str, int] | None = None

    def update(self, name: str, **fields: Any) -> int:
        """Change a host; returns the new index."""
        self.index += 1
        self.endpoints[name] = self.endpoints[name] | fields
        self.changed_at_index = (self.changed_at_index or {}) | {name: self.index}
        return self.index

    def restart(self, index: int) -> None:
        """A service started anew: its index begins again and it has no changes to tell."""
        self.index = self.first_index = index
        self.changed_at_index = None

    def response(self, since: int | None) -> dict[str, Any]:
        """The changes after `since`, or the whole list where that is unknown here."""
        if since is None or not self.first_index <= since <= self.index:
            return {"index": self.index, "snapshot": True, "endpoints": list(self.endpoints.values())}
        news = [
            self.endpoints[name] for name, index in (self.changed_at_index or {}).items() if index > since
        ]
        return {"index": self.index, "snapshot": False, "endpoints": news}


class ListService:
    """The service on sockets: a port for each caller, and a log of calls, answers and changes."""

    def __init__(self, listing: Listing, capacity: CapacityModel) -> None:
        self.listing, self.capacity = listing, capacity
        self.down = False
        self.slow_s = 0.0
        self.calls: list[tuple[float, int, int]] = []  # (time, caller, from: -1 for the whole list)
        self.responses: list[tuple[float, int, int]] = []  # (time, caller, index)
        self.failed = 0  # calls turned away, or that waited too long
        self.open_watches: dict[int, int] = {}  # the watches that wait now, by caller
        self.changed = asyncio.Event()
        self.last_call = 0
        self.queued_calls: dict[int, tuple[asyncio.Future[bool], asyncio.StreamReader]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, callers: int) -> list[str]:
        """Listen on a port for each caller; their addresses."""
        addresses = []
        for caller in range(callers):

            async def serve(r: asyncio.StreamReader, w: asyncio.StreamWriter, who: int = caller) -> None:
                await self.serve(who, r, w)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.servers.append(server)
            addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        return addresses

    def close(self) -> None:
        for server in self.servers:
            server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def wake_watches(self) -> None:
        """Wake the watches: there is something newer."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, caller: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[0]).query)
                since = int(query["from"][0]) if "from" in query else None
                hold_s = min(MAX_HOLD_S, int(query.get("hold_ms", ["0"])[0]) / 1000)
                self.calls.append((time.monotonic(), caller, -1 if since is None else since))
                if self.down:
                    await reader.read()  # silent until the caller leaves
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
        """Wait for news, or until the caller leaves: it says nothing while it waits."""
        self.open_watches[caller] = self.open_watches.get(caller, 0) + 1
        ends = [asyncio.ensure_future(self.changed.wait()), asyncio.ensure_future(reader.read(1))]
        try:
            await asyncio.wait(ends, timeout=hold_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.open_watches[caller] -= 1
            for end in ends:
                end.cancel()
            await asyncio.gather(*ends, return_exceptions=True)

    async def wait_turn(self, reader: asyncio.StreamReader) -> bool:
        """Wait for the call's turn; False where it fails."""
        self.last_call += 1
        number = self.last_call
        if not self.capacity.arrive(time.monotonic(), number):
            return False
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queued_calls[number] = turn, reader
        self.schedule_advance()
        return await turn

    def schedule_advance(self) -> None:
        next_s = self.capacity.next_event_s
        if self.timer is None and next_s is not None:
            wait_s = max(0.0, next_s - time.monotonic())
            self.timer = asyncio.get_running_loop().call_later(wait_s, self.advance)

    def advance(self) -> None:
        self.timer = None
        for number, (_, reader) in list(self.queued_calls.items()):
            if reader.at_eof() and self.capacity.cancel(number):
                self.finish_call(number, False)
        for number, answered in self.capacity.advance(time.monotonic()):
            self.finish_call(number, answered)
        self.schedule_advance()

    def finish_call(self, number: int, answered: bool) -> None:
        turn, _ = self.queued_calls.pop(number)
        if not turn.done():  # else its connection has been reset
            turn.set_result(answered)

    async def handle_command(self, do: str, order: dict[str, Any]) -> Any:
        """One command of the lab; ValueError where it is none."""
        match do:
            case "listen":
                return await self.start(order["callers"])
            case "hosts":
                self.listing.endpoints = {entry["name"]: entry for entry in order["endpoints"]}
                self.listing.index += 1
                self.wake_watches()
                return self.listing.index
            case "set":
                index = self.listing.update(order["name"], **order["fields"])
                self.wake_watches()
                return [time.monotonic(), index]
            case "mode":
                self.down, self.slow_s = order.get("down", False), order.get("slow_s", 0.0)
                if "rate_per_s" in order:
                    self.capacity.rate_per_s = order["rate_per_s"]
                return None
            case "restart":
                self.listing.restart(order["index"])
                self.reset_connections()
                return None
            case "watchers":
                return [caller for caller, count in self.open_watches.items() if count > 0]
            case "log":
                return {"calls": self.calls, "told": self.responses, "failed": self.failed}
            case _:
                raise ValueError(f"no command of the list service: {do}")


async def _make_handler(settings: dict[str, Any]) -> child.Handler:
    capacity = CapacityModel(
        settings["rate_per_s"], settings["queue"], settings["patience_s"], settings["collapses"]
    )
    return ListService(Listing({}), capacity).handle_command


if __name__ == "__main__":
    child.serve(_make_handler)
