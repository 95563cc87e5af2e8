"""The schedule of events of one soak, drawn from the seed alone before anything starts."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from faultlab.soak.settings import Settings

QUIET_START_S = 2.0  # time without events after the start
GATEWAY_GAP_S = (1.5, 4.0)  # between two events of this group, drawn evenly; the same for the others
HOST_GAP_S = (1.0, 3.0)
DISCOVERY_GAP_S = (6.0, 12.0)
CROWD_GAP_S = (2.0, 5.0)
DRAIN_IN_OUTAGE_SHARE = 0.5  # share of discovery outages in whose first second a host begins to drain


class EventKind(Enum):
    """The kinds of events."""

    RESTART = "SIGTERM, SIGKILL at the earliest moment"
    RELOAD_RESTART = "SIGHUP, then SIGTERM at once, SIGKILL"
    RESTART_RELOAD = "SIGTERM, then SIGHUP at once, SIGKILL"
    RELOADS = "new configurations in a row, a SIGHUP each"
    KILL = "SIGKILL"
    HANG = "a host answers nothing"
    CLOSE = "a host closes its idle connections"
    RESET = "a host resets all its connections"
    ERRORS = "a host answers 500"
    DRAIN = "a host drains, is deleted, and returns cold"
    SILENT = "discovery sends no responses"
    REFUSED = "discovery refuses connections"
    LATE = "discovery answers late"
    IDLE_CLIENTS = "idle clients fill descriptors"
    BURST = "a burst of requests"


GATEWAY_KINDS = (
    EventKind.RESTART,
    EventKind.RELOAD_RESTART,
    EventKind.RESTART_RELOAD,
    EventKind.RELOADS,
    EventKind.KILL,
)
HOST_KINDS = (
    EventKind.HANG,
    EventKind.CLOSE,
    EventKind.RESET,
    EventKind.ERRORS,
    EventKind.DRAIN,
    EventKind.BURST,
)
DISCOVERY_KINDS = (EventKind.SILENT, EventKind.REFUSED, EventKind.LATE)
CROWD_KINDS = (EventKind.IDLE_CLIENTS,)


@dataclass(frozen=True)
class ScheduledEvent:
    """One event: `target` is the number of a gateway or host, `seconds` how long the event lasts."""

    at_s: float
    kind: EventKind
    target: int
    seconds: float


def schedule(settings: Settings) -> list[ScheduledEvent]:
    """All events of a soak, in order of time."""
    rng = random.Random(f"schedule {settings.seed}")
    groups = [
        (GATEWAY_KINDS, GATEWAY_GAP_S, settings.gateways),
        (HOST_KINDS, HOST_GAP_S, settings.hosts),
        (DISCOVERY_KINDS, DISCOVERY_GAP_S, settings.gateways),
    ]
    if settings.crowd:
        groups.append((CROWD_KINDS, CROWD_GAP_S, settings.gateways))
    planned = []
    for kinds, gap_s, targets in groups:
        at_s = QUIET_START_S + rng.uniform(*gap_s)
        while at_s < settings.duration_s:
            planned.append(
                ScheduledEvent(at_s, rng.choice(kinds), rng.randrange(targets), rng.uniform(1.0, 4.0))
            )
            at_s += rng.uniform(*gap_s)
    outages = [event for event in planned if event.kind in (EventKind.SILENT, EventKind.REFUSED)]
    for outage in outages:
        if rng.random() < DRAIN_IN_OUTAGE_SHARE:
            at_s = outage.at_s + rng.uniform(0.0, 1.0)
            planned.append(ScheduledEvent(at_s, EventKind.DRAIN, rng.randrange(settings.hosts), 0.0))
    return sorted(planned, key=lambda each: each.at_s)
