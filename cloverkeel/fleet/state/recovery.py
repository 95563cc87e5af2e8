"""Opens the state directory when the process starts."""

from __future__ import annotations

import os
import sqlite3
import time

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import Snapshot, StoreCounters
from cloverkeel.fleet.state.codec import unusable_reason
from cloverkeel.fleet.state.database import read_snapshots
from cloverkeel.fleet.state.store import Store
from cloverkeel.fleet.state.writer import StateWriter


def recover(
    directory: str, interval_s: float, max_age_s: float, upgrade: bool, store_counters: StoreCounters
) -> tuple[StateWriter | None, Snapshot | None]:
    """Opens the store and returns its writer and the newest usable snapshot.

    No writer (None) means that the process runs without a store, no snapshot that it starts cold. Never
    raises; each reason to go without is logged in one line. `upgrade`: this process replaces a predecessor,
    which may still hold the lock.
    """
    now_unix_s = time.time()
    store: Store | None = None
    try:
        os.makedirs(directory, exist_ok=True)
        fd = Store.acquire_lock(directory)
        if fd is None and not upgrade:
            event("state.locked", directory=directory,
                  reason="another process holds this state directory; running without the store")  # fmt: skip
            return None, None
        if fd is None:
            snapshots = read_snapshots(directory)
        else:
            store, snapshots = Store.open(directory, fd, store_counters, now_unix_s)
    except (OSError, sqlite3.Error) as error:
        event("state.unusable", directory=directory, reason=str(error), store="off")
        return None, None
    newest = snapshots[0] if snapshots else None
    if newest is not None:
        reason = unusable_reason(newest, now_unix_s, max_age_s)
        if reason is not None:
            event("state.stale", directory=directory, reason=reason)
            newest = None
    event("state.opened", directory=directory, snapshots=len(snapshots), warm=newest is not None,
          writer="this process" if store is not None else "after the process before ends")  # fmt: skip
    return StateWriter(directory, interval_s, store_counters, store), newest
