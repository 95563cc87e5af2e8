"""HTTP/1.1 as both sides need it: limits, headers that end at a hop, and whole answers from bytes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable

import httptools

Header = tuple[bytes, bytes]

BODY_LIMIT = 64 * 1024  # of a body that is held whole
HEAD_LIMIT = 64 * 1024
LINGER_S = 1.0  # for the other side to read what was written, and to end too
WRITE_STALL_S = 30.0  # a client that takes nothing of what is written for so long has gone
OPTIONAL_WHITESPACE = b" \t"  # may stand round a header's value; the parser leaves what is behind it
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)

REASONS = {
    200: b"OK", 202: b"Accepted", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    408: b"Request Timeout", 413: b"Content Too Large", 415: b"Unsupported Media Type",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error", 501: b"Not Implemented",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip


def end_to_end_headers(headers: Iterable[Header], without: frozenset[bytes] = frozenset()) -> list[Header]:
    """Headers that may pass on: none that is meant for this connection only, here or by `Connection`."""
    passing = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
    excluded = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    } | without
    return [(name, value) for name, value in passing if name.lower() not in excluded]


def header(headers: Iterable[Header], wanted: bytes) -> bytes | None:
    """The first header of that name (lower case)."""
    return next((value for name, value in headers if name.lower() == wanted), None)


def write_response(
    transport: asyncio.Transport, status: int, headers: list[Header], body: bytes, last: bool, head_only: bool
) -> None:
    """Write a whole answer."""
    head = encode_response_head(status, [*headers, (b"Content-Length", b"%d" % len(body))], last)
    transport.write(head if head_only else head + body)


def encode_response_head(status: int, headers: list[Header], last: bool) -> bytes:
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
    lines += [b"%s: %s" % pair for pair in headers]
    if last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def lingering_close(transport: asyncio.Transport, linger_s: float = LINGER_S) -> None:
    """Shut down writing behind all that was written, go on reading, and close: RFC 9112, section 9.6.

    Guards against a reset that overtakes what was written: a close over bytes that nobody has read is one.
    What comes in meanwhile is the protocol's to discard. The other side's end closes at once, else `linger_s`
    does; where not all has gone out by then, its reader has that long again and again, up to `UNREAD_S`.
    """
    if transport.is_closing():
        return
    if not transport.can_write_eof():
        transport.close()
        return
    transport.write_eof()
    loop = asyncio.get_running_loop()
    loop.call_later(linger_s, _end_linger, transport, linger_s, loop.time() + WRITE_STALL_S)


def _end_linger(transport: asyncio.Transport, linger_s: float, abort_s: float) -> None:
    loop = asyncio.get_running_loop()
    if transport.is_closing():
        return
    if not transport.get_write_buffer_size():
        transport.close()
    elif loop.time() < abort_s:
        loop.call_later(linger_s, _end_linger, transport, linger_s, abort_s)
    else:
        transport.abort()


def log(line: str) -> None:
    """One line of the program's log; nothing is logged for each request."""
    print(f"cloverkeel: {line}", file=sys.stderr, flush=True)


class ReplyError(ValueError):
    """What came back is no answer that can be used."""


def transfer_coding(headers: list[Header]) -> bytes:
    """The transfer coding; what both sides can undo is `chunked` alone."""
    return b",".join(value for name, value in headers if name.lower() == b"transfer-encoding").strip().lower()


class Reply:
    """One answer: whole, or the head of a long one whose body passes on in pieces."""

    __slots__ = ("body", "headers", "keep_alive", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, keep_alive: bool) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive


