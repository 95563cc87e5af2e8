"""Passes of the garbage collector held off while many objects that last are made: the merge and the index may
be at it in turn. What such work makes is let go by count when it is replaced."""

from __future__ import annotations

import gc

_pauses = 0


def pause() -> None:
    """No pass until each `hold` has had its `release`."""
    global _pauses
    _pauses += 1
    gc.disable()


def resume(freeze: bool = False) -> None:
    """`freeze`: what there is now is left out of all later passes."""
    global _pauses
    if freeze:
        gc.freeze()
    _pauses -= 1
    if not _pauses:
        gc.enable()
