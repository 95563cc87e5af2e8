"""The cold-start experiment: its pure parts, and a start of a small fleet of real processes."""

from __future__ import annotations

import asyncio
import math
import signal
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.fleet.lists.relays import Peer, choose_relays
from cloverkeel.fleet.lists.upstream_connections import LIST_FEED
from cloverkeel.fleet.lists.versioned_list import ApplyResult, HeldList, ListVersion, decode
from cloverkeel.fleet.membership.frames import FrameCodec, FrameError
from faultlab.__main__ import main
from faultlab.coldstart import figures
from faultlab.coldstart.figures import Drain
from faultlab.coldstart.host_capacity import HostCapacity
from faultlab.coldstart.liar import bad_lists, relay_name
from faultlab.coldstart.settings import Plan
from faultlab.coldstart.site import ColdStartSite
from faultlab.listservice import COLLAPSE_FACTOR, CapacityModel, Listing

ENTRY = {"status": "SERVING"}


def account(work_s: float = 0.05) -> HostCapacity:
    return HostCapacity(work_s, start=0.5, warm_s=10.0, multiple=2.0, window_s=1.0)


@given(st.lists(st.floats(0.0, 5.0), max_size=80), st.integers(1, 20), st.booleans())
def test_the_service_ends_every_call_once_and_in_order(
    arrivals: list[float], queue: int, collapses: bool
) -> None:
    capacity = CapacityModel(10.0, queue, patience_s=1.0, collapses=collapses)
    ended: list[int] = []
    taken: list[int] = []
    for call, now_s in enumerate(sorted(arrivals)):
        ended += [number for number, _ in capacity.advance(now_s)]
        if capacity.arrive(now_s, call):
            taken.append(call)
    ended += [number for number, _ in capacity.advance(math.inf)]
    assert ended == taken and capacity.next_event_s is None


def test_the_service_answers_its_capacity_and_fails_what_waited_too_long() -> None:
    capacity = CapacityModel(10.0, queue=30, patience_s=1.0, collapses=False)
    taken = [capacity.arrive(0.0, call) for call in range(40)]
    assert taken == [True] * 30 + [False] * 10
    assert capacity.advance(0.05) == [] and capacity.next_event_s == pytest.approx(0.1)
    answered = [call for call, is_answered in capacity.advance(10.0) if is_answered]
    assert answered == list(range(len(answered))) and len(answered) in (10, 11)


def test_an_overloaded_service_that_collapses_answers_less_and_recovers() -> None:
    calm = CapacityModel(10.0, queue=10, patience_s=60.0, collapses=True)
    full = CapacityModel(10.0, queue=10, patience_s=60.0, collapses=True)
    calm.arrive(0.0, 0)
    for call in range(10):
        full.arrive(0.0, call)
    full.advance(0.1 * (1 + COLLAPSE_FACTOR / 10))
    assert calm.next_event_s == pytest.approx(0.1 * (1 + COLLAPSE_FACTOR / 10))
    assert (
        full.next_event_s is not None and full.next_event_s - 0.1 * (1 + COLLAPSE_FACTOR / 10) > 0.2
    )  # under half its rate
    full.advance(60.0)
    full.arrive(60.0, 10)
    assert full.next_event_s == pytest.approx(60.1, abs=0.03)


def test_a_caller_that_leaves_frees_its_place_in_the_queue_but_a_served_call_is_completed() -> None:
    capacity = CapacityModel(10.0, queue=10, patience_s=60.0, collapses=False)
    for call in range(3):
        capacity.arrive(0.0, call)
    assert capacity.cancel(1) and not capacity.cancel(0)
    assert [call for call, _ in capacity.advance(10.0)] == [0, 2]


def test_the_listing_sends_changes_for_a_known_index_and_the_full_list_otherwise() -> None:
    listing = Listing({"h1": ENTRY, "h2": ENTRY}, index=5, first_index=5)
    listing.update("h1", status="DRAINING")
    assert listing.response(5) == {"index": 6, "snapshot": False, "endpoints": [{"status": "DRAINING"}]}
    for unknown in (None, 4, 7):
        assert listing.response(unknown)["snapshot"] and len(listing.response(unknown)["endpoints"]) == 2
    listing.restart(1)
    assert listing.response(6) == {"index": 1, "snapshot": True, "endpoints": [{"status": "DRAINING"}, ENTRY]}


def test_a_cold_host_falls_above_the_work_limit_of_a_window_and_a_warm_one_never() -> None:
    cold, warm = account(), account()
    cold.restart(100.0)
    bound = math.floor(cold.work_limit(100.0))
    assert bound == math.floor(20 + 3 * math.sqrt(20) + 3)
    assert [cold.add_work(100.0, 1.0) for _ in range(bound)] == [False] * bound
    assert cold.add_work(100.0, 1.0) and cold.falls == 1
    assert not any(warm.add_work(100.0, 1.0) for _ in range(1000))


