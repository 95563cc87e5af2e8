"""A fleet of real gateways behind the relay whose routes many teams edit, and the search for lost edits."""

from __future__ import annotations

import asyncio
import json
import time
import tomllib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from cloverkeel.fleet.ledger.dots import Context
from cloverkeel.fleet.ledger.interface import Persist
from cloverkeel.fleet.ledger.reader import read_payloads
from cloverkeel.fleet.ledger.records import Record, payload_hash
from cloverkeel.fleet.ledger.replica import Put
from cloverkeel.fleet.ledger.store import Store
from cloverkeel.fleet.routes.changes import DELETED, KIND, Change, decode, encode, key_of
from cloverkeel.fleet.routes.files import unpack_base

from faultlab.gateway_fleet import POLL_S, GatewayFleet
from faultlab.routes.random_edits import as_toml

Routes = dict[str, dict[str, Any]]  # route to its fields
FIRST_EDIT_TIMEOUT_S = 120.0  # for the fleet's first edit to reach all gateways
POST_ATTEMPTS, RETRY_DELAY_S = 5, 0.3  # of a call that the gateway could not store (503)


class RoutesFleet(GatewayFleet):
    """`async with RoutesFleet(10, folder) as fleet`: gateways with routes enabled that all have one first
    edit."""

    def __init__(self, count: int, folder: Path, offsets_s: Mapping[str, float] | None = None) -> None:
        super().__init__(count, folder)
        self.clock_offsets_s = offsets_s or {}  # by gateway: seconds that its wall clock is ahead

    def extend_config(self, config: dict[str, Any]) -> dict[str, Any]:
        return config | {"routes": {"size": len(self.names), "room": {"m": 1000}}}

    def environment(self, name: str) -> dict[str, str]:
        return (
            clock_shift_environment(self.folder, self.clock_offsets_s[name])
            if name in self.clock_offsets_s
            else {}
        )

    async def __aenter__(self) -> RoutesFleet:
        await super().__aenter__()
        try:
            await self.apply("m0", "lab", {"first": {"path": "/lab"}}, wait="all")
            await self.wait_all(lambda status: status["count"] == 1, FIRST_EDIT_TIMEOUT_S)
        except BaseException:
            await self.close()
            raise
        return self

    def is_ready(self, status: dict[str, Any]) -> object:
        return status["hash"]

    async def status(self, name: str) -> dict[str, Any]:
        """A gateway's plan in short: hash, count, conflicts, waiting, held_back; {} if it did not answer."""
        return await self._get(name, "brief")

    async def plan(self, name: str) -> dict[str, Any]:
        """A gateway's whole plan, its routes by name."""
        view = await self._get(name, "json")
        return view | {"routes": {route["name"]: route for route in view.get("routes", ())}}

    async def _get(self, name: str, form: str) -> dict[str, Any]:
        status, body = await self.call_operator(name, f"/api/routes?form={form}")
        parsed: dict[str, Any] = json.loads(body) if status == 200 else {}
        return parsed

    async def export(self, name: str, team: str) -> tuple[str, Routes]:
        """A team's file as `routes show --toml` prints it; returns its base and its routes."""
        status, body = await self.call_operator(name, f"/api/routes?form=toml&team={team}")
        if status != 200:
            raise RuntimeError(f"{name} answered {status}: {body!r}")
        file = tomllib.loads(body.decode())
        return file["base"], file.get("route", {})

    async def apply(
        self, name: str, team: str, routes: Routes, base: str = "", wait: str = "quorum"
    ) -> dict[str, Any]:
        """Apply a team's file as `routes apply` does; returns the answer with its HTTP `status`. Raises
        RuntimeError if it is refused or not answered."""
        return await self._post(name, f"apply?wait={wait}", as_toml(team, base, routes).encode())

    async def resolve(self, name: str, id: str, team: str, way: str, value: str = "") -> dict[str, Any]:
        """Resolve a conflict; answers and errors as of `apply`."""
        return await self._post(name, f"resolve?id={id}&team={team}&way={way}&wait=quorum", value.encode())

    async def accept(self, name: str, change: str, route: str, team: str) -> dict[str, Any]:
        """Accept a change's waiting edit of a route; answers and errors as of `apply`."""
        return await self._post(name, f"accept?change={change}&route={route}&team={team}&wait=quorum", b"")

    async def _post(self, name: str, target: str, body: bytes) -> dict[str, Any]:
        for _ in range(POST_ATTEMPTS):
            status, answer = await self.call_operator(name, f"/api/routes/{target}", body)
            if status != 503:  # 503: nothing was stored, since the disk was busy for too long
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if status not in (200, 202):
            raise RuntimeError(f"{name} answered {status}: {answer.decode(errors='replace')}")
        parsed: dict[str, Any] = json.loads(answer)
        return parsed | {"status": status}

    async def wait_same_records(self, wanted: set[str], seen: dict[str, Change], timeout_s: float) -> None:
        """Wait until all disks hold the same changes and each of `wanted` has been on a disk; adds all
        changes found to `seen`. Raises TimeoutError."""
        ends_s = time.monotonic() + timeout_s
        while True:
            held = [self.stored_changes(name) for name in self.names]
            for each in held:
                seen.update(each)
            if wanted <= set(seen) and all(set(each) == set(held[0]) for each in held):
                return
            if time.monotonic() > ends_s:
                differ = [sorted(set(each) ^ set(held[0]))[:5] for each in held]
                raise TimeoutError(
                    f"changes never seen: {sorted(wanted - set(seen))[:5]}; differences from m0: {differ}"
                )
            await asyncio.sleep(POLL_S)

    def stored_changes(self, name: str) -> dict[str, Change]:
        """The changes on a gateway's disk, by key."""
        directory = self.gateways[name].state_dir
        return {key: decode(payload) for key, payload in read_payloads(str(directory), KIND)}


