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
from faultlab.transforms.faults.hosts import HeadChecker
from faultlab.gateway_fleet import POLL_S
from faultlab.transforms.fleet import TransformsFleet

SETTINGS = {"canary_s": 0.2, "stage_timeout_s": 3.0, "canary_share": 0.3}
QUIESCENCE_TIMEOUT_S = 60.0  # for all to come to rest once the faults are over
SOURCE = "transform %s owner lab phase request reads x-bad writes x-mark, x-sick %s"
PASS_THROUGH = Rule()


@dataclass(frozen=True, order=True)
class Order:
    """An order that the fleet acknowledged, in the sequence of its name."""

    number: int
    id: str
    sha256: str = ""


@dataclass
class FaultHarness:
    """`injected`: faults by kind; `broken`: what went against an invariant, a line each; `lost`: acknowledged
    orders that came to no end."""

    fleet: TransformsFleet
    head_checker: HeadChecker
    rng: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    order_outcomes: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)  # the reasons given
    violations: list[str] = field(default_factory=list)
    lost_orders: list[str] = field(default_factory=list)
    unchecked_orders: dict[str, list[Order]] = field(
        default_factory=dict
    )  # by name: acknowledged, not judged yet
    forbidden_ids: set[str] = field(default_factory=set)  # ids that must not be active at rest
    sha256_by_id: dict[str, str] = field(default_factory=dict)  # by id
    versions_by_epoch: dict[int, str] = field(default_factory=dict)  # by epoch: what it has as active
    highest_epochs: dict[str, int] = field(default_factory=dict)  # the last epoch seen, by gateway
    unavailable: set[str] = field(default_factory=set)  # killed or stopped just now, by `mixed`
    mark_numbers: Iterator[int] = field(default_factory=lambda: iter(range(1, 1_000_000)))

    def make_source(self, name: str = "mark", body: str = "", pad: int = 0) -> bytes:
        """A sound transform of its own text; `pad` bytes of comment make its payload longer."""
        text = SOURCE % (name, body or f'set x-mark = "{next(self.mark_numbers)}"')
        return text.encode() + (b"\n#" + b"~" * pad if pad else b"")

    async def publish(self, at: str, source: bytes, wait: str = "quorum", name: str = "mark") -> str:
        """Have it published at a gateway; its id where that was acknowledged, else ""."""
        status, body = await self.fleet.call_operator(at, f"/api/transforms/publish?wait={wait}", source)
        return self._record_answer(status, body, name, hashlib.sha256(source).hexdigest())

    async def rollback(self, at: str, name: str = "mark", wait: str = "quorum") -> str:
        status, body = await self.fleet.call_operator(
            at, f"/api/transforms/rollback?name={name}&wait={wait}", b""
        )
        return self._record_answer(status, body, name, "")

    def _record_answer(self, status: int, body: bytes, name: str, sha256: str) -> str:
        told = {200: "acknowledged", 202: "kept", 0: "silent"}.get(status, "refused")
        self.order_outcomes[told] += 1
        if status not in (200, 202):
            self.refusals[body.partition(b"\n")[0][:80].decode(errors="replace")] += status != 0
            return ""
        answer = json.loads(body)
        order = Order(int(answer["number"]), str(answer["id"]), sha256)
        self.sha256_by_id[order.id] = sha256
        if status == 202:
            return ""
        self.unchecked_orders.setdefault(name, []).append(order)
        return order.id

    async def publish_first(self) -> FaultHarness:
        """The first epoch, which takes all members."""
        await self.publish(self.fleet.names[0], self.make_source())
        await self.wait_quiescent()
        return self

    # Faults.

    def count_fault(self, kind: str, times: int = 1) -> None:
        self.injected[kind] += times

    async def kill(self, name: str) -> None:
        self.count_fault("killed")
        await self.fleet.gateways[name].signal(signal.SIGKILL)

    async def stop_for(self, name: str, seconds: float) -> None:
        """Stopped for so long: the fault itself."""
        self.count_fault("stopped")
        await self.fleet.gateways[name].signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        await self.fleet.gateways[name].signal(signal.SIGCONT)

    def cut(self, some: Iterable[str]) -> tuple[list[str], list[str]]:
        """Cut these off from the others; both sides."""
        self.count_fault("cut")
        few = sorted(some)
        most = [name for name in self.fleet.names if name not in few]
        self.fleet.relay.cut(few, most)
        return few, most

    def reset_streams(self) -> None:
        """Break all open streams between the members; no fault where none is open."""
        if self.fleet.relay.reset_streams(self.fleet.names, self.fleet.names):
            self.count_fault("streams reset")

    # What has to hold.

    def check_status(self, at: str, status: dict[str, Any], at_rest: bool = False) -> None:
        """Judge what one gateway says: one value for an epoch, none goes back, an id has its own bytes."""
        epoch = int(status["epoch"])
        if epoch < self.highest_epochs.get(at, 0):
            self.violations.append(f"{at} fell from epoch {self.highest_epochs[at]} to {epoch}")
        self.highest_epochs[at] = epoch
        shown = {}
        for name, entry in sorted(status["versions"].items()):
            for key in ("active", "candidate", "before"):
                version = entry[key] or {"id": "", "sha256": ""}
                shown[f"{name}.{key}"] = version["id"]
                if version["sha256"] and version["sha256"] != self.sha256_by_id.get(
                    version["id"], version["sha256"]
                ):
                    self.violations.append(f"{at} has other bytes for {version['id']}")
            if at_rest and shown[f"{name}.active"] in self.forbidden_ids:
                self.violations.append(f"{at} has {shown[f'{name}.active']} active, which was taken out")
        text = json.dumps({key: id for key, id in shown.items() if id})
        if self.versions_by_epoch.setdefault(epoch, text) != text:
            self.violations.append(f"epoch {epoch} is {self.versions_by_epoch[epoch]}, and {text} at {at}")

    async def check_statuses(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """The status of each gateway that gives one, judged."""
        asked = list(self.fleet.names if names is None else names)
        found = dict(zip(asked, await asyncio.gather(*map(self.fleet.status, asked)), strict=True))
        for at, status in found.items():
            if status:
                self.check_status(at, status)
        return {at: status for at, status in found.items() if status}

    async def wait_quiescent(self, names: Iterable[str] | None = None) -> dict[str, Any]:
        """Once all live members are on one epoch with nothing on its way: judged, the status of one. Raises
        TimeoutError."""
        asked = list(self.fleet.names if names is None else names)
        last: dict[str, Any] = {}
        try:
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                while True:
                    last = await self.check_statuses(asked)
                    if len(last) == len(asked) and _is_quiescent(list(last.values()), len(asked)):
                        break
                    await asyncio.sleep(5 * POLL_S)
        except TimeoutError:
            raise TimeoutError(f"no rest: {json.dumps(_brief(last))}") from None
        for at, status in last.items():
            self.check_status(at, status, at_rest=True)
        status = last[asked[0]]
        self._check_orders(status)
        if self.head_checker.violations:
            self.violations.append(f"heads: {dict(self.head_checker.violations)}")
            self.head_checker.violations.clear()
        return status

    def _check_orders(self, status: dict[str, Any]) -> None:
        """Each acknowledged order has been carried out, or passed over by a later one."""
        for name, orders in self.unchecked_orders.items():
            entry = status["versions"].get(name)
            last = Order(*entry["last"]) if entry else Order(0, "")
            for order in orders:
                if (order.number, order.id) > (last.number, last.id):
                    self.lost_orders.append(f"{name} {order.id}")
            top = max(orders)
            is_active = entry and entry["active"] and entry["active"]["id"] == top.id
            if top.sha256 and top.id not in self.forbidden_ids and last.id == top.id and not is_active:
                self.violations.append(f"{name} {top.id} is the last, and not active: {entry['why']}")
        self.unchecked_orders.clear()


def _is_quiescent(statuses: list[dict[str, Any]], count: int) -> bool:
    """All of one epoch and one view, each member reported at it, no order or candidate on its way."""
    first = statuses[0]
    return all(
        status["epoch"] == first["epoch"] and status["live"] == count and status["may_decide"]
        and all(each["state"] in ("active", "none") and not each["open_orders"] and not each["behind"]
                for each in status["transforms"])
        and all(member["epoch"] == first["epoch"] for member in status["members"] if member["live"])
        for status in statuses
    )  # fmt: skip


def _brief(statuses: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {
        at: [status["epoch"], status["live"], status["may_decide"],
             [(each["name"], each["state"], each["behind"], each["waits"] or each["why"])
              for each in status["transforms"]], status["waits"].get("", "")]
        for at, status in statuses.items()
    }  # fmt: skip
