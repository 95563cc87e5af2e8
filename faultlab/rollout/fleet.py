"""Real gateways with the conductor's duty held by quorum, an old and a new set of hosts, and steady
traffic."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from faultlab.gateway_fleet import GatewayFleet
from faultlab.gateway_process import Tally, send_request, transfer_request
from faultlab.ports import free_port
from faultlab.standins import Host, endpoint

OLD_GROUP, NEW_GROUP = "1", "9"  # groups of the hosts in the list
OLD_HOST_COUNT, NEW_HOST_COUNT = 4, 2
CONDUCTOR_TTL_S = 1.0  # time to live of the conductor's lease
MIN_ATTEMPTS = 40  # on each side, for a stage to be judged (the rule `least`)
STATUS_POLL_S = 0.02


@dataclass
class CountingHost(Host):
    """A host that counts the requests that reach it."""

    request_count: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super().serve(_CountingReader(self, reader), writer)  # type: ignore[arg-type]


class _CountingReader:
    """A stream reader that counts request heads."""

    def __init__(self, host: CountingHost, reader: asyncio.StreamReader) -> None:
        self.host, self.reader = host, reader

    async def readuntil(self, separator: bytes) -> bytes:
        head = await self.reader.readuntil(separator)
        self.host.request_count += 1
        return head

    async def readexactly(self, size: int) -> bytes:
        return await self.reader.readexactly(size)


class RolloutFleet(GatewayFleet):
    """`async with RolloutFleet(3, folder) as fleet`: gateways, old hosts, new hosts and their traffic."""

    def __init__(self, count: int, folder: Path) -> None:
        super().__init__(count, folder)
        self.old_hosts = [CountingHost(f"old-{number}") for number in range(OLD_HOST_COUNT)]
        self.new_hosts = [CountingHost(f"new-{number}") for number in range(NEW_HOST_COUNT)]
        self.voters = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.tally = Tally()
        self.sender_tasks: list[asyncio.Task[None]] = []
        self.request_tasks: set[asyncio.Task[None]] = set()

    async def start_hosts(self) -> list[dict[str, Any]]:
        for host in (*self.old_hosts, *self.new_hosts):
            await host.start()
        old = [endpoint(host) | {"group": int(OLD_GROUP)} for host in self.old_hosts]
        return old + [endpoint(host) | {"group": int(NEW_GROUP)} for host in self.new_hosts]

    def extend_config(self, config: dict[str, Any]) -> dict[str, Any]:
        duty = {"name": "rollout-conductor", "ttl_s": CONDUCTOR_TTL_S}
        duties = {"backend": "quorum", "voters": self.voters, "named": [duty]}
        return config | {"rollout": {"size": len(self.names)}, "duties": duties}

    async def status(self, name: str) -> dict[str, Any]:
        status, body = await self.call_operator(name, "/api/rollout")
        return json.loads(body) if status == 200 else {}

    def is_ready(self, status: dict[str, Any]) -> object:
        return bool(status)

    async def close(self) -> None:
        for task in (*self.sender_tasks, *self.request_tasks):
            task.cancel()
        await super().close()
        for host in (*self.old_hosts, *self.new_hosts):
            host.close()

    async def wait_conductor(self, excluded: str = "") -> str:
        """Wait until a gateway other than `excluded` is the conductor; returns its name."""
        async with asyncio.timeout(30.0):
            while True:
                for name in self.names:
                    if name != excluded and (await self.status(name)).get("conducts_here"):
                        return name
                await asyncio.sleep(STATUS_POLL_S)

    async def send_order(self, verb: str, name: str = "new", at: str = "", **spec: Any) -> str:
        """Send an order; returns its outcome: "taken", "refused: …", or "" if no conductor reported one."""
        body = b""
        if verb == "start":
            rules = {"least": MIN_ATTEMPTS} | spec.pop("rules", {})
            body = json.dumps(
                {"name": name, "hosts": {"groups": [NEW_GROUP]}, "rules": rules} | spec
            ).encode()
        target = f"/api/rollout/order?verb={verb}&name={name}"
        status, answer = await self.call_operator(at or self.names[0], target, body)
        if status not in (200, 202):
            raise RuntimeError(f"{status}: {answer!r}")
        return str(json.loads(answer)["outcome"])

    async def wait_state(self, *states: str, at: str = "", timeout_s: float = 60.0) -> dict[str, Any]:
        """Wait until a gateway's rollout is in one of these states; returns its status."""
        async with asyncio.timeout(timeout_s):
            while True:
                status = await self.status(at or self.names[0])
                if status.get("state") in states:
                    return status
                await asyncio.sleep(STATUS_POLL_S)

    def start_traffic(self, rate_per_s: float, count: int) -> None:
        """Send up to `count` single-shot requests to each gateway, at `rate_per_s` each."""
        self.sender_tasks = [
            asyncio.create_task(self._send_requests(name, rate_per_s, count)) for name in self.names
        ]

    async def _send_requests(self, name: str, rate_per_s: float, count: int) -> None:
        due_s = time.monotonic()
        for _ in range(count):
            task = asyncio.create_task(self._send_request(self.gateways[name].port))
            self.request_tasks.add(task)
            task.add_done_callback(self.request_tasks.discard)
            due_s += 1 / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _send_request(self, port: int) -> None:
        status = await send_request(port, transfer_request())
        self.tally.statuses[status] = self.tally.statuses.get(status, 0) + 1

    async def stop_traffic(self) -> Tally:
        """Stop sending and wait for all answers; returns their counts by status."""
        for task in self.sender_tasks:
            task.cancel()
        await asyncio.gather(*self.request_tasks)
        return self.tally

    def request_counts(self) -> tuple[int, int]:
        """How many requests have reached the old and the new hosts."""
        return sum(host.request_count for host in self.old_hosts), sum(
            host.request_count for host in self.new_hosts
        )
