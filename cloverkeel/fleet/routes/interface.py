"""Data types that the merge takes besides changes, and that it returns. docs/routes.md."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from cloverkeel.fleet.ledger.dots import Context, Dot

# blocking: the changes concerned are not in service; held: the last agreed value stays; warning: no effect.
Severity = Literal["blocking", "held", "warning"]
ConflictKind = Literal[
    "field", "delete", "overlap", "cycle", "shares", "unknown", "chain", "bad-value", "room", "absent"
]


@dataclass(slots=True, frozen=True)
class Environment:
    """What the merge validates routes against.

    The same at all gateways, except for `groups` and `labels`. A set that is None is unknown and not checked.
    """

    classes: frozenset[str] | None = None
    callers: frozenset[str] | None = None
    zones: frozenset[str] | None = None
    types: frozenset[str] | None = None
    # By transform: the headers that it writes, in lower case.
    transforms: Mapping[str, frozenset[str]] | None = None
    capacity: Mapping[str, int] = field(default_factory=dict)  # concurrent requests, by host type
    groups: frozenset[str] | None = None  # on this gateway's current list of hosts
    labels: frozenset[str] | None = None  # likewise


@dataclass(slots=True, frozen=True)
class Decision:
    """The change that decided the value of a field, and its team."""

    dot: Dot
    team: str


@dataclass(slots=True, frozen=True)
class RouteView:
    """One route of the plan in service.

    `values`: known fields, valid and in canonical form. `unknown_fields`: fields that this version does not
    know; they are kept and shown. `decided`: by field.
    """

    name: str
    owner: str
    values: Mapping[str, Any]
    decided: Mapping[str, Decision]
    unknown_fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Choice:
    """One side of a conflict: a change, its team, and the value that it sets (None if there is none)."""

    dot: Dot
    team: str
    value: Any = None


@dataclass(slots=True, frozen=True)
class Conflict:
    """Something wrong with the plan, which a team has to resolve, or a warning.

    `id`: 16 hex digits of the hash of kind, routes, field and the choices' dots. `local`: depends on this
    gateway's list of hosts and may differ at others.
    """

    id: str
    kind: ConflictKind
    severity: Severity
    routes: tuple[str, ...]
    field: str
    teams: tuple[str, ...]
    choices: tuple[Choice, ...]
    why: str  # one line that explains it to operators
    local: bool = False


@dataclass(slots=True, frozen=True)
class WaitingEdits:
    """Edits of another team's route, which wait until its owner accepts them."""

    dot: Dot
    team: str
    route: str
    owner: str
    fields: Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class View:
    """The result of a merge, never changed in place. `hash`: 32 hex digits that name the plan in service."""

    hash: str
    routes: Mapping[str, RouteView]
    precedes: Mapping[str, frozenset[str]]  # by name: all routes that it comes before, transitively
    conflicts: tuple[Conflict, ...]  # sorted by id
    waiting: tuple[WaitingEdits, ...]
    held_back: tuple[Dot, ...]  # changes not in service because of a blocking conflict
    context: Context  # all dots merged: the context of the next edit
    changed_routes: frozenset[str] | None = None  # since the last view; None: any route may differ
