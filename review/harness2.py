"""Stand-ins and process control for the cases 6 to 10 of the second review.

Everything runs on loopback and on the real clock. A case starts the project's own program with the `run`
line of `deploy/balancer.toml`; clients, hosts, discovery and operators are the small stand-ins below. What
was sent, answered and run goes to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
BUDGET_S = 115.0  # of the whole script; the issue allows 120 s


class CouldNotRunError(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """`record.txt` of a case, with the time since its start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def __call__(self, line: str) -> None:
        self.file.write(f"{time.monotonic() - self.start_s:8.3f} {line}\n")
        self.file.flush()


_taken_ports: set[int] = set()


def free_port() -> int:
    """A loopback port that nobody listens on, below the range of ports of outgoing connections."""
    for _ in range(1000):
        port = random.randrange(12000, 30000)
        if port in _taken_ports:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port
    raise CouldNotRunError("no free port")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """One HTTP message with a length: its first line, headers (names in lower case) and body."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in filter(None, head[1:]):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        return head[0], headers, await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def response(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class Server:
    """A stand-in that listens on loopback and answers one request at a time on a connection."""

    def __init__(self) -> None:
        self.port = free_port()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(message[0].split(" ")[1], message[1], message[2])
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def answer(self, target: str, headers: dict[str, str], body: bytes) -> bytes | None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


class Host(Server):
    """A sound host: runs each request once its last byte has come, and answers 200 with its own name."""

    def __init__(self, name: str, group: int, record: Record, work_s: float = 0.005) -> None:
        super().__init__()
        self.name, self.group, self.record, self.work_s = name, group, record, work_s
        self.ran: list[tuple[float, str]] = []  # when, and the call's id

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name, "address": self.address, "zone": "tallinn", "type": "plain-single",
            "group": self.group, "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip

    async def answer(self, target: str, headers: dict[str, str], body: bytes) -> bytes | None:
        id_ = headers.get("x-call-id")
        if id_ is None:
            return response(404, b"")
        self.ran.append((time.monotonic(), id_))
        self.record(f"host {self.name} runs {id_}")
        await asyncio.sleep(self.work_s)
        return response(200, self.name.encode())


class Discovery(Server):
    """An agent that always has the same list; a watch is held for as long as it says."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: list[dict[str, Any]] = []

    async def answer(self, target: str, headers: dict[str, str], body: bytes) -> bytes | None:
        if "from=" in target:
            hold_ms = int(target.partition("hold_ms=")[2].partition("&")[0] or 0)
            await asyncio.sleep(min(60.0, hold_ms / 1000))
            return response(200, json.dumps({"index": 1, "snapshot": False, "endpoints": []}).encode())
        return response(200, json.dumps(self.full()).encode())

    def full(self) -> dict[str, Any]:
        return {"index": 1, "snapshot": True, "endpoints": self.entries}


