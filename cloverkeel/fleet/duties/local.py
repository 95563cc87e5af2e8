"""The backend for one machine: leases in the state store's SQLite file, which several processes open.

Times are read from the monotonic clock, which all processes of one boot share. A file seen for the first
time (new, a copy put in its place, or after a reboot) grants nothing for one TTL, because a process that held
a duty in the previous file may still act.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from cloverkeel.fleet.duties.interface import (
    BackendAnswer,
    BackendCall,
    Granted,
    Held,
    LeaseStatus,
    NotHeld,
    Unreachable,
)
from cloverkeel.fleet.state.database import STATE_FILE, connect, open_read_only, transaction

BUSY_TIMEOUT_MS = 200  # wait for another process's transaction; after it the outcome is `Unreachable`
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
TABLES = (
    "CREATE TABLE IF NOT EXISTS lease (name TEXT PRIMARY KEY, holder TEXT NOT NULL, token INTEGER NOT NULL, "
    "until_s REAL NOT NULL)",
    "CREATE TABLE IF NOT EXISTS lease_file (id INTEGER PRIMARY KEY CHECK (id = 1), seen_as TEXT NOT NULL, "
    "since_s REAL NOT NULL)",
)
Result = TypeVar("Result")


class LocalBackend:
    """One process's access to the lease table. Calls block on the disk and on other processes' transactions.

    So they belong on a thread of their own, one call at a time.
    """

    def __init__(
        self,
        directory: str,
        holder: str,
        clock: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
    ) -> None:
        self.path = os.path.join(directory, STATE_FILE)
        self.holder, self.clock, self.unix_clock = holder, clock, unix
        self.connection: sqlite3.Connection | None = None
        self.opened_identity = ""  # device, inode and boot id of the file that `connection` has open
        self.data_version = -1  # SQLite's `data_version` at the last poll; -1: not polled yet
        self.transactions = 0  # begun by this process

    def call(self, call: BackendCall) -> BackendAnswer:
        """Executes a call; returns `Unreachable` on an error instead of raising."""
        try:
            return self._transact(lambda connection: self._execute(connection, call))
        except (OSError, sqlite3.Error) as error:
            return Unreachable(str(error) or type(error).__name__)

    def freed(self, names: set[str]) -> list[str]:
        """Which of these duties are free now, if the file has changed since the last poll. Only reads."""
        try:
            connection = self._open()
            data_version = connection.execute("PRAGMA data_version").fetchone()[0]
            if data_version == self.data_version:
                return []
            rows = _read_leases(connection, self.clock())
            self.data_version = data_version
        except (OSError, sqlite3.Error):
            return []  # the next `call` reports the error
        return [row.name for row in rows if row.name in names and row.left_s <= 0]

    def force_release(self, name: str) -> int:
        """Releases a duty whichever process holds it; returns a new token, which no process holds.

        The next grant has a higher token. Raises OSError, sqlite3.Error, or KeyError if it was never held.
        """

        def release(connection: sqlite3.Connection) -> int:
            token = _read_lease(connection, name)[1]
            if not token:
                raise KeyError(name)
            self._put(connection, name, "", self._next_token(token), 0.0)
            return self._next_token(token)

        return self._transact(release)

    def list_leases(self) -> list[LeaseStatus]:
        """Returns all leases. Raises OSError, sqlite3.Error."""
        return list_leases(os.path.dirname(self.path))

    def close(self) -> None:
        """Closes the connection; the next call opens it again."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _execute(self, connection: sqlite3.Connection, call: BackendCall) -> BackendAnswer:
        now_s, name, ttl_s = self.clock(), call.duty.name, call.duty.ttl_s
        since_s = self._in_use_since_s(connection, now_s)
        holder, token, until_s = _read_lease(connection, name)
        held = bool(holder) and now_s < until_s
        is_holder = held and holder == self.holder and token == call.token
        if call.verb == "acquire":
            if held:
                return Held(holder, token, until_s - now_s)
            if now_s < since_s + ttl_s:
                return Held("", token, since_s + ttl_s - now_s)
            token = self._next_token(token)
            self._put(connection, name, self.holder, token, now_s + ttl_s)
            return Granted(token)
        if not is_holder:
            return NotHeld()
        if call.verb == "release":
            self._put(connection, name, "", token, 0.0)
            return NotHeld()
        self._put(connection, name, self.holder, token, now_s + ttl_s)
        return Granted(token)

    def _next_token(self, token: int) -> int:
        """A token above `token` and at least the wall clock in ms: so it also grows in a replaced file."""
        return max(token + 1, int(self.unix_clock() * 1000))

    @staticmethod
    def _put(connection: sqlite3.Connection, name: str, holder: str, token: int, until_s: float) -> None:
        connection.execute(
            "INSERT OR REPLACE INTO lease (name, holder, token, until_s) VALUES (?, ?, ?, ?)",
            (name, holder, token, until_s),
        )

    def _in_use_since_s(self, connection: sqlite3.Connection, now_s: float) -> float:
        """Since when this file has been in use on this boot; records its first use and clears all leases."""
        row = connection.execute("SELECT seen_as, since_s FROM lease_file").fetchone()
        if row is not None and row[0] == self.opened_identity:
            return float(row[1])
        # Leases written on another boot or to another file have times of another clock: clear them.
        connection.execute("UPDATE lease SET holder = '', until_s = 0")
        connection.execute(
            "INSERT OR REPLACE INTO lease_file VALUES (1, ?, ?)", (self.opened_identity, now_s)
        )
        return now_s

    # The file

    def _transact(self, change: Callable[[sqlite3.Connection], Result]) -> Result:
        """Runs `change` in a write transaction. Raises OSError, sqlite3.Error."""
        connection = self._open()
        self.transactions += 1
        with transaction(connection):
            if self._identity() != self.opened_identity:
                raise OSError("the state file was replaced before the transaction began")
            return change(connection)

    def _open(self) -> sqlite3.Connection:
        """Returns a connection to the file that is now at the path; reopens it if it was replaced."""
        identity = self._identity()
        if self.connection is not None and identity == self.opened_identity:
            return self.connection
        self.close()
        connection = connect(self.path)
        try:
            connection.execute(f"PRAGMA busy_timeout = {BUSY_TIMEOUT_MS}")
            with transaction(connection):
                for statement in TABLES:
                    connection.execute(statement)
        except BaseException:
            connection.close()
            raise
        self.connection, self.opened_identity, self.data_version = connection, identity, -1
        return connection

    def _identity(self) -> str:
        """The identity of the file at the path. Raises OSError if the store has not created it yet."""
        return _file_identity(os.stat(self.path))


