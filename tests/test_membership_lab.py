"""Membership under faults, with real processes behind the lab's relay.

Most tests share one fleet. Each leaves it as it found it: all members alive and in agreement.
"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, closing
from pathlib import Path
from typing import Any

import pytest

from cloverkeel.fleet.membership.codec import Codec
from cloverkeel.fleet.membership.messages import Ping, Push
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from faultlab.member_fleet import CLUSTER_NAME, MemberFleet, MemberProcess
from faultlab.relay import RelayMember, Rule

Case = Callable[[Callable[[MemberFleet], Awaitable[None]]], None]
SETTINGS = {"push_pull_s": 2.0}


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as new_runner:
        yield new_runner


@pytest.fixture(scope="module")
def fleet(runner: asyncio.Runner) -> Iterator[MemberFleet]:
    new_fleet = runner.run(MemberFleet(7, seed=5, settings=SETTINGS).__aenter__())
    yield new_fleet
    runner.run(new_fleet.close())


@pytest.fixture
def case(runner: asyncio.Runner, fleet: MemberFleet) -> Case:
    """Runs the steps of a test on the shared fleet, then waits until its members agree again."""

    def run(steps: Callable[[MemberFleet], Awaitable[None]]) -> None:
        async def both() -> None:
            fleet.deaths.clear()
            await steps(fleet)
            await fleet.wait_agreed()

        runner.run(both())

    return run


@asynccontextmanager
async def process(
    fleet: MemberFleet, place: RelayMember, name: str, settings: dict[str, Any], *words: str
) -> AsyncIterator[MemberProcess]:
    """A further process behind the fleet's relay that is not part of the fleet."""
    member = MemberProcess(name, place, fleet.changed, [])
    try:
        await member.start(fleet.settings | settings, *words)
        yield member
    finally:
        member.signal(signal.SIGKILL)
        await member.wait_ended()


def test_a_killed_member_is_dead_to_all_others_and_comes_back_with_a_higher_incarnation(case: Case) -> None:
    async def steps(fleet: MemberFleet) -> None:
        victim = fleet.members["m2"]
        before = fleet.members["m0"].view["m2"].incarnation
        victim.signal(signal.SIGKILL)
        await victim.wait_ended()
        await fleet.wait_until(lambda: fleet.all_report("m2", "dead"))
        await victim.start(fleet.settings)
        await fleet.wait_agreed()
        assert {death.member for death in fleet.deaths} == {"m2"}
        assert all(m.view["m2"].incarnation > before for m in fleet.running() if m is not victim)

    case(steps)


def test_a_stop_shorter_than_the_suspicion_time_is_suspected_refuted_and_no_death(case: Case) -> None:
    async def steps(fleet: MemberFleet) -> None:
        stopped, others = fleet.members["m3"], [m for m in fleet.running() if m.name != "m3"]
        before = others[0].view["m3"].incarnation
        stopped.signal(signal.SIGSTOP)
        await fleet.wait_until(lambda: any(m.view["m3"].status == "suspect" for m in others))
        stopped.signal(signal.SIGCONT)
        await fleet.wait_until(lambda: all(
            m.view["m3"].status == "alive" and m.view["m3"].incarnation > before for m in others
        ))  # fmt: skip
        assert not fleet.deaths

    case(steps)


def test_loss_on_all_paths_and_stops_of_a_fifth_of_a_second_cause_no_death(case: Case) -> None:
    async def steps(fleet: MemberFleet) -> None:
        fleet.relay.set_rule(Rule(drop=0.05, duplicate=0.05, reorder=0.05, delay_s=(0.0, 0.005)))
        rng = random.Random(3)
        for _ in range(10):
            member = rng.choice(fleet.running())
            member.signal(signal.SIGSTOP)
            await asyncio.sleep(0.2)  # how long the member is stopped
            member.signal(signal.SIGCONT)
            await fleet.counters([member])
        fleet.relay.set_rule(Rule())
        assert not fleet.deaths and fleet.relay.counts["lost"] > 0

    case(steps)


def test_partitioned_sides_report_each_other_dead_and_agree_after_the_heal_also_with_a_new_member(
    case: Case,
) -> None:
    async def steps(fleet: MemberFleet) -> None:
        names = list(fleet.members)
        west, east = names[:3], names[3:]  # the seeds are in the west
        fleet.relay.cut(west, east)
        sides = [([fleet.members[n] for n in west], east), ([fleet.members[n] for n in east], west)]
        await fleet.wait_until(
            lambda: all(fleet.all_report(n, "dead", by) for by, others in sides for n in others), 20.0
        )
        joiner = await fleet.add_member("joiner")
        fleet.relay.cut(["joiner"], east)
        await joiner.start(fleet.settings)
        await fleet.wait_until(lambda: fleet.all_report("joiner", "alive", sides[0][0]))
        assert all("joiner" not in m.view for m in sides[1][0]) and not set(east) & {
            name for name, held in joiner.view.items() if held.status == "alive"
        }
        fleet.relay.heal()
        fleet.deaths.clear()
        await fleet.wait_agreed(4 * SETTINGS["push_pull_s"])
        reporters = {
            death.reporter for death in fleet.deaths
        }  # the joiner may report deaths from before the heal late
        assert reporters <= {"joiner"}  # no other member accepts a death from the other side
        joiner.send_command("leave")
        await joiner.wait_ended()
        await fleet.wait_until(lambda: fleet.all_report("joiner", "left"))
        del fleet.members["joiner"]

    case(steps)


