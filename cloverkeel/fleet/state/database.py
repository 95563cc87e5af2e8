"""Connections to the state file, and the checks it must pass before its content is used."""

from __future__ import annotations

import contextlib
import hashlib
import os
import sqlite3
from collections.abc import Iterator

from cloverkeel.fleet.snapshot import Snapshot
from cloverkeel.fleet.state.codec import SCHEMA_VERSION, decode

STATE_FILE, LOCK_FILE = "cloverkeel.db", "cloverkeel.lock"
BUSY_TIMEOUT_MS = 2_000  # how long a statement waits for another connection's lock
TABLES = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE snapshot (id INTEGER PRIMARY KEY, taken_unix_s REAL NOT NULL, payload BLOB NOT NULL,
                       sha256 TEXT NOT NULL);
CREATE TABLE counter (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
"""


class CorruptError(Exception):
    """The state file failed a check; the message names it in one line."""


def connect(path: str) -> sqlite3.Connection:
    """Opens the file for reading and writing, creating it if needed. Raises sqlite3.Error."""
    connection = sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_MS / 1000, isolation_level=None, check_same_thread=False
    )
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    return connection


def verify(connection: sqlite3.Connection) -> tuple[list[Snapshot], list[str]]:
    """Returns the valid snapshots, newest first, and a line for each row that is invalid.

    Raises CorruptError if the file as a whole is unusable: it is not SQLite or is damaged, its schema is
    missing or of another version, or it has snapshots but none is valid.
    """
    try:
        problems = connection.execute("PRAGMA quick_check").fetchall()
        if problems != [("ok",)]:
            raise CorruptError(f"quick_check: {'; '.join(str(row[0]) for row in problems[:3])}")
        tables = {row[0] for row in connection.execute("SELECT name FROM sqlite_master WHERE type='table'")}
        if not {"meta", "snapshot", "counter"} <= tables:
            raise CorruptError("no schema: tables missing")
        row = connection.execute("SELECT value FROM meta WHERE key='schema'").fetchone()
        if row is None or row[0] != str(SCHEMA_VERSION):
            raise CorruptError(f"schema version {row[0] if row else 'missing'}, expected {SCHEMA_VERSION}")
        rows = connection.execute("SELECT id, payload, sha256 FROM snapshot ORDER BY id DESC").fetchall()
    except sqlite3.DatabaseError as error:
        raise CorruptError(str(error)) from None
    valid, invalid = [], []
    for row_id, payload, digest in rows:
        if not isinstance(payload, bytes) or hashlib.sha256(payload).hexdigest() != digest:
            invalid.append(f"snapshot {row_id}: checksum does not match")
            continue
        try:
            valid.append(decode(payload))
        except ValueError as error:
            invalid.append(f"snapshot {row_id}: {error}")
    if rows and not valid:
        raise CorruptError(f"no sound snapshot: {'; '.join(invalid)}")
    return valid, invalid


def read_counters(connection: sqlite3.Connection) -> dict[str, int]:
    """Returns all counters by name. Raises sqlite3.Error."""
    return dict(connection.execute("SELECT name, value FROM counter ORDER BY name").fetchall())


def move_aside(path: str, now_unix_s: float) -> str:
    """Renames a file that failed its checks, with its `-wal` and `-shm` files; returns the new path."""
    new_path = f"{path}.corrupt-{int(now_unix_s)}"
    for suffix in ("-wal", "-shm", ""):
        with contextlib.suppress(FileNotFoundError):
            os.replace(path + suffix, new_path + suffix)
    return new_path


@contextlib.contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Runs the block in a write transaction: commits at its end, rolls back if it raises."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            connection.execute("ROLLBACK")
        raise
    connection.execute("COMMIT")


def open_read_only(path: str) -> sqlite3.Connection:
    """Opens the file read-only: sets no journal mode and cannot write. Raises sqlite3.Error."""
    uri = f"file:{path}?mode=ro"
    return sqlite3.connect(
        uri, uri=True, timeout=BUSY_TIMEOUT_MS / 1000, isolation_level=None, check_same_thread=False
    )


def read_snapshots(directory: str) -> list[Snapshot]:
    """Returns the valid snapshots, newest first, of a file that another process owns.

    Moves and writes nothing. Returns none if the file fails a check: only its owner moves it aside.
    """
    path = os.path.join(directory, STATE_FILE)
    if not os.path.isfile(path):
        return []
    try:
        connection = open_read_only(path)
    except sqlite3.Error:
        return []
    try:
        return verify(connection)[0]
    except CorruptError:
        return []
    finally:
        connection.close()