def _file_identity(stat: os.stat_result) -> str:
    """A file's device and inode, and the id of the boot whose monotonic clock its leases use."""
    with open(BOOT_ID_PATH, encoding="ascii") as file:
        return f"{stat.st_dev}:{stat.st_ino}:{file.read().strip()}"


def _read_lease(connection: sqlite3.Connection, name: str) -> tuple[str, int, float]:
    """Holder, token and expiry of a duty; empty and 0 if it was never held."""
    row = connection.execute("SELECT holder, token, until_s FROM lease WHERE name = ?", (name,)).fetchone()
    return (str(row[0]), int(row[1]), float(row[2])) if row is not None else ("", 0, 0.0)


def _read_leases(connection: sqlite3.Connection, now_s: float) -> list[LeaseStatus]:
    rows = connection.execute("SELECT name, holder, token, until_s FROM lease ORDER BY name").fetchall()
    return [
        LeaseStatus(name, holder, token, until_s - now_s if holder else 0.0)
        for name, holder, token, until_s in rows
    ]


def list_leases(directory: str) -> list[LeaseStatus]:
    """Returns the leases in a state directory without writing to it. Raises OSError, sqlite3.Error."""
    path = os.path.join(directory, STATE_FILE)
    if not os.path.isfile(path):
        raise FileNotFoundError(2, "no such file", path)
    with contextlib.closing(open_read_only(path)) as connection:
        tables = {row[0] for row in connection.execute("SELECT name FROM sqlite_master")}
        if "lease" not in tables:
            return []
        rows = _read_leases(connection, time.monotonic())
        stat = os.stat(path)
        seen_as = connection.execute("SELECT seen_as FROM lease_file").fetchone()
        if seen_as != (_file_identity(stat),):  # times of another clock
            return [replace(row, holder="", left_s=0.0) for row in rows]
        return rows
