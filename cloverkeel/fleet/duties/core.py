"""When to ask for a duty, renew it, act under it, step down and let go: events in, actions out, no clock.

A process counts its time from the moment at which it sent the request that was granted, which is never later
than the moment from which the backend counts, and stops a margin earlier (docs/duties.md).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from cloverkeel.fleet import invariants
from cloverkeel.fleet.duties.interface import (
    Action,
    Answer,
    Answered,
    Ask,
    Begin,
    Changed,
    Duty,
    End,
    Event,
    Gone,
    Granted,
    Held,
    Leave,
    Named,
    Note,
    Unreachable,
    Verb,
)

AGAIN = 0.1  # of the time to live: until a call that came to nothing is made again, at most
SPREAD = 0.02  # of the time to live: contenders that see one lease end ask at moments of their own
LOST = 1.0  # times the time to live: a call that has not been answered for so long is given up


@dataclass(slots=True)
class Lease:
    """One duty as this process has it. `token` 0: not held."""

    duty: Duty
    token: int = 0
    until_s: float = 0.0  # acting ends here
    asked: Ask | None = None  # the call that is out
    sent_s: float = 0.0
    next_s: float = 0.0  # when to ask next
    wanted: bool = True


class Duties:
    """One process's duties. `holder`: its name, no other process's at the same time."""

    def __init__(self, holder: str, rng: random.Random) -> None:
        self.holder, self.rng = holder, rng
        self.leases: dict[str, Lease] = {}
        self.number = 0
        self.leaving = False

    def may_act(self, now_s: float, duty: str) -> int | None:
        """The token to act under now, or None where this process does not hold the duty at this moment."""
        lease = self.leases.get(duty)
        return lease.token if lease is not None and lease.token and now_s < lease.until_s else None

    def handle(self, now_s: float, event: Event) -> list[Action]:
        out: list[Action] = []
        match event:
            case Named(duties):
                self._name(now_s, duties, out)
            case Answered(name, number, answer):
                lease = self.leases.get(name)
                if lease is not None and lease.asked is not None and lease.asked.number == number:
                    self._answered(now_s, lease, answer, out)
                elif isinstance(answer, Granted):
                    self._late(name, answer.token, out)
            case Changed(name):
                lease = self.leases.get(name)
                if lease is not None and not lease.token:
                    lease.next_s = min(lease.next_s, now_s + self._spread(lease))
            case Leave():
                self.leaving = True
                for lease in self.leases.values():
                    self._let_go(now_s, lease, "leaves", out)
        self._due(now_s, out)
        return out

    def due_s(self) -> float:
        """When a `Tick` next has something to do; infinite: never."""
        times = [float("inf")]
        for lease in self.leases.values():
            if lease.token:
                times.append(lease.until_s)
            if lease.asked is not None:
                times.append(lease.sent_s + lease.duty.ttl_s * LOST)
            elif lease.wanted:
                times.append(lease.next_s)
        return min(times)

    # What is wanted

    def _name(self, now_s: float, duties: tuple[Duty, ...], out: list[Action]) -> None:
        named = {duty.name: duty for duty in duties}
        for name, lease in self.leases.items():
            if name not in named:
                self._let_go(now_s, lease, "no longer named", out)
        for name, duty in named.items():
            known = self.leases.get(name)
            if known is None:
                self.leases[name] = Lease(duty, next_s=now_s + self.rng.random() * SPREAD * duty.ttl_s)
                continue
            known.wanted = not self.leaving
            if known.duty != duty:  # a lease runs to its end under the time to live that it was granted
                self._let_go(now_s, known, "another time to live", out)
                known.duty, known.next_s = duty, now_s + duty.ttl_s * SPREAD
        for name in [n for n, lease in self.leases.items() if n not in named and lease.asked is None]:
            del self.leases[name]

    def _let_go(self, now_s: float, lease: Lease, reason: str, out: list[Action]) -> None:
        lease.wanted = lease.wanted and reason == "another time to live"
        token = lease.token
        if token:
            self._end(lease, reason, out)
            self._ask(now_s, lease, "release", token, out)

    # Answers

    def _answered(self, now_s: float, lease: Lease, answer: Answer, out: list[Action]) -> None:
        assert lease.asked is not None
        verb, duty = lease.asked.verb, lease.duty
        lease.asked = None
        match answer:
            case Granted(token) if verb == "acquire":
                self._granted(now_s, lease, token, out)
            case Granted(token) if verb == "renew" and lease.token == token:
                lease.until_s = lease.sent_s + duty.acts_s
                lease.next_s = lease.sent_s + duty.renew_s
            case Held(holder, token, _) if holder == self.holder and not lease.token:
                self._ask(now_s, lease, "release", token, out)  # granted by a call whose answer was lost
            case Held(_, _, left_s):
                if lease.token:
                    self._end(lease, "taken by another", out)
                # Sooner, where the backend sees it let go (`Changed`).
                lease.next_s = now_s + max(left_s, duty.ttl_s * SPREAD) + self._spread(lease)
            case Gone():
                if lease.token:
                    self._end(lease, "no longer this holder's", out)
                lease.next_s = now_s + self._spread(lease)
            case Unreachable(reason):
                fields = (("duty", duty.name), ("verb", verb), ("reason", reason), ("token", lease.token))
                out.append(Note("duties.unreachable", fields))
                lease.next_s = now_s + duty.ttl_s * AGAIN * self.rng.uniform(0.5, 1.0)
        if not lease.wanted and not lease.token and lease.asked is None:
            del self.leases[duty.name]

    def _granted(self, now_s: float, lease: Lease, token: int, out: list[Action]) -> None:
        duty = lease.duty
        lease.until_s = lease.sent_s + duty.acts_s
        if not lease.wanted or now_s >= lease.until_s:
            # The answer came too late to act on, or the duty is not wanted any more: the next may have it.
            out.append(Note("duties.late", (("duty", duty.name), ("token", token))))
            self._ask(now_s, lease, "release", token, out)
            return
        if invariants.ON:
            invariants.check(lease.token == 0, "a duty begins where it is not held", duty=duty.name)
        lease.token = token
        lease.next_s = lease.sent_s + duty.renew_s
        out.append(Begin(duty.name, token))

    def _late(self, name: str, token: int, out: list[Action]) -> None:
        """A grant that nobody waits for: given back, unless it is the one held."""
        lease = self.leases.get(name)
        if lease is None or lease.token == token:
            return
        out.append(Note("duties.late", (("duty", name), ("token", token))))
        self.number += 1
        out.append(Ask(lease.duty, "release", self.number, token))

    def _end(self, lease: Lease, reason: str, out: list[Action]) -> None:
        out.append(End(lease.duty.name, lease.token, reason))
        lease.token, lease.until_s = 0, 0.0

    # What is due

    def _due(self, now_s: float, out: list[Action]) -> None:
        for lease in list(self.leases.values()):
            duty = lease.duty
            if lease.token and now_s >= lease.until_s:
                self._end(lease, "not renewed in time", out)
            if lease.asked is not None and now_s - lease.sent_s >= duty.ttl_s * LOST:
                lease.asked = None  # its answer, if it comes, changes nothing
                lease.next_s = now_s
                if not lease.wanted:
                    del self.leases[duty.name]
            if lease.asked is None and lease.wanted and now_s >= lease.next_s:
                self._ask(now_s, lease, "renew" if lease.token else "acquire", lease.token, out)

    def _ask(self, now_s: float, lease: Lease, verb: Verb, token: int, out: list[Action]) -> None:
        self.number += 1
        lease.asked, lease.sent_s = Ask(lease.duty, verb, self.number, token), now_s
        out.append(lease.asked)

    def _spread(self, lease: Lease) -> float:
        return self.rng.random() * SPREAD * lease.duty.ttl_s
