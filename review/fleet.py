"""A small fleet of gateway processes for the review's cases, with stand-ins for hosts and discovery.

The gateways are started with the `run` line of deploy/balancer.toml. Settings follow
deploy/sites/fern-single.toml. Everything listens on one loopback address. `run_case` is the entry point of a
case: it writes record.txt, ends all processes that were started, and maps the outcome to the exit code (1:
rule broken, 0: held, 2: could not run).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# A loopback address of this run's own, so that runs at the same time never draw the same port.
HOST = f"127.{64 + (os.getpid() >> 14) % 128}.{(os.getpid() >> 7) & 127}.{1 + (os.getpid() & 127)}"
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOG_LINES = 60  # of each process's log that go into the record
CASE_LIMIT_S = 112.0  # a case that takes longer could not run; 120 s are allowed


class CouldNotRunError(Exception):
    """The case could not be set up; nothing is known of the rule."""


class BrokenRuleError(Exception):
    """The rule under test was seen to be broken."""


class Record:
    """The case's record: one line per thing sent, answered or run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.start_s:8.3f} {text}\n")
        self.file.flush()


_taken: set[int] = set()


def free_port() -> int:
    """A port below the ephemeral range that is free for TCP and UDP."""
    for _ in range(500):
        port = random.randrange(15_000, 32_000)
        if port in _taken:
            continue
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind((HOST, port))
                datagram.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise CouldNotRunError("no free port")


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """The first line, headers and body of an HTTP/1.1 message with a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return first, headers, body


class Server:
    """An HTTP/1.1 stand-in that keeps connections alive."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.port = free_port()
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self) -> None:
        """Stop listening and end the connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    async def answer(self, target: str, headers: dict[bytes, bytes]) -> tuple[int, bytes]:
        """The status and the body for a request."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                status, body = await self.answer(first.split()[1].decode(), headers)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


