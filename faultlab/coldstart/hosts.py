"""Stand-in hosts that are cold at the start, hold few connections, and for which a new connection costs work.

A child process of the lab: `python -m faultlab.coldstart.hosts SETTINGS`, commands on standard input. Work is
modelled and uses no CPU time: a response is sent when a host of that capacity would have it ready. The first
four hex digits of an `X-Call-Id` identify the gateway that the lab's client sent the request to (`call_id`).
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any, cast

from faultlab import child
from faultlab.coldstart.host_capacity import HostCapacity
from faultlab.messages import parse_message
from faultlab.standins import make_response

HANDSHAKE_WORK = 0.2  # work of a new connection, in requests
PROBE_WORK = 0.1  # work of a probe, in requests
MAX_QUEUE_S = 1.0  # a request that would wait longer is rejected
FALL_DURATION_S = 1.0  # time for which a host that fell rejects everything
REJECTED_RESPONSE = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
OK_RESPONSE, ERROR_RESPONSE = make_response(200, b"ok", "OK"), make_response(500, b"failed")


def call_id(gateway: int, number: int) -> str:
    """A call id of 16 hex digits, as the protocol requires: four for the gateway, then a sequence number."""
    return f"{gateway:04x}{number:012x}"


@dataclass(slots=True, eq=False)
class ColdHost:
    """The state of one host."""

    name: str
    capacity: HostCapacity
    max_connections: int
    fails: bool
    connections: int = 0
    fallen_until_s: float = 0.0


class ArrivalLog:
    """What arrived at the hosts: requests, new connections, probes and rejections."""

    def __init__(self) -> None:
        self.requests: list[tuple[float, int, int]] = []  # (time, host, gateway)
        self.opened: list[tuple[float, int]] = []
        self.probes: list[tuple[float, int]] = []
        self.rejected: dict[str, int] = {"connections": 0, "queue": 0, "fallen": 0}


class ColdHostConnection(asyncio.Protocol):
    """One connection to a host, with one request at a time."""

    def __init__(self, number: int, host: ColdHost, log: ArrivalLog) -> None:
        self.number, self.host, self.log = number, host, log
        self.over_limit = False
        self.is_new = True
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.connections += 1
        self.over_limit = self.host.connections > self.host.max_connections
        self.log.opened.append((time.monotonic(), self.number))

    def connection_lost(self, error: Exception | None) -> None:
        self.host.connections -= 1

    def data_received(self, data: bytes) -> None:
        message, self.data = parse_message(self.data + data)
        if message is not None:
            self.on_request(message.target, message.headers.get(b"x-call-id", b""))

    def on_request(self, target: bytes, id_: bytes) -> None:
        """Record a request or a probe, and answer it as the state of the host says."""
        now_s, host = time.monotonic(), self.host
        is_probe = target in (b"/health/live", b"/stats")
        work = (PROBE_WORK if is_probe else 1.0) + (HANDSHAKE_WORK if self.is_new else 0.0)
        self.is_new = False
        if is_probe:
            self.log.probes.append((now_s, self.number))
        else:
            self.log.requests.append((now_s, self.number, int(id_[:4] or b"ffff", 16)))
        if host.capacity.add_work(now_s, work):
            host.fallen_until_s = now_s + FALL_DURATION_S
        if now_s < host.fallen_until_s:
            self.reject("fallen")
        elif self.over_limit:
            self.reject("connections")
        elif host.fails:
            self.respond(ERROR_RESPONSE)
        elif host.capacity.busy_until_s - now_s > MAX_QUEUE_S:
            self.reject("queue")
        else:
            done_s = host.capacity.completion_s(now_s, work)
            asyncio.get_running_loop().call_later(done_s - now_s, self.respond, OK_RESPONSE)

    def reject(self, reason: str) -> None:
        """Count a rejection by its reason and send 503; close a connection over the limit."""
        self.log.rejected[reason] += 1
        self.respond(REJECTED_RESPONSE)
        if self.over_limit:
            self.transport.close()

    def respond(self, data: bytes) -> None:
        """Send a response, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)


async def _make_handler(settings: dict[str, Any]) -> child.Handler:
    log, loop = ArrivalLog(), asyncio.get_running_loop()
    hosts: list[ColdHost] = []
    addresses: list[str] = []
    for number, entry in enumerate(settings["hosts"]):
        account = HostCapacity(**settings["account"])
        host = ColdHost(entry["name"], account, settings["cap"], entry["fails"])
        hosts.append(host)
        server = await loop.create_server(
            lambda number=number, host=host: ColdHostConnection(number, host, log),  # type: ignore[misc]
            "127.0.0.1", 0, backlog=1024,
        )  # fmt: skip
        addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")

    async def handle_command(do: str, arguments: dict[str, Any]) -> Any:
        match do:
            case "addresses":
                return addresses
            case "restart":
                for host in hosts:
                    host.capacity.restart(time.monotonic())
                return None
            case "used":  # the hosts, except failing ones, that got requests after a moment
                used = {number for at_s, number, _ in reversed(log.requests) if at_s > arguments["after_s"]}
                return sorted(number for number in used if not hosts[number].fails)
            case "log":
                falls = sum(host.capacity.falls for host in hosts)
                return {"requests": log.requests, "opened": log.opened, "probes": log.probes,
                        "turned_away": log.rejected, "falls": falls}  # fmt: skip
            case _:
                raise ValueError(f"unknown command of the hosts: {do}")

    return handle_command


if __name__ == "__main__":
    child.serve(_make_handler)
