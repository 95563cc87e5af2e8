"""The program replaced in the middle: the new process beside the old one, on the same listening socket."""

from __future__ import annotations

import asyncio
import signal
import socket

from faultlab.ports import free_port
from faultlab.transforms.faults.harness import QUIESCENCE_TIMEOUT_S, FaultHarness
from faultlab.transforms.faults.hosts import send_calls
from faultlab.gateway_fleet import TimedGatewayProcess

CALLS_PER_S = 50.0  # calls a second


async def upgrade(field: FaultHarness) -> None:
    """A gateway is upgraded while a version is on its way: clients have the active set's mark throughout, and
    the new process ends on the fleet's set. On a busy machine the old one may refuse a late call (503)."""
    fleet, name = field.fleet, field.fleet.names[-1]
    await field.publish(fleet.names[0], field.make_source())
    await field.wait_quiescent()
    old = fleet.gateways[name]
    with socket.create_server(("127.0.0.1", free_port())) as listener:
        listener.set_inheritable(True)
        # The old process on the inherited socket, as the platform starts it.
        await old.signal(signal.SIGTERM)
        old.listener_fd = listener.fileno()
        old.config["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
        await fleet.start(name)
        await field.wait_quiescent()
        # The old process has its own place until it ends.
        place = await fleet.relay.add_member(f"{name}+{len(fleet.relay.members)}")
        cluster = old.config["cluster"] | {"bind": place.bind, "advertise": place.advertise}
        config = old.config | {"cluster": cluster, "operator": f"127.0.0.1:{free_port()}"}
        new = TimedGatewayProcess(name, fleet.folder, config, old.state_dir, old.listener_fd)
        field.count_fault("upgraded")
        field.head_checker.marks.clear()
        async with send_calls([old.port], CALLS_PER_S) as statuses:
            if await new.start() == float("inf"):
                raise RuntimeError(f"{name} did not start anew: {new.log[-5:]}")
            fleet.gateways[name] = new
            id = await field.publish(fleet.names[1], field.make_source())
            # Both processes take connections now: what each answers carries a mark.
            async with asyncio.timeout(QUIESCENCE_TIMEOUT_S):
                while sum(field.head_checker.marks.values()) < 100:
                    await asyncio.sleep(0.02)
            await old.signal(signal.SIGTERM)
            status = await field.wait_quiescent()
        if (status["versions"]["mark"]["active"] or {}).get("id") != id:
            field.violations.append(f"{id} is not active after the upgrade")
        if field.head_checker.marks[b""]:
            field.violations.append(
                f"{field.head_checker.marks[b'']} of {sum(field.head_checker.marks.values())} calls "
                "came to hosts without the active version"
            )
        if unlike := {code: n for code, n in statuses.items() if code not in (200, 503)}:
            field.violations.append(f"calls ended as {unlike} beside {statuses[200]} of 200")
        # From here on the socket is its own again.
        await new.signal(signal.SIGTERM)
        new.listener_fd = None
        new.config |= {"listen": f"127.0.0.1:{free_port()}", "cluster": old.config["cluster"]}
    await fleet.start(name)
    await field.wait_quiescent()
