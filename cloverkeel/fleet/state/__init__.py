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
    from cloverkeel.fleet.state.codec import judge as judge
    from cloverkeel.fleet.state.file import FILE as FILE
    from cloverkeel.fleet.state.file import CorruptError as CorruptError
    from cloverkeel.fleet.state.file import connect as connect
    from cloverkeel.fleet.state.file import counters as counters
    from cloverkeel.fleet.state.file import read_only as read_only
    from cloverkeel.fleet.state.file import reader as reader
    from cloverkeel.fleet.state.file import verify as verify
    from cloverkeel.fleet.state.keeper import Keeper as Keeper
    from cloverkeel.fleet.state.recovery import start as start
    from cloverkeel.fleet.state.store import Store as Store

HOMES = {
    "codec": ("decode", "encode", "judge"),
    "file": ("FILE", "CorruptError", "connect", "counters", "read_only", "reader", "verify"),
    "keeper": ("Keeper",),
    "recovery": ("start",),
    "store": ("Store",),
}


def __getattr__(name: str) -> object:
    """A name from its module: who needs the codec alone imports no database."""
    for home, names in HOMES.items():
        if name in names:
            return getattr(import_module(f"{__name__}.{home}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
