"""Regression tests for faults that the storm of routes found, as minimal histories of changes."""

from __future__ import annotations

from typing import Any

import msgspec

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import DELETED, Accept, Change, Edit
from cloverkeel.fleet.routes.interface import Environment
from cloverkeel.fleet.routes.merge import Merge, merge_all

SHARES_OVER_100 = [{"groups": ["0"], "share": 60}, {"groups": ["1"], "share": 60}]


def change(number: int, team: str, seen: tuple[Change, ...] = (), *accepts: Change, **fields: Any) -> Change:
    """A change that only concerns route r."""
    context = Context()
    for each in seen:
        context = context.merge(each.context).add((each.dot,))
    return Change(
        dot=Dot(f"m{number}", 1, 1), context=context, team=team,
        edits=tuple(Edit("r", field, value) for field, value in fields.items()),
        accepts=tuple(Accept("r", each.dot) for each in accepts),
    )  # fmt: skip


def test_a_conflict_whose_resolution_is_held_back_is_still_reported() -> None:
    red, blue = change(1, "red", owner="red", note="a"), change(2, "blue", owner="blue", path="/b")
    both = change(3, "red", (red, blue), owner="red", targets=SHARES_OVER_100)
    view = merge_all([red, blue, both], Environment())
    assert view.held_back == (both.dot,) and "r" not in view.routes
    assert {(c.kind, c.field) for c in view.conflicts} == {("shares", "targets"), ("field", "owner")}


def test_an_edit_whose_acceptance_is_held_back_waits() -> None:
    red = change(1, "red", owner="red", path="/a")
    blue = change(2, "blue", (red,), note="from blue")
    accept = change(3, "red", (red, blue), blue, targets=SHARES_OVER_100)
    view = merge_all([red, blue, accept], Environment())
    assert view.held_back == (accept.dot,) and "note" not in view.routes["r"].values
    assert [(w.dot, dict(w.fields)) for w in view.waiting] == [(blue.dot, {"note": "from blue"})]


def test_edits_between_a_delete_and_its_acceptance_create_the_route_again_for_their_team() -> None:
    red = change(1, "red", owner="red", path="/a")
    deletion = change(2, "blue", (red,), **{DELETED: True})
    edit = change(3, "red", (red, deletion), note="after")
    accept = change(4, "red", (red, deletion, edit), deletion)
    after = change(5, "red", (red, deletion, edit, accept), limit=3)
    view = merge_all([red, deletion, edit, accept, after], Environment())
    assert view.routes["r"].owner == "red" and not view.waiting and not view.conflicts
    assert dict(view.routes["r"].values) == {"owner": "red", "note": "after", "limit": 3}


def test_a_route_over_capacity_that_goes_to_another_owner_keeps_its_conflict() -> None:
    environment, targets = Environment(capacity={"m": 1}), [{"types": ["m"], "share": 100}]
    merge = Merge(environment)
    first = change(1, "red", owner="red", path="/r", limit=5, targets=targets)
    other = with_route(change(2, "blue", owner="blue", path="/q", limit=5, targets=targets), "q")
    moved, deletion = (
        change(3, "red", (first,), owner="blue"),
        with_route(change(4, "blue", (other,), limit=None), "q"),
    )
    for batch in ((first, other), (deletion, moved)):
        for each in batch:
            merge.add(each)
        for _ in merge.settle():
            pass
    (over_capacity,) = merge.view.conflicts
    assert (
        over_capacity.kind == "room"
        and over_capacity == merge_all([first, other, moved, deletion], environment).conflicts[0]
    )


def with_route(change: Change, route: str) -> Change:
    edits = tuple(Edit(route, edit.field, edit.value) for edit in change.edits)
    return msgspec.structs.replace(change, edits=edits)
