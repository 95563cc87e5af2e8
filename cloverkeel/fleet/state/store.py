"""The state file of one gateway, opened by the process that owns it."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import hashlib
import os
import sqlite3

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import Snapshot, StoreCounters
from cloverkeel.fleet.state.codec import SCHEMA_VERSION, encode
from cloverkeel.fleet.state.database import (
    LOCK_FILE,
    STATE_FILE,
    TABLES,
    CorruptError,
    connect,
    move_aside,
    transaction,
    verify,
)

SNAPSHOTS_KEPT = 2  # the newest, and one to fall back on if its row is damaged


class Store:
    """The state file of one gateway, owned by this process through an `flock` on the lock file beside it."""

    def __init__(self, directory: str, connection: sqlite3.Connection | None, lock_fd: int) -> None:
        self.directory, self.lock_fd = directory, lock_fd
        self.path = os.path.join(directory, STATE_FILE)
        self._connection = connection  # to a file that passed its checks; None: `prepare` creates one
        self.boots = 0  # value of the counter `boots`; 0 until `prepare` has incremented it

    @property
    def connection(self) -> sqlite3.Connection:
        """The connection to the file; fails before `prepare` where there was no file."""
        assert self._connection is not None, "prepare() first"
        return self._connection

    @staticmethod
    def acquire_lock(directory: str) -> int | None:
        """Returns the descriptor of the lock file, or None if another process holds the lock.

        Raises OSError if the lock file cannot be created (the directory is read-only or missing).
        """
        fd = os.open(os.path.join(directory, LOCK_FILE), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        return fd

    @classmethod
    def open(
        cls, directory: str, lock_fd: int, store_counters: StoreCounters, now_unix_s: float
    ) -> tuple[Store, list[Snapshot]]:
        """Verifies and opens the file under a lock already held; returns the store and the valid snapshots.

        The snapshots come newest first. A file that fails its checks is moved aside, and `prepare` creates a
        new one. Otherwise this only reads.
        """
        path = os.path.join(directory, STATE_FILE)
        if os.path.isdir(path):
            raise OSError(errno.EISDIR, f"{path} is a directory")
        existed = os.path.exists(path)
        found: list[Snapshot] = []
        if existed:
            connection = None
            try:
                connection = connect(path)
                found, invalid = verify(connection)
                for reason in invalid:
                    event("state.snapshot_dropped", path=path, reason=reason)
                return cls(directory, connection, lock_fd), found
            except (CorruptError, sqlite3.DatabaseError) as error:
                if connection is not None:
                    connection.close()
                store_counters.corrupt += 1
                moved_to = move_aside(path, now_unix_s)
                event("state.corrupt", path=path, reason=str(error), moved_to=moved_to,
                      corrupt_total=store_counters.corrupt)  # fmt: skip
        return cls(directory, None, lock_fd), found

    def prepare(self) -> None:
        """Creates the file if there is none, and increments `boots`. Raises sqlite3.Error or OSError.

        These writes wait for the disk, so they run on the writer thread.
        """
        if self._connection is None:
            self._connection = connect(self.path)
            with transaction(self._connection):
                for statement in TABLES.split(";"):
                    if statement.strip():
                        self._connection.execute(statement)
                self._connection.execute("INSERT INTO meta VALUES ('schema', ?)", (str(SCHEMA_VERSION),))
        self.boots = self.increment("boots")

    def write(self, snapshot: Snapshot) -> None:
        """Inserts a snapshot and deletes all but the newest SNAPSHOTS_KEPT, in one transaction.

        Raises sqlite3.Error or OSError.
        """
        payload = encode(snapshot)
        with transaction(self.connection):
            self.connection.execute(
                "INSERT INTO snapshot (taken_unix_s, payload, sha256) VALUES (?, ?, ?)",
                (snapshot.taken_unix_s, payload, hashlib.sha256(payload).hexdigest()),
            )
            newest = "SELECT id FROM snapshot ORDER BY id DESC LIMIT ?"
            self.connection.execute(f"DELETE FROM snapshot WHERE id NOT IN ({newest})", (SNAPSHOTS_KEPT,))
        # Keeps the WAL to the length of one write. The snapshot is committed already: if the checkpoint fails
        # (disk full), it stays in the WAL, and the next write retries the checkpoint.
        with contextlib.suppress(sqlite3.Error):
            self.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def increment(self, name: str) -> int:
        """Increments a counter and returns its value, which this node never returns again.

        Raises sqlite3.Error or OSError.
        """
        with transaction(self.connection):
            self.connection.execute(
                "INSERT INTO counter VALUES (?, 1) ON CONFLICT(name) DO UPDATE SET value = value + 1", (name,)
            )
            row = self.connection.execute("SELECT value FROM counter WHERE name = ?", (name,)).fetchone()
        return int(row[0])

    def close(self) -> None:
        """Closes the file and releases the lock."""
        if self._connection is not None:
            self._connection.close()
        os.close(self.lock_fd)  # releases the lock
