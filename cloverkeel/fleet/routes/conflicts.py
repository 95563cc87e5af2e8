"""The conflicts of a plan: their kinds, stable ids and one-line explanations.

Pure functions of merged routes and the environment. `overlaps.py` and `order.py` find conflicts between
routes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping, Sequence

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.fields import UNITS_PER_PERCENT, canonical_bytes, share_units
from cloverkeel.fleet.routes.interface import Choice, Conflict, ConflictKind, Environment, RouteView, Severity

SEVERITY: Mapping[ConflictKind, Severity] = {
    "field": "held",
    "delete": "held",
    "overlap": "blocking",
    "cycle": "blocking",
    "shares": "blocking",
    "unknown": "blocking",
    "chain": "blocking",
    "bad-value": "blocking",
    "room": "warning",
    "absent": "warning",
}
MATCH_FIELDS = ("owner", "classes", "callers", "path", "zones", "before")  # fields that decide on an overlap
NAMES_SHOWN = 5  # names listed in one explanation


def make_conflict(
    kind: ConflictKind,
    routes: Iterable[str],
    field: str,
    choices: Iterable[Choice],
    why: str,
    owners: Iterable[str] = (),
    local: bool = False,
) -> Conflict:
    """A conflict with its id, which is a hash of kind, routes, field and choices: the same at all
    gateways."""
    names = tuple(sorted(routes))
    sides = tuple(sorted(choices, key=lambda choice: choice.dot))
    teams = tuple(sorted({*owners, *(side.team for side in sides)}))
    cause = canonical_bytes((kind, names, field, [side.dot for side in sides]))
    name = hashlib.blake2b(cause, digest_size=8).hexdigest()
    return Conflict(name, kind, SEVERITY[kind], names, field, teams, sides, why, local)


def side_text(choice: Choice) -> str:
    """One side of a conflict, in an explanation: the team and its change."""
    return f"{choice.team} ({change_name(choice.dot)})"


def change_name(dot: Dot) -> str:
    """The name of a change that `routes accept` takes: its ledger key."""
    return f"{dot.member}/{dot.incarnation:x}/{dot.counter}"


def first_names(names: Iterable[str]) -> str:
    """The first NAMES_SHOWN names, and how many more there are."""
    ordered = sorted(names)
    more = len(ordered) - NAMES_SHOWN
    return ", ".join(ordered[:NAMES_SHOWN]) + (f" and {more} more" if more > 0 else "")


def deciding_changes(view: RouteView, fields: Sequence[str]) -> list[Choice]:
    """The changes that decided the values of these fields, each once."""
    found = {
        view.decided[name].dot: Choice(view.decided[name].dot, view.decided[name].team)
        for name in fields
        if name in view.decided
    }
    return list(found.values())


def route_conflicts(view: RouteView, environment: Environment) -> Iterator[Conflict]:
    """Conflicts within one route: shares, unknown names, and headers written twice."""
    yield from _share_conflicts(view)
    yield from _unknown_name_conflicts(view, environment)
    yield from _chain_conflicts(view, environment)


def _single_route_conflict(
    kind: ConflictKind, view: RouteView, field: str, why: str, local: bool = False
) -> Conflict:
    choices = deciding_changes(view, (field,))
    return make_conflict(kind, (view.name,), field, choices, f"{view.name}: {why}", (view.owner,), local)


def _share_conflicts(view: RouteView) -> Iterator[Conflict]:
    total = sum(map(share_units, view.values.get("targets", ())))
    if total > 100 * UNITS_PER_PERCENT:
        yield _single_route_conflict(
            "shares", view, "targets", f"shares sum to {total / UNITS_PER_PERCENT:g} %, over 100 %"
        )


def _unknown_name_conflicts(view: RouteView, environment: Environment) -> Iterator[Conflict]:
    values = view.values
    for field, known in (
        ("classes", environment.classes),
        ("callers", environment.callers),
        ("zones", environment.zones),
    ):
        if known is not None and field in values and (missing := set(values[field]) - known):
            yield _single_route_conflict(
                "unknown", view, field, f"{field} that the settings do not have: {first_names(missing)}"
            )
    missing = set()
    for target in values.get("targets", ()):
        for field, known in (("types", environment.types), ("zones", environment.zones)):
            if known is not None and field in target:
                missing.update(set(target[field]) - known)
    if missing:
        yield _single_route_conflict(
            "unknown",
            view,
            "targets",
            f"types or zones that the settings do not have: {first_names(missing)}",
        )
    if environment.transforms is not None and "transforms" in values:
        missing = set(values["transforms"]) - environment.transforms.keys()
        if missing:
            yield _single_route_conflict(
                "unknown", view, "transforms", f"transforms that are not published: {first_names(missing)}"
            )


def _chain_conflicts(view: RouteView, environment: Environment) -> Iterator[Conflict]:
    chain = view.values.get("transforms", ())
    if environment.transforms is None or len(chain) < 2:
        return
    writers: dict[str, list[str]] = {}
    for name in chain:
        for header in environment.transforms.get(name, ()):
            writers.setdefault(header, []).append(name)
    twice = [f"{header} by {' and '.join(names)}" for header, names in writers.items() if len(names) > 1]
    if twice:
        yield _single_route_conflict(
            "chain",
            view,
            "transforms",
            f"transforms of the same chain write the same header: {first_names(twice)}",
        )


def absent_conflict(view: RouteView, environment: Environment) -> Conflict | None:
    """A warning if no host on this gateway's current list has a group or label that the route names."""
    none: set[str] = set()
    for target in view.values.get("targets", ()):
        for field, known in (("groups", environment.groups), ("labels", environment.labels)):
            if known is not None and field in target:
                none.update(f"{field[:-1]} {name}" for name in target[field] if name not in known)
    if not none:
        return None
    return _single_route_conflict(
        "absent", view, "targets", f"no host on this gateway's list has {first_names(none)}", local=True
    )


