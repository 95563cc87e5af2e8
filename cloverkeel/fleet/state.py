"""The state store: one SQLite file of snapshots and counters, checked before anything in it is trusted.

docs/recovery.md says what is kept and why. The pure part is the codec and the judgement of a snapshot
(`encode`, `decode`, `judge`); `Store` is the file, and `Keeper` the one thread that writes it, so that the
event loop never waits for a disk. SQLite's documented behaviour is followed: WAL mode with
`synchronous=FULL` makes each transaction atomic and durable (https://sqlite.org/wal.html), and
`PRAGMA quick_check` finds a damaged b-tree (https://sqlite.org/pragma.html#pragma_quick_check).
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import hashlib
import json
import os
import sqlite3
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from typing import Any

from caperdrift.interface import Learned, LearnedBreaker, LearnedServer

from cloverkeel.fleet.events import event
from cloverkeel.fleet.kept import Figures as Figures
from cloverkeel.fleet.kept import Snapshot as Snapshot

SCHEMA = 1
FILE, LOCK = "cloverkeel.db", "cloverkeel.lock"
KEPT = 2  # snapshots: the newest, and one to fall back on
FUTURE_S = 1.0  # a snapshot taken later than now by more than this is from a clock that was wrong
BUSY_MS = 2_000
TABLES = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE snapshot (id INTEGER PRIMARY KEY, taken_unix_s REAL NOT NULL, payload BLOB NOT NULL,
                       sha256 TEXT NOT NULL);
CREATE TABLE counter (name TEXT PRIMARY KEY, value INTEGER NOT NULL);
"""


class CorruptError(Exception):
    """The file fails a check; the message says which, in one line."""


def _breaker(raw: list[Any]) -> LearnedBreaker:
    ring, state, left_us, cooldown_us = raw
    if state not in ("closed", "open", "half-open"):
        raise ValueError(f"no breaker state {state!r:.20}")
    return LearnedBreaker(tuple(bool(o) for o in ring), state, int(left_us), int(cooldown_us))


def encode(snapshot: Snapshot) -> bytes:
    """A snapshot as compact JSON, breakers as [ring, state, open_left_us, cooldown_us]."""

    def breaker(b: LearnedBreaker) -> list[Any]:
        return [[int(o) for o in b.ring], b.state, b.open_left_us, b.cooldown_us]

    learned = snapshot.learned
    servers = [
        [s.server, s.started_us, s.weight, s.idle, breaker(s.breaker),
         [[k, w, breaker(b)] for k, w, b in s.parts]]
        for s in learned.servers
    ]  # fmt: skip
    raw = {
        "v": SCHEMA, "taken_unix_s": snapshot.taken_unix_s, "servers": servers, "known": snapshot.known,
        "smoothed_us": learned.smoothed_us, "unhindered_us": learned.unhindered_us,
    }  # fmt: skip
    return json.dumps(raw, separators=(",", ":")).encode()


def decode(payload: bytes) -> Snapshot:
    """The inverse of `encode`; raises ValueError for anything else."""
    try:
        raw = json.loads(payload)
        servers = tuple(
            LearnedServer(
                int(server), int(started), float(weight), float(idle), _breaker(b),
                tuple((int(k), float(w), _breaker(pb)) for k, w, pb in parts),
            )
            for server, started, weight, idle, b, parts in raw["servers"]
        )  # fmt: skip
        learned = Learned(
            servers, tuple(map(float, raw["smoothed_us"])), tuple(map(float, raw["unhindered_us"]))
        )
        known = raw["known"]
        if not isinstance(known, dict):
            raise ValueError("known is not an object")
        return Snapshot(float(raw["taken_unix_s"]), learned, known)
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"payload does not parse: {error!r:.80}") from None


def judge(snapshot: Snapshot, now_unix_s: float, max_age_s: float) -> str | None:
    """Why a sound snapshot is still not to be used, or None: too old, or from the future."""
    age_s = now_unix_s - snapshot.taken_unix_s
    if age_s > max_age_s:
        return f"taken {age_s:.1f} s ago, over the bound of {max_age_s:g} s"
    if age_s < -FUTURE_S:
        return f"taken {-age_s:.1f} s from now"
    return None


def connect(path: str) -> sqlite3.Connection:
    connection = sqlite3.connect(path, timeout=BUSY_MS / 1000, isolation_level=None, check_same_thread=False)
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
        if row is None or row[0] != str(SCHEMA):
            raise CorruptError(f"schema {row[0] if row else 'missing'}, not {SCHEMA}")
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


def counters(connection: sqlite3.Connection) -> dict[str, int]:
    return dict(connection.execute("SELECT name, value FROM counter ORDER BY name").fetchall())


