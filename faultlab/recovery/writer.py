"""A process that writes snapshots to a state directory as fast as it can.

The lab kills it, copies its files meanwhile, or limits their size. Each snapshot is made from its sequence
number alone (`synthetic_snapshot`), so that a reader of the file can tell a completely written snapshot from
anything else. Lines on standard output:

    found SEQ        the newest snapshot at the start (-1: none), after the store's own checks
    committed SEQ    a write that returned
    failed REASON    a write that raised
"""

from __future__ import annotations

import sqlite3
import sys
import time

from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer

from cloverkeel.fleet import state

SERVER_COUNT = 60  # enough for one snapshot to fill several pages of the file


def synthetic_snapshot(seq: int, taken_unix_s: float) -> state.Snapshot:
    """The snapshot of a sequence number."""
    servers = tuple(
        LearnedServer(
            number, seq, 1.0 / (1 + (seq + number) % 9), 0.5,
            LearnedBreaker(tuple(bool((seq >> b) & 1) for b in range(10)),
                           "open" if number % 5 == 0 else "closed", 1000 * number, 1_000_000),
            ((0, 0.5, LearnedBreaker((True,), "closed", 0, 1_000_000)),),
        )
        for number in range(SERVER_COUNT)
    )  # fmt: skip
    return state.Snapshot(taken_unix_s, LearnedState(servers, (float(seq) + 1.0,), (float(seq) + 1.0,)), {})


def sequence_number(snapshot: state.Snapshot) -> int:
    """The sequence number of a snapshot; -1 if `synthetic_snapshot` did not make it."""
    seq = int(snapshot.learned.smoothed_us[0]) - 1 if snapshot.learned.smoothed_us else -1
    return seq if snapshot == synthetic_snapshot(seq, snapshot.taken_unix_s) else -1


def main(directory: str, count: int) -> int:
    """Write `count` snapshots after the newest one found; returns the exit code."""
    fd = state.Store.acquire_lock(directory)
    if fd is None:
        print("locked", flush=True)
        return 1
    store, found = state.Store.open(directory, fd, state.StoreCounters(), time.time())
    store.prepare()
    first = sequence_number(found[0]) if found else -1
    if found and first < 0:
        print("found wrong", flush=True)
        return 1
    print(f"found {first}", flush=True)
    for seq in range(first + 1, first + 1 + count):
        try:
            store.write(synthetic_snapshot(seq, time.time()))
        except (OSError, sqlite3.Error) as error:
            print(f"failed {error}", flush=True)
            continue
        print(f"committed {seq}", flush=True)
    store.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], int(sys.argv[2])))
