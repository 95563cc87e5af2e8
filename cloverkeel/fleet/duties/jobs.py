"""Periodic jobs that the program itself runs under a duty."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from cloverkeel.fleet.duties.shell import DutyService, NotHeldError
from cloverkeel.fleet.events import event
from cloverkeel.fleet.state.database import STATE_FILE

INTERVAL_S = 60.0  # between two runs of a job
CORRUPT_FILES_KEPT = 3  # newest state files kept of those that failed their checks and were moved aside


def remove_old_corrupt_files(directory: str) -> int:
    """Deletes all but the newest CORRUPT_FILES_KEPT moved-aside state files; returns how many files went."""
    prefix = f"{STATE_FILE}.corrupt-"
    files_by_time: dict[int, list[str]] = {}
    for name in os.listdir(directory):
        moved_at = name.removeprefix(prefix).partition("-")[0]
        if name.startswith(prefix) and moved_at.isdigit():
            files_by_time.setdefault(int(moved_at), []).append(name)
    deleted = [
        name for moved_at in sorted(files_by_time)[:-CORRUPT_FILES_KEPT] for name in files_by_time[moved_at]
    ]
    for name in deleted:
        os.unlink(os.path.join(directory, name))
    return len(deleted)


JOBS: dict[str, Callable[[str], int]] = {"state-compaction": remove_old_corrupt_files}


class PeriodicJob:
    """Runs `work(directory)` when this process takes the duty, and every INTERVAL_S while it holds it."""

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
            removed = self.service.run_if_held(self.duty, lambda token: self.work(self.directory))
        except NotHeldError:
            return
        except OSError as error:
            event("duties.chore_failed", duty=self.duty, reason=str(error))
            return
        if removed:
            event("duties.chore", duty=self.duty, removed=removed)

    def close(self) -> None:
        """Cancels the next run."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
