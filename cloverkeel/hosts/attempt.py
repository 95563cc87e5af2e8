"""One request on its way to one host, and what its end is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from caperdrift.interface import LoadReport, Outcome
from caperdrift.wire import parse_load

from cloverkeel.http1 import Reply, header
from cloverkeel.streams import Upload

if TYPE_CHECKING:
    from cloverkeel.hosts.connection import HostConnection
    from cloverkeel.hosts.host import Host


@dataclass(slots=True, eq=False)
class Attempt:
    """One request on its way to one host, until its outcome."""

    host: Host
    payload: Callable[[], bytes]  # as it is when it is written: a connection may come up long after the start
    on_end: Callable[[Attempt, Outcome, Reply | None], None]
    is_probe: bool = False
    # A long answer begins: returns what takes its pieces, or None if nobody does.
    on_response_begin: Callable[[Attempt, Reply], Callable[[bytes], None] | None] = (
        lambda attempt, reply: None
    )
    remaining_us: Callable[[], int] = lambda: 0  # of its client's time
    upload: Upload | None = None  # the rest of a long body
    on_upload_started: Callable[[], None] = lambda: None  # what was held of it has gone on
    is_wanted: Callable[[], bool] = lambda: True  # asked right before it is written; may call it off
    write_deadline_us: int = 0  # its last byte may be written up to then; 0: any time
    timeout_us: int = 0
    sent_us: int = 0  # with a long body: its last byte
    latency_us: int = 0
    response_begun_us: int = 0  # when its long answer did
    connection: HostConnection | None = None
    connect_task: asyncio.Task[object] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    defer_timer: asyncio.TimerHandle | None = None  # one of them
    ended: bool = False


def outcome_of(reply: Reply) -> Outcome:
    if reply.status == 200:
        return Outcome.OK
    if reply.status in (503, 504) and header(reply.headers, b"x-rejected") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


def parse_load_report(reply: Reply | None) -> LoadReport | None:
    """The load report that came with an answer; what cannot be read is as good as none."""
    text = header(reply.headers, b"x-load-report") if reply is not None else None
    if text is None:
        return None
    form, _, values = text.decode("latin-1").partition(" ")
    try:
        return parse_load(values.replace(" ", "").replace("=", ":")) if form == "TEXT" else None
    except ValueError:
        return None
