"""Graceful shutdown: accepted requests are answered, and connections in the backlog are served."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from cloverkeel.front import server
from cloverkeel.front.connection import ClientConnection
from cloverkeel.http1 import Reply
from faultlab.ports import free_port
from tests.sockets import (
    answers,
    configuration,
    list_reply,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)
from tests.test_closing import LARGE, connected, raw_client, read_all, small_send_buffers
from tests.test_gateway_process import READY, ROOT, ask, connect, program


@on_loop
async def test_connections_in_the_backlog_are_served_before_the_listener_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel has established these connections and resets them if the listener closes."""
    monkeypatch.setattr(server, "ACCEPT_AFTER_TERM_S", 0.0)
    async with peer() as host, running(configuration(host)) as run:
        clients = [socket.create_connection(("127.0.0.1", run.port)) for _ in range(20)]
        for client in clients:
            client.sendall(request("transfer"))  # the event loop has not run since
            client.setblocking(False)
        draining = asyncio.create_task(run.server.drain())
        for client in clients:
            assert (await read_all(client)).startswith(b"HTTP/1.1 200 ")
            client.close()
        await draining
        with pytest.raises(ConnectionRefusedError):
            await run.connect()


@on_loop
async def test_a_request_that_comes_in_pieces_over_the_signal_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "ACCEPT_AFTER_TERM_S", 0.0)
    async with peer() as host, running(configuration(host)) as run:
        data = request("transfer", b"whole")
        with raw_client(run.port) as client:
            client.send(data[:1])
            connection = await connected(run)
            await until(lambda: connection.incoming)
            connection.opened_s -= 1.0
            draining = asyncio.create_task(run.server.drain())
            for at in range(1, len(data)):
                client.send(data[at : at + 1])
                await asyncio.sleep(0)
                assert not connection.write_shut
            got = await read_all(client)
            assert got.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in got
        await draining


@on_loop
async def test_a_request_pipelined_behind_the_current_one_is_answered_while_draining() -> None:
    """The request has reached the kernel while the response to the previous one is written."""
    async with peer(silent) as host, running(configuration(host)) as run:
        with raw_client(run.port) as client:
            client.send(request("transfer"))
            connection = await connected(run)
            await until(lambda: host.seen)
            run.server.draining = True
            host.script = answers(reply(200, b"second"))
            client.send(request("transfer"))
            assert connection.current is not None
            connection.on_served(connection.current, Reply(200, [], b"first", True))
            got = await read_all(client)
            assert got.index(b"first") < got.index(b"second") and got.count(b"Connection: close") == 1


@on_loop
async def test_after_the_drain_timeout_all_is_answered_in_order_and_slow_readers_get_all_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process exited 0.02 s later, and slow readers lost the rest of their responses."""
    small_send_buffers(monkeypatch, ClientConnection)
    monkeypatch.setattr(server, "FAIL_MARGIN_S", 20.0)
    async with peer(answers(reply(200, LARGE))) as host, running(configuration(host)) as run:
        with raw_client(run.port, receive_buffer=4096) as slow, raw_client(run.port) as held:
            await until(lambda: len(run.server.connections) == 2)
            slow.send(request("transfer"))
            await until(
                lambda: len(run.server.connections) == 2
                and any(c.has_responded for c in run.server.connections)
            )
            host.script = silent
            held.send(request("transfer") + request("transfer") + request("transfer")[:-2])
            await until(lambda: any(c.current and c.queue and c.incoming for c in run.server.connections))
            run.server.draining = True
            failing = asyncio.create_task(run.server.fail_pending())
            await until(lambda: len(run.server.lingering) == 2)
            slow.send(request("transfer"))  # clients keep sending
            got = await read_all(held)
            assert got.count(b"HTTP/1.1 504 ") == 2 and got.count(b"Connection: close") == 1
            held.close()
            assert not failing.done()
            assert (await read_all(slow)).endswith(LARGE)
            slow.close()
            assert await failing == 1
        assert len(host.seen) == 2 and not run.server.lingering
        with pytest.raises(ConnectionRefusedError):
            await run.connect()


@on_loop
async def test_shutdown_does_not_wait_for_clients_that_do_not_close(monkeypatch: pytest.MonkeyPatch) -> None:
    async with peer(silent) as host, running(configuration(host)) as run:
        monkeypatch.setattr(server, "FAIL_MARGIN_S", server.EXIT_MARGIN_S)
        with raw_client(run.port) as client:
            client.send(request("transfer"))
            connection = await connected(run)
            await until(lambda: host.seen)
            assert await run.server.fail_pending() == 1
            assert connection in run.server.lingering
            assert (await read_all(client)).startswith(b"HTTP/1.1 504 ")


TERM, HUP = signal.SIGTERM, signal.SIGHUP


@pytest.mark.parametrize("signals", [(TERM, TERM), (HUP, TERM), (TERM, HUP)])
@on_loop
async def test_signals_that_come_together_lose_nothing(
    tmp_path: Path, signals: tuple[signal.Signals]
) -> None:
    async with peer(silent) as host, program(tmp_path, configuration(host)) as (process, port):
        held, resting = await connect(port), await connect(port)
        assert (await resting.ask(READY)).status == 200
        held.send(request("transfer"))
        await until(lambda: host.seen)
        for number in signals:
            process.send_signal(number)
        assert await resting.reader.read() == b""
        resting.close()
        host.seen[0].answer(reply(200, b"held"))
        answer = await held.answer()
        assert (answer.body, answer.headers["connection"]) == (b"held", "close")
        held.close()
        assert await process.wait() == 0


HANGUP_DURING_THE_START = """
import json, os, signal, sys
from cloverkeel import __main__, config
load = config.load

