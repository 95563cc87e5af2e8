"""Applies one split of all traffic, as of a rollout, to the targets of each route. Pure."""

from __future__ import annotations

from dataclasses import replace

from caperdrift.plan import HostSelector, Route, Target


def split_route(route: Route, over: tuple[Target, ...]) -> Route:
    """The route with each of its targets split by `over`.

    A part that no host matches gets no requests; the balancer uses the target with the greatest share
    instead.
    """
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
    """The hosts that both selectors match: those of `one`, except those that `other` does not match."""
    return replace(one, none_of=(*one.none_of, HostSelector(none_of=(other,))))
