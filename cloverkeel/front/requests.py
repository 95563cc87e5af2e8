"""A client's HTTP request, and its conversion to the `Call` that the gateway handles."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol

from caperdrift.interface import Effect

from cloverkeel.clock import now_us
from cloverkeel.config import Config, stable_id
from cloverkeel.pending import Call
from cloverkeel.hosts.connection import HostConnection
from cloverkeel.http1 import Header, Reply, end_to_end_headers, header
from cloverkeel.memory import GROWING_BODY_FACTOR, REQUEST_BYTES
from cloverkeel.streams import Upload

if TYPE_CHECKING:
    from cloverkeel.fleet.routes.serving import RouteTable
    from cloverkeel.transforms.active_set import ActiveSet, Refused

RETRY_SOON: Header = (b"Retry-After", b"0.1")  # for a request that is refused for want of memory
NO_TENANT = -1  # for a caller that the settings do not name; 0 would charge its requests to the first tenant
MIN_WAIT_US = 1_000  # between arrival and start; less is not counted against the client's time
MAX_ID_BYTES = 256  # ids are kept beyond their requests
UNFORWARDED_REQUEST_HEADERS = frozenset({b"x-budget-ms"})
UNFORWARDED_RESPONSE_HEADERS = frozenset({b"x-load-report", b"x-rejected"})


class RequestError(ValueError):
    """A request that the gateway itself answers with an error status, without contacting a host."""

    def __init__(self, status: int, reason: str, *headers: Header) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = list(headers)
        self.body = f"{reason}\n".encode() if reason else b""


class Request:
    """One HTTP request as read from a client's connection; `error` is set if it could not be parsed."""

    __slots__ = (
        "answered",
        "arrival_config",
        "arrived_us",
        "awaits_continue_since_s",
        "body",
        "charged",
        "complete",
        "content_length",
        "error",
        "head_bytes",
        "headers",
        "is_http10",
        "keep_alive",
        "method",
        "report_outcome",
        "target",
        "transform_response",
        "upload",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[Header] = []
        self.head_bytes = 0  # what the target and the headers take in memory
        self.body = bytearray()
        self.content_length = 0  # 0: none
        self.charged = 0  # to the account of its connection
        self.keep_alive = False
        self.is_http10 = False
        # Loop time since which the client waits for "100 Continue" before it sends the body; 0: no wait.
        self.awaits_continue_since_s = 0.0
        self.complete = False  # the last byte of the body has been read
        # The earliest clock time at which its last byte may have arrived; 0: not known.
        self.arrived_us = 0
        self.arrival_config: Config | None = None  # in force when it was complete; None: it is not
        self.answered = False  # answered before the end of its body; the rest of the body is discarded
        self.upload: Upload | None = None  # the part of a streamed body that is not held in `body`
        self.error: RequestError | None = None
        self.transform_response: Callable[[list[Header]], list[Header] | Refused] | None = None
        self.report_outcome: Callable[[bool], None] | None = None  # called with whether the hosts failed it

    @property
    def held_bytes(self) -> int:
        """What is held of it, in memory."""
        return REQUEST_BYTES + self.head_bytes + int(len(self.body) * GROWING_BODY_FACTOR)


# For complete requests that the memory does not allow to be held: one object stands for all of them. Its
# error must not be raised, as each time would add to its traceback.
OVERLOADED = Request()
OVERLOADED.method = b"GET"
OVERLOADED.keep_alive = OVERLOADED.complete = True
OVERLOADED.error = RequestError(503, "", RETRY_SOON)


class ResponseWriter(Protocol):
    """Receives what becomes of a request and writes the response to the client."""

    def on_served(self, request: Request, reply: Reply) -> None: ...
    def on_begun(self, request: Request, reply: Reply, source: HostConnection) -> None: ...
    def on_piece(self, request: Request, data: bytes) -> None: ...
    def on_ended(self, request: Request) -> None: ...
    def on_broken(self, request: Request) -> None: ...
    def on_refused(self, request: Request, retry_after_us: int) -> None: ...
    def on_failed(self, request: Request, timed_out: bool) -> None: ...
    def may_be_gone(self) -> bool: ...


def build_call(
    config: Config,
    request: Request,
    path: bytes,
    writer: ResponseWriter,
    active_set: ActiveSet | None = None,
    routes: RouteTable | None = None,
) -> Call:
    """Converts a request to a `Call`.

    Raises RequestError if the request is invalid or a transform refuses it.
    """
    headers = {n.lower(): v for n, v in request.headers}
    names = config.names
    segments = [segment for segment in path.split(b"/") if segment]
    class_header = headers.get(b"x-call-class")
    if class_header is not None and class_header not in names.classes:
        raise RequestError(400, "unknown class")
    if not segments or segments[0] not in names.classes:
        raise RequestError(404, "unknown path")
    if class_header is not None and class_header != segments[0]:
        raise RequestError(400, "the class is not that of the path")
    klass = names.classes[segments[0]]
    settings = config.settings.classes[klass]
    method = b"GET" if settings.effect is Effect.SAFE else b"POST"
    if request.method != method:
        raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
    if settings.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
        raise RequestError(400, "no Idempotency-Key")
    id_ = headers.get(b"x-call-id")
    if not id_:
        raise RequestError(400, "no X-Call-Id")
    if len(id_) > MAX_ID_BYTES:
        raise RequestError(400, "the X-Call-Id is too long")
    budget_ms = _parse_integer(headers.get(b"x-budget-ms"), "X-Budget-Ms")
    forwarded = end_to_end_headers(request.headers, UNFORWARDED_REQUEST_HEADERS)
    route = None
    if routes is not None:
        route = routes.find(segments[0], headers.get(b"x-caller", b""), path)
        if active_set is not None and route is not None and route.chain is not None:
            active_set = active_set.for_chain(route.chain)
    if active_set is not None:
        forwarded = transform_request(request, active_set, forwarded, headers, segments[0], path)
    timeout_us = settings.give_up_us if budget_ms is None else budget_ms * 1000
    waited_us = now_us() - request.arrived_us if request.arrived_us else 0
    if waited_us > MIN_WAIT_US:  # the client's time-out runs from arrival
        timeout_us = max(0, timeout_us - waited_us)
    body = bytes(request.body)
    request.body.clear()
    head = _build_head(request, forwarded, body)
    request.headers = []  # only the head is needed from here on
    return Call(
        id=id_.decode("latin-1"),
        klass=klass,
        client_timeout_us=timeout_us,
        key=stable_id(segments[-1], 8) if len(segments) > 1 else None,
        work_us=_parse_integer(headers.get(b"x-call-cost"), "X-Call-Cost"),
        is_retry=headers.get(b"x-again") == b"1",
        tenant=names.tenants.get(headers.get(b"x-caller", b""), NO_TENANT),
        head=head,
        body=body if request.upload is None else request.upload.frame(body),
        upload=request.upload,
        on_served=partial(writer.on_served, request),
        on_begun=partial(writer.on_begun, request),
        on_piece=partial(writer.on_piece, request),
        on_ended=partial(writer.on_ended, request),
        on_broken=partial(writer.on_broken, request),
        on_refused=partial(writer.on_refused, request),
        on_failed=partial(writer.on_failed, request),
        is_client_gone=writer.may_be_gone,
        route=route.number if route is not None else 0,
    )


def transform_request(
    request: Request,
    active_set: ActiveSet,
    forwarded: list[Header],
    headers: dict[bytes, bytes],
    klass: bytes,
    path: bytes,
) -> list[Header]:
    """Returns the headers to forward, changed by the request transforms of the active set.

    The response goes through the same set, even if another one has become active by then.
    """
    caller, id_ = headers.get(b"x-caller", b""), headers[b"x-call-id"].decode("latin-1")
    transformed = active_set.request(klass, caller, path, forwarded, id_)
    if not isinstance(transformed, list):
        raise RequestError(502, f"transform {transformed.name} failed")
    if active_set.has_response:
        request.transform_response = partial(active_set.response, klass, caller, path, call_id=id_)
    if active_set.needs_outcomes:
        request.report_outcome = partial(active_set.record_outcome, klass, caller, path, id_)
    return transformed


def response_headers(request: Request, reply: Reply) -> list[Header] | None:
    """Returns the response headers for the client; None if a transform with `on_error refuse` failed."""
    headers = end_to_end_headers(reply.headers, UNFORWARDED_RESPONSE_HEADERS)
    if request.transform_response is None:
        return headers
    transformed = request.transform_response(headers)
    return transformed if isinstance(transformed, list) else None


def with_keep_alive(request: Request, headers: list[Header], closes: bool) -> list[Header]:
    """Adds `Connection: keep-alive` for an HTTP/1.0 client, unless the connection closes afterwards."""
    return headers if closes or not request.is_http10 else [*headers, (b"Connection", b"keep-alive")]


def _parse_integer(text: bytes | None, name: str) -> int | None:
    """Parses a header value of up to 15 digits; raises RequestError if it is anything else."""
    if text is None:
        return None
    if not text.isdigit() or len(text) > 15:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _build_head(request: Request, headers: list[Header], body: bytes) -> bytes:
    """Returns the request line and headers for a host, without X-Budget-Ms and the final empty line."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % pair for pair in headers]
    if request.upload is not None and request.upload.is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif request.upload is not None:
        lines.append(b"Content-Length: " + (header(request.headers, b"content-length") or b"0"))
    elif body or request.method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"
