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
from cloverkeel.fleet.state.file import FILE, counters, reader
from cloverkeel.fleet.state.store import Store


class Keeper:
    """The writer: one thread that takes the newest snapshot offered and writes it, so that the loop that
    offers never waits. Where another process holds the lock (the old process of an upgrade), it takes the
    lock once that one has ended and writes from then on.
    """

    def __init__(
        self, directory: str, interval_s: float, figures: StoreCounters, store: Store | None
    ) -> None:
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
