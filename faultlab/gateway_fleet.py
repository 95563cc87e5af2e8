"""A fleet of real gateway processes whose member traffic goes through the fault-injecting relay.

Classes derived from `GatewayFleet` define what is added to each configuration and how the status of a gateway
is read.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self, cast

from faultlab.gateway_process import GatewayProcess, configuration
from faultlab.ports import free_port
from faultlab.relay import Relay
from faultlab.standins import Discovery, endpoint
from faultlab.standins import Host as StandInHost

SEED_COUNT = 3
HOST_COUNT = 4
POLL_S = 0.02
FORMATION_TIMEOUT_S = 180.0  # for all gateways to find each other, also on a machine under load
START_ATTEMPTS = 3
FAILURE_LOG_LINES = 20  # of each gateway, printed when the set-up of a fleet fails
CONCURRENT_STARTS = 4  # gateways started at the same time: each uses the CPU for about a second
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class InstantHost(asyncio.Protocol):
    """Answers each bodyless request at once, at far less CPU time than the gateway that is measured."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(RESPONSE * data.count(b"\r\n\r\n"))


def stand_in_host(number: int, server: asyncio.Server) -> StandInHost:
    """A stand-in host for a server that listens already, as `endpoint` takes it."""
    host = StandInHost(f"host-{number}")
    host.server = server
    return host


@dataclass
class TimedGatewayProcess(GatewayProcess):
    """A gateway process that also records when each line of its log was read."""

    line_times: list[float] = field(default_factory=list)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        self.line_times = []
        async for line in process.stderr:
            self.line_times.append(time.monotonic())
            self.log.append(line.decode(errors="replace").rstrip())

    def last_line_s(self, *words: str) -> float | None:
        """When the last log line that has all of these words was read (monotonic time); None if none was."""
        pairs = zip(reversed(self.log), reversed(self.line_times), strict=False)
        return next((at_s for line, at_s in pairs if all(word in line.split() for word in words)), None)

    def first_line_s(self, seen: int, after_s: float, *words: str) -> float | None:
        """When the first such line after `after_s` was read, skipping the first `seen` lines of the log."""
        pairs = zip(self.log[seen:], self.line_times[seen:], strict=False)
        return next(
            (at_s for line, at_s in pairs if at_s > after_s and all(word in line.split() for word in words)),
            None,
        )


