"""A client's request as the gateway takes it, and what becomes of it until all its attempts are over."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from caperdrift.interface import RequestClass

from cloverkeel.hosts.attempt import Attempt
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.http1 import Reply
from cloverkeel.streams import Upload


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, as the gateway takes it."""

    id: str
    klass: int
    client_timeout_us: int
    key: int | None
    work_us: int | None
    is_retry: bool
    tenant: int
    head: bytes  # request line and headers to pass on, all but the budget and the end
    body: bytes  # all of it, or the first part of a long one
    upload: Upload | None  # the rest of a long one
    on_served: Callable[[Reply], None]
    on_begun: Callable[[Reply, HostConnection], None]  # a long answer's head, and where its body comes from
    on_piece: Callable[[bytes], None]
    on_ended: Callable[[], None]
    on_broken: Callable[[], None]  # a long answer will not be whole
    on_refused: Callable[[int], None]  # with the time after which to come back, in microseconds
    on_failed: Callable[[bool], None]  # with whether time ran out
    is_client_gone: Callable[[], bool]  # its client has closed or cancelled, seen by the loop or not yet
    route: int = 0  # its number in the plan; 0: none
    class_settings: RequestClass | None = None  # of its class, where it came under an earlier configuration


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer, or whose attempts are not all over."""

    call: Call
    deadline_us: int
    max_attempts: int  # by the settings that it came under
    attempts: list[Attempt | None] = field(default_factory=list)  # None: never sent
    in_flight: int = 0
    finished: bool = False
    body_incomplete: bool = False  # its body is still coming
    streaming_attempt: Attempt | None = None  # whose long answer is passing to the client
    timed_out: bool = False

    @property
    def is_in_progress(self) -> bool:
        """Whether it has come whole and waits for its answer."""
        return not self.finished and not self.body_incomplete
