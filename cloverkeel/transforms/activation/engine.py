"""Compiles published versions, keeps the staged ones by id, and sets the gateway's active set."""

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

CANDIDATE_SHARE = 0.75  # of the calls at a canary; the others do not get the candidate, for comparison
NO_CANDIDATES: Mapping[str, str] = {}  # of `candidate_predecessors`


def compile_checked(source: bytes) -> Compiled:
    """Compiles a source file and runs its golden cases. Raises ValueError with the faults and failed
    cases, one per line."""
    try:
        compiled = compile(parse(source))
    except SourceError as error:
        raise ValueError("\n".join(map(str, error.faults))) from None
    if faults := failed_cases(compiled):
        raise ValueError("\n".join(map(str, faults)))
    return compiled


def candidate_predecessors(epoch: Epoch, active: Mapping[str, str]) -> dict[str, str]:
    """For each candidate among the versions that a member runs: its name, and the active version that it may
    replace ("": none)."""
    slots = {name: epoch.slot(name) for name in active}
    return {name: slots[name].active for name, id in active.items() if slots[name].candidate == id}


class Engine:
    """The versions staged at one gateway. `configured` are the transforms that the gateway's own
    configuration names; they always run."""

    def __init__(self, gateway: Gateway, report_breaker: Callable[[str, bool], None]) -> None:
        self.gateway, self.report_breaker = gateway, report_breaker
        self.configured = gateway.transforms.installed if gateway.transforms is not None else ()
        self.staged: dict[str, InstalledTransform] = {}

    def name_conflict(self, name: str) -> str:
        """Why a name cannot be published at this gateway, or ""."""
        taken = any(transform.manifest.name == name for transform in self.configured)
        return f"{name} is already in use by this gateway's own configuration" if taken else ""

    def install(self, id: str, name: str, compiled: Compiled) -> str:
        """Keeps a compiled version as staged. Returns why that is not possible, or ""."""
        if compiled.manifest.name != name:
            return f"the name in its source is {compiled.manifest.name}"
        if reason := self.name_conflict(name):
            return reason
        installed = self.staged[id] = InstalledTransform(compiled)
        installed.on_breaker_change(
            lambda _name, _sha256, state: self.report_breaker(id, state is not State.CLOSED)
        )
        return ""

    def activate(self, versions: Mapping[str, str], before: Mapping[str, str] = NO_CANDIDATES) -> None:
        """Makes the gateway run these versions from now on; a call in progress keeps the set with which it
        began.

        `before`: for each name whose version is a candidate, the version that it may replace ("": none). A
        candidate of the request phase gets CANDIDATE_SHARE of the calls and is compared with the rest.
        """
        chosen = []
        for name, id in versions.items():
            installed = self.staged[id]
            is_compared = name in before and installed.manifest.phase == "request"
            share = CANDIDATE_SHARE if is_compared else 1.0
            if installed.share != share:
                installed.set_share(share)
            chosen.append(installed)
            if is_compared and (predecessor := self.staged.get(before[name])) is not None:
                chosen.append(predecessor)
        self.gateway.transforms = ActiveSet(*self.configured, *chosen) if self.configured or chosen else None

    def retain(self, wanted: set[str]) -> None:
        """Drops all staged versions except these."""
        self.staged = {id: staged for id, staged in self.staged.items() if id in wanted}
