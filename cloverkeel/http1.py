"""HTTP/1.1 for both sides of the gateway: limits, hop-by-hop headers, and parsing of responses."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable

import httptools

from cloverkeel.memory import FIELD_BYTES

Header = tuple[bytes, bytes]

BODY_LIMIT = 64 * 1024  # bytes of a body that is held whole; longer ones are streamed or refused
HEAD_LIMIT = 64 * 1024  # bytes of a head
MAX_FIELDS = 128  # of a head: a short field takes many times its size in memory
HELD_STEP_BYTES = 2 * 1024  # of a response's body for which the memory is asked at a time
LINGER_S = 1.0  # in which the peer reads what was written and closes its side
WRITE_STALL_S = 30.0  # a peer that reads nothing of what is written for so long is treated as gone
OPTIONAL_WHITESPACE = b" \t"  # around a header's value; the parser leaves the trailing part
# Headers that are not forwarded: hop-by-hop ones (RFC 9110, section 7.6.1), and those that the gateway sets.
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
    """Headers to forward: without hop-by-hop ones, those named in `Connection`, and `without`."""
    passing = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
    excluded = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    } | without
    return [(name, value) for name, value in passing if name.lower() not in excluded]


def header(headers: Iterable[Header], wanted: bytes) -> bytes | None:
    """The value of the first header of this name (in lower case)."""
    return next((value for name, value in headers if name.lower() == wanted), None)


def write_response(
    transport: asyncio.Transport, status: int, headers: list[Header], body: bytes, last: bool, head_only: bool
) -> None:
    """Write a complete response; `last`: the connection is closed after it."""
    head = encode_response_head(status, [*headers, (b"Content-Length", b"%d" % len(body))], last)
    transport.write(head if head_only else head + body)


def encode_response_head(status: int, headers: list[Header], last: bool) -> bytes:
    """The status line and headers of a response, up to the blank line."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
    lines += [b"%s: %s" % pair for pair in headers]
    if last:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def lingering_close(transport: asyncio.Transport, linger_s: float = LINGER_S) -> None:
    """Shut down writing after what was written, keep reading, and close later (RFC 9112, section 9.6).

    A close with unread input sends a reset, which can destroy output that the peer has not read yet. The
    protocol has to discard what it receives meanwhile. The connection is closed when the peer closes its
    side, or after `linger_s`. If output is still unsent then, this is checked again every `linger_s`, and the
    connection is aborted after `WRITE_STALL_S`.
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
    """Close a lingering connection if all output has been sent, and abort it at the loop's time `abort_s`."""
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
    """Write a line to the log (stderr). Must not be called for every request."""
    print(f"cloverkeel: {line}", file=sys.stderr, flush=True)


class ReplyError(ValueError):
    """The data received is not a usable HTTP response."""


def transfer_coding(headers: list[Header]) -> bytes:
    """The value of Transfer-Encoding, b"" without one. Only b"chunked" is supported."""
    return b",".join(value for name, value in headers if name.lower() == b"transfer-encoding").strip().lower()


class Reply:
    """A response: complete, or the head of one whose body is streamed."""

    __slots__ = ("body", "headers", "keep_alive", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, keep_alive: bool) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive


