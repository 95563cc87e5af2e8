"""The ledger on disk: its own tables in the state store's SQLite file, written by its own thread.

The file belongs to the state store, which checks it first, holds its lock, and sets the pragmas (WAL and
`synchronous=FULL`) that make each transaction atomic and durable. In a file without a ledger the tables are
created. Every row carries a checksum. A row that does not match is deleted and its dot removed from the
context, so that the record is fetched again from other members.
"""

from __future__ import annotations

import contextlib
import dataclasses
import hashlib
import os
import queue
import secrets
import sqlite3
import threading
from collections.abc import Callable

import msgspec

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import Persist, Persisted, PersistFailed
from cloverkeel.fleet.ledger.records import Record, invalid_reason, payload_hash
from cloverkeel.fleet.ledger.replica import Put
from cloverkeel.fleet.state.database import STATE_FILE, connect, transaction

SCHEMA = b"1"
TABLES = (
    "CREATE TABLE IF NOT EXISTS ledger_record (member TEXT, incarnation INTEGER, counter INTEGER,"
    " payload BLOB NOT NULL, head BLOB NOT NULL, sha256 TEXT NOT NULL,"
    " PRIMARY KEY (member, incarnation, counter))",
    "CREATE INDEX IF NOT EXISTS ledger_named ON ledger_record (payload)",
    "CREATE TABLE IF NOT EXISTS ledger_payload (sha256 BLOB PRIMARY KEY, payload BLOB NOT NULL)",
    "CREATE TABLE IF NOT EXISTS ledger_meta (key TEXT PRIMARY KEY, value BLOB NOT NULL,"
    " sha256 TEXT NOT NULL)",
)

_encode = msgspec.msgpack.encode


class StoreError(Exception):
    """The ledger's tables cannot be used; the message is one line of why."""


@dataclasses.dataclass
class Loaded:
    """The undamaged content of the file, and one finding for each row that was damaged.

    `store_id`: identifies this file. It is drawn at random when the tables are created, and again when there
    are findings: as long as it stays the same, no record has been lost from the file.
    """

    puts: list[Put]
    context: Context
    findings: list[str]
    store_id: int = 0


