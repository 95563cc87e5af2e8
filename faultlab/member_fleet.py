"""Light members as processes on loopback, behind one relay: started, told apart by what they report, stopped.

Every wait is bounded, and every process ends with the fleet, by its own pid.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from faultlab.gateway_process import ROOT
from faultlab.relay import RelayMember, Relay

CLUSTER_NAME = "lab"
SEED_COUNT = 3
LAG_POLL_S = 0.02
JOIN_TIMEOUT_S = 60.0  # for a whole fleet to start and agree, on a busy machine


@dataclass(slots=True)
class ReportedStatus:
    """What a member said last of another: its status, its incarnation and when, by the shared clock."""

    status: str
    incarnation: int
    reported_s: float


@dataclass(slots=True, frozen=True, order=True)
class DeathReport:
    """One member's report that another is dead, at `t` by the shared clock."""

    reported_s: float
    reporter: str
    member: str


@dataclass
class MemberProcess:
    """One `faultlab.member` process. `view` follows its reports; `log` has its standard error's lines."""

    name: str
    place: RelayMember
    changed: asyncio.Event
    deaths: list[DeathReport]  # the whole fleet's
    process: asyncio.subprocess.Process | None = None
    view: dict[str, ReportedStatus] = field(default_factory=dict)
    reports: list[dict[str, Any]] = field(default_factory=list)  # all but the changes
    log: list[str] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self, cluster: dict[str, Any], *words: str) -> None:
        """Start the process; `words` are further arguments of it. Does not wait for its first report."""
        settings = cluster | {"bind": self.place.bind, "advertise": self.place.advertise}
        self.view, self.reports, self.log = {}, [], []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "faultlab.member", "--name", self.name, "--cluster", json.dumps(settings),
            *words, cwd=ROOT, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stdout is not None and self.process.stderr is not None
        self.readers = [
            asyncio.create_task(self._read_reports(self.process.stdout)),
            asyncio.create_task(self._read_log(self.process.stderr)),
        ]

    async def _read_reports(self, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            report = json.loads(line)
            if report["event"] == "change":
                held = ReportedStatus(report["status"], report["incarnation"], report["t"])
                self.view[report["member"]] = held
                if held.status == "dead":
                    self.deaths.append(DeathReport(held.reported_s, self.name, report["member"]))
            else:
                self.reports.append(report)
            self.changed.set()

    async def _read_log(self, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            self.log.append(line.decode(errors="replace").rstrip())
            self.changed.set()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def reports_of(self, event: str) -> list[dict[str, Any]]:
        return [report for report in self.reports if report["event"] == event]

    def log_lines(self, event: str) -> list[str]:
        return [line for line in self.log if f"event={event} " in line + " "]

    def send_command(self, command: str) -> None:
        """Write a command to it; the answer is the next report of that name."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(f"{command}\n".encode())

    def signal(self, signum: int) -> float:
        """Send it a signal, by its pid; returns the shared clock just before."""
        assert self.process is not None
        now_s = time.monotonic()
        self.process.send_signal(signum)
        return now_s

    async def wait_ended(self, timeout_s: float = 10.0) -> None:
        """Once its process has ended and all that it wrote is read."""
        assert self.process is not None
        async with asyncio.timeout(timeout_s):
            await self.process.wait()
            await asyncio.gather(*self.readers)


class MemberFleet:
    """`async with Fleet(8, seed=1) as fleet`: members m0, m1, ... that all see each other, behind `relay`.
    The first SEEDS are everyone's seeds. `settings` go into every member's `cluster`."""

    def __init__(self, count: int, seed: int = 1, settings: dict[str, Any] | None = None) -> None:
        self.count = count
        self.relay = Relay(seed)
        self.changed = asyncio.Event()
        self.settings = {"name": CLUSTER_NAME} | (settings or {})
        self.max_lag_s = 0.0  # this loop's longest standstill, the relay's with it: members are blamed for it
        self.members: dict[str, MemberProcess] = {}
        self.deaths: list[DeathReport] = []  # as reported, by processes that have ended too

    async def __aenter__(self) -> MemberFleet:
        self.lag_task = asyncio.create_task(self._measure_lag())
        try:
            for number in range(self.count):
                await self.add_member(f"m{number}")
            self.settings["seeds"] = [m.place.advertise for m in list(self.members.values())[:SEED_COUNT]]
            await asyncio.gather(*(m.start(self.settings) for m in self.members.values()))
            await self.wait_agreed(JOIN_TIMEOUT_S)
            self.max_lag_s = 0.0  # starting so many processes holds the loop up
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def _measure_lag(self) -> None:
        while True:
            due_s = time.monotonic() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due_s)

    async def add_member(self, name: str) -> MemberProcess:
        """A place behind the relay and no process yet."""
        light = self.members[name] = MemberProcess(
            name, await self.relay.add_member(name), self.changed, self.deaths
        )
        return light

    async def wait_until(self, holds: Callable[[], bool], timeout_s: float = 10.0) -> float:
        """Waits for reports until `holds`, looked at once for each few milliseconds in which some came;
        returns the shared clock then. Raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while True:
                self.changed.clear()
                if holds():
                    return time.monotonic()
                await self.changed.wait()
                await asyncio.sleep(0.002)

    def running(self) -> list[MemberProcess]:
        return [m for m in self.members.values() if m.running]

    def all_report(self, name: str, status: str, by: Iterable[MemberProcess] | None = None) -> bool:
        """Whether every one of `by` (all that run) but `name` itself holds it in that status."""
        held = [m.view.get(name) for m in (self.running() if by is None else by) if m.name != name]
        return all(h is not None and h.status == status for h in held)

    async def wait_agreed(self, timeout_s: float = 20.0) -> float:
        """Once each member that runs holds each other alive, all at one incarnation and none at one of a
        process before; returns the shared clock."""

        def holds() -> bool:
            running = self.running()
            if any(not m.reports_of("started") for m in running):
                return False
            for light in running:
                began = light.reports_of("started")[0]["incarnation"]
                held = [m.view.get(light.name) for m in running if m is not light]
                if any(h is None or h.status != "alive" or h.incarnation < began for h in held):
                    return False
                if len({h.incarnation for h in held if h is not None}) > 1:
                    return False
            return True

        return await self.wait_until(holds, timeout_s)

    async def counters(
        self, members: Iterable[MemberProcess], timeout_s: float = 10.0
    ) -> dict[str, dict[str, Any]]:
        """The counters of members that run, by name."""
        asked = {m.name: (m, len(m.reports_of("counters"))) for m in members}
        for light, _ in asked.values():
            light.send_command("counters")
        await self.wait_until(
            lambda: all(len(m.reports_of("counters")) > n for m, n in asked.values()), timeout_s
        )
        return {name: m.reports_of("counters")[-1]["answer"] for name, (m, _) in asked.items()}

    async def close(self) -> None:
        """Kill every process, by its pid, and close the relay."""
        for light in self.running():
            light.signal(signal.SIGKILL)
        for light in self.members.values():
            if light.process is not None:
                with contextlib.suppress(TimeoutError):
                    await light.wait_ended()
        self.lag_task.cancel()
        await self.relay.close()
