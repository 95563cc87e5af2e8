"""The file itself: connections to it, and the checks that it must pass before anything in it is trusted."""

from __future__ import annotations

import contextlib
import hashlib
import os
import sqlite3
from collections.abc import Iterator

from cloverkeel.fleet.snapshot import Snapshot
from cloverkeel.fleet.state.codec import SCHEMA_VERSION, decode

STATE_FILE, LOCK_FILE = "cloverkeel.db", "cloverkeel.lock"
BUSY_TIMEOUT_MS = 2_000
TABLES = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE snapshot (id INTEGER PRIMARY KEY, taken_unix_s REAL NOT NULL, payload BLOB NOT NULL,
                       sha256 TEXT NOT NULL);
CREATE TABLE counter (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
"""


class CorruptError(Exception):
    """The file fails a check; the message says which, in one line."""


def connect(path: str) -> sqlite3.Connection:
    connection = sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_MS / 1000, isolation_level=None, check_same_thread=False
    )
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    return connection


def verify(connection: sqlite3.Connection) -> tuple[list[Snapshot], list[str]]:
    """The file's sound snapshots, newest first, and a finding for each row that is not.

    Raises CorruptError where the file as a whole cannot be trusted: not SQLite, damaged, without the schema
    or with another one, or with snapshots none of which is sound.
    """
    try:
        answer = connection.execute("PRAGMA quick_check").fetchall()
        if answer != [("ok",)]:
            raise CorruptError(f"quick_check: {'; '.join(str(row[0]) for row in answer[:3])}")
        tables = {row[0] for row in connection.execute("SELECT name FROM sqlite_master WHERE type='table'")}
        if not {"meta", "snapshot", "counter"} <= tables:
            raise CorruptError("no schema: tables missing")
        row = connection.execute("SELECT value FROM meta WHERE key='schema'").fetchone()
        if row is None or row[0] != str(SCHEMA_VERSION):
            raise CorruptError(f"schema {row[0] if row else 'missing'}, not {SCHEMA_VERSION}")
        rows = connection.execute("SELECT id, payload, sha256 FROM snapshot ORDER BY id DESC").fetchall()
    except sqlite3.DatabaseError as error:
        raise CorruptError(str(error)) from None
    good, findings = [], []
    for number, payload, digest in rows:
        if not isinstance(payload, bytes) or hashlib.sha256(payload).hexdigest() != digest:
            findings.append(f"snapshot {number}: checksum does not match")
            continue
        try:
            good.append(decode(payload))
        except ValueError as error:
            findings.append(f"snapshot {number}: {error}")
    if rows and not good:
        raise CorruptError(f"no sound snapshot: {'; '.join(findings)}")
    return good, findings


def read_counters(connection: sqlite3.Connection) -> dict[str, int]:
    return dict(connection.execute("SELECT name, value FROM counter ORDER BY name").fetchall())


def move_aside(path: str, now_unix_s: float) -> str:
    """Rename a file that failed, with its WAL and shared memory, out of the way; returns the new name."""
    aside = f"{path}.corrupt-{int(now_unix_s)}"
    for suffix in ("-wal", "-shm", ""):
        with contextlib.suppress(FileNotFoundError):
            os.replace(path + suffix, aside + suffix)
    return aside


@contextlib.contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            connection.execute("ROLLBACK")
        raise
    connection.execute("COMMIT")


def open_read_only(path: str) -> sqlite3.Connection:
    """A connection that only reads: it sets no journal mode and cannot write. Raises sqlite3.Error."""
    uri = f"file:{path}?mode=ro"
    return sqlite3.connect(
        uri, uri=True, timeout=BUSY_TIMEOUT_MS / 1000, isolation_level=None, check_same_thread=False
    )


def read_snapshots(directory: str) -> list[Snapshot]:
    """The sound snapshots of a file that another process holds, newest first; nothing is moved or written.
    A file that fails a check gives none: its owner is the one to judge it."""
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
