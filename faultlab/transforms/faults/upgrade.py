"""A fault case of a program upgrade: the new process beside the old one, on the same listening socket."""

from __future__ import annotations

import asyncio
import signal
import socket

from faultlab.ports import free_port
from faultlab.transforms.faults.harness import QUIESCENCE_TIMEOUT_S, FaultHarness
from faultlab.transforms.faults.hosts import send_calls
from faultlab.gateway_fleet import TimedGatewayProcess

CALLS_PER_S = 50.0


async def upgrade(harness: FaultHarness) -> None:
    """Upgrade a gateway while a version is being activated: calls carry the mark of the active versions
    throughout, and the new process reaches the fleet's active versions. On a busy machine the old process may
    refuse a late call (503)."""
    fleet, name = harness.fleet, harness.fleet.names[-1]
    await harness.publish(fleet.names[0], harness.make_source())
    await harness.wait_quiescent()
    old = fleet.gateways[name]
    with socket.create_server(("127.0.0.1", free_port())) as listener:
        listener.set_inheritable(True)
        # Start the old process on an inherited socket, as the platform does.
        await old.signal(signal.SIGTERM)
        old.listener_fd = listener.fileno()
        old.config["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
        await fleet.start(name)
        await harness.wait_quiescent()
        # The new process is a member of its own until the old one has ended.
        member = await fleet.relay.add_member(f"{name}+{len(fleet.relay.members)}")
        cluster = old.config["cluster"] | {"bind": member.bind, "advertise": member.advertise}
        config = old.config | {"cluster": cluster, "operator": f"127.0.0.1:{free_port()}"}
        new = TimedGatewayProcess(name, fleet.folder, config, old.state_dir, old.listener_fd)
        harness.count_fault("upgraded")
        harness.head_checker.marks.clear()
        async with send_calls([old.port], CALLS_PER_S) as statuses:
            if await new.start() == float("inf"):
                raise RuntimeError(f"{name} did not start after the upgrade: {new.log[-5:]}")
            fleet.gateways[name] = new
            id = await harness.publish(fleet.names[1], harness.make_source())
            # Both processes accept connections now; each has to apply a version's mark.
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                while sum(harness.head_checker.marks.values()) < 100:
                    await asyncio.sleep(0.02)
            await old.signal(signal.SIGTERM)
            status = await harness.wait_quiescent()
        if (status["versions"]["mark"]["active"] or {}).get("id") != id:
            harness.violations.append(f"{id} is not active after the upgrade")
        if harness.head_checker.marks[b""]:
            harness.violations.append(
                f"{harness.head_checker.marks[b'']} of {sum(harness.head_checker.marks.values())} calls "
                "reached hosts without a mark"
            )
        if unexpected := {code: n for code, n in statuses.items() if code not in (200, 503)}:
            harness.violations.append(f"calls ended with {unexpected} beside {statuses[200]} answers of 200")
        # From here on the gateway listens on a socket of its own again.
        await new.signal(signal.SIGTERM)
        new.listener_fd = None
        new.config |= {"listen": f"127.0.0.1:{free_port()}", "cluster": old.config["cluster"]}
    await fleet.start(name)
    await harness.wait_quiescent()
