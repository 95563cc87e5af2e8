"""The state store under faults, with real processes: runs the fault lab's experiments and checks them."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path

from cloverkeel.fleet import state
from faultlab.recovery import damage, gateways, writers
from faultlab.gateway_process import GatewayProcess, configuration, wait_snapshot, send_traffic
from faultlab.ports import free_port
from faultlab.standins import Host, endpoint

SOUND = {"restored last", "restored in-flight"}


def test_kills_during_writes_leave_the_last_complete_snapshot(tmp_path: Path) -> None:
    figures = asyncio.run(writers.kill_writers(tmp_path, rounds=200, processes=4, seed=11))
    assert figures["kills"] == 200
    assert set(figures["kill_outcomes"]) <= SOUND | {"moved aside"}
    assert figures["kill_outcomes"].get("moved aside", 0) == 0 and figures["lost_commits"] == 0
    assert set(figures["power_copies"]) <= {"restored", "cold", "moved aside"}  # never "accepted wrong"


def test_every_damage_is_caught_or_harmless_and_the_gateway_serves(tmp_path: Path) -> None:
    figures = asyncio.run(damage.damaged_starts(tmp_path, rounds=4, seed=3))
    assert figures["damaged_not_ready"] == 0
    verdicts = figures["damaged_starts"]
    for kind in ("truncated in the header", "old schema", "not SQLite", "empty file"):
        assert verdicts[kind] == {"moved aside": 1}, kind
    assert verdicts["a directory in its place"] == {"ran without a store": 1}
    for kind, seen in verdicts.items():
        assert seen.get("restored wrong", 0) == 0 and "logged twice" not in seen, kind


def test_a_full_disk_fails_writes_without_losing_the_last(tmp_path: Path) -> None:
    figures = asyncio.run(writers.full_disk(tmp_path))
    assert figures["full_disk_failed_writes"] > 0 and figures["full_disk_exit"] == 0
    assert figures["full_disk_reopened"] == "restored" and figures["full_disk_kept_last"]


def test_a_gateway_stopped_and_continued_mid_write_keeps_a_sound_file_and_writes_on(tmp_path: Path) -> None:
    figures = asyncio.run(gateways.stop_while_writing(tmp_path, rounds=10, seed=5))
    assert figures == {"stops": 10, "stopped_file_sound": 10, "stopped_exit": 0, "stopped_write_failures": 0}


def test_a_directory_that_cannot_be_made_leaves_the_gateway_serving(tmp_path: Path) -> None:
    figures = asyncio.run(gateways.uncreatable_directory(tmp_path))
    assert figures == {"unmakeable_ready": True, "unmakeable_lines": 1}


def test_a_second_process_on_one_directory_runs_without_the_store(tmp_path: Path) -> None:
    figures = asyncio.run(gateways.two_gateways_one_directory(tmp_path))
    assert figures == {"two_ready": True, "two_second_locked_lines": 1, "two_file_after": "sound"}


async def learned(tmp_path: Path, hosts: list[Host], **extra: object) -> GatewayProcess:
    """A gateway that has sent to `hosts`, written a snapshot of that, and then been killed with SIGKILL."""
    config = configuration("g", free_port(), "127.0.0.1:9", [endpoint(h) for h in hosts])
    gateway = GatewayProcess("g", tmp_path, config | {"state_snapshot_s": 0.05} | extra, tmp_path / "state")
    await gateway.start()
    await send_traffic(gateway.port, 20, 200.0)
    await wait_snapshot(tmp_path / "state", time.time())
    await gateway.signal(signal.SIGKILL)
    return gateway


def test_state_of_a_changed_list_is_restored_only_for_hosts_that_stayed(tmp_path: Path) -> None:
    async def run() -> None:
        hosts = [Host(f"c{n}", status=503 if n == 0 else 200) for n in range(3)]
        for host in hosts:
            await host.start()
        gateway = await learned(tmp_path, hosts)
        listed = [endpoint(hosts[0]), endpoint(hosts[1], since_ms=5)]  # host 1 has restarted, host 2 is gone
        gateway.config["known"]["endpoints"] = listed
        await gateway.start()
        assert "restored 1 of 3 servers learned before" in await gateway.wait_line("servers learned before")
        await gateway.signal(signal.SIGTERM)
        assert len(gateway.event_lines("state.opened")) == 1

    asyncio.run(run())


def test_a_snapshot_older_than_the_bound_is_not_used(tmp_path: Path) -> None:
    async def run() -> None:
        hosts = [Host("o0")]
        await hosts[0].start()
        gateway = await learned(tmp_path, hosts, state_max_age_s=0.001)
        await gateway.start()
        assert "over the bound" in await gateway.wait_line("event=state.stale")
        await gateway.signal(signal.SIGTERM)
        assert "restored" not in " ".join(gateway.log).replace("event=state", "")

    asyncio.run(run())


def test_a_new_process_of_an_upgrade_starts_warm_and_writes_once_the_old_has_ended(tmp_path: Path) -> None:
    async def run() -> None:
        hosts = [Host(f"u{n}") for n in range(2)]
        for host in hosts:
            await host.start()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.set_inheritable(True)
            port = listening.getsockname()[1]
            config = configuration("u", port, "127.0.0.1:9", [endpoint(h) for h in hosts])
            config |= {"state_snapshot_s": 0.05}
            old = GatewayProcess("old", tmp_path, config, tmp_path / "state", listening.fileno())
            new = GatewayProcess("new", tmp_path, config, tmp_path / "state", listening.fileno())
            await old.start()
            await send_traffic(port, 20, 200.0)
            await wait_snapshot(tmp_path / "state", time.time())
            await new.start()
            assert 'writer="after the process before ends"' in await new.wait_line("event=state.opened")
            assert "restored 2 of 2" in await new.wait_line("servers learned before")
            await old.signal(signal.SIGTERM)
            await new.wait_line("event=state.taken_over")
            await new.wait_line("event=state.ready")
            await send_traffic(port, 10, 200.0)
            await new.signal(signal.SIGTERM)
        found = state.read_snapshots(str(tmp_path / "state"))
        assert found and len(found[0].learned.servers) == 2
        assert len(old.event_lines("state.write_failed")) == len(new.event_lines("state.write_failed")) == 0

    asyncio.run(run())
