"""Throughput and CPU per request of real gateways with and without a transform.

The variants run side by side and are loaded in short slices in a shuffled order, so that other load on the
machine affects them all alike.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import os
import random
import signal
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from cloverkeel.transforms.compiler import compile
from cloverkeel.transforms.protocol import Head
from cloverkeel.transforms.source import parse
from faultlab.gateway_fleet import InstantHost, stand_in_host
from faultlab.gateway_process import GatewayProcess, configuration
from faultlab.ports import free_port
from faultlab.standins import Discovery, endpoint

SOURCE = b"""
transform route-mark owner payments phase request applies class transfer
reads x-route writes x-route-mark, x-debug
def mark(route) = "r-" + lower(trim(route))
when has("x-route") { set x-route-mark = mark(header("x-route")) }
remove x-debug
"""
BUDGET_EXHAUSTING_SOURCE = (
    b'transform endless owner o phase request steps 10000 writes b def f0(s) = ""\n'
    + b"".join(b"def f%d(s) = f%d(s) + f%d(s)\n" % (n, n - 1, n - 1) for n in range(1, 20))
    + b'set b = f19("")'
)
HEADERS = [(b"X-Header-%d" % n, b"value-%d" % n) for n in range(8)] + [
    (b"Host", b"lab"), (b"X-Route", b"North"), (b"X-Debug", b"1"), (b"Cookie", b"a=b"),
]  # fmt: skip
HOST_COUNT = 8  # enough that no gateway limits its load on them
_request_numbers = itertools.count()


class LoadClient(asyncio.Protocol):
    """Sends one request after another on one connection until `stop`; counts answers of 200 and others."""

    def __init__(self, stop: asyncio.Future[None]) -> None:
        self.stop, self.ok_count, self.other_count = stop, 0, 0
        self.header_lines = b"".join(b"%s: %s\r\n" % pair for pair in HEADERS)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send_request()

    def send_request(self) -> None:
        """Send the next request."""
        head = b"POST /transfer HTTP/1.1\r\n%sX-Call-Id: l%d\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(head % (self.header_lines, next(_request_numbers)))

    def data_received(self, data: bytes) -> None:
        good = data.startswith(b"HTTP/1.1 200")
        self.ok_count, self.other_count = self.ok_count + good, self.other_count + (not good)
        if not self.stop.done():
            self.send_request()


def cpu_s(pid: int) -> float:
    """CPU seconds of a process so far, at the resolution of the kernel's clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_clients(port: int, connections: int, slice_s: float) -> tuple[int, int]:
    """Load a gateway for a slice; returns the counts of answers of 200 and others."""
    loop = asyncio.get_running_loop()
    stop: asyncio.Future[None] = loop.create_future()
    clients = [
        await loop.create_connection(lambda: LoadClient(stop), "127.0.0.1", port) for _ in range(connections)
    ]
    await asyncio.sleep(slice_s)
    stop.set_result(None)
    for transport, _ in clients:
        transport.close()
    return sum(client.ok_count for _, client in clients), sum(client.other_count for _, client in clients)


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Compare the variants; returns the ratios `one_to_none` (goal 0.85) and, with `--before`,
    `off_to_before` (goal 0.99), by throughput and by CPU."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(InstantHost, "127.0.0.1", 0) for _ in range(HOST_COUNT)]
    listed = [endpoint(stand_in_host(n, server)) for n, server in enumerate(servers)]
    discovery = Discovery(endpoints=listed)
    await discovery.start()
    file = folder / "route-mark.transform"
    file.write_bytes(SOURCE)
    variants: dict[str, tuple[dict[str, Any], Path | None]] = {
        "none": ({}, None), "one": ({"transforms": {"files": [str(file)]}}, None),
    }  # fmt: skip
    if arguments.before is not None:
        variants["before"] = {}, arguments.before
    slices: dict[str, list[dict[str, float]]] = {name: [] for name in variants}
    order = random.Random(arguments.seed)
    try:
        for _ in range(arguments.starts):
            gateways = {
                name: GatewayProcess(
                    name, folder, configuration(name, free_port(), discovery.address, listed) | more, None
                )
                for name, (more, _) in variants.items()
            }
            try:
                await measure_start(gateways, variants, slices, order, arguments)
            finally:
                for gateway in gateways.values():
                    await gateway.signal(signal.SIGTERM)
    finally:
        discovery.close()
        for server in servers:
            server.close()
    return summarize(slices) | {"run": measure_costs()}


