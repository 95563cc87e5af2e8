"""The backend of a fleet that shares no disk: a lease record replicated by Raft (`pysyncobj`).

Nobody's clock is in the log. A contender that saw no renewal for a time to live by its own clock proposes
to take the duty from the very renewal that it saw last; the order of the log decides. The holder counts from
when it sent that renewal, which is earlier. Imported only where the configuration says `quorum`.
"""

from __future__ import annotations

import os
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

# Its import puts stand-ins that only Windows can call in the place of these two, for the whole process.
_SOCKET_FUNCTIONS = socket.inet_pton, socket.inet_ntop
import pysyncobj  # noqa: E402

socket.inet_pton, socket.inet_ntop = _SOCKET_FUNCTIONS

from cloverkeel.fleet.duties.interface import (  # noqa: E402
    BackendAnswer,
    BackendCall,
    NotHeld,
    Granted,
    Held,
    LeaseStatus,
    Unreachable,
)

JOURNAL = "duties.raft"
LEADER_DELAY_S = 0.2  # the voter that leads lets others go first: one kill should not take holder and leader
COMMIT_TIMEOUT_S = 1.0  # for a change to be committed; less where the duty's renewals come faster


class Leases(pysyncobj.SyncObjConsumer):  # type: ignore[misc]
    """The replicated state: each change is the same function of the log at every voter."""

    def __init__(self, clock: Callable[[], float]) -> None:
        # Set before the base's own: these are this process's, and not part of the replicated state.
        self.clock = clock
        self.seen: dict[str, tuple[int, int, float]] = {}  # token, renewal, and when this process saw it
        super().__init__()
        self.leases: dict[str, tuple[str, int, int]] = {}  # holder, token, number of its last renewal

    def state(self, name: str) -> tuple[str, int, int, float]:
        """Holder, token, renewal, and since when (this process's clock) that renewal has been the last."""
        holder, token, renewal = self.leases.get(name, ("", 0, 0))
        seen = self.seen.get(name)
        if seen is None or seen[:2] != (token, renewal):
            seen = self.seen[name] = (token, renewal, self.clock())
        return holder, token, renewal, seen[2]

    @pysyncobj.replicated  # type: ignore[misc]
    def take(self, name: str, holder: str, token: int, renewal: int) -> int:
        """Take a duty from the lease that the caller saw; the new token, or 0 where it is another by now."""
        if self.leases.get(name, ("", 0, 0))[1:] != (token, renewal):
            return 0
        return self._put(name, holder, token + 1, 0)

    @pysyncobj.replicated  # type: ignore[misc]
    def renew(self, name: str, holder: str, token: int) -> int:
        found = self.leases.get(name, ("", 0, 0))
        return self._put(name, holder, token, found[2] + 1) if found[:2] == (holder, token) else 0

    @pysyncobj.replicated  # type: ignore[misc]
    def let_go(self, name: str, token: int) -> int:
        """By its holder, which alone knows the token, or by the operators: the number of the last renewal
        goes on, so that who counted from it counts anew."""
        found = self.leases.get(name, ("", 0, 0))
        return self._put(name, "", token, found[2] + 1) if token and found[1] == token else 0

    @pysyncobj.replicated  # type: ignore[misc]
    def force(self, name: str) -> int:
        found = self.leases.get(name, ("", 0, 0))
        return self._put(name, "", found[1] + 1, 0) if found[1] else 0

    def _put(self, name: str, holder: str, token: int, renewal: int) -> int:
        self.leases[name] = (holder, token, renewal)
        self.state(name)  # seen now
        return token


