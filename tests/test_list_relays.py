"""Choice of relays: the same on all members, at least one per zone, and few changes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.lists.relays import Peer, by_preference, choose_relays

VIEWS = st.dictionaries(
    st.integers(0, 400).map("g{}".format), st.sampled_from("abc"), min_size=1, max_size=40
)


def peers(view: dict[str, str]) -> list[Peer]:
    return [Peer(name, zone) for name, zone in view.items()]


@settings(max_examples=60, deadline=None)
@given(VIEWS, st.integers(1, 5), st.randoms(use_true_random=False))
def test_equal_views_give_equal_relays_with_at_least_one_per_zone(
    view: dict[str, str], count: int, random: object
) -> None:
    chosen = choose_relays("site", peers(view), count)
    assert chosen == choose_relays("site", peers(view)[::-1], count)
    assert {view[name] for name in chosen} == set(view.values())
    assert len(chosen) == len(set(chosen)) == max(len(set(view.values())), min(count, len(view)))


@settings(max_examples=60, deadline=None)
@given(VIEWS, st.integers(1, 5), st.data())
def test_a_member_that_leaves_changes_one_relay_at_most(
    view: dict[str, str], count: int, data: st.DataObject
) -> None:
    before = choose_relays("site", peers(view), count)
    lost = data.draw(st.sampled_from(sorted(view)))
    after = choose_relays("site", peers({n: z for n, z in view.items() if n != lost}), count)
    if lost not in before:
        assert after == before
    else:
        assert len(set(after) - set(before)) <= 1 and set(before) - set(after) == {lost}


def test_relays_are_spread_and_the_own_zone_comes_first() -> None:
    relays = [Peer("x", "a"), Peer("y", "b"), Peer("z", "b")]
    firsts = {by_preference("site", Peer(f"g{n}", "c"), relays)[0].name for n in range(40)}
    assert firsts == {"x", "y", "z"}
    assert by_preference("site", Peer("g", "a"), relays)[0].name == "x"
    assert [p.name for p in by_preference("site", Peer("x", "a"), relays[:1])] == []
