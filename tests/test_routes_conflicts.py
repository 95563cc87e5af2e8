"""Each kind of route conflict, in a short history of changes. docs/routes.md."""

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
from cloverkeel.fleet.routes.interface import Conflict, Environment, View
from cloverkeel.fleet.routes.merge import Merge, merge_all
from cloverkeel.fleet.routes.order import RouteOrder
from cloverkeel.fleet.routes.overlaps import Overlaps, match_rule
from tests.routes_histories import ENVIRONMENT, History, histories, run_merge, without_changed_routes


class TwoGateways(History):
    """Changes at gateways 0 and 1, which exchange them only at `heal`."""

    def write(self, gateway: int, team: str, route: str, /, **fields: Any) -> Dot:
        return self.commit(gateway, team, [Edit(route, name, value) for name, value in fields.items()])

    def heal(self) -> View:
        for gateway in (0, 1):
            self.receive_from(gateway, 1 - gateway)
        return self.view()

    def view(self, environment: Environment = ENVIRONMENT) -> View:
        return merge_all(self.changes, environment)


def kinds(view: View) -> list[tuple[str, tuple[str, ...]]]:
    return sorted((each.kind, each.routes) for each in view.conflicts)


def single(found: Iterable[Conflict]) -> Conflict:
    (one,) = found
    return one


def test_edits_of_different_fields_and_equal_values_merge() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", path="/x", limit=5)
    history.heal()
    history.write(0, "red", "a", limit=7, classes=["write", "read"])
    history.write(1, "red", "a", path="/y/", classes=["read", "write", "read"])
    view = history.heal()
    assert view.conflicts == ()
    values = {"owner": "red", "path": "/y", "limit": 7, "classes": ["read", "write"]}
    assert view.routes["a"].values == values


def test_a_field_conflict_keeps_both_sides_and_the_last_agreed_value_until_resolved() -> None:
    history = TwoGateways()
    first = history.write(0, "red", "a", limit=5, note="n")
    history.heal()
    one, two = history.write(0, "red", "a", limit=6), history.write(1, "red", "a", limit=7)
    view = history.heal()
    found = single(view.conflicts)
    assert (found.kind, found.severity, found.field) == ("field", "held", "limit")
    assert [(each.dot, each.value) for each in found.choices] == [(one, 6), (two, 7)]
    assert view.routes["a"].values["limit"] == 5 and view.routes["a"].decided["limit"].dot == first
    history.write(1, "red", "a", limit=8)
    view = history.heal()
    assert view.conflicts == () and view.routes["a"].values["limit"] == 8


def test_concurrent_resolutions_are_a_conflict_again_and_keep_the_last_agreed_value() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", limit=5)
    history.heal()
    history.write(0, "red", "a", limit=6)
    history.write(1, "red", "a", limit=7)
    history.heal()
    history.write(0, "red", "a", limit=6)
    history.write(1, "red", "a", limit=7)
    view = history.heal()  # two newest writes were seen by both, and they differ: the older value
    assert kinds(view) == [("field", ("a",))] and view.routes["a"].values["limit"] == 5


def test_a_delete_concurrent_to_an_edit_is_a_conflict_and_the_edit_stays() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", limit=5, path="/x")
    history.heal()
    history.write(0, "red", "a", deleted=True)
    history.write(1, "red", "a", limit=6)
    view = history.heal()
    assert kinds(view) == [("delete", ("a",))]
    assert view.routes["a"].values == {"owner": "red", "limit": 6, "path": "/x"}
    kept = TwoGateways(list(history.changes), [dict(each) for each in history.known])
    kept.write(0, "red", "a", deleted=False)
    assert kept.heal().conflicts == () and kept.view().routes["a"].values["path"] == "/x"
    history.write(1, "red", "a", deleted=True)
    assert history.heal().conflicts == () and history.view().routes == {}


