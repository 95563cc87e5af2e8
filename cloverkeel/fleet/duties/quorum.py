"""The backend for a fleet without a shared disk: lease records replicated by Raft (`pysyncobj`).

The log contains no clock readings. A contender that has seen no renewal for one TTL by its own clock proposes
to take the duty, naming the last renewal that it saw; the order of the log decides whether that is still the
last. The holder counts from when it sent that renewal, which is earlier, so it stops first. Imported only if
the configuration says `quorum`.
"""

from __future__ import annotations

import os
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

# Importing pysyncobj replaces these two functions for the whole process with versions that only work on
# Windows; they are restored after the import.
_SOCKET_FUNCTIONS = socket.inet_pton, socket.inet_ntop
import pysyncobj  # noqa: E402

socket.inet_pton, socket.inet_ntop = _SOCKET_FUNCTIONS

from cloverkeel.fleet.duties.interface import (  # noqa: E402
    BackendAnswer,
    BackendCall,
    Granted,
    Held,
    LeaseStatus,
    NotHeld,
    Unreachable,
)

JOURNAL = "duties.raft"
# The Raft leader waits this much longer before it takes a duty, so that one crash rarely takes both holder
# and leader. It also bounds each of the two waits of a transfer of leadership at the end.
LEADER_DELAY_S = 0.2
COMMIT_TIMEOUT_S = 1.0  # for a change to be committed; at most the duty's renewal interval


class Leases(pysyncobj.SyncObjConsumer):  # type: ignore[misc]
    """The replicated state: every voter applies the same changes in the order of the log.

    Replicated methods must depend on their arguments and on `leases` alone, not on clocks.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        # Set before the base constructor runs: these are local and not part of the replicated state.
        self.clock = clock
        # Duty to token, renewal, and when this process first saw that renewal.
        self.last_seen: dict[str, tuple[int, int, float]] = {}
        super().__init__()
        self.leases: dict[str, tuple[str, int, int]] = {}  # duty -> holder, token, number of its last renewal

    def lease_state(self, name: str) -> tuple[str, int, int, float]:
        """Holder, token, renewal, and since when, by this process's clock, that renewal has been the last."""
        holder, token, renewal = self.leases.get(name, ("", 0, 0))
        seen = self.last_seen.get(name)
        if seen is None or seen[:2] != (token, renewal):
            seen = self.last_seen[name] = (token, renewal, self.clock())
        return holder, token, renewal, seen[2]

    @pysyncobj.replicated  # type: ignore[misc]
    def take(self, name: str, holder: str, token: int, renewal: int) -> int:
        """Takes a duty over from the lease that the caller saw; the new token, or 0 if it has changed."""
        if self.leases.get(name, ("", 0, 0))[1:] != (token, renewal):
            return 0
        return self._put(name, holder, token + 1, 0)

    @pysyncobj.replicated  # type: ignore[misc]
    def renew(self, name: str, holder: str, token: int) -> int:
        """Extends a lease; its token, or 0 if the holder or the token has changed."""
        lease = self.leases.get(name, ("", 0, 0))
        return self._put(name, holder, token, lease[2] + 1) if lease[:2] == (holder, token) else 0

    @pysyncobj.replicated  # type: ignore[misc]
    def let_go(self, name: str, token: int) -> int:
        """Releases a lease for its holder, which alone knows the token; the token, or 0 if it has changed.

        The renewal number is incremented, so that contenders which counted from the last renewal start anew.
        """
        lease = self.leases.get(name, ("", 0, 0))
        return self._put(name, "", token, lease[2] + 1) if token and lease[1] == token else 0

    @pysyncobj.replicated  # type: ignore[misc]
    def force(self, name: str) -> int:
        """Releases a lease whichever process holds it; the new token, or 0 if it was never held."""
        lease = self.leases.get(name, ("", 0, 0))
        return self._put(name, "", lease[1] + 1, 0) if lease[1] else 0

    def _put(self, name: str, holder: str, token: int, renewal: int) -> int:
        self.leases[name] = (holder, token, renewal)
        self.lease_state(name)  # records when this process saw the change
        return token


