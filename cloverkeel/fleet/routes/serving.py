"""From the merged view to what a gateway serves by: the index that matches requests, the module's plan."""

from __future__ import annotations

from collections.abc import Iterator
from time import perf_counter
from typing import TYPE_CHECKING, Any

from caperdrift.plan import HostSelector, Plan, Route, Target

from cloverkeel.config import Names
from cloverkeel.fleet.routes.traffic_split import split_route
from cloverkeel.host_entries import group_ids, label_id, name_id
from cloverkeel.fleet.routes import gc_pause
from cloverkeel.fleet.routes.fields import UNITS_PER_PERCENT, share_units
from cloverkeel.fleet.routes.index import Index, MatchedRoute
from cloverkeel.fleet.routes.interface import RouteView, View

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

FULL_SHARE = 100 * UNITS_PER_PERCENT
INLINE_MAX = 32  # routes that are compiled in one turn: a millisecond's work; more are built aside, in slices
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
    shares = [(compile_hosts(target, names), share_units(target)) for target in values.get("targets") or ()]
    remainder = FULL_SHARE - sum(share for _, share in shares)
    if shares and remainder > 0:
        shares.append((HostSelector(none_of=tuple(hosts for hosts, _ in shares)), remainder))
    return Route(
        tuple(Target(hosts, share / FULL_SHARE) for hosts, share in shares if share),
        max_attempts=values.get("attempts") or 0,
        deadline_us=(values.get("deadline_ms") or 0) * 1000,
        limit=values.get("limit") or 0,
    )


class RouteTable:
    """`take` each view of the merge, in order. A request sees the index and the module the plan of one view:
    both change in one turn of the loop, where many routes differ some turns later."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.numbers: dict[str, int] = {}  # of each route's name, as long as the route lasts
        self.last_number = 0
        self.plan: dict[int, Route] = {}
        self.view: View | None = None  # in service
        self.next_view: View | None = None  # to be in service once what is being built is
        self.next_changed: frozenset[str] | None = frozenset()  # by views since the one that is being built
        self.building: Iterator[None] | None = None
        self.traffic_split: tuple[Target, ...] = ()  # what divides all requests, whatever their route
        self._configure()
        self.index = Index(self.zone, self.numbers)

    def _configure(self) -> None:
        self.names = self.gateway.names
        zones = {number: name for name, number in self.names.zones.items()}
        self.zone: str = zones.get(self.gateway.settings.zone, "")

    def find(self, klass: bytes, caller: bytes, path: bytes) -> MatchedRoute | None:
        """The route of a request; see Index.find."""
        return self.index.find(klass, caller, path)

    def update(self, view: View) -> None:
        """Serve by this view, which follows the one taken before it."""
        if self.building is not None:
            self.next_view = view
            unknown = self.next_changed is None or view.changed_routes is None
            self.next_changed = (
                None if unknown else (self.next_changed or frozenset()) | (view.changed_routes or frozenset())
            )
        elif view.changed_routes is None or len(view.changed_routes) > INLINE_MAX or self.view is None:
            self._start_build(view)
        else:
            self._apply_inline(view, view.changed_routes)

    def reconfigure(self) -> None:
        """The gateway goes by another configuration, and names may have other numbers: compile all anew."""
        self._configure()
        newest = self.next_view or self.view
        self.next_view, self.next_changed = None, frozenset()
        if self.building is None and newest is not None:
            self._start_build(newest)
        elif newest is not None:
            self.next_view, self.next_changed = newest, None

    def set_traffic_split(self, traffic_split: tuple[Target, ...]) -> None:
        """Split the requests of each route, and those of none, over these; empty: no longer."""
        self.traffic_split = traffic_split
        if self.next_view is not None or self.view is not None or self.building is not None:
            self.reconfigure()
        else:
            self._post_plan({})

    # A few routes: in place

    def _apply_inline(self, view: View, changed_names: frozenset[str]) -> None:
        plan = self.plan.copy()  # the module holds the other, which must not change under it
        self.index.set_precedence(view.precedes)
        for name in changed_names:
            route = view.routes.get(name)
            if route is None:
                self.index.remove(name)
                plan.pop(self.numbers.pop(name, 0), None)
            else:
                self._put(self.index, plan, route)
        self._activate(view, self.index, plan)

    def _put(self, index: Index, plan: dict[int, Route], route: RouteView) -> None:
        if route.name not in self.numbers:
            self.last_number += 1
            self.numbers[route.name] = self.last_number
        index.put(route)
        if route.name in index:
            plan[self.numbers[route.name]] = split_route(compile_route(route, self.names), self.traffic_split)
        else:
            plan.pop(self.numbers[route.name], None)  # of other zones

    def _activate(self, view: View, index: Index, plan: dict[int, Route]) -> None:
        self.view, self.index = view, index
        self._post_plan(plan)

    def _post_plan(self, plan: dict[int, Route]) -> None:
        plan.pop(NO_ROUTE, None)
        if self.traffic_split:
            plan[NO_ROUTE] = Route(self.traffic_split)
        self.plan = plan
        event = Plan(plan)
        self.gateway.post(lambda: event)

    # Many: aside, then at once

    def _start_build(self, view: View) -> None:
        gc_pause.pause()  # a pass over all that is built holds up every request: 0.1 s at 10,000 routes
        self.building = self._build(view)
        self._run_slice()

    def _run_slice(self) -> None:
        """One slice; the loop goes round before the next."""
        if self.gateway.closed:
            self.building = None
            gc_pause.resume()
            return
        until_s = perf_counter() + SLICE_S
        try:
            for _ in self.building or ():
                if perf_counter() >= until_s:
                    self.gateway.loop.call_soon(self._run_slice)
                    return
        except Exception:
            self.building = None  # a later view is not held up by one that could not be compiled
            gc_pause.resume()
            raise
        if self.building is not None:
            self.building = None
            gc_pause.resume(freeze=True)
        view, changed_names = self.next_view, self.next_changed
        self.next_view, self.next_changed = None, frozenset()
        if view is not None and changed_names is not None and len(changed_names) <= INLINE_MAX:
            self._apply_inline(view, changed_names)
        elif view is not None:
            self._start_build(view)

    def _build(self, view: View) -> Iterator[None]:
        index, plan = Index(self.zone, self.numbers), dict[int, Route]()
        index.set_precedence(view.precedes)
        for route in view.routes.values():
            self._put(index, plan, route)
            yield
        for name in [name for name in self.numbers if name not in view.routes]:
            del self.numbers[name]
        self._activate(view, index, plan)