def test_a_route_created_again_after_a_delete_keeps_no_old_values_and_may_have_another_owner() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", limit=5, path="/x")
    history.write(0, "red", "a", deleted=True)
    assert history.view().routes == {}
    history.write(0, "blue", "a", path="/z")
    assert history.view().routes["a"].values == {"owner": "blue", "path": "/z"}


def test_another_teams_edit_waits_for_the_owner_and_takes_effect_once_accepted() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", limit=5)
    dot = history.write(0, "blue", "a", limit=6, note="please")
    view = history.view()
    waits = [(each.dot, each.owner, each.fields) for each in view.waiting]
    assert waits == [(dot, "red", {"limit": 6, "note": "please"})]
    assert view.routes["a"].values == {"owner": "red", "limit": 5}
    history.commit(0, "blue", accepts=[Accept("a", dot)])  # not the owner
    assert history.view().routes["a"].values["limit"] == 5
    declined = TwoGateways(list(history.changes), [dict(each) for each in history.known])
    declined.write(0, "red", "a", limit=9)
    assert [dict(each.fields) for each in declined.view().waiting] == [{"note": "please"}]
    history.commit(0, "red", accepts=[Accept("a", dot)])
    view = history.view()
    assert view.waiting == () and view.routes["a"].values == {"owner": "red", "limit": 6, "note": "please"}


def test_only_the_owner_can_transfer_a_route() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", limit=5)
    history.write(0, "blue", "a", owner="blue")
    assert history.view().routes["a"].owner == "red"
    history.write(0, "red", "a", owner="blue")
    history.write(0, "red", "a", limit=6)
    history.write(0, "blue", "a", limit=7)
    view = history.view()
    assert (view.routes["a"].owner, view.routes["a"].values["limit"]) == ("blue", 7)


def test_a_route_created_by_two_teams_is_not_in_service_until_resolved() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", limit=5)
    history.write(1, "blue", "a", note="b")
    view = history.heal()
    assert kinds(view) == [("field", ("a",))] and view.routes == {}
    assert single(view.conflicts).teams == ("blue", "red")
    history.write(0, "red", "a", owner="blue")
    assert history.heal().routes["a"].values == {"owner": "blue", "limit": 5, "note": "b"}


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
def test_a_blocking_conflict_holds_back_the_whole_change_and_no_others(
    kind: str, fields: dict[str, Any]
) -> None:
    history = TwoGateways()
    history.write(0, "red", "a", path="/x")
    before = history.view()
    dot = history.commit(
        0,
        "red",
        [Edit("a", "note", "new"), *(Edit("a", *each) for each in fields.items()), Edit("n", "path", "/n")],
    )
    history.write(1, "blue", "b", path="/b")
    view = history.heal()
    assert kind in {each.kind for each in view.conflicts} and view.held_back == (dot,)
    assert view.routes["a"] == before.routes["a"] and set(view.routes) == {"a", "b"}
    history.write(0, "red", "a", **{name: {"owner": "red", "path": "/x"}.get(name) for name in fields})
    view = history.heal()
    assert view.conflicts == () and view.held_back == () and set(view.routes) == {"a", "b", "n"}


def test_routes_of_two_teams_that_match_the_same_requests_need_an_order() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", path="/x", classes=["read"])
    history.heal()
    dot = history.write(1, "blue", "b", path="/x/y")
    view = history.heal()
    found = single(view.conflicts)
    assert (found.kind, found.routes, found.teams) == ("overlap", ("a", "b"), ("blue", "red"))
    assert view.held_back == (dot,) and set(view.routes) == {"a"}
    history.write(1, "blue", "b", before=["a"])
    view = history.heal()
    assert view.conflicts == () and view.precedes == {"b": frozenset({"a"})}
    history.write(0, "red", "a", classes=["write"], zones=["z"])
    history.write(0, "blue", "b", before=None, classes=["read"])
    assert history.heal().conflicts == ()


