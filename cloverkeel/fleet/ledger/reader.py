"""Reads the ledger from a state file that another process owns, without changing anything."""

from __future__ import annotations

import contextlib
import os
import sqlite3

from cloverkeel.fleet.ledger.records import payload_hash
from cloverkeel.fleet.ledger.replica import Put
from cloverkeel.fleet.ledger.store import SCHEMA, StoreError, checksum, decode_row
from cloverkeel.fleet.state.database import STATE_FILE, open_read_only


class Reader:
    """Reads records from a state file, again after each change of the file.

    Used by one thread at a time. The constructor raises StoreError where there is no file or SQLite cannot
    open it.
    """

    def __init__(self, directory: str) -> None:
        self.path = os.path.join(directory, STATE_FILE)
        self.version = -1  # PRAGMA data_version at the last call of `puts`
        try:
            self.connection = open_read_only(self.path)
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def puts(self, kinds: frozenset[str]) -> list[Put] | None:
        """The undamaged live records of these kinds, or None if the file has not changed since the last call.

        A file without a ledger of this schema has none. Raises StoreError.
        """
        try:
            version = int(self.connection.execute("PRAGMA data_version").fetchone()[0])
            if version == self.version:
                return None
            self.connection.execute("BEGIN")  # a consistent snapshot for all reads
            try:
                found = self._puts(kinds)
            finally:
                self.connection.execute("ROLLBACK")
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None
        self.version = version
        return found

    def _puts(self, kinds: frozenset[str]) -> list[Put]:
        tables = {row[0] for row in self.connection.execute("SELECT name FROM sqlite_master")}
        if not {"ledger_record", "ledger_payload", "ledger_meta"} <= tables:
            return []
        meta = "SELECT value, sha256 FROM ledger_meta WHERE key = 'schema'"
        if self.connection.execute(meta).fetchone() != (SCHEMA, checksum(SCHEMA)):
            return []
        rows = self.connection.execute("SELECT member, incarnation, counter, head, sha256 FROM ledger_record")
        found = []
        for *dot_columns, head, sha256 in rows.fetchall():
            record = decode_row(dot_columns, head, sha256)
            if record is None or record.deleted or record.kind not in kinds:
                continue
            select = "SELECT payload FROM ledger_payload WHERE sha256 = ?"
            row = self.connection.execute(select, (record.sha256,)).fetchone()
            if row is not None and payload_hash(row[0]) == record.sha256:
                found.append(Put(record, row[0]))
        return found

    def close(self) -> None:
        self.connection.close()


def read_payloads(directory: str, kind: str) -> list[tuple[str, bytes]]:
    """Key and payload of each undamaged record of a kind in the state file of `directory`.

    A file that cannot be read gives none: reporting that is left to the process that owns it.
    """
    try:
        with contextlib.closing(Reader(directory)) as file_reader:
            return [(put.record.key, put.payload) for put in file_reader.puts(frozenset({kind})) or ()]
    except StoreError:
        return []