class QuorumBackend:
    """One voter of the quorum. Calls block until the change is committed, so they belong on a thread.

    `bind` and `others`: addresses (`host:port`) of this voter and of the others. `directory` holds the
    journal and must outlive the process.
    """

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
        self.reported_free: dict[str, int] = {}  # duty -> token under which `freed` last returned it
        self.last_ttls: dict[str, float] = {}  # duty -> TTL of the last call, to compute `left_s`
        self.transactions = 0
        conf = pysyncobj.SyncObjConf(
            journalFile=os.path.join(directory, JOURNAL), password=password, useFork=False,
            raftMinTimeout=0.3, raftMaxTimeout=0.6, appendEntriesPeriod=0.03, connectionTimeout=1.0,
            connectionRetryTime=0.2, leaderFallbackTimeout=1.0, autoTickPeriod=0.01,
        )  # fmt: skip
        self.raft = pysyncobj.SyncObj(bind, list(others), conf, consumers=[self.leases])

    def call(self, call: BackendCall) -> BackendAnswer:
        """Executes a call; returns `Unreachable` if the change was not committed."""
        name, ttl_s = call.duty.name, call.duty.ttl_s
        self.last_ttls[name] = ttl_s
        timeout_s = min(COMMIT_TIMEOUT_S, call.duty.renew_interval_s)
        try:
            if call.verb == "acquire":
                return self._acquire(name, ttl_s, timeout_s)
            if call.verb == "renew":
                token = self._commit(timeout_s, self.leases.renew, name, self.holder, call.token)
                return Granted(token) if token else NotHeld()
            self._commit(timeout_s, self.leases.let_go, name, call.token)
            return NotHeld()
        except pysyncobj.SyncObjException as error:
            return Unreachable(f"not committed: {error.errorCode}")

    def _acquire(self, name: str, ttl_s: float, timeout_s: float) -> BackendAnswer:
        """Takes a duty whose lease has expired or was released, as this voter sees it."""
        if not self.raft.isReady():
            return Unreachable("no quorum of the voters")
        holder, token, renewal, since_s = self.leases.lease_state(name)
        left_s = (since_s + ttl_s if holder else since_s) - self.clock()
        if self._is_leader():
            left_s += LEADER_DELAY_S
        if left_s > 0:
            return Held(holder, token, left_s)
        taken = self._commit(timeout_s, self.leases.take, name, self.holder, token, renewal)
        if taken:
            return Granted(taken)
        holder, token, _, since_s = self.leases.lease_state(name)
        return Held(holder, token, max(0.0, since_s + ttl_s - self.clock()))

    def freed(self, names: set[str]) -> list[str]:
        """Which of these duties were released since the last poll. Reads only this process's copy."""
        released = []
        for name in names:
            holder, token, _, _ = self.leases.lease_state(name)
            if not holder and token and self.reported_free.get(name) != token:
                self.reported_free[name] = token
                released.append(name)
        return released

    def force_release(self, name: str) -> int:
        """Releases a duty whichever process holds it; returns a new token, which no process holds.

        Raises KeyError if the duty was never held, OSError if the change was not committed.
        """
        try:
            token = self._commit(COMMIT_TIMEOUT_S, self.leases.force, name)
        except pysyncobj.SyncObjException as error:
            raise OSError(f"not committed: {error.errorCode}") from None
        if not token:
            raise KeyError(name)
        return token

    def list_leases(self) -> list[LeaseStatus]:
        """Returns all leases as this voter sees them; `left_s` is computed from the TTL of its last call."""
        leases = []
        for name in sorted(self.leases.leases):
            holder, token, _, since_s = self.leases.lease_state(name)
            ttl_s = self.last_ttls.get(name, 0.0) if holder else 0.0
            leases.append(LeaseStatus(name, holder, token, since_s + ttl_s - self.clock() if holder else 0.0))
        return leases

    def _commit(self, timeout_s: float, change: Callable[..., Any], *arguments: object) -> int:
        """Replicates a change and returns its result. Raises SyncObjException if it is not committed."""
        self.transactions += 1
        return int(change(*arguments, sync=True, timeout=timeout_s))

    def _is_leader(self) -> bool:
        """Whether this voter is the Raft leader."""
        status = self.raft.getStatus()
        return bool(status["leader"] == status["self"])

    def close(self) -> None:
        """Stops; a leader first transfers leadership, so that the next holder needs no election."""
        if self._is_leader():
            transferred = threading.Event()
            self.raft.transferLeadership(callback=lambda *_: transferred.set())
            transferred.wait(LEADER_DELAY_S)
            deadline_s = time.monotonic() + LEADER_DELAY_S
            while self._is_leader() and time.monotonic() < deadline_s:
                time.sleep(LEADER_DELAY_S / 20)
        self.raft.destroy()
