"""Random edits of teams, for the storm, the simulated fleet and the baseline, and the TOML of a team's
file."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cloverkeel.fleet.routes.changes import DELETED, Accept, Edit
from cloverkeel.fleet.routes.interface import RouteView, View

Commit = tuple[str, tuple[Edit, ...], tuple[Accept, ...]]  # team, edits, accepts
PATHS = ("/a", "/a/b", "/a/b/c", "/a/d", "/e", "/e/f", "/g", "/h")


@dataclass(slots=True, frozen=True)
class NamePool:
    """The names that edits are drawn from: those of the settings, of teams and of routes."""

    teams: tuple[str, ...] = ("red", "green", "blue", "grey")
    routes: tuple[str, ...] = tuple(f"r{number}" for number in range(6))
    classes: tuple[str, ...] = ("search", "transfer")
    callers: tuple[str, ...] = ("desk", "web")
    zones: tuple[str, ...] = ("a", "b")
    types: tuple[str, ...] = ("m", "s")
    groups: tuple[str, ...] = ("0", "1", "2")
    labels: tuple[str, ...] = ("new", "old")
    transforms: tuple[str, ...] = ("mark", "mark-two", "trim")  # the first two write the same header
    paths: tuple[str, ...] = PATHS
    invalid_share: float = 0.1  # share of values that block the plan


FIELDS = ("classes", "callers", "zones", "path", "targets", "attempts", "deadline_ms", "limit", "transforms",
          "before", "note", "later")  # fmt: skip


def random_value(rng: random.Random, names: NamePool, field: str) -> Any:
    """A random value for `field`, in a share of cases one that blocks the plan. No version knows the field
    `later`."""
    if field in ("classes", "callers", "zones"):
        pool: tuple[str, ...] = getattr(names, field)
        if rng.random() < names.invalid_share / 2:
            return ["nobody-knows"]
        return sorted(rng.sample(pool, rng.randint(1, len(pool))))
    if field == "path":
        return rng.choice(names.paths)
    if field == "targets":
        return random_targets(rng, names)
    if field in ("attempts", "deadline_ms", "limit"):
        if rng.random() < names.invalid_share / 2:
            return rng.choice((0, -1, "x", 1.5))
        return rng.choice((1, 2)) if field == "attempts" else rng.randint(1, 90)
    if field == "transforms":
        count = rng.choice((0, 1, 1, 2)) if rng.random() < 2 * names.invalid_share else rng.randint(0, 1)
        return rng.sample(names.transforms, min(count, len(names.transforms)))
    if field == "before":
        return sorted(rng.sample(names.routes, min(len(names.routes), rng.choice((1, 1, 2)))))
    return f"{field} {rng.randrange(4)}"


def random_targets(rng: random.Random, names: NamePool) -> list[dict[str, Any]]:
    """Draw the targets of a route; in a share of cases their shares exceed 100 %."""
    drawn: list[dict[str, Any]] = []
    for _ in range(rng.randint(1, 2)):
        kind = rng.choice(("groups", "types", "labels"))
        share = rng.choice((10, 30, 50))
        drawn.append({kind: [rng.choice(getattr(names, kind))], "share": share})
    if rng.random() < names.invalid_share:
        drawn.append({"groups": [rng.choice(names.groups)], "share": 95})
    return drawn


def random_route(rng: random.Random, names: NamePool, name: str, team: str) -> tuple[Edit, ...]:
    """A new route, or a deleted one that is made again."""
    edits = [Edit(name, "owner", team), Edit(name, "path", random_value(rng, names, "path"))]
    for field in rng.sample(("classes", "callers", "targets", "limit", "transforms", "note"), 2):
        edits.append(Edit(name, field, random_value(rng, names, field)))
    return tuple(edits)


def random_commit(rng: random.Random, names: NamePool, view: View) -> Commit:
    """Draw a commit of some team that has read `view`; most edits are of its own routes."""
    draw = rng.random()
    if draw < 0.15 and (resolved := random_resolution(rng, names, view)) is not None:
        return resolved
    if draw < 0.25 and view.waiting:
        waiting = rng.choice(view.waiting)
        return waiting.owner or rng.choice(names.teams), (), (Accept(waiting.route, waiting.dot),)
    name = rng.choice(names.routes)
    existing = view.routes.get(name)
    if existing is None:
        team = rng.choice(names.teams)
        return team, random_route(rng, names, name, team), ()
    team = existing.owner if rng.random() < 0.8 else rng.choice(names.teams)
    if draw < 0.4:
        return team, (Edit(name, DELETED, True),), ()
    if draw < 0.45:
        return team, (Edit(name, "owner", rng.choice(names.teams)),), ()
    edits = random_changes(rng, names, existing, rng.randint(1, 3))
    if rng.random() < 0.2:  # edits two routes in one commit
        other = rng.choice(names.routes)
        if other != name:
            edits += random_route(rng, names, other, team) if other not in view.routes else (
                Edit(other, "note", f"{rng.randrange(9)}"),)  # fmt: skip
    return team, edits, ()


def random_changes(rng: random.Random, names: NamePool, existing: RouteView, count: int) -> tuple[Edit, ...]:
    """New values for `count` fields of a route; None removes a field."""
    edits = []
    for field in rng.sample(FIELDS, count):
        removed = field in existing.values and field not in ("path",) and rng.random() < 0.1
        edits.append(Edit(existing.name, field, None if removed else random_value(rng, names, field)))
    return tuple(edits)


def random_resolution(rng: random.Random, names: NamePool, view: View) -> Commit | None:
    """Draw an answer to a field, delete or overlap conflict; None if there is none."""
    open_conflicts = [c for c in view.conflicts if c.kind in ("field", "delete", "overlap")]
    if not open_conflicts:
        return None
    conflict = rng.choice(open_conflicts)
    name = conflict.routes[0]
    owner = view.routes[name].owner if name in view.routes else rng.choice(names.teams)
    if conflict.kind == "delete":
        return owner, (Edit(name, DELETED, rng.random() < 0.5),), ()
    if conflict.kind == "overlap":
        return owner, (Edit(name, "before", [conflict.routes[-1]]),), ()
    wanted = (
        rng.choice(conflict.choices).value if conflict.choices else random_value(rng, names, conflict.field)
    )
    return owner, (Edit(name, conflict.field, wanted),), ()


def as_toml(team: str, base: str, routes: Mapping[str, Mapping[str, Any]]) -> str:
    """A team's file of routes in TOML."""
    lines = [f"team = {_toml_string(team)}"] + ([f"base = {_toml_string(base)}"] if base else [])
    for name, fields in routes.items():
        lines += ["", f"[route.{_toml_string(name)}]"]
        lines += [f"{field} = {_toml_value(each)}" for field, each in fields.items()]
    return "\n".join(lines) + "\n"


def _toml_string(text: str) -> str:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'


def _toml_value(each: object) -> str:
    match each:
        case bool():
            return "true" if each else "false"
        case str():
            return _toml_string(each)
        case Mapping():
            return "{" + ", ".join(f"{key} = {_toml_value(inner)}" for key, inner in each.items()) + "}"
        case Sequence():
            return "[" + ", ".join(map(_toml_value, each)) + "]"
    return str(each)
