"""The lab counts a gateway as started only when that very process serves at its address.

Guards against two fleets that start at the same time and choose the same port: a port that was probed is free
again until its owner binds it. The second gateway exited at its bind (exit code 1, "cannot listen on"), and
the lab took the response of the first one at that port for the second's, so that the fleet waited 180 s for a
member that was not there. Four fleets that started at once had 15 tests fail.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from faultlab import ports
from faultlab.gateway_process import READY_REQUEST, ROOT, GatewayProcess, configuration, send_request
from faultlab.ports import free_port, free_ports, listens
from faultlab.standins import Host, endpoint
from faultlab.transforms.fleet import TransformsFleet


def with_foreign_gateway(folder: Path, steps: Callable[[GatewayProcess, Host], Awaitable[None]]) -> None:
    """Run `steps` with a gateway that already serves at its port, and a host that both may list."""

    async def run() -> None:
        host = Host("h0")
        await host.start()
        foreign = GatewayProcess(
            "foreign", folder, configuration("foreign", free_port(), "127.0.0.1:9", [endpoint(host)]), None
        )
        try:
            assert await foreign.start() < float("inf")
            await steps(foreign, host)
        finally:
            await foreign.signal(9)
            host.close()

    asyncio.run(run())


def test_another_gateway_that_answers_at_the_port_does_not_count_as_a_start(tmp_path: Path) -> None:
    async def steps(foreign: GatewayProcess, host: Host) -> None:
        config = configuration("late", foreign.port, "127.0.0.1:9", [endpoint(host)])
        late = GatewayProcess("late", tmp_path, config, None)
        assert await late.start() == float("inf")
        assert late.process is not None and await late.process.wait() == 1
        assert f"cannot listen on 127.0.0.1:{foreign.port}" in await late.wait_line("cannot listen")
        assert await send_request(foreign.port, READY_REQUEST) == 200

    with_foreign_gateway(tmp_path, steps)


def test_a_gateway_whose_operator_port_is_taken_logs_it_and_exits(tmp_path: Path) -> None:
    async def steps(foreign: GatewayProcess, host: Host) -> None:
        config = configuration("late", free_port(), "127.0.0.1:9", [endpoint(host)])
        late = GatewayProcess("late", tmp_path, config | {"operator": f"127.0.0.1:{foreign.port}"}, None)
        assert await late.start() == float("inf")
        assert late.process is not None and await late.process.wait() == 1
        assert len(late.log) == 1 and f"cannot listen on 127.0.0.1:{foreign.port}" in late.log[0]

    with_foreign_gateway(tmp_path, steps)


def test_an_old_process_on_the_inherited_socket_does_not_count_as_a_start_of_the_new_one(
    tmp_path: Path,
) -> None:
    """Both processes have the socket, and the old one answers on it before the new one serves."""

    async def steps(foreign: GatewayProcess, host: Host) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.set_inheritable(True)
            port = listener.getsockname()[1]
            config = configuration("old", port, "127.0.0.1:9", [endpoint(host)])
            old = GatewayProcess("old", tmp_path, config, None, listener.fileno())
            new = GatewayProcess("new", tmp_path, dict(config), None, listener.fileno())
            try:
                assert await old.start() < float("inf")
                new.config["operator"] = (
                    f"127.0.0.1:{foreign.port}"  # taken, so that the new process cannot start
                )
                assert await new.start() == float("inf")
            finally:
                await old.signal(9)
                await new.signal(9)

    with_foreign_gateway(tmp_path, steps)


def test_a_fleet_starts_a_gateway_at_another_port_if_its_port_is_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Forces the race of two fleets: at the first port that is chosen, a foreign gateway answers."""

    async def steps(foreign: GatewayProcess, host: Host) -> None:
        ports_given = itertools.chain([foreign.port], iter(free_port, None))
        monkeypatch.setattr("faultlab.gateway_fleet.free_port", lambda: next(ports_given))
        async with TransformsFleet(1, tmp_path, {}) as fleet:
            assert fleet.gateways["m0"].port != foreign.port

    with_foreign_gateway(tmp_path, steps)


def test_the_logs_of_a_fleet_that_does_not_start_are_printed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async def steps(foreign: GatewayProcess, host: Host) -> None:
        monkeypatch.setattr("faultlab.gateway_fleet.free_port", lambda: foreign.port)
        with pytest.raises(RuntimeError, match="m0 did not start"):
            await TransformsFleet(1, tmp_path, {}).__aenter__()

    with_foreign_gateway(tmp_path, steps)
    said = capsys.readouterr().err
    assert "exit code 1" in said and "cannot listen on" in said


def test_a_run_allocates_a_port_once_and_none_of_the_ephemeral_range() -> None:
    given = free_ports(500)
    lent = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    assert len(set(given)) == 500 and max(given) < lent
    with socket.create_server(("127.0.0.1", given[0])), socket.socket(type=socket.SOCK_DGRAM) as datagram:
        datagram.bind(("127.0.0.1", given[0]))


def test_runs_at_the_same_time_do_not_get_the_same_port(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against runs at the same time choosing the same port.

    Of five soaks at once, one found another run's gateway at its port, and one gateway exited at its bind.
    """
    code = (
        "import sys; from faultlab.ports import free_port; print(free_port(), flush=True); sys.stdin.read()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other:
        assert other.stdout is not None and other.stdin is not None
        port = int(other.stdout.readline())
        monkeypatch.setattr(ports, "TRIES_PER_PORT", 3)
        monkeypatch.setattr(ports._random, "randrange", lambda first, end: port)
        with pytest.raises(OSError, match="no port of"):
            free_port()
        other.stdin.close()
        other.wait(10.0)
        assert free_port() == port


@pytest.mark.parametrize("host", ["127.0.0.1", "127.64.0.9"])
def test_the_process_that_listens_is_distinguished_from_others(host: str) -> None:
    with socket.create_server((host, free_port(host))) as server:
        port = server.getsockname()[1]
        assert listens(os.getpid(), port, host)
        assert not listens(1, port, host)
    assert not listens(os.getpid(), port, host)
