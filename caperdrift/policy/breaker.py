"""Circuit breaker for a server, or for one request class at a server, over a ring of its last outcomes."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from caperdrift.interface import LearnedBreaker

RING_SIZE = 10  # outcomes kept: at most a second of one proxy's traffic to one server
MINIMUM = 5  # outcomes needed before the breaker may open: with fewer it would open by chance
CLASS_MINIMUM = 2  # the same for one class at one server: a proxy sees only a few of these per minute
THRESHOLD = 0.5  # share of failures that opens the breaker, on top of the share that all servers fail
TRIALS = 3  # trial outcomes that decide between closed and open in half-open
COOLDOWN_US = 1_000_000  # first cooldown; it doubles each time a half-open breaker reopens
MAX_COOLDOWN_US = 8_000_000


class State(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True, eq=False)
class Breaker:
    """Circuit breaker of one server, or of one request class at a server."""

    minimum: int = MINIMUM
    ring: deque[bool] = field(default_factory=lambda: deque(maxlen=RING_SIZE))  # True: failed
    state: State = State.CLOSED
    open_until_us: int = 0
    cooldown_us: int = COOLDOWN_US
    episode: int = 0  # number of half-open phases so far; only attempts sent in the present one are trials
    trials_in_flight: int = 0
    trial_results: list[bool] = field(default_factory=list)  # of the present episode; True: failed

    @property
    def failures(self) -> int:
        """Number of failures in the ring."""
        return sum(self.ring)

    def would_allow(self, now_us: int) -> bool:
        """Whether an attempt may be sent: closed, half-open with trials left, or open after its cooldown."""
        if self.state is State.HALF_OPEN:
            return self.trials_in_flight + len(self.trial_results) < TRIALS
        return self.state is State.CLOSED or now_us >= self.open_until_us

    def allow(self, now_us: int) -> bool:
        """As would_allow, and changes from open to half-open once the cooldown is over."""
        allowed = self.would_allow(now_us)
        if allowed and self.state is State.OPEN:
            self.state = State.HALF_OPEN
            self.episode += 1
            self.trials_in_flight = 0
            self.trial_results = []
        return allowed

    def start_trial(self) -> int:
        """Count an attempt as a trial if half-open; returns its episode, or 0 for an ordinary attempt."""
        if self.state is not State.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.episode

    def record(self, now_us: int, failed: bool, trial_episode: int, common: float) -> State | None:
        """Record an outcome; returns the new state if it opened or closed the breaker.

        `trial_episode` is what start_trial returned for the attempt; `common` is the share of failures of the
        other servers, by which the threshold rises.
        """
        if self.state is State.HALF_OPEN:
            if trial_episode != self.episode:
                return None  # in half-open only outcomes of trials count
            self.trials_in_flight -= 1
            self.trial_results.append(failed)
            if sum(self.trial_results) / TRIALS >= THRESHOLD:  # the remaining trials cannot change this
                return self.reopen(now_us)
            return self.close() if len(self.trial_results) == TRIALS else None
        self.ring.append(failed)
        limit = len(self.ring) * (common + (1.0 - common) * THRESHOLD)
        if failed and len(self.ring) >= self.minimum and self.failures >= limit:
            return self.open(now_us)
        return None

    def release_trial(self, trial_episode: int) -> None:
        """Allow another trial in place of one whose outcome says nothing about the server."""
        if self.state is State.HALF_OPEN and trial_episode == self.episode:
            self.trials_in_flight -= 1

    def reopen(self, now_us: int) -> State:
        """Open the breaker; from half-open, the cooldown is doubled up to MAX_COOLDOWN_US."""
        if self.state is State.HALF_OPEN:
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
        return self.open(now_us)

    def open(self, now_us: int) -> State:
        """Open the breaker for the present cooldown."""
        self.state = State.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def close(self) -> State:
        """Close the breaker, clear its ring and reset its cooldown."""
        self.state = State.CLOSED
        self.ring.clear()
        self.cooldown_us = COOLDOWN_US
        return self.state

    def learned_state(self, now_us: int) -> LearnedBreaker:
        """State of this breaker for a snapshot."""
        left_us = max(0, self.open_until_us - now_us) if self.state is State.OPEN else 0
        return LearnedBreaker(tuple(self.ring), self.state.value, left_us, self.cooldown_us)

    def restore(self, now_us: int, learned: LearnedBreaker) -> None:
        """Restore a saved state.

        A breaker saved as half-open is restored as open with its cooldown over, because its trials belonged
        to another process.
        """
        self.ring = deque(learned.ring[-RING_SIZE:], maxlen=RING_SIZE)
        self.state = State.CLOSED if learned.state == State.CLOSED.value else State.OPEN
        self.cooldown_us = min(max(COOLDOWN_US, learned.cooldown_us), MAX_COOLDOWN_US)
        self.open_until_us = now_us + min(max(0, learned.open_left_us), self.cooldown_us)
