"""Which changes of a route take effect: those by its owner, and those that an owner accepted.

The first change of a route names its owner; by default it is the change's team. Whether a change is by the
owner is decided by what its own context covers, so that the result does not depend on the order of arrival.
Which deletes take effect is decided here too, since a route that is created again after a delete may have
another owner.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import DELETED
from cloverkeel.fleet.routes.fields import canonical_or_fault
from cloverkeel.fleet.routes.registers import RouteChange, Write, newest

OWNER = "owner"


@dataclass(slots=True)
class Classification:
    """The changes of one route by their effect, in causal order.

    `counted`: take effect; `pending`: wait for an owner's acceptance. `initial_owners`: the owner that a
    change sets without naming one, because it creates the route.
    """

    counted: list[RouteChange] = field(default_factory=list)
    pending: list[RouteChange] = field(default_factory=list)
    accepts: list[RouteChange] = field(default_factory=list)  # acceptances by an owner
    initial_owners: dict[Dot, str] = field(default_factory=dict)
    deletes: list[RouteChange] = field(default_factory=list)  # that take effect
    # Deletes without effect, each with the writes concurrent to it.
    disputes: list[tuple[RouteChange, list[RouteChange]]] = field(default_factory=list)

    def is_deleted(self, dot: Dot) -> bool:
        """Whether an effective delete has removed what this change wrote."""
        return any(delete.context.covers(dot) for delete in self.deletes)


def classify(ordered: Sequence[RouteChange]) -> Classification:
    """Classify the changes of a route, which are sorted by `registers.causal_key`."""
    if len(ordered) == 1 and ordered[0].fields and DELETED not in ordered[0].fields:
        return _classify_single(ordered[0])
    return _Classifier(ordered).result


def _classify_single(change: RouteChange) -> Classification:
    """The result of `_Classifier` for a single change without a delete, faster."""
    if _named_owner(change) not in (None, change.team):
        return Classification(pending=[change])
    return Classification(
        [change], initial_owners={} if OWNER in change.fields else {change.dot: change.team}
    )


def writes_route(change: RouteChange) -> bool:
    """Whether the change does more than delete the route."""
    return any(name != DELETED or value is not True for name, value in change.fields.items())


def writes_fields(change: RouteChange) -> bool:
    """Whether the change writes a field of the route."""
    return any(name != DELETED for name in change.fields)


class _Classifier:
    """Classifies the changes of one route, in causal order; `result` is complete after the constructor."""

    def __init__(self, ordered: Sequence[RouteChange]) -> None:
        self._by_dot = {change.dot: change for change in ordered}
        self._accepted: dict[Dot, list[RouteChange]] = {}  # by dot: the owners' acceptances of that change
        self._by_owner: set[Dot] = set()
        self._owner_writes: list[RouteChange] = []
        self._deletes: list[RouteChange] = []
        self._writers: list[RouteChange] = []
        self.result = Classification()
        for change in ordered:
            self._classify(change)
        result = self.result
        for change in ordered:
            if change.fields:
                (result.counted if self._counts(change, None) else result.pending).append(change)
        result.deletes, result.disputes = self._effective_deletes(None)

    def _classify(self, change: RouteChange) -> None:
        owners = self._owners_at(change.context)
        valid = [dot for dot in change.accepts if self._may_accept(change, dot, owners)]
        if valid:
            self.result.accepts.append(change)
            for dot in valid:
                self._accepted.setdefault(dot, []).append(change)
        if not change.fields:
            return
        named = _named_owner(change)
        own = change.team in owners if owners else named in (None, change.team)
        deletes = change.fields.get(DELETED) is True
        if own:
            self._by_owner.add(change.dot)
        # A change that creates the route, or deletes it and creates it again.
        first = deletes or (own and not owners)
        if first and OWNER not in change.fields and len(change.fields) > (DELETED in change.fields):
            named = self.result.initial_owners[change.dot] = change.team
        if named is not None:
            self._owner_writes.append(change)
        if deletes:
            self._deletes.append(change)
        if writes_route(change):
            self._writers.append(change)

    def _may_accept(self, change: RouteChange, dot: Dot, owners: set[str]) -> bool:
        accepted = self._by_dot.get(dot)
        if accepted is None or not accepted.fields:
            return False
        return change.team in owners if owners else change.team == _named_owner(accepted)

    def _counts(self, change: RouteChange, context: Context | None) -> bool:
        if change.dot in self._by_owner:
            return True
        accepts = self._accepted.get(change.dot)
        return accepts is not None and (context is None or any(context.covers(each.dot) for each in accepts))

    def _effective_at(self, changes: Iterable[RouteChange], context: Context | None) -> list[RouteChange]:
        return [
            change
            for change in changes
            if (context is None or context.covers(change.dot)) and self._counts(change, context)
        ]

    def _owners_at(self, context: Context) -> set[str]:
        """The owners of the route as known in this context: more than one if owner writes are concurrent."""
        writers = self._effective_at(self._owner_writes, context)
        if writers and self._deletes:
            deletes, _ = self._effective_deletes(context)
            writers = _not_deleted(writers, deletes)
            if not writers:  # teams that wrote after a delete that was not accepted yet
                remaining = _not_deleted(self._effective_at(self._writers, context), deletes)
                return {change.team for change in remaining if writes_fields(change)}
        if not writers:
            return set()
        first = self.result.initial_owners
        named = [
            Write(each.dot, each.context, each.team, first.get(each.dot) or _named_owner(each))
            for each in writers
        ]
        return {write.value for write in newest(named)}

    def _effective_deletes(
        self, context: Context | None
    ) -> tuple[list[RouteChange], list[tuple[RouteChange, list[RouteChange]]]]:
        """The deletes that take effect, and those that do not because of concurrent writes, with these
        writes."""
        effect: list[RouteChange] = []
        disputes: list[tuple[RouteChange, list[RouteChange]]] = []
        if not self._deletes:
            return effect, disputes
        writers = self._effective_at(self._writers, context)
        for delete in self._effective_at(self._deletes, context):
            concurrent = [
                each
                for each in writers
                if each is not delete
                and not delete.context.covers(each.dot)
                and not each.context.covers(delete.dot)
            ]
            if concurrent:
                disputes.append((delete, concurrent))
            else:
                effect.append(delete)
        return effect, disputes


def _not_deleted(changes: Iterable[RouteChange], deletes: Sequence[RouteChange]) -> list[RouteChange]:
    return [change for change in changes if not any(delete.context.covers(change.dot) for delete in deletes)]


def _named_owner(change: RouteChange) -> str | None:
    """The owner that a change names, or None; an invalid name does not transfer the route."""
    if (value := change.fields.get(OWNER)) is None:
        return None
    return None if canonical_or_fault(OWNER, value)[1] else str(value)
