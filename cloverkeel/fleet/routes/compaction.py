"""Finds superseded changes that can be deleted from the ledger. docs/routes.md, "Dropping"."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes.changes import DELETED, Change
from cloverkeel.fleet.routes.merged_routes import MergedRoutes
from cloverkeel.fleet.routes.owners import classify
from cloverkeel.fleet.routes.registers import RouteChange, Write, newest
from cloverkeel.fleet.routes.route_merge import merge_route


def droppable(routes: MergedRoutes, changes: Mapping[Dot, Change]) -> list[Dot]:
    """Changes that can be deleted without changing the merged routes, sorted by dot.

    All writes of such a change have been superseded by one write, and that one by another, and each route
    that it touches merges to the same result without it.
    """
    old: dict[str, set[Dot]] = {
        name: set(_superseded(routes.active_changes(name))) for name in routes.many_changes
    }
    candidates = {
        dot
        for dot in set().union(*old.values())
        if all(dot in old.get(name, ()) for name in routes_of(changes[dot]))
    }
    todo = dict.fromkeys(name for dot in sorted(candidates) for name in routes_of(changes[dot]))
    while todo:
        name = next(iter(todo))
        del todo[name]
        ordered = routes.active_changes(name)
        kept = [change for change in ordered if change.dot not in candidates]
        if len(kept) == len(ordered) or merge_route(name, kept, routes.environment) == routes.merged(name):
            continue
        for change in ordered:
            if change.dot in candidates:
                candidates.discard(change.dot)
                todo.update(dict.fromkeys(routes_of(changes[change.dot])))
    return sorted(candidates)


def routes_of(change: Change) -> dict[str, None]:
    """The routes that a change edits or accepts edits of, in order and each once."""
    return dict.fromkeys((*(edit.route for edit in change.edits), *(each.route for each in change.accepts)))


def _superseded(ordered: list[RouteChange]) -> Iterator[Dot]:
    """The changes of a route all of whose writes two successive later writes have superseded."""
    classification = classify(ordered)
    registers: dict[str, list[Write]] = {}
    for change in classification.counted:
        for field in change.fields:
            registers.setdefault(field, []).append(Write(change.dot, change.context, change.team, None))
        if change.dot in classification.initial_owners:
            registers.setdefault("owner", []).append(Write(change.dot, change.context, change.team, None))
    for delete in classification.deletes:
        for field, writes in registers.items():
            if field != DELETED and all(write.dot != delete.dot for write in writes):
                writes.append(Write(delete.dot, delete.context, delete.team, None))
    positions = {change.dot: index for index, change in enumerate(ordered)}
    second: dict[str, Write] = {}
    for field, writes in registers.items():
        writes.sort(key=lambda write: positions[write.dot])
        live = newest(writes)
        rest = [write for write in writes if write is not live[0]]
        if len(live) == 1 and rest and len(before := newest(rest)) == 1:
            second[field] = before[0]
    present = {change.dot for change in ordered}
    gone: set[Dot] = set()
    for change in ordered:
        fields = {*change.fields, *(("owner",) if change.dot in classification.initial_owners else ())}
        # A kept write has seen the change, so the context of the view still covers its dot.
        if (
            all(field in second and second[field].context.covers(change.dot) for field in fields)
            and all(dot in gone or dot not in present for dot in change.accepts)
            and any(write.context.covers(change.dot) for write in second.values())
        ):
            gone.add(change.dot)
            yield change.dot
