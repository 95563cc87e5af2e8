"""Conflicts of routes, each kind by a small history. docs/routes.md."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.changes import Accept, Edit
from cloverkeel.fleet.routes.interface import Conflict, View, Environment
from cloverkeel.fleet.routes.merge import Merge, merge_all
from cloverkeel.fleet.routes.order import RouteOrder
from cloverkeel.fleet.routes.overlaps import Overlaps, match_rule
from tests.routes_histories import WORLD, History, histories, plain, play


class Site(History):
    """Gateway 0 and 1, apart until `heal`."""

    def write(self, gateway: int, team: str, route: str, /, **fields: Any) -> Dot:
        return self.commit(gateway, team, [Edit(route, name, value) for name, value in fields.items()])

    def heal(self) -> View:
        for gateway in (0, 1):
            self.hear(gateway, 1 - gateway)
        return self.view()

    def view(self, world: Environment = WORLD) -> View:
        return merge_all(self.changes, world)


def kinds(view: View) -> list[tuple[str, tuple[str, ...]]]:
    return sorted((each.kind, each.routes) for each in view.conflicts)


def only(found: Iterable[Conflict]) -> Conflict:
    (one,) = found
    return one


def test_edits_of_different_fields_and_equal_values_merge() -> None:
    site = Site()
    site.write(0, "red", "a", path="/x", limit=5)
    site.heal()
    site.write(0, "red", "a", limit=7, classes=["write", "read"])
    site.write(1, "red", "a", path="/y/", classes=["read", "write", "read"])
    view = site.heal()
    assert view.conflicts == ()
    values = {"owner": "red", "path": "/y", "limit": 7, "classes": ["read", "write"]}
    assert view.routes["a"].values == values


def test_a_field_conflict_keeps_both_and_the_value_agreed_on_until_one_that_saw_both() -> None:
    site = Site()
    first = site.write(0, "red", "a", limit=5, note="n")
    site.heal()
    one, two = site.write(0, "red", "a", limit=6), site.write(1, "red", "a", limit=7)
    view = site.heal()
    found = only(view.conflicts)
    assert (found.kind, found.severity, found.field) == ("field", "held", "limit")
    assert [(each.dot, each.value) for each in found.choices] == [(one, 6), (two, 7)]
    assert view.routes["a"].values["limit"] == 5 and view.routes["a"].decided["limit"].dot == first
    site.write(1, "red", "a", limit=8)
    view = site.heal()
    assert view.conflicts == () and view.routes["a"].values["limit"] == 8


def test_a_resolve_that_races_with_another_is_a_conflict_over_what_both_had_seen() -> None:
    site = Site()
    site.write(0, "red", "a", limit=5)
    site.heal()
    site.write(0, "red", "a", limit=6)
    site.write(1, "red", "a", limit=7)
    site.heal()
    site.write(0, "red", "a", limit=6)
    site.write(1, "red", "a", limit=7)
    view = site.heal()  # the newest that both had seen are two, and differ: the one before
    assert kinds(view) == [("field", ("a",))] and view.routes["a"].values["limit"] == 5


def test_a_delete_beside_an_edit_is_a_conflict_and_the_edit_stays() -> None:
    site = Site()
    site.write(0, "red", "a", limit=5, path="/x")
    site.heal()
    site.write(0, "red", "a", deleted=True)
    site.write(1, "red", "a", limit=6)
    view = site.heal()
    assert kinds(view) == [("delete", ("a",))]
    assert view.routes["a"].values == {"owner": "red", "limit": 6, "path": "/x"}
    kept = Site(list(site.changes), [dict(each) for each in site.known])
    kept.write(0, "red", "a", deleted=False)
    assert kept.heal().conflicts == () and kept.view().routes["a"].values["path"] == "/x"
    site.write(1, "red", "a", deleted=True)
    assert site.heal().conflicts == () and site.view().routes == {}


def test_a_route_made_anew_after_a_delete_is_from_that_alone_and_may_have_another_owner() -> None:
    site = Site()
    site.write(0, "red", "a", limit=5, path="/x")
    site.write(0, "red", "a", deleted=True)
    assert site.view().routes == {}
    site.write(0, "blue", "a", path="/z")
    assert site.view().routes["a"].values == {"owner": "blue", "path": "/z"}


def test_another_teams_edit_waits_for_the_owner_and_counts_once_accepted() -> None:
    site = Site()
    site.write(0, "red", "a", limit=5)
    dot = site.write(0, "blue", "a", limit=6, note="please")
    view = site.view()
    waits = [(each.dot, each.owner, each.fields) for each in view.waiting]
    assert waits == [(dot, "red", {"limit": 6, "note": "please"})]
    assert view.routes["a"].values == {"owner": "red", "limit": 5}
    site.commit(0, "blue", accepts=[Accept("a", dot)])  # not the owner
    assert site.view().routes["a"].values["limit"] == 5
    declined = Site(list(site.changes), [dict(each) for each in site.known])
    declined.write(0, "red", "a", limit=9)
    assert [dict(each.fields) for each in declined.view().waiting] == [{"note": "please"}]
    site.commit(0, "red", accepts=[Accept("a", dot)])
    view = site.view()
    assert view.waiting == () and view.routes["a"].values == {"owner": "red", "limit": 6, "note": "please"}


def test_an_owner_hands_a_route_over_and_a_stranger_cannot_take_it() -> None:
    site = Site()
    site.write(0, "red", "a", limit=5)
    site.write(0, "blue", "a", owner="blue")
    assert site.view().routes["a"].owner == "red"
    site.write(0, "red", "a", owner="blue")
    site.write(0, "red", "a", limit=6)
    site.write(0, "blue", "a", limit=7)
    view = site.view()
    assert (view.routes["a"].owner, view.routes["a"].values["limit"]) == ("blue", 7)


def test_two_teams_that_make_one_route_leave_it_out_until_resolved() -> None:
    site = Site()
    site.write(0, "red", "a", limit=5)
    site.write(1, "blue", "a", note="b")
    view = site.heal()
    assert kinds(view) == [("field", ("a",))] and view.routes == {}
    assert only(view.conflicts).teams == ("blue", "red")
    site.write(0, "red", "a", owner="blue")
    assert site.heal().routes["a"].values == {"owner": "blue", "limit": 5, "note": "b"}


@pytest.mark.parametrize(
    ("kind", "fields"),
    [
        ("shares", {"targets": [{"types": ["m1"], "share": 60}, {"types": ["m2"], "share": 40.001}]}),
        ("unknown", {"classes": ["none"]}),
        ("unknown", {"targets": [{"types": ["m9"]}]}),
        ("unknown", {"transforms": ["t9"]}),
        ("chain", {"transforms": ["t1", "t2"]}),
        ("bad-value", {"limit": 0}),
        ("bad-value", {"path": "x"}),
        ("bad-value", {"owner": None}),
        ("cycle", {"before": ["b", "a"]}),
    ],
)
def test_a_blocking_conflict_holds_its_change_back_whole_and_others_pass(
    kind: str, fields: dict[str, Any]
) -> None:
    site = Site()
    site.write(0, "red", "a", path="/x")
    before = site.view()
    dot = site.commit(
        0,
        "red",
        [Edit("a", "note", "new"), *(Edit("a", *each) for each in fields.items()), Edit("n", "path", "/n")],
    )
    site.write(1, "blue", "b", path="/b")
    view = site.heal()
    assert kind in {each.kind for each in view.conflicts} and view.held_back == (dot,)
    assert view.routes["a"] == before.routes["a"] and set(view.routes) == {"a", "b"}
    site.write(0, "red", "a", **{name: {"owner": "red", "path": "/x"}.get(name) for name in fields})
    view = site.heal()
    assert view.conflicts == () and view.held_back == () and set(view.routes) == {"a", "b", "n"}


def test_routes_of_two_teams_that_match_the_same_requests_need_an_order() -> None:
    site = Site()
    site.write(0, "red", "a", path="/x", classes=["read"])
    site.heal()
    dot = site.write(1, "blue", "b", path="/x/y")
    view = site.heal()
    found = only(view.conflicts)
    assert (found.kind, found.routes, found.teams) == ("overlap", ("a", "b"), ("blue", "red"))
    assert view.held_back == (dot,) and set(view.routes) == {"a"}
    site.write(1, "blue", "b", before=["a"])
    view = site.heal()
    assert view.conflicts == () and view.precedes == {"b": frozenset({"a"})}
    site.write(0, "red", "a", classes=["write"], zones=["z"])
    site.write(0, "blue", "b", before=None, classes=["read"])
    assert site.heal().conflicts == ()


def test_warnings_hold_nothing_back() -> None:
    site = Site()
    site.write(0, "red", "a", path="/a", limit=8, targets=[{"types": ["m2"], "groups": [1], "share": 50}])
    assert site.view().conflicts == ()
    site.write(0, "red", "b", path="/b", limit=8, targets=[{"types": ["m2"], "labels": ["l"]}])
    view = site.view(replace(WORLD, labels=frozenset()))
    found = {(each.kind, each.severity, each.local) for each in view.conflicts}
    assert found == {("room", "warning", False), ("absent", "warning", True)}
    assert set(view.routes) == {"a", "b"}


def test_a_field_that_is_not_known_is_kept_in_the_hash_and_shown() -> None:
    site = Site()
    site.write(0, "red", "a", path="/x")
    before = site.view().hash
    site.write(0, "red", "a", later={"k": [1]})
    view = site.view()
    assert view.hash != before and view.routes["a"].unknown_fields == {"later": {"k": [1]}}


WORLDS = (
    WORLD,
    Environment(),
    replace(WORLD, classes=frozenset({"read"}), capacity={}),
    replace(WORLD, groups=frozenset({"2"}), labels=frozenset()),
)


@settings(max_examples=60, deadline=None)
@given(histories(), st.lists(st.sampled_from(WORLDS), min_size=1, max_size=3))
def test_a_world_that_changes_gives_what_the_rebuild_under_it_gives(
    history: History, worlds: list[Environment]
) -> None:
    merge = Merge(WORLD)
    for change in history.changes:
        merge.add(change)
    play(merge)
    for world in worlds:
        merge.set_environment(world)
        assert plain(play(merge)) == plain(merge_all(history.changes, world))


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False))
def test_overlaps_and_order_kept_under_edits_are_those_of_every_pair(chance: random.Random) -> None:
    order = RouteOrder()
    overlaps = Overlaps(order)
    names = [f"r{number}" for number in range(12)]
    every = [f"k{number}" for number in range(70)]
    views: dict[str, Any] = {}
    for _ in range(12):
        for name in chance.sample(names, chance.randrange(1, 6)):
            if chance.random() < 0.2:
                views.pop(name, None)
                overlaps.put(name, None)
                order.put(name, None)
                continue
            values: dict[str, Any] = {"path": chance.choice(("", "/x", "/x/y", "/x/y/z", "/w"))}
            values["classes"] = chance.choice(([], ["k1"], ["k1", "k2"], every))
            values["callers"] = chance.choice(([], ["k1"], ["k3"]))
            values["before"] = chance.sample(names, chance.randrange(3))
            site = Site()
            site.write(0, chance.choice(("red", "blue")), name, **values)
            if (view := site.view(Environment()).routes.get(name)) is None:  # before itself
                continue
            views[name] = view
            overlaps.put(name, match_rule(views[name]))
            order.put(name, views[name].values.get("before", ()))
        for part in (order, overlaps):
            overlaps.invalidate(order.changed)
            for _ in part.settle():
                pass
        reach = {name: _reach(name, views) for name in views}
        assert order.precedes == {name: found for name, found in reach.items() if found}
        pairs = {name: {b for b in views if _clash(views, reach, name, b)} for name in views}
        assert overlaps.pairs == {name: found for name, found in pairs.items() if found}


def _reach(name: str, views: dict[str, Any]) -> frozenset[str]:
    found: set[str] = set()
    todo = [name]
    while todo:
        todo += (new := {b for b in views[todo.pop()].values.get("before", ()) if b in views} - found)
        found |= new
    return frozenset(found)


def _clash(views: dict[str, Any], reach: dict[str, frozenset[str]], a: str, b: str) -> bool:
    one, two = views[a], views[b]
    if one.owner == two.owner or b in reach[a] or a in reach[b]:
        return False
    for kind in ("classes", "callers"):
        x, y = one.values.get(kind), two.values.get(kind)
        if x and y and not set(x) & set(y):
            return False
    x, y = (f"{view.values.get('path', '')}/" for view in (one, two))
    return bool(x.startswith(y) or y.startswith(x))
