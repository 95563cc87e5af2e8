"""Fleets of membership-only processes (`faultlab.member`) on loopback, behind a fault-injecting relay.

Every wait has a timeout, and every process is killed by its own pid when the fleet is closed.
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
from faultlab.relay import Relay, RelayMember

CLUSTER_NAME = "lab"
SEED_COUNT = 3
LAG_POLL_S = 0.02  # interval at which the delay of the event loop is measured
JOIN_TIMEOUT_S = 60.0  # for a whole fleet to start and agree on its members, on a busy machine


@dataclass(slots=True)
class ReportedStatus:
    """The latest report of one member about another; `reported_s` is monotonic time."""

    status: str
    incarnation: int
    reported_s: float


@dataclass(slots=True, frozen=True, order=True)
class DeathReport:
    """The report of one member that another is dead; `reported_s` is monotonic time."""

    reported_s: float
    reporter: str
    member: str


@dataclass
class MemberProcess:
    """One `faultlab.member` process and what it has reported.

    `view` has the latest report on each other member; `log` the lines of standard error.
    """

    name: str
    place: RelayMember
    changed: asyncio.Event
    deaths: list[DeathReport]  # shared by the whole fleet
    process: asyncio.subprocess.Process | None = None
    view: dict[str, ReportedStatus] = field(default_factory=dict)
    reports: list[dict[str, Any]] = field(default_factory=list)  # all except "change" reports
    log: list[str] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self, cluster: dict[str, Any], *words: str) -> None:
        """Start the process without waiting for its first report; `words` are further arguments of it."""
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
        """Follow the reports on standard output until it ends."""
        async for line in stream:
            report = json.loads(line)
            if report["event"] == "change":
                received = ReportedStatus(report["status"], report["incarnation"], report["t"])
                self.view[report["member"]] = received
                if received.status == "dead":
                    self.deaths.append(DeathReport(received.reported_s, self.name, report["member"]))
            else:
                self.reports.append(report)
            self.changed.set()

    async def _read_log(self, stream: asyncio.StreamReader) -> None:
        """Follow the log on standard error until it ends."""
        async for line in stream:
            self.log.append(line.decode(errors="replace").rstrip())
            self.changed.set()

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def reports_of(self, event: str) -> list[dict[str, Any]]:
        """The reports of an event, oldest first."""
        return [report for report in self.reports if report["event"] == event]

    def log_lines(self, event: str) -> list[str]:
        """The log lines of an event, oldest first."""
        return [line for line in self.log if f"event={event} " in line + " "]

    def send_command(self, command: str) -> None:
        """Write a command to the process; the response is the next report of that name."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(f"{command}\n".encode())

    def signal(self, signum: int) -> float:
        """Send a signal by pid; returns the monotonic time just before."""
        assert self.process is not None
        now_s = time.monotonic()
        self.process.send_signal(signum)
        return now_s

    async def wait_ended(self, timeout_s: float = 10.0) -> None:
        """Wait until the process has exited and all of its output is read. Raises TimeoutError."""
        assert self.process is not None
        async with asyncio.timeout(timeout_s):
            await self.process.wait()
            await asyncio.gather(*self.readers)


class MemberFleet:
    """Members m0, m1, ... behind a relay: `async with MemberFleet(8, seed=1) as fleet`.

    On entry all members are started and see each other as alive. The first SEED_COUNT are the seeds of all.
    `settings` are added to the `cluster` object of every member.
    """

    def __init__(self, count: int, seed: int = 1, settings: dict[str, Any] | None = None) -> None:
        self.count = count
        self.relay = Relay(seed)
        self.changed = asyncio.Event()
        self.settings = {"name": CLUSTER_NAME} | (settings or {})
        # The longest delay of this event loop. The relay runs on it, so that such a delay holds up all
        # datagrams and members may be suspected because of it.
        self.max_lag_s = 0.0
        self.members: dict[str, MemberProcess] = {}
        self.deaths: list[DeathReport] = []  # in the order reported, also by processes that have exited

    async def __aenter__(self) -> MemberFleet:
        self.lag_task = asyncio.create_task(self._measure_lag())
        try:
            for number in range(self.count):
                await self.add_member(f"m{number}")
            self.settings["seeds"] = [m.place.advertise for m in list(self.members.values())[:SEED_COUNT]]
            await asyncio.gather(*(m.start(self.settings) for m in self.members.values()))
            await self.wait_agreed(JOIN_TIMEOUT_S)
            self.max_lag_s = 0.0  # starting the processes delays the loop; that does not count
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def _measure_lag(self) -> None:
        """Keep the longest delay of this event loop in `max_lag_s`."""
        while True:
            due_s = time.monotonic() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due_s)

    async def add_member(self, name: str) -> MemberProcess:
        """Add a member with an address at the relay; its process is not started."""
        member = self.members[name] = MemberProcess(
            name, await self.relay.add_member(name), self.changed, self.deaths
        )
        return member

    async def wait_until(self, holds: Callable[[], bool], timeout_s: float = 10.0) -> float:
        """Wait until `holds()` is true; returns the monotonic time then. Raises TimeoutError.

        The condition is evaluated after reports have come, at most once in 2 ms.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                self.changed.clear()
                if holds():
                    return time.monotonic()
                await self.changed.wait()
                await asyncio.sleep(0.002)

    def running(self) -> list[MemberProcess]:
        """The members whose processes run."""
        return [m for m in self.members.values() if m.running]

    def all_report(self, name: str, status: str, by: Iterable[MemberProcess] | None = None) -> bool:
        """Whether each of `by` (default: all running members) except `name` itself reports it in `status`."""
        reports = [m.view.get(name) for m in (self.running() if by is None else by) if m.name != name]
        return all(report is not None and report.status == status for report in reports)

    async def wait_agreed(self, timeout_s: float = 20.0) -> float:
        """Wait until the running members agree; returns the monotonic time then. Raises TimeoutError.

        They agree when each reports each other one as alive, all with the same incarnation, and that is not
        one of an earlier process.
        """

        def holds() -> bool:
            running = self.running()
            if any(not m.reports_of("started") for m in running):
                return False
            for member in running:
                first_incarnation = member.reports_of("started")[0]["incarnation"]
                reported = [m.view.get(member.name) for m in running if m is not member]
                if any(
                    report is None or report.status != "alive" or report.incarnation < first_incarnation
                    for report in reported
                ):
                    return False
                if len({report.incarnation for report in reported if report is not None}) > 1:
                    return False
            return True

        return await self.wait_until(holds, timeout_s)

    async def counters(
        self, members: Iterable[MemberProcess], timeout_s: float = 10.0
    ) -> dict[str, dict[str, Any]]:
        """Ask running members for their counters; returns them by member name. Raises TimeoutError."""
        pending = {m.name: (m, len(m.reports_of("counters"))) for m in members}
        for member, _ in pending.values():
            member.send_command("counters")
        await self.wait_until(
            lambda: all(len(m.reports_of("counters")) > n for m, n in pending.values()), timeout_s
        )
        return {name: m.reports_of("counters")[-1]["answer"] for name, (m, _) in pending.items()}

    async def close(self) -> None:
        """Kill every process by its pid, wait for them and close the relay."""
        for member in self.running():
            member.signal(signal.SIGKILL)
        for member in self.members.values():
            if member.process is not None:
                with contextlib.suppress(TimeoutError):
                    await member.wait_ended()
        self.lag_task.cancel()
        await self.relay.close()