async def measure_start(
    gateways: dict[str, GatewayProcess],
    variants: dict[str, tuple[dict[str, Any], Path | None]],
    slices: dict[str, list[dict[str, float]]],
    order: random.Random,
    arguments: argparse.Namespace,
) -> None:
    """Start a process of each variant and load them. Several starts are made in all, since one of two equal
    processes may be faster by chance."""
    for name in order.sample(list(variants), len(variants)):
        root = variants[name][1]
        if root is not None:
            gateways[name].root = root.resolve()
        if await gateways[name].start() == float("inf"):
            raise RuntimeError(f"{name} did not start: {gateways[name].log}")
    for _ in range(arguments.rounds):
        for name in order.sample(list(variants), len(variants)):
            slices[name].append(await measure_slice(gateways[name], arguments))


async def measure_slice(gateway: GatewayProcess, arguments: argparse.Namespace) -> dict[str, float]:
    """Load one gateway for a slice."""
    assert gateway.process is not None
    pid = gateway.process.pid
    cpu, started_s = cpu_s(pid), time.monotonic()
    good, other = await run_clients(gateway.port, arguments.connections, arguments.slice_ms / 1000)
    return {
        "good": good,
        "other": other,
        "all": good + other,
        "s": time.monotonic() - started_s,
        "cpu_s": cpu_s(pid) - cpu,
    }


def summarize(slices: dict[str, list[dict[str, float]]]) -> dict[str, Any]:
    """The variants' figures and their ratios. Throughput: the median of the ratios of adjacent slices; CPU:
    over all slices."""
    rates = {name: [s["good"] / s["s"] for s in variant_slices] for name, variant_slices in slices.items()}
    total = {
        name: {key: sum(s[key] for s in variant_slices) for key in variant_slices[0]}
        for name, variant_slices in slices.items()
    }
    result: dict[str, Any] = {
        name: {
            "per_s_median": statistics.median(rates[name]),
            "cpu_us_per_request": 1e6 * total[name]["cpu_s"] / max(1, total[name]["all"]),
            "answers": int(total[name]["good"]), "others": int(total[name]["other"]),
        }
        for name in slices
    }  # fmt: skip
    for over, under, ratio_name in (("one", "none", "one_to_none"), ("none", "before", "off_to_before")):
        if over in rates and under in rates:
            ratios = [a / b for a, b in zip(rates[over], rates[under], strict=True) if b]
            cpu = result[under]["cpu_us_per_request"] / max(1e-9, result[over]["cpu_us_per_request"])
            result[ratio_name] = {"throughput": statistics.median(ratios), "by_cpu": cpu}
    return result


def measure_costs() -> dict[str, float]:
    """CPU time of a compilation, a run on 12 headers, and a run that uses up the largest step budget."""
    head = Head(tuple(HEADERS), b"transfer")
    compiled = compile(parse(SOURCE))  # the first compilation also builds the parser
    endless = compile(parse(BUDGET_EXHAUSTING_SOURCE))
    return {
        "compile_ms": 1e3 * _cpu_per_call_s(lambda: compile(parse(SOURCE)), 20),
        "run_us": 1e6 * _cpu_per_call_s(lambda: compiled.run(head), 2_000),
        "longest_run_ms": 1e3 * _cpu_per_call_s(lambda: endless.run(head), 20),
    }


def _cpu_per_call_s(work: Callable[[], object], times: int) -> float:
    started_s = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started_s) / times
