"""One seed played from start to end: all parts, the events of its schedule, and what came of it."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Self

from cloverkeel.tasks import BackgroundTasks
from faultlab.soak.clients import Front
from faultlab.soak.discovery import Agent, Registry
from faultlab.soak.gateways import Process
from faultlab.soak.hosts import Host
from faultlab.soak.judge import Judge
from faultlab.soak.records import Broken, Change, End, Records
from faultlab.soak.schedule import Kind, Planned, schedule
from faultlab.soak.settings import SOCKETS, Settings

ACCEPT_S = 0.3  # new connections come for so long after SIGTERM (PROTOCOL)
OLD_AGENT_S = 1.5  # the old address of discovery is kept so long after SIGHUP (TERMS)
DRAIN_S = 4.0
# Away for longer than the rules give a gateway to know of the drain, behind the longest outage, and to stop
# sending: whoever goes on is seen.
AWAY_S = 8.0
LAG_POLL_S = 0.005
LAG_S = 0.002  # a shorter delay is not kept
LOOK_S = 1.0
FIRST_MINUTE_S = 60.0
IDLE_CLIENTS = SOCKETS  # more than a gateway has descriptors
BURST_S = 1.0


@dataclass
class Result:
    """What one seed came to."""

    seed: int
    broken: list[Broken] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)  # requests, answered, refused, kills, signals
    longest_stop_s: float = 0.0
    memory_kb: tuple[int, int] = (0, 0)  # the most of a gateway after the first minute, and at the end
    descriptors: tuple[int, int] = (0, 0)
    began_s: float = 0.0


class Site:
    """`async with Site(settings, folder) as site: result = await site.play()`."""

    def __init__(self, settings: Settings, folder: Path) -> None:
        self.settings = settings
        self.records = Records()
        self.counts: Counter[str] = Counter()
        self.hosts = [
            Host(number, settings.account(), settings, self.records) for number in range(settings.hosts)
        ]
        self.registry = Registry(self.listed)
        self.processes = [
            Process(number, settings, self.records, folder) for number in range(settings.gateways)
        ]
        self.agents: dict[int, Agent] = {}  # in use, by gateway
        for number in range(settings.gateways):
            self.use(number, self.agent(number))
        ports = [process.port for process in self.processes]
        self.front = Front(settings, self.records, ports, self.on_failure)
        self.drains: dict[int, Change] = {}  # under way, by host
        self.tasks = BackgroundTasks(self.on_failure)
        self.began_s = 0.0

    def agent(self, gateway: int) -> Agent:
        process = self.processes[gateway]
        return Agent(self.registry, lambda: process.lives, partial(self.on_written, gateway))

    def use(self, gateway: int, agent: Agent) -> None:
        """The gateway asks at this address from now on."""
        self.agents[gateway] = agent
        self.records.addresses.setdefault(gateway, []).append(agent.record)

    def listed(self) -> list[dict[str, Any]]:
        return [host.endpoint() for host in self.hosts if host.status != "DELETED"]

    def on_written(self, gateway: int, life: int, snapshot: dict[str, Any]) -> None:
        """A whole list was written to a process: what it says is known there from now on."""
        now_s, listed = time.monotonic(), {entry["name"]: entry for entry in snapshot["endpoints"]}
        for host in self.hosts:
            entry = listed.get(f"h{host.number}")
            if host.started is not None and entry is not None and entry["since_ms"] == host.since_ms:
                host.started.written_s.setdefault((gateway, life), now_s)
        for drain in self.drains.values():
            drain.written_s.setdefault((gateway, life), now_s)

    async def __aenter__(self) -> Self:
        for host in self.hosts:
            await host.start()
        for agent in self.agents.values():
            await agent.start()
        await asyncio.gather(*(self.begin(number) for number in range(self.settings.gateways)))
        self.began_s = time.monotonic()
        return self

    async def __aexit__(self, *_: object) -> None:
        # Those that start a process are waited for: it is then made and can be ended, or was never made.
        self.tasks.cancel()
        await self.tasks.wait()
        for process in self.processes:
            if process.pid is not None:
                await process.kill()
        for agent in self.agents.values():
            agent.end()
        for host in self.hosts:
            if host.server is not None:
                host.server.close()
            host.reset()

    async def begin(self, gateway: int) -> None:
        """Start a process; clients come once it is ready."""
        process = self.processes[gateway]
        self.front.lives[gateway] = process.lives + 1
        await process.start(self.agents[gateway].address, self.listed())
        self.front.open[gateway] = True

    def on_failure(self, error: BaseException) -> None:
        """The lab itself failed: an event of the schedule or a client did not do what it should."""
        where = traceback.extract_tb(error.__traceback__)[-1]
        what = f"{type(error).__name__}: {error} ({Path(where.filename).name}:{where.lineno})"
        self.records.broken.append(Broken(time.monotonic(), "lab", what))

    def note(self, text: str) -> None:
        self.records.events.append((time.monotonic(), text))

    async def play(self) -> Result:
        """The whole schedule; what the rules say of it."""
        result = Result(self.settings.seed, began_s=self.began_s)
        self.tasks.spawn(self.measure_lag())
        self.tasks.spawn(self.look(result))
        sending = asyncio.get_running_loop().create_task(self.front.run())
        for planned in schedule(self.settings):
            await asyncio.sleep(max(0.0, self.began_s + planned.at_s - time.monotonic()))
            self.note(f"{planned.kind.name} {planned.target} for {planned.seconds:.1f} s")
            self.tasks.spawn(self.happen(planned))
        await asyncio.sleep(max(0.0, self.began_s + self.settings.duration_s - time.monotonic()))
        result.memory_kb = result.memory_kb[0], self.most_memory_kb()
        result.descriptors = result.descriptors[0], self.most_descriptors()
        self.front.ended = True
        await sending
        await self.front.finish()
        self.conclude(result)
        return result

    def conclude(self, result: Result) -> None:
        for process in self.processes:
            process.see_log()
        result.broken = Judge(self.settings, self.records).broken()
        result.events = self.records.events
        statuses = Counter(exchange.status for exchange in self.records.exchanges)
        ends = Counter(exchange.end for exchange in self.records.exchanges)
        self.counts |= Counter(
            requests=len(self.records.exchanges), answered=ends[End.ANSWERED], served=statuses[200],
            refused=statuses[503] + statuses[429],
        )  # fmt: skip
        result.counts = self.counts
        result.longest_stop_s = max((process.longest_stop_s for process in self.processes), default=0.0)

    async def measure_lag(self) -> None:
        """How late this loop itself is: the judge allows for it."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(LAG_POLL_S)
            now_s = time.monotonic()
            late_s = now_s - last_s - LAG_POLL_S
            if late_s > LAG_S:
                self.records.lags.seen.append((now_s, late_s))
            last_s = now_s

    async def look(self, result: Result) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            for process in self.processes:
                process.look()
            if not result.memory_kb[0] and time.monotonic() - self.began_s > FIRST_MINUTE_S:
                result.memory_kb = self.most_memory_kb(), 0
                result.descriptors = self.most_descriptors(), 0

    def most_memory_kb(self) -> int:
        """Of one gateway; 0 where none runs."""
        return max((process.memory_kb() for process in self.processes), default=0)

    def most_descriptors(self) -> int:
        """Of one gateway; 0 where none runs."""
        return max((process.descriptors() for process in self.processes), default=0)

    # Events

    async def happen(self, planned: Planned) -> None:
        """Carry out one event of the schedule."""
        target, seconds = planned.target, planned.seconds
        match planned.kind:
            case Kind.RESTART | Kind.RELOAD_RESTART | Kind.RESTART_RELOAD | Kind.KILL | Kind.RELOADS:
                if not self.processes[target].lock.locked():
                    async with self.processes[target].lock:
                        await self.signal(target, planned.kind)
            case Kind.DRAIN:
                await self.drain(target)
            case Kind.SILENT:
                self.agents[target].fall_silent(seconds)
            case Kind.LATE:
                self.agents[target].fall_late(seconds)
            case Kind.REFUSED:
                await self.agents[target].refuse(seconds)
            case Kind.IDLE_CLIENTS:
                await self.front.fill(target, IDLE_CLIENTS)
                await asyncio.sleep(seconds)
                self.front.end_idlers()
            case Kind.BURST:
                self.front.boost_until_s = time.monotonic() + BURST_S
            case _:
                self.trouble(self.hosts[target], planned.kind, seconds)

    def trouble(self, host: Host, kind: Kind, seconds: float) -> None:
        until_s = time.monotonic() + seconds
        if kind is Kind.HANG:
            host.hangs_until_s = until_s
        elif kind is Kind.ERRORS:
            host.errors_until_s = until_s
        elif kind is Kind.CLOSE:
            host.close_idle()
        else:
            host.reset()

    async def drain(self, number: int) -> None:
        """A host drains, is gone, and comes back cold."""
        if number in self.drains:
            return
        host = self.hosts[number]
        drain = self.drains[number] = Change(number, time.monotonic())
        self.records.drains.append(drain)
        host.status = "DRAINING"
        self.registry.change()
        await asyncio.sleep(DRAIN_S)
        host.status = "DELETED"
        self.registry.change()
        await asyncio.sleep(AWAY_S)
        drain.until_s = time.monotonic()
        del self.drains[number]
        host.restart()
        self.registry.change()
        self.front.boost_until_s = time.monotonic() + BURST_S  # a burst meets it while it is cold

    async def signal(self, gateway: int, kind: Kind) -> None:
        """One series of signals to one gateway, and its start anew where it ends."""
        process = self.processes[gateway]
        if process.process.returncode is not None:
            return
        if kind is Kind.RELOADS:
            for _ in range(2):
                await self.move_discovery(gateway)
            return
        if kind is Kind.RELOAD_RESTART:
            await self.move_discovery(gateway)
        if kind is Kind.KILL:
            self.front.open[gateway] = False
            self.counts["kills"] += 1
            await process.kill()
        else:
            await self.restart(gateway, kind)
        process.see_log()
        await self.begin(gateway)

    async def restart(self, gateway: int, kind: Kind) -> None:
        process = self.processes[gateway]
        process.terminate()
        self.counts["signals"] += 1
        if kind is Kind.RESTART_RELOAD:
            process.hang_up()
            self.counts["signals"] += 1
        asyncio.get_running_loop().call_later(ACCEPT_S, self.stop_coming, gateway, process.lives)
        await process.end_by_kill()
        self.counts["kills"] += process.life.killed_s < float("inf")
        self.front.open[gateway] = False

    def stop_coming(self, gateway: int, life: int) -> None:
        if self.processes[gateway].lives == life:
            self.front.open[gateway] = False

    async def move_discovery(self, gateway: int) -> None:
        """A new configuration that names discovery at another address, and SIGHUP."""
        process, old = self.processes[gateway], self.agents[gateway]
        await process.may_be_told()
        agent = self.agent(gateway)
        await agent.start()
        process.reconfigure(agent.address, self.listed())
        agent.record.since_s = time.monotonic()
        self.use(gateway, agent)
        process.hang_up()
        self.counts["signals"] += 1
        asyncio.get_running_loop().call_later(OLD_AGENT_S, old.end)
