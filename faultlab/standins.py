"""Stand-ins for the services that a gateway uses, on loopback: hosts and a list service (discovery).

They follow the platform's protocol as the gateway implements it (`cloverkeel.discovery`, `cloverkeel.hosts`):
HTTP/1.1 with keep-alive, a list of hosts as JSON at `/registry/instances`, and a watch that is held until the
list changes or `hold_ms` has passed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

MAX_HOLD_S = 2.0  # limit on how long a watch is held, whatever `hold_ms` says


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one request; returns its target, headers (names in lower case) and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ")
    if len(parts) != 3:
        return None
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return parts[1], headers, body


def make_response(status: int, body: bytes, reason: str = "X") -> bytes:
    """The bytes of a response."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s" % (status, reason.encode(), len(body), body)


class LoopbackServer:
    """Base of servers on a loopback port that the system chooses; `serve` handles each connection."""

    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """The address at which it listens, HOST:PORT."""
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


@dataclass
class Host(LoopbackServer):
    """A host that answers each request with `status` after `delay_s`."""

    name: str
    status: int = 200
    delay_s: float = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await read_request(reader) is not None:
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(make_response(self.status, b"ok" if self.status == 200 else b"failed"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def endpoint(host: Host, since_ms: int = 0) -> dict[str, Any]:
    """The entry of a host in the list; `since_ms` is when it started."""
    return {
        "name": host.name, "address": host.address, "zone": "a", "type": "m", "group": 0,
        "status": "SERVING", "weight": 1.0, "since_ms": since_ms,
    }  # fmt: skip


@dataclass
class Discovery(LoopbackServer):
    """A list service that always sends the full list; a watch (`?from=N`) waits for an index above N."""

    endpoints: list[dict[str, Any]] = field(default_factory=list)
    index: int = 1
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def full_list(self) -> dict[str, Any]:
        """The body of a response."""
        return {"index": self.index, "snapshot": True, "endpoints": self.endpoints}

    def update(self, endpoints: list[dict[str, Any]]) -> None:
        """Replace the list and answer all watches."""
        self.endpoints, self.index = endpoints, self.index + 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                query = parse_qs(urlsplit(request[0]).query)
                since = int(query.get("from", ["0"])[0])
                if since >= self.index:
                    hold_s = min(MAX_HOLD_S, int(query.get("hold_ms", ["0"])[0]) / 1000)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), hold_s)
                writer.write(make_response(200, json.dumps(self.full_list()).encode(), "OK"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