def test_warnings_hold_nothing_back() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", path="/a", limit=8, targets=[{"types": ["m2"], "groups": [1], "share": 50}])
    assert history.view().conflicts == ()
    history.write(0, "red", "b", path="/b", limit=8, targets=[{"types": ["m2"], "labels": ["l"]}])
    view = history.view(replace(ENVIRONMENT, labels=frozenset()))
    found = {(each.kind, each.severity, each.local) for each in view.conflicts}
    assert found == {("room", "warning", False), ("absent", "warning", True)}
    assert set(view.routes) == {"a", "b"}


def test_an_unknown_field_is_kept_shown_and_part_of_the_hash() -> None:
    history = TwoGateways()
    history.write(0, "red", "a", path="/x")
    before = history.view().hash
    history.write(0, "red", "a", later={"k": [1]})
    view = history.view()
    assert view.hash != before and view.routes["a"].unknown_fields == {"later": {"k": [1]}}


ENVIRONMENTS = (
    ENVIRONMENT,
    Environment(),
    replace(ENVIRONMENT, classes=frozenset({"read"}), capacity={}),
    replace(ENVIRONMENT, groups=frozenset({"2"}), labels=frozenset()),
)


@settings(max_examples=60, deadline=None)
@given(histories(), st.lists(st.sampled_from(ENVIRONMENTS), min_size=1, max_size=3))
def test_a_changed_environment_gives_the_same_view_as_a_merge_from_scratch(
    history: History, environments: list[Environment]
) -> None:
    merge = Merge(ENVIRONMENT)
    for change in history.changes:
        merge.add(change)
    run_merge(merge)
    for environment in environments:
        merge.set_environment(environment)
        assert without_changed_routes(run_merge(merge)) == without_changed_routes(
            merge_all(history.changes, environment)
        )


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False))
def test_incremental_overlaps_and_order_equal_those_of_comparing_every_pair(rng: random.Random) -> None:
    order = RouteOrder()
    overlaps = Overlaps(order)
    names = [f"r{number}" for number in range(12)]
    many_classes = [f"k{number}" for number in range(70)]
    views: dict[str, Any] = {}
    for _ in range(12):
        for name in rng.sample(names, rng.randrange(1, 6)):
            if rng.random() < 0.2:
                views.pop(name, None)
                overlaps.put(name, None)
                order.put(name, None)
                continue
            values: dict[str, Any] = {"path": rng.choice(("", "/x", "/x/y", "/x/y/z", "/w"))}
            values["classes"] = rng.choice(([], ["k1"], ["k1", "k2"], many_classes))
            values["callers"] = rng.choice(([], ["k1"], ["k3"]))
            values["before"] = rng.sample(names, rng.randrange(3))
            history = TwoGateways()
            history.write(0, rng.choice(("red", "blue")), name, **values)
            if (view := history.view(Environment()).routes.get(name)) is None:  # it names itself in `before`
                continue
            views[name] = view
            overlaps.put(name, match_rule(views[name]))
            order.put(name, views[name].values.get("before", ()))
        for part in (order, overlaps):
            overlaps.invalidate(order.changed)
            for _ in part.settle():
                pass
        closures = {name: _closure(name, views) for name in views}
        assert order.precedes == {name: found for name, found in closures.items() if found}
        pairs = {name: {b for b in views if _overlap(views, closures, name, b)} for name in views}
        assert overlaps.pairs == {name: found for name, found in pairs.items() if found}


def _closure(name: str, views: dict[str, Any]) -> frozenset[str]:
    found: set[str] = set()
    todo = [name]
    while todo:
        todo += (added := {b for b in views[todo.pop()].values.get("before", ()) if b in views} - found)
        found |= added
    return frozenset(found)


def _overlap(views: dict[str, Any], closures: dict[str, frozenset[str]], a: str, b: str) -> bool:
    one, two = views[a], views[b]
    if one.owner == two.owner or b in closures[a] or a in closures[b]:
        return False
    for kind in ("classes", "callers"):
        x, y = one.values.get(kind), two.values.get(kind)
        if x and y and not set(x) & set(y):
            return False
    x, y = (f"{view.values.get('path', '')}/" for view in (one, two))
    return bool(x.startswith(y) or y.startswith(x))
