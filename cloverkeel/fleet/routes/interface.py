"""What goes into the merge beside changes, and what comes out of it: pure data. docs/routes.md."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from cloverkeel.fleet.ledger.dots import Context, Dot

Severity = Literal["blocking", "held", "warning"]
ConflictKind = Literal[
    "field", "delete", "overlap", "cycle", "shares", "unknown", "chain", "bad-value", "room", "absent"
]


@dataclass(slots=True, frozen=True)
class Environment:
    """What the merge judges by beside the changes, equal at all gateways but for `groups` and `labels`. A set
    that is None is not known, and nothing is judged by it."""

    classes: frozenset[str] | None = None
    callers: frozenset[str] | None = None
    zones: frozenset[str] | None = None
    types: frozenset[str] | None = None
    transforms: Mapping[str, frozenset[str]] | None = None  # name to the headers that it writes, lower case
    capacity: Mapping[str, int] = field(default_factory=dict)  # requests at once, by type of host
    groups: frozenset[str] | None = None  # of this gateway's list of hosts just now
    labels: frozenset[str] | None = None


@dataclass(slots=True, frozen=True)
class Decision:
    """Which change gave a field its value."""

    dot: Dot
    team: str


@dataclass(slots=True, frozen=True)
class RouteView:
    """One route of the plan in service. `values`: the known fields, checked and in canonical form; `others`:
    fields that this version does not know, kept and shown."""

    name: str
    owner: str
    values: Mapping[str, Any]
    decided: Mapping[str, Decision]
    unknown_fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Choice:
    """One side of a conflict: a change, its team, and the value that it wants (None where there is none)."""

    dot: Dot
    team: str
    value: Any = None


@dataclass(slots=True, frozen=True)
class Conflict:
    """`id`: 16 hex digits of the hash of kind, routes, field and the choices' dots. `local`: rests on this
    gateway's list of hosts, and may differ elsewhere."""

    id: str
    kind: ConflictKind
    severity: Severity
    routes: tuple[str, ...]
    field: str
    teams: tuple[str, ...]
    choices: tuple[Choice, ...]
    why: str  # one line for people
    local: bool = False


@dataclass(slots=True, frozen=True)
class WaitingEdits:
    """A change's edits of a route of another team, which wait for the owner."""

    dot: Dot
    team: str
    route: str
    owner: str
    fields: Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class View:
    """The outcome of a merge; never changed in place. `hash`: 32 hex digits that name the plan in service."""

    hash: str
    routes: Mapping[str, RouteView]
    precedes: Mapping[str, frozenset[str]]  # name to all routes that it comes before, through others too
    conflicts: tuple[Conflict, ...]  # by id
    waiting: tuple[WaitingEdits, ...]
    held_back: tuple[Dot, ...]  # changes that are not in service, for a blocking conflict
    context: Context  # to edit under: every dot taken in
    changed_routes: frozenset[str] | None = (
        None  # names of routes that differ from the view before; None: any may
    )
