"""The state store: a SQLite file of snapshots and counters, verified before its content is used.

docs/recovery.md says what is stored and why. `codec` encodes snapshots and decides whether one is usable,
without I/O. `database` opens and verifies the file, `store` is the file as its owner has it, `writer` is the
thread that writes it, and `recovery` opens the store when the process starts.

The store relies on documented behaviour of SQLite: WAL mode with `synchronous=FULL` makes each transaction
atomic and durable (https://sqlite.org/wal.html), and `PRAGMA quick_check` finds a damaged b-tree
(https://sqlite.org/pragma.html#pragma_quick_check).
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

from cloverkeel.fleet.snapshot import Snapshot as Snapshot
from cloverkeel.fleet.snapshot import StoreCounters as StoreCounters

if TYPE_CHECKING:
    from cloverkeel.fleet.state.codec import decode as decode
    from cloverkeel.fleet.state.codec import encode as encode
    from cloverkeel.fleet.state.codec import unusable_reason as unusable_reason
    from cloverkeel.fleet.state.database import STATE_FILE as STATE_FILE
    from cloverkeel.fleet.state.database import CorruptError as CorruptError
    from cloverkeel.fleet.state.database import connect as connect
    from cloverkeel.fleet.state.database import open_read_only as open_read_only
    from cloverkeel.fleet.state.database import read_counters as read_counters
    from cloverkeel.fleet.state.database import read_snapshots as read_snapshots
    from cloverkeel.fleet.state.database import verify as verify
    from cloverkeel.fleet.state.recovery import recover as recover
    from cloverkeel.fleet.state.store import Store as Store
    from cloverkeel.fleet.state.writer import StateWriter as StateWriter

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
    """Imports the module of an exported name on first use, so that users of the codec don't load SQLite."""
    for module, exported in LAZY_EXPORTS.items():
        if name in exported:
            return getattr(import_module(f"{__name__}.{module}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
