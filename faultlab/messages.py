"""HTTP/1.1 messages as the labs take them off a connection: with a Content-Length, or without a body."""

from __future__ import annotations

from dataclasses import dataclass

END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer without its body. Names and values of `headers` are in lower case."""

    first_line: bytes
    headers: dict[bytes, bytes]

    @property
    def target(self) -> bytes:
        """Of a request."""
        return self.first_line.split(b" ")[1]

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.first_line.split(b" ")[1])

    @property
    def closes_connection(self) -> bool:
        """Whether the connection ends behind it."""
        return self.headers.get(b"connection") == b"close"


def parse_message(data: bytes) -> tuple[Message | None, bytes]:
    """The first message of `data` and the bytes behind its body; None and `data` while it is not whole."""
    head, mark, rest = data.partition(END_OF_HEAD)
    if not mark:
        return None, data
    first_line, *lines = head.split(b"\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in lines if b": " in line)
    length = int(headers.get(b"content-length", b"0"))
    if len(rest) < length:
        return None, data
    return Message(first_line, headers), rest[length:]