class Agent(Server):
    """Discovery's agent on one gateway's machine: it answers with what it has been sent."""

    def __init__(self, entries: list[dict[str, Any]], record: Record, name: str) -> None:
        super().__init__()
        self.record, self.name = record, name
        self.entries = {entry["name"]: entry for entry in entries}
        self.index = 1
        self.changed_at = dict.fromkeys(self.entries, 1)  # index of the last change, by host
        self.changed = asyncio.Event()
        self.told_s: dict[str, float] = {}  # when it first wrote to the gateway that a host drains, by host

    def get_change(self, host: str, status: str) -> None:
        """Discovery sends it a change."""
        self.index += 1
        self.entries[host] = self.entries[host] | {"status": status}
        self.changed_at[host] = self.index
        self.record(f"agent of {self.name} has index {self.index}: {host} is {status}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, target: str, headers: dict[str, str], body: bytes) -> bytes | None:
        known, hold_s = None, 0.0
        for field in target.partition("?")[2].split("&"):
            key, _, value = field.partition("=")
            known = int(value) if key == "from" else known
            hold_s = min(60.0, int(value) / 1000) if key == "hold_ms" else hold_s
        until_s = time.monotonic() + hold_s
        while known is not None and self.index <= known and (left_s := until_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        full = known is None
        listed = [e for n, e in self.entries.items() if known is None or self.changed_at[n] > known]
        self.record(f"agent of {self.name}: from {known}: index {self.index}, {len(listed)} of the hosts")
        for entry in listed:
            if entry["status"] == "DRAINING":
                self.told_s.setdefault(entry["name"], time.monotonic())
        return response(
            200, json.dumps({"index": self.index, "snapshot": full, "endpoints": listed}).encode()
        )


def settings(gateways: int, index: int) -> dict[str, Any]:
    """Settings of a small deployment, after the example of the wire page."""
    return {
        "balancers": gateways, "index": index, "zone": 0, "zones": ["tallinn"],
        "shapes": ["plain-single"], "stage": 0, "tiers": ["roster-web"], "tickUs": 2000,
        "caps": {"connectTimeoutUs": 120000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
                 "keepaliveUs": 60000000, "maxAttempts": 5, "maxRetryAfterUs": 1500000, "mayCancel": True,
                 "mostHeld": 20000, "multiplex": 1, "peers": False, "probes": False, "retryAfter": False,
                 "secondCopies": True},
        "clients": {"marksRetry": True},
        "contract": {"answerSlackUs": 8000, "fallUs": 1500000, "mustAskInUs": 10000000, "startCapacity": 0.33,
                     "stopSendingWithinUs": 2000000, "tipMultiple": 2.5, "warmAfterUs": 9000000},
        "family": "proxy", "familyInfo": {},
        "lanes": [{"aimUs": 600000, "effect": "single_shot", "giveUpUs": 1200000, "group": "all",
                   "lateValue": 0.0, "name": "swap", "streamed": False, "value": 2.0, "windowUs": 5000000}],
        "membershipMode": "pushed",
        "objectiveMix": {"whole": 0.45, "worstClass": 0.35, "worstTenant": 0.1, "worstWindow": 0.1},
        "overShareWorth": 0.05, "prices": {},
        "report": {"fields": [], "how": "silent"},
        "tenants": [{"allowancePerS": 200.0, "fraction": 1.0, "name": "tamme-pagarid"}],
        "weights": "silent", "worthBy": "request",
    }  # fmt: skip


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], record: Record) -> None:
        self.name, self.folder, self.config, self.record = name, folder, config, record
        self.process: asyncio.subprocess.Process | None = None
        self.environment: dict[str, str] = {}
        self.inherited: socket.socket | None = None
        self.starts = 0

    @property
    def port(self) -> int:
        return int(self.config["listen"].rpartition(":")[2])

    @property
    def operator(self) -> int:
        return int(self.config["operator"].rpartition(":")[2])

    async def launch(self) -> None:
        """Starts the process; does not wait."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment |= {"LB_CONFIG": str(path), "TMPDIR": str(self.folder)} | self.environment
        fds: tuple[int, ...] = ()
        if self.inherited is not None:
            fds = (self.inherited.fileno(),)
            environment["LB_ACCEPT_FD"] = str(fds[0])
        self.starts += 1
        with (self.folder / f"{self.name}-{self.starts}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=fds,
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        self.record(f"gateway {self.name} started, pid {self.process.pid}")

    async def ready(self, within_s: float = 30.0) -> None:
        """Waits until this very process answers 200 at the operators' address."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            if self.process is None or self.process.returncode is not None:
                raise CouldNotRunError(f"gateway {self.name} ended before it was ready")
            if (await ask(self.operator, "GET", "/api/ready"))[0] == 200:
                self.record(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.02)
        raise CouldNotRunError(f"gateway {self.name} was not ready within {within_s:g} s")

    def send_signal(self, signum: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"{signum.name} to gateway {self.name}, pid {self.process.pid}")
            self.process.send_signal(signum)

    async def end(self, signum: signal.Signals = signal.SIGTERM, within_s: float = 3.7) -> None:
        """Ends the process; SIGKILL follows after `within_s`, as on the platform."""
        self.send_signal(signum)
        if self.process is None:
            return
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            self.record(f"SIGKILL to gateway {self.name}, pid {self.process.pid}")
            self.process.kill()
            await self.process.wait()


