"""A fleet on which faults are played, what it has acknowledged, and the invariants that it has to keep."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import signal
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from faultlab.relay import Rule
from faultlab.transforms.faults.hosts import Heads
from faultlab.gateways import POLL_S
from faultlab.transforms.published import Published

SETTINGS = {"canary_s": 0.2, "stage_timeout_s": 3.0, "canary_share": 0.3}
REST_S = 60.0  # for all to come to rest once the faults are over
SOURCE = "transform %s owner lab phase request reads x-bad writes x-mark, x-sick %s"
CLEAN = Rule()


@dataclass(frozen=True, order=True)
class Order:
    """An order that the fleet acknowledged, in the sequence of its name."""

    number: int
    id: str
    sha256: str = ""


@dataclass
class Field:
    """`injected`: faults by kind; `broken`: what went against an invariant, a line each; `lost`: acknowledged
    orders that came to no end."""

    fleet: Published
    heads: Heads
    rng: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    answers: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)  # the reasons given
    broken: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    open: dict[str, list[Order]] = field(default_factory=dict)  # by name: acknowledged, not judged yet
    barred: set[str] = field(default_factory=set)  # ids that must not be active at rest
    shas: dict[str, str] = field(default_factory=dict)  # by id
    slots: dict[int, str] = field(default_factory=dict)  # by epoch: what it has as active
    highest: dict[str, int] = field(default_factory=dict)  # the last epoch seen, by gateway
    down: set[str] = field(default_factory=set)  # killed or stopped just now, by `mixed`
    marks: Iterator[int] = field(default_factory=lambda: iter(range(1, 1_000_000)))

    def source(self, name: str = "mark", body: str = "", pad: int = 0) -> bytes:
        """A sound transform of its own text; `pad` bytes of comment make its payload longer."""
        text = SOURCE % (name, body or f'set x-mark = "{next(self.marks)}"')
        return text.encode() + (b"\n#" + b"~" * pad if pad else b"")

    async def publish(self, at: str, source: bytes, wait: str = "quorum", name: str = "mark") -> str:
        """Have it published at a gateway; its id where that was acknowledged, else ""."""
        status, body = await self.fleet.call(at, f"/api/transforms/publish?wait={wait}", source)
        return self._answered(status, body, name, hashlib.sha256(source).hexdigest())

    async def rollback(self, at: str, name: str = "mark", wait: str = "quorum") -> str:
        status, body = await self.fleet.call(at, f"/api/transforms/rollback?name={name}&wait={wait}", b"")
        return self._answered(status, body, name, "")

    def _answered(self, status: int, body: bytes, name: str, sha256: str) -> str:
        told = {200: "acknowledged", 202: "kept", 0: "silent"}.get(status, "refused")
        self.answers[told] += 1
        if status not in (200, 202):
            self.refusals[body.partition(b"\n")[0][:80].decode(errors="replace")] += status != 0
            return ""
        answer = json.loads(body)
        order = Order(int(answer["number"]), str(answer["id"]), sha256)
        self.shas[order.id] = sha256
        if status == 202:
            return ""
        self.open.setdefault(name, []).append(order)
        return order.id

    async def begin(self) -> Field:
        """The first epoch, which takes all members."""
        await self.publish(self.fleet.names[0], self.source())
        await self.rest()
        return self

    # Faults.

    def count(self, kind: str, times: int = 1) -> None:
        self.injected[kind] += times

    async def kill(self, name: str) -> None:
        self.count("killed")
        await self.fleet.gateways[name].signal(signal.SIGKILL)

    async def stop(self, name: str, seconds: float) -> None:
        """Stopped for so long: the fault itself."""
        self.count("stopped")
        await self.fleet.gateways[name].signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        await self.fleet.gateways[name].signal(signal.SIGCONT)

    def cut(self, some: Iterable[str]) -> tuple[list[str], list[str]]:
        """Cut these off from the others; both sides."""
        self.count("cut")
        few = sorted(some)
        most = [name for name in self.fleet.names if name not in few]
        self.fleet.relay.cut(few, most)
        return few, most

    def reset(self) -> None:
        """Break all open streams between the members; no fault where none is open."""
        if self.fleet.relay.reset(self.fleet.names, self.fleet.names):
            self.count("streams reset")

    # What has to hold.

    def see(self, at: str, status: dict[str, Any], at_rest: bool = False) -> None:
        """Judge what one gateway says: one value for an epoch, none goes back, an id has its own bytes."""
        epoch = int(status["epoch"])
        if epoch < self.highest.get(at, 0):
            self.broken.append(f"{at} fell from epoch {self.highest[at]} to {epoch}")
        self.highest[at] = epoch
        shown = {}
        for name, entry in sorted(status["versions"].items()):
            for key in ("active", "candidate", "before"):
                version = entry[key] or {"id": "", "sha256": ""}
                shown[f"{name}.{key}"] = version["id"]
                if version["sha256"] and version["sha256"] != self.shas.get(version["id"], version["sha256"]):
                    self.broken.append(f"{at} has other bytes for {version['id']}")
            if at_rest and shown[f"{name}.active"] in self.barred:
                self.broken.append(f"{at} has {shown[f'{name}.active']} active, which was taken out")
        text = json.dumps({key: id for key, id in shown.items() if id})
        if self.slots.setdefault(epoch, text) != text:
            self.broken.append(f"epoch {epoch} is {self.slots[epoch]}, and {text} at {at}")

    async def look(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """The status of each gateway that gives one, judged."""
        asked = list(self.fleet.names if names is None else names)
        found = dict(zip(asked, await asyncio.gather(*map(self.fleet.status, asked)), strict=True))
        for at, status in found.items():
            if status:
                self.see(at, status)
        return {at: status for at, status in found.items() if status}

    async def rest(self, names: Iterable[str] | None = None) -> dict[str, Any]:
        """Once all live members are on one epoch with nothing on its way: judged, the status of one. Raises
        TimeoutError."""
        asked = list(self.fleet.names if names is None else names)
        last: dict[str, Any] = {}
        try:
            async with asyncio.timeout(REST_S):
                while True:
                    last = await self.look(asked)
                    if len(last) == len(asked) and _rests(list(last.values()), len(asked)):
                        break
                    await asyncio.sleep(5 * POLL_S)
        except TimeoutError:
            raise TimeoutError(f"no rest: {json.dumps(_short(last))}") from None
        for at, status in last.items():
            self.see(at, status, at_rest=True)
        status = last[asked[0]]
        self._judge(status)
        if self.heads.faults:
            self.broken.append(f"heads: {dict(self.heads.faults)}")
            self.heads.faults.clear()
        return status

    def _judge(self, status: dict[str, Any]) -> None:
        """Each acknowledged order has been carried out, or passed over by a later one."""
        for name, orders in self.open.items():
            entry = status["versions"].get(name)
            last = Order(*entry["last"]) if entry else Order(0, "")
            for order in orders:
                if (order.number, order.id) > (last.number, last.id):
                    self.lost.append(f"{name} {order.id}")
            top = max(orders)
            is_active = entry and entry["active"] and entry["active"]["id"] == top.id
            if top.sha256 and top.id not in self.barred and last.id == top.id and not is_active:
                self.broken.append(f"{name} {top.id} is the last, and not active: {entry['why']}")
        self.open.clear()


def _rests(statuses: list[dict[str, Any]], count: int) -> bool:
    """All of one epoch and one view, each member reported at it, no order or candidate on its way."""
    first = statuses[0]
    return all(
        status["epoch"] == first["epoch"] and status["live"] == count and status["may_decide"]
        and all(each["state"] in ("active", "none") and not each["open_orders"] and not each["behind"]
                for each in status["transforms"])
        and all(member["epoch"] == first["epoch"] for member in status["members"] if member["live"])
        for status in statuses
    )  # fmt: skip


def _short(statuses: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {
        at: [status["epoch"], status["live"], status["may_decide"],
             [(each["name"], each["state"], each["behind"], each["waits"] or each["why"])
              for each in status["transforms"]], status["waits"].get("", "")]
        for at, status in statuses.items()
    }  # fmt: skip
