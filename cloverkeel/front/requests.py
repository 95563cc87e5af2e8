"""A client's request as it was read, and in the gateway's terms."""

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
from cloverkeel.streams import Upload

if TYPE_CHECKING:
    from cloverkeel.fleet.routes.serving import Serving
    from cloverkeel.transforms.active import ActiveSet, Refused

NO_TENANT = -1  # a caller that the settings do not name: the first tenant must not answer for it
UNFORWARDED_REQUEST_HEADERS = frozenset({b"x-budget-ms"})
UNFORWARDED_RESPONSE_HEADERS = frozenset({b"x-load-report", b"x-rejected"})


class RequestError(ValueError):
    """A request that is answered here, with this status."""

    def __init__(self, status: int, why: str, *headers: Header) -> None:
        super().__init__(why)
        self.status = status
        self.headers = list(headers)


class Request:
    """One request as it was read; `fault` tells what is wrong with it."""

    __slots__ = (
        "answered",
        "arrival_config",
        "awaits_continue_since_s",
        "body",
        "complete",
        "error",
        "headers",
        "is_http10",
        "keep_alive",
        "method",
        "queued_since_us",
        "report_outcome",
        "target",
        "transform_response",
        "upload",
    )  # fmt: skip

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.keep_alive = False
        self.is_http10 = False  # HTTP/1.0
        self.awaits_continue_since_s = (
            0.0  # since when its client waits for word to send its body; 0: it does not
        )
        self.complete = False
        self.queued_since_us = (
            0  # since when, whole, for others on its connection to be answered; 0: for none
        )
        self.arrival_config: Config | None = None  # in force when it began to wait; None: it did not
        self.answered = False  # before its body had come: the rest is read and dropped
        self.upload: Upload | None = None  # the rest of a body too long to be held
        self.error: RequestError | None = None
        self.transform_response: Callable[[list[Header]], list[Header] | Refused] | None = (
            None  # of its answer
        )
        self.report_outcome: Callable[[bool], None] | None = None  # to be told whether hosts failed it


class ResponseWriter(Protocol):
    """Who writes a request's answer."""

    def on_served(self, request: Request, reply: Reply) -> None: ...
    def on_begun(self, request: Request, reply: Reply, source: HostConnection) -> None: ...
    def on_piece(self, request: Request, data: bytes) -> None: ...
    def on_ended(self, request: Request) -> None: ...
    def on_broken(self, request: Request) -> None: ...
    def on_refused(self, request: Request, retry_after_us: int) -> None: ...
    def on_failed(self, request: Request, timed_out: bool) -> None: ...
    def check_gone(self) -> bool: ...


def build_call(
    config: Config,
    request: Request,
    path: bytes,
    answers: ResponseWriter,
    active: ActiveSet | None = None,
    routes: Serving | None = None,
) -> Call:
    """The request in the gateway's terms; RequestError where it is none that can be passed on."""
    headers = {n.lower(): v for n, v in request.headers}
    names = config.names
    parts = [part for part in path.split(b"/") if part]
    named = headers.get(b"x-call-class")
    if named is not None and named not in names.classes:
        raise RequestError(400, "unknown class")
    if not parts or parts[0] not in names.classes:
        raise RequestError(404, "unknown path")
    if named is not None and named != parts[0]:
        raise RequestError(400, "the class is not that of the path")
    klass = names.classes[parts[0]]
    settings = config.settings.classes[klass]
    method = b"GET" if settings.effect is Effect.SAFE else b"POST"
    if request.method != method:
        raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
    if settings.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
        raise RequestError(400, "no Idempotency-Key")
    id_ = headers.get(b"x-call-id")
    if not id_:
        raise RequestError(400, "no X-Call-Id")
    budget_ms = _parse_integer(headers.get(b"x-budget-ms"), "X-Budget-Ms")
    passing = end_to_end_headers(request.headers, UNFORWARDED_REQUEST_HEADERS)
    route = None
    if routes is not None:
        route = routes.find(parts[0], headers.get(b"x-caller", b""), path)
        if active is not None and route is not None and route.chain is not None:
            active = active.chained(route.chain)
    if active is not None:
        passing = transform_request(request, active, passing, headers, parts[0], path)
    patience_us = settings.give_up_us if budget_ms is None else budget_ms * 1000
    if request.queued_since_us:  # its time began when it came
        patience_us = max(0, patience_us - (now_us() - request.queued_since_us))
    body = b"".join(request.body)
    request.body.clear()
    return Call(
        id=id_.decode("latin-1"),
        klass=klass,
        client_timeout_us=patience_us,
        key=stable_id(parts[-1], 8) if len(parts) > 1 else None,
        work_us=_parse_integer(headers.get(b"x-call-cost"), "X-Call-Cost"),
        is_retry=headers.get(b"x-again") == b"1",
        tenant=names.tenants.get(headers.get(b"x-caller", b""), NO_TENANT),
        head=_build_head(request, passing, body),
        body=body if request.upload is None else request.upload.frame(body),
        upload=request.upload,
        on_served=partial(answers.on_served, request),
        on_begun=partial(answers.on_begun, request),
        on_piece=partial(answers.on_piece, request),
        on_ended=partial(answers.on_ended, request),
        on_broken=partial(answers.on_broken, request),
        on_refused=partial(answers.on_refused, request),
        on_failed=partial(answers.on_failed, request),
        is_client_gone=answers.check_gone,
        route=route.number if route is not None else 0,
    )


def transform_request(
    request: Request,
    active: ActiveSet,
    passing: list[Header],
    headers: dict[bytes, bytes],
    klass: bytes,
    path: bytes,
) -> list[Header]:
    """The headers to pass on; the answer's are changed by the same set, whichever is active then."""
    caller, id_ = headers.get(b"x-caller", b""), headers[b"x-call-id"].decode("latin-1")
    changed = active.request(klass, caller, path, passing, id_)
    if not isinstance(changed, list):
        raise RequestError(502, f"transform {changed.name} failed")
    if active.has_response:
        request.transform_response = partial(active.response, klass, caller, path, call_id=id_)
    if active.compares:
        request.report_outcome = partial(active.answered, klass, caller, path, id_)
    return changed


def response_headers(request: Request, reply: Reply) -> list[Header] | None:
    """An answer's headers as the client gets them; None: a transform that must not be left out failed."""
    headers = end_to_end_headers(reply.headers, UNFORWARDED_RESPONSE_HEADERS)
    if request.transform_response is None:
        return headers
    changed = request.transform_response(headers)
    return changed if isinstance(changed, list) else None


def with_keep_alive(request: Request, headers: list[Header], last: bool) -> list[Header]:
    """An old client is told that its connection stays open."""
    return headers if last or not request.is_http10 else [*headers, (b"Connection", b"keep-alive")]


def _parse_integer(text: bytes | None, name: str) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > 15:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _build_head(request: Request, headers: list[Header], body: bytes) -> bytes:
    """What goes on to a host, all but the budget and the empty line."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % pair for pair in headers]
    if request.upload is not None and request.upload.is_chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif request.upload is not None:
        lines.append(b"Content-Length: " + (header(request.headers, b"content-length") or b"0"))
    elif body or request.method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"