class Host(Server):
    """A sound host: serves each request once, after `work_s`."""

    def __init__(self, name: str, group: int, work_s: float = 0.008) -> None:
        super().__init__()
        self.name, self.group, self.work_s = name, group, work_s
        self.served = 0

    async def answer(self, target: str, headers: dict[bytes, bytes]) -> tuple[int, bytes]:
        if b"x-call-id" not in headers:
            return 404, b""
        await asyncio.sleep(self.work_s)
        self.served += 1
        return 200, headers[b"x-call-id"]

    def entry(self) -> dict[str, Any]:
        """The host's entry in the list."""
        return {
            "name": self.name, "address": f"{HOST}:{self.port}", "zone": "all", "type": "duo",
            "group": self.group, "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip


class Discovery(Server):
    """The agent of pushed lists: one list, which does not change."""

    def __init__(self, hosts: Iterable[Host]) -> None:
        super().__init__()
        self.hosts = list(hosts)

    def listed(self) -> dict[str, Any]:
        """The whole list."""
        return {"index": 1, "snapshot": True, "endpoints": [host.entry() for host in self.hosts]}

    async def answer(self, target: str, headers: dict[bytes, bytes]) -> tuple[int, bytes]:
        _, _, query = target.partition("?")
        values = dict(pair.split("=") for pair in query.split("&") if pair)
        if values.get("from") == "1":
            await asyncio.sleep(int(values.get("hold_ms", "0")) / 1000)
            return 200, json.dumps({"index": 1, "snapshot": False, "endpoints": []}).encode()
        return 200, json.dumps(self.listed()).encode()


def settings(index: int, count: int) -> dict[str, Any]:
    """The settings of the site fern-single: one keyed class, pushed lists, no probes, no second copies."""
    return {
        "zones": ["all"], "zone": 0, "shapes": ["duo"], "tenants": [], "balancers": count, "index": index,
        "objectiveMix": {"whole": 0.8, "worstWindow": 0.2, "worstClass": 0.0, "worstTenant": 0.0},
        "prices": {"waste": 0.08, "lateFail": 0.06, "handshake": 0.05},
        "membershipMode": "pushed", "report": {"how": "silent", "fields": []}, "weights": "nominal",
        "family": "proxy", "worthBy": "request", "clients": {"marksRetry": False},
        "caps": {"maxAttempts": 3, "mayCancel": False, "connectTimeoutUs": 180_000, "multiplex": 1,
                 "keepaliveUs": 12_000_000, "secondCopies": False, "probes": False, "peers": False,
                 "retryAfter": True, "maxRetryAfterUs": 800_000, "mostHeld": 20_000},
        "contract": {"stopSendingWithinUs": 900_000, "mustAskInUs": 10_000_000, "answerSlackUs": 8_000,
                     "startCapacity": 0.4, "warmAfterUs": 8_000_000, "tipMultiple": 2.0, "fallUs": 1_000_000},
        "lanes": [{"name": "quote", "effect": "guarded", "group": "all", "aimUs": 90_000,
                   "giveUpUs": 180_000, "value": 1.0, "lateValue": 0.1, "windowUs": 400_000,
                   "streamed": False}],
    }  # fmt: skip


class Gateway:
    """One gateway process and its configuration."""

    def __init__(self, name: str, config: dict[str, Any], folder: Path, record: Record) -> None:
        self.name, self.config, self.folder, self.record = name, config, folder, record
        self.file = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.log: list[tuple[float, str]] = []  # when each line of the log was read, and the line
        self.log_lines = 0  # in the record, of the present process

    @property
    def operator(self) -> int:
        """The port of the operators' address."""
        return int(self.config["operator"].rpartition(":")[2])

    @property
    def port(self) -> int:
        """The port of the clients' address."""
        return int(self.config["listen"].rpartition(":")[2])

    def write_config(self) -> None:
        """Write the configuration file."""
        self.file.write_text(json.dumps(self.config))

    async def start(self) -> None:
        """Start the process by the deploy file's `run`, and wait until it is ready."""
        self.write_config()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=environment | {"LB_CONFIG": str(self.file)},
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.log_lines = 0
        self.record.line(f"{self.name}: started, process {self.process.pid}")
        self.reader = asyncio.create_task(self._read_log(self.process))
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s and self.process.returncode is None:
            status, _ = await self.call("/api/ready")
            if status == 200:
                self.record.line(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} did not get ready: {self.log[-3:]}")

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        async for raw in process.stderr:
            line = raw.decode(errors="replace").rstrip()
            self.log.append((time.monotonic(), line))
            if "connections:" not in line and self.log_lines < LOG_LINES:
                self.log_lines += 1
                self.record.line(f"{self.name} log: {line}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.line(f"{self.name}: {number.name} sent")
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float = 10.0) -> None:
        """Wait until the process has ended."""
        assert self.process is not None
        code = await asyncio.wait_for(self.process.wait(), timeout_s)
        self.record.line(f"{self.name}: ended with {code}")

    async def kill(self) -> None:
        """End the process at once, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()

    async def call(self, target: str, body: bytes | None = None, timeout_s: float = 2.0) -> tuple[int, bytes]:
        """Call the operators' address: GET, or POST with a body; (0, b"") if there is no answer."""
        verb = "GET" if body is None else "POST"
        head = f"{verb} {target} HTTP/1.1\r\nHost: review\r\n"
        if body is not None:
            head += f"Content-Type: application/octet-stream\r\nContent-Length: {len(body)}\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(HOST, self.operator)
                try:
                    writer.write(head.encode() + b"\r\n" + (body or b""))
                    first, _, content = await read_message(reader)
                    return int(first.split()[1]), content
                finally:
                    writer.close()
        except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError):
            return 0, b""

    async def json(self, target: str) -> dict[str, Any]:
        """The JSON object that a GET at the operators' address answers; {} if there is none."""
        status, body = await self.call(target)
        found: dict[str, Any] = json.loads(body) if status == 200 else {}
        return found

    async def gauge(self, name: str) -> int | None:
        """A figure of the telemetry; None if there is no answer."""
        status, body = await self.call("/api/telemetry")
        for line in body.decode().splitlines() if status == 200 else ():
            if line.startswith(name + " "):
                return int(float(line.split()[1]))
        return None