class ReplyReader:
    """Parses the bytes received on one connection into responses, one at a time.

    A response with a body beyond the limit is an error, or, with streaming allowed, sets `streamed_head`:
    `take_body` then returns what has been received of its body, and `feed` returns the response, without a
    body, once it is complete.
    """

    __slots__ = (
        "_allows_streaming", "_body", "_ends_with_connection", "_granted", "_head_granted", "_head_size",
        "_headers", "_in_body", "_length_unknown", "_limit", "_may_hold", "_may_hold_head", "_parser",
        "_replies", "_size", "framing_bytes", "is_over_limit", "streamed_head",
    )  # fmt: skip

    def __init__(
        self,
        limit: int = BODY_LIMIT,
        allows_streaming: bool = False,
        may_hold: Callable[[int], bool] = lambda size: True,
        may_hold_head: Callable[[int], bool] = lambda size: True,
    ) -> None:
        self._limit, self._allows_streaming = limit, allows_streaming
        # Whether the memory allows so many bytes of a body to be held, and so many of a head and trailers.
        self._may_hold, self._may_hold_head = may_hold, may_hold_head
        self.streamed_head: Reply | None = None  # the head of the response being streamed
        self.is_over_limit = False  # its body is known to exceed the limit
        self._in_body = False
        self._length_unknown = False  # no Content-Length
        self._ends_with_connection = False  # neither a length nor chunked: the end of the connection ends it
        self.framing_bytes = 0  # received since the last byte of a header or of the body
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[Reply] = []
        self._headers: list[Header] = []
        self._body = bytearray()
        self._granted = 0  # bytes of the body that the memory allows to be held
        self._head_granted = 0  # bytes of the head and trailers, likewise
        self._head_size = 0  # bytes of the names and values of the headers
        self._size = 0  # bytes of the headers, then of the body

    def feed(self, data: bytes) -> Reply | None:
        """The response that this data completes, or None. Raises ReplyError.

        If there is data beyond its end, its `keep_alive` is False.
        """
        before, was_in_body = self._size, self._in_body
        if not self._in_body:
            self.streamed_head = None  # of the previous response; there may be a blank line before the next
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._replies:
                raise ReplyError(str(error)) from None
            self._replies[0].keep_alive = False  # a complete response, followed by unexpected data
        if not self._replies:
            # Against an endless header, chunk extension or trailer.
            self.framing_bytes = self.framing_bytes + len(data) if self._size == before else 0
            if self._in_body and not was_in_body:
                self.framing_bytes = 0  # those of the head do not count
            if self.framing_bytes > HEAD_LIMIT:
                raise ReplyError("the response has too much framing without data")
            self._check_head()
            return None
        reply, self.framing_bytes = self._replies[0], 0
        self._replies = []
        return reply

    def _check_head(self) -> None:
        """Raise ReplyError if the memory does not allow what is held of the head and the trailers."""
        if self.head_bytes <= self._head_granted:
            return
        if not self._may_hold_head(self.head_bytes):
            raise ReplyError("the response head takes more memory than there is")
        self._head_granted = self.head_bytes

    def take_body(self) -> bytes:
        """What has been received of a streamed body since the last call."""
        data = bytes(self._body)
        self._body = bytearray()
        return data

    def begin_streaming(self, needs_body: bool = True) -> bool:
        """Start to stream a body of unknown length, part of which was received unless `needs_body` is False.

        Returns False if there is none.
        """
        if self.streamed_head is None and self.is_length_unknown and (self._size or not needs_body):
            self._set_streamed_head()
        return self.streamed_head is not None

    @property
    def held_bytes(self) -> int:
        """What is held of the current response, in memory."""
        return len(self._body) + self.head_bytes

    @property
    def head_bytes(self) -> int:
        """What is held of its head and trailers, with a field that is not complete."""
        return self._head_size + len(self._headers) * FIELD_BYTES + self.framing_bytes

    def close(self) -> None:
        """Free what is held, and what refers to this object, without the collector. Nothing follows."""
        del self._parser, self._may_hold, self._may_hold_head
        self._headers, self._body, self.streamed_head = [], bytearray(), None

    @property
    def size(self) -> int:
        """Bytes received so far of the current body, or of the last one."""
        return self._size

    @property
    def is_length_unknown(self) -> bool:
        """Whether a body without a Content-Length is being received."""
        return self._in_body and self._length_unknown

    def feed_eof(self) -> Reply | None:
        """The response that the end of the connection completes, or None."""
        if not self._ends_with_connection or not self._in_body:
            return None
        self.on_message_complete()
        return self._replies.pop()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        if self._replies:
            raise ReplyError("a second response without a request")
        self._headers, self._body, self._size, self._granted = [], bytearray(), 0, 0
        self._head_size = self._head_granted = 0
        self.streamed_head, self.is_over_limit, self._in_body = None, False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            return  # trailers are ignored
        self._size += len(name) + len(value)
        self._head_size = self._size
        if self._size > HEAD_LIMIT or len(self._headers) >= MAX_FIELDS:
            raise ReplyError("the response head is too long")
        self._headers.append((name, value.strip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        self._size, self._in_body = 0, True
        coding, length = transfer_coding(self._headers), header(self._headers, b"content-length")
        if coding not in (b"", b"chunked"):
            raise ReplyError("the transfer coding of the response is not supported")
        self._length_unknown = length is None
        self._ends_with_connection = not coding and length is None
        if self._allows_streaming and length is not None:
            self.is_over_limit = int(length) > self._limit
            if self.is_over_limit or not self._may_hold(int(length)):
                self._set_streamed_head()

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        self._body += data
        if self._size > self._granted and self.streamed_head is None and self._allows_streaming:
            if self._may_hold(self._size + HELD_STEP_BYTES):
                self._granted = self._size + HELD_STEP_BYTES
            else:
                self._set_streamed_head()
        if self._size > self._limit and not self.is_over_limit:
            if not self._allows_streaming:
                raise ReplyError("the response body is too long")
            self.is_over_limit = True
            if self.streamed_head is None:
                self._set_streamed_head()

    def _set_streamed_head(self) -> None:
        self.streamed_head = Reply(self._parser.get_status_code(), self._headers, b"", False)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # interim (1xx) responses are dropped
            keep_alive = self._parser.should_keep_alive() and not self._ends_with_connection
            body = b"" if self.streamed_head is not None else bytes(self._body)
            self._replies.append(Reply(status, self._headers, body, keep_alive))
        if self.streamed_head is None:
            self._body = bytearray()
        self._headers, self._head_size, self._in_body = [], 0, False
