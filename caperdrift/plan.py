"""The plan of routes as the module takes it: which servers a request may go to, and its caps. Pure data.

Routes only narrow: what a route does not say is as the settings have it (docs/routes.md).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class HostSelector:
    """Servers by what the list says of them: one of each kind that is named, any of a kind that is empty."""

    kinds: frozenset[int] = frozenset()
    groups: frozenset[int] = frozenset()
    zones: frozenset[int] = frozenset()
    labels: frozenset[int] = frozenset()
    none_of: tuple[HostSelector, ...] = ()  # and in none of these


@dataclass(slots=True, frozen=True)
class Target:
    """Servers, and the share (0 to 1) of a route's requests that is meant for them."""

    hosts: HostSelector
    share: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """What holds for the requests of one route. Shares sum to 1; no target: all servers."""

    targets: tuple[Target, ...] = ()
    max_attempts: int = 0  # 0: the settings'
    deadline_us: int = 0  # from the request's arrival; 0: the class's
    limit: int = 0  # requests at once, over all proxies; 0: none


@dataclass(slots=True, frozen=True)
class Plan:
    """Event: the routes in force from now on, by the number that requests name. Open ones keep theirs."""

    routes: Mapping[int, Route] = field(default_factory=dict)