class Fleet:
    """Gateways g1, g2, ... in one cluster. `extend` completes the configuration of the gateway of a name."""

    def __init__(
        self, count: int, hosts: list[Host], record: Record, extend: Callable[[str], dict[str, Any]]
    ) -> None:
        self.record, self.hosts = record, hosts
        self.temporary = tempfile.TemporaryDirectory(prefix="firledge-review-")
        self.folder = Path(self.temporary.name)
        self.names = [f"g{number}" for number in range(1, count + 1)]
        self.discovery = Discovery(hosts)
        self.gateways: dict[str, Gateway] = {}
        self.extend = extend

    async def start(self) -> None:
        """Start the stand-ins and all gateways."""
        for host in self.hosts:
            await host.start()
        await self.discovery.start()
        binds = {name: f"{HOST}:{free_port()}" for name in self.names}
        for index, name in enumerate(self.names):
            config = {
                "name": name, "listen": f"{HOST}:{free_port()}", "operator": f"{HOST}:{free_port()}",
                "discovery": f"{HOST}:{self.discovery.port}", "seed": f"{random.randrange(1 << 64):016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": self.discovery.listed(), "settings": settings(index, len(self.names)),
                "state_dir": str(self.folder / f"state-{name}"),
                "cluster": {"name": "fern", "bind": binds[name], "seeds": list(binds.values())[:3]},
            }  # fmt: skip
            self.gateways[name] = Gateway(name, config | self.extend(name), self.folder, self.record)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways.values()))
        await self.wait(
            "all members see each other",
            lambda: self.all_true(lambda g: self.sees_all(g)),
            20.0,
        )

    async def sees_all(self, gateway: Gateway) -> bool:
        members = (await gateway.json("/api/members")).get("members", [])
        return sum(row["status"] == "alive" for row in members) == len(self.names)

    async def all_true(self, holds: Callable[[Gateway], Awaitable[bool]]) -> bool:
        """Whether this holds at every gateway."""
        return all(await asyncio.gather(*(holds(gateway) for gateway in self.gateways.values())))

    async def wait(self, what: str, holds: Callable[[], Awaitable[Any]], timeout_s: float) -> Any:
        """Wait until `holds` returns something true, and return it; CouldNotRunError after the time-out."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if found := await holds():
                return found
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"not in {timeout_s:g} s: {what}")

    async def close(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways.values()))
        self.discovery.close()
        for host in self.hosts:
            host.close()
        await asyncio.sleep(0.05)
        self.temporary.cleanup()


_request_number = 0


async def send_quote(port: int) -> int:
    """Send one request of the class `quote` on a new connection; the status, 0 for no answer."""
    global _request_number
    _request_number += 1
    id_ = f"{os.getpid():08x}{_request_number:08x}"
    head = (
        f"POST /quote/{_request_number % 50:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\n"
        f"X-Call-Class: quote\r\nX-Budget-Ms: 180\r\nIdempotency-Key: {id_}\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(head.encode())
                first, _, _ = await read_message(reader)
                return int(first.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError):
        return 0


def run_case(folder: Path, case: Callable[[Record], Awaitable[None]]) -> int:
    """Run a case and return its exit code."""
    record = Record(folder / "record.txt")
    record.line(f"TROUBLE={int(TROUBLE)}")

    async def limited() -> None:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_LIMIT_S):
            await case(record)

    try:
        asyncio.run(limited())
    except BrokenRuleError as broken:
        record.line(f"RULE BROKEN: {broken}")
        print(f"rule broken: {broken}")
        return 1
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
        traceback.print_exc(file=sys.stderr)
        return 2
    record.line("the rule held")
    print("the rule held")
    return 0
