"""The edits that resolve a conflict, and the checks on edits before they are written. Pure."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.records import MEMBER_MAX
from cloverkeel.fleet.routes.changes import DELETED, Edit
from cloverkeel.fleet.routes.conflicts import route_conflicts
from cloverkeel.fleet.routes.environment import labels_of
from cloverkeel.fleet.routes.fields import canonical, canonical_or_fault
from cloverkeel.fleet.routes.files import value_fault
from cloverkeel.fleet.routes.interface import Conflict, Environment, RouteView, View

BEFORE = "before"


class Resolution(NamedTuple):
    """How `routes resolve` ends a conflict. `take`: the number of a side, from 1, as `show` lists them."""

    way: str  # take, value, delete or keep
    take: int = 0
    value: str = ""  # TOML


def parse_change_name(text: str) -> Dot:
    """The dot of a change by its name, member/incarnation/number; the incarnation is in hex. Raises
    ValueError."""
    try:
        member, incarnation, counter = text.rsplit("/", 2)
        dot = Dot(member, int(incarnation, 16), int(counter))
    except ValueError:
        raise ValueError(
            f"{text!r:.80} is not the name of a change: member/incarnation/number, as in show"
        ) from None
    if not 0 < len(member) <= MEMBER_MAX or dot.incarnation < 1 or dot.counter < 1:
        raise ValueError(f"{text!r:.80} is not the name of a change: a part is out of range")
    return dot


def side_labels(conflict: Conflict) -> list[str]:
    """The sides that `take` chooses from, a line each; empty if the conflict has to be resolved in another
    way."""
    if conflict.kind == "overlap":
        first, second = conflict.routes
        return [f"{first} before {second}", f"{second} before {first}"]
    return [] if conflict.kind not in ("field", "delete") else [""] * len(conflict.choices)


def resolution_edits(conflict: Conflict, resolution: Resolution, view: View) -> tuple[Edit, ...]:
    """The edits that resolve a conflict when they are written with the view's context. Raises ValueError."""
    route = conflict.routes[0]
    if resolution.way == "take":
        return (_edit_for_side(conflict, resolution.take, view),)
    if resolution.way == "value":
        if conflict.kind not in ("field", "shares", "unknown", "chain", "bad-value") or not conflict.field:
            raise ValueError(f"a {conflict.kind} conflict has no single value: apply a file that resolves it")
        return (Edit(route, conflict.field, _parse_value(conflict.field, resolution.value)),)
    if len(conflict.routes) > 1:
        raise ValueError(f"{resolution.way} is for a conflict of one route, not of {len(conflict.routes)}")
    if resolution.way == "keep" and conflict.kind != "delete":
        raise ValueError(f"keep is for a delete conflict, not for a {conflict.kind} conflict")
    return (Edit(route, DELETED, resolution.way == "delete"),)


def _edit_for_side(conflict: Conflict, number: int, view: View) -> Edit:
    count = len(side_labels(conflict))
    if not count:
        raise ValueError(f"a {conflict.kind} conflict has no sides: give a value, or apply a file")
    if not 1 <= number <= count:
        raise ValueError(f"take is 1 to {count} for this conflict")
    if conflict.kind == "overlap":
        first, second = conflict.routes if number == 1 else conflict.routes[::-1]
        current = view.routes.get(first)
        before = current.values.get(BEFORE, ()) if current is not None else ()
        return Edit(first, BEFORE, sorted({*before, second}))
    value = conflict.choices[number - 1].value
    if conflict.kind == "delete":
        return Edit(conflict.routes[0], DELETED, isinstance(value, Mapping) and value.get(DELETED) is True)
    return Edit(conflict.routes[0], conflict.field, value)


def _parse_value(field: str, text: str) -> Any:
    try:
        value = tomllib.loads(f"value = {text}")["value"]
    except (tomllib.TOMLDecodeError, RecursionError, ValueError):
        raise ValueError(f"the value is not TOML: {text!r:.80}") from None
    if (why := value_fault(value)) is not None:
        raise ValueError(f"{field}: {why}")
    return canonical(field, value)


def edit_faults(
    view: View, edits: Iterable[Edit], rows: Iterable[Mapping[str, Any]], environment: Environment
) -> list[str]:
    """Faults of these edits that do not depend on other teams, a line each.

    These are values that are a blocking conflict by themselves, and routes that leave a class without hosts.
    `rows`: hosts as listed by discovery.
    """
    edits = list(edits)
    edited_fields = {(edit.route, edit.field) for edit in edits}
    found = []
    routes = _values_after(view, edits)
    for name, values in routes.items():
        present = {field: value for field, value in values.items() if value is not None}
        edited = RouteView(name, str(values.get("owner", "")), present, {})
        for conflict in () if values.get(DELETED) is True else route_conflicts(edited, environment):
            if conflict.severity == "blocking" and (name, conflict.field) in edited_fields:
                found.append(f"route {conflict.why}")
    return found + _without_hosts(routes, list(rows))


def _values_after(view: View, edits: Iterable[Edit]) -> dict[str, dict[str, Any]]:
    """The values of the edited routes, if the edits were applied to the plan in service."""
    routes: dict[str, dict[str, Any]] = {}
    for edit in edits:
        current = view.routes.get(edit.route)
        values = routes.setdefault(edit.route, dict(current.values) if current is not None else {})
        value, why = canonical_or_fault(edit.field, edit.value)
        values[edit.field] = None if why else value
    return routes


def _without_hosts(routes: Mapping[str, Mapping[str, Any]], rows: list[Mapping[str, Any]]) -> list[str]:
    """A fault for each route that matches all requests of a class but no listed host; none if no hosts are
    listed."""
    found = []
    for name, values in routes.items():
        targets = values.get("targets")
        partial = values.get("callers") or (values.get("path") or "/") != "/"
        if not rows or not targets or partial or values.get(DELETED) is True:
            continue
        has_remainder = sum(target["share"] for target in targets) < 100
        if not any(has_remainder or any(_target_matches(target, row) for target in targets) for row in rows):
            classes = ", ".join(values.get("classes") or ()) or "every class"
            found.append(f"route {name}: no listed host is in its targets: {classes} would be without hosts")
    return found


def _target_matches(target: Mapping[str, Any], row: Mapping[str, Any]) -> bool:
    host_names = {
        "types": {str(row.get("type", ""))},
        "groups": {str(row.get("group", 0))},
        "zones": {str(row.get("zone", ""))},
        "labels": labels_of(row),
    }
    return all(not target.get(kind) or not host_names[kind].isdisjoint(target[kind]) for kind in host_names)
