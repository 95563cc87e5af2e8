"""Clients' requests: what is read from the connection, and the state until the last attempt has ended."""

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
    """A client's request, and the callbacks that write its response."""

    id: str
    klass: int  # number of the class
    client_timeout_us: int  # time until the client abandons the request
    key: int | None  # hash of the request's key; None: no key
    work_us: int | None  # work that the client estimates (X-Call-Cost)
    is_retry: bool  # a client retry (X-Again)
    tenant: int
    head: bytes  # request line and headers to forward, without X-Budget-Ms and the blank line
    body: bytes  # all of a short body, or the first part of a streamed one
    upload: Upload | None  # the rest of a streamed body
    on_served: Callable[[Reply], None]  # a complete response
    on_begun: Callable[[Reply, HostConnection], None]  # the head of a streamed response and its source
    on_piece: Callable[[bytes], None]  # a piece of its body
    on_ended: Callable[[], None]  # it is complete
    on_broken: Callable[[], None]  # it was cut off
    on_refused: Callable[[int], None]  # shed; the argument is the Retry-After time in microseconds
    on_failed: Callable[[bool], None]  # no attempt succeeded; True: the last one timed out
    is_client_gone: Callable[[], bool]  # closed or cancelled, seen by the event loop or not yet
    route: int = 0  # its number in the plan; 0: none
    class_settings: RequestClass | None = None  # set if the request arrived under an earlier configuration


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its response, or that still has attempts in flight."""

    call: Call
    deadline_us: int
    max_attempts: int  # of the configuration that it arrived under
    attempts: list[Attempt | None] = field(default_factory=list)  # None: not sent
    in_flight: int = 0  # attempts that were sent and have not ended
    finished: bool = False  # the response is final, or the client has gone
    body_incomplete: bool = False  # the client is still sending the body
    streaming_attempt: Attempt | None = None  # whose response is being streamed to the client
    was_sent: bool = False  # an attempt was started
    may_have_run: bool = False  # an attempt may have been carried out by a host
    timed_out: bool = False  # the last attempt to end timed out

    @property
    def is_in_progress(self) -> bool:
        """Whether the request is complete and awaits its response."""
        return not self.finished and not self.body_incomplete