def test_the_work_limit_of_a_host_is_for_a_sliding_window() -> None:
    cold = account()
    cold.restart(100.0)
    assert not any(
        cold.add_work(100.0 + number * 0.05, 1.0) for number in range(100)
    )  # 20 per second, for 5 s


def test_work_takes_longer_at_a_colder_host_and_is_queued() -> None:
    host = account()
    host.restart(100.0)
    assert host.completion_s(100.0, 1.0) == pytest.approx(100.1)
    assert host.completion_s(100.0, 1.0) == pytest.approx(100.2)
    assert host.completion_s(110.0, 1.0) == pytest.approx(110.05)


def test_max_within_counts_the_fullest_window() -> None:
    assert figures.max_within([0.0, 0.09, 0.12, 0.15, 0.3], 0.1) == 3
    assert figures.max_within([], 0.1) == 0
    assert figures.quantile([3.0, 1.0, 2.0], 0.5) == 2.0 and figures.quantile([], 0.5) == math.inf


def test_late_sends_count_from_a_gateways_own_notification_or_from_the_first_with_shared_lists() -> None:
    drain = Drain(host=7, index=4, set_s=10.0, until_s=20.0)
    responses = [(9.0, 0, 3), (10.1, 0, 4), (12.0, 1, 5)]
    arrivals = [(12.0, 7, 0), (12.2, 7, 0), (13.0, 7, 1), (13.0, 8, 0), (13.0, 7, 2), (20.5, 7, 0)]
    unshared = figures.late_sends(arrivals, responses, drain, shared=False)
    assert [gateway for _, gateway in unshared] == [0]
    shared = figures.late_sends(arrivals, responses, drain, shared=True)
    assert [gateway for _, gateway in shared] == [0, 1, 2]
    assert figures.last_send_s(arrivals, drain) == pytest.approx(3.0)


@pytest.mark.parametrize(
    ("option", "value"),
    [("--faults", "nonsense"), ("--modes", "sideways"), ("--scale", "50,many"), ("--drains", "0")],
)
def test_an_invalid_option_value_is_named(
    option: str, value: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit):
        main(["coldstart", option, value])
    assert f"{option}: {value.rpartition(',')[2]!r} is not " in capsys.readouterr().err


async def small_fleet(folder: Path) -> dict[str, Any]:
    """Start six gateways in a cluster, drain a host, and kill a relay; returns the figures."""
    site = ColdStartSite(
        Plan(
            gateways=6, hosts=6, seed=5, rate_per_s=120, list_calls_per_s=4.0, failing_share=0.0, warm_s=1.0
        ),
        folder,
        shared=True,
    )
    try:
        await site.set_up()
        await site.start_all()
        assert await site.wait_ready(1.0, timeout_s=20.0)
        async with asyncio.timeout(10.0):
            while len(relays := await site.watchers()) != site.plan.relays:
                await asyncio.sleep(0.02)
        drain = await site.drain()
        site.gateways.signal(relays[0], signal.SIGKILL)
        await asyncio.sleep(max(0.0, drain.set_s + figures.STOP_SENDING_S + 1.0 - time.monotonic()))
        await site.undrain(drain)
        return await site.collect_figures()
    finally:
        await site.close()


def test_a_small_fleet_starts_through_its_relays_and_keeps_to_a_drain_when_one_is_killed(
    tmp_path: Path,
) -> None:
    seen = uvloop.run(small_fleet(tmp_path))
    assert seen["ready"] == 6 and seen["tracebacks"] == 0
    assert seen["list_calls_whole"] < 6
    assert seen["drains"] == 1 and seen["drains_broken"] == 0


def test_the_lying_member_gets_a_name_that_makes_it_a_relay() -> None:
    members = [Peer(f"gw-{n}", "abc"[n % 3]) for n in range(40)]
    name = relay_name("coldstart", members, 3, "a")
    assert name in choose_relays("coldstart", [*members, Peer(name, "a")], 3)


def test_only_the_old_one_of_the_bad_lists_is_valid() -> None:
    lists = bad_lists([{"name": "host-0", "status": "SERVING"}], oldest=1)
    old, broken, no_entries, no_list, enormous = (next(iter(lists)) for _ in range(5))
    held = HeldList()
    assert held.apply(decode(old)) is ApplyResult.NEW and held.version == ListVersion(0, 1)
    with pytest.raises(ValueError):
        HeldList().apply(decode(broken))
    for bad in (no_entries, no_list):
        with pytest.raises(ValueError):
            decode(bad)
    with pytest.raises(FrameError):
        FrameCodec("coldstart").encode(LIST_FEED, enormous)
