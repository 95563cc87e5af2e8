"""Which changes of a route count: those of its owner as they had seen it, and those that an owner accepted.

The first change of a route names its owner; where it names none it is its team. Each change is judged by what
its own context covers, so that the outcome is the same whatever came first. Which deletes have effect is
judged here too, since a route made anew after a delete may have another owner.
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
    """Of one route, in rising order. `first`: the owner that a change gave by being the first."""

    counted: list[RouteChange] = field(default_factory=list)
    pending: list[RouteChange] = field(default_factory=list)
    accepts: list[RouteChange] = field(default_factory=list)  # those by an owner
    initial_owners: dict[Dot, str] = field(default_factory=dict)
    deletes: list[RouteChange] = field(default_factory=list)  # in effect
    disputes: list[tuple[RouteChange, list[RouteChange]]] = field(
        default_factory=list
    )  # deletes, the writes concurrent

    def is_deleted(self, dot: Dot) -> bool:
        """Whether a delete took away what this change wrote."""
        return any(delete.context.covers(dot) for delete in self.deletes)


def classify(rising: Sequence[RouteChange]) -> Classification:
    """`rising`: all that touch the route, by `registers.order`."""
    if len(rising) == 1 and rising[0].fields and DELETED not in rising[0].fields:
        return _classify_single(rising[0])
    return _Classifier(rising).result


def _classify_single(touch: RouteChange) -> Classification:
    """What `_Judge` finds where there is one change, and no delete in it."""
    if _named_owner(touch) not in (None, touch.team):
        return Classification(pending=[touch])
    return Classification([touch], initial_owners={} if OWNER in touch.fields else {touch.dot: touch.team})


def writes_route(touch: RouteChange) -> bool:
    """Whether it says more than that the route is to be gone."""
    return any(name != DELETED or value is not True for name, value in touch.fields.items())


def writes_fields(touch: RouteChange) -> bool:
    return any(name != DELETED for name in touch.fields)


class _Classifier:
    def __init__(self, rising: Sequence[RouteChange]) -> None:
        self._by_dot = {touch.dot: touch for touch in rising}
        self._accepted: dict[Dot, list[RouteChange]] = {}  # by an owner
        self._by_owner: set[Dot] = set()
        self._owner_writes: list[RouteChange] = []
        self._deletes: list[RouteChange] = []
        self._writers: list[RouteChange] = []
        self.result = Classification()
        for touch in rising:
            self._classify(touch)
        held = self.result
        for touch in rising:
            if touch.fields:
                (held.counted if self._counts(touch, None) else held.pending).append(touch)
        held.deletes, held.disputes = self._effective_deletes(None)

    def _classify(self, touch: RouteChange) -> None:
        owners = self._owners_at(touch.context)
        valid = [dot for dot in touch.accepts if self._may_accept(touch, dot, owners)]
        if valid:
            self.result.accepts.append(touch)
            for dot in valid:
                self._accepted.setdefault(dot, []).append(touch)
        if not touch.fields:
            return
        named = _named_owner(touch)
        own = touch.team in owners if owners else named in (None, touch.team)
        deletes = touch.fields.get(DELETED) is True
        if own:
            self._by_owner.add(touch.dot)
        # The first of a route, or one that deletes it and makes it anew.
        first = deletes or (own and not owners)
        if first and OWNER not in touch.fields and len(touch.fields) > (DELETED in touch.fields):
            named = self.result.initial_owners[touch.dot] = touch.team
        if named is not None:
            self._owner_writes.append(touch)
        if deletes:
            self._deletes.append(touch)
        if writes_route(touch):
            self._writers.append(touch)

    def _may_accept(self, touch: RouteChange, dot: Dot, owners: set[str]) -> bool:
        accepted = self._by_dot.get(dot)
        if accepted is None or not accepted.fields:
            return False
        return touch.team in owners if owners else touch.team == _named_owner(accepted)

    def _counts(self, touch: RouteChange, at: Context | None) -> bool:
        if touch.dot in self._by_owner:
            return True
        accepts = self._accepted.get(touch.dot)
        return accepts is not None and (at is None or any(at.covers(each.dot) for each in accepts))

    def _effective_at(self, touches: Iterable[RouteChange], at: Context | None) -> list[RouteChange]:
        return [
            touch for touch in touches if (at is None or at.covers(touch.dot)) and self._counts(touch, at)
        ]

    def _owners_at(self, at: Context) -> set[str]:
        """The values of the newest owner writes as who had seen `at` knows them."""
        writers = self._effective_at(self._owner_writes, at)
        if writers and self._deletes:
            deletes, _ = self._effective_deletes(at)
            writers = _not_deleted(writers, deletes)
            if not writers:  # those who wrote after a delete that was to be accepted yet
                left = _not_deleted(self._effective_at(self._writers, at), deletes)
                return {touch.team for touch in left if writes_fields(touch)}
        if not writers:
            return set()
        first = self.result.initial_owners
        named = [
            Write(each.dot, each.context, each.team, first.get(each.dot) or _named_owner(each))
            for each in writers
        ]
        return {write.value for write in newest(named)}

    def _effective_deletes(
        self, at: Context | None
    ) -> tuple[list[RouteChange], list[tuple[RouteChange, list[RouteChange]]]]:
        """The deletes that count and have effect, and those that have none for the writes beside them."""
        effect: list[RouteChange] = []
        disputes: list[tuple[RouteChange, list[RouteChange]]] = []
        if not self._deletes:
            return effect, disputes
        writers = self._effective_at(self._writers, at)
        for delete in self._effective_at(self._deletes, at):
            beside = [
                each
                for each in writers
                if each is not delete
                and not delete.context.covers(each.dot)
                and not each.context.covers(delete.dot)
            ]
            if beside:
                disputes.append((delete, beside))
            else:
                effect.append(delete)
        return effect, disputes


def _not_deleted(touches: Iterable[RouteChange], deletes: Sequence[RouteChange]) -> list[RouteChange]:
    return [touch for touch in touches if not any(delete.context.covers(touch.dot) for delete in deletes)]


def _named_owner(touch: RouteChange) -> str | None:
    """The owner that a change names; a value that is no name does not hand a route over."""
    if (value := touch.fields.get(OWNER)) is None:
        return None
    return None if canonical_or_fault(OWNER, value)[1] else str(value)
