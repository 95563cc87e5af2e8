"""Garbage collection stays off until the last of those that hold it off is done."""

from __future__ import annotations

import gc

from cloverkeel.fleet.routes import gc_pause


def test_passes_are_off_until_the_last_release() -> None:
    assert gc.isenabled()
    gc_pause.pause()
    gc_pause.pause()
    gc_pause.resume(freeze=True)
    assert not gc.isenabled() and gc.get_freeze_count() > 0
    gc_pause.resume()
    assert gc.isenabled()
    gc.unfreeze()
