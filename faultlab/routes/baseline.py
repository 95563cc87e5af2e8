"""Compares the merge of concurrent edits with a baseline of whole files where the last writer wins.

In each trial every team commits once on the same agreed plan, without having seen the others' commits. An
edit counts as merged if it is in the plan afterwards; otherwise a person has to resolve it, accept it or
repair what blocks it. In the baseline each team writes the whole file as it read it, with its edits; the file
with the greatest clock wins.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import DELETED, Change, Edit
from cloverkeel.fleet.routes.interface import View, Environment
from cloverkeel.fleet.routes.merge import merge_all

from faultlab.routes import random_edits

ROUTES_PER_TEAM = 4  # routes of each team in the agreed plan
UNUSED_PATHS = 100  # paths that no route uses yet, drawn from beside the used ones
INVALID_SHARE = 0.02  # share of values that block the plan


def run(teams: int, trials: int, seed: int) -> dict[str, Any]:
    """Run the trials; returns counts and shares of all edits."""
    rng = random.Random(f"baseline {seed}")
    names = make_names(teams)
    environment = Environment(
        frozenset(names.classes), frozenset(names.callers), frozenset(names.zones), frozenset(names.types),
        {"mark": frozenset({"x-mark"}), "mark-two": frozenset({"x-mark"}), "trim": frozenset({"x-trim"})},
        {}, frozenset(names.groups), frozenset(names.labels),
    )  # fmt: skip
    outcomes: Counter[str] = Counter()
    lost = edits = lossy_commits = 0
    for _ in range(trials):
        base = agreed_plan(names)
        view = merge_all([base], environment)
        commits = draw_commits(rng, names, view)
        changes = [
            Change(dot=Dot(f"m{n}", 1, 1), context=view.context, team=team, edits=team_edits)
            for n, (team, team_edits, _) in enumerate(commits)
        ]
        after = merge_all([base, *changes], environment)
        for change in changes:
            for edit in change.edits:
                outcomes[edit_outcome(change, edit, after)] += 1
        clocks = [rng.uniform(-300.0, 300.0) for _ in commits]
        files = [write_file(view, team_edits) for _, team_edits, _ in commits]
        winner = files[clocks.index(max(clocks))]
        for _, team_edits, _ in commits:
            gone = sum(not file_has_edit(winner, edit) for edit in team_edits)
            edits, lost, lossy_commits = edits + len(team_edits), lost + gone, lossy_commits + bool(gone)
    return {
        "teams": teams, "trials": trials, "concurrent_edits": edits,
        "merged_with_no_person": round(outcomes["merged"] / edits, 4),
        "for_a_person": {
            name: round(n / edits, 4) for name, n in sorted(outcomes.items()) if name != "merged"
        },
        "edits_lost": outcomes["lost"],
        "last_writer_wins": {"edits_lost": lost, "share_lost": round(lost / edits, 4),
                             "commits_with_a_loss": lossy_commits, "told": 0},
    }  # fmt: skip


def make_names(teams: int) -> random_edits.NamePool:
    """The names that the trials' edits are drawn from."""
    known = tuple(f"r{number}" for number in range(teams * ROUTES_PER_TEAM))
    return random_edits.NamePool(
        teams=tuple(f"team-{number}" for number in range(teams)),
        routes=(*known, *(f"new{number}" for number in range(teams))),
        paths=(*(f"/used/{name}" for name in known), *(f"/fresh/{number}" for number in range(UNUSED_PATHS))),
        invalid_share=INVALID_SHARE,
    )


def agreed_plan(names: random_edits.NamePool) -> Change:
    """The plan that all teams have read, as one change: ROUTES_PER_TEAM routes of each team without
    overlaps."""
    edits: list[Edit] = []
    for number in range(len(names.teams) * ROUTES_PER_TEAM):
        name = names.routes[number]
        edits += [
            Edit(name, "owner", names.teams[number // ROUTES_PER_TEAM]), Edit(name, "path", f"/used/{name}"),
            Edit(name, "targets", [{"groups": ["0"], "share": 10}]), Edit(name, "attempts", 2),
        ]  # fmt: skip
    return Change(dot=Dot("base", 1, 1), context=Context(), team=names.teams[0], edits=tuple(edits))


def draw_commits(rng: random.Random, names: random_edits.NamePool, view: View) -> list[random_edits.Commit]:
    """Draw one commit of each team."""
    commits: dict[str, random_edits.Commit] = {}
    while len(commits) < len(names.teams):
        commit = random_edits.random_commit(rng, names, view)
        if commit[1]:
            commits.setdefault(commit[0], commit)
    return list(commits.values())


def edit_outcome(change: Change, edit: Edit, view: View) -> str:
    """Whether an edit was merged, or what a person has to do about it; `lost` if neither."""
    for conflict in view.conflicts:
        sides = {choice.dot for choice in conflict.choices}
        if change.dot in sides and edit.route in conflict.routes:
            if conflict.kind == "field" and conflict.field == edit.field:
                return "field conflict"
            if conflict.kind == "delete":
                return "delete conflict"
    if any(w.dot == change.dot and w.route == edit.route for w in view.waiting):
        return "waits for the owner"
    if change.dot in view.held_back:
        return "held back by a plan conflict"
    disputed = {c.routes[0] for c in view.conflicts if (c.kind, c.field) == ("field", "owner")}
    if edit.route in disputed and edit.route not in view.routes:
        return "two teams made one route"
    return "merged" if is_in_plan(view, edit) else "lost"


def is_in_plan(view: View, edit: Edit) -> bool:
    """Whether the plan has the value of an edit, or a decision about its field."""
    route = view.routes.get(edit.route)
    if edit.field == DELETED:
        return (route is None) == bool(edit.value)
    if route is None:
        return False
    if edit.field == "owner":
        return bool(route.owner == edit.value)
    plan_value = route.values.get(edit.field, route.unknown_fields.get(edit.field))
    return bool(edit.field in route.decided or plan_value == edit.value or edit.value in (None, []))


PlanFile = dict[str, dict[str, Any]]  # route to its fields


def write_file(view: View, edits: tuple[Edit, ...]) -> PlanFile:
    """The whole file that a team writes: the plan that it read, with its edits."""
    file: PlanFile = {
        name: {**route.values, **route.unknown_fields, "owner": route.owner}
        for name, route in view.routes.items()
    }
    for edit in edits:
        if edit.field == DELETED:
            file.pop(edit.route, None)
        else:
            file.setdefault(edit.route, {})[edit.field] = edit.value
    return file


def file_has_edit(file: PlanFile, edit: Edit) -> bool:
    """Whether a file has the value of an edit."""
    if edit.field == DELETED:
        return edit.route not in file
    return bool(file.get(edit.route, {}).get(edit.field) == edit.value)
