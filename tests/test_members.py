"""Membership's core: the order of rumours and Lifeguard's timings."""

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.fleet.members import (
    Broadcasts,
    LocalHealth,
    Rumour,
    Status,
    View,
    retransmits,
    suspicion_timeout_s,
)

ME = Rumour("a", "127.0.0.1:1", 5, Status.ALIVE)
names, addresses = st.sampled_from(["b", "c", "d"]), st.sampled_from(["127.0.0.1:2", "127.0.0.1:3"])
rumours = st.builds(Rumour, names, addresses, st.integers(0, 4), st.sampled_from(Status))


@given(st.lists(rumours, max_size=20), st.randoms())
def test_views_that_heard_the_same_rumours_in_any_order_or_twice_agree(
    heard: list[Rumour], rng: object
) -> None:
    shuffled = heard * 2
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    first, second = View(ME), View(ME)
    for rumour in heard:
        first.merge(rumour)
    for rumour in shuffled:
        second.merge(rumour)
    assert first.members == second.members
    for name, rumour in first.members.items():
        assert rumour.order == max(r.order for r in heard if r.name == name)


def test_a_member_refutes_a_suspicion_of_itself_and_ignores_its_old_self() -> None:
    view = View(ME)
    assert view.merge(Rumour("a", ME.address, 5, Status.SUSPECT)) == Rumour("a", ME.address, 6, Status.ALIVE)
    assert view.merge(Rumour("a", "127.0.0.1:9", 4, Status.LEFT)) is None  # the old process of an upgrade
    assert view.me.incarnation == 6


def test_a_dead_member_comes_back_only_with_a_higher_incarnation() -> None:
    view = View(ME)
    view.merge(Rumour("b", "x", 3, Status.DEAD))
    assert view.merge(Rumour("b", "x", 3, Status.ALIVE)) is None
    assert view.merge(Rumour("b", "x", 4, Status.ALIVE)) is not None


def test_suspicion_shrinks_with_confirmations_from_beta_times_the_least_to_the_least() -> None:
    times = [suspicion_timeout_s(50, c, 0.2, 2.0, 6.0) for c in range(6)]
    assert times == sorted(times, reverse=True)
    assert abs(times[0] - 6 * 0.68) < 0.01 and abs(times[3] - 0.68) < 0.01 and times[5] == times[3]


def test_local_health_is_bounded_and_scales_the_timings() -> None:
    health = LocalHealth()
    for _ in range(20):
        health.worse()
    assert health.scale == 9
    health.better()
    assert health.scale == 8 and retransmits(4, 50) == 24


@given(st.lists(rumours, min_size=1, max_size=30), st.integers(1, 5), st.integers(40, 200))
def test_each_rumour_rides_at_most_its_limit_and_the_newest_of_a_name_wins(
    added: list[Rumour], limit: int, budget: int
) -> None:
    queue = Broadcasts()
    for rumour in added:
        queue.add(rumour)
    sent: list[Rumour] = []
    for _ in range(limit * len(added) + 1):
        taken = queue.take(budget, lambda r: 40, limit)
        assert len(taken) <= budget // 40
        sent += taken
    newest = {r.name: r for r in added}
    assert sorted(sent, key=str) == sorted(list(newest.values()) * limit, key=str)
    assert not queue.waiting
