"""What the program itself does under a duty."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from cloverkeel.fleet.duties.shell import NotHeldError, DutyService
from cloverkeel.fleet.events import event
from cloverkeel.fleet.state.database import STATE_FILE

INTERVAL_S = 60.0
CORRUPT_FILES_KEPT = 3  # files that failed their checks and were moved aside


def remove_old_corrupt_files(directory: str) -> int:
    """Remove all but the newest ASIDE_KEPT state files that were moved aside; returns how many files went."""
    mark = f"{STATE_FILE}.corrupt-"
    aside: dict[int, list[str]] = {}
    for name in os.listdir(directory):
        moment = name.removeprefix(mark).partition("-")[0]
        if name.startswith(mark) and moment.isdigit():
            aside.setdefault(int(moment), []).append(name)
    gone = [name for moment in sorted(aside)[:-CORRUPT_FILES_KEPT] for name in aside[moment]]
    for name in gone:
        os.unlink(os.path.join(directory, name))
    return len(gone)


JOBS: dict[str, Callable[[str], int]] = {"state-compaction": remove_old_corrupt_files}


class PeriodicJob:
    """`work(directory)` as this process begins the duty and each EVERY_S while it holds it."""

    def __init__(self, duty: str, service: DutyService, directory: str, work: Callable[[str], int]) -> None:
        self.duty, self.service, self.directory, self.work = duty, service, directory, work
        self.timer: asyncio.TimerHandle | None = None
        service.add_listener(duty, self._on_duty_changed)

    def _on_duty_changed(self, token: int | None) -> None:
        self.close()
        if token is not None:
            self._run()

    def _run(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(INTERVAL_S, self._run)
        try:
            gone = self.service.run_if_held(self.duty, lambda token: self.work(self.directory))
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
