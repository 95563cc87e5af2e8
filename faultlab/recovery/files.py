"""State files of the recovery experiments: sound ones, copies as after a power loss, and how they open."""

from __future__ import annotations

import hashlib
import shutil
import sqlite3
import time
from pathlib import Path
from typing import Any

from cloverkeel.fleet import state
from faultlab.recovery import writer

Figures = dict[str, Any]  # measured values by name, as an experiment prints them


def copy_as_after_power_loss(source: Path, target: Path) -> None:
    """Copy what a disk could hold after a power loss: the database file and then its WAL, as read."""
    target.mkdir()
    for suffix in ("", "-wal"):
        with open(source / (state.STATE_FILE + suffix), "rb") as file:
            data = file.read()
        (target / (state.STATE_FILE + suffix)).write_bytes(data)


def open_copy(directory: Path) -> tuple[str, int]:
    """Open a copy as a start does; returns what came of it and the sequence number restored (-1: none).

    What came of it is 'restored', 'cold', 'moved aside' or 'accepted wrong'.
    """
    fd = state.Store.acquire_lock(str(directory))
    assert fd is not None
    counters = state.StoreCounters()
    store, found = state.Store.open(str(directory), fd, counters, time.time())
    store.close()
    if counters.corrupt:
        return "moved aside", -1
    if not found:
        return "cold", -1
    seq = writer.sequence_number(found[0])
    return ("restored" if seq >= 0 else "accepted wrong"), seq


def write_good_file(directory: Path, snapshots: int) -> None:
    """Make a directory with a sound state file that has this number of snapshots."""
    directory.mkdir()
    fd = state.Store.acquire_lock(str(directory))
    assert fd is not None
    store, _ = state.Store.open(str(directory), fd, state.StoreCounters(), time.time())
    store.prepare()
    for seq in range(snapshots):
        store.write(writer.synthetic_snapshot(seq, time.time()))
    store.close()


def write_file_with_wal(directory: Path) -> None:
    """Make a directory with a sound file whose newest snapshot is still in the WAL.

    The file is copied while its writer has it open.
    """
    source = directory.with_name(directory.name + "-source")
    write_good_file(source, 2)
    connection = sqlite3.connect(source / state.STATE_FILE, isolation_level=None)
    connection.execute("PRAGMA wal_autocheckpoint=0")
    payload = state.encode(writer.synthetic_snapshot(2, time.time()))
    connection.execute("INSERT INTO snapshot (taken_unix_s, payload, sha256) VALUES (?, ?, ?)",
                       (time.time(), payload, hashlib.sha256(payload).hexdigest()))  # fmt: skip
    copy_as_after_power_loss(source, directory)
    connection.close()
    shutil.rmtree(source)
