"""One division of all requests, laid over the targets of each route: pure."""

from __future__ import annotations

from dataclasses import replace

from caperdrift.plan import HostSelector, Route, Target


def split_route(route: Route, over: tuple[Target, ...]) -> Route:
    """The route with each of its targets split by `over`. A part in which no host is serves nothing: the
    module uses the target with the greatest share in its place."""
    if not over:
        return route
    if not route.targets:
        return replace(route, targets=over)
    targets = (
        Target(intersect(target.hosts, part.hosts), target.share * part.share)
        for target in route.targets
        for part in over
        if part.share > 0
    )
    return replace(route, targets=tuple(targets))


def intersect(one: HostSelector, other: HostSelector) -> HostSelector:
    """Hosts that are in both: of the one, and not of those that are not of the other."""
    return replace(one, none_of=(*one.none_of, HostSelector(none_of=(other,))))
