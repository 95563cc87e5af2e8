"""One route as merged: a pure function of the changes that touch it, and of the world."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes import conflicts
from cloverkeel.fleet.routes.changes import DELETED
from cloverkeel.fleet.routes.fields import FIELDS, route_hash, sound
from cloverkeel.fleet.routes.interface import Choice, Conflict, Decided, RouteView, Waiting, World
from cloverkeel.fleet.routes.owners import OWNER, Standing, stand, writes_fields
from cloverkeel.fleet.routes.registers import Touch, Write, agree, agreed, newest


@dataclass(slots=True, frozen=True)
class Resolved:
    """`view`: None where the route is deleted, has no owner agreed on, or a value that it cannot have.
    `hash`: 0 then."""

    view: RouteView | None = None
    hash: int = 0
    conflicts: tuple[Conflict, ...] = ()
    waiting: tuple[Waiting, ...] = ()


NOTHING = Resolved()


def resolve(name: str, rising: Sequence[Touch], world: World) -> Resolved:
    """`rising`: all changes that touch the route, by `registers.order`."""
    held = stand(rising)
    registers = fields_of(held)
    found: list[Conflict] = []
    values: dict[str, Any] = {}
    others: dict[str, Any] = {}
    decided: dict[str, Decided] = {}
    deciding: dict[Dot, Decided] = {}  # one for each change, not for each field
    owners: list[str] = []
    in_plan = any(field != DELETED for field in registers)
    for field in sorted(registers):
        rising_writes = registers[field]
        live = newest(rising_writes)
        chosen: Write | None = live[0]
        if field == DELETED:
            found += _deletes(name, held, live)
        elif len(live) > 1 and not agree(field, live):
            chosen = agreed(field, rising_writes, live)
            found.append(_field(name, field, live, chosen))
        if field == OWNER:
            owners = sorted({str(write.value) for write in ([chosen] if chosen else live)})
            in_plan = in_plan and chosen is not None
        chosen = chosen or live[0]
        value, why = sound(field, chosen.value)
        if why:  # the route is judged no further: without the value it would match what it was not meant to
            in_plan = False
            side = Choice(chosen.dot, chosen.team, value)
            found.append(conflicts.conflict("bad-value", (name,), field, (side,), f"{name}: {field}: {why}"))
        elif value is not None and field != DELETED:
            (values if field in FIELDS else others)[field] = value
            if (by := deciding.get(chosen.dot)) is None:
                by = deciding[chosen.dot] = Decided(chosen.dot, chosen.team)
            decided[field] = by
    waiting = tuple(_waiting(name, held, registers, owners)) if held.pending else ()
    if not in_plan or not owners:
        return Resolved(None, 0, tuple(found), waiting) if found or waiting else NOTHING
    view = RouteView(name, owners[0], values, decided, others)
    found += conflicts.of_route(view, world)
    return Resolved(view, route_hash(name, values, others), tuple(found), waiting)


def fields_of(held: Standing) -> dict[str, list[Write]]:
    """The writes of each field that count and that no delete took away, in rising order."""
    registers: dict[str, list[Write]] = {}
    for touch in held.counted:
        gone = bool(held.deletes) and held.gone(touch.dot)
        for field, value in touch.fields.items():
            if not gone or field == DELETED:
                registers.setdefault(field, []).append(Write(touch.dot, touch.context, touch.team, value))
        if not gone and (owner := held.first.get(touch.dot)) is not None:
            registers.setdefault(OWNER, []).append(Write(touch.dot, touch.context, touch.team, owner))
    if OWNER not in registers:  # it went with a delete that was accepted after these were written
        for touch in held.counted:
            if writes_fields(touch) and not held.gone(touch.dot):
                registers.setdefault(OWNER, []).append(
                    Write(touch.dot, touch.context, touch.team, touch.team)
                )
    return registers


def _field(name: str, field: str, live: Sequence[Write], chosen: Write | None) -> Conflict:
    sides = [Choice(write.dot, write.team, write.value) for write in live]
    teams = " and ".join(conflicts.by(side) for side in sorted(sides, key=lambda side: side.dot))
    if chosen is not None:
        stands = f"that of {chosen.team} ({conflicts.shown(chosen.dot)}), which both had seen, stands"
    elif field == OWNER:
        stands = "with none agreed on, the route is not in service"
    else:
        stands = f"with none agreed on, that of {conflicts.by(sides[0])} stands"
    return conflicts.conflict("field", (name,), field, sides, f"{name}: {field} differs: {teams}; {stands}")


def _deletes(name: str, held: Standing, live: Sequence[Write]) -> list[Conflict]:
    """The conflict of deletes that nobody has resolved yet with what was written beside them."""
    dots = {write.dot for write in live}
    disputes = [(delete, beside) for delete, beside in held.disputes if delete.dot in dots]
    if not disputes:
        return []
    sides = {delete.dot: Choice(delete.dot, delete.team, {DELETED: True}) for delete, _ in disputes}
    for _, beside in disputes:
        for touch in beside:
            sides.setdefault(touch.dot, Choice(touch.dot, touch.team, dict(touch.fields)))
    gone = " and ".join(conflicts.by(sides[dot]) for dot in sorted(delete.dot for delete, _ in disputes))
    kept = conflicts.some(
        conflicts.by(sides[dot]) for dot in {touch.dot for _, beside in disputes for touch in beside}
    )
    why = f"{name}: deleted by {gone} beside edits by {kept}; the route stands"
    return [conflicts.conflict("delete", (name,), DELETED, sides.values(), why)]


def _waiting(
    name: str, held: Standing, registers: Mapping[str, Sequence[Write]], owners: Sequence[str]
) -> list[Waiting]:
    found: list[Waiting] = []
    for touch in held.pending:
        fields = {
            field: value
            for field, value in touch.fields.items()
            if not any(write.context.covers(touch.dot) for write in registers.get(field, ()))
        }
        if fields and not held.gone(touch.dot):
            owner = ", ".join(owners) or str(touch.fields.get(OWNER, ""))
            found.append(Waiting(touch.dot, touch.team, name, owner, fields))
    return found
