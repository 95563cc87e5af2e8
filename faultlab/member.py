"""A light agent: membership alone in a process of its own, many to a machine.

    python -m faultlab.member --name NAME --cluster JSON [--zone ZONE] [--incarnation N | --state-dir DIR]

`--cluster` is the configuration's `cluster` object. Standard output has a JSON object a line, each with `t`,
the monotonic time in seconds, which the processes of one machine share:

    {"event": "started", "address": ..., "incarnation": ...}
    {"event": "change", "member": ..., "status": ..., "incarnation": ..., "before": status or null}
    {"event": "state", "state": ...}          once it has joined, is alone, or its name is taken

and answers to the commands on standard input, one a line: `counters` (with the state, the CPU seconds used
and the core's health); `leave`: it leaves and ends. It ends with its standard input, so that none outlives
the lab that started it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

import uvloop

from cloverkeel.errors import ConfigError
from cloverkeel.fleet import events
from cloverkeel.fleet.cluster import ClusterSettings, parse_cluster
from cloverkeel.fleet.membership.updates import MemberUpdate
from cloverkeel.fleet.membership.service import Membership


def emit(event: str, **fields: object) -> None:
    print(json.dumps({"event": event, "t": time.monotonic()} | fields), flush=True)


async def choose_incarnation(directory: str | None, given: int | None) -> int:
    """The number given, else what a gateway would take: the store's counter, or the wall clock."""
    if given is not None:
        return given
    from cloverkeel.fleet import state  # a member without a store does not pay for SQLite
    from cloverkeel.fleet.start import next_incarnation

    keeper = None
    if directory is not None:
        keeper, _ = state.recover(directory, 3600.0, 3600.0, False, state.StoreCounters())
    number = await next_incarnation(keeper, False)
    if keeper is not None:
        keeper.close(None, 1.0)
    return number


def emit_change(rumour: MemberUpdate, before: MemberUpdate | None) -> None:
    emit("change", member=rumour.name, status=rumour.status.value, incarnation=rumour.incarnation,
        before=before.status.value if before is not None else None)  # fmt: skip


def member_counters(membership: Membership) -> dict[str, Any]:
    member = membership.member
    health = member.roster.health.score if member is not None else 0
    own = {"state": membership.state, "cpu_s": time.process_time(), "health": health}
    return membership.counters() | own


async def run(settings: ClusterSettings, name: str, zone: str, number: int) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    membership = Membership(settings, name, zone, number)
    membership.on_change(emit_change)
    await membership.start()
    emit("started", address=membership.address, incarnation=number)

    async def tell_state() -> None:
        await membership.joined.wait()
        emit("state", state=membership.state)

    telling = loop.create_task(tell_state())
    while line := (await reader.readline()).decode().strip():
        if line == "leave":
            await membership.leave()
            break
        if line == "counters":
            emit(line, answer=member_counters(membership))
    telling.cancel()
    membership.close()


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python -m faultlab.member")
    parser.add_argument("--name", required=True)
    parser.add_argument("--cluster", required=True, type=json.loads, help="the cluster object, as JSON")
    parser.add_argument("--zone", default="")
    parser.add_argument("--incarnation", type=int)
    parser.add_argument("--state-dir")
    arguments = parser.parse_args(argv)
    events.setup_logging()

    async def start() -> None:
        settings = parse_cluster(arguments.cluster, arguments.name)
        number = await choose_incarnation(arguments.state_dir, arguments.incarnation)
        await run(settings, arguments.name, arguments.zone, number)

    try:
        uvloop.run(start())
    except (ConfigError, OSError) as error:
        print(f"faultlab.member: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
