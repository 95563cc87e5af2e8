"""`SourceSelector` in simulated time: mass starts, killed and frozen members, a list service that is down."""

from __future__ import annotations

import random
from functools import partial

import pytest

from cloverkeel.fleet.lists.actions import (
    FetchList,
    FallbackStarted,
    AnnounceList,
    Subscribe,
    Unsubscribe,
    Watch,
)
from cloverkeel.fleet.lists.jitter import ALONE_JITTER_MAX_S, VIEW_STABLE_S, SelectorSettings
from cloverkeel.fleet.lists.source_selector import (
    INVALID_AVOID_S,
    RELAY_OUTAGE_S,
    FALLBACK_GRACE_S,
    RELAY_SETTLE_S,
    SourceSelector,
)
from cloverkeel.fleet.lists.limits import MAX_DEPTH, MAX_UPSTREAMS, max_followers
from cloverkeel.fleet.lists.versioned_list import ListVersion
from cloverkeel.fleet.lists.relays import Peer, choose_relays

from tests.fleet_sim import Site


def start_many(site: Site, count: int) -> None:
    """Start members at random moments within one second."""
    for number in range(count):
        site.call_later(site.rng.random(), partial(site.start, f"g{number}"))


def assert_steady_state(site: Site) -> None:
    """Check that all members hold the newest list and follow the right relays."""
    relays = set(choose_relays("site", site.live(), 3))
    for name, node in site.nodes.items():
        if node.state != "up":
            continue
        assert node.index == site.index, name
        assert node.core.is_relay == node.core.watching == (name in relays), name
        assert len(node.core.upstreams) == MAX_UPSTREAMS and node.core.has_live_upstream, name
        assert node.core.depth is not None and node.core.depth <= MAX_DEPTH
        assert len(node.followers) <= site.limit


@pytest.mark.parametrize(("count", "limit"), [(50, 32), (100, 32), (200, 32), (400, 16)])
def test_hundreds_that_start_within_a_second_make_few_calls_to_the_service(count: int, limit: int) -> None:
    site = Site(count, limit)
    start_many(site, count)
    site.run(10.0)
    assert_steady_state(site)
    assert len(site.calls) <= 8
    site.change_list()
    site.run(0.05)
    assert all(node.index == site.index for node in site.nodes.values())


@pytest.mark.parametrize("seed", range(400, 406))
def test_a_fleet_that_starts_over_several_seconds_makes_no_more_calls(seed: int) -> None:
    """Each member that ranked first among those seen so far started a watch: 3 to 12 of 400 did."""
    site = Site(seed, 16)
    for number in range(400):
        site.call_later(site.rng.random() * 8.0, partial(site.start, f"g{number}"))
    site.run(14.0)
    assert_steady_state(site)
    assert len(site.calls) <= 6 and site.fallbacks == 0


def test_a_service_that_is_down_at_the_start_is_called_within_the_budget() -> None:
    site = Site(3)
    site.up = False
    start_many(site, 200)
    site.run(8.0)
    assert len(site.calls) <= 60
    site.run(22.0)
    busiest = max(sum(s <= call < s + 1.0 for call in site.calls) for s in range(30))
    assert busiest <= 1.6 * site.settings.list_calls_per_s
    site.set_service_up(True)
    site.run(4.0)
    assert all(node.index == site.index for node in site.nodes.values())
    site.run(40.0)
    assert_steady_state(site)


@pytest.mark.parametrize("fault", ["kill", "stop"])
def test_a_change_arrives_in_time_although_two_relays_fail_meanwhile(fault: str) -> None:
    site = Site(7)
    start_many(site, 200)
    site.run(8.0)
    first, second, _ = choose_relays("site", site.live(), 3)
    for name in (first, second):
        getattr(site, fault)(name)
    site.change_list()
    site.run(1.2)
    late = [name for name, node in site.nodes.items() if node.state == "up" and node.index != site.index]
    assert not late
    if fault == "kill":
        site.run(10.0)
        assert_steady_state(site)
    assert site.fallbacks == 0


def test_killed_relays_are_all_replaced_and_fallback_calls_stay_few() -> None:
    site = Site(8)
    start_many(site, 100)
    site.run(8.0)
    before = len(site.calls)
    for name in choose_relays("site", site.live(), 3):
        site.kill(name)
    site.change_list()
    site.run(20.0)
    assert_steady_state(site)
    assert len(site.calls) - before <= 60


