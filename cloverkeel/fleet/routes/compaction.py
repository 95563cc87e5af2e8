"""Which changes the plan no longer needs. docs/routes.md, "Dropping"."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.changes import DELETED, Change
from cloverkeel.fleet.routes.owners import classify
from cloverkeel.fleet.routes.registers import RouteChange, Write, newest
from cloverkeel.fleet.routes.route_merge import merge_route
from cloverkeel.fleet.routes.merged_routes import MergedRoutes


def droppable(whole: MergedRoutes, held: Mapping[Dot, Change]) -> list[Dot]:
    """The changes that say of their routes only what two single generations, one after the other, have
    superseded, and without which each of those routes comes out as with them. By dot."""
    old: dict[str, set[Dot]] = {
        name: set(_superseded(whole.active_changes(name))) for name in whole.many_changes
    }
    going = {
        dot
        for dot in set().union(*old.values())
        if all(dot in old.get(name, ()) for name in routes_of(held[dot]))
    }
    todo = dict.fromkeys(name for dot in sorted(going) for name in routes_of(held[dot]))
    while todo:
        name = next(iter(todo))
        del todo[name]
        rising = whole.active_changes(name)
        kept = [touch for touch in rising if touch.dot not in going]
        if len(kept) == len(rising) or merge_route(name, kept, whole.environment) == whole.merged(name):
            continue
        for touch in rising:
            if touch.dot in going:
                going.discard(touch.dot)
                todo.update(dict.fromkeys(routes_of(held[touch.dot])))
    return sorted(going)


def routes_of(change: Change) -> dict[str, None]:
    """The routes that a change touches."""
    return dict.fromkeys((*(edit.route for edit in change.edits), *(each.route for each in change.accepts)))


def _superseded(rising: list[RouteChange]) -> Iterator[Dot]:
    """The changes all of whose writes of this route two later generations have superseded."""
    standing = classify(rising)
    registers: dict[str, list[Write]] = {}
    for touch in standing.counted:
        for field in touch.fields:
            registers.setdefault(field, []).append(Write(touch.dot, touch.context, touch.team, None))
        if touch.dot in standing.initial_owners:
            registers.setdefault("owner", []).append(Write(touch.dot, touch.context, touch.team, None))
    for delete in standing.deletes:
        for field, writes in registers.items():
            if field != DELETED and all(write.dot != delete.dot for write in writes):
                writes.append(Write(delete.dot, delete.context, delete.team, None))
    places = {touch.dot: at for at, touch in enumerate(rising)}
    second: dict[str, Write] = {}
    for field, writes in registers.items():
        writes.sort(key=lambda write: places[write.dot])
        live = newest(writes)
        rest = [write for write in writes if write is not live[0]]
        if len(live) == 1 and rest and len(before := newest(rest)) == 1:
            second[field] = before[0]
    here = {touch.dot for touch in rising}
    gone: set[Dot] = set()
    for touch in rising:
        fields = {*touch.fields, *(("owner",) if touch.dot in standing.initial_owners else ())}
        # Someone who is kept had seen each, so that the context of the view covers it as before.
        if (
            all(field in second and second[field].context.covers(touch.dot) for field in fields)
            and all(dot in gone or dot not in here for dot in touch.accepts)
            and any(write.context.covers(touch.dot) for write in second.values())
        ):
            gone.add(touch.dot)
            yield touch.dot
