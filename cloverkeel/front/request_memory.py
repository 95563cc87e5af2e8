"""Charges a client's connection with the requests that it holds, in the memory budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverkeel.front.client_input import ClientInput
from cloverkeel.front.requests import RETRY_SOON, Request, RequestError
from cloverkeel.memory import ACCEPTED_BYTES, REQUEST_BYTES
from cloverkeel.telemetry import Incident

if TYPE_CHECKING:
    from cloverkeel.front.server import Server


class RequestMemory(ClientInput):
    """Keeps a connection's account; a subclass reads the requests."""

    __slots__ = ("account", "framing_charged")

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self.account = server.gateway.memory.open_account()
        self.framing_charged = 0  # the parser holds a trailer until it is complete

    def note(self, incident: Incident) -> None:
        """Counts and logs an incident of the request being received, whose id is not known yet."""
        self.server.gateway.telemetry.note(incident)

    def charge(self, request: Request, held: int) -> bool:
        """Charges a request with what is held of it now; returns whether the memory allows it."""
        if not self.account.change(request.charged, held):
            return False
        request.charged = held
        return True

    def charge_framing(self, held: int) -> bool:
        """Charges what the parser may hold of a trailer; returns whether the memory allows it."""
        if not self.account.change(self.framing_charged, held):
            return False
        self.framing_charged = held
        return True

    def release(self, request: Request) -> None:
        """Drops what is held of a request, and releases all that it was charged with."""
        request.headers.clear()
        request.body.clear()
        self.charge(request, 0)

    def refuse_for_memory(self, request: Request) -> None:
        """Drops what is held of a request; the rest of it is read and dropped, and it is answered 503."""
        self.note(Incident.NO_MEMORY)
        request.error = RequestError(503, "", RETRY_SOON)
        self.release(request)

    def on_upload_started(self) -> None:
        """Releases the part of the current streamed body that was held until a host was sent it."""
        request = self.current
        if request is not None:
            self.charge(request, min(request.charged, REQUEST_BYTES + ACCEPTED_BYTES + request.head_bytes))
