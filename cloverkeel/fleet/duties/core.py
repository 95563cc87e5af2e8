"""Decides when to acquire, renew, give up and release leases: events in, actions out, no clock.

A holder counts its lease from when it sent the request that was granted. That is never later than the moment
from which the backend counts, and the holder stops a margin before the lease expires (docs/duties.md).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cloverkeel.fleet import invariants
from cloverkeel.fleet.duties.interface import (
    Action,
    BackendAnswer,
    BackendCall,
    CallAnswered,
    DutiesConfigured,
    Duty,
    DutyEnded,
    DutyFreed,
    DutyStarted,
    Event,
    Granted,
    Held,
    LogEvent,
    NotHeld,
    Shutdown,
    Unreachable,
    Verb,
)

RETRY_FRACTION = 0.1  # of the TTL: longest wait until a call of unknown outcome is retried
JITTER_FRACTION = 0.02  # of the TTL: spreads the calls of contenders that see the same lease end
CALL_TIMEOUT_FRACTION = 1.0  # of the TTL: a call not answered within it is given up


@dataclass(slots=True)
class Lease:
    """This process's state of one duty. `token` 0: not held."""

    duty: Duty
    token: int = 0
    valid_until_s: float = 0.0  # from then on the process must not act
    pending_call: BackendCall | None = None  # sent and not yet answered
    sent_at_s: float = 0.0  # when the last call was sent
    next_call_s: float = 0.0  # when to acquire or renew next, if no call is pending
    wanted: bool = True  # whether to acquire it again once it is not held


