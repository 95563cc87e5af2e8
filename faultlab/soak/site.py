"""Runs one seed: starts all parts, applies the scheduled events and collects the result."""

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
from faultlab.soak.clients import LoadGenerator
from faultlab.soak.discovery import DiscoveryAgent, Registry
from faultlab.soak.gateways import ManagedGateway
from faultlab.soak.hosts import SoakHost
from faultlab.soak.judge import Judge
from faultlab.soak.records import ExchangeEnd, HostChange, Records, Violation
from faultlab.soak.schedule import EventKind, ScheduledEvent, schedule
from faultlab.soak.settings import DESCRIPTOR_LIMIT, Settings

ACCEPT_S = 0.3  # time after SIGTERM in which clients still open connections (PROTOCOL)
OLD_AGENT_KEPT_S = 1.5  # time after SIGHUP for which the old discovery address is served (TERMS)
DRAIN_S = 4.0
# A host stays deleted for longer than a gateway may take, after the longest outage, to know of the drain and
# to stop sending, so that a gateway that goes on sending is noticed.
DELETED_S = 8.0
LAG_POLL_S = 0.005
MIN_LAG_S = 0.002  # shorter delays are not recorded
MONITOR_INTERVAL_S = 1.0
FIRST_MINUTE_S = 60.0
IDLE_CLIENT_COUNT = DESCRIPTOR_LIMIT  # enough to use up a gateway's descriptors
BURST_S = 1.0


@dataclass
class Result:
    """The result of one seed."""

    seed: int
    violations: list[Violation] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)  # by name, as `command` prints them
    longest_stop_s: float = 0.0
    memory_kb: tuple[int, int] = (0, 0)  # maximum over the gateways after the first minute, and at the end
    descriptors: tuple[int, int] = (0, 0)
    began_s: float = 0.0


