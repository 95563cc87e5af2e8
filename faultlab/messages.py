"""Parses HTTP/1.1 messages that have a Content-Length or no body, for the lab's clients and hosts."""

from __future__ import annotations

from dataclasses import dataclass

END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Message:
    """The head of a request or a response. Names and values of `headers` are in lower case."""

    first_line: bytes
    headers: dict[bytes, bytes]

    @property
    def target(self) -> bytes:
        """The target of a request."""
        return self.first_line.split(b" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(b" ")[1])

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is closed after this message."""
        return self.headers.get(b"connection") == b"close"


def parse_message(data: bytes) -> tuple[Message | None, bytes]:
    """Parse the first message of `data`; returns it and the bytes after its body.

    Returns None and `data` while the message is incomplete.
    """
    head, separator, rest = data.partition(END_OF_HEAD)
    if not separator:
        return None, data
    first_line, *lines = head.split(b"\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in lines if b": " in line)
    length = int(headers.get(b"content-length", b"0"))
    if len(rest) < length:
        return None, data
    return Message(first_line, headers), rest[length:]
