"""The state store: one SQLite file of snapshots and counters, checked before anything in it is trusted.

docs/recovery.md says what is kept and why. `codec` is pure: a snapshot's bytes and its judgement; `file`
checks a file and `store` holds one; `keeper` is the thread that writes it; `recovery` begins it all. SQLite's
documented behaviour is followed: WAL mode with `synchronous=FULL` makes each transaction atomic and durable
(https://sqlite.org/wal.html), and `PRAGMA quick_check` finds a damaged b-tree
(https://sqlite.org/pragma.html#pragma_quick_check).
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

from cloverkeel.fleet.snapshot import StoreCounters as StoreCounters
from cloverkeel.fleet.snapshot import Snapshot as Snapshot

if TYPE_CHECKING:
    from cloverkeel.fleet.state.codec import decode as decode
    from cloverkeel.fleet.state.codec import encode as encode
    from cloverkeel.fleet.state.codec import unusable_reason as unusable_reason
    from cloverkeel.fleet.state.database import STATE_FILE as STATE_FILE
    from cloverkeel.fleet.state.database import CorruptError as CorruptError
    from cloverkeel.fleet.state.database import connect as connect
    from cloverkeel.fleet.state.database import read_counters as read_counters
    from cloverkeel.fleet.state.database import read_snapshots as read_snapshots
    from cloverkeel.fleet.state.database import open_read_only as open_read_only
    from cloverkeel.fleet.state.database import verify as verify
    from cloverkeel.fleet.state.writer import StateWriter as StateWriter
    from cloverkeel.fleet.state.recovery import recover as recover
    from cloverkeel.fleet.state.store import Store as Store

LAZY_EXPORTS = {
    "codec": ("decode", "encode", "unusable_reason"),
    "database": (
        "STATE_FILE",
        "CorruptError",
        "connect",
        "open_read_only",
        "read_counters",
        "read_snapshots",
        "verify",
    ),  # fmt: skip
    "writer": ("StateWriter",),
    "recovery": ("recover",),
    "store": ("Store",),
}


def __getattr__(name: str) -> object:
    """A name from its module: who needs the codec alone imports no database."""
    for home, names in LAZY_EXPORTS.items():
        if name in names:
            return getattr(import_module(f"{__name__}.{home}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