class ReplyReader:
    """Turns the bytes of one connection into whole answers, one at a time.

    An answer beyond the limit is an error, or, where long ones are wanted, has `begun`: `take` gives what has
    come of its body, and `feed` returns it, bodiless, once its end has come.
    """

    __slots__ = (
        "_allows_streaming",
        "_body",
        "_ends_with_connection",
        "_framing_bytes",
        "_headers",
        "_in_body",
        "_length_unknown",
        "_limit",
        "_parser",
        "_replies",
        "_size",
        "is_over_limit",
        "streamed_head",
    )  # fmt: skip

    def __init__(self, limit: int = BODY_LIMIT, allows_streaming: bool = False) -> None:
        self._limit, self._allows_streaming = limit, allows_streaming
        self.streamed_head: Reply | None = None  # the head of a long answer
        self.is_over_limit = False  # its body is known to be beyond the limit
        self._in_body = False
        self._length_unknown = False
        self._ends_with_connection = False  # the body ends with the connection
        self._framing_bytes = 0  # bytes since the last that meant something
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[Reply] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> Reply | None:
        """The answer that these bytes complete, if they do; bytes beyond it are an error."""
        before = self._size
        if not self._in_body:
            self.streamed_head = (
                None  # that of the answer before: a blank line may come ahead of the next one
            )
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._replies:
                raise ReplyError(str(error)) from None
            self._replies[0].keep_alive = False  # a whole answer, and something after it that is left unread
        if not self._replies:
            # Guards against a header, a chunk's extension or a trailer without end.
            self._framing_bytes = self._framing_bytes + len(data) if self._size == before else 0
            if self._framing_bytes > HEAD_LIMIT:
                raise ReplyError("nothing but framing")
            return None
        reply, self._framing_bytes = self._replies[0], 0
        self._replies = []
        return reply

    def take_body(self) -> bytes:
        """What has come of a long answer's body since the last call."""
        data = b"".join(self._body)
        self._body.clear()
        return data

    def begin_streaming(self) -> bool:
        """Make an answer of unknown length, of which part is here, a long one; False if there is none."""
        if self.streamed_head is None and self.is_length_unknown and self._size:
            self._set_streamed_head()
        return self.streamed_head is not None

    @property
    def size(self) -> int:
        """Bytes of the body that has come, or is coming."""
        return self._size

    @property
    def is_length_unknown(self) -> bool:
        """Whether a body is coming of which nobody has said how long it is."""
        return self._in_body and self._length_unknown

    def feed_eof(self) -> Reply | None:
        """The answer that the end of the connection completes, if it does."""
        if not self._ends_with_connection or not self._in_body:
            return None
        self.on_message_complete()
        return self._replies.pop()

    # httptools' callbacks

    def on_message_begin(self) -> None:
        if self._replies:
            raise ReplyError("more than one answer")
        self._headers, self._body, self._size = [], [], 0
        self.streamed_head, self.is_over_limit, self._in_body = None, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            return  # a trailer: nothing here reads it
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ReplyError("the head is too long")
        self._headers.append((name, value.strip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        self._size, self._in_body = 0, True
        coding, length = transfer_coding(self._headers), header(self._headers, b"content-length")
        if coding not in (b"", b"chunked"):
            raise ReplyError("the transfer coding is unknown")
        self._length_unknown = length is None
        self._ends_with_connection = not coding and length is None
        if self._allows_streaming and length is not None and int(length) > self._limit:
            self.is_over_limit = True
            self._set_streamed_head()

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        self._body.append(data)
        if self._size > self._limit and not self.is_over_limit:
            if not self._allows_streaming:
                raise ReplyError("the body is too long")
            self.is_over_limit = True
            if self.streamed_head is None:
                self._set_streamed_head()

    def _set_streamed_head(self) -> None:
        self.streamed_head = Reply(self._parser.get_status_code(), self._headers, b"", False)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # what comes before the answer proper is not passed on
            keep_alive = self._parser.should_keep_alive() and not self._ends_with_connection
            body = b"" if self.streamed_head is not None else b"".join(self._body)
            self._replies.append(Reply(status, self._headers, body, keep_alive))
        if self.streamed_head is None:
            self._body = []
        self._headers, self._in_body = [], False