async def ask(
    port: int, method: str, target: str, body: bytes = b"", timeout_s: float = 2.0
) -> tuple[int, bytes]:
    """One operator's call; status 0 where no answer came."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                head = f"{method} {target} HTTP/1.1\r\nHost: operators\r\nContent-Length: {len(body)}\r\n"
                kind = "Content-Type: application/octet-stream\r\n" if method == "POST" else ""
                writer.write(f"{head}{kind}\r\n".encode() + body)
                message = await read_message(reader)
                return (0, b"") if message is None else (int(message[0].split(" ")[1]), message[2])
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, b""


async def ask_json(port: int, target: str) -> dict[str, Any]:
    """A GET of the operators, decoded; empty where it was not answered with 200."""
    status, body = await ask(port, "GET", target)
    return json.loads(body) if status == 200 else {}


class Client:
    """A client on one kept connection; opens another one where it was closed."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, id_: str, budget_ms: int = 1200, path: str = "") -> tuple[int, bytes]:
        """One `swap`; status 0 where the connection ended or no answer came in time."""
        head = (
            f"POST {path or f'/swap/{id_}'} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\n"
            f"X-Call-Class: swap\r\nX-Caller: tamme-pagarid\r\nX-Budget-Ms: {budget_ms}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                if self.stream is None:
                    self.stream = await asyncio.open_connection("127.0.0.1", self.port)
                self.stream[1].write(head.encode())
                message = await read_message(self.stream[0])
        except (OSError, TimeoutError):
            message = None
        if message is None:
            self.close()
            self.record(f"client {id_}: no answer")
            return 0, b""
        status = int(message[0].split(" ")[1])
        self.record(f"client {id_}: {status} {message[2][:40].decode('latin-1')}")
        if message[1].get("connection") == "close":
            self.close()
        return status, message[2]

    def close(self) -> None:
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


class Site:
    """Hosts, discovery and a cluster of gateways in a temporary folder."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.discovery = Discovery()
        self.hosts: list[Host] = []
        self.gateways: dict[str, Gateway] = {}
        self.closing: list[Callable[[], None]] = []

    async def start_hosts(self, groups: dict[int, int]) -> None:
        """Starts discovery and, by group, so many hosts."""
        for group, count in groups.items():
            self.hosts += [Host(f"s-{group}-{number}", group, self.record) for number in range(count)]
        for host in self.hosts:
            await host.start()
        self.discovery.entries = [host.entry() for host in self.hosts]
        await self.discovery.start()

    def add_gateways(self, count: int, extra: Callable[[dict[str, str]], dict[str, Any]]) -> None:
        """Makes gateways g1, g2, ... of one cluster; `extra` gets the voters' addresses."""
        names = [f"g{number + 1}" for number in range(count)]
        members = {name: f"127.0.0.1:{free_port()}" for name in names}
        voters = {name: f"127.0.0.1:{free_port()}" for name in names}
        for number, name in enumerate(names):
            state = self.folder / f"state-{name}"
            state.mkdir()
            config = {
                "name": name, "listen": f"127.0.0.1:{free_port()}", "discovery": self.discovery.address,
                "operator": f"127.0.0.1:{free_port()}", "seed": f"{number:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": self.discovery.full(), "settings": settings(count, number), "state_dir": str(state),
                "cluster": {"name": "blue", "bind": members[name],
                            "seeds": [a for n, a in members.items() if n != name]},
            }  # fmt: skip
            self.gateways[name] = Gateway(name, self.folder, config | extra(voters), self.record)

    async def start_gateways(self) -> None:
        for gateway in self.gateways.values():
            await gateway.launch()
        for gateway in self.gateways.values():
            await gateway.ready()

    async def close(self) -> None:
        """Ends all that was started."""
        for gateway in self.gateways.values():
            if gateway.process is not None and gateway.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                await gateway.process.wait()
        for host in self.hosts:
            host.close()
        self.discovery.close()
        for close in self.closing:
            close()


async def until(
    condition: Callable[[], Awaitable[Any]], within_s: float, what: str = "", every_s: float = 0.1
) -> Any:
    """Waits for a true result and returns it; after `within_s` a false one, or CouldNotRunError."""
    end_s = time.monotonic() + within_s
    while True:
        result = await condition()
        if result or time.monotonic() >= end_s:
            break
        await asyncio.sleep(every_s)
    if not result and what:
        raise CouldNotRunError(f"within {within_s:g} s: {what}")
    return result


def main(folder: Path, play: Callable[[Site, Record], Awaitable[int]]) -> int:
    """Plays a case and returns the exit code: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review2-"))
    keep = os.environ.get("KEEP")

    async def run() -> int:
        site = Site(temporary, record)
        playing = asyncio.current_task()
        assert playing is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            async with asyncio.timeout(BUDGET_S):
                return await play(site, record)
        except (CouldNotRunError, TimeoutError) as error:
            record(f"could not run: {error or 'the time is over'}")
            return COULD_NOT_RUN
        finally:
            await site.close()

    try:
        code = asyncio.run(run())
    finally:
        if keep:
            print(f"kept: {temporary}", file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record(f"exit {code} (TROUBLE={int(TROUBLE)})")
    print(f"{folder.name}: exit {code}")
    return code
