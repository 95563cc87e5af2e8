"""A process that runs membership only, so that one machine can run many members.

    python -m faultlab.member --name NAME --cluster JSON [--zone ZONE] [--incarnation N | --state-dir DIR]

`--cluster` is the `cluster` object of a configuration. Standard output has one JSON object on each line, with
`t`, the monotonic time in seconds, which all processes of a machine share:

    {"event": "started", "address": ..., "incarnation": ...}
    {"event": "change", "member": ..., "status": ..., "incarnation": ..., "before": status or null}
    {"event": "state", "state": ...}          once it has joined, is alone, or its name is taken

and the responses to the commands on standard input, one on each line:

    counters    the counters, with the state, the CPU seconds used and the health score of the protocol core
    leave       the member leaves the cluster and the process exits

The process exits at the end of standard input, so that it does not outlive the lab that started it.
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
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.membership.updates import MemberUpdate


def emit(event: str, **fields: object) -> None:
    """Write one report to standard output."""
    print(json.dumps({"event": event, "t": time.monotonic()} | fields), flush=True)


async def choose_incarnation(directory: str | None, given: int | None) -> int:
    """The incarnation given, else as a gateway chooses it: from the store's counter or the wall clock."""
    if given is not None:
        return given
    from cloverkeel.fleet import state  # imported late: a member without a store does not load SQLite
    from cloverkeel.fleet.start import next_incarnation

    keeper = None
    if directory is not None:
        keeper, _ = state.recover(directory, 3600.0, 3600.0, False, state.StoreCounters())
    number = await next_incarnation(keeper, False)
    if keeper is not None:
        keeper.close(None, 1.0)
    return number


def emit_change(update: MemberUpdate, before: MemberUpdate | None) -> None:
    """Report that what this member knows of another has changed."""
    emit("change", member=update.name, status=update.status.value, incarnation=update.incarnation,
        before=before.status.value if before is not None else None)  # fmt: skip


def member_counters(membership: Membership) -> dict[str, Any]:
    """The counters of membership, with the state, the CPU time used and the health score."""
    member = membership.member
    health = member.roster.health.score if member is not None else 0
    own = {"state": membership.state, "cpu_s": time.process_time(), "health": health}
    return membership.counters() | own


async def run(settings: ClusterSettings, name: str, zone: str, number: int) -> None:
    """Be a member with incarnation `number` until the command `leave` or the end of standard input."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    membership = Membership(settings, name, zone, number)
    membership.on_change(emit_change)
    await membership.start()
    emit("started", address=membership.address, incarnation=number)

    async def emit_state() -> None:
        await membership.joined.wait()
        emit("state", state=membership.state)

    emitting = loop.create_task(emit_state())
    while line := (await reader.readline()).decode().strip():
        if line == "leave":
            await membership.leave()
            break
        if line == "counters":
            emit(line, answer=member_counters(membership))
    emitting.cancel()
    membership.close()


def main(argv: list[str]) -> int:
    """Parse the command line and run the member; returns the exit code."""
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