def move_aside(path: str, now_unix_s: float) -> str:
    """Rename a file that failed, with its WAL and shared memory, out of the way; returns the new name."""
    aside = f"{path}.corrupt-{int(now_unix_s)}"
    for suffix in ("-wal", "-shm", ""):
        with contextlib.suppress(FileNotFoundError):
            os.replace(path + suffix, aside + suffix)
    return aside


class Store:
    """The file of one gateway, held by this process alone (an `flock` on the lock file beside it)."""

    def __init__(self, directory: str, connection: sqlite3.Connection | None, lock_fd: int) -> None:
        self.directory, self.lock_fd = directory, lock_fd
        self.path = os.path.join(directory, FILE)
        self.opened = connection  # of a file that passed its checks; None: one is to be begun
        self.boots = 0  # the counter `boots` once `prepare` has raised it

    @property
    def connection(self) -> sqlite3.Connection:
        assert self.opened is not None, "prepare() first"
        return self.opened

    @staticmethod
    def take_lock(directory: str) -> int | None:
        """The lock's descriptor, or None where another process holds it. Raises OSError where it cannot be
        made (a directory that is read-only or missing)."""
        fd = os.open(os.path.join(directory, LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        return fd

    @classmethod
    def open(
        cls, directory: str, lock_fd: int, figures: Figures, now_unix_s: float
    ) -> tuple[Store, list[Snapshot]]:
        """Open the file under a lock already held, checking it first: one that fails is moved aside, and a
        new one is begun by `prepare`. Returns the store and the file's sound snapshots, newest first; it
        reads only."""
        path = os.path.join(directory, FILE)
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
        if self.opened is None:
            self.opened = connect(self.path)
            with transaction(self.opened):
                for statement in TABLES.split(";"):
                    if statement.strip():
                        self.opened.execute(statement)
                self.opened.execute("INSERT INTO meta VALUES ('schema', ?)", (str(SCHEMA),))
        self.boots = self.bump("boots")

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
            self.connection.execute(f"DELETE FROM snapshot WHERE id NOT IN ({newest})", (KEPT,))
        # The WAL is kept one write long. The snapshot is committed already: a checkpoint that fails (a full
        # disk) leaves it in the WAL, and the next write tries again.
        with contextlib.suppress(sqlite3.Error):
            self.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")

    def bump(self, name: str) -> int:
        """Raise a counter by one and return it: a number that this node never hands out twice."""
        with transaction(self.connection):
            self.connection.execute(
                "INSERT INTO counter VALUES (?, 1) ON CONFLICT(name) DO UPDATE SET value = value + 1", (name,)
            )
            row = self.connection.execute("SELECT value FROM counter WHERE name = ?", (name,)).fetchone()
        return int(row[0])

    def close(self) -> None:
        if self.opened is not None:
            self.opened.close()
        os.close(self.lock_fd)  # the lock goes with it


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


def reader(path: str) -> sqlite3.Connection:
    """A connection that only reads: it sets no journal mode and cannot write. Raises sqlite3.Error."""
    return sqlite3.connect(f"file:{path}?mode=ro", uri=True, timeout=BUSY_MS / 1000)


def read_only(directory: str) -> list[Snapshot]:
    """The sound snapshots of a file that another process holds, newest first; nothing is moved or written.
    A file that fails a check gives none: its owner is the one to judge it."""
    path = os.path.join(directory, FILE)
    if not os.path.isfile(path):
        return []
    try:
        connection = reader(path)
    except sqlite3.Error:
        return []
    try:
        return verify(connection)[0]
    except CorruptError:
        return []
    finally:
        connection.close()


def start(
    directory: str, interval_s: float, max_age_s: float, upgrade: bool, figures: Figures
) -> tuple[Keeper | None, Snapshot | None]:
    """Recovery at the start: the store to write to (None: run without one) and the newest snapshot that may
    be used (None: start cold). Never raises; each reason to go without is one line.

    `upgrade`: this process is the new one beside an old one that may still hold the lock.
    """
    now_unix_s = time.time()
    store: Store | None = None
    try:
        os.makedirs(directory, exist_ok=True)
        fd = Store.take_lock(directory)
        if fd is None and not upgrade:
            event("state.locked", directory=directory,
                  reason="another process holds this state directory; running without the store")  # fmt: skip
            return None, None
        if fd is None:
            found = read_only(directory)
        else:
            store, found = Store.open(directory, fd, figures, now_unix_s)
    except (OSError, sqlite3.Error) as error:
        event("state.unusable", directory=directory, reason=str(error), store="off")
        return None, None
    newest = found[0] if found else None
    if newest is not None:
        why = judge(newest, now_unix_s, max_age_s)
        if why is not None:
            event("state.stale", directory=directory, reason=why)
            newest = None
    event("state.opened", directory=directory, snapshots=len(found), warm=newest is not None,
          writer="this process" if store is not None else "after the process before ends")  # fmt: skip
    return Keeper(directory, interval_s, figures, store), newest


class Keeper:
    """The writer: one thread that takes the newest snapshot offered and writes it, so that the loop that
    offers never waits. Where another process holds the lock (the old process of an upgrade), it takes the
    lock once that one has ended and writes from then on.
    """

    def __init__(self, directory: str, interval_s: float, figures: Figures, store: Store | None) -> None:
        self.directory, self.interval_s, self.figures, self.store = directory, interval_s, figures, store
        self.pending: Snapshot | None = None
        self.numbers: list[tuple[str, Future[int]]] = []  # counters to raise
        self.failing = False
        self.closing = False
        self.ready = threading.Condition()
        self.thread = threading.Thread(target=self._run, name="state-writer", daemon=True)
        self.thread.start()

    def offer(self, snapshot: Snapshot) -> None:
        """Hand over a snapshot to write; an older one not yet written is dropped."""
        with self.ready:
            self.pending = snapshot
            self.ready.notify()

    def number(self, name: str) -> Future[int]:
        """Have a counter raised: its new value once that is written. It waits while another process holds the
        file, and fails with sqlite3.Error or OSError where the write does."""
        number: Future[int] = Future()
        with self.ready:
            self.numbers.append((name, number))
            self.ready.notify()
        return number

    def peek(self, name: str) -> int:
        """A counter as the file has it, whoever holds it; 0: none, or not readable. Reads the disk."""
        try:
            with contextlib.closing(reader(os.path.join(self.directory, FILE))) as connection:
                return counters(connection).get(name, 0)
        except sqlite3.Error:
            return 0

    def close(self, final: Snapshot | None, wait_s: float) -> None:
        """Write `final` if given, then end within `wait_s`; what is still unwritten then is lost."""
        with self.ready:
            if final is not None:
                self.pending = final
            self.closing = True
            self.ready.notify()
        self.thread.join(wait_s)

    def _run(self) -> None:
        self._ensure()
        while True:
            with self.ready:
                self.ready.wait_for(self._has_work, self.interval_s)
                snapshot, self.pending = self.pending, None
                closing = self.closing
            if self._ensure():
                self._raise_counters()
                if snapshot is not None:
                    self._write(snapshot)
            if closing:
                if self.store is not None:
                    self.store.close()
                return

    def _has_work(self) -> bool:
        can_write = self.store is not None and self.store.boots > 0
        return self.pending is not None or self.closing or (can_write and bool(self.numbers))

    def _raise_counters(self) -> None:
        assert self.store is not None
        with self.ready:
            numbers, self.numbers = self.numbers, []
        for name, number in numbers:
            try:
                number.set_result(self.store.bump(name))
            except (OSError, sqlite3.Error) as error:
                self._failed(error)
                number.set_exception(error)

    def _ensure(self) -> bool:
        """Whether there is a file to write to: the lock taken and the file begun, where they were not."""
        if self.store is None:
            self._take_over()
        if self.store is not None and not self.store.boots:
            self._prepare(self.store)
        return self.store is not None and self.store.boots > 0

    def _take_over(self) -> None:
        """The lock, once the process that held it has let go; then the file as an owner opens it."""
        try:
            fd = Store.take_lock(self.directory)
            if fd is None:
                return
            self.store, _ = Store.open(self.directory, fd, self.figures, time.time())
        except (OSError, sqlite3.Error) as error:
            self._failed(error)
            return
        event("state.taken_over", directory=self.directory)

    def _prepare(self, store: Store) -> None:
        try:
            store.prepare()
        except (OSError, sqlite3.Error) as error:
            self._failed(error)
            return
        event("state.ready", directory=self.directory, boots=store.boots)

    def _write(self, snapshot: Snapshot) -> None:
        assert self.store is not None
        try:
            self.store.write(snapshot)
        except (OSError, sqlite3.Error) as error:
            self._failed(error)
            return
        self.figures.written += 1
        if self.failing:
            self.failing = False
            event("state.write_resumed", directory=self.directory)

    def _failed(self, error: Exception) -> None:
        self.figures.write_failures += 1
        if not self.failing:
            self.failing = True
            event("state.write_failed", directory=self.directory, reason=str(error),
                  write_failures_total=self.figures.write_failures)  # fmt: skip
