"""From the merged view to what a gateway serves by: the index that matches requests, the module's plan."""

from __future__ import annotations

from collections.abc import Iterator
from time import perf_counter
from typing import TYPE_CHECKING, Any

from caperdrift.plan import HostSelector, Plan, Route, Target

from cloverkeel.config import Names
from cloverkeel.fleet.routes.dividing import divided
from cloverkeel.host_entries import group_ids, label_id, name_id
from cloverkeel.fleet.routes import passes
from cloverkeel.fleet.routes.fields import PER_CENT, share_of
from cloverkeel.fleet.routes.index import Index, Matched
from cloverkeel.fleet.routes.interface import RouteView, View

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

WHOLE = 100 * PER_CENT
AT_ONCE = 32  # routes that are compiled in one turn: a millisecond's work; more are built aside, in slices
SLICE_S = 0.001
NO_ROUTE = 0  # the number that requests without a route name


def compile_hosts(target: dict[str, Any], names: Names) -> HostSelector:
    """Hosts as the list will number them; names that the settings do not have are numbered all the same."""
    return HostSelector(
        frozenset(name_id(name, names.kinds) for name in target.get("types", ())),
        frozenset(number for name in target.get("groups", ()) for number in group_ids(name)),
        frozenset(name_id(name, names.zones) for name in target.get("zones", ())),
        frozenset(label_id(name) for name in target.get("labels", ())),
    )


def compile_route(route: RouteView, names: Names) -> Route:
    """What is left of 100 % goes to the hosts that no target names; a target without a share gets nothing."""
    values = route.values
    shares = [(compile_hosts(target, names), share_of(target)) for target in values.get("targets") or ()]
    left = WHOLE - sum(share for _, share in shares)
    if shares and left > 0:
        shares.append((HostSelector(none_of=tuple(hosts for hosts, _ in shares)), left))
    return Route(
        tuple(Target(hosts, share / WHOLE) for hosts, share in shares if share),
        max_attempts=values.get("attempts") or 0,
        deadline_us=(values.get("deadline_ms") or 0) * 1000,
        limit=values.get("limit") or 0,
    )


class Serving:
    """`take` each view of the merge, in order. A request sees the index and the module the plan of one view:
    both change in one turn of the loop, where many routes differ some turns later."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.numbers: dict[str, int] = {}  # of each route's name, as long as the route lasts
        self.last_number = 0
        self.plan: dict[int, Route] = {}
        self.view: View | None = None  # in service
        self.next: View | None = None  # to be in service once what is being built is
        self.touched: frozenset[str] | None = frozenset()  # by views since the one that is being built
        self.building: Iterator[None] | None = None
        self.over: tuple[Target, ...] = ()  # what divides all requests, whatever their route
        self._configure()
        self.index = Index(self.zone, self.numbers)

    def _configure(self) -> None:
        self.names = self.gateway.names
        zones = {number: name for name, number in self.names.zones.items()}
        self.zone: str = zones.get(self.gateway.settings.zone, "")

    def find(self, klass: bytes, caller: bytes, path: bytes) -> Matched | None:
        """The route of a request; see Index.find."""
        return self.index.find(klass, caller, path)

    def take(self, view: View) -> None:
        """Serve by this view, which follows the one taken before it."""
        if self.building is not None:
            self.next = view
            none = self.touched is None or view.touched is None
            self.touched = None if none else (self.touched or frozenset()) | (view.touched or frozenset())
        elif view.touched is None or len(view.touched) > AT_ONCE or self.view is None:
            self._begin(view)
        else:
            self._apply(view, view.touched)

    def follow(self) -> None:
        """The gateway goes by another configuration, and names may have other numbers: compile all anew."""
        self._configure()
        newest = self.next or self.view
        self.next, self.touched = None, frozenset()
        if self.building is None and newest is not None:
            self._begin(newest)
        elif newest is not None:
            self.next, self.touched = newest, None

    def divide(self, over: tuple[Target, ...]) -> None:
        """Split the requests of each route, and those of none, over these; empty: no longer."""
        self.over = over
        if self.next is not None or self.view is not None or self.building is not None:
            self.follow()
        else:
            self._post({})

    # A few routes: in place

    def _apply(self, view: View, touched: frozenset[str]) -> None:
        plan = self.plan.copy()  # the module holds the other, which must not change under it
        self.index.order(view.behind)
        for name in touched:
            route = view.routes.get(name)
            if route is None:
                self.index.remove(name)
                plan.pop(self.numbers.pop(name, 0), None)
            else:
                self._put(self.index, plan, route)
        self._serve(view, self.index, plan)

    def _put(self, index: Index, plan: dict[int, Route], route: RouteView) -> None:
        if route.name not in self.numbers:
            self.last_number += 1
            self.numbers[route.name] = self.last_number
        index.put(route)
        if route.name in index:
            plan[self.numbers[route.name]] = divided(compile_route(route, self.names), self.over)
        else:
            plan.pop(self.numbers[route.name], None)  # of other zones

    def _serve(self, view: View, index: Index, plan: dict[int, Route]) -> None:
        self.view, self.index = view, index
        self._post(plan)

    def _post(self, plan: dict[int, Route]) -> None:
        plan.pop(NO_ROUTE, None)
        if self.over:
            plan[NO_ROUTE] = Route(self.over)
        self.plan = plan
        event = Plan(plan)
        self.gateway.post(lambda: event)

    # Many: aside, then at once

    def _begin(self, view: View) -> None:
        passes.hold()  # a pass over all that is built holds up every request: 0.1 s at 10,000 routes
        self.building = self._build(view)
        self._go_on()

    def _go_on(self) -> None:
        """One slice; the loop goes round before the next."""
        if self.gateway.closed:
            self.building = None
            passes.release()
            return
        until_s = perf_counter() + SLICE_S
        try:
            for _ in self.building or ():
                if perf_counter() >= until_s:
                    self.gateway.loop.call_soon(self._go_on)
                    return
        except Exception:
            self.building = None  # a later view is not held up by one that could not be compiled
            passes.release()
            raise
        if self.building is not None:
            self.building = None
            passes.release(freeze=True)
        view, touched = self.next, self.touched
        self.next, self.touched = None, frozenset()
        if view is not None and touched is not None and len(touched) <= AT_ONCE:
            self._apply(view, touched)
        elif view is not None:
            self._begin(view)

    def _build(self, view: View) -> Iterator[None]:
        index, plan = Index(self.zone, self.numbers), dict[int, Route]()
        index.order(view.behind)
        for route in view.routes.values():
            self._put(index, plan, route)
            yield
        for name in [name for name in self.numbers if name not in view.routes]:
            del self.numbers[name]
        self._serve(view, index, plan)
