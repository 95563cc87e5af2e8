"""Random histories: teams commit changes of routes at gateways that exchange them at random times."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from hypothesis import strategies as st

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import Accept, Change, Edit
from cloverkeel.fleet.routes.interface import Environment, View
from cloverkeel.fleet.routes.merge import Merge

ENVIRONMENT = Environment(
    classes=frozenset({"read", "write"}),
    types=frozenset({"m1", "m2"}),
    transforms={"t1": frozenset({"x-a"}), "t2": frozenset({"x-a", "x-b"}), "t3": frozenset({"x-c"})},
    capacity={"m2": 10},
    groups=frozenset({"1"}),
)
ROUTES, TEAMS, GATEWAYS = ("a", "b", "c"), ("red", "blue", "green"), 3
VALUES: dict[str, tuple[Any, ...]] = {
    "classes": (["read"], ["write", "read"], None, ["gone"]),
    "path": ("/x", "/x/y", "/z", None, 7),
    "targets": (
        [{"types": ["m2"], "share": 60}, {"groups": ["1"], "share": 40.0}],
        [{"types": ["m2"], "share": 60}, {"groups": ["2"], "share": 60}],
        [{"types": ["m2"], "labels": ["l"]}],
    ),
    "limit": (5, 20),
    "transforms": (["t1"], ["t1", "t2"], ["t3", "t1"], []),
    "before": (["a"], ["b", "c"], None),
    "owner": ("red", "blue", "green", 3),
    "note": ("one", "two", "two "),
    "later": ({"b": 1, "a": [2]}, {"a": [2], "b": 1}, 5),
    "deleted": (True, True, False),
}


@dataclass
class History:
    """Changes, each committed with the context that its gateway had; `known` has those of each gateway, by
    dot."""

    changes: list[Change] = field(default_factory=list)
    known: list[dict[Dot, Change]] = field(default_factory=lambda: [{} for _ in range(GATEWAYS)])

    def commit(
        self, gateway: int, team: str, edits: Iterable[Edit] = (), accepts: Iterable[Accept] = ()
    ) -> Dot:
        known = self.known[gateway]
        context = Context()
        for change in known.values():
            context = context.merge(change.context).add((change.dot,))
        member = f"g{gateway}"
        dot = Dot(member, 1, 1 + sum(change.dot.member == member for change in self.changes))
        change = Change(dot=dot, context=context, team=team, edits=tuple(edits), accepts=tuple(accepts))
        self.changes.append(change)
        known[dot] = change
        return dot

    def receive_from(self, gateway: int, other: int) -> None:
        """Give `gateway` all changes that `other` has."""
        self.known[gateway].update(self.known[other])


@st.composite
def histories(draw: st.DrawFn, max_commits: int = 12) -> History:
    """Histories of 1 to `max_commits` changes."""
    history = History()
    for _ in range(draw(st.integers(1, max_commits))):
        gateway = draw(st.integers(0, GATEWAYS - 1))
        if draw(st.booleans()):
            history.receive_from(gateway, draw(st.integers(0, GATEWAYS - 1)))
        team = draw(st.sampled_from(TEAMS))
        known = list(history.known[gateway])
        if known and draw(st.integers(0, 5)) == 0:
            dot = draw(st.sampled_from(known))
            history.commit(gateway, team, accepts=[Accept(draw(st.sampled_from(ROUTES)), dot)])
            continue
        names = draw(st.lists(st.sampled_from(tuple(VALUES)), min_size=1, max_size=3, unique=True))
        routes = draw(st.lists(st.sampled_from(ROUTES), min_size=1, max_size=2, unique=True))
        history.commit(
            gateway,
            team,
            [Edit(route, name, draw(st.sampled_from(VALUES[name]))) for route in routes for name in names],
        )
    return history


def run_merge(merge: Merge) -> View:
    """Run the merge to its end; return the view."""
    for _ in merge.settle():
        pass
    return merge.view


def without_changed_routes(view: View) -> View:
    """The view without the field that may differ between gateways."""
    return replace(view, changed_routes=None)
