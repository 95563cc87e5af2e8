"""Garbage collection stays off until the last of those that hold it off is done."""

from __future__ import annotations

import gc

from cloverkeel.fleet.routes import passes


def test_passes_are_off_until_the_last_release() -> None:
    assert gc.isenabled()
    passes.hold()
    passes.hold()
    passes.release(freeze=True)
    assert not gc.isenabled() and gc.get_freeze_count() > 0
    passes.release()
    assert gc.isenabled()
    gc.unfreeze()
