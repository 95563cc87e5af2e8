"""The membership experiments: kills, load at rest, partitions, and a soak under loss and stops.

They run `faultlab.member` processes behind the lab's relay. The figures are the time until all members know
of a kill, the datagrams sent at rest, the time until all agree after a partition heals, and the false deaths
of the soak. Times are in seconds, from just before the fault until the report of the last member, by the
monotonic clock that all processes of a machine share.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import random
import signal
import statistics
import time
from collections.abc import Sequence
from typing import Any

import uvloop

from faultlab.member_fleet import DeathReport, MemberFleet, MemberProcess
from faultlab.relay import Rule
from faultlab.report import Subcommands, positive_int, report

Figures = dict[str, Any]
QUIET_PERIOD_S = 10.0  # duration of the measurement of the load at rest: two push-pull periods
LOSS_RATE = 0.05  # share of the datagrams that the relay drops in the soak
STOP_S = 0.2  # a member of the soak is stopped (SIGSTOP) for this time
STOP_GAP_S = (0.1, 0.6)  # between two stops, drawn evenly


def summary(values: Sequence[float]) -> Figures:
    """Median, 99th percentile (nearest rank), maximum and number of values."""
    ordered = sorted(values)
    rank = max(0, math.ceil(0.99 * len(ordered)) - 1)
    return {
        "median": statistics.median(ordered),
        "p99": ordered[rank],
        "max": ordered[-1],
        "of": len(ordered),
    }


async def measure_kills(size: int, number: int, seed: int) -> Figures:
    """Kill `number` members one after another and restart each; measure the load at rest before the first."""
    rng = random.Random(seed)
    known_s, agreed_s = [], []
    false_deaths: list[DeathReport] = []
    async with MemberFleet(size, seed) as fleet:
        await asyncio.sleep(QUIET_PERIOD_S / 2)  # until the updates of the start have been sent
        before = sum(fleet.relay.sent_by_member.values())
        began_s = time.monotonic()
        await asyncio.sleep(QUIET_PERIOD_S)
        load = (sum(fleet.relay.sent_by_member.values()) - before) / (time.monotonic() - began_s) / size
        for _ in range(number):
            await asyncio.sleep(rng.uniform(0.3, 0.8))
            victim = rng.choice(fleet.running())
            killed_s = victim.signal(signal.SIGKILL)
            await victim.wait_ended()
            await fleet.wait_until(lambda v=victim: fleet.all_report(v.name, "dead"), 30.0)  # type: ignore[misc]
            known_s.append(max(m.view[victim.name].reported_s for m in fleet.running()) - killed_s)
            started_s = time.monotonic()
            await victim.start(fleet.settings)
            agreed_s.append(await fleet.wait_agreed(30.0) - started_s)
            false_deaths += [death for death in fleet.deaths if death.member != victim.name]
            fleet.deaths.clear()
        stalls = await fleet.counters(fleet.running())
    return {
        "known_s": summary(known_s), "started_again_s": summary(agreed_s), "datagrams_a_member_s": load,
        "false_deaths": len(false_deaths), "falsely_dead": len({death.member for death in false_deaths}),
        "lab_late_s": fleet.max_lag_s, "stalls": sum(c["stalls"] for c in stalls.values()),
    }  # fmt: skip


async def measure_heals(size: int, rounds: int, seed: int) -> Figures:
    """Partition the members into two halves for longer than the suspicion time, then heal, `rounds` times."""
    rng = random.Random(seed)
    split_s, healed_s = [], []
    async with MemberFleet(size, seed) as fleet:
        names = list(fleet.members)
        for _ in range(rounds):
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            rng.shuffle(names)
            west, east = names[: size // 2], names[size // 2 :]
            fleet.relay.cut(west, east)
            cut_s = time.monotonic()
            sides = [([fleet.members[n] for n in own], other) for own, other in ((west, east), (east, west))]
            split_s.append(await fleet.wait_until(lambda s=sides: is_partitioned(fleet, s), 120.0) - cut_s)  # type: ignore[misc]
            fleet.relay.heal()
            began_s = time.monotonic()
            healed_s.append(await fleet.wait_agreed(60.0) - began_s)
    return {"all_dead_s": summary(split_s), "agreed_s": summary(healed_s)}


def is_partitioned(fleet: MemberFleet, sides: list[tuple[list[MemberProcess], list[str]]]) -> bool:
    """Whether all members of each side report all of the other side dead."""
    return all(fleet.all_report(name, "dead", by) for by, others in sides for name in others)


async def run_soak(size: int, hours: float, seed: int) -> Figures:
    """Run for `hours` member-hours with loss on every path and one member at a time stopped for STOP_S.

    No member exits, so that every death reported is false.
    """
    rng = random.Random(seed)
    stops = 0
    async with MemberFleet(size, seed) as fleet:
        stalls = sum(c["stalls"] for c in (await fleet.counters(fleet.running())).values())
        fleet.relay.set_rule(Rule(drop=LOSS_RATE))
        began_s = time.monotonic()
        ends_s = began_s + hours * 3600.0 / size
        while time.monotonic() < ends_s:
            member = rng.choice(fleet.running())
            member.signal(signal.SIGSTOP)
            await asyncio.sleep(STOP_S)
            member.signal(signal.SIGCONT)
            stops += 1
            await asyncio.sleep(rng.uniform(*STOP_GAP_S))
        ran_s = time.monotonic() - began_s
        deaths = sorted(fleet.deaths)
        counters = await fleet.counters(fleet.running())
        sent = sum(fleet.relay.sent_by_member.values())
    return {
        "member_hours": size * ran_s / 3600.0, "members": size, "loss": LOSS_RATE, "stops": stops,
        "stop_s": STOP_S,
        "false_deaths": len(deaths), "deaths_of": len({death.member for death in deaths}),
        "first_deaths": [
            f"{d.member} by {d.reporter} after {d.reported_s - began_s:.1f} s" for d in deaths[:5]
        ],
        "suspicions": sum(c["suspicions"] for c in counters.values()),
        "refutations": sum(c["refutations"] for c in counters.values()),
        "datagrams_a_member_s": sent / size / ran_s,
        "cpu_share_a_member": sum(c["cpu_s"] for c in counters.values()) / size / ran_s,
        "still_running": len(counters), "lab_late_s": fleet.max_lag_s,
        "stalls_beside_stops": sum(c["stalls"] for c in counters.values()) - stalls - stops,
    }  # fmt: skip


async def run(
    sizes: Sequence[int], killed: int, members: int, rounds: int, soak_hours: float, seed: int
) -> Figures:
    """Run the experiments one after another; a count of 0 leaves an experiment out."""
    figures: Figures = {}
    if killed:
        for size in sizes:
            figures |= {
                f"kill_{size}.{name}": value
                for name, value in (await measure_kills(size, killed, seed)).items()
            }
        loads = [figures[f"kill_{size}.datagrams_a_member_s"] for size in sizes]
        figures["load_spread"] = max(loads) / min(loads) - 1.0
    if rounds:
        figures |= {
            f"heal_{members}.{name}": value
            for name, value in (await measure_heals(members, rounds, seed)).items()
        }
    if soak_hours:
        figures["soak"] = await run_soak(members, soak_hours, seed)
    return figures


def size_list(text: str) -> list[int]:
    """Parse an argument that lists sizes of fleets, as in `5,20,50`. Raises ArgumentTypeError."""
    sizes = text.split(",")
    if any(not size.isdecimal() or int(size) < 2 for size in sizes):
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a list of whole numbers of at least 2, as in 5,20,50"
        )
    return [int(size) for size in sizes]


def non_negative_int(text: str) -> int:
    """Parse an argument that is a whole number of at least 0. Raises ArgumentTypeError."""
    return 0 if text == "0" else positive_int(text)


def parse_hours(text: str) -> float:
    """Parse an argument that is a number of hours. Raises ArgumentTypeError."""
    try:
        if 0.0 <= float(text) < math.inf:
            return float(text)
    except ValueError:
        pass
    raise argparse.ArgumentTypeError(f"{text!r} is not a number of hours of at least 0")


def register(subcommands: Subcommands) -> None:
    """Add the subcommand `membership` and its arguments."""
    parser = subcommands.add_parser(
        "membership", help="kills, load at rest, partitions, a soak under loss and stops"
    )
    parser.add_argument(
        "--sizes",
        type=size_list,
        default=[5, 20, 50],
        help="of the fleets whose members are killed (default 5,20,50)",
    )
    parser.add_argument(
        "--kills", type=non_negative_int, default=20, help="kills at each size (default 20; 0: none)"
    )
    parser.add_argument(
        "--members", type=positive_int, default=20, help="members in the partitions and the soak (default 20)"
    )
    parser.add_argument(
        "--rounds", type=non_negative_int, default=10, help="number of partitions (default 10; 0: none)"
    )
    parser.add_argument(
        "--soak-hours", type=parse_hours, default=0.2, help="member-hours of the soak (default 0.2; 0: none)"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="one JSON object instead of a table")
    parser.set_defaults(run=command)


def command(arguments: argparse.Namespace) -> int:
    """Run the experiments and print their figures."""
    given = (arguments.sizes, arguments.kills, arguments.members, arguments.rounds, arguments.soak_hours)
    report(uvloop.run(run(*given, arguments.seed)), arguments.json)
    return 0
