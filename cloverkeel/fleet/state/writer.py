"""The writer: one thread, so that the event loop never waits for a disk."""

from __future__ import annotations

import contextlib
import os
import sqlite3
import threading
import time
from concurrent.futures import Future

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import StoreCounters, Snapshot
from cloverkeel.fleet.state.database import STATE_FILE, read_counters, open_read_only
from cloverkeel.fleet.state.store import Store


class StateWriter:
    """The writer: one thread that takes the newest snapshot offered and writes it, so that the loop that
    offers never waits. Where another process holds the lock (the old process of an upgrade), it takes the
    lock once that one has ended and writes from then on.
    """

    def __init__(
        self, directory: str, interval_s: float, figures: StoreCounters, store: Store | None
    ) -> None:
        self.directory, self.interval_s, self.store_counters, self.store = (
            directory,
            interval_s,
            figures,
            store,
        )
        self.pending_snapshot: Snapshot | None = None
        self.pending_increments: list[tuple[str, Future[int]]] = []  # counters to raise
        self.failing = False
        self.closing = False
        self.condition = threading.Condition()
        self.thread = threading.Thread(target=self._run, name="state-writer", daemon=True)
        self.thread.start()

    def offer(self, snapshot: Snapshot) -> None:
        """Hand over a snapshot to write; an older one not yet written is dropped."""
        with self.condition:
            self.pending_snapshot = snapshot
            self.condition.notify()

    def request_increment(self, name: str) -> Future[int]:
        """Have a counter raised: its new value once that is written. It waits while another process holds the
        file, and fails with sqlite3.Error or OSError where the write does."""
        number: Future[int] = Future()
        with self.condition:
            self.pending_increments.append((name, number))
            self.condition.notify()
        return number

    def read_counter(self, name: str) -> int:
        """A counter as the file has it, whoever holds it; 0: none, or not readable. Reads the disk."""
        try:
            with contextlib.closing(open_read_only(os.path.join(self.directory, STATE_FILE))) as connection:
                return read_counters(connection).get(name, 0)
        except sqlite3.Error:
            return 0

    def close(self, final: Snapshot | None, wait_s: float) -> None:
        """Write `final` if given, then end within `wait_s`; what is still unwritten then is lost."""
        with self.condition:
            if final is not None:
                self.pending_snapshot = final
            self.closing = True
            self.condition.notify()
        self.thread.join(wait_s)

    def _run(self) -> None:
        self._ensure_store()
        while True:
            with self.condition:
                self.condition.wait_for(self._has_work, self.interval_s)
                snapshot, self.pending_snapshot = self.pending_snapshot, None
                closing = self.closing
            if self._ensure_store():
                self._increment_counters()
                if snapshot is not None:
                    self._write(snapshot)
            if closing:
                if self.store is not None:
                    self.store.close()
                return

    def _has_work(self) -> bool:
        can_write = self.store is not None and self.store.boots > 0
        return (
            self.pending_snapshot is not None or self.closing or (can_write and bool(self.pending_increments))
        )

    def _increment_counters(self) -> None:
        assert self.store is not None
        with self.condition:
            numbers, self.pending_increments = self.pending_increments, []
        for name, number in numbers:
            try:
                number.set_result(self.store.increment(name))
            except (OSError, sqlite3.Error) as error:
                self._record_failure(error)
                number.set_exception(error)

    def _ensure_store(self) -> bool:
        """Whether there is a file to write to: the lock taken and the file begun, where they were not."""
        if self.store is None:
            self._take_over()
        if self.store is not None and not self.store.boots:
            self._prepare(self.store)
        return self.store is not None and self.store.boots > 0

    def _take_over(self) -> None:
        """The lock, once the process that held it has let go; then the file as an owner opens it."""
        try:
            fd = Store.acquire_lock(self.directory)
            if fd is None:
                return
            self.store, _ = Store.open(self.directory, fd, self.store_counters, time.time())
        except (OSError, sqlite3.Error) as error:
            self._record_failure(error)
            return
        event("state.taken_over", directory=self.directory)

    def _prepare(self, store: Store) -> None:
        try:
            store.prepare()
        except (OSError, sqlite3.Error) as error:
            self._record_failure(error)
            return
        event("state.ready", directory=self.directory, boots=store.boots)

    def _write(self, snapshot: Snapshot) -> None:
        assert self.store is not None
        try:
            self.store.write(snapshot)
        except (OSError, sqlite3.Error) as error:
            self._record_failure(error)
            return
        self.store_counters.written += 1
        if self.failing:
            self.failing = False
            event("state.write_resumed", directory=self.directory)

    def _record_failure(self, error: Exception) -> None:
        self.store_counters.write_failures += 1
        if not self.failing:
            self.failing = True
            event("state.write_failed", directory=self.directory, reason=str(error),
                  write_failures_total=self.store_counters.write_failures)  # fmt: skip
