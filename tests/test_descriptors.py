"""With more idle clients than descriptors, hosts, discovery and other clients still get connections."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from faultlab.ports import free_port
from tests.sockets import (
    Peer,
    answers,
    configuration,
    endpoint,
    list_reply,
    on_loop,
    peer,
    reply,
    request,
    running,
    until,
)
from tests.test_closing import raw_client
from tests.test_gateway_process import READY, ROOT, ask

LIMIT = 200  # RLIMIT_NOFILE of the process


@contextmanager
def idle_clients(port: int, count: int) -> Iterator[None]:
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    yield
    for client in clients:
        client.close()


@pytest.mark.parametrize("configured", [LIMIT, 1024])
@on_loop
async def test_idle_clients_do_not_exhaust_descriptors(tmp_path: Path, configured: int) -> None:
    """With the real limit configured, or a higher one: `accept` then fails, which the listener survives."""
    discovery = f"127.0.0.1:{free_port()}"
    async with peer() as host, peer(answers(reply(200, b"new"))) as new_host:
        config = configuration(host, discovery=discovery) | {"listen": f"127.0.0.1:{free_port()}"}
        config["settings"]["membershipMode"] = "on_request"
        config["limits"]["sockets"] = configured
        file = tmp_path / "config.json"
        file.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverkeel", cwd=ROOT, env=os.environ | {"LB_CONFIG": str(file)},
            stderr=asyncio.subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, LIMIT)),
        )  # fmt: skip
        port = int(config["listen"].partition(":")[2])
        await until(lambda: process.returncode is not None or _accepts_connections(port))
        with idle_clients(port, 2 * LIMIT):
            if configured == LIMIT:
                assert len(os.listdir(f"/proc/{process.pid}/fd")) <= LIMIT - 32
                for _ in range(3):
                    assert await ask(port, READY) == 200
                    assert await ask(port, request("transfer")) == 200
                service = Peer(answers(list_reply(8, endpoint("s-9", new_host.address))))
                host_, _, port_ = discovery.partition(":")
                service.server = await asyncio.start_server(service.serve, host_, int(port_))
                while not new_host.seen:
                    assert await ask(port, request("transfer")) == 200
                service.close()
        while await ask(port, request("transfer")) != 200:
            assert process.returncode is None
        process.terminate()
        assert await process.wait() == 0


def _accepts_connections(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


@on_loop
async def test_a_new_client_is_closed_unread_when_all_others_are_busy() -> None:
    async with running(configuration("127.0.0.1:1")) as run:
        with raw_client(run.port) as busy:
            data, loop = request("transfer"), asyncio.get_running_loop()
            busy.send(data[:-2])
            await until(lambda: any(c.incoming for c in run.server.connections))
            object.__setattr__(run.server.config, "sockets", 30)
            with raw_client(run.port) as late:
                late.send(request("transfer"))
                with pytest.raises(ConnectionResetError):  # its request was not read
                    await loop.sock_recv(late, 1)
            busy.send(data[-2:])
            answer = await loop.sock_recv(busy, 65536)
            assert b" 50" in answer[:12] and b"Connection: close" in answer
