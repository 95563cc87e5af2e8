"""What is wrong with a plan: conflicts by kind, their stable ids, and the line that says why.

Pure functions of routes as merged, and of the world; `overlaps.py` and `order.py` find those between routes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping, Sequence

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.fields import PER_CENT, encoded, share_of
from cloverkeel.fleet.routes.interface import Choice, Conflict, Kind, RouteView, Severity, World

SEVERITY: Mapping[Kind, Severity] = {
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
MATCH = ("owner", "classes", "callers", "path", "zones", "before")  # what an overlap rests on
SHOWN = 5  # names in one line


def conflict(
    kind: Kind,
    routes: Iterable[str],
    field: str,
    choices: Iterable[Choice],
    why: str,
    owners: Iterable[str] = (),
    local: bool = False,
) -> Conflict:
    names = tuple(sorted(routes))
    sides = tuple(sorted(choices, key=lambda choice: choice.dot))
    teams = tuple(sorted({*owners, *(side.team for side in sides)}))
    cause = encoded((kind, names, field, [side.dot for side in sides]))
    name = hashlib.blake2b(cause, digest_size=8).hexdigest()
    return Conflict(name, kind, SEVERITY[kind], names, field, teams, sides, why, local)


def by(choice: Choice) -> str:
    """A side of a conflict, for people."""
    return f"{choice.team} ({shown(choice.dot)})"


def shown(dot: Dot) -> str:
    """A change's name as people give it to `accept`: its key in the ledger."""
    return f"{dot.member}/{dot.incarnation:x}/{dot.counter}"


def some(names: Iterable[str]) -> str:
    """The first few names, and how many more."""
    every = sorted(names)
    more = len(every) - SHOWN
    return ", ".join(every[:SHOWN]) + (f" and {more} more" if more > 0 else "")


def decisions(view: RouteView, fields: Sequence[str]) -> list[Choice]:
    """The changes that gave these fields of a route their values, once each."""
    found = {
        view.decided[name].dot: Choice(view.decided[name].dot, view.decided[name].team)
        for name in fields
        if name in view.decided
    }
    return list(found.values())


def of_route(view: RouteView, world: World) -> Iterator[Conflict]:
    """The plan conflicts of one route by itself."""
    yield from _shares(view)
    yield from _unknown(view, world)
    yield from _chain(view, world)


def _of(kind: Kind, view: RouteView, field: str, why: str, local: bool = False) -> Conflict:
    choices = decisions(view, (field,))
    return conflict(kind, (view.name,), field, choices, f"{view.name}: {why}", (view.owner,), local)


def _shares(view: RouteView) -> Iterator[Conflict]:
    total = sum(map(share_of, view.values.get("targets", ())))
    if total > 100 * PER_CENT:
        yield _of("shares", view, "targets", f"shares sum to {total / PER_CENT:g} %, over 100 %")


def _unknown(view: RouteView, world: World) -> Iterator[Conflict]:
    values = view.values
    for field, known in (("classes", world.classes), ("callers", world.callers), ("zones", world.zones)):
        if known is not None and field in values and (none := set(values[field]) - known):
            yield _of("unknown", view, field, f"{field} that the settings do not have: {some(none)}")
    none = set()
    for target in values.get("targets", ()):
        for field, known in (("types", world.types), ("zones", world.zones)):
            if known is not None and field in target:
                none.update(set(target[field]) - known)
    if none:
        yield _of("unknown", view, "targets", f"types or zones that the settings do not have: {some(none)}")
    if world.transforms is not None and "transforms" in values:
        none = set(values["transforms"]) - world.transforms.keys()
        if none:
            yield _of("unknown", view, "transforms", f"transforms that nobody published: {some(none)}")


def _chain(view: RouteView, world: World) -> Iterator[Conflict]:
    chain = view.values.get("transforms", ())
    if world.transforms is None or len(chain) < 2:
        return
    writers: dict[str, list[str]] = {}
    for name in chain:
        for header in world.transforms.get(name, ()):
            writers.setdefault(header, []).append(name)
    twice = [f"{header} by {' and '.join(names)}" for header, names in writers.items() if len(names) > 1]
    if twice:
        yield _of(
            "chain", view, "transforms", f"transforms of one chain write the same header: {some(twice)}"
        )


def absent(view: RouteView, world: World) -> Conflict | None:
    """Groups and labels that no host of this gateway's list has just now."""
    none: set[str] = set()
    for target in view.values.get("targets", ()):
        for field, known in (("groups", world.groups), ("labels", world.labels)):
            if known is not None and field in target:
                none.update(f"{field[:-1]} {name}" for name in target[field] if name not in known)
    if not none:
        return None
    return _of("absent", view, "targets", f"no host on this gateway's list has {some(none)}", local=True)


def overlap(a: RouteView, b: RouteView) -> Conflict:
    """Routes of two teams that match the same requests, with no order between them."""
    first, second = sorted((a, b), key=lambda view: view.name)
    choices = {side.dot: side for view in (first, second) for side in decisions(view, MATCH)}
    why = (
        f"{first.name} of {first.owner} and {second.name} of {second.owner} match the same requests; "
        "say `before` in one of them"
    )
    return conflict("overlap", (a.name, b.name), "", choices.values(), why, (a.owner, b.owner))


def cycle(views: Sequence[RouteView]) -> Conflict:
    choices = {side.dot: side for view in views for side in decisions(view, ("before",))}
    names = [view.name for view in views]
    why = f"each of {some(names)} comes before itself, through `before`"
    return conflict("cycle", names, "before", choices.values(), why, [view.owner for view in views])


def room(
    team: str, kind: str, parts: Mapping[str, int], room: int, views: Mapping[str, RouteView]
) -> Conflict:
    """`parts`: by route, the requests at once that its limit sends to hosts of this type, times the share."""
    choices = {side.dot: side for name in parts for side in decisions(views[name], ("limit",))}
    total = sum(parts.values()) // (100 * PER_CENT)
    why = (
        f"limits of {team}'s routes ({some(parts)}) sum to {total} on hosts of type {kind}, which have {room}"
    )
    return conflict("room", parts, f"limit:{kind}", choices.values(), why, (team,))


def room_parts(view: RouteView) -> Iterator[tuple[str, int]]:
    """For each type that a target names alone, its part of the route's limit, in the shares' unit."""
    if (limit := view.values.get("limit")) is None:
        return
    for target in view.values.get("targets", ()):
        if len(kinds := target.get("types", ())) == 1:
            yield kinds[0], limit * share_of(target)