def overlap_conflict(a: RouteView, b: RouteView) -> Conflict:
    """The conflict of two teams' routes that match the same requests and are not ordered by `before`."""
    first, second = sorted((a, b), key=lambda view: view.name)
    choices = {side.dot: side for view in (first, second) for side in deciding_changes(view, MATCH_FIELDS)}
    why = (
        f"{first.name} of {first.owner} and {second.name} of {second.owner} match the same requests; "
        "set `before` in one of them"
    )
    return make_conflict("overlap", (a.name, b.name), "", choices.values(), why, (a.owner, b.owner))


def cycle_conflict(views: Sequence[RouteView]) -> Conflict:
    """The conflict of routes whose `before` fields form a cycle."""
    choices = {side.dot: side for view in views for side in deciding_changes(view, ("before",))}
    names = [view.name for view in views]
    why = f"the `before` fields of {first_names(names)} form a cycle"
    return make_conflict("cycle", names, "before", choices.values(), why, [view.owner for view in views])


def capacity_conflict(
    team: str, kind: str, limits: Mapping[str, int], capacity: int, views: Mapping[str, RouteView]
) -> Conflict:
    """A warning that a team's limits exceed the capacity of the hosts of one type.

    `limits`: by route, its limit on concurrent requests times the share of this host type, in share units.
    """
    choices = {side.dot: side for name in limits for side in deciding_changes(views[name], ("limit",))}
    total = sum(limits.values()) // (100 * UNITS_PER_PERCENT)
    why = (
        f"limits of {team}'s routes ({first_names(limits)}) sum to {total} "
        f"on hosts of type {kind}, whose capacity is {capacity}"
    )
    return make_conflict("room", limits, f"limit:{kind}", choices.values(), why, (team,))


def limits_by_type(view: RouteView) -> Iterator[tuple[str, int]]:
    """For each target that names exactly one host type: the type, and its part of the route's limit in share
    units."""
    if (limit := view.values.get("limit")) is None:
        return
    for target in view.values.get("targets", ()):
        if len(kinds := target.get("types", ())) == 1:
            yield kinds[0], limit * share_units(target)
