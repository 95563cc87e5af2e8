"""Changes in, the plan in service out: the same for the same changes, whatever their order. docs/routes.md.

Pure, without a clock. Each step of `settle` is bounded work, so that a gateway's loop can turn between two.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.routes.changes import Change
from cloverkeel.fleet.routes.dropping import droppable, names_of
from cloverkeel.fleet.routes.fields import plan_hash
from cloverkeel.fleet.routes.interface import Conflict, RouteView, View, Waiting, World
from cloverkeel.fleet.routes.registers import Seen, Touch, weight
from cloverkeel.fleet.routes.whole import Whole

SLICE = 100  # small things done in one step
TAKEN = 40  # changes taken in in one step
EMPTY = View(plan_hash(0), {}, {}, (), (), (), Context())


class Merge:
    """`view`: of the last `settle` that was played to its end."""

    def __init__(self, world: World) -> None:
        self.view = EMPTY
        self._world = world
        self._whole = Whole(world)
        self._held: dict[Dot, Change] = {}
        self._incoming: dict[Dot, Change] = {}
        self._leaving: dict[Dot, None] = {}
        self._taking: dict[Dot, Change] = {}  # what the settle under way has taken over from the two above
        self._dropping: dict[Dot, None] = {}
        self._seen = Seen()
        self._seen_anew = False
        self._new = True

    def add(self, change: Change) -> None:
        """A change of the ledger, for the next `settle`. One that is held already is passed over."""
        self._leaving.pop(change.dot, None)
        if change.dot not in self._held or change.dot in self._dropping:
            self._incoming[change.dot] = change

    def drop(self, dot: Dot) -> None:
        """A change that was deleted from the ledger."""
        self._incoming.pop(dot, None)
        if dot in self._held or dot in self._taking:
            self._leaving[dot] = None

    def set_world(self, world: World) -> None:
        self._world = world

    def settle(self) -> Iterator[None]:
        """Steps; when it is exhausted `view` is the outcome of what was added before it began. One that is
        left off is gone on with by the next."""
        whole = self._whole
        self._taking.update(self._incoming)
        self._dropping.update(self._leaving)
        self._incoming, self._leaving = {}, {}
        whole.turn_to(self._world)
        yield from self._let_go()
        yield from self._take_in()
        yield from self._put_out(())
        yield from whole.settle()
        found = {each.id: each for each in whole.found.every()}
        yield
        while whole.found.blocking:
            yield from self._step_back()
            yield from whole.settle()
            found |= {each.id: each for each in whole.found.every()}  # what the older plan disputes, too
            yield
        conflicts = tuple(found[id] for id in sorted(found))
        yield from self._show(conflicts, tuple(self._waiting()))

    def droppable(self) -> list[Dot]:
        """Changes that may be deleted from the ledger; without them the view is the same."""
        if self._whole.out or self._incoming or self._taking or self._leaving or self._dropping:
            return []
        return droppable(self._whole, self._held)

    def _take_in(self) -> Iterator[None]:
        for at, change in enumerate(list(self._taking.values())):
            if change.dot not in self._held:
                for looked, (name, touch) in enumerate(_touches(change)):
                    self._whole.touch(name, touch)
                    if looked % SLICE == SLICE - 1:
                        yield
                self._seen.take(change.dot, change.context)
                self._held[change.dot] = change
            del self._taking[change.dot]
            if at % TAKEN == TAKEN - 1:
                yield

    def _let_go(self) -> Iterator[None]:
        for dot in list(self._dropping):
            if (change := self._held.get(dot) or self._taking.get(dot)) is not None:
                for looked, (name, _) in enumerate(_touches(change)):
                    self._whole.leave(name, dot)
                    if looked % SLICE == SLICE - 1:
                        yield
                self._seen_anew = True
                self._held.pop(dot, None)
                self._taking.pop(dot, None)
            self._whole.out.discard(dot)
            del self._dropping[dot]
        if self._seen_anew:
            seen = Seen()
            for at, change in enumerate(list(self._held.values())):
                seen.take(change.dot, change.context)
                if at % SLICE == SLICE - 1:
                    yield
            self._seen, self._seen_anew = seen, False

    def _put_out(self, dots: Iterable[Dot]) -> Iterator[None]:
        """Have these and no others taken out."""
        new = set(dots)
        for dot in sorted(new ^ self._whole.out):
            self._whole.again(names_of(self._held[dot]))
            yield
        self._whole.out = new

    def _step_back(self) -> Iterator[None]:
        """Take out the newest of the changes that touched what is in a blocking conflict, and what rests on
        them: a later change of one of their routes would leave half a route in service."""
        newest: set[Dot] = set()
        for conflict in list(self._whole.found.blocking.values()):
            newest.update(touch.dot for touch in self._whole.newest_of(conflict.routes))
            yield
        if not newest:
            raise AssertionError("a blocking conflict of no change")
        todo = sorted(newest)
        while todo:
            dot = todo.pop()
            for name in names_of(self._held[dot]):
                for touch in self._whole.rising(name):
                    if touch.dot not in newest and touch.context.covers(dot):
                        newest.add(touch.dot)
                        todo.append(touch.dot)
                yield
        yield from self._put_out(self._whole.out | newest)

    def _waiting(self) -> Iterator[Waiting]:
        for name in sorted(self._whole.waiting):
            yield from self._whole.waiting[name]

    def _show(self, found: tuple[Conflict, ...], waiting: tuple[Waiting, ...]) -> Iterator[None]:
        whole, old = self._whole, self.view
        touched: set[str] = set()
        for at, name in enumerate(whole.changed):
            if not self._new and whole.views.get(name) != old.routes.get(name):
                touched.add(name)
            if at % SLICE == SLICE - 1:
                yield
        routes: dict[str, RouteView] = dict(whole.views)
        yield
        self.view = View(
            plan_hash(whole.total),
            routes,
            dict(whole.order.behind),
            found,
            waiting,
            tuple(sorted(whole.out)),
            self._seen.context(),
            None if self._new else frozenset(touched),
        )
        whole.changed.clear()
        self._new = False


def merged(changes: Iterable[Change], world: World) -> View:
    """The same from nothing."""
    merge = Merge(world)
    for change in changes:
        merge.add(change)
    for _ in merge.settle():
        pass
    return merge.view


def _touches(change: Change) -> list[tuple[str, Touch]]:
    fields: dict[str, dict[str, object]] = {name: {} for name in names_of(change)}
    accepts: dict[str, tuple[Dot, ...]] = {}
    for edit in change.edits:
        fields[edit.route][edit.field] = edit.value
    for each in change.accepts:
        accepts[each.route] = (*accepts.get(each.route, ()), each.dot)
    heavy = weight(change.context)
    return [
        (name, Touch(change.dot, change.context, heavy, change.team, fields[name], accepts.get(name, ())))
        for name in fields
    ]
