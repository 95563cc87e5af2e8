"""Garbage collection stays paused until the last pause has ended."""

from __future__ import annotations

import gc

from cloverkeel.fleet.routes import gc_pause


def test_collection_is_paused_until_the_last_resume() -> None:
    assert gc.isenabled()
    gc_pause.pause()
    gc_pause.pause()
    gc_pause.resume(freeze=True)
    assert not gc.isenabled() and gc.get_freeze_count() > 0
    gc_pause.resume()
    assert gc.isenabled()
    gc.unfreeze()
