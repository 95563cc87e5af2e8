"""The file of one gateway, held by this process alone."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import hashlib
import os
import sqlite3

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import StoreCounters, Snapshot
from cloverkeel.fleet.state.codec import SCHEMA_VERSION, encode
from cloverkeel.fleet.state.database import (
    STATE_FILE,
    LOCK_FILE,
    TABLES,
    CorruptError,
    connect,
    move_aside,
    transaction,
    verify,
)

SNAPSHOTS_KEPT = 2  # snapshots: the newest, and one to fall back on


class Store:
    """The file of one gateway, held by this process alone (an `flock` on the lock file beside it)."""

    def __init__(self, directory: str, connection: sqlite3.Connection | None, lock_fd: int) -> None:
        self.directory, self.lock_fd = directory, lock_fd
        self.path = os.path.join(directory, STATE_FILE)
        self._connection = connection  # of a file that passed its checks; None: one is to be begun
        self.boots = 0  # the counter `boots` once `prepare` has raised it

    @property
    def connection(self) -> sqlite3.Connection:
        assert self._connection is not None, "prepare() first"
        return self._connection

    @staticmethod
    def acquire_lock(directory: str) -> int | None:
        """The lock's descriptor, or None where another process holds it. Raises OSError where it cannot be
        made (a directory that is read-only or missing)."""
        fd = os.open(os.path.join(directory, LOCK_FILE), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        return fd

    @classmethod
    def open(
        cls, directory: str, lock_fd: int, figures: StoreCounters, now_unix_s: float
    ) -> tuple[Store, list[Snapshot]]:
        """Open the file under a lock already held, checking it first: one that fails is moved aside, and a
        new one is begun by `prepare`. Returns the store and the file's sound snapshots, newest first; it
        reads only."""
        path = os.path.join(directory, STATE_FILE)
        if os.path.isdir(path):
            raise OSError(errno.EISDIR, f"{path} is a directory")
        existed = os.path.exists(path)
        found: list[Snapshot] = []
        if existed:
            connection = None
            try:
                connection = connect(path)
                found, findings = verify(connection)
                for finding in findings:
                    event("state.snapshot_dropped", path=path, reason=finding)
                return cls(directory, connection, lock_fd), found
            except (CorruptError, sqlite3.DatabaseError) as error:
                if connection is not None:
                    connection.close()
                figures.corrupt += 1
                aside = move_aside(path, now_unix_s)
                event("state.corrupt", path=path, reason=str(error), moved_to=aside,
                      corrupt_total=figures.corrupt)  # fmt: skip
        return cls(directory, None, lock_fd), found

    def prepare(self) -> None:
        """Begin a new file where there is none, and raise `boots`: the writes of a start, which wait for the
        disk and so are the writer thread's. Raises sqlite3.Error or OSError."""
        if self._connection is None:
            self._connection = connect(self.path)
            with transaction(self._connection):
                for statement in TABLES.split(";"):
                    if statement.strip():
                        self._connection.execute(statement)
                self._connection.execute("INSERT INTO meta VALUES ('schema', ?)", (str(SCHEMA_VERSION),))
        self.boots = self.increment("boots")

    def write(self, snapshot: Snapshot) -> None:
        """One transaction: the new snapshot in, all but the last KEPT out.

        Raises sqlite3.Error or OSError."""
        payload = encode(snapshot)
        with transaction(self.connection):
            self.connection.execute(
                "INSERT INTO snapshot (taken_unix_s, payload, sha256) VALUES (?, ?, ?)",
                (snapshot.taken_unix_s, payload, hashlib.sha256(payload).hexdigest()),
            )
            newest = "SELECT id FROM snapshot ORDER BY id DESC LIMIT ?"
            self.connection.execute(f"DELETE FROM snapshot WHERE id NOT IN ({newest})", (SNAPSHOTS_KEPT,))
        # The WAL is kept one write long. The snapshot is committed already: a checkpoint that fails (a full
        # disk) leaves it in the WAL, and the next write tries again.
        with contextlib.suppress(sqlite3.Error):
            self.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def increment(self, name: str) -> int:
        """Raise a counter by one and return it: a number that this node never hands out twice."""
        with transaction(self.connection):
            self.connection.execute(
                "INSERT INTO counter VALUES (?, 1) ON CONFLICT(name) DO UPDATE SET value = value + 1", (name,)
            )
            row = self.connection.execute("SELECT value FROM counter WHERE name = ?", (name,)).fetchone()
        return int(row[0])

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        os.close(self.lock_fd)  # the lock goes with it
