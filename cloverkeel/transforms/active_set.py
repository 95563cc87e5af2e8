"""What is active in one gateway: an immutable set of transforms, each with the breaker that lets it run.

The request path holds one reference to a set; a call keeps the set that it came under until its answer.
"""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

from caperdrift.policy.breaker import Breaker, State

from cloverkeel.clock import now_us
from cloverkeel.config import stable_id
from cloverkeel.fleet import events, invariants
from cloverkeel.http1 import Header
from cloverkeel.transforms import guard
from cloverkeel.transforms.comparison import Comparison
from cloverkeel.transforms.protocol import Failure, Head, Manifest, Transform

BreakerListener = Callable[[str, str, State], None]
HASH_RANGE = 1 << 64
MAX_CHAINS = 1_024  # different ones of routes that a set keeps made


@dataclass(slots=True, frozen=True)
class Refused:
    """The call is not to go on: `name`, whose owner chose `on_error refuse`, failed."""

    name: str
    reason: str


class InstalledTransform:
    """A version in this gateway: its breaker and counts go from set to set with it.

    `share` is the part of calls, 0 to 1, that it gets where another version of the same name has the rest;
    `clock` gives monotonic microseconds.
    """

    def __init__(self, transform: Transform, share: float = 1.0, clock: Callable[[], int] = now_us) -> None:
        self.transform, self.manifest, self.clock = transform, transform.manifest, clock
        self.breaker = Breaker()
        self.counts: Counter[str] = Counter()  # ran, skipped (breaker), and each kind of failure
        self.last_failure = ""
        self._listeners: list[BreakerListener] = []
        self.set_share(share)

    def set_share(self, share: float) -> None:
        """From now on this part of the calls; those entered so far are compared with none that come."""
        if not 0.0 <= share <= 1.0:
            raise ValueError(f"a share is 0 to 1, not {share}")
        self.share, self._hash_limit = share, int(share * HASH_RANGE)
        self.comparison = Comparison()

    def on_breaker_change(self, listener: BreakerListener) -> None:
        """`listener(name, sha256, state)` each time that the breaker has opened or closed."""
        self._listeners.append(listener)

    def is_in_share(self, call_id: str) -> bool:
        """Whether a call is of this version's share: the same call always is or never, at every gateway."""
        return stable_id(f"{self.manifest.name}\0{call_id}", 8) < self._hash_limit

    def run(self, head: Head) -> Head | Failure | None:
        """One run, entered in the breaker; None where the breaker does not let it."""
        breaker, now_us, trial = self.breaker, self.clock(), 0
        if breaker.state is not State.CLOSED:
            if not breaker.allow(now_us):
                self.counts["skipped"] += 1
                return None
            trial = breaker.start_trial()
        result = guard.run(self.transform, head)
        failed = isinstance(result, Failure)
        if isinstance(result, Failure):
            self.counts[result.kind] += 1
            self.last_failure = f"{result.kind}: {result.reason}"
        else:
            self.counts["ran"] += 1
        changed = breaker.record(now_us, failed, trial, 0.0)
        if changed is not None:
            self._notify_listeners(changed)
        return result

    def record_outcome(self, call_id: str, failed: bool) -> None:
        """Hosts failed a call, of this version's share or not, or served it."""
        if self.breaker.state is State.OPEN:
            return  # none has it now
        if self.comparison.record(call_id, self.is_in_share(call_id), failed):
            self.counts["worse"] += 1
            self.last_failure = str(self.comparison)
            self._notify_listeners(self.breaker.reopen(self.clock()))

    def _notify_listeners(self, state: State) -> None:
        why = {"why": self.last_failure} if state is State.OPEN else {}
        name, sha256 = self.manifest.name, self.transform.sha256
        events.event("transforms.trip", transform=name, sha256=sha256, state=state.value, **why)
        for listener in self._listeners:
            try:
                listener(name, sha256, state)
            except Exception as error:  # guards the call that is under way against the listener's trouble
                events.event("transforms.listener_failed", transform=name, why=repr(error))

    def status(self) -> dict[str, Any]:
        return {
            "name": self.manifest.name, "owner": self.manifest.owner, "sha256": self.transform.sha256,
            "phase": self.manifest.phase, "share": self.share, "breaker": self.breaker.state.value,
            "counts": dict(self.counts), "last_failure": self.last_failure,
        }  # fmt: skip


