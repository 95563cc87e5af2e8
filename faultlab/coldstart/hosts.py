"""Stand-in hosts that are cold at the start, hold few connections and pay for each new one.

A process of the lab: `python -m faultlab.coldstart.hosts SETTINGS`, commands on standard input. Work costs no
processor here: an answer waits until a host of that capacity would have it. The first four hex digits of an
`X-Call-Id` name the gateway that the lab's client sent the request to (`call_id`).
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

HANDSHAKE_WORK = 0.2  # of a request's work, for a new connection
PROBE_WORK = 0.1  # the same for a probe
MAX_QUEUE_S = 1.0  # work that waits longer is turned away
FALL_DURATION_S = 1.0  # a host that fell answers nothing else for so long
REJECTED_RESPONSE = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
OK_RESPONSE, ERROR_RESPONSE = make_response(200, b"ok", "OK"), make_response(500, b"failed")


def call_id(gateway: int, number: int) -> str:
    """16 hex digits, as the protocol has them: the gateway in the first four, then a running number."""
    return f"{gateway:04x}{number:012x}"


@dataclass(slots=True, eq=False)
class ColdHost:
    """One host: what came to it and when, and how it stands."""

    name: str
    capacity: HostCapacity
    max_connections: int
    fails: bool
    connections: int = 0
    fallen_until_s: float = 0.0


class ArrivalLog:
    """What came to all hosts: times, hosts and gateways."""

    def __init__(self) -> None:
        self.requests: list[tuple[float, int, int]] = []  # (time, host, gateway)
        self.opened: list[tuple[float, int]] = []
        self.probes: list[tuple[float, int]] = []
        self.rejected: dict[str, int] = {"connections": 0, "queue": 0, "fallen": 0}


class ColdHostConnection(asyncio.Protocol):
    """One connection; it carries one request at a time, each with a whole head and a short body."""

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

    def on_request(self, target: bytes, call: bytes) -> None:
        now_s, host = time.monotonic(), self.host
        is_probe = target in (b"/health/live", b"/stats")
        work = (PROBE_WORK if is_probe else 1.0) + (HANDSHAKE_WORK if self.is_new else 0.0)
        self.is_new = False
        if is_probe:
            self.log.probes.append((now_s, self.number))
        else:
            self.log.requests.append((now_s, self.number, int(call[:4] or b"ffff", 16)))
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

    def reject(self, why: str) -> None:
        self.log.rejected[why] += 1
        self.respond(REJECTED_RESPONSE)
        if self.over_limit:
            self.transport.close()

    def respond(self, data: bytes) -> None:
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

    async def obey(do: str, order: dict[str, Any]) -> Any:
        match do:
            case "addresses":
                return addresses
            case "restart":
                for host in hosts:
                    host.capacity.restart(time.monotonic())
                return None
            case "used":  # the hosts in good order that requests came to after a moment
                came = {number for at_s, number, _ in reversed(log.requests) if at_s > order["after_s"]}
                return sorted(number for number in came if not hosts[number].fails)
            case "log":
                falls = sum(host.capacity.falls for host in hosts)
                return {"requests": log.requests, "opened": log.opened, "probes": log.probes,
                        "turned_away": log.rejected, "falls": falls}  # fmt: skip
            case _:
                raise ValueError(f"no command of the hosts: {do}")

    return obey


if __name__ == "__main__":
    child.serve(_make_handler)