class QuorumBackend:
    """One voter. `bind` and `others`: addresses `host:port` of all voters; `directory` outlives the process.
    Its calls block until the change is committed: they belong on a thread."""

    def __init__(
        self,
        holder: str,
        directory: str,
        bind: str,
        others: tuple[str, ...],
        password: str | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = holder
        self.leases = Leases(clock)
        self.clock = clock
        self.reported_free: dict[str, int] = {}  # duty to the token after which it was last said to be free
        self.last_ttls: dict[str, float] = {}  # as last asked for, to tell what is left
        self.transactions = 0
        conf = pysyncobj.SyncObjConf(
            journalFile=os.path.join(directory, JOURNAL), password=password, useFork=False,
            raftMinTimeout=0.3, raftMaxTimeout=0.6, appendEntriesPeriod=0.03, connectionTimeout=1.0,
            connectionRetryTime=0.2, leaderFallbackTimeout=1.0, autoTickPeriod=0.01,
        )  # fmt: skip
        self.raft = pysyncobj.SyncObj(bind, list(others), conf, consumers=[self.leases])

    def call(self, ask: BackendCall) -> BackendAnswer:
        """Carry a call out. Raises nothing: what goes wrong is `Unreachable`."""
        name, ttl_s = ask.duty.name, ask.duty.ttl_s
        self.last_ttls[name] = ttl_s
        timeout_s = min(COMMIT_TIMEOUT_S, ask.duty.renew_interval_s)
        try:
            if ask.verb == "acquire":
                return self._acquire(name, ttl_s, timeout_s)
            if ask.verb == "renew":
                token = self._commit(timeout_s, self.leases.renew, name, self.holder, ask.token)
                return Granted(token) if token else NotHeld()
            self._commit(timeout_s, self.leases.let_go, name, ask.token)
            return NotHeld()
        except pysyncobj.SyncObjException as error:
            return Unreachable(f"not committed: {error.errorCode}")

    def _acquire(self, name: str, ttl_s: float, timeout_s: float) -> BackendAnswer:
        if not self.raft.isReady():
            return Unreachable("no quorum of the voters")
        holder, token, renewal, since_s = self.leases.state(name)
        left_s = (since_s + ttl_s if holder else since_s) - self.clock()
        if self._is_leader():
            left_s += LEADER_DELAY_S
        if left_s > 0:
            return Held(holder, token, left_s)
        taken = self._commit(timeout_s, self.leases.take, name, self.holder, token, renewal)
        if taken:
            return Granted(taken)
        holder, token, _, since_s = self.leases.state(name)
        return Held(holder, token, max(0.0, since_s + ttl_s - self.clock()))

    def freed(self, names: set[str]) -> list[str]:
        """Which of these duties were let go since it was last asked; reads this process's copy alone."""
        found = []
        for name in names:
            holder, token, _, _ = self.leases.state(name)
            if not holder and token and self.reported_free.get(name) != token:
                self.reported_free[name] = token
                found.append(name)
        return found

    def force_release(self, name: str) -> int:
        """Let go of a duty whoever holds it, under a token that nobody holds. Raises KeyError where nobody
        ever held it, OSError where it is not committed."""
        try:
            token = self._commit(COMMIT_TIMEOUT_S, self.leases.force, name)
        except pysyncobj.SyncObjException as error:
            raise OSError(f"not committed: {error.errorCode}") from None
        if not token:
            raise KeyError(name)
        return token

    def list_leases(self) -> list[LeaseStatus]:
        """As this voter has it; `left_s` is by the time to live that it last asked for."""
        found = []
        for name in sorted(self.leases.leases):
            holder, token, _, since_s = self.leases.state(name)
            ttl_s = self.last_ttls.get(name, 0.0) if holder else 0.0
            found.append(LeaseStatus(name, holder, token, since_s + ttl_s - self.clock() if holder else 0.0))
        return found

    def _commit(self, timeout_s: float, change: Callable[..., Any], *arguments: object) -> int:
        self.transactions += 1
        return int(change(*arguments, sync=True, timeout=timeout_s))

    def _is_leader(self) -> bool:
        status = self.raft.getStatus()
        return bool(status["leader"] == status["self"])

    def close(self) -> None:
        """Hand the log's leadership on, if it is here: the next holder need not wait for an election."""
        if self._is_leader():
            sent = threading.Event()
            self.raft.transferLeadership(callback=lambda *_: sent.set())
            sent.wait(LEADER_DELAY_S)
            until_s = time.monotonic() + LEADER_DELAY_S
            while self._is_leader() and time.monotonic() < until_s:
                time.sleep(LEADER_DELAY_S / 20)
        self.raft.destroy()
