"""The lab's HTTP parser: a message is parsed once it is complete, however its bytes arrive."""

from __future__ import annotations

from faultlab.messages import Message, parse_message

REQUEST = b"POST /hold/1 HTTP/1.1\r\nHost: l\r\nX-Call-Id: 0A\r\nContent-Length: 3\r\n\r\nabc"
ANSWER = b"HTTP/1.1 503 X\r\nConnection: close\r\n\r\n"


def test_a_message_is_parsed_once_its_body_is_complete_and_the_bytes_after_it_are_kept() -> None:
    for size in range(len(REQUEST)):
        assert parse_message(REQUEST[:size]) == (None, REQUEST[:size])
    message, rest = parse_message(REQUEST + ANSWER)
    assert message is not None and message.target == b"/hold/1" and not message.closes_connection
    assert message.headers[b"x-call-id"] == b"0a" and rest == ANSWER


def test_a_response_has_its_status_and_whether_it_closes_the_connection() -> None:
    message, rest = parse_message(ANSWER)
    assert message == Message(b"HTTP/1.1 503 X", {b"connection": b"close"}) and rest == b""
    assert message.status == 503 and message.closes_connection