class Store:
    """The ledger's tables in the file of a state directory, whose lock this process must hold."""

    def __init__(self, directory: str) -> None:
        """Raises StoreError where there is no such file, it has another schema, or SQLite refuses it."""
        path = os.path.join(directory, STATE_FILE)
        if not os.path.isfile(path):
            raise StoreError(f"{path} is not there: the state store creates it")
        try:
            self.connection = connect(path)
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        try:
            self._create_tables()
        except sqlite3.Error as error:
            self.connection.close()
            raise StoreError(f"{path}: {error}") from None
        except StoreError:
            self.connection.close()
            raise

    def _create_tables(self) -> None:
        """Creates the tables if they are missing, and checks their schema."""
        if self.connection.execute("SELECT 1 FROM sqlite_master WHERE name = 'meta'").fetchone() is None:
            raise StoreError("the file is not begun by the state store")
        with transaction(self.connection):
            for table in TABLES:
                self.connection.execute(table)
            schema = self._meta("schema")
            if schema is None:
                self._put_meta("schema", SCHEMA)
            elif schema != SCHEMA:
                raise StoreError(f"ledger schema {schema!r:.20}, expected {SCHEMA!r}")

    def load(self) -> Loaded:
        """Reads all undamaged records with their payloads, and the context, and deletes damaged rows.

        Raises StoreError.
        """
        try:
            return self._load()
        except sqlite3.Error as error:
            raise StoreError(str(error)) from None

    def _load(self) -> Loaded:
        loaded = Loaded([], Context(), [])
        payloads = dict(self.connection.execute("SELECT sha256, payload FROM ledger_payload").fetchall())
        damaged: list[tuple[object, ...]] = []  # rows to delete
        lost: list[Dot] = []  # dots of heads whose payload is damaged or missing
        heads_intact = True
        rows = self.connection.execute("SELECT member, incarnation, counter, head, sha256 FROM ledger_record")
        for *dot_columns, head, checksum in rows.fetchall():
            record = decode_row(dot_columns, head, checksum)
            if record is None:
                heads_intact = False
                loaded.findings.append(
                    f"record {':'.join(map(str, dot_columns))}: checksum does not match, dropped"
                )
                damaged.append(tuple(dot_columns))
                continue
            payload = b"" if record.deleted else payloads.get(record.sha256)
            if not record.deleted and (payload is None or payload_hash(payload) != record.sha256):
                loaded.findings.append(
                    f"payload of {record.kind}/{record.key}: does not match its SHA-256, dropped"
                )
                damaged.append(tuple(dot_columns))
                lost.append(record.dot)
                continue
            loaded.puts.append(Put(record, payload or b""))
        loaded.puts.sort(key=lambda put: put.record.dot)
        context = self._load_context()
        if (context is None and loaded.puts) or not heads_intact:
            loaded.findings.append("the context is made again from the sound records")
        elif context is not None:
            loaded.context = context
            for dot in lost:
                loaded.context = loaded.context.without(dot)
        for put in loaded.puts:
            loaded.context = loaded.context.merge(put.record.context)
        loaded.context = loaded.context.add(put.record.dot for put in loaded.puts)
        stored_id = self._meta("disk")
        loaded.store_id = int.from_bytes(stored_id or b"", "big")
        if loaded.findings or not loaded.store_id:
            loaded.store_id = secrets.randbits(62) + 1
            with transaction(self.connection):
                self._delete(damaged)
                self._put_meta("disk", loaded.store_id.to_bytes(8, "big"))
                self._put_meta("context", _encode(loaded.context))
        return loaded

    def write(self, rows: Persist) -> None:
        """Writes a batch in one transaction. If it raises sqlite3.Error or OSError, nothing is written."""
        with transaction(self.connection):
            for put in rows.puts:
                record = put.record
                head = _encode(record)
                dot = record.dot
                self.connection.execute(
                    "INSERT OR REPLACE INTO ledger_record VALUES (?, ?, ?, ?, ?, ?)",
                    (dot.member, dot.incarnation, dot.counter, record.sha256, head, checksum(head)),
                )
                if not record.deleted:
                    self.connection.execute(
                        "INSERT OR REPLACE INTO ledger_payload VALUES (?, ?)", (record.sha256, put.payload)
                    )
            self._delete([(dot.member, dot.incarnation, dot.counter) for dot in rows.drops])
            self._put_meta("context", _encode(rows.context))

    def close(self) -> None:
        self.connection.close()

    def _delete(self, dots: list[tuple[object, ...]]) -> None:
        """Deletes records by dot, and the payloads that no record refers to any more."""
        where = "WHERE member = ? AND incarnation = ? AND counter = ?"
        for dot in dots:
            row = self.connection.execute(f"SELECT payload FROM ledger_record {where}", dot).fetchone()
            self.connection.execute(f"DELETE FROM ledger_record {where}", dot)
            if row is not None:
                self.connection.execute(
                    "DELETE FROM ledger_payload WHERE sha256 = ?1"
                    " AND NOT EXISTS (SELECT 1 FROM ledger_record WHERE payload = ?1)",
                    row,
                )

    def _load_context(self) -> Context | None:
        """The stored context, or None if it is missing or damaged."""
        value = self._meta("context")
        if value is None:
            return None
        try:
            context: Context = msgspec.msgpack.decode(value, type=Context)
        except msgspec.MsgspecError:
            return None
        return None if context.invalid_reason() else context

    def _meta(self, key: str) -> bytes | None:
        """A value of the meta table, or None if it is missing or damaged."""
        row = self.connection.execute(
            "SELECT value, sha256 FROM ledger_meta WHERE key = ?", (key,)
        ).fetchone()
        if row is None or not isinstance(row[0], bytes) or checksum(row[0]) != row[1]:
            return None
        return row[0]

    def _put_meta(self, key: str, value: bytes) -> None:
        self.connection.execute(
            "INSERT OR REPLACE INTO ledger_meta VALUES (?, ?, ?)", (key, value, checksum(value))
        )


class Writer:
    """A thread that writes batches, one at a time; it calls `on_done` with the outcome of each."""

    def __init__(self, store: Store, on_done: Callable[[Persisted | PersistFailed], None]) -> None:
        self.store, self.on_done = store, on_done
        self.batches: queue.SimpleQueue[Persist | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="ledger-writer", daemon=True)
        self.thread.start()

    def write(self, rows: Persist) -> None:
        """Queues a batch."""
        self.batches.put(rows)

    def close(self, wait_s: float) -> None:
        """Lets the thread write what is queued and end; waits up to `wait_s` for that."""
        self.batches.put(None)
        self.thread.join(wait_s)

    def _run(self) -> None:
        while (rows := self.batches.get()) is not None:
            try:
                self.store.write(rows)
            except (sqlite3.Error, OSError) as error:
                self.on_done(PersistFailed(rows.batch, str(error)))
            else:
                self.on_done(Persisted(rows.batch))
        with contextlib.suppress(sqlite3.Error):
            self.store.close()


def checksum(value: bytes) -> str:
    """The checksum of a row's value: its SHA-256 in hex."""
    return hashlib.sha256(value).hexdigest()


def decode_row(dot_columns: list[object], head: object, sha256: object) -> Record | None:
    """The record of a row, or None if the row is damaged. `dot_columns`: member, incarnation, counter."""
    if not isinstance(head, bytes) or checksum(head) != sha256:
        return None
    try:
        record: Record = msgspec.msgpack.decode(head, type=Record)
    except msgspec.MsgspecError:
        return None
    dot = record.dot
    if invalid_reason(record) is not None or dot_columns != [dot.member, dot.incarnation, dot.counter]:
        return None
    return record
