"""All routes as merged from the changes held, without those taken out, and what is wrong between them.

Kept under edits: what a change touches is worked out anew, and no more. The outcome is a function of the
changes, of those taken out, and of the world.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import replace

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.routes import conflicts
from cloverkeel.fleet.routes.fields import PER_CENT
from cloverkeel.fleet.routes.interface import Conflict, RouteView, Waiting, World
from cloverkeel.fleet.routes.order import Order
from cloverkeel.fleet.routes.overlaps import Overlaps, match_of
from cloverkeel.fleet.routes.owners import stand
from cloverkeel.fleet.routes.registers import Touch, newest, order
from cloverkeel.fleet.routes.resolved import NOTHING, Resolved, resolve

HASHES = 2**128
SLICE = 8  # routes resolved in one step
LOOKED = 100  # conflicts looked at in one step
Cause = tuple[str, ...]  # what a conflict is kept under: its route, pair or cycle


class Found:
    """The conflicts there are, by cause, and in the order of their ids."""

    def __init__(self) -> None:
        self.blocking: dict[str, Conflict] = {}
        self._of: dict[Cause, tuple[Conflict, ...]] = {}
        self._every: dict[str, Conflict] = {}
        self._ids: list[str] = []

    def put(self, cause: Cause, found: Iterable[Conflict] = ()) -> None:
        for each in self._of.pop(cause, ()):
            del self._every[each.id], self._ids[bisect_left(self._ids, each.id)]
            self.blocking.pop(each.id, None)
        if new := tuple(found):
            self._of[cause] = new
        for each in new:
            self._every[each.id] = each
            insort(self._ids, each.id)
            if each.severity == "blocking":
                self.blocking[each.id] = each

    def every(self) -> tuple[Conflict, ...]:
        return tuple(map(self._every.__getitem__, self._ids))


class Whole:
    """`views`: the routes; `total`: the sum of their hashes; `changed`: names whose view is another since the
    caller cleared it."""

    def __init__(self, world: World) -> None:
        self.found = Found()
        self.views: dict[str, RouteView] = {}
        self.total = 0
        self.changed: dict[str, None] = {}
        self.waiting: dict[str, tuple[Waiting, ...]] = {}
        self.out: set[Dot] = set()
        self.world = world
        self.order = Order()
        self.many: dict[str, None] = {}  # routes that over two changes touch
        self._touches: dict[str, list[Touch]] = {}
        self._resolved: dict[str, Resolved] = {}
        self._overlaps = Overlaps(self.order)
        self._dirty: dict[str, None] = {}
        self._cycles: dict[str, tuple[str, ...]] = {}
        self._cycles_anew = False
        self._rooms: dict[tuple[str, str], dict[str, int]] = {}  # owner and type, to the parts of its routes
        self._listed: dict[str, None] = {}  # routes whose targets name groups or labels
        self._unlisted: dict[str, None] = {}  # those to be held against the list anew
        self._crowded: dict[tuple[str, str], None] = {}  # whose conflict is to be worked out

    def touch(self, name: str, touch: Touch) -> None:
        held = self._touches.setdefault(name, [])
        at = bisect_left(held, order(touch), key=order)
        if at == len(held) or held[at].dot != touch.dot:
            held.insert(at, touch)
            self._dirty[name] = None
            if len(held) > 2:
                self.many[name] = None

    def leave(self, name: str, dot: Dot) -> None:
        held = [each for each in self._touches.get(name, ()) if each.dot != dot]
        self._dirty[name] = None
        if len(held) <= 2:
            self.many.pop(name, None)
        if held:
            self._touches[name] = held
        else:
            self._touches.pop(name, None)

    def again(self, names: Iterable[str]) -> None:
        """Work these routes out anew."""
        self._dirty.update(dict.fromkeys(names))

    def turn_to(self, world: World) -> None:
        """Judge by another world: all routes anew, or those alone that name groups and labels of the list."""
        old, self.world = self.world, world
        if replace(old, groups=None, labels=None) != replace(world, groups=None, labels=None):
            self.again(self._touches)
            self._crowded.update(dict.fromkeys(self._rooms))
        if (old.groups, old.labels) != (world.groups, world.labels):
            self._unlisted.update(self._listed)

    def rising(self, name: str) -> list[Touch]:
        """What touches a route and is not taken out, by `registers.order`."""
        held = self._touches.get(name, [])
        return [touch for touch in held if touch.dot not in self.out] if self.out else held

    def resolved(self, name: str) -> Resolved:
        return self._resolved.get(name, NOTHING)

    def settle(self) -> Iterator[None]:
        """Steps. Left off, it goes on with the next call."""
        for at, name in enumerate(list(self._dirty)):
            rising = self.rising(name)
            self._put(name, resolve(name, rising, self.world) if rising else NOTHING)
            del self._dirty[name]
            if at % SLICE == SLICE - 1 or len(rising) > SLICE:
                yield
        yield from self.order.settle()
        self._overlaps.again(self.order.changed)
        self.order.changed.clear()
        yield from self._overlaps.settle()
        for at, pair in enumerate(list(self._overlaps.changed)):
            self._pair(*pair)
            del self._overlaps.changed[pair]
            if at % LOOKED == LOOKED - 1:
                yield
        for at, name in enumerate(list(self._unlisted)):
            view = self.views.get(name)
            none = None if view is None else conflicts.absent(view, self.world)
            self.found.put(("absent", "", name), () if none is None else (none,))
            del self._unlisted[name]
            if at % LOOKED == LOOKED - 1:
                yield
        self._settle_cycles()
        for crowd in self._crowded:  # all first: a route that went to another owner has one id with both
            self.found.put(("room", "", *crowd))
        for crowd in self._crowded:
            self._room(*crowd)
        self._crowded.clear()

    def newest_of(self, names: Iterable[str]) -> list[Touch]:
        """Of the changes that count or accept on these routes, those that no other of them had seen."""
        touches: dict[Dot, Touch] = {}
        for name in names:
            held = stand(rising := self.rising(name))
            moving = {touch.dot for touch in (*held.counted, *held.accepts)}
            touches.update((touch.dot, touch) for touch in rising if touch.dot in moving)
        return newest(sorted(touches.values(), key=order))

    def _put(self, name: str, new: Resolved) -> None:
        old = self.resolved(name)
        if old == new:
            return
        if new is NOTHING:
            self._resolved.pop(name, None)
        else:
            self._resolved[name] = new
        if new.waiting:
            self.waiting[name] = new.waiting
        else:
            self.waiting.pop(name, None)
        if new.conflicts or old.conflicts:
            self.found.put((name,), new.conflicts)
        if old.view == new.view:
            return
        self.changed[name] = None
        self.total = (self.total - old.hash + new.hash) % HASHES
        if old.view is not None:
            self._unroom(old.view)
        self._unlisted[name] = None
        if new.view is None:
            del self.views[name]
            self._listed.pop(name, None)
            self._overlaps.put(name, None)
            self.order.put(name, None)
            return
        self.views[name] = new.view
        self._enroom(new.view)
        self._overlaps.put(name, match_of(new.view))
        self.order.put(name, new.view.values.get("before", ()))
        for other in self._overlaps.pairs.get(name, ()):
            self._overlaps.changed[(name, other) if name < other else (other, name)] = None
        self._cycles_anew |= name in self._cycles
        if any("groups" in target or "labels" in target for target in new.view.values.get("targets", ())):
            self._listed[name] = None
        else:
            self._listed.pop(name, None)

    def _pair(self, a: str, b: str) -> None:
        if b in self._overlaps.pairs.get(a, ()):
            self.found.put((a, b), (conflicts.overlap(self.views[a], self.views[b]),))
        else:
            self.found.put((a, b))

    def _settle_cycles(self) -> None:
        if self.order.cycles == self._cycles and not self._cycles_anew:
            return
        for old in set(self._cycles.values()):
            self.found.put(("cycle", "", *old))
        for cycle in set(self.order.cycles.values()):
            found = conflicts.cycle([self.views[name] for name in cycle])
            self.found.put(("cycle", "", *cycle), (found,))
        self._cycles, self._cycles_anew = dict(self.order.cycles), False

    def _unroom(self, view: RouteView) -> None:
        for kind, _ in conflicts.room_parts(view):
            self._rooms[view.owner, kind].pop(view.name, None)
            self._crowded[view.owner, kind] = None

    def _enroom(self, view: RouteView) -> None:
        for kind, part in conflicts.room_parts(view):
            parts = self._rooms.setdefault((view.owner, kind), {})
            parts[view.name] = parts.get(view.name, 0) + part
            self._crowded[view.owner, kind] = None

    def _room(self, owner: str, kind: str) -> None:
        parts = self._rooms[owner, kind]
        most = self.world.room.get(kind)
        over = most is not None and sum(parts.values()) > most * 100 * PER_CENT
        found = (conflicts.room(owner, kind, parts, most, self.views),) if over and most is not None else ()
        self.found.put(("room", "", owner, kind), found)
