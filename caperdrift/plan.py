"""The plan of routes: which servers a route's requests may go to, and its limits. Data types only.

A route can only restrict; for all that it does not set, the settings apply (docs/routes.md).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class HostSelector:
    """Selects servers by their entry in the server list.

    A server is selected if it matches every set that is not empty and none of the selectors in `none_of`.
    """

    kinds: frozenset[int] = frozenset()
    groups: frozenset[int] = frozenset()
    zones: frozenset[int] = frozenset()
    labels: frozenset[int] = frozenset()  # any one of these is enough
    none_of: tuple[HostSelector, ...] = ()


@dataclass(slots=True, frozen=True)
class Target:
    """Servers, and the share of a route's requests that is intended for them."""

    hosts: HostSelector
    share: float = 1.0  # from 0 to 1


@dataclass(slots=True, frozen=True)
class Route:
    """Targets and limits of one route."""

    targets: tuple[Target, ...] = ()  # their shares sum to 1; empty: all servers
    max_attempts: int = 0  # of one request; 0: as in the settings
    deadline_us: int = 0  # from the request's arrival; 0: as in the request's class
    limit: int = 0  # pending requests at once, over all proxies; 0: no limit


@dataclass(slots=True, frozen=True)
class Plan:
    """Event: the routes in force from now on. Pending requests keep the route that they arrived with."""

    routes: Mapping[int, Route] = field(default_factory=dict)  # by RequestArrived.route