def loaded(**named):
    parsed = load(**named)
    if not named:  # the first time
        file = os.environ["LB_CONFIG"]
        changed = json.load(open(file)) | {"discovery": os.environ["MOVED"]}
        json.dump(changed, open(file, "w"))
        os.kill(os.getpid(), signal.SIGHUP)
    return parsed

config.load = loaded
sys.exit(__main__.main())
"""


@on_loop
async def test_a_changed_file_and_a_signal_during_the_start_are_not_missed(tmp_path: Path) -> None:
    """SIGHUP was ignored until the start was complete, though the file had been read before."""
    async with peer() as host, peer() as moved:
        moved.script = answers(list_reply(8))
        file = tmp_path / "config.json"
        config = configuration(host) | {"listen": f"127.0.0.1:{free_port()}"}
        config["settings"]["membershipMode"] = "on_request"
        file.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", HANGUP_DURING_THE_START,
            cwd=ROOT, env={"LB_CONFIG": str(file), "MOVED": moved.address}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        await until(lambda: moved.seen)
        process.send_signal(TERM)
        await process.communicate()
        assert process.returncode == 0


SIGNALLED_WITH_THE_LISTENER_UP = """
import os, signal, sys
from cloverkeel import __main__, gateway
start = gateway.Gateway.start

def started(self):
    os.kill(os.getpid(), signal.SIGTERM)
    start(self)

gateway.Gateway.start = started
sys.exit(__main__.main())
"""


@on_loop
async def test_a_process_told_to_end_before_it_is_ready_is_not_taken_for_ready(tmp_path: Path) -> None:
    async with peer() as host:
        file, port = tmp_path / "config.json", free_port()
        file.write_text(json.dumps(configuration(host) | {"listen": f"127.0.0.1:{port}"}))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SIGNALLED_WITH_THE_LISTENER_UP, cwd=ROOT, env={"LB_CONFIG": str(file)},
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        ended, seen = asyncio.create_task(process.wait()), []
        while not ended.done():
            seen.append(await ask(port, READY))
            await asyncio.sleep(0.002)
        assert await ended == 0
        told = [status for status in seen if status]  # 0: no response
        # The loop may handle the signal and the first check in the same iteration.
        assert 503 in told and 200 not in told[1:]


@on_loop
async def test_a_dropped_class_s_deadline_is_not_waited_for() -> None:
    """Otherwise pending requests would be failed only after the platform has killed the process."""
    async with peer() as host, running(configuration(host)) as run:
        settings = run.server.config.settings
        first, *others = settings.classes
        classes = (replace(first, give_up_us=500_000), *(replace(c, dropped=True) for c in others))
        run.server.config = replace(run.server.config, settings=replace(settings, classes=classes))
        assert others and run.server.drain_timeout_s == pytest.approx(0.5 + 0.6)
