"""Pauses the cyclic garbage collector while many long-lived objects are created.

The merge and the index may pause it at the same time. Reference counting frees their objects once they are
replaced.
"""

from __future__ import annotations

import gc

_pauses = 0  # calls of pause without a resume yet


def pause() -> None:
    """Disable collection until each `pause` has been followed by a `resume`."""
    global _pauses
    _pauses += 1
    gc.disable()


def resume(freeze: bool = False) -> None:
    """End one pause. `freeze`: exclude all objects that exist now from later collections."""
    global _pauses
    if freeze:
        gc.freeze()
    _pauses -= 1
    if not _pauses:
        gc.enable()
