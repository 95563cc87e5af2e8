"""Real gateways that hold the conductor's duty by quorum, an old and a new set of hosts, steady traffic."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from faultlab.gateways import Gateways
from faultlab.lab import Tally, ask, transfer
from faultlab.ports import free_port
from faultlab.standins import Host, endpoint

OLD, NEW = "1", "9"  # groups of the list
OLD_HOSTS, NEW_HOSTS = 4, 2
TTL_S = 1.0  # of the conductor's duty
LEAST = 40
SHOWN_S = 0.02


@dataclass
class Counted(Host):
    """A host that counts what reaches it."""

    got: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super().serve(_Counting(self, reader), writer)  # type: ignore[arg-type]


class _Counting:
    """A reader that counts heads: one to a request."""

    def __init__(self, host: Counted, reader: asyncio.StreamReader) -> None:
        self.host, self.reader = host, reader

    async def readuntil(self, separator: bytes) -> bytes:
        head = await self.reader.readuntil(separator)
        self.host.got += 1
        return head

    async def readexactly(self, size: int) -> bytes:
        return await self.reader.readexactly(size)


class Rolling(Gateways):
    """`async with Rolling(3, folder) as fleet`: `fleet.new` are the hosts of the new set."""

    def __init__(self, count: int, folder: Path) -> None:
        super().__init__(count, folder)
        self.old = [Counted(f"old-{number}") for number in range(OLD_HOSTS)]
        self.new = [Counted(f"new-{number}") for number in range(NEW_HOSTS)]
        self.voters = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.tally = Tally()
        self.senders: list[asyncio.Task[None]] = []
        self.sent: set[asyncio.Task[None]] = set()

    async def listed(self) -> list[dict[str, Any]]:
        for host in (*self.old, *self.new):
            await host.start()
        old = [endpoint(host) | {"group": int(OLD)} for host in self.old]
        return old + [endpoint(host) | {"group": int(NEW)} for host in self.new]

    def configured(self, config: dict[str, Any]) -> dict[str, Any]:
        duty = {"name": "rollout-conductor", "ttl_s": TTL_S}
        duties = {"backend": "quorum", "voters": self.voters, "named": [duty]}
        return config | {"rollout": {"size": len(self.names)}, "duties": duties}

    async def status(self, name: str) -> dict[str, Any]:
        status, body = await self.call(name, "/api/rollout")
        return json.loads(body) if status == 200 else {}

    def ready(self, status: dict[str, Any]) -> object:
        return bool(status)

    async def close(self) -> None:
        for task in (*self.senders, *self.sent):
            task.cancel()
        await super().close()
        for host in (*self.old, *self.new):
            host.close()

    async def conductor(self, but: str = "") -> str:
        """Which gateway conducts, once one other than `but` does."""
        async with asyncio.timeout(30.0):
            while True:
                for name in self.names:
                    if name != but and (await self.status(name)).get("conducts_here"):
                        return name
                await asyncio.sleep(SHOWN_S)

    async def order(self, verb: str, name: str = "new", at: str = "", **spec: Any) -> str:
        """What became of an order: "taken", "refused: …", or "" where no conductor has said it."""
        body = b""
        if verb == "start":
            rules = {"least": LEAST} | spec.pop("rules", {})
            body = json.dumps({"name": name, "hosts": {"groups": [NEW]}, "rules": rules} | spec).encode()
        target = f"/api/rollout/order?verb={verb}&name={name}"
        status, answer = await self.call(at or self.names[0], target, body)
        if status not in (200, 202):
            raise RuntimeError(f"{status}: {answer!r}")
        return str(json.loads(answer)["outcome"])

    async def until(self, *states: str, at: str = "", timeout_s: float = 60.0) -> dict[str, Any]:
        """A gateway's status, once it is in one of these states."""
        async with asyncio.timeout(timeout_s):
            while True:
                found = await self.status(at or self.names[0])
                if found.get("state") in states:
                    return found
                await asyncio.sleep(SHOWN_S)

    def send(self, rate_per_s: float, count: int) -> None:
        """Up to `count` single-shot requests at each gateway, `rate_per_s` each."""
        self.senders = [asyncio.create_task(self._send(name, rate_per_s, count)) for name in self.names]

    async def _send(self, name: str, rate_per_s: float, count: int) -> None:
        due_s = time.monotonic()
        for _ in range(count):
            task = asyncio.create_task(self._one(self.gateways[name].port))
            self.sent.add(task)
            task.add_done_callback(self.sent.discard)
            due_s += 1 / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _one(self, port: int) -> None:
        status = await ask(port, transfer())
        self.tally.statuses[status] = self.tally.statuses.get(status, 0) + 1

    async def quiet(self) -> Tally:
        """No more traffic; what became of all that was sent."""
        for task in self.senders:
            task.cancel()
        await asyncio.gather(*self.sent)
        return self.tally

    def got(self) -> tuple[int, int]:
        """Requests that have reached the old and the new hosts."""
        return sum(host.got for host in self.old), sum(host.got for host in self.new)
