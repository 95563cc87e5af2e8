"""A fleet on which faults are injected, the orders that it acknowledged, and the checks of its invariants."""

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
QUIESCENCE_TIMEOUT_S = 60.0  # for all members to become quiescent after the faults
SOURCE = "transform %s owner lab phase request reads x-bad writes x-mark, x-sick %s"
PASS_THROUGH = Rule()


@dataclass(frozen=True, order=True)
class Order:
    """An acknowledged order (publish or rollback), sorted by its number within its transform's name."""

    number: int
    id: str
    sha256: str = ""


@dataclass
class FaultHarness:
    """Injects faults into a fleet, sends it orders and checks its invariants.

    `injected`: faults by kind; `violations`: one line for each invariant that was broken; `lost_orders`:
    acknowledged orders that were neither carried out nor superseded.
    """

    fleet: TransformsFleet
    head_checker: HeadChecker
    rng: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    order_outcomes: Counter[str] = field(default_factory=Counter)  # acknowledged, kept, silent, refused
    refusals: Counter[str] = field(default_factory=Counter)  # by the first line of the answer
    violations: list[str] = field(default_factory=list)
    lost_orders: list[str] = field(default_factory=list)
    # Acknowledged orders not checked yet, by the transform's name.
    unchecked_orders: dict[str, list[Order]] = field(default_factory=dict)
    forbidden_ids: set[str] = field(default_factory=set)  # versions that must not be active when quiescent
    sha256_by_id: dict[str, str] = field(default_factory=dict)
    versions_by_epoch: dict[int, str] = field(default_factory=dict)  # JSON of what was first seen
    highest_epochs: dict[str, int] = field(default_factory=dict)  # greatest epoch seen, by gateway
    unavailable: set[str] = field(default_factory=set)  # gateways that `mixed` has killed or stopped
    mark_numbers: Iterator[int] = field(default_factory=lambda: iter(range(1, 1_000_000)))  # for x-mark

    def make_source(self, name: str = "mark", body: str = "", pad: int = 0) -> bytes:
        """A valid transform with a unique text; `pad` bytes of comment make its payload longer."""
        text = SOURCE % (name, body or f'set x-mark = "{next(self.mark_numbers)}"')
        return text.encode() + (b"\n#" + b"~" * pad if pad else b"")

    async def publish(self, at: str, source: bytes, wait: str = "quorum", name: str = "mark") -> str:
        """Publish a version at a gateway; returns its id if that was acknowledged, else ""."""
        status, body = await self.fleet.call_operator(at, f"/api/transforms/publish?wait={wait}", source)
        return self._record_answer(status, body, name, hashlib.sha256(source).hexdigest())

    async def rollback(self, at: str, name: str = "mark", wait: str = "quorum") -> str:
        """Roll a transform back at a gateway; returns the order's id if that was acknowledged, else ""."""
        status, body = await self.fleet.call_operator(
            at, f"/api/transforms/rollback?name={name}&wait={wait}", b""
        )
        return self._record_answer(status, body, name, "")

    def _record_answer(self, status: int, body: bytes, name: str, sha256: str) -> str:
        outcome = {200: "acknowledged", 202: "kept", 0: "silent"}.get(status, "refused")
        self.order_outcomes[outcome] += 1
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
        """Publish a version and wait for its epoch, which all members have to reach."""
        await self.publish(self.fleet.names[0], self.make_source())
        await self.wait_quiescent()
        return self

    # Faults.

    def count_fault(self, kind: str, times: int = 1) -> None:
        """Add to `injected`."""
        self.injected[kind] += times

    async def kill(self, name: str) -> None:
        """Kill a gateway with SIGKILL."""
        self.count_fault("killed")
        await self.fleet.gateways[name].signal(signal.SIGKILL)

    async def stop_for(self, name: str, seconds: float) -> None:
        """Stop a gateway with SIGSTOP for so many seconds."""
        self.count_fault("stopped")
        await self.fleet.gateways[name].signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        await self.fleet.gateways[name].signal(signal.SIGCONT)

    def cut(self, names: Iterable[str]) -> tuple[list[str], list[str]]:
        """Cut these members off from the others; returns both sides."""
        self.count_fault("cut")
        cut_off = sorted(names)
        remaining = [name for name in self.fleet.names if name not in cut_off]
        self.fleet.relay.cut(cut_off, remaining)
        return cut_off, remaining

    def reset_streams(self) -> None:
        """Reset all open streams between the members; not counted if none is open."""
        if self.fleet.relay.reset_streams(self.fleet.names, self.fleet.names):
            self.count_fault("streams reset")

    # Checks.

    def check_status(self, at: str, status: dict[str, Any], quiescent: bool = False) -> None:
        """Check one gateway's status: an epoch has the same versions at all gateways, no gateway's epoch
        decreases, and an id stands for the same bytes everywhere."""
        epoch = int(status["epoch"])
        if epoch < self.highest_epochs.get(at, 0):
            self.violations.append(f"{at} went back from epoch {self.highest_epochs[at]} to {epoch}")
        self.highest_epochs[at] = epoch
        version_ids = {}
        for name, entry in sorted(status["versions"].items()):
            for key in ("active", "candidate", "before"):
                version = entry[key] or {"id": "", "sha256": ""}
                version_ids[f"{name}.{key}"] = version["id"]
                if version["sha256"] and version["sha256"] != self.sha256_by_id.get(
                    version["id"], version["sha256"]
                ):
                    self.violations.append(f"{at} has other bytes for {version['id']}")
            if quiescent and version_ids[f"{name}.active"] in self.forbidden_ids:
                self.violations.append(
                    f"{at} has {version_ids[f'{name}.active']} active, which was quarantined or rolled back"
                )
        text = json.dumps({key: id for key, id in version_ids.items() if id})
        if self.versions_by_epoch.setdefault(epoch, text) != text:
            self.violations.append(f"epoch {epoch} is {self.versions_by_epoch[epoch]}, and {text} at {at}")

    async def check_statuses(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """Get and check the status of each gateway that answers."""
        gateways = list(self.fleet.names if names is None else names)
        statuses = dict(zip(gateways, await asyncio.gather(*map(self.fleet.status, gateways)), strict=True))
        for at, status in statuses.items():
            if status:
                self.check_status(at, status)
        return {at: status for at, status in statuses.items() if status}

    async def wait_quiescent(self, names: Iterable[str] | None = None) -> dict[str, Any]:
        """Wait until all live members are on one epoch with nothing under way; check all, return the status
        of the first. Raises TimeoutError."""
        gateways = list(self.fleet.names if names is None else names)
        last: dict[str, Any] = {}
        try:
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                while True:
                    last = await self.check_statuses(gateways)
                    if len(last) == len(gateways) and _is_quiescent(list(last.values()), len(gateways)):
                        break
                    await asyncio.sleep(5 * POLL_S)
        except TimeoutError:
            raise TimeoutError(
                f"not quiescent after {QUIESCENCE_TIMEOUT_S:g} s: {json.dumps(_brief(last))}"
            ) from None
        for at, status in last.items():
            self.check_status(at, status, quiescent=True)
        status = last[gateways[0]]
        self._check_orders(status)
        if self.head_checker.violations:
            self.violations.append(f"heads: {dict(self.head_checker.violations)}")
            self.head_checker.violations.clear()
        return status

    def _check_orders(self, status: dict[str, Any]) -> None:
        """Check that each acknowledged order was carried out or superseded by a later one."""
        for name, orders in self.unchecked_orders.items():
            entry = status["versions"].get(name)
            last = Order(*entry["last"]) if entry else Order(0, "")
            for order in orders:
                if (order.number, order.id) > (last.number, last.id):
                    self.lost_orders.append(f"{name} {order.id}")
            top = max(orders)
            is_active = entry and entry["active"] and entry["active"]["id"] == top.id
            if top.sha256 and top.id not in self.forbidden_ids and last.id == top.id and not is_active:
                self.violations.append(f"{name} {top.id} is the last order, but not active: {entry['why']}")
        self.unchecked_orders.clear()


def _is_quiescent(statuses: list[dict[str, Any]], count: int) -> bool:
    """Whether all are on one epoch and see `count` live members, with no order or candidate under way."""
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
