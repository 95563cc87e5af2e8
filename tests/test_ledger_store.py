"""The ledger's tables in a real state file: writing, damage, and other readers."""

from __future__ import annotations

import os
import queue
import sqlite3
import time
from pathlib import Path

import pytest

from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.interface import Persist, Persisted, PersistFailed
from cloverkeel.fleet.ledger.reader import Reader
from cloverkeel.fleet.ledger.records import Record, payload_hash
from cloverkeel.fleet.ledger.replica import Put
from cloverkeel.fleet.ledger.store import Store, StoreError, Writer
from cloverkeel.fleet.state import STATE_FILE, StoreCounters, verify
from cloverkeel.fleet.state.store import Store as StateStore


@pytest.fixture
def directory(tmp_path: Path) -> str:
    """A state directory with a state file that has no ledger tables yet."""
    fd = StateStore.acquire_lock(str(tmp_path))
    assert fd is not None
    state, _ = StateStore.open(str(tmp_path), fd, StoreCounters(), time.time())
    state.prepare()
    state.close()
    return str(tmp_path)


def put(counter: int, payload: bytes | None) -> Put:
    hash_and_size = (b"", 0) if payload is None else (payload_hash(payload), len(payload))
    dot = Dot("a", 2**62 - 1, counter)
    return Put(Record("k", f"key{counter}", *hash_and_size, dot, Context(), payload is None), payload or b"")


def batch(puts: list[Put], *drops: int) -> Persist:
    held = Context().add(p.record.dot for p in puts)
    return Persist(1, tuple(puts), tuple(Dot("a", 2**62 - 1, n) for n in drops), held)


def reopened(directory: str, *damage: str) -> tuple[Store, list[int], Context, list[str]]:
    """Runs SQL on the file and opens it: the store, counters of the loaded records, context, findings."""
    connection = sqlite3.connect(os.path.join(directory, STATE_FILE))
    for sql in damage:
        connection.execute(sql)
    connection.commit()
    connection.close()
    store = Store(directory)
    loaded = store.load()
    return store, [p.record.dot.counter for p in loaded.puts], loaded.context, loaded.findings


def test_a_state_file_gets_the_ledgers_tables_and_stays_valid(directory: str) -> None:
    store = Store(directory)
    assert store.load().puts == [] and store.load().findings == []
    puts = [put(1, b"x"), put(2, bytes(256 * 1024)), put(3, None), put(4, b"x")]
    store.write(batch(puts, 1))
    store.close()
    again = Store(directory)
    loaded = again.load()
    assert loaded.puts == puts[1:] and loaded.findings == []
    assert loaded.context == Context().add(p.record.dot for p in puts)
    assert verify(again.connection) == ([], [])
    again.write(batch([], 2, 4))
    assert again.connection.execute("SELECT count(*) FROM ledger_payload").fetchone() == (0,)


@pytest.mark.parametrize(
    ("damage", "remaining", "covered", "finding"),
    [
        ("UPDATE ledger_payload SET payload = x'00' WHERE payload = x'79'", [1, 3], [1, 3], "SHA-256"),
        ("DELETE FROM ledger_payload WHERE payload = x'79'", [1, 3], [1, 3], "SHA-256"),
        ("UPDATE ledger_record SET head = x'00' WHERE counter = 1", [2, 3], [2, 3], "checksum"),
        ("UPDATE ledger_meta SET value = x'80' WHERE key = 'context'", [1, 2, 3], [1, 2, 3], "made again"),
    ],
)
def test_damaged_rows_are_dropped_and_may_be_fetched_again(
    directory: str, damage: str, remaining: list[int], covered: list[int], finding: str
) -> None:
    store = Store(directory)
    store_id = store.load().store_id
    store.write(batch([put(1, b"x"), put(2, b"y"), put(3, b"z")]))
    assert store.load().store_id == store_id > 0
    store.close()
    store, counters, context, findings = reopened(directory, damage)
    assert counters == remaining
    assert context == Context().add(Dot("a", 2**62 - 1, n) for n in covered)
    assert finding in findings[0]
    assert store.load().store_id not in (0, store_id)  # promises may rest on the lost record
    store.write(batch([put(2, b"y")]))
    assert store.load().findings == []


def test_a_missing_file_or_an_unknown_schema_is_refused(directory: str, tmp_path: Path) -> None:
    with pytest.raises(StoreError, match="creates it"):
        Store(str(tmp_path / "nowhere"))
    Store(directory).close()
    with pytest.raises(StoreError, match="schema"):
        later = "'" + payload_hash(b"2").hex() + "'"
        reopened(directory, f"UPDATE ledger_meta SET value = x'32', sha256 = {later} WHERE key = 'schema'")


def test_a_batch_that_fails_is_reported_and_writes_nothing(directory: str) -> None:
    store = Store(directory)
    results: queue.Queue[Persisted | PersistFailed] = queue.Queue()
    writer = Writer(store, results.put)
    pages = store.connection.execute("PRAGMA page_count").fetchone()[0]
    store.connection.execute(f"PRAGMA max_page_count = {pages + 1}")  # acts as a full disk
    writer.write(batch([put(1, b"x"), put(2, bytes(256 * 1024))]))
    failed = results.get(timeout=10)
    assert isinstance(failed, PersistFailed) and "full" in failed.reason
    store.connection.execute("PRAGMA max_page_count = 100000")
    writer.write(batch([put(3, b"z")]))
    assert results.get(timeout=10) == Persisted(1)
    writer.close(10)
    assert reopened(directory)[1] == [3]


def test_a_reader_sees_only_committed_and_undamaged_records(directory: str, tmp_path: Path) -> None:
    kinds = frozenset({"k"})
    reader = Reader(directory)
    assert reader.puts(kinds) == []  # no ledger tables yet
    store = Store(directory)
    store.write(batch([put(1, b"x"), put(2, b"y"), put(3, None)]))
    assert reader.puts(frozenset({"other"})) == []
    store.write(batch([put(4, b"z")], 1))
    assert reader.puts(kinds) == [put(2, b"y"), put(4, b"z")]
    assert reader.puts(kinds) is None  # the file has not changed
    store.connection.execute("UPDATE ledger_payload SET payload = X'00' WHERE payload = X'79'")
    store.connection.execute("UPDATE ledger_record SET head = X'00' WHERE counter = 3")
    assert reader.puts(kinds) == [put(4, b"z")]
    reader.close()
    store.close()
    with pytest.raises(StoreError, match="unable to open"):
        Reader(str(tmp_path / "none"))
