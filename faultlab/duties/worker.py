"""A process that holds duties as a gateway does, and acts on the lab's resource under each duty it holds.

Its one argument is a JSON object: `name`, `directory`, `duties` (name to `ttl_s`), `resource` (port), and for
the quorum backend `bind` and `others`. With `careless` it acts under the last token that it was given,
without checking that the lease is still valid, as a program does that does not guard its actions. SIGTERM: it
releases its duties and exits. SIGHUP: it gives up all duties but the first. SIGUSR1: it prints how many
transactions it has made.
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


def make_backend(config: dict[str, Any], holder: str) -> Backend:
    """The quorum backend if the configuration has `bind`, else the local one."""
    if "bind" in config:
        from cloverkeel.fleet.duties.quorum import QuorumBackend

        return QuorumBackend(holder, config["directory"], config["bind"], tuple(config["others"]))
    from cloverkeel.fleet.duties.local import LocalBackend

    return LocalBackend(config["directory"], holder)


async def run(config: dict[str, Any]) -> None:
    """Hold the configured duties and act under them until SIGTERM."""
    events.setup_logging()
    holder = f"{config['name']}/{time.monotonic_ns():x}{CARELESS_SUFFIX if config.get('careless') else ''}"
    backend = make_backend(config, holder)
    service = DutyService(holder, backend)
    duties = tuple(Duty(name, ttl_s) for name, ttl_s in config["duties"].items())
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: service.set_duties(duties[:1]))
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(backend.transactions, flush=True))
    print("ready", flush=True)
    held: dict[str, int] = {}
    with socket.create_connection(("127.0.0.1", config["resource"])) as resource:
        resource.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def act(duty: str, token: int) -> None:
            resource.sendall(f"{duty} {token} {holder} {time.monotonic():.6f}\n".encode())

        def changed(duty: str, token: int | None) -> None:
            if token is not None:
                held[duty] = token
                act(duty, token)
            elif not config.get("careless"):
                held.pop(duty, None)

        def tick() -> None:
            loop.call_later(ACTION_INTERVAL_S, tick)
            for duty in list(held):
                if config.get("careless"):
                    act(duty, held[duty])
                    continue
                try:
                    service.run_if_held(duty, lambda token, duty=duty: act(duty, token))  # type: ignore[misc]
                except NotHeldError:
                    held.pop(duty, None)

        for duty in duties:
            service.add_listener(duty.name, lambda token, name=duty.name: changed(name, token))  # type: ignore[misc]
        service.set_duties(duties)
        tick()
        await stop.wait()
        held.clear()
        await service.close()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