def store_change(directory: str, change: Change) -> None:
    """Store a change in the ledger of a stopped gateway, as a process of another version would have done.
    Raises StoreError."""
    payload, key = encode(change), key_of(change.dot)
    store = Store(directory)
    try:
        loaded = store.load()
        record = Record(KIND, key, payload_hash(payload), len(payload), change.dot, Context())
        store.write(Persist(1, (Put(record, payload),), (), loaded.context.add((change.dot,))))
    finally:
        store.close()


def comparable_status(status: Mapping[str, Any]) -> tuple[object, ...]:
    """The parts of a status that are the same at all gateways with the same records."""
    return (
        status["hash"],
        tuple(sorted(c["id"] for c in status["conflicts"] if not c["local"])),
        tuple(sorted((w["change"], w["route"]) for w in status["waiting"])),
        tuple(sorted(each["change"] for each in status["held_back"])),
    )


async def wait_agreement(
    fleet: RoutesFleet, timeout_s: float, names: Iterable[str] | None = None
) -> dict[str, Any]:
    """Wait until all gateways, or those of `names`, have the same comparable status; returns the status of
    the first. Raises TimeoutError."""
    first, *others = list(fleet.names if names is None else names)
    async with asyncio.timeout(timeout_s):
        while True:
            wanted = await fleet.status(first)
            same = bool(wanted)
            for name in others:
                status = await fleet.status(name)
                same = same and bool(status) and comparable_status(status) == comparable_status(wanted)
                if not same:
                    break
            if same:
                return wanted
            await asyncio.sleep(POLL_S)


def find_lost_edits(
    plan: Mapping[str, Any],
    held: Mapping[str, Change],
    acknowledged: Iterable[str],
    dropped: Mapping[str, Change] | None = None,
) -> list[tuple[str, str, str]]:
    """(change, route, field) of each acknowledged edit that is neither in the plan, nor in a conflict, nor
    waiting, nor held back, nor superseded by a write whose writer had seen it. `held`: the changes on a disk;
    `dropped`: changes that were on a disk before, of which each edit has to be superseded."""
    known = {**(dropped or {}), **held}
    held_back = {each["change"] for each in plan["held_back"]}
    waiting = {(w["change"], w["route"]) for w in plan["waiting"]}
    in_conflict = {(c["change"], r, conflict["field"]) for conflict in plan["conflicts"]
            for c in conflict["choices"] for r in conflict["routes"]}  # fmt: skip
    whole_routes = {(change, route) for change, route, field in in_conflict if field in (DELETED, "owner")}
    unowned = {r for c in plan["conflicts"] if c["field"] == "owner" for r in c["routes"]}
    writers: dict[tuple[str, str], list[Change]] = defaultdict(list)
    for change in known.values():
        for edit in change.edits:
            writers[edit.route, edit.field].append(change)
            if edit.field == DELETED and edit.value is True:
                writers[edit.route, ""].append(change)
            else:
                writers[edit.route, DELETED].append(change)  # a write after a delete makes the route again
    lost = []
    for key in acknowledged:
        if key not in known:
            lost.append((key, "", "its record"))
            continue
        change = known[key]
        for edit in change.edits:
            route_key = (key, edit.route)
            if (
                key in held_back
                or route_key in waiting
                or route_key in whole_routes
                or (*route_key, edit.field) in in_conflict
            ):
                continue
            if edit.route in unowned and edit.route not in plan["routes"]:
                continue
            later = (*writers[edit.route, edit.field], *writers[edit.route, ""])
            if any(each.context.covers(change.dot) for each in later):
                continue
            if key not in held or not is_in_plan(plan["routes"].get(edit.route), edit.field, edit.value):
                lost.append((key, edit.route, edit.field))
    return lost


def is_in_plan(route: Mapping[str, Any] | None, field: str, value: Any) -> bool:
    """Whether a route of the plan (None: absent) shows an edit's value."""
    if route is None or field == DELETED:
        return (route is None) == (field == DELETED and value is True)
    plan_value = (
        route["owner"] if field == "owner" else route["values"].get(field, route["others"].get(field))
    )
    return bool(plan_value == value)


def base_context(base: str) -> Context:
    """The causal context of a base: what a writer on it has seen."""
    return unpack_base(base).context


CLOCK_SHIFT_SOURCE = """import time
_ahead_s = {ahead_s!r}
_time, _time_ns = time.time, time.time_ns
time.time = lambda: _time() + _ahead_s
time.time_ns = lambda: _time_ns() + int(_ahead_s * 1e9)
"""


def clock_shift_environment(folder: Path, ahead_s: float) -> dict[str, str]:
    """The environment in which a Python process's `time.time` is `ahead_s` ahead of the machine's: it points
    to a `sitecustomize` module, which the interpreter imports at its start."""
    module_folder = folder / f"clock{ahead_s:+.0f}"
    module_folder.mkdir(exist_ok=True)
    (module_folder / "sitecustomize.py").write_text(CLOCK_SHIFT_SOURCE.format(ahead_s=ahead_s))
    return {"PYTHONPATH": str(module_folder)}
