"""The thread that writes the state file, so that the event loop never waits for the disk."""

from __future__ import annotations

import contextlib
import os
import sqlite3
import threading
import time
from concurrent.futures import Future

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import Snapshot, StoreCounters
from cloverkeel.fleet.state.database import STATE_FILE, open_read_only, read_counters
from cloverkeel.fleet.state.store import Store


class StateWriter:
    """A thread that writes the newest snapshot offered and increments counters.

    If another process holds the lock (the predecessor in an upgrade), the thread takes the lock once that
    process has exited, and writes from then on.
    """

    def __init__(
        self, directory: str, interval_s: float, store_counters: StoreCounters, store: Store | None
    ) -> None:
        self.directory, self.interval_s, self.store_counters, self.store = (
            directory,
            interval_s,
            store_counters,
            store,
        )
        self.pending_snapshot: Snapshot | None = None
        self.pending_increments: list[tuple[str, Future[int]]] = []  # counter, and its new value once written
        self.failing = False
        self.closing = False
        self.condition = threading.Condition()
        self.thread = threading.Thread(target=self._run, name="state-writer", daemon=True)
        self.thread.start()

    def offer(self, snapshot: Snapshot) -> None:
        """Passes a snapshot to the thread; replaces one that is not yet written."""
        with self.condition:
            self.pending_snapshot = snapshot
            self.condition.notify()

    def request_increment(self, name: str) -> Future[int]:
        """Has the thread increment a counter; the future is its new value, once written.

        It stays pending while another process owns the file, and fails with sqlite3.Error or OSError if the
        write fails.
        """
        number: Future[int] = Future()
        with self.condition:
            self.pending_increments.append((name, number))
            self.condition.notify()
        return number

    def read_counter(self, name: str) -> int:
        """Reads a counter from the file, whichever process owns it; 0 if there is none or it is unreadable.

        Blocks on the disk.
        """
        try:
            with contextlib.closing(open_read_only(os.path.join(self.directory, STATE_FILE))) as connection:
                return read_counters(connection).get(name, 0)
        except sqlite3.Error:
            return 0

    def close(self, final: Snapshot | None, wait_s: float) -> None:
        """Writes `final` if given and ends the thread; what is not written within `wait_s` is lost."""
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
        """Increments the counters asked for and resolves their futures."""
        assert self.store is not None
        with self.condition:
            increments, self.pending_increments = self.pending_increments, []
        for name, value in increments:
            try:
                value.set_result(self.store.increment(name))
            except (OSError, sqlite3.Error) as error:
                self._record_failure(error)
                value.set_exception(error)

    def _ensure_store(self) -> bool:
        """Takes the lock and prepares the file if that is not done yet; whether the file can be written."""
        if self.store is None:
            self._take_over()
        if self.store is not None and not self.store.boots:
            self._prepare(self.store)
        return self.store is not None and self.store.boots > 0

    def _take_over(self) -> None:
        """Takes the lock if its holder has released it, then opens the file as its owner."""
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
        """Creates the file if needed and increments `boots`; logs a failure."""
        try:
            store.prepare()
        except (OSError, sqlite3.Error) as error:
            self._record_failure(error)
            return
        event("state.ready", directory=self.directory, boots=store.boots)

    def _write(self, snapshot: Snapshot) -> None:
        """Writes a snapshot; logs a failure, and the first success after one."""
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
        """Counts a failed write, and logs the first of a series."""
        self.store_counters.write_failures += 1
        if not self.failing:
            self.failing = True
            event("state.write_failed", directory=self.directory, reason=str(error),
                  write_failures_total=self.store_counters.write_failures)  # fmt: skip
