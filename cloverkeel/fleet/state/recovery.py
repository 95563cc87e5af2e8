"""Recovery at the start: what may be used of a state directory, and the writer for what comes."""

from __future__ import annotations

import os
import sqlite3
import time

from cloverkeel.fleet.events import event
from cloverkeel.fleet.snapshot import StoreCounters, Snapshot
from cloverkeel.fleet.state.codec import unusable_reason
from cloverkeel.fleet.state.database import read_snapshots
from cloverkeel.fleet.state.writer import StateWriter
from cloverkeel.fleet.state.store import Store


def recover(
    directory: str, interval_s: float, max_age_s: float, upgrade: bool, figures: StoreCounters
) -> tuple[StateWriter | None, Snapshot | None]:
    """Recovery at the start: the store to write to (None: run without one) and the newest snapshot that may
    be used (None: start cold). Never raises; each reason to go without is one line.

    `upgrade`: this process is the new one beside an old one that may still hold the lock.
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
            found = read_snapshots(directory)
        else:
            store, found = Store.open(directory, fd, figures, now_unix_s)
    except (OSError, sqlite3.Error) as error:
        event("state.unusable", directory=directory, reason=str(error), store="off")
        return None, None
    newest = found[0] if found else None
    if newest is not None:
        why = unusable_reason(newest, now_unix_s, max_age_s)
        if why is not None:
            event("state.stale", directory=directory, reason=why)
            newest = None
    event("state.opened", directory=directory, snapshots=len(found), warm=newest is not None,
          writer="this process" if store is not None else "after the process before ends")  # fmt: skip
    return StateWriter(directory, interval_s, figures, store), newest
