"""The transforms active in one gateway: an immutable set, in which each version has its circuit breaker.

The request path holds one reference to the current set. A call keeps the set with which it began until its
response.
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
MAX_CHAINS = 1_024  # distinct chains of routes for which a set caches its subset


@dataclass(slots=True, frozen=True)
class Refused:
    """The call must be refused: the transform `name`, which has `on_error refuse`, failed."""

    name: str
    reason: str


class InstalledTransform:
    """A transform's version in this gateway, with its breaker and counts; the same object is used in
    successive active sets.

    `share` is the fraction of calls, 0 to 1, that this version gets; another version of the same name gets
    the rest. `clock` returns monotonic microseconds.
    """

    def __init__(self, transform: Transform, share: float = 1.0, clock: Callable[[], int] = now_us) -> None:
        self.transform, self.manifest, self.clock = transform, transform.manifest, clock
        self.breaker = Breaker()
        self.counts: Counter[str] = (
            Counter()
        )  # ran, skipped (breaker), worse (comparison), and each Failure.kind
        self.last_failure = ""
        self._listeners: list[BreakerListener] = []
        self.set_share(share)

    def set_share(self, share: float) -> None:
        """Sets the fraction of calls from now on, and starts a new comparison: calls under another share
        are not comparable."""
        if not 0.0 <= share <= 1.0:
            raise ValueError(f"the share must be 0 to 1, not {share}")
        self.share, self._hash_limit = share, int(share * HASH_RANGE)
        self.comparison = Comparison()

    def on_breaker_change(self, listener: BreakerListener) -> None:
        """Adds a listener, called as `listener(name, sha256, state)` whenever the breaker has opened or
        closed."""
        self._listeners.append(listener)

    def is_in_share(self, call_id: str) -> bool:
        """Whether a call belongs to this version's share. Decided by a hash of the call id, so every
        gateway and every retry of the call decides alike."""
        return stable_id(f"{self.manifest.name}\0{call_id}", 8) < self._hash_limit

    def run(self, head: Head) -> Head | Failure | None:
        """Runs the transform and records the outcome in the breaker; None if the breaker does not allow
        it."""
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
        """Records whether hosts failed a call, within this version's share or not; opens the breaker if hosts
        fail significantly more of the calls within it."""
        if self.breaker.state is State.OPEN:
            return  # no call runs it, so there is nothing to compare
        if self.comparison.record(call_id, self.is_in_share(call_id), failed):
            self.counts["worse"] += 1
            self.last_failure = str(self.comparison)
            self._notify_listeners(self.breaker.reopen(self.clock()))

    def _notify_listeners(self, state: State) -> None:
        reason = {"why": self.last_failure} if state is State.OPEN else {}
        name, sha256 = self.manifest.name, self.transform.sha256
        events.event("transforms.trip", transform=name, sha256=sha256, state=state.value, **reason)
        for listener in self._listeners:
            try:
                listener(name, sha256, state)
            except Exception as error:  # a listener's error must not fail the current call
                events.event("transforms.listener_failed", transform=name, why=repr(error))

    def status(self) -> dict[str, Any]:
        """Its state for diagnosis."""
        return {
            "name": self.manifest.name, "owner": self.manifest.owner, "sha256": self.transform.sha256,
            "phase": self.manifest.phase, "share": self.share, "breaker": self.breaker.state.value,
            "counts": dict(self.counts), "last_failure": self.last_failure,
        }  # fmt: skip


class ActiveSet:
    """An immutable set of installed versions. Transforms run in the order of their names, each on the output
    of the one before. With a `chain`, only the transforms it names run, in its order.

    Raises ValueError if a name has more than one version with all calls, or more than one canary.
    """

    __slots__ = ("_chains", "_compared", "_request", "_response", "installed")

    def __init__(self, *installed: InstalledTransform, chain: tuple[str, ...] | None = None) -> None:
        if chain is not None:
            installed = tuple(version for version in installed if version.manifest.name in chain)
        self.installed = installed
        by_name: dict[str, list[InstalledTransform]] = {}
        for version in sorted(installed, key=lambda i: (i.manifest.name, i.share)):
            by_name.setdefault(version.manifest.name, []).append(version)
        for name, versions in by_name.items():
            if len(versions) > 2 or (len(versions) == 2 and not versions[0].share < versions[1].share == 1.0):
                raise ValueError(
                    f"{name}: at most one version, and one canary with a smaller share, are allowed"
                )
        # Two versions of one name are alternatives even if their phases differ.
        names = list(by_name.values())
        if chain is not None:
            names.sort(key=lambda versions: chain.index(versions[0].manifest.name))
        self._chains: dict[tuple[str, ...], ActiveSet] = {}  # subsets made so far
        self._request = self._of_phase("request", names)
        self._response = self._of_phase("response", names)
        self._compared = tuple(i for i in installed if i.share < 1.0 and i.manifest.phase == "request")

    def for_chain(self, chain: tuple[str, ...]) -> ActiveSet:
        """The subset for a route's chain of names, in the chain's order. Names without an active version are
        ignored."""
        subset = self._chains.get(chain)
        if subset is None:
            if len(self._chains) >= MAX_CHAINS:  # most belong to routes that no longer exist
                self._chains.clear()
            subset = self._chains[chain] = ActiveSet(*self.installed, chain=chain)
        return subset

    @staticmethod
    def _of_phase(
        phase: str, names: list[list[InstalledTransform]]
    ) -> tuple[tuple[InstalledTransform, ...], ...]:
        return tuple(tuple(v) for v in names if any(i.manifest.phase == phase for i in v))

    @property
    def has_response(self) -> bool:
        """Whether `response` may change anything."""
        return bool(self._response)

    @property
    def needs_outcomes(self) -> bool:
        """Whether `record_outcome` has to be called for calls that `request` let through."""
        return bool(self._compared)

    def record_outcome(self, klass: bytes, caller: bytes, path: bytes, call_id: str, failed: bool) -> None:
        """Records whether hosts failed a call that `request` let through. Calls that were refused, or
        abandoned by the client, prove nothing and are not recorded."""
        for version in self._compared:
            if version.manifest.applies(klass, caller, path):
                version.record_outcome(call_id, failed)

    def request(
        self, klass: bytes, caller: bytes, path: bytes, headers: list[Header], call_id: str
    ) -> list[Header] | Refused:
        """Returns a request's end-to-end headers as they are to be sent to a host. `path` has no query."""
        return self._apply("request", self._request, Head(tuple(headers), klass, caller, path), call_id)

    def response(
        self, klass: bytes, caller: bytes, path: bytes, headers: list[Header], call_id: str
    ) -> list[Header] | Refused:
        """Returns a host's response headers as they are to be sent to the client. The other arguments are
        those of the call."""
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
                    continue  # the canary's breaker is open: the other version gets its calls
                if isinstance(result, Head):
                    if invariants.ON:
                        check_invariant(manifest, head, result)
                    head = result
                elif manifest.on_error == "refuse":
                    return Refused(manifest.name, result.reason)
                break
        return list(head.headers)


def check_invariant(manifest: Manifest, before: Head, after: Head) -> None:
    """Logs a violation of the invariant that a run changes only headers in `writes`; the call goes on."""
    holds = guard.differs_only_in(manifest.writes, before.headers, after.headers)
    with contextlib.suppress(invariants.InvariantError):
        invariants.check(holds, "a head differs only in writes", transform=manifest.name)