class SoakSite:
    """All parts of one seed: `async with SoakSite(settings, folder) as site: result = await site.run()`."""

    def __init__(self, settings: Settings, folder: Path) -> None:
        self.settings = settings
        self.records = Records()
        self.counts: Counter[str] = Counter()
        self.hosts = [
            SoakHost(number, settings.host_capacity(), settings, self.records)
            for number in range(settings.hosts)
        ]
        self.registry = Registry(self.list_hosts)
        self.gateways = [
            ManagedGateway(number, settings, self.records, folder) for number in range(settings.gateways)
        ]
        self.agents: dict[int, DiscoveryAgent] = {}  # the one in use, by gateway
        for number in range(settings.gateways):
            self.set_agent(number, self.make_agent(number))
        ports = [process.port for process in self.gateways]
        self.clients = LoadGenerator(settings, self.records, ports, self.on_failure)
        self.drains: dict[int, HostChange] = {}  # those in progress, by host
        self.tasks = BackgroundTasks(self.on_failure)
        self.began_s = 0.0

    def make_agent(self, gateway: int) -> DiscoveryAgent:
        """A new discovery agent for a gateway; it is not started."""
        process = self.gateways[gateway]
        return DiscoveryAgent(self.registry, lambda: process.run_count, partial(self.on_written, gateway))

    def set_agent(self, gateway: int, agent: DiscoveryAgent) -> None:
        """Record that the gateway uses this agent from now on."""
        self.agents[gateway] = agent
        self.records.addresses.setdefault(gateway, []).append(agent.record)

    def list_hosts(self) -> list[dict[str, Any]]:
        """The entries of the list that discovery serves."""
        return [host.endpoint() for host in self.hosts if host.status != "DELETED"]

    def on_written(self, gateway: int, run_number: int, snapshot: dict[str, Any]) -> None:
        """Record that a full list was written to a process, which knows its changes from now on."""
        now_s, listed = time.monotonic(), {entry["name"]: entry for entry in snapshot["endpoints"]}
        for host in self.hosts:
            entry = listed.get(f"h{host.number}")
            if host.cold_start is not None and entry is not None and entry["since_ms"] == host.since_ms:
                host.cold_start.written_s.setdefault((gateway, run_number), now_s)
        for drain in self.drains.values():
            drain.written_s.setdefault((gateway, run_number), now_s)

    async def __aenter__(self) -> Self:
        for host in self.hosts:
            await host.start()
        for agent in self.agents.values():
            await agent.start()
        await asyncio.gather(*(self.start_gateway(number) for number in range(self.settings.gateways)))
        self.began_s = time.monotonic()
        return self

    async def __aexit__(self, *_: object) -> None:
        # Wait for tasks that are starting a process: it then exists and can be killed, or was never created.
        self.tasks.cancel()
        await self.tasks.wait()
        for process in self.gateways:
            if process.pid is not None:
                await process.kill()
        for agent in self.agents.values():
            agent.retire()
        for host in self.hosts:
            if host.server is not None:
                host.server.close()
            host.reset_connections()

    async def start_gateway(self, gateway: int) -> None:
        """Start a gateway's process; clients connect to it once it is ready."""
        process = self.gateways[gateway]
        self.clients.run_numbers[gateway] = process.run_count + 1
        await process.start(self.agents[gateway].address, self.list_hosts())
        self.clients.accepting[gateway] = True

    def on_failure(self, error: BaseException) -> None:
        """Record a failure of the lab itself, in an event of the schedule or a client, as a violation."""
        where = traceback.extract_tb(error.__traceback__)[-1]
        detail = f"{type(error).__name__}: {error} ({Path(where.filename).name}:{where.lineno})"
        self.records.violations.append(Violation(time.monotonic(), "lab", detail))

    def record_event(self, text: str) -> None:
        """Record what happens now, to be printed with violations."""
        self.records.events.append((time.monotonic(), text))

    async def run(self) -> Result:
        """Run the whole schedule and check the records; returns the result."""
        result = Result(self.settings.seed, began_s=self.began_s)
        self.tasks.spawn(self.measure_lag())
        self.tasks.spawn(self.monitor(result))
        sending = asyncio.get_running_loop().create_task(self.clients.run())
        for event in schedule(self.settings):
            await asyncio.sleep(max(0.0, self.began_s + event.at_s - time.monotonic()))
            self.record_event(f"{event.kind.name} {event.target} for {event.seconds:.1f} s")
            self.tasks.spawn(self.apply_event(event))
        await asyncio.sleep(max(0.0, self.began_s + self.settings.duration_s - time.monotonic()))
        result.memory_kb = result.memory_kb[0], self.max_memory_kb()
        result.descriptors = result.descriptors[0], self.max_descriptors()
        self.clients.stopping = True
        await sending
        await self.clients.finish()
        self.fill_result(result)
        return result

    def fill_result(self, result: Result) -> None:
        """Fill in the violations, events and counts of the run."""
        for process in self.gateways:
            process.check_log()
        result.violations = Judge(self.settings, self.records).violations()
        result.events = self.records.events
        statuses = Counter(exchange.status for exchange in self.records.exchanges)
        ends = Counter(exchange.end for exchange in self.records.exchanges)
        self.counts |= Counter(
            requests=len(self.records.exchanges), answered=ends[ExchangeEnd.ANSWERED], served=statuses[200],
            refused=statuses[503] + statuses[429],
        )  # fmt: skip
        result.counts = self.counts
        result.longest_stop_s = max((process.longest_stop_s for process in self.gateways), default=0.0)

    async def measure_lag(self) -> None:
        """Record the delays of this event loop, for which the judge allows."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(LAG_POLL_S)
            now_s = time.monotonic()
            late_s = now_s - last_s - LAG_POLL_S
            if late_s > MIN_LAG_S:
                self.records.lab_delays.samples.append((now_s, late_s))
            last_s = now_s

    async def monitor(self, result: Result) -> None:
        """Check the gateways at intervals, and note their resources after the first minute."""
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            for process in self.gateways:
                process.check_process()
            if not result.memory_kb[0] and time.monotonic() - self.began_s > FIRST_MINUTE_S:
                result.memory_kb = self.max_memory_kb(), 0
                result.descriptors = self.max_descriptors(), 0

    def max_memory_kb(self) -> int:
        """The largest resident memory of a gateway in kB; 0 if none runs."""
        return max((process.memory_kb() for process in self.gateways), default=0)

    def max_descriptors(self) -> int:
        """The largest number of open descriptors of a gateway; 0 if none runs."""
        return max((process.descriptors() for process in self.gateways), default=0)

    # Events

    async def apply_event(self, event: ScheduledEvent) -> None:
        """Apply one event of the schedule."""
        target, seconds = event.target, event.seconds
        match event.kind:
            case (
                EventKind.RESTART
                | EventKind.RELOAD_RESTART
                | EventKind.RESTART_RELOAD
                | EventKind.KILL
                | EventKind.RELOADS
            ):
                if not self.gateways[target].lock.locked():
                    async with self.gateways[target].lock:
                        await self.run_signals(target, event.kind)
            case EventKind.DRAIN:
                await self.drain(target)
            case EventKind.SILENT:
                self.agents[target].go_silent(seconds)
            case EventKind.LATE:
                self.agents[target].answer_late(seconds)
            case EventKind.REFUSED:
                await self.agents[target].refuse_connections(seconds)
            case EventKind.IDLE_CLIENTS:
                await self.clients.open_silent_connections(target, IDLE_CLIENT_COUNT)
                await asyncio.sleep(seconds)
                self.clients.close_silent_connections()
            case EventKind.BURST:
                self.clients.burst_until_s = time.monotonic() + BURST_S
            case _:
                self.disturb_host(self.hosts[target], event.kind, seconds)

    def disturb_host(self, host: SoakHost, kind: EventKind, seconds: float) -> None:
        """Make a host hang or answer errors for some seconds, or close connections."""
        until_s = time.monotonic() + seconds
        if kind is EventKind.HANG:
            host.hangs_until_s = until_s
        elif kind is EventKind.ERRORS:
            host.errors_until_s = until_s
        elif kind is EventKind.CLOSE:
            host.close_idle_connections()
        else:
            host.reset_connections()

    async def drain(self, number: int) -> None:
        """Drain a host, delete it from the list, and bring it back cold."""
        if number in self.drains:
            return
        host = self.hosts[number]
        drain = self.drains[number] = HostChange(number, time.monotonic())
        self.records.drains.append(drain)
        host.status = "DRAINING"
        self.registry.publish_change()
        await asyncio.sleep(DRAIN_S)
        host.status = "DELETED"
        self.registry.publish_change()
        await asyncio.sleep(DELETED_S)
        drain.until_s = time.monotonic()
        del self.drains[number]
        host.restart()
        self.registry.publish_change()
        self.clients.burst_until_s = time.monotonic() + BURST_S  # a burst of requests while the host is cold

    async def run_signals(self, gateway: int, kind: EventKind) -> None:
        """Send one series of signals to a gateway, and start it again if they end it."""
        process = self.gateways[gateway]
        if process.process.returncode is not None:
            return
        if kind is EventKind.RELOADS:
            for _ in range(2):
                await self.move_discovery(gateway)
            return
        if kind is EventKind.RELOAD_RESTART:
            await self.move_discovery(gateway)
        if kind is EventKind.KILL:
            self.clients.accepting[gateway] = False
            self.counts["kills"] += 1
            await process.kill()
        else:
            await self.stop_gateway(gateway, kind)
        process.check_log()
        await self.start_gateway(gateway)

    async def stop_gateway(self, gateway: int, kind: EventKind) -> None:
        """Stop a gateway by SIGTERM, then SIGHUP for RESTART_RELOAD, and SIGKILL if it takes too long."""
        process = self.gateways[gateway]
        process.send_sigterm()
        self.counts["signals"] += 1
        if kind is EventKind.RESTART_RELOAD:
            process.send_sighup()
            self.counts["signals"] += 1
        asyncio.get_running_loop().call_later(ACCEPT_S, self.stop_connecting, gateway, process.run_count)
        await process.wait_or_kill()
        self.counts["kills"] += process.current_run.sigkill_s < float("inf")
        self.clients.accepting[gateway] = False

    def stop_connecting(self, gateway: int, run_number: int) -> None:
        """Stop new connections to a gateway, unless another process runs it by now."""
        if self.gateways[gateway].run_count == run_number:
            self.clients.accepting[gateway] = False

    async def move_discovery(self, gateway: int) -> None:
        """Write a configuration with discovery at another address, and send SIGHUP."""
        process, old = self.gateways[gateway], self.agents[gateway]
        await process.wait_sighup_allowed()
        agent = self.make_agent(gateway)
        await agent.start()
        process.reconfigure(agent.address, self.list_hosts())
        agent.record.since_s = time.monotonic()
        self.set_agent(gateway, agent)
        process.send_sighup()
        self.counts["signals"] += 1
        asyncio.get_running_loop().call_later(OLD_AGENT_KEPT_S, old.retire)
