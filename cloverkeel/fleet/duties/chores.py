"""What the program itself does under a duty."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from cloverkeel.fleet.duties.shell import NotHeldError, Service
from cloverkeel.fleet.events import event
from cloverkeel.fleet.state.file import FILE

EVERY_S = 60.0
ASIDE_KEPT = 3  # files that failed their checks and were moved aside


def compact(directory: str) -> int:
    """Remove all but the newest ASIDE_KEPT state files that were moved aside; returns how many files went."""
    mark = f"{FILE}.corrupt-"
    aside: dict[int, list[str]] = {}
    for name in os.listdir(directory):
        moment = name.removeprefix(mark).partition("-")[0]
        if name.startswith(mark) and moment.isdigit():
            aside.setdefault(int(moment), []).append(name)
    gone = [name for moment in sorted(aside)[:-ASIDE_KEPT] for name in aside[moment]]
    for name in gone:
        os.unlink(os.path.join(directory, name))
    return len(gone)


CHORES: dict[str, Callable[[str], int]] = {"state-compaction": compact}


class Chore:
    """`work(directory)` as this process begins the duty and each EVERY_S while it holds it."""

    def __init__(self, duty: str, service: Service, directory: str, work: Callable[[str], int]) -> None:
        self.duty, self.service, self.directory, self.work = duty, service, directory, work
        self.timer: asyncio.TimerHandle | None = None
        service.listen(duty, self._changed)

    def _changed(self, token: int | None) -> None:
        self.close()
        if token is not None:
            self._do()

    def _do(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(EVERY_S, self._do)
        try:
            gone = self.service.act(self.duty, lambda token: self.work(self.directory))
        except NotHeldError:
            return
        except OSError as error:
            event("duties.chore_failed", duty=self.duty, reason=str(error))
            return
        if gone:
            event("duties.chore", duty=self.duty, removed=gone)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