def test_restarted_members_fetch_from_the_others_before_calling_the_service() -> None:
    site = Site(9)
    start_many(site, 200)
    site.run(8.0)
    before = len(site.calls)
    names = sorted(site.nodes)[:140]
    for name in names:
        site.kill(name)
    for name in names:
        site.call_later(0.5 + site.rng.random(), partial(site.start, name))
    site.run(30.0)
    assert_steady_state(site)
    assert len(site.calls) - before <= 30


def test_a_relay_cut_off_from_the_service_gets_updates_from_other_relays() -> None:
    site = Site(4)
    start_many(site, 30)
    site.run(6.0)
    first = site.nodes[choose_relays("site", site.live(), 3)[0]]
    site.carry_out(first, first.core.service_failed(site.now_s))
    first.core.call_due_s = site.now_s + 100.0  # its further calls would fail as well
    site.run(0.01)
    site.run(RELAY_OUTAGE_S)
    assert first.core.depth == 1 and not first.core.service_up
    site.change_list()
    site.run(0.01)
    assert all(node.index == site.index for node in site.nodes.values())


def test_a_late_answer_of_the_service_starts_the_next_watch_but_is_no_path_by_itself() -> None:
    core = make_selector()
    core.view_changed(0.0, True, [ME, *OTHERS])
    now_s = next(n / 10 for n in range(60) if Watch(True) in core.tick(n / 10, None))
    core.service_failed(now_s + 1.0)
    assert core.depth is None and not core.watching
    assert Watch(True) in core.service_answered(now_s + 1.5) and core.depth == 0
    core.service_failed(now_s + 3.0)
    core.depth_received(now_s + 3.1, next(iter(core.upstreams)), 0)
    assert core.service_answered(now_s + 3.5) == [] and core.depth == 1  # it has a live upstream


ME = Peer("me", "a")
OTHERS = [Peer(f"g{n}", "abc"[n % 3], f"127.0.0.1:{n + 1}") for n in range(8)]
RELAYS = choose_relays("site", [ME, *OTHERS], 3)


def make_selector(own_watch: bool = False) -> SourceSelector:
    selector = SourceSelector(ME, SelectorSettings("site", own_watch=own_watch), random.Random(1))
    assert selector.view_changed(0.0, False, [ME]) == []  # no action before it has joined
    return selector


def test_a_follower_fetches_from_two_subscribes_to_two_and_sets_an_invalid_one_aside() -> None:
    core = make_selector()
    assert ME.name not in RELAYS
    actions = core.view_changed(1.0, True, [ME, *OTHERS])
    assert len([a for a in actions if isinstance(a, FetchList)]) == 2
    followed = [a.peer.name for a in actions if isinstance(a, Subscribe)]
    assert len(followed) == 2 and set(followed) <= set(RELAYS)
    first, second = followed
    core.depth_received(1.1, first, 0)
    core.depth_received(1.1, second, 0)
    third = next(name for name in RELAYS if name not in followed)
    actions = core.invalid_list_received(2.0, first)
    assert [type(a) for a in actions] == [Unsubscribe, Subscribe] and third in core.upstreams
    core.depth_received(2.1, third, 0)
    assert core.newer_list_reported(2.0 + INVALID_AVOID_S - 0.1, first) == []
    core.tick(2.0 + INVALID_AVOID_S, None)
    assert set(core.upstreams) == set(followed)  # the preferred relay again


def test_a_relay_with_a_live_upstream_waits_for_a_stable_view_and_starts_with_a_long_poll() -> None:
    own_peer = next(peer for peer in OTHERS if peer.name in choose_relays("site", OTHERS, 3))
    core = SourceSelector(own_peer, SelectorSettings("site", gateways=8), random.Random(1))
    core.view_changed(0.0, True, OTHERS)
    core.depth_received(0.1, next(iter(core.upstreams)), 0)
    watches = [(n / 10, a) for n in range(2, 40) for a in core.tick(n / 10, None) if isinstance(a, Watch)]
    [(now_s, watch)] = watches
    assert now_s == pytest.approx(VIEW_STABLE_S) and watch == Watch(True, has_live_upstream=True)


def test_a_relay_without_a_live_upstream_watches_soon_although_the_view_grows() -> None:
    own_peer = next(peer for peer in OTHERS if peer.name in choose_relays("site", OTHERS, 3))
    core = SourceSelector(own_peer, SelectorSettings("site", gateways=8), random.Random(1))
    core.view_changed(0.0, True, OTHERS)
    for name in core.pending_fetches.copy():
        core.fetch_ended(0.05, name)
    watches = [n / 10 for n in range(1, 40) if Watch(True) in core.tick(n / 10, None)]
    assert len(watches) == 1 and RELAY_SETTLE_S <= watches[0] <= 1.5 * RELAY_SETTLE_S + 0.1


