"""Entry point of the gateway process: start-up, signals, graceful shutdown."""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from cloverkeel.fleet.duties.part import DutiesPart
    from cloverkeel.fleet.start import FleetParts
    from cloverkeel.fleet.state import StateWriter
    from cloverkeel.gateway import Gateway


def _exit_at_once(signum: int, frame: object) -> None:
    """Exit on a signal during start-up, when there is nothing to finish yet."""
    os._exit(0)


FINAL_WRITE_S = 0.3  # longest wait for the last snapshot to be written, if the drain ended in time


def schedule_snapshots(
    loop: asyncio.AbstractEventLoop, keeper: StateWriter, gateway: Gateway, interval_s: float
) -> None:
    """Offer a snapshot to the state store every `interval_s`; the store's own thread writes it."""

    def tick() -> None:
        if not gateway.closed:
            keeper.offer(gateway.snapshot())
            loop.call_later(interval_s, tick)

    loop.call_later(interval_s, tick)


def main() -> int:
    """Run a command if there are arguments, else the gateway; return the exit code."""
    if len(sys.argv) > 1:
        from cloverkeel.commands import run

        return run(sys.argv[1:])
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _exit_at_once)
    early_hups: list[int] = []  # SIGHUPs received during start-up
    signal.signal(signal.SIGHUP, lambda signum, frame: early_hups.append(signum))
    # Imported late, so that a signal during start-up finds its handler installed.
    from cloverkeel.config import inherited_listener, load
    from cloverkeel.errors import ConfigError

    try:
        config, inherited = load(), inherited_listener()
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2

    import asyncio
    import gc

    import uvloop

    from cloverkeel.fleet.snapshot import StoreCounters
    from cloverkeel.gateway import Gateway
    from cloverkeel.http1 import log
    from cloverkeel.memory import resident_bytes
    from cloverkeel.operator import Answer, OperatorServer
    from cloverkeel.front.server import Server
    from cloverkeel.recent_ids import open_recent_ids
    from cloverkeel.telemetry import CONTENT_TYPE

    async def serve() -> int:
        """Start all parts, serve until SIGTERM or SIGINT, then drain; return the exit code."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)  # a second signal has no effect
        keeper, warm, store_counters = None, None, StoreCounters()
        if config.state.directory:
            from cloverkeel.fleet import events, state

            events.setup_logging()
            settings = config.state
            keeper, warm = state.recover(
                settings.directory,
                settings.snapshot_s,
                settings.max_age_s,
                inherited is not None,
                store_counters,
            )
        recent_ids = open_recent_ids(inherited, config.state.directory)
        gateway = Gateway(config, warm, store_counters if keeper is not None else None, recent_ids)
        if config.transforms is not None:
            from cloverkeel.transforms.loader import load as load_transforms

            try:
                loaded = load_transforms(config.transforms)
                gateway.transforms = loaded if loaded.installed else None
            except ConfigError as error:
                print(f"cloverkeel: {error}", file=sys.stderr)
                return 2
        server = Server(config, gateway, inherited)
        fleet: FleetParts | None = None
        if config.cluster is not None:
            from cloverkeel.fleet.start import FleetParts

            fleet = FleetParts(config, config.cluster, gateway, keeper, inherited is not None)
            server.descriptor_holders.append(fleet.descriptors)
            if fleet.rollout is not None:
                server.reload_listeners.append(fleet.rollout.reconfigured)

        duties: DutiesPart | None = None
        if config.duties is not None:
            from cloverkeel.fleet.duties.part import DutiesPart

            duties = DutiesPart(config.duties, config.name, config.state.directory)
            server.reload_listeners.append(duties.reconfigured)
            if fleet is not None:
                fleet.attach_duties(duties)

        def metrics() -> Answer:
            counters: dict[str, int] = {}
            gauges: dict[str, int] = {}
            for part in (fleet, duties):
                if part is not None:
                    counters |= part.counters()
                    gauges |= part.gauges()
            return Answer(200, gateway.render_metrics(counters, gauges), (b"Content-Type", CONTENT_TYPE))

        get_handlers = {
            b"/api/ready": lambda: Answer(200 if server.is_ready else 503),
            b"/api/telemetry": metrics,
        }
        post_handlers, async_get_handlers = {}, {}
        if fleet is not None:
            get_handlers |= fleet.calls()
            post_handlers, async_get_handlers = fleet.posts(), fleet.asks()
        if duties is not None:
            get_handlers[b"/api/duties"] = duties.status
            post_handlers[b"/api/duties/release"] = duties.release
        operator = (
            OperatorServer(config.operator, get_handlers, post_handlers, async_get_handlers, gateway.memory)
            if config.operator
            else None
        )
        if operator is not None:
            server.descriptor_holders.append(lambda: len(operator.connections))
        address = config.operator or config.listen
        try:
            if operator is not None:
                await operator.start()
            if fleet is not None:
                address = fleet.cluster.bind_address
                await fleet.start()
            if duties is not None:
                duties.start(fleet.membership if fleet is not None else None)
            address = config.listen
            await server.start()
        except OSError as error:
            log(f"cannot listen on {address[0]}:{address[1]}: {error.strerror}")
            if fleet is not None:
                await fleet.leave()
            return 1
        loop.add_signal_handler(signal.SIGHUP, server.reload)
        if early_hups:
            server.reload()  # the file may have changed since it was read
        if keeper is not None:
            schedule_snapshots(loop, keeper, gateway, config.state.snapshot_s)
        gc.collect()
        gc.freeze()  # objects made at start-up live as long as the process
        gateway.memory.set_own_bytes(resident_bytes())
        await stop.wait()
        leaving = [loop.create_task(part.leave()) for part in (duties, fleet) if part is not None]
        if keeper is not None:
            keeper.offer(gateway.snapshot())  # for a new process that may be starting already
        end_s = loop.time() + server.drain_timeout_s
        try:
            async with asyncio.timeout_at(end_s):
                await server.drain()
            final_write_s = max(0.0, min(FINAL_WRITE_S, end_s - loop.time()))
        except TimeoutError:
            log(f"drain timed out; failed the pending requests on {await server.fail_pending()} connections")
            final_write_s = 0.0  # no time left; the snapshot offered at the signal has to do
        counts = gateway.pools.counts
        log(f"shutdown complete; connections to hosts: {counts}")
        if keeper is not None:
            keeper.close(gateway.snapshot(), final_write_s)
        gateway.close()
        await asyncio.gather(*leaving)
        if fleet is not None:
            fleet.close()
        if operator is not None:
            operator.close()
        return 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve())


if __name__ == "__main__":
    raise SystemExit(main())
