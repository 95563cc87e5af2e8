"""One site that starts cold: its list service, hosts, clients and gateways, and the figures of the run."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from pathlib import Path
from typing import Any

from faultlab.child import Child
from faultlab.coldstart import figures
from faultlab.coldstart.figures import Drain
from faultlab.coldstart.processes import GatewayProcesses
from faultlab.coldstart.settings import Plan
from faultlab.ports import free_port, free_ports
from faultlab.relay import Relay

FIRST_TRAFFIC_S = 10.0  # first traffic of each gateway: what the figures of a start cover
START_TIMEOUT_S = 60.0  # for all gateways of a start to be ready
POLL_S = 0.05


class ColdStartSite:
    """All parts of one run; with `shared` the gateways form a cluster and share lists."""

    def __init__(self, plan: Plan, folder: Path, shared: bool) -> None:
        self.plan, self.folder, self.shared = plan, folder, shared
        self.random = random.Random(plan.seed)
        self.children: list[Child] = []
        self.gateways = GatewayProcesses(folder, [])
        self.first_ready: dict[int, float] = {}  # when each gateway was ready for the first time
        self.drains: list[Drain] = []
        self.seeds: list[str] = []
        self.relay: Relay | None = None
        self.restart_record: tuple[float, dict[int, float], list[int]] | None = (
            None  # a second start: when it began, when each was ready, which gateways
        )
        self.began_s = 0.0
        self.cpu_ready_s = 0.0  # CPU time of all gateways when 99 % were ready
        self.load_average = os.getloadavg()[0]

    async def set_up(self, known: bool = False, relayed: bool = False) -> None:
        """Start everything except the gateways.

        With `known` their configurations have the list, and there is no list service for them. With `relayed`
        the traffic of the members goes through a relay.
        """
        plan = self.plan
        self.folder.mkdir(parents=True, exist_ok=True)
        hosts = [{"name": f"host-{n}", "fails": plan.is_failing(n)} for n in range(plan.hosts)]
        ports = free_ports(plan.gateways)
        clients = {"ports": ports, "rate_per_s": plan.rate_per_s, "work_us": int(plan.work_s * 1e6),
                   "seed": plan.seed}  # fmt: skip
        service = {"rate_per_s": plan.calls_per_s, "queue": plan.queue, "patience_s": plan.patience_s,
                   "collapses": True}  # fmt: skip
        host_settings = {"hosts": hosts, "account": plan.host_capacity(), "cap": plan.max_host_connections}
        for module, settings in (
            ("faultlab.listservice", service),
            ("faultlab.coldstart.hosts", host_settings),
            ("faultlab.coldstart.client", clients),
        ):
            self.children.append(await Child.start(module, settings))
        self.service, self.hosts, self.clients = self.children
        discovery = await self.service.call("listen", callers=plan.gateways)
        self.addresses: list[str] = await self.hosts.call("addresses")
        clusters = (
            await self.relayed_cluster_configs() if relayed else self.cluster_configs(free_ports(plan.seeds))
        )
        files = [
            plan.configuration(n, ports[n], discovery[n], clusters[n] if self.shared else None)
            for n in range(plan.gateways)
        ]
        if known:
            listed = {"index": 1, "snapshot": True, "endpoints": self.endpoints()}
            files = [file | {"known": listed, "discovery": f"127.0.0.1:{free_port()}"} for file in files]
        self.gateways = GatewayProcesses(self.folder, files)
        self.gate = self.gateways.spawn_waiting(list(range(plan.gateways)))

    def cluster_configs(self, ports: list[int]) -> list[dict[str, Any]]:
        """The `cluster` object of each gateway; the first few are the seeds, whose ports are chosen ahead."""
        self.seeds = [f"127.0.0.1:{port}" for port in ports]
        binds = [*self.seeds, *["127.0.0.1:0"] * self.plan.gateways]
        return [self.plan.cluster(self.seeds) | {"bind": bind} for bind in binds[: self.plan.gateways]]

    async def relayed_cluster_configs(self) -> list[dict[str, Any]]:
        """The same, with each member reached through the relay."""
        self.relay = Relay(self.plan.seed)
        places = [await self.relay.add_member(f"gw-{n}") for n in range(self.plan.gateways)]
        cluster = self.plan.cluster([place.advertise for place in places[: self.plan.seeds]])
        return [cluster | {"bind": place.bind, "advertise": place.advertise} for place in places]

    def endpoints(self) -> list[dict[str, Any]]:
        """The entries of all hosts in the list; all have started now."""
        since_ms = int(time.time() * 1000)
        return [self.plan.endpoint(n, address, since_ms) for n, address in enumerate(self.addresses)]

    async def start_all(self) -> None:
        """Start hosts and gateways at one moment, as when power returns, and the clients' traffic."""
        await self.hosts.call("restart")
        await self.service.call("hosts", endpoints=self.endpoints())
        self.began_s = time.monotonic()
        os.close(self.gate)
        await self.clients.call("poll", gateways=list(range(self.plan.gateways)))
        await self.clients.call("send", on=True)

    async def start_gateways_only(self) -> None:
        """Start the gateways without any traffic."""
        self.began_s = time.monotonic()
        os.close(self.gate)
        await self.clients.call("poll", gateways=list(range(self.plan.gateways)))

    async def close(self) -> None:
        """Kill the gateways and close the relay and the child processes."""
        self.gateways.close()
        if self.relay is not None:
            await self.relay.close()
        for child in self.children:
            await child.close()

    async def poll_ready(self) -> dict[int, float]:
        """Since when each gateway that is ready now has been ready; records the first time of each."""
        now = {gateway: since_s for gateway, since_s in await self.clients.call("ready")}
        for gateway, since_s in now.items():
            self.first_ready.setdefault(gateway, since_s)
        return now

    async def wait_ready(self, share: float, timeout_s: float = START_TIMEOUT_S) -> bool:
        """Wait until `share` of the gateways have been ready once; False on a timeout."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            await self.poll_ready()
            count = len(self.first_ready)
            if not self.cpu_ready_s and count >= 0.99 * self.plan.gateways:
                self.cpu_ready_s = self.gateways.cpu_s()
            if count >= share * self.plan.gateways:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def wait_ready_again(self, numbers: list[int], timeout_s: float = START_TIMEOUT_S) -> bool:
        """Wait until these gateways are ready at the same time; False on a timeout."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if (await self.poll_ready()).keys() >= set(numbers):
                return True
            await asyncio.sleep(POLL_S)
        return False

    def ready_s(self, share: float) -> float:
        """Seconds from the start until `share` of the gateways had been ready once; inf if never."""
        return start_duration_s(self.began_s, self.first_ready, self.plan.gateways, share)

    async def drain(self) -> Drain:
        """Let a host drain in the list service, one that is in use if there is any; `undrain` ends it."""
        used = await self.hosts.call("used", after_s=time.monotonic() - 1.0)
        host = self.random.choice(used or range(self.plan.hosts))
        set_s, index = await self.service.call("set", name=f"host-{host}", fields={"status": "DRAINING"})
        return Drain(host, index, set_s, float("inf"))

    async def undrain(self, drain: Drain) -> None:
        """End a drain and record it."""
        until_s = time.monotonic()
        await self.service.call("set", name=f"host-{drain.host}", fields={"status": "SERVING"})
        self.drains.append(Drain(drain.host, drain.index, drain.set_s, until_s))

    async def watchers(self) -> list[int]:
        """The gateways that have a watch at the list service; with `shared`, these are the relays."""
        watching: list[int] = await self.service.call("watchers")
        return watching

    async def kill(self, numbers: list[int]) -> None:
        """Kill these gateways (SIGKILL) at one moment."""
        for number in numbers:
            self.gateways.processes[number].send_signal(signal.SIGKILL)
        for number in numbers:
            self.gateways.signal(number, signal.SIGKILL)

    async def restart_gateways(self, numbers: list[int]) -> None:
        """Start these gateways again, and poll them for readiness."""
        self.gateways.restart(numbers)
        await self.clients.call("poll", gateways=numbers)

    def start_figures(
        self, began_s: float, ready: dict[int, float], count: int, calls: list[float], results: Any
    ) -> dict[str, Any]:
        """The figures of one start of `count` gateways: readiness, list calls and requests."""
        early = [at for at in calls if began_s <= at < began_s + FIRST_TRAFFIC_S]
        start = [at for at in calls if began_s <= at < max(ready.values(), default=began_s) + FIRST_TRAFFIC_S]
        seen = figures.count_responses(results, ready, FIRST_TRAFFIC_S)
        return {
            "ready": len(ready),
            "ready_median_s": start_duration_s(began_s, ready, count, 0.5),
            "ready_99_s": start_duration_s(began_s, ready, count, 0.99),
            "list_calls_10s": len(early),
            "list_calls_most_10s": figures.max_within(start, FIRST_TRAFFIC_S),
            "list_calls_most_100ms": figures.max_within(start, 0.1),
            "sent_10s": seen.sent,
            "failed_10s": seen.failed,
            "refused_10s": seen.refused,
        }

    async def collect_figures(self) -> dict[str, Any]:
        """Collect the figures of the run in one flat object."""
        plan = self.plan
        memory_mb, cpu_s = self.gateways.memory_mb(), self.gateways.cpu_s()
        await self.poll_ready()
        await self.clients.call("send", on=False)
        service, hosts = await self.service.call("log"), await self.hosts.call("log")
        results = await self.clients.call("log")
        calls = [at for at, _, _ in service["calls"]]
        first_s = min(self.first_ready.values(), default=self.began_s)
        started_s = max(self.first_ready.values(), default=self.began_s) + FIRST_TRAFFIC_S
        responses, arrivals = service["told"], hosts["requests"]
        late = [figures.late_sends(arrivals, responses, drain, self.shared) for drain in self.drains]
        seen: dict[str, Any] = {
            "gateways": plan.gateways,
            "load_before": self.load_average,
            **self.start_figures(self.began_s, self.first_ready, plan.gateways, calls, results),
            "list_calls": len(calls),
            "list_calls_whole": sum(since < 0 for _, _, since in service["calls"]),
            "list_calls_failed": service["failed"],
            "connections_per_host_s": figures.rate_per_host(hosts["opened"], first_s, started_s, plan.hosts),
            "connections_per_host": sum(at < started_s for at, _ in hosts["opened"]) / plan.hosts,
            "connections_worst_host_s": figures.max_per_host_second(hosts["opened"]),
            "probes_per_host_s": figures.rate_per_host(hosts["probes"], first_s, started_s, plan.hosts),
            "hosts_pushed_over": hosts["falls"],
            "turned_away_at_hosts": sum(hosts["turned_away"].values()),
            "attempts_per_request": len(arrivals) / max(1, len(results)),
            "memory_mb": memory_mb,
            "cpu_ready_ms": self.cpu_ready_s * 1000 / plan.gateways,
            "cpu_ms": cpu_s * 1000 / plan.gateways,
            "drains": len(self.drains),
            "drains_broken": sum(map(bool, late)),
            "late_sends": sum(map(len, late)),
            "drain_last_send_s": max((figures.last_send_s(arrivals, d) for d in self.drains), default=0.0),
            "peers_set_aside": self.gateways.count_lines("event=lists.peer_refused"),
            "fallbacks": self.gateways.count_lines("event=lists.fallback"),
            "watchers": len(await self.watchers()),
            "tracebacks": self.gateways.count_lines("Traceback"),
        }
        if self.restart_record is not None:
            began_s, ready, victims = self.restart_record
            again_figures = self.start_figures(began_s, ready, len(victims), calls, results)
            seen |= {f"again_{name}": value for name, value in again_figures.items()}
        return seen


def start_duration_s(began_s: float, ready: dict[int, float], count: int, share: float) -> float:
    """Seconds from the start until `share` of `count` gateways was ready; inf if never."""
    starts = [at - began_s for at in ready.values()]
    return figures.quantile(starts + [float("inf")] * (count - len(starts)), share)
