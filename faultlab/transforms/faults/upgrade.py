"""The program replaced in the middle: the new process beside the old one, on the same listening socket."""

from __future__ import annotations

import asyncio
import signal
import socket

from faultlab.ports import free_port
from faultlab.transforms.faults.field import REST_S, Field
from faultlab.transforms.faults.hosts import calls
from faultlab.gateways import Timed

CALLS_S = 50.0  # calls a second


async def upgrade(field: Field) -> None:
    """A gateway is upgraded while a version is on its way: clients have the active set's mark throughout, and
    the new process ends on the fleet's set. On a busy machine the old one may refuse a late call (503)."""
    fleet, name = field.fleet, field.fleet.names[-1]
    await field.publish(fleet.names[0], field.source())
    await field.rest()
    old = fleet.gateways[name]
    with socket.create_server(("127.0.0.1", free_port())) as listener:
        listener.set_inheritable(True)
        # The old process on the inherited socket, as the platform starts it.
        await old.signal(signal.SIGTERM)
        old.listener = listener.fileno()
        old.config["listen"] = f"127.0.0.1:{listener.getsockname()[1]}"
        await fleet.start(name)
        await field.rest()
        # The old process has its own place until it ends.
        place = await fleet.relay.add(f"{name}+{len(fleet.relay.places)}")
        cluster = old.config["cluster"] | {"bind": place.bind, "advertise": place.advertise}
        config = old.config | {"cluster": cluster, "operator": f"127.0.0.1:{free_port()}"}
        new = Timed(name, fleet.folder, config, old.state_dir, old.listener)
        field.count("upgraded")
        field.heads.marks.clear()
        async with calls([old.port], CALLS_S) as statuses:
            if await new.start() == float("inf"):
                raise RuntimeError(f"{name} did not start anew: {new.log[-5:]}")
            fleet.gateways[name] = new
            id = await field.publish(fleet.names[1], field.source())
            # Both processes take connections now: what each answers carries a mark.
            async with asyncio.timeout(REST_S):
                while sum(field.heads.marks.values()) < 100:
                    await asyncio.sleep(0.02)
            await old.signal(signal.SIGTERM)
            status = await field.rest()
        if (status["versions"]["mark"]["active"] or {}).get("id") != id:
            field.broken.append(f"{id} is not active after the upgrade")
        if field.heads.marks[b""]:
            field.broken.append(f"{field.heads.marks[b'']} of {sum(field.heads.marks.values())} calls "
                                "came to hosts without the active version")  # fmt: skip
        if unlike := {code: n for code, n in statuses.items() if code not in (200, 503)}:
            field.broken.append(f"calls ended as {unlike} beside {statuses[200]} of 200")
        # From here on the socket is its own again.
        await new.signal(signal.SIGTERM)
        new.listener = None
        new.config |= {"listen": f"127.0.0.1:{free_port()}", "cluster": old.config["cluster"]}
    await fleet.start(name)
    await field.rest()
