"""The gateway's engine as activation uses it: versions staged by id, and the set that the gateway runs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from caperdrift.policy.breaker import State

from cloverkeel.transforms.activation.records import Epoch
from cloverkeel.transforms.active_set import ActiveSet, InstalledTransform
from cloverkeel.transforms.compiler import Compiled, compile, failed_cases
from cloverkeel.transforms.source import SourceError, parse

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

CANDIDATE_SHARE = 0.75  # of a canary's calls: the rest goes without the candidate
NO_CANDIDATES: Mapping[str, str] = {}


def compile_checked(source: bytes) -> Compiled:
    """Compiled, with its golden cases true. Raises ValueError with the faults, a line each."""
    try:
        compiled = compile(parse(source))
    except SourceError as error:
        raise ValueError("\n".join(map(str, error.faults))) from None
    if faults := failed_cases(compiled):
        raise ValueError("\n".join(map(str, faults)))
    return compiled


def candidate_predecessors(epoch: Epoch, active: Mapping[str, str]) -> dict[str, str]:
    """By name, the version before each candidate among those that a member runs; "": none."""
    slots = {name: epoch.slot(name) for name in active}
    return {name: slots[name].active for name, id in active.items() if slots[name].candidate == id}


class Engine:
    """What is staged here. `own`: what the gateway's configuration names, which runs come what may."""

    def __init__(self, gateway: Gateway, tripped: Callable[[str, bool], None]) -> None:
        self.gateway, self.report_breaker = gateway, tripped
        self.configured = gateway.transforms.installed if gateway.transforms is not None else ()
        self.staged: dict[str, InstalledTransform] = {}

    def name_conflict(self, name: str) -> str:
        """Why nothing may be published under a name here, or ""."""
        taken = any(each.manifest.name == name for each in self.configured)
        return f"{name} is named by this gateway's own configuration" if taken else ""

    def install(self, id: str, name: str, compiled: Compiled) -> str:
        """Keep a version to be run; why not, or ""."""
        if compiled.manifest.name != name:
            return f"its own name is {compiled.manifest.name}"
        if why := self.name_conflict(name):
            return why
        installed = self.staged[id] = InstalledTransform(compiled)
        installed.on_breaker_change(
            lambda _name, _sha256, state: self.report_breaker(id, state is not State.CLOSED)
        )
        return ""

    def activate(self, versions: Mapping[str, str], before: Mapping[str, str] = NO_CANDIDATES) -> None:
        """From now on the gateway runs these; a call under way keeps the set that it came under. `before`: of
        each name whose version is a candidate, the one that it may replace ("": none). Of the request phase
        such a one gets COMPARED of the calls, to be compared with the rest."""
        chosen = []
        for name, id in versions.items():
            installed = self.staged[id]
            is_compared = name in before and installed.manifest.phase == "request"
            share = CANDIDATE_SHARE if is_compared else 1.0
            if installed.share != share:
                installed.set_share(share)
            chosen.append(installed)
            if is_compared and (other := self.staged.get(before[name])) is not None:
                chosen.append(other)
        self.gateway.transforms = ActiveSet(*self.configured, *chosen) if self.configured or chosen else None

    def retain(self, wanted: set[str]) -> None:
        self.staged = {id: each for id, each in self.staged.items() if id in wanted}