class LeaseManager:
    """Manages the leases of one process. `holder`: its name, unique among running processes."""

    def __init__(self, holder: str, rng: random.Random) -> None:
        self.holder, self.rng = holder, rng
        self.leases: dict[str, Lease] = {}
        self.last_call_id = 0
        self.shutting_down = False

    def current_token(self, now_s: float, duty: str) -> int | None:
        """The token to act under at this moment, or None if this process does not hold the duty."""
        lease = self.leases.get(duty)
        return lease.token if lease is not None and lease.token and now_s < lease.valid_until_s else None

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Processes an event and returns the actions to execute, in order."""
        out: list[Action] = []
        match event:
            case DutiesConfigured(duties):
                self._set_configured(now_s, duties, out)
            case CallAnswered(name, call_id, answer):
                lease = self.leases.get(name)
                if (
                    lease is not None
                    and lease.pending_call is not None
                    and lease.pending_call.call_id == call_id
                ):
                    self._handle_answer(now_s, lease, answer, out)
                elif isinstance(answer, Granted):
                    self._return_late_grant(name, answer.token, out)
            case DutyFreed(name):
                lease = self.leases.get(name)
                if lease is not None and not lease.token:
                    lease.next_call_s = min(lease.next_call_s, now_s + self._jitter_s(lease))
            case Shutdown():
                self.shutting_down = True
                for lease in self.leases.values():
                    self._release(now_s, lease, "leaves", out)
        self._run_due(now_s, out)
        return out

    def next_due_s(self) -> float:
        """When a `Tick` is next needed; infinity if never."""
        times = [float("inf")]
        for lease in self.leases.values():
            if lease.token:
                times.append(lease.valid_until_s)
            if lease.pending_call is not None:
                times.append(lease.sent_at_s + lease.duty.ttl_s * CALL_TIMEOUT_FRACTION)
            elif lease.wanted:
                times.append(lease.next_call_s)
        return min(times)

    # Configured duties

    def _set_configured(self, now_s: float, duties: tuple[Duty, ...], out: list[Action]) -> None:
        """Starts to contend for new duties, and releases those removed or given another TTL."""
        configured = {duty.name: duty for duty in duties}
        for name, lease in self.leases.items():
            if name not in configured:
                self._release(now_s, lease, "no longer named", out)
        for name, duty in configured.items():
            existing = self.leases.get(name)
            if existing is None:
                self.leases[name] = Lease(
                    duty, next_call_s=now_s + self.rng.random() * JITTER_FRACTION * duty.ttl_s
                )
                continue
            existing.wanted = not self.shutting_down
            if existing.duty != duty:  # another TTL: it applies only to a new grant
                self._release(now_s, existing, "another time to live", out)
                existing.duty, existing.next_call_s = duty, now_s + duty.ttl_s * JITTER_FRACTION
        for name in [
            other
            for other, lease in self.leases.items()
            if other not in configured and lease.pending_call is None
        ]:
            del self.leases[name]

    def _release(self, now_s: float, lease: Lease, reason: str, out: list[Action]) -> None:
        """Releases a lease if it is held; it is acquired again only after a change of its TTL."""
        lease.wanted = lease.wanted and reason == "another time to live"
        token = lease.token
        if token:
            self._end_holding(lease, reason, out)
            self._call_backend(now_s, lease, "release", token, out)

    # Answers

    def _handle_answer(self, now_s: float, lease: Lease, answer: BackendAnswer, out: list[Action]) -> None:
        assert lease.pending_call is not None
        verb, duty = lease.pending_call.verb, lease.duty
        lease.pending_call = None
        match answer:
            case Granted(token) if verb == "acquire":
                self._handle_grant(now_s, lease, token, out)
            case Granted(token) if verb == "renew" and lease.token == token:
                lease.valid_until_s = lease.sent_at_s + duty.holder_ttl_s
                lease.next_call_s = lease.sent_at_s + duty.renew_interval_s
            case Held(holder, token, _) if holder == self.holder and not lease.token:
                # Granted by a call whose answer was lost.
                self._call_backend(now_s, lease, "release", token, out)
            case Held(_, _, left_s):
                if lease.token:
                    self._end_holding(lease, "taken by another", out)
                # Sooner if the backend sees that it was released (`DutyFreed`).
                lease.next_call_s = now_s + max(left_s, duty.ttl_s * JITTER_FRACTION) + self._jitter_s(lease)
            case NotHeld():
                if lease.token:
                    self._end_holding(lease, "no longer this holder's", out)
                lease.next_call_s = now_s + self._jitter_s(lease)
            case Unreachable(reason):
                fields = (("duty", duty.name), ("verb", verb), ("reason", reason), ("token", lease.token))
                out.append(LogEvent("duties.unreachable", fields))
                lease.next_call_s = now_s + duty.ttl_s * RETRY_FRACTION * self.rng.uniform(0.5, 1.0)
        if not lease.wanted and not lease.token and lease.pending_call is None:
            del self.leases[duty.name]

    def _handle_grant(self, now_s: float, lease: Lease, token: int, out: list[Action]) -> None:
        duty = lease.duty
        lease.valid_until_s = lease.sent_at_s + duty.holder_ttl_s
        if not lease.wanted or now_s >= lease.valid_until_s:
            # The grant came too late to act under, or the duty is no longer wanted: give it back.
            out.append(LogEvent("duties.late", (("duty", duty.name), ("token", token))))
            self._call_backend(now_s, lease, "release", token, out)
            return
        if invariants.ON:
            invariants.check(lease.token == 0, "a duty starts only where it is not held", duty=duty.name)
        lease.token = token
        lease.next_call_s = lease.sent_at_s + duty.renew_interval_s
        out.append(DutyStarted(duty.name, token))

    def _return_late_grant(self, name: str, token: int, out: list[Action]) -> None:
        """Releases a grant that no pending call waits for, unless it is the lease held."""
        lease = self.leases.get(name)
        if lease is None or lease.token == token:
            return
        out.append(LogEvent("duties.late", (("duty", name), ("token", token))))
        self.last_call_id += 1
        out.append(BackendCall(lease.duty, "release", self.last_call_id, token))

    def _end_holding(self, lease: Lease, reason: str, out: list[Action]) -> None:
        out.append(DutyEnded(lease.duty.name, lease.token, reason))
        lease.token, lease.valid_until_s = 0, 0.0

    # Timers

    def _run_due(self, now_s: float, out: list[Action]) -> None:
        """Ends expired leases, gives up calls that timed out and makes the calls that are due."""
        for lease in list(self.leases.values()):
            duty = lease.duty
            if lease.token and now_s >= lease.valid_until_s:
                self._end_holding(lease, "not renewed in time", out)
            if (
                lease.pending_call is not None
                and now_s - lease.sent_at_s >= duty.ttl_s * CALL_TIMEOUT_FRACTION
            ):
                lease.pending_call = None  # an answer that still comes is ignored; a grant is released
                lease.next_call_s = now_s
                if not lease.wanted:
                    del self.leases[duty.name]
            if lease.pending_call is None and lease.wanted and now_s >= lease.next_call_s:
                self._call_backend(now_s, lease, "renew" if lease.token else "acquire", lease.token, out)

    def _call_backend(self, now_s: float, lease: Lease, verb: Verb, token: int, out: list[Action]) -> None:
        self.last_call_id += 1
        lease.pending_call, lease.sent_at_s = BackendCall(lease.duty, verb, self.last_call_id, token), now_s
        out.append(lease.pending_call)

    def _jitter_s(self, lease: Lease) -> float:
        return self.rng.random() * JITTER_FRACTION * lease.duty.ttl_s