class ActiveSet:
    """Immutable. Transforms run in the order of their names, each on what the one before left; of a
    `chain` its names alone, in its order.

    Raises ValueError where a name has more than one version with all of the calls, or more than one canary.
    """

    __slots__ = ("_chains", "_compared", "_request", "_response", "installed")

    def __init__(self, *installed: InstalledTransform, chain: tuple[str, ...] | None = None) -> None:
        if chain is not None:
            installed = tuple(each for each in installed if each.manifest.name in chain)
        self.installed = installed
        by_name: dict[str, list[InstalledTransform]] = {}
        for each in sorted(installed, key=lambda i: (i.manifest.name, i.share)):
            by_name.setdefault(each.manifest.name, []).append(each)
        for name, versions in by_name.items():
            if len(versions) > 2 or (len(versions) == 2 and not versions[0].share < versions[1].share == 1.0):
                raise ValueError(f"{name}: one version, and one canary of a smaller share, at most")
        # A name's two versions are one choice, though they may differ in phase.
        names = list(by_name.values())
        if chain is not None:
            names.sort(key=lambda versions: chain.index(versions[0].manifest.name))
        self._chains: dict[tuple[str, ...], ActiveSet] = {}  # made so far
        self._request = self._of_phase("request", names)
        self._response = self._of_phase("response", names)
        self._compared = tuple(i for i in installed if i.share < 1.0 and i.manifest.phase == "request")

    def for_chain(self, chain: tuple[str, ...]) -> ActiveSet:
        """A route's transforms of this set, in the route's order; what is not there is passed over."""
        made = self._chains.get(chain)
        if made is None:
            if len(self._chains) >= MAX_CHAINS:  # of routes that are long gone, most of them
                self._chains.clear()
            made = self._chains[chain] = ActiveSet(*self.installed, chain=chain)
        return made

    @staticmethod
    def _of_phase(
        phase: str, names: list[list[InstalledTransform]]
    ) -> tuple[tuple[InstalledTransform, ...], ...]:
        return tuple(tuple(v) for v in names if any(i.manifest.phase == phase for i in v))

    @property
    def has_response(self) -> bool:
        return bool(self._response)

    @property
    def needs_outcomes(self) -> bool:
        """Whether `answered` wants to hear of calls."""
        return bool(self._compared)

    def record_outcome(self, klass: bytes, caller: bytes, path: bytes, call_id: str, failed: bool) -> None:
        """What hosts made of a call that `request` passed on. Those refused or left say nothing."""
        for version in self._compared:
            if version.manifest.applies(klass, caller, path):
                version.record_outcome(call_id, failed)

    def request(
        self, klass: bytes, caller: bytes, path: bytes, headers: list[Header], call_id: str
    ) -> list[Header] | Refused:
        """The end-to-end headers of a request as they go on to a host; `path` is without its query."""
        return self._apply("request", self._request, Head(tuple(headers), klass, caller, path), call_id)

    def response(
        self, klass: bytes, caller: bytes, path: bytes, headers: list[Header], call_id: str
    ) -> list[Header] | Refused:
        """The same of a host's answer, for the call that it answers."""
        return self._apply("response", self._response, Head(tuple(headers), klass, caller, path), call_id)

    def _apply(
        self,
        phase: Literal["request", "response"],
        names: tuple[tuple[InstalledTransform, ...], ...],
        head: Head,
        call_id: str,
    ) -> list[Header] | Refused:
        for versions in names:
            for version in versions:
                if version.share < 1.0 and not version.is_in_share(call_id):
                    continue
                manifest = version.manifest
                if manifest.phase != phase or not manifest.applies(head.klass, head.caller, head.path):
                    break
                result = version.run(head)
                if result is None:
                    continue  # a canary's breaker is open: the other has its calls
                if isinstance(result, Head):
                    if invariants.ON:
                        check_invariant(manifest, head, result)
                    head = result
                elif manifest.on_error == "refuse":
                    return Refused(manifest.name, result.reason)
                break
        return list(head.headers)


def check_invariant(manifest: Manifest, came: Head, leaves: Head) -> None:
    """Log where the invariant of the whole part is broken; the call goes on."""
    kept = guard.differs_only_in(manifest.writes, came.headers, leaves.headers)
    with contextlib.suppress(invariants.InvariantError):
        invariants.check(kept, "a head differs only in writes", transform=manifest.name)