def test_a_member_that_starts_from_an_old_state_file_outranks_its_later_incarnation(
    case: Case, tmp_path: Path
) -> None:
    async def steps(fleet: MemberFleet) -> None:
        member = fleet.members["m4"]
        member.signal(signal.SIGKILL)
        await member.wait_ended()
        await member.start(fleet.settings, "--incarnation", str(2**50))  # a process newer than the state file
        await fleet.wait_agreed()
        member.signal(signal.SIGKILL)
        await member.wait_ended()
        await fleet.wait_until(lambda: fleet.all_report("m4", "dead"))
        await member.start(fleet.settings, "--state-dir", str(tmp_path / "old"))
        await fleet.wait_until(lambda: bool(member.reports_of("started")))
        # The first number of the new store, or the clock in milliseconds if opening the store took over a
        # second: both are lower than 2**50.
        assert member.reports_of("started")[0]["incarnation"] < 2**50
        await fleet.wait_agreed()
        assert fleet.members["m0"].view["m4"].incarnation > 2**50

    case(steps)


def test_a_second_process_of_a_name_runs_without_membership_and_the_first_is_not_affected(case: Case) -> None:
    async def steps(fleet: MemberFleet) -> None:
        others = [m for m in fleet.running() if m.name != "m1"]
        place = await fleet.relay.add_member("twin")
        async with process(fleet, place, "m1", {}, "--incarnation", str(2**60)) as twin:
            await fleet.wait_until(lambda: bool(twin.reports_of("state")))
            assert twin.reports_of("state")[0]["state"] == "name_taken" and not twin.view
            (line,) = twin.log_lines("members.name_taken")
            assert f"holder={fleet.members['m1'].place.advertise}" in line
            answer = (await fleet.counters([fleet.members["m1"]]))["m1"]
            assert answer["state"] == "member" and not [
                death for death in fleet.deaths if death.member == "m1"
            ]
        assert all(
            m.view["m1"].incarnation < 2**60 for m in others
        )  # nobody had to outrank the second process

    case(steps)


def test_a_member_whose_seeds_are_all_gone_is_alone_says_so_once_and_finds_the_first_that_comes(
    case: Case,
) -> None:
    async def steps(fleet: MemberFleet) -> None:
        places = [await fleet.relay.add_member(name) for name in ("loner", "late")]
        settings = {"name": "elsewhere", "seeds": [places[1].advertise], "join_wait_s": 0.2}
        async with process(fleet, places[0], "loner", settings) as loner:
            await fleet.wait_until(lambda: bool(loner.reports_of("state")))
            assert loner.reports_of("state")[0]["state"] == "alone"
            async with process(fleet, places[1], "late", settings) as late:
                await fleet.wait_until(lambda: "late" in loner.view and "loner" in late.view)
            assert len(loner.log_lines("members.alone")) == 1

    case(steps)


def garbage() -> Iterator[bytes]:
    """Datagrams that the protocol core must reject.

    Random bytes of every size, a real message cut at every length and with a byte added, and messages of
    another version and another cluster.
    """
    rng = random.Random(11)
    sender = MemberUpdate("stranger", "127.0.0.1:9", 1, Status.ALIVE)
    real = Codec(CLUSTER_NAME).encode(
        Push(sender, tuple(MemberUpdate(f"x{n}", "127.0.0.1:9", 1, Status.DEAD) for n in range(9)))
    )
    yield from (rng.randbytes(size) for size in (*range(1_500), 4_096, 9_000, 65_507))
    yield from (real[:size] for size in range(1, len(real)))
    yield real + b"\x00"
    yield bytes((real[0] + 1,)) + real[1:]
    yield Codec("foreign").encode(Ping(1, sender, "m0"))


def test_garbage_of_every_size_is_dropped_and_counted_and_the_member_lives(case: Case) -> None:
    async def steps(fleet: MemberFleet) -> None:
        member = fleet.members["m0"]

        async def dropped() -> int:
            counters = (await fleet.counters([member]))["m0"]
            return sum(value for name, value in counters.items() if "dropped" in name)

        sent = before = await dropped()
        logged = len(member.log_lines("members.dropped"))
        address = member.place.host, member.place.port
        async with asyncio.timeout(10.0):
            with closing(socket.socket(type=socket.SOCK_DGRAM)) as out:
                for number, data in enumerate(garbage()):
                    out.sendto(data, address)
                    sent += 1
                    if number % 25 == 24:  # so that the socket's buffer does not overflow
                        while await dropped() < sent:
                            pass
            while await dropped() < sent:
                pass
        assert sent - before > 1_700
        for data in (b"\xff" * 100, b"\x00\x00\x00\x04\xc1\xc1\xc1\xc1", random.Random(1).randbytes(5_000)):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            async with asyncio.timeout(5.0):
                while await reader.read(1_024):
                    pass
            writer.close()
        assert await dropped() == sent + 3
        assert 1 <= len(member.log_lines("members.dropped")) - logged <= 30  # about one per second
        assert "stranger" not in member.view and not fleet.deaths

    case(steps)