def test_silent_upstreams_cause_one_fallback_call_within_the_jitter_that_ends_with_a_path() -> None:
    core = make_selector()
    core.view_changed(0.0, True, [ME, *OTHERS])
    seen = [(n / 20, core.tick(n / 20, None)) for n in range(60)]
    [(now_s, actions)] = [(at_s, a) for at_s, a in seen if Watch(True) in a]
    assert (
        isinstance(actions[0], FallbackStarted)
        and FALLBACK_GRACE_S <= now_s <= FALLBACK_GRACE_S + 9 / 20.0 + 0.05
    )
    core.service_answered(now_s)
    name = next(iter(core.upstreams))
    core.depth_received(now_s, name, 0)
    assert core.tick(now_s + 0.5, None) == []
    assert Watch(False) in core.tick(now_s + 1.1, None)


def test_an_upstream_that_lags_is_notified_once_a_second() -> None:
    core = make_selector()
    core.view_changed(0.0, True, [ME, *OTHERS])
    for name in core.upstreams:
        core.depth_received(0.1, name, 0)
        core.version_received(name, ListVersion(0, 9))
    slow = next(iter(core.upstreams))
    core.version_received(slow, ListVersion(0, 8))
    held = ListVersion(0, 9)
    notices = [a for n in range(25) for a in core.tick(1.0 + n / 10, held) if isinstance(a, AnnounceList)]
    assert [notice.peer.name for notice in notices] == [slow, slow]


def test_with_pushed_lists_a_list_is_fetched_from_peers_only_at_startup() -> None:
    core = make_selector(own_watch=True)
    actions = core.view_changed(0.0, True, [ME, *OTHERS])
    assert len(actions) == 2 and all(isinstance(a, FetchList) for a in actions)
    assert core.tick(50.0, None) == []


def test_the_limit_of_followers_depends_on_the_descriptors() -> None:
    assert [max_followers(n) for n in (64, 256, 1024)] == [16, 32, 128]


def test_a_lone_member_of_a_large_fleet_waits_for_jitter_and_does_not_become_a_relay() -> None:
    call_times = []
    for seed in range(200):
        core = SourceSelector(ME, SelectorSettings("site", gateways=200), random.Random(seed))
        core.view_changed(0.0, True, [ME])
        moments = [n / 10 for n in range(101) if Watch(True) in core.tick(n / 10, None)]
        assert len(moments) == 1 and not core.is_relay
        call_times += moments
    assert max(call_times) <= ALONE_JITTER_MAX_S + 0.1
    assert (
        max(sum(start_s <= moment < start_s + 1 for moment in call_times) for start_s in range(6))
        < 200 / ALONE_JITTER_MAX_S * 1.6
    )


def test_a_lone_member_fetches_from_seeds_and_calls_the_service_where_none_answers() -> None:
    for answers, expected in ((True, False), (False, True)):
        core = SourceSelector(
            ME, SelectorSettings("site", gateways=40, seeds=("127.0.0.1:7",)), random.Random(1)
        )
        core.view_changed(0.0, True, [ME])
        has_called = False
        for n in range(50):
            actions = core.tick(n / 10, None)
            has_called |= Watch(True) in actions
            for fetch in (action for action in actions if isinstance(action, FetchList)):
                assert fetch.peer.address == "127.0.0.1:7"
                core.fetch_ended(n / 10, fetch.peer.name, answers)
        assert has_called is expected
    # Where only datagrams are lost, answers of seeds do not put off its own watch forever.
    moments = (n / 10 for n in range(50, 260))
    answering = SourceSelector(
        ME, SelectorSettings("site", gateways=40, seeds=("127.0.0.1:7",)), random.Random(1)
    )
    answering.view_changed(0.0, True, [ME])
    for now_s in moments:
        if Watch(True) in answering.fetch_ended(now_s, "127.0.0.1:7") + answering.tick(now_s, None):
            break
    assert ALONE_JITTER_MAX_S <= now_s <= 2 * ALONE_JITTER_MAX_S


def test_a_member_that_finds_others_before_its_jitter_ends_never_calls() -> None:
    core = SourceSelector(ME, SelectorSettings("site", gateways=200), random.Random(4))
    core.view_changed(0.0, True, [ME])
    assert Watch(True) not in core.tick(0.1, None)
    actions = core.view_changed(0.2, True, [ME, *OTHERS])
    first = next(a.peer.name for a in actions if isinstance(a, Subscribe))
    core.depth_received(0.3, first, 0)
    assert not any(Watch(True) in core.tick(0.3 + n / 10, None) for n in range(100))
