"""A process that holds duties as a gateway does, and acts on the resource under each that it holds.

Its one argument is a JSON object: `name`, `directory`, `duties` (name to `ttl_s`), `resource` (port), and for
`quorum` `bind` and `others`. `careless`: it acts on what it last heard, without a look at the clock, as a
program that does not guard its actions would. SIGTERM: it lets go and ends. SIGHUP: it drops all but its
first duty. SIGUSR1: it prints how many transactions it has made.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from typing import Any

from cloverkeel.fleet import events
from cloverkeel.fleet.duties.interface import Duty
from cloverkeel.fleet.duties.shell import Backend, NotHeldError, DutyService

from faultlab.duties.resource import CARELESS_SUFFIX

ACTION_INTERVAL_S = 0.01


def make_backend(order: dict[str, Any], holder: str) -> Backend:
    if "bind" in order:
        from cloverkeel.fleet.duties.quorum import QuorumBackend

        return QuorumBackend(holder, order["directory"], order["bind"], tuple(order["others"]))
    from cloverkeel.fleet.duties.local import LocalBackend

    return LocalBackend(order["directory"], holder)


async def run(order: dict[str, Any]) -> None:
    events.setup_logging()
    holder = f"{order['name']}/{time.monotonic_ns():x}{CARELESS_SUFFIX if order.get('careless') else ''}"
    backend = make_backend(order, holder)
    service = DutyService(holder, backend)
    duties = tuple(Duty(name, ttl_s) for name, ttl_s in order["duties"].items())
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: service.set_duties(duties[:1]))
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(backend.transactions, flush=True))
    print("ready", flush=True)
    held: dict[str, int] = {}
    with socket.create_connection(("127.0.0.1", order["resource"])) as resource:
        resource.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def act(duty: str, token: int) -> None:
            resource.sendall(f"{duty} {token} {holder} {time.monotonic():.6f}\n".encode())

        def changed(duty: str, token: int | None) -> None:
            if token is not None:
                held[duty] = token
                act(duty, token)
            elif not order.get("careless"):
                held.pop(duty, None)

        def tick() -> None:
            loop.call_later(ACTION_INTERVAL_S, tick)
            for duty in list(held):
                if order.get("careless"):
                    act(duty, held[duty])
                    continue
                try:
                    service.run_if_held(duty, lambda token, duty=duty: act(duty, token))  # type: ignore[misc]
                except NotHeldError:
                    held.pop(duty, None)

        for each in duties:
            service.add_listener(each.name, lambda token, name=each.name: changed(name, token))  # type: ignore[misc]
        service.set_duties(duties)
        tick()
        await stop.wait()
        held.clear()
        await service.close()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
