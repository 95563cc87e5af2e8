"""Merges one route: a pure function of the changes that touch it, and the environment."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes import conflicts
from cloverkeel.fleet.routes.changes import DELETED
from cloverkeel.fleet.routes.fields import FIELDS, canonical_or_fault, route_hash
from cloverkeel.fleet.routes.interface import Choice, Conflict, Decision, Environment, RouteView, WaitingEdits
from cloverkeel.fleet.routes.owners import OWNER, Classification, classify, writes_fields
from cloverkeel.fleet.routes.registers import RouteChange, Write, agreed_write, newest, values_equal


@dataclass(slots=True, frozen=True)
class MergedRoute:
    """The result for one route. `view`: None if the route is deleted, has no agreed owner or has an invalid
    value; `hash` is then 0."""

    view: RouteView | None = None
    hash: int = 0
    conflicts: tuple[Conflict, ...] = ()
    waiting: tuple[WaitingEdits, ...] = ()


EMPTY_ROUTE = MergedRoute()


def merge_route(name: str, ordered: Sequence[RouteChange], environment: Environment) -> MergedRoute:
    """Merge the changes that touch the route, which are sorted by `registers.causal_key`."""
    classification = classify(ordered)
    registers = field_writes(classification)
    found: list[Conflict] = []
    values: dict[str, Any] = {}
    others: dict[str, Any] = {}
    decided: dict[str, Decision] = {}
    deciding: dict[Dot, Decision] = {}  # shared by all fields that a change decided
    owners: list[str] = []
    in_plan = any(field != DELETED for field in registers)
    for field in sorted(registers):
        ordered_writes = registers[field]
        live = newest(ordered_writes)
        chosen: Write | None = live[0]
        if field == DELETED:
            found += _delete_conflicts(name, classification, live)
        elif len(live) > 1 and not values_equal(field, live):
            chosen = agreed_write(field, ordered_writes, live)
            found.append(_field_conflict(name, field, live, chosen))
        if field == OWNER:
            owners = sorted({str(write.value) for write in ([chosen] if chosen else live)})
            in_plan = in_plan and chosen is not None
        chosen = chosen or live[0]
        value, why = canonical_or_fault(field, chosen.value)
        if why:  # the route is left out: without this value it could match requests that it should not
            in_plan = False
            side = Choice(chosen.dot, chosen.team, value)
            found.append(
                conflicts.make_conflict("bad-value", (name,), field, (side,), f"{name}: {field}: {why}")
            )
        elif value is not None and field != DELETED:
            (values if field in FIELDS else others)[field] = value
            if (by := deciding.get(chosen.dot)) is None:
                by = deciding[chosen.dot] = Decision(chosen.dot, chosen.team)
            decided[field] = by
    waiting = tuple(_waiting_edits(name, classification, registers, owners)) if classification.pending else ()
    if not in_plan or not owners:
        return MergedRoute(None, 0, tuple(found), waiting) if found or waiting else EMPTY_ROUTE
    view = RouteView(name, owners[0], values, decided, others)
    found += conflicts.route_conflicts(view, environment)
    return MergedRoute(view, route_hash(name, values, others), tuple(found), waiting)


def field_writes(classification: Classification) -> dict[str, list[Write]]:
    """The effective writes of each field that no delete has removed, in causal order."""
    registers: dict[str, list[Write]] = {}
    for change in classification.counted:
        deleted = bool(classification.deletes) and classification.is_deleted(change.dot)
        for field, value in change.fields.items():
            if not deleted or field == DELETED:
                registers.setdefault(field, []).append(Write(change.dot, change.context, change.team, value))
        if not deleted and (owner := classification.initial_owners.get(change.dot)) is not None:
            registers.setdefault(OWNER, []).append(Write(change.dot, change.context, change.team, owner))
    if OWNER not in registers:  # removed by a delete that was accepted after these changes were written
        for change in classification.counted:
            if writes_fields(change) and not classification.is_deleted(change.dot):
                registers.setdefault(OWNER, []).append(
                    Write(change.dot, change.context, change.team, change.team)
                )
    return registers


def _field_conflict(name: str, field: str, live: Sequence[Write], chosen: Write | None) -> Conflict:
    sides = [Choice(write.dot, write.team, write.value) for write in live]
    teams = " and ".join(conflicts.side_text(side) for side in sorted(sides, key=lambda side: side.dot))
    if chosen is not None:
        outcome = f"that of {chosen.team} ({conflicts.change_name(chosen.dot)}), which both had seen, stays"
    elif field == OWNER:
        outcome = "without an agreed owner, the route is not in service"
    else:
        outcome = f"without an agreed value, that of {conflicts.side_text(sides[0])} is used"
    return conflicts.make_conflict(
        "field", (name,), field, sides, f"{name}: {field} differs: {teams}; {outcome}"
    )


def _delete_conflicts(name: str, classification: Classification, live: Sequence[Write]) -> list[Conflict]:
    """The conflict between live deletes and the writes concurrent to them; empty if there is none."""
    dots = {write.dot for write in live}
    disputes = [(delete, concurrent) for delete, concurrent in classification.disputes if delete.dot in dots]
    if not disputes:
        return []
    sides = {delete.dot: Choice(delete.dot, delete.team, {DELETED: True}) for delete, _ in disputes}
    for _, concurrent in disputes:
        for change in concurrent:
            sides.setdefault(change.dot, Choice(change.dot, change.team, dict(change.fields)))
    deleters = " and ".join(
        conflicts.side_text(sides[dot]) for dot in sorted(delete.dot for delete, _ in disputes)
    )
    editors = conflicts.first_names(
        conflicts.side_text(sides[dot])
        for dot in {change.dot for _, concurrent in disputes for change in concurrent}
    )
    why = f"{name}: deleted by {deleters}, with concurrent edits by {editors}; the route stays"
    return [conflicts.make_conflict("delete", (name,), DELETED, sides.values(), why)]


def _waiting_edits(
    name: str, classification: Classification, registers: Mapping[str, Sequence[Write]], owners: Sequence[str]
) -> list[WaitingEdits]:
    """The edits of pending changes that no later write has superseded."""
    found: list[WaitingEdits] = []
    for change in classification.pending:
        fields = {
            field: value
            for field, value in change.fields.items()
            if not any(write.context.covers(change.dot) for write in registers.get(field, ()))
        }
        if fields and not classification.is_deleted(change.dot):
            owner = ", ".join(owners) or str(change.fields.get(OWNER, ""))
            found.append(WaitingEdits(change.dot, change.team, name, owner, fields))
    return found
