"""An attempt to have a host answer a request, and the classification of the host's response."""

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
    """One sending of a request to a host, from its start to its outcome."""

    host: Host
    payload: Callable[[], bytes]  # called at the write, which may come long after the start of the attempt
    on_end: Callable[[Attempt, Outcome, Reply | None], None]
    is_probe: bool = False
    is_reserved: bool = False  # its request's account is charged with its connection
    # A streamed response begins: returns the consumer of its pieces, or None if there is none.
    on_response_begin: Callable[[Attempt, Reply], Callable[[bytes], None] | None] = (
        lambda attempt, reply: None
    )
    remaining_us: Callable[[], int] = lambda: 0  # time left until the client's deadline
    upload: Upload | None = None  # the rest of a streamed request body
    on_upload_started: Callable[[], None] = lambda: None  # the held part of the request body has been written
    is_wanted: Callable[[], bool] = lambda: True  # called just before the write; may cancel the attempt
    write_deadline_us: int = 0  # the last byte must be written by then; 0: no deadline
    timeout_us: int = 0
    sent_us: int = 0  # start of the attempt; for a streamed body, when its last byte was sent
    latency_us: int = 0
    body_due_us: int = 0  # when the body of a streamed response has to begin
    body_begun_us: int = 0  # when the first byte of a streamed response's body came
    connection: HostConnection | None = None
    connect_task: asyncio.Task[object] | None = None
    timers: list[asyncio.TimerHandle] = field(default_factory=list)  # cancelled at the end of the attempt
    defer_timer: asyncio.TimerHandle | None = None  # one of `timers`: set while streaming is deferred
    ended: bool = False


def outcome_of(reply: Reply) -> Outcome:
    """Classifies a host's response."""
    if reply.status == 200:
        return Outcome.OK
    if reply.status in (503, 504) and header(reply.headers, b"x-rejected") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


def parse_load_report(reply: Reply | None) -> LoadReport | None:
    """Returns the load report in a response, or None if there is none or it is malformed."""
    value = header(reply.headers, b"x-load-report") if reply is not None else None
    if value is None:
        return None
    encoding, _, values = value.decode("latin-1").partition(" ")
    try:
        return parse_load(values.replace(" ", "").replace("=", ":")) if encoding == "TEXT" else None
    except ValueError:
        return None
