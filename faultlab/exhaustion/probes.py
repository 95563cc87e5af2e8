"""An ordinary client beside a crowd: it sends one small request after the other and notes the answers."""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from multiprocessing.connection import Connection
from typing import NamedTuple

from faultlab.exhaustion.peers import request_head
from faultlab.gateway_process import send_request

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 5.0


class Answer(NamedTuple):
    """What became of one request."""

    status: int  # 0: no answer
    seconds: float


class Probes:
    """Sends requests from a process of its own while the context lasts, each on a new connection."""

    def __init__(self, port: int) -> None:
        context = multiprocessing.get_context("spawn")
        self.answers: list[Answer] = []
        self._pipe, self._far_end = context.Pipe()
        self._process = context.Process(target=send_probes, args=(port, self._far_end), daemon=True)

    def __enter__(self) -> Probes:
        self._process.start()
        self._pipe.recv()  # it has begun
        return self

    def __exit__(self, *_: object) -> None:
        self._pipe.send("stop")
        self.answers = self._pipe.recv()
        self._process.join()

    @property
    def statuses(self) -> set[int]:
        """The statuses that came; 0 stands for none."""
        return {answer.status for answer in self.answers}

    @property
    def slowest_s(self) -> float:
        """The longest that one request took."""
        return max((answer.seconds for answer in self.answers), default=0.0)


def send_probes(port: int, pipe: Connection) -> None:
    """Send requests until told to stop, then return all answers."""
    answers: list[Answer] = []
    pipe.send("started")
    while not pipe.poll(PROBE_INTERVAL_S):
        began_s = time.monotonic()
        status = asyncio.run(send_request(port, request_head("GET", "/search/probe"), PROBE_TIMEOUT_S))
        answers.append(Answer(status, time.monotonic() - began_s))
    pipe.recv()
    pipe.send(answers)
