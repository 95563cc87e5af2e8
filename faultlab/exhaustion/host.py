"""A host whose pace of reading and writing is chosen by the request's target.

The last part of a target is `KIND-BYTES-RATE`: `whole` answers at once, `slow` writes its body at RATE bytes
a second, `late` sends its head at once and the body RATE milliseconds later, `reads` reads a request's body
at RATE bytes a second, `fields` sends RATE header fields, `chunks` sends its body in chunks of RATE bytes,
`silent` waits RATE milliseconds, `heads` sends RATE header fields of 600 bytes. Three kinds send so much and
no more: `field` a header field of BYTES, `stalls` BYTES of a body, `trailer` a body and a field of BYTES.
BYTES is the size of the answer's body. Any other target is answered with a short body.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from faultlab.standins import LoopbackServer

PIECE_INTERVAL_S = 0.05  # between two pieces of a body that is read or written slowly
SHORT_BODY = b"fine"
LONG_FIELD = b"A: " + bytes(b"x" * 595) + b"\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True)
class Pace:
    """What a target asks of the host."""

    kind: str = "whole"
    size: int = 0  # bytes of the answer's body; 0: SHORT_BODY
    rate: int = 0  # bytes a second, or milliseconds

    @staticmethod
    def parse(target: str) -> Pace:
        """Read the last part of a target."""
        parts = target.partition("?")[0].rpartition("/")[2].split("-")
        if len(parts) != 3 or not all(part.isdigit() for part in parts[1:]):
            return Pace()
        return Pace(parts[0], int(parts[1]), int(parts[2]))


class PacedHost(LoopbackServer):
    """Answers each request at the pace that its target asks for."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
            while True:
                await self.serve_request(reader, writer)
        writer.close()

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read one request and answer it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        pace = Pace.parse(first.split(" ")[1])
        await read_body(reader, headers, pace)
        await write_answer(writer, pace)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str], pace: Pace) -> None:
    """Read a request's body: at `pace.rate` bytes a second if `reads` is asked for."""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            await reader.readexactly(size + 2)
            if pace.kind == "reads":
                await asyncio.sleep(size / pace.rate)
        await reader.readline()
        return
    left = int(headers.get("content-length") or 0)
    piece = max(1, int(pace.rate * PIECE_INTERVAL_S))
    while left:
        if pace.kind == "reads":
            await asyncio.sleep(PIECE_INTERVAL_S)
            left -= len(await reader.readexactly(min(left, piece)))
        else:
            left -= len(await reader.readexactly(min(left, 1 << 16)))


def chunk(data: bytes) -> bytes:
    """One chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


UNFINISHED: dict[str, Callable[[int], bytes]] = {
    "field": lambda size: b"HTTP/1.1 200 OK\r\nA: " + b"x" * size,
    "stalls": lambda size: CHUNKED_HEAD + chunk(bytes(size)),
    "trailer": lambda size: CHUNKED_HEAD + chunk(SHORT_BODY) + b"0\r\nA: " + b"x" * size,
}


async def write_answer(writer: asyncio.StreamWriter, pace: Pace) -> None:
    """Write an answer: chunked if it comes late, slowly or in small chunks, else with its length."""
    body = bytes(pace.size) if pace.size else SHORT_BODY
    if pace.kind in UNFINISHED:
        writer.write(UNFINISHED[pace.kind](pace.size))
        await writer.drain()
        return
    if pace.kind == "silent":
        await asyncio.sleep(pace.rate / 1000)
    if pace.kind not in ("slow", "late", "chunks"):
        extra = {"fields": b"a:\r\n", "heads": LONG_FIELD}.get(pace.kind, b"") * pace.rate
        writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (extra, len(body)) + body)
        await writer.drain()
        return
    writer.write(CHUNKED_HEAD)
    await writer.drain()
    if pace.kind == "chunks":
        writer.write(b"".join(chunk(body[at : at + pace.rate]) for at in range(0, len(body), pace.rate)))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return
    if pace.kind == "late":
        await asyncio.sleep(pace.rate / 1000)
        piece = len(body)
    else:
        piece = max(1, int(pace.rate * PIECE_INTERVAL_S))
    for at in range(0, len(body), piece):
        writer.write(chunk(body[at : at + piece]))
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S if pace.kind == "slow" else 0)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
