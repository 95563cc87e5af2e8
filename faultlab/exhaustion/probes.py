"""Ordinary clients beside a crowd: each sends one small request after the other and notes the answers."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from faultlab.exhaustion.peers import request_head
from faultlab.exhaustion.site import Site

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 5.0


@dataclass
class Probes:
    """The statuses and times of requests sent one after the other, each on a connection of its own."""

    site: Site
    answers: list[tuple[int, float]] = field(default_factory=list)  # (status, 0 for none; seconds)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None

    def __enter__(self) -> Probes:
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.answers.append(self.site.ask(request_head("GET", "/search/probe"), PROBE_TIMEOUT_S))
            time.sleep(PROBE_INTERVAL_S)

    @property
    def statuses(self) -> set[int]:
        """The statuses that came; 0 stands for none."""
        return {status for status, _ in self.answers}

    @property
    def slowest_s(self) -> float:
        """The longest that one request took."""
        return max((seconds for _, seconds in self.answers), default=0.0)