class GatewayFleet:
    """Gateways m0, m1, ... and their hosts: `async with Derived(4, folder) as fleet`.

    `host` makes the protocol of a host's end of a connection; by default hosts answer at once.
    """

    def __init__(self, count: int, folder: Path, host: Callable[[], asyncio.Protocol] = InstantHost) -> None:
        self.folder, self.host = folder, host
        self.hosts: list[asyncio.Server] = []
        self.discovery: Discovery | None = None
        self.names = [f"m{number}" for number in range(count)]
        self.relay = Relay()
        self.gateways: dict[str, TimedGatewayProcess] = {}

    # For derived classes to define.

    def extend_config(self, config: dict[str, Any]) -> dict[str, Any]:
        """Complete the configuration of a gateway; `config` has a cluster and an operator address."""
        raise NotImplementedError

    def environment(self, name: str) -> dict[str, str]:
        """Environment variables of a gateway's process in addition to those of the lab."""
        return {}

    async def status(self, name: str) -> dict[str, Any]:
        """The status that a gateway reports; {} if it does not answer."""
        raise NotImplementedError

    def is_ready(self, status: dict[str, Any]) -> object:
        """Whether a gateway with this status has joined the fleet."""
        raise NotImplementedError

    async def start_hosts(self) -> list[dict[str, Any]]:
        """Start the hosts and return their entries for the list service."""
        loop = asyncio.get_running_loop()
        self.hosts = [await loop.create_server(self.host, "127.0.0.1", 0) for _ in range(HOST_COUNT)]
        return [endpoint(stand_in_host(number, server)) for number, server in enumerate(self.hosts)]

    async def __aenter__(self) -> Self:
        try:
            listed = await self.start_hosts()
            self.discovery = Discovery(endpoints=listed)
            await self.discovery.start()
            places = [await self.relay.add_member(name) for name in self.names]
            seeds = [place.advertise for place in places[:SEED_COUNT]]
            for place in places:
                config = configuration(place.name, free_port(), self.discovery.address, listed)
                config |= {
                    "operator": f"127.0.0.1:{free_port()}",
                    "cluster": {"name": "lab", "bind": place.bind, "advertise": place.advertise,
                                "seeds": seeds},
                }  # fmt: skip
                state = self.folder / f"state-{place.name}"
                gateway = TimedGatewayProcess(place.name, self.folder, self.extend_config(config), state)
                gateway.environment = self.environment(place.name)
                self.gateways[place.name] = gateway
            for at in range(0, len(self.names), CONCURRENT_STARTS):
                await asyncio.gather(*map(self.start, self.names[at : at + CONCURRENT_STARTS]))
            await self.wait_all(self.is_ready, FORMATION_TIMEOUT_S)
        except BaseException:
            self.print_logs()
            await self.close()
            raise
        return self

    def print_logs(self) -> None:
        """Print the last log lines of each gateway on standard error, to diagnose a set-up that failed."""
        for name, gateway in self.gateways.items():
            process = gateway.process
            code = process.returncode if process is not None else None
            print(f"{name}: {gateway.config['listen']}, exit code {code}", file=sys.stderr)
            print(*(f"  {line}" for line in gateway.log[-FAILURE_LOG_LINES:]), sep="\n", file=sys.stderr)

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def start(self, name: str) -> None:
        """Start a gateway, with new ports after each failure. Raises RuntimeError if all attempts fail."""
        gateway = self.gateways[name]
        assert gateway.state_dir is not None
        gateway.state_dir.mkdir(exist_ok=True)
        for _ in range(START_ATTEMPTS):
            if await gateway.start() < float("inf"):
                return
            await gateway.signal(signal.SIGKILL)
            if gateway.listener_fd is None:  # the port may have been taken since it was chosen
                gateway.config["listen"] = f"127.0.0.1:{free_port()}"
            gateway.config["operator"] = f"127.0.0.1:{free_port()}"
        raise RuntimeError(f"{name} did not start, last log lines: {gateway.log[-5:]}")

    async def close(self) -> None:
        """Kill the gateways and close the relay, the list service and the hosts."""
        await asyncio.gather(*(gateway.signal(signal.SIGKILL) for gateway in self.gateways.values()))
        await self.relay.close()
        if self.discovery is not None:
            self.discovery.close()
        for server in self.hosts:
            server.close()

    def operator_address(self, name: str) -> str:
        """The operator address of a gateway, HOST:PORT."""
        return str(self.gateways[name].config["operator"])

    async def call_operator(self, name: str, target: str, body: bytes | None = None) -> tuple[int, bytes]:
        """Call the operator interface of a gateway: GET, or POST with a body.

        Returns the status and body of the response, or (0, b"") if there was none.
        """
        host, _, port = self.operator_address(name).rpartition(":")
        content_type = "" if body is None else "Content-Type: application/octet-stream\r\n"
        length = len(body or b"")
        head = f"{'GET' if body is None else 'POST'} {target} HTTP/1.1\r\nHost: o\r\n{content_type}"
        try:
            async with asyncio.timeout(20.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(f"{head}Content-Length: {length}\r\n\r\n".encode() + (body or b""))
                    answer = await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        first, _, content = answer.partition(b"\r\n\r\n")
        return int(first.split()[1]) if first else 0, content

    async def wait_all(
        self,
        holds: Callable[[dict[str, Any]], object],
        timeout_s: float = 15.0,
        names: Iterable[str] | None = None,
    ) -> None:
        """Wait until `holds` has been true of the status of each gateway, or of each of `names`.

        Raises TimeoutError with the last status of the first gateway of which it was not.
        """
        remaining = list(self.names if names is None else names)
        last: dict[str, Any] = {}
        try:
            async with asyncio.timeout(timeout_s):
                while remaining:
                    last = await self.status(remaining[0])
                    if last and holds(last):
                        remaining.pop(0)
                    else:
                        await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise TimeoutError(f"{remaining[0]} did not reach the expected status in time: {last}") from None
