"""Applies merged views at a gateway: the index that matches requests, and the balancer's plan."""

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
INLINE_MAX = 32  # routes that are compiled in one turn, which takes about 1 ms; more are built in slices
SLICE_S = 0.001  # longest run of a build without a turn of the event loop
NO_ROUTE = 0  # the route number of requests without a route


def compile_hosts(target: dict[str, Any], names: Names) -> HostSelector:
    """The selector of a target's hosts. Names that the settings do not have are numbered as in the list."""
    return HostSelector(
        frozenset(name_id(name, names.kinds) for name in target.get("types", ())),
        frozenset(number for name in target.get("groups", ()) for number in group_ids(name)),
        frozenset(name_id(name, names.zones) for name in target.get("zones", ())),
        frozenset(label_id(name) for name in target.get("labels", ())),
    )


def compile_route(route: RouteView, names: Names) -> Route:
    """The balancer's form of a route. The remainder to 100 % goes to hosts that no target names; a target
    with share 0 gets nothing."""
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
    """The routes in service at one gateway; call `update` with each view of the merge, in order.

    The index and the balancer's plan always belong to the same view: both change in one turn of the event
    loop. If many routes changed, this happens some turns after `update`.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.numbers: dict[str, int] = {}  # by route name; kept as long as the route exists
        self.last_number = 0
        self.plan: dict[int, Route] = {}
        self.view: View | None = None  # in service
        self.next_view: View | None = None  # newest view that arrived during a build
        self.next_changed: frozenset[str] | None = (
            frozenset()
        )  # changed since the view being built; None: any
        self.building: Iterator[None] | None = None  # the remaining steps of the build under way
        self.traffic_split: tuple[Target, ...] = ()  # applies to all requests, whatever their route
        self._configure()
        self.index = Index(self.zone, self.numbers)

    def _configure(self) -> None:
        self.names = self.gateway.names
        zones = {number: name for name, number in self.names.zones.items()}
        self.zone: str = zones.get(self.gateway.settings.zone, "")

    def find(self, klass: bytes, caller: bytes, path: bytes) -> MatchedRoute | None:
        """The route of a request, or None; see Index.find."""
        return self.index.find(klass, caller, path)

    def update(self, view: View) -> None:
        """Put this view in service; it must follow the last one."""
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
        """Compile all routes again: with another configuration names may have other numbers."""
        self._configure()
        newest = self.next_view or self.view
        self.next_view, self.next_changed = None, frozenset()
        if self.building is None and newest is not None:
            self._start_build(newest)
        elif newest is not None:
            self.next_view, self.next_changed = newest, None

    def set_traffic_split(self, traffic_split: tuple[Target, ...]) -> None:
        """Split the requests of each route, and those without one, over these targets. Empty: no split."""
        self.traffic_split = traffic_split
        if self.next_view is not None or self.view is not None or self.building is not None:
            self.reconfigure()
        else:
            self._post_plan({})

    # Few changed routes: update in place.

    def _apply_inline(self, view: View, changed_names: frozenset[str]) -> None:
        plan = self.plan.copy()  # the balancer still uses the old one, which must not change
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
            plan.pop(self.numbers[route.name], None)  # the route is for other zones

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

    # Many changed routes: build in slices, then switch.

    def _start_build(self, view: View) -> None:
        gc_pause.pause()  # a collection over the built objects stalls all requests: 0.1 s at 10,000 routes
        self.building = self._build(view)
        self._run_slice()

    def _run_slice(self) -> None:
        """Run one slice of the build, and schedule the next or, at its end, the newest waiting view."""
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
            self.building = None  # a later view can still be built
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
        """Build index and plan in steps, and put them in service."""
        index, plan = Index(self.zone, self.numbers), dict[int, Route]()
        index.set_precedence(view.precedes)
        for route in view.routes.values():
            self._put(index, plan, route)
            yield
        for name in [name for name in self.numbers if name not in view.routes]:
            del self.numbers[name]
        self._activate(view, index, plan)
