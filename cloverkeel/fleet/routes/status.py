"""The JSON answers about a view, for `routes show` and for committed changes. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.changes import Change, key_of
from cloverkeel.fleet.routes.files import to_plain
from cloverkeel.fleet.routes.interface import Conflict, RouteView, View, WaitingEdits
from cloverkeel.fleet.routes.resolution import side_labels

_encode = msgspec.json.Encoder().encode


def json_pieces(
    view: View, changes: Mapping[str, Change], member: str, team: str, brief: bool
) -> Iterator[bytes]:
    """One JSON object in pieces: hash, member, count, held_back, conflicts, waiting, and routes unless
    `brief`.

    `team`: whose routes, conflicts and waiting edits are included; "*" for all. `changes`: by ledger key.
    """

    def concerns(*teams: str) -> bool:
        return team == "*" or team in teams

    lists: dict[str, Iterator[dict[str, Any]]] = {
        "held_back": (_held_back(key_of(dot), changes) for dot in view.held_back),
        "conflicts": (_conflict(each) for each in view.conflicts if concerns(*each.teams)),
        "waiting": (_waiting(each) for each in view.waiting if concerns(each.team, *each.owner.split(", "))),
    }
    if not brief:
        lists["routes"] = (_route(route) for _, route in sorted(view.routes.items()) if concerns(route.owner))
    yield _encode({"hash": view.hash, "member": member, "count": len(view.routes)})[:-1]
    for name, values in lists.items():
        yield f',"{name}":['.encode()
        for number, value in enumerate(values):
            yield (b"," if number else b"") + _encode(value)
        yield b"]"
    yield b"}"


def _held_back(name: str, changes: Mapping[str, Change]) -> dict[str, Any]:
    change = changes.get(name)  # None: deleted from the ledger meanwhile
    routes = sorted({edit.route for edit in change.edits}) if change is not None else []
    return {"change": name, "team": change.team if change is not None else "", "routes": routes}


def _route(route: RouteView) -> dict[str, Any]:
    decided = {key: {"change": key_of(by.dot), "team": by.team} for key, by in sorted(route.decided.items())}
    values, others = to_plain(route.values), to_plain(route.unknown_fields)
    return {"name": route.name, "owner": route.owner, "values": values, "others": others, "decided": decided}


def _conflict(conflict: Conflict) -> dict[str, Any]:
    return {
        "id": conflict.id,
        "kind": conflict.kind,
        "severity": conflict.severity,
        "routes": conflict.routes,
        "field": conflict.field,
        "teams": conflict.teams,
        "why": conflict.why,
        "local": conflict.local,
        "choices": [
            {"change": key_of(side.dot), "team": side.team, "value": to_plain(side.value)}
            for side in conflict.choices
        ],
        "sides": side_labels(conflict),
    }


def _waiting(waiting: WaitingEdits) -> dict[str, Any]:
    return {
        "change": key_of(waiting.dot),
        "team": waiting.team,
        "route": waiting.route,
        "owner": waiting.owner,
        "fields": to_plain(waiting.fields),
    }


def change_outcome(dot: Dot, view: View) -> dict[str, Any]:
    """The outcome of a change: the plan, whether it is held back, its conflicts, and the owners it waits for.
    `merged` is false if the view does not include it yet."""
    return {
        "plan": view.hash,
        "merged": view.context.covers(dot),
        "held_back": dot in view.held_back,
        "conflicts": [
            _conflict(each) for each in view.conflicts if any(side.dot == dot for side in each.choices)
        ],
        "waiting": [_waiting(each) for each in view.waiting if each.dot == dot],
    }


def file_notes(team: str, view: View) -> list[str]:
    """Comments for the top of a team's file: its conflicts and waiting edits, which an edit of the file
    supersedes."""
    found = [
        f"conflict {each.id} ({each.kind}, {each.severity}): {each.why}"
        for each in view.conflicts
        if team in each.teams
    ]
    found += [
        f"waits for {each.owner}: {each.team} edits {', '.join(sorted(each.fields))} of {each.route} "
        f"({key_of(each.dot)})"
        for each in view.waiting
        if team in (each.team, *each.owner.split(", "))
    ]
    return found
